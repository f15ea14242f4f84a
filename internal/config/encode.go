package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// MaxBodyBytes is the maximum size of an encoded release. The platform stores
	// values of up to one megabyte, and the body grows by a third because it is
	// stored as base64 in a JSON object.
	MaxBodyBytes = 700_000
	// maxContentBytes is the maximum size of the decompressed content. It
	// protects against gzip bombs.
	maxContentBytes = 32 << 20
)

// hashLength is the length of a SHA-256 hash in hexadecimal.
const hashLength = 2 * sha256.Size

// Hash returns the SHA-256 of the canonical form of the objects in hexadecimal.
// It does not depend on IDs, on the files or on their order. It differs from
// Release.Hash.
func (c *Configuration) Hash() string {
	copied := c.clone()
	for i := range copied.Services {
		copied.Services[i].ID = 0
	}
	for i := range copied.BackendSets {
		for j := range copied.BackendSets[i].Endpoints {
			copied.BackendSets[i].Endpoints[j].ID = 0
		}
	}
	content, err := json.Marshal(&copied)
	if err != nil {
		// Cannot happen: the objects hold only strings, numbers and valid
		// addresses.
		panic(err)
	}
	return hashOf(content)
}

// Hash returns the SHA-256 of the canonical content in hexadecimal. It equals the
// hash that Encode returns.
func (r *Release) Hash() string {
	content, err := json.Marshal(r)
	if err != nil {
		// Cannot happen: a release holds only strings, numbers and valid
		// addresses.
		panic(err)
	}
	return hashOf(content)
}

func hashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Encode returns the body of the release and the SHA-256 of its canonical content
// in hexadecimal. The body consists of the hash, with which DecodeRelease detects
// corruption, and the compressed content. The hash is that of the content before
// compression, because another version of the compressor may write other bytes
// for the same release. Encode returns an error with the code PublishTooLarge if
// the body is longer than MaxBodyBytes.
func (r *Release) Encode() (body []byte, hash string, err error) {
	content, err := json.Marshal(r)
	if err != nil {
		return nil, "", fmt.Errorf("encode release %d: %w", r.Number, err)
	}
	hash = hashOf(content)
	var buffer bytes.Buffer
	buffer.WriteString(hash)
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestCompression)
	if err != nil {
		return nil, "", fmt.Errorf("encode release %d: %w", r.Number, err)
	}
	if _, err := writer.Write(content); err != nil {
		return nil, "", fmt.Errorf("encode release %d: %w", r.Number, err)
	}
	if err := writer.Close(); err != nil {
		return nil, "", fmt.Errorf("encode release %d: %w", r.Number, err)
	}
	if buffer.Len() > MaxBodyBytes {
		return nil, "", resultcode.Errorf(resultcode.PublishTooLarge,
			"release %d has %d bytes, more than the limit of %d", r.Number, buffer.Len(), MaxBodyBytes)
	}
	return buffer.Bytes(), hash, nil
}

// BodyHash returns the hash at the start of the body without verifying it.
// DecodeRelease verifies it.
func BodyHash(body []byte) (string, error) {
	if len(body) < hashLength {
		return "", resultcode.Errorf(resultcode.ReleaseHashMismatch, "the body has only %d bytes, too few for a hash", len(body))
	}
	return string(body[:hashLength]), nil
}

// DecodeRelease decodes a body, verifies its hash and repeats the checks of Parse
// and BuildRelease. The caller compares BodyHash with the hash in the pointer
// object, which names the accepted release. Errors have a result code.
func DecodeRelease(body []byte) (*Release, error) {
	stated, err := BodyHash(body)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBodyBytes {
		return nil, resultcode.Errorf(resultcode.PublishTooLarge, "the body has %d bytes, more than the limit of %d", len(body), MaxBodyBytes)
	}
	content, err := decompress(body[hashLength:])
	if err != nil {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "decompress release: %w", err)
	}
	if actual := hashOf(content); actual != stated {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "the body states hash %s but its content has hash %s", stated, actual)
	}
	release := &Release{}
	if err := json.Unmarshal(content, release); err != nil {
		return nil, resultcode.Errorf(resultcode.ConfigSyntax, "decode release: %w", err)
	}
	// Encoding the release again also detects unknown fields, which Unmarshal
	// ignores.
	canonical, err := json.Marshal(release)
	if err != nil || !bytes.Equal(canonical, content) {
		return nil, resultcode.Errorf(resultcode.ConfigSyntax, "release %d is not in canonical form", release.Number)
	}
	if err := release.validate(); err != nil {
		return nil, err
	}
	return release, nil
}

func decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxContentBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxContentBytes {
		return nil, errors.New("the content is longer than the limit")
	}
	return content, nil
}

