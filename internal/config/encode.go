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
	// MaxBodyBytes bounds the encoded body. The platform stores values up to
	// one megabyte and the body grows by a third as base64 in its JSON object.
	MaxBodyBytes = 700_000
	// maxContentBytes bounds the decompressed body against gzip bombs.
	maxContentBytes = 32 << 20
)

// hashLength is the length of a SHA-256 hash in hexadecimal.
const hashLength = 2 * sha256.Size

// Hash returns the SHA-256 of the canonical form of the objects. It does not
// depend on numbers, files or their order. Release.Hash is another value.
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
		// The objects hold only strings, numbers and valid addresses.
		panic(err)
	}
	return hashOf(content)
}

// Hash returns the SHA-256 of the canonical content, as Encode does.
func (r *Release) Hash() string {
	content, err := json.Marshal(r)
	if err != nil {
		// A release holds only strings, numbers and valid addresses.
		panic(err)
	}
	return hashOf(content)
}

func hashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Encode returns the compressed body and the SHA-256 of the canonical content
// in hexadecimal. The body starts with the hash, so that DecodeRelease detects
// damage by itself. The hash covers the content before compression: another
// version of the compressor may write other bytes for the same release.
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
			"release %d has %d bytes, more than %d", r.Number, buffer.Len(), MaxBodyBytes)
	}
	return buffer.Bytes(), hash, nil
}

// BodyHash returns the hash that the body states. DecodeRelease verifies it.
func BodyHash(body []byte) (string, error) {
	if len(body) < hashLength {
		return "", resultcode.Errorf(resultcode.ReleaseHashMismatch, "the body has %d bytes and no hash", len(body))
	}
	return string(body[:hashLength]), nil
}

// DecodeRelease decodes a body, verifies its hash and repeats all checks. The
// caller compares BodyHash with the hash in the pointer.
func DecodeRelease(body []byte) (*Release, error) {
	stated, err := BodyHash(body)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBodyBytes {
		return nil, resultcode.Errorf(resultcode.PublishTooLarge, "the body has %d bytes, more than %d", len(body), MaxBodyBytes)
	}
	content, err := decompress(body[hashLength:])
	if err != nil {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "decompress release: %w", err)
	}
	if found := hashOf(content); found != stated {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "the body states hash %s and has %s", stated, found)
	}
	release := &Release{}
	if err := json.Unmarshal(content, release); err != nil {
		return nil, resultcode.Errorf(resultcode.ConfigSyntax, "decode release: %w", err)
	}
	// The comparison also finds unknown fields, which Unmarshal ignores.
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
		return nil, errors.New("content is too large")
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
		return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: number, author or note is out of range", r.Number)
	}
	if _, err := time.Parse(time.RFC3339Nano, r.CreatedAt); err != nil {
		return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: time of creation: %w", r.Number, err)
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
		return resultcode.Errorf(resultcode.CheckLimit, "release %d: %d releases in the history", r.Number, len(r.History))
	}
	after := r.Number
	for i := range r.History {
		record := &r.History[i]
		bounded := len(record.Hash) == hashLength && len(record.Author) <= MaxAuthorLength && len(record.Note) <= maxRecordNote
		if record.Number == 0 || record.Number >= after || !bounded {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: release %d in the history is not valid", r.Number, record.Number)
		}
		if _, err := time.Parse(time.RFC3339Nano, record.CreatedAt); err != nil {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: time of release %d: %w", r.Number, record.Number, err)
		}
		after = record.Number
	}
	return nil
}

func (r *Release) validateIDs() error {
	services := make(map[uint32]bool, len(r.Services)+1)
	services[0] = true
	for i := range r.Services {
		id := uint32(r.Services[i].ID)
		if services[id] || r.Services[i].ID >= r.NextService {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: service %s has number %d", r.Number, r.Services[i].Name, id)
		}
		services[id] = true
	}
	endpoints := make(map[uint32]bool, r.endpointCount()+1)
	endpoints[0] = true
	for i := range r.BackendSets {
		for j := range r.BackendSets[i].Endpoints {
			endpoint := &r.BackendSets[i].Endpoints[j]
			id := uint32(endpoint.ID)
			if endpoints[id] || endpoint.ID >= r.NextEndpoint {
				return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: endpoint %s has number %d", r.Number, endpoint.Name, id)
			}
			endpoints[id] = true
		}
	}
	return nil
}

func (r *Release) validateQuarantine() error {
	if len(r.Quarantine) > MaxQuarantine {
		return resultcode.Errorf(resultcode.CheckLimit, "release %d: %d addresses in quarantine", r.Number, len(r.Quarantine))
	}
	before := ""
	for _, entry := range r.Quarantine {
		if entry.Address <= before || entry.Since > r.Number || entry.Service == "" {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: quarantine of %q is not valid", r.Number, entry.Address)
		}
		before = entry.Address
	}
	if address, used := r.findUsedQuarantine(); used {
		return resultcode.Errorf(resultcode.CheckAddressQuarantined, "release %d uses %s, which is in quarantine", r.Number, address)
	}
	return nil
}

// findUsedQuarantine returns an address that is in quarantine and in use. It builds
// no text for each address in use, which took a fifth of the checks.
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
