package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// DeltaBase is a checked release to which deltas can be applied. It keeps the encoded
// form of each object, because encoding all objects again for the hash takes
// half the time of a delta at the target scale. Releases share the parts that do
// not differ.
type DeltaBase struct {
	release *Release
	hash    string
	once    sync.Once
	encoded   *encodedObjects
	encodeErr error
}

// NewDeltaBase returns a base for a release from DecodeRelease or BuildRelease and its
// hash. The release must not change any more.
func NewDeltaBase(release *Release, hash string) *DeltaBase {
	return &DeltaBase{release: release, hash: hash}
}

// Release returns the release of the base.
func (b *DeltaBase) Release() *Release { return b.release }

// Hash returns the SHA-256 of the canonical content of the release.
func (b *DeltaBase) Hash() string { return b.hash }

// Apply returns the release to which a delta leads. It refuses a delta on another
// base, one in another form than EncodeDelta writes, and one whose result lacks
// the stated hash or fails a check of DecodeRelease. The caller compares the hash
// with the one in the pointer.
func (b *DeltaBase) Apply(encoded []byte) (*DeltaBase, error) {
	d, err := decodeDelta(encoded)
	if err != nil {
		return nil, err
	}
	if d.BaseNumber != b.release.Number || d.BaseHash != b.hash {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "the delta is on release %d with hash %s, not on release %d with hash %s",
			d.BaseNumber, d.BaseHash, b.release.Number, b.hash)
	}
	release, err := d.apply(b.release)
	if err != nil {
		return nil, err
	}
	b.once.Do(func() { b.encoded, b.encodeErr = encodeObjects(b.release) })
	if b.encodeErr != nil {
		return nil, b.encodeErr
	}
	encodedParts, err := b.encoded.update(d, b.release, release)
	if err != nil {
		return nil, err
	}
	found, err := encodedParts.hash(release)
	if err != nil {
		return nil, err
	}
	if found != d.Hash {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "the delta states hash %s and leads to %s", d.Hash, found)
	}
	if err := release.validate(); err != nil {
		return nil, err
	}
	applied := NewDeltaBase(release, d.Hash)
	applied.once.Do(func() { applied.encoded = encodedParts })
	return applied, nil
}

// encodedObjects holds the JSON of each object of a release in the order of its lists.
type encodedObjects struct {
	places, policies, services, sets, rules, quarantine, history [][]byte
}

func encodeObjects(r *Release) (*encodedObjects, error) {
	var e objectEncoder
	return &encodedObjects{
		places:     encodeList(&e, r.Places),
		policies:   encodeList(&e, r.Policies),
		services:   encodeList(&e, r.Services),
		sets:       encodeList(&e, r.BackendSets),
		rules:      encodeList(&e, r.Rules),
		quarantine: encodeList(&e, r.Quarantine),
		history:    encodeList(&e, r.History),
	}, e.err
}

// update returns the parts of the release that the delta made of the base.
func (p *encodedObjects) update(d *delta, base, release *Release) (*encodedObjects, error) {
	var e objectEncoder
	next := &encodedObjects{
		places:     updateList(&e, p.places, base.Places, release.Places, placeKey, d.Places.Put, placeKey),
		policies:   updateList(&e, p.policies, base.Policies, release.Policies, policyKey, d.Policies.Put, policyKey),
		services:   updateList(&e, p.services, base.Services, release.Services, serviceName, d.Services.Put, serviceName),
		sets:       updateList(&e, p.sets, base.BackendSets, release.BackendSets, setKey, d.BackendSets.Put, setChangeKey),
		rules:      updateList(&e, p.rules, base.Rules, release.Rules, ruleKey, d.Rules.Put, ruleKey),
		quarantine: updateList(&e, p.quarantine, base.Quarantine, release.Quarantine, quarantineKey, d.Quarantine.Put, quarantineKey),
	}
	next.history = append(encodeList(&e, d.NewHistory), p.history[:d.KeptHistory]...)
	return next, e.err
}

// objectEncoder keeps the first failure.
type objectEncoder struct{ err error }

func (e *objectEncoder) encode(object any) []byte {
	encoded, err := json.Marshal(object)
	if err != nil && e.err == nil {
		e.err = resultcode.Errorf(resultcode.ConfigSyntax, "encode object: %w", err)
	}
	return encoded
}

func encodeList[T any](e *objectEncoder, objects []T) [][]byte {
	encoded := make([][]byte, len(objects))
	for i := range objects {
		encoded[i] = e.encode(&objects[i])
	}
	return encoded
}

// updateList encodes what was put and takes the other parts from the base. All
// lists are sorted by key.
func updateList[T, P any](e *objectEncoder, old [][]byte, base, objects []T, key func(*T) string, put []P, putKey func(*P) string) [][]byte {
	if len(put) == 0 && len(objects) == len(base) {
		return old
	}
	encoded := make([][]byte, len(objects))
	before, nextPut := 0, 0
	for i := range objects {
		name := key(&objects[i])
		if nextPut < len(put) && putKey(&put[nextPut]) == name {
			encoded[i] = e.encode(&objects[i])
			nextPut++
			continue
		}
		for strings.Compare(key(&base[before]), name) < 0 {
			before++
		}
		encoded[i] = old[before]
	}
	return encoded
}

// emptyLists ends the JSON of a release without lists.
const emptyLists = `"places":null,"policies":null,"services":null,"backend_sets":null,"rules":null,"quarantine":null,"history":null}`

// hash returns the SHA-256 of the canonical content of the release.
func (p *encodedObjects) hash(r *Release) (string, error) {
	header, err := json.Marshal(&Release{
		Number: r.Number, Author: r.Author, Note: r.Note, CreatedAt: r.CreatedAt,
		NextService: r.NextService, NextEndpoint: r.NextEndpoint,
	})
	if err != nil {
		return "", resultcode.Errorf(resultcode.ConfigSyntax, "encode release %d: %w", r.Number, err)
	}
	start, found := bytes.CutSuffix(header, []byte(emptyLists))
	if !found {
		return "", fmt.Errorf("release %d is not encoded with the expected lists", r.Number)
	}
	digest := sha256.New()
	_, _ = digest.Write(start)
	writeList(digest, `"places":`, p.places)
	writeList(digest, `,"policies":`, p.policies)
	writeList(digest, `,"services":`, p.services)
	writeList(digest, `,"backend_sets":`, p.sets)
	writeList(digest, `,"rules":`, p.rules)
	writeList(digest, `,"quarantine":`, p.quarantine)
	writeList(digest, `,"history":`, p.history)
	_, _ = digest.Write([]byte{'}'})
	return hex.EncodeToString(digest.Sum(nil)), nil
}

// writeList writes a JSON array. A hash never returns an error.
func writeList(digest io.Writer, field string, list [][]byte) {
	_, _ = io.WriteString(digest, field)
	separator := []byte{'['}
	for _, part := range list {
		_, _ = digest.Write(separator)
		_, _ = digest.Write(part)
		separator = []byte{','}
	}
	if len(list) == 0 {
		_, _ = digest.Write(separator)
	}
	_, _ = digest.Write([]byte{']'})
}