// validate repeats the checks of Parse and BuildRelease on a decoded release.
func (r *Release) validate() error {
	if faults := check(&r.Configuration); len(faults) > 0 {
		fault := faults[0]
		return resultcode.Errorf(fault.Code, "release %d: %s", r.Number, fault.Message)
	}
	if r.Number == 0 || r.Author == "" || len(r.Author) > MaxAuthorLength || len(r.Note) > MaxNoteLength {
		return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: the number is 0, or the author or the note has an invalid length", r.Number)
	}
	if _, err := time.Parse(time.RFC3339Nano, r.CreatedAt); err != nil {
		return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: invalid creation time: %w", r.Number, err)
	}
	if !r.isSorted() {
		return resultcode.Errorf(resultcode.ConfigSyntax, "release %d: objects are not sorted", r.Number)
	}
	if err := r.validateValues(); err != nil {
		return err
	}
	if err := r.validateIDs(); err != nil {
		return err
	}
	if err := r.validateQuarantine(); err != nil {
		return err
	}
	return r.validateHistory()
}

func (r *Release) validateHistory() error {
	if len(r.History) > MaxHistory {
		return resultcode.Errorf(resultcode.CheckLimit, "release %d: the history has %d records, more than the limit", r.Number, len(r.History))
	}
	newerNumber := r.Number
	for i := range r.History {
		record := &r.History[i]
		validLengths := len(record.Hash) == hashLength && len(record.Author) <= MaxAuthorLength && len(record.Note) <= maxRecordNoteLength
		if record.Number == 0 || record.Number >= newerNumber || !validLengths {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: the history has an invalid record of release %d", r.Number, record.Number)
		}
		if _, err := time.Parse(time.RFC3339Nano, record.CreatedAt); err != nil {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: the history has an invalid creation time of release %d: %w", r.Number, record.Number, err)
		}
		newerNumber = record.Number
	}
	return nil
}

func (r *Release) validateIDs() error {
	services := make(map[uint32]bool, len(r.Services)+1)
	services[0] = true // 0 means that no ID was assigned.
	for i := range r.Services {
		id := uint32(r.Services[i].ID)
		if services[id] || r.Services[i].ID >= r.NextService {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: service %s has the invalid or duplicate ID %d", r.Number, r.Services[i].Name, id)
		}
		services[id] = true
	}
	endpoints := make(map[uint32]bool, r.endpointCount()+1)
	endpoints[0] = true // 0 means that no ID was assigned.
	for i := range r.BackendSets {
		for j := range r.BackendSets[i].Endpoints {
			endpoint := &r.BackendSets[i].Endpoints[j]
			id := uint32(endpoint.ID)
			if endpoints[id] || endpoint.ID >= r.NextEndpoint {
				return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: endpoint %s has the invalid or duplicate ID %d", r.Number, endpoint.Name, id)
			}
			endpoints[id] = true
		}
	}
	return nil
}

func (r *Release) validateQuarantine() error {
	if len(r.Quarantine) > MaxQuarantine {
		return resultcode.Errorf(resultcode.CheckLimit, "release %d: %d addresses are in quarantine, more than the limit", r.Number, len(r.Quarantine))
	}
	previous := ""
	for _, entry := range r.Quarantine {
		if entry.Address <= previous || entry.Since > r.Number || entry.Service == "" {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: the quarantine entry of %q is invalid", r.Number, entry.Address)
		}
		previous = entry.Address
	}
	if address, used := r.findUsedQuarantine(); used {
		return resultcode.Errorf(resultcode.CheckAddressQuarantined, "release %d uses %s, which is in quarantine", r.Number, address)
	}
	return nil
}

// findUsedQuarantine returns an address that is in quarantine although the
// release uses it. It reuses one buffer for the keys, because allocating a string
// for each address took a fifth of the time of the checks.
func (r *Release) findUsedQuarantine() (string, bool) {
	if len(r.Quarantine) == 0 {
		return "", false
	}
	quarantined := make(map[string]struct{}, len(r.Quarantine))
	for i := range r.Quarantine {
		quarantined[r.Quarantine[i].Address] = struct{}{}
	}
	var key []byte
	for i := range r.Services {
		key = appendServiceAddressKey(key[:0], &r.Services[i])
		if _, found := quarantined[string(key)]; found {
			return string(key), true
		}
	}
	for i := range r.BackendSets {
		for j := range r.BackendSets[i].Endpoints {
			key = appendEndpointAddressKey(key[:0], &r.BackendSets[i].Endpoints[j])
			if _, found := quarantined[string(key)]; found {
				return string(key), true
			}
		}
	}
	return "", false
}
