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

// DeltaBase is a validated release to which deltas can be applied. It caches the
// JSON of each object, because encoding all objects again for the hash takes half
// the time of applying a delta at the target scale. Successive bases share the
// lists that a delta does not change.
type DeltaBase struct {
	release        *Release
	hash           string
	once           sync.Once
	encodedObjects *encodedObjects
	encodeErr      error
}

// NewDeltaBase returns a base for a release from DecodeRelease or BuildRelease
// and its hash. The caller must not modify the release afterwards.
func NewDeltaBase(release *Release, hash string) *DeltaBase {
	return &DeltaBase{release: release, hash: hash}
}

// Release returns the release of the base.
func (b *DeltaBase) Release() *Release { return b.release }

// Hash returns the SHA-256 of the canonical content of the release.
func (b *DeltaBase) Hash() string { return b.hash }

// Apply returns the base for the release that a delta produces. It returns an
// error with a result code for a delta that has another base, is not in the
// canonical form of EncodeDelta, or produces a release with another hash than
// stated or one that DecodeRelease would reject. The caller compares the hash of
// the result with the one in the pointer object, which names the accepted release.
func (b *DeltaBase) Apply(encoded []byte) (*DeltaBase, error) {
	d, err := decodeDelta(encoded)
	if err != nil {
		return nil, err
	}
	if d.BaseNumber != b.release.Number || d.BaseHash != b.hash {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "the delta applies to release %d with hash %s, but the base is release %d with hash %s",
			d.BaseNumber, d.BaseHash, b.release.Number, b.hash)
	}
	release, err := d.apply(b.release)
	if err != nil {
		return nil, err
	}
	b.once.Do(func() { b.encodedObjects, b.encodeErr = encodeObjects(b.release) })
	if b.encodeErr != nil {
		return nil, b.encodeErr
	}
	updated, err := b.encodedObjects.update(d, b.release, release)
	if err != nil {
		return nil, err
	}
	actual, err := updated.hash(release)
	if err != nil {
		return nil, err
	}
	if actual != d.Hash {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "the delta states hash %s but produces a release with hash %s", d.Hash, actual)
	}
	if err := release.validate(); err != nil {
		return nil, err
	}
	applied := NewDeltaBase(release, d.Hash)
	applied.once.Do(func() { applied.encodedObjects = updated })
	return applied, nil
}

// encodedObjects holds the JSON of each object of a release, in the order of the
// lists of the release.
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
	}, e.firstErr
}

// update returns the encoded objects of the release that the delta produced from
// the base.
func (o *encodedObjects) update(d *delta, base, release *Release) (*encodedObjects, error) {
	var e objectEncoder
	next := &encodedObjects{
		places:     updateList(&e, o.places, base.Places, release.Places, placeKey, d.Places.Put, placeKey),
		policies:   updateList(&e, o.policies, base.Policies, release.Policies, policyKey, d.Policies.Put, policyKey),
		services:   updateList(&e, o.services, base.Services, release.Services, serviceKey, d.Services.Put, serviceKey),
		sets:       updateList(&e, o.sets, base.BackendSets, release.BackendSets, backendSetKey, d.BackendSets.Put, backendSetChangeKey),
		rules:      updateList(&e, o.rules, base.Rules, release.Rules, ruleKey, d.Rules.Put, ruleKey),
		quarantine: updateList(&e, o.quarantine, base.Quarantine, release.Quarantine, quarantineKey, d.Quarantine.Put, quarantineKey),
	}
	next.history = append(encodeList(&e, d.NewHistory), o.history[:d.KeptHistory]...)
	return next, e.firstErr
}

// objectEncoder encodes objects as JSON and keeps the first error.
type objectEncoder struct{ firstErr error }

func (e *objectEncoder) encode(object any) []byte {
	encoded, err := json.Marshal(object)
	if err != nil && e.firstErr == nil {
		e.firstErr = resultcode.Errorf(resultcode.ConfigSyntax, "encode object: %w", err)
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

// updateList encodes the objects that the delta put and reuses the encoded
// objects of the base for all others. All lists are sorted by key.
func updateList[T, P any](e *objectEncoder, old [][]byte, base, objects []T, key func(*T) string, put []P, putKey func(*P) string) [][]byte {
	if len(put) == 0 && len(objects) == len(base) {
		return old
	}
	encoded := make([][]byte, len(objects))
	nextBase, nextPut := 0, 0
	for i := range objects {
		name := key(&objects[i])
		if nextPut < len(put) && putKey(&put[nextPut]) == name {
			encoded[i] = e.encode(&objects[i])
			nextPut++
			continue
		}
		for strings.Compare(key(&base[nextBase]), name) < 0 {
			nextBase++
		}
		encoded[i] = old[nextBase]
	}
	return encoded
}

// emptyLists is the end of the JSON of a release whose lists are nil.
const emptyLists = `"places":null,"policies":null,"services":null,"backend_sets":null,"rules":null,"quarantine":null,"history":null}`

// hash returns the SHA-256 of the canonical content of the release in
// hexadecimal. It equals Release.Hash, but encodes only the fields before the
// lists.
func (o *encodedObjects) hash(r *Release) (string, error) {
	header, err := json.Marshal(&Release{
		Number: r.Number, Author: r.Author, Note: r.Note, CreatedAt: r.CreatedAt,
		NextService: r.NextService, NextEndpoint: r.NextEndpoint,
	})
	if err != nil {
		return "", resultcode.Errorf(resultcode.ConfigSyntax, "encode release %d: %w", r.Number, err)
	}
	scalars, found := bytes.CutSuffix(header, []byte(emptyLists))
	if !found {
		return "", fmt.Errorf("the JSON of release %d does not end with its lists", r.Number)
	}
	digest := sha256.New()
	_, _ = digest.Write(scalars)
	writeList(digest, `"places":`, o.places)
	writeList(digest, `,"policies":`, o.policies)
	writeList(digest, `,"services":`, o.services)
	writeList(digest, `,"backend_sets":`, o.sets)
	writeList(digest, `,"rules":`, o.rules)
	writeList(digest, `,"quarantine":`, o.quarantine)
	writeList(digest, `,"history":`, o.history)
	_, _ = digest.Write([]byte{'}'})
	return hex.EncodeToString(digest.Sum(nil)), nil
}

// writeList writes a field and its JSON array to the digest. Writes to a hash
// never return an error.
func writeList(digest io.Writer, field string, list [][]byte) {
	_, _ = io.WriteString(digest, field)
	separator := []byte{'['}
	for _, object := range list {
		_, _ = digest.Write(separator)
		_, _ = digest.Write(object)
		separator = []byte{','}
	}
	if len(list) == 0 {
		_, _ = digest.Write(separator)
	}
	_, _ = digest.Write([]byte{']'})
}
