package config

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// maxDeltaBytes is the maximum size of an encoded delta. A longer delta saves
// little compared with the body of the release, which is compressed.
const maxDeltaBytes = 2 * MaxBodyBytes

// delta holds the differences between a base release and a target release. Its
// lists are sorted, so that two releases have exactly one delta.
type delta struct {
	BaseNumber uint64 `json:"base_number"`
	BaseHash   string `json:"base_hash"`
	// Hash is the SHA-256 of the canonical content of the resulting release.
	Hash         string                      `json:"hash"`
	Number       uint64                      `json:"number"`
	Author       string                      `json:"author"`
	Note         string                      `json:"note,omitempty"`
	CreatedAt    string                      `json:"created_at"`
	NextService  common.ServiceID            `json:"next_service"`
	NextEndpoint common.EndpointID           `json:"next_endpoint"`
	Places       changes[Place]              `json:"places,omitzero"`
	Policies     changes[Policy]             `json:"policies,omitzero"`
	Services     changes[Service]            `json:"services,omitzero"`
	BackendSets  backendSetChanges           `json:"backend_sets,omitzero"`
	Rules        changes[Rule]               `json:"rules,omitzero"`
	Quarantine   changes[QuarantinedAddress] `json:"quarantine,omitzero"`
	// The history of the target consists of NewHistory and the first KeptHistory
	// records of the base.
	NewHistory  []ReleaseRecord `json:"new_history,omitempty"`
	KeptHistory int             `json:"kept_history"`
}

// changes holds the differences between two lists of objects, sorted by key.
type changes[T any] struct {
	// Removed holds the keys of the removed objects.
	Removed []string `json:"removed,omitempty"`
	// Put holds the added and the changed objects.
	Put []T `json:"put,omitempty"`
}

// backendSetChanges holds the differences between the backend sets of two
// releases. For a changed set it holds only the endpoints that differ, because a
// set may have MaxEndpointsPerService endpoints.
type backendSetChanges struct {
	Removed []string           `json:"removed,omitempty"`
	Put     []backendSetChange `json:"put,omitempty"`
}

// backendSetChange is an added or changed backend set.
type backendSetChange struct {
	Name      string            `json:"name"`
	Endpoints changes[Endpoint] `json:"endpoints"`
}

func placeKey(p *Place) string                       { return p.Name }
func policyKey(p *Policy) string                     { return p.Name }
func serviceKey(s *Service) string                   { return s.Name }
func backendSetKey(s *BackendSet) string             { return s.Name }
func backendSetChangeKey(s *backendSetChange) string { return s.Name }
func endpointKey(e *Endpoint) string                 { return e.Name }
func ruleKey(r *Rule) string                         { return r.Name }
func quarantineKey(q *QuarantinedAddress) string     { return q.Address }
func stringKey(s *string) string                     { return *s }

// sameBackingArray reports whether two lists share their memory, as unchanged
// lists do after DeltaBase.Apply.
func sameBackingArray(a, b []Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func deltaError(format string, args ...any) error {
	return resultcode.Errorf(resultcode.ConfigSyntax, format, args...)
}

// EncodeDelta returns the delta from base to target as JSON. The caller passes
// the hashes of both releases, because computing them takes longer than comparing
// the releases. It returns an error with the code PublishTooLarge if the delta is
// longer than maxDeltaBytes.
func EncodeDelta(base *Release, baseHash string, target *Release, targetHash string) ([]byte, error) {
	d := delta{
		BaseNumber:   base.Number,
		BaseHash:     baseHash,
		Hash:         targetHash,
		Number:       target.Number,
		Author:       target.Author,
		Note:         target.Note,
		CreatedAt:    target.CreatedAt,
		NextService:  target.NextService,
		NextEndpoint: target.NextEndpoint,
		Places:       changesBetween(base.Places, target.Places, placeKey),
		Policies:     changesBetween(base.Policies, target.Policies, policyKey),
		Services:     changesBetween(base.Services, target.Services, serviceKey),
		BackendSets:  backendSetChangesBetween(base.BackendSets, target.BackendSets),
		Rules:        changesBetween(base.Rules, target.Rules, ruleKey),
		Quarantine:   changesBetween(base.Quarantine, target.Quarantine, quarantineKey),
	}
	d.NewHistory, d.KeptHistory = historyBetween(base.History, target.History)
	encoded, err := json.Marshal(&d)
	if err != nil {
		return nil, deltaError("encode delta from release %d to %d: %w", base.Number, target.Number, err)
	}
	if len(encoded) > maxDeltaBytes {
		return nil, resultcode.Errorf(resultcode.PublishTooLarge, "the delta has %d bytes, more than the limit of %d", len(encoded), maxDeltaBytes)
	}
	return encoded, nil
}

// mergeByKey traverses two lists that are sorted by key. It calls visit once for
// each key in either list, with nil for a list that does not contain the key.
func mergeByKey[A, B any](a []A, keyA func(*A) string, b []B, keyB func(*B) string, visit func(a *A, b *B)) {
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		order := 0
		switch {
		case i == len(a):
			order = 1
		case j == len(b):
			order = -1
		default:
			order = strings.Compare(keyA(&a[i]), keyB(&b[j]))
		}
		switch {
		case order < 0:
			visit(&a[i], nil)
			i++
		case order > 0:
			visit(nil, &b[j])
			j++
		default:
			visit(&a[i], &b[j])
			i++
			j++
		}
	}
}

func changesBetween[T any](base, target []T, key func(*T) string) changes[T] {
	var found changes[T]
	mergeByKey(base, key, target, key, func(before, after *T) {
		switch {
		case after == nil:
			found.Removed = append(found.Removed, key(before))
		case before == nil || !reflect.DeepEqual(before, after):
			found.Put = append(found.Put, *after)
		}
	})
	return found
}

func backendSetChangesBetween(base, target []BackendSet) backendSetChanges {
	var found backendSetChanges
	mergeByKey(base, backendSetKey, target, backendSetKey, func(before, after *BackendSet) {
		if after == nil {
			found.Removed = append(found.Removed, before.Name)
			return
		}
		var old []Endpoint
		if before != nil {
			old = before.Endpoints
		}
		if before != nil && sameBackingArray(old, after.Endpoints) {
			return
		}
		endpoints := changesBetween(old, after.Endpoints, endpointKey)
		if before == nil || len(endpoints.Put)+len(endpoints.Removed) > 0 {
			found.Put = append(found.Put, backendSetChange{Name: after.Name, Endpoints: endpoints})
		}
	})
	return found
}

// historyBetween returns the records of the target that the base does not have,
// and the number of records that both have.
func historyBetween(base, target []ReleaseRecord) ([]ReleaseRecord, int) {
	for start := range target {
		kept := len(target) - start
		if kept <= len(base) && slices.Equal(target[start:], base[:kept]) {
			return target[:start], kept
		}
	}
	return target, 0
}

func decodeDelta(encoded []byte) (*delta, error) {
	if len(encoded) > maxDeltaBytes {
		return nil, resultcode.Errorf(resultcode.PublishTooLarge, "the delta has %d bytes, more than the limit of %d", len(encoded), maxDeltaBytes)
	}
	d := &delta{}
	if err := json.Unmarshal(encoded, d); err != nil {
		return nil, deltaError("decode delta: %w", err)
	}
	// Encoding the delta again also detects unknown fields, which Unmarshal
	// ignores.
	canonical, err := json.Marshal(d)
	if err != nil || !bytes.Equal(canonical, encoded) {
		return nil, deltaError("the delta to release %d is not in canonical form", d.Number)
	}
	return d, nil
}

func (d *delta) apply(base *Release) (*Release, error) {
	release := &Release{
		Number:       d.Number,
		Author:       d.Author,
		Note:         d.Note,
		CreatedAt:    d.CreatedAt,
		NextService:  d.NextService,
		NextEndpoint: d.NextEndpoint,
	}
	var err error
	if release.Places, err = d.Places.apply(base.Places, placeKey); err != nil {
		return nil, err
	}
	if release.Policies, err = d.Policies.apply(base.Policies, policyKey); err != nil {
		return nil, err
	}
	if release.Services, err = d.Services.apply(base.Services, serviceKey); err != nil {
		return nil, err
	}
	if release.BackendSets, err = d.BackendSets.apply(base.BackendSets); err != nil {
		return nil, err
	}
	if release.Rules, err = d.Rules.apply(base.Rules, ruleKey); err != nil {
		return nil, err
	}
	if release.Quarantine, err = d.Quarantine.apply(base.Quarantine, quarantineKey); err != nil {
		return nil, err
	}
	if d.KeptHistory < 0 || d.KeptHistory > len(base.History) {
		return nil, deltaError("the delta keeps %d records of the history, but the base has %d", d.KeptHistory, len(base.History))
	}
	// In the canonical form, the history of the first release is an empty list,
	// not null.
	release.History = make([]ReleaseRecord, 0, len(d.NewHistory)+d.KeptHistory)
	release.History = append(release.History, d.NewHistory...)
	release.History = append(release.History, base.History[:d.KeptHistory]...)
	return release, nil
}

// strictlyAscending reports whether the list is sorted by key without duplicates.
func strictlyAscending[T any](list []T, key func(*T) string) bool {
	for i := 1; i < len(list); i++ {
		if key(&list[i-1]) >= key(&list[i]) {
			return false
		}
	}
	return true
}

// apply returns the changed list, or the list of the base if nothing changed.
func (c *changes[T]) apply(base []T, key func(*T) string) ([]T, error) {
	if len(c.Removed)+len(c.Put) == 0 {
		return base, nil
	}
	return applyChanges(base, key, c.Removed, c.Put, key, func(before, after *T) (T, error) {
		if before != nil && reflect.DeepEqual(before, after) {
			return *after, deltaError("the delta contains the unchanged object %s", key(after))
		}
		return *after, nil
	})
}

func (c *backendSetChanges) apply(base []BackendSet) ([]BackendSet, error) {
	if len(c.Removed)+len(c.Put) == 0 {
		return base, nil
	}
	return applyChanges(base, backendSetKey, c.Removed, c.Put, backendSetChangeKey, func(before *BackendSet, change *backendSetChange) (BackendSet, error) {
		set := BackendSet{Name: change.Name, Endpoints: []Endpoint{}}
		if before != nil {
			set.Endpoints = before.Endpoints
		}
		if len(change.Endpoints.Removed)+len(change.Endpoints.Put) == 0 {
			return set, deltaError("the delta contains the unchanged backend set %s", change.Name)
		}
		var err error
		set.Endpoints, err = change.Endpoints.apply(set.Endpoints, endpointKey)
		return set, err
	})
}

// applyChanges returns the list that a delta produces. It consists of the objects
// of the base that were neither removed nor put, and the result of merge for each
// object that was put.
func applyChanges[T, P any](base []T, key func(*T) string, removed []string, put []P, putKey func(*P) string,
	merge func(before *T, change *P) (T, error),
) ([]T, error) {
	if !strictlyAscending(removed, stringKey) || !strictlyAscending(put, putKey) {
		return nil, deltaError("the changes of the delta are not sorted")
	}
	kept := make([]*T, 0, len(base))
	var lastErr error
	mergeByKey(base, key, removed, stringKey, func(object *T, name *string) {
		switch {
		case object == nil:
			lastErr = deltaError("the delta removes %s, which the base does not contain", *name)
		case name == nil:
			kept = append(kept, object)
		default:
			if _, found := slices.BinarySearchFunc(put, *name, func(p P, name string) int { return strings.Compare(putKey(&p), name) }); found {
				lastErr = deltaError("the delta both removes and puts %s", *name)
			}
		}
	})
	result := make([]T, 0, len(kept)+len(put))
	mergeByKey(kept, func(object **T) string { return key(*object) }, put, putKey, func(object **T, change *P) {
		if change == nil {
			result = append(result, **object)
			return
		}
		var before *T
		if object != nil {
			before = *object
		}
		merged, err := merge(before, change)
		if err != nil {
			lastErr = err
		}
		result = append(result, merged)
	})
	return result, lastErr
}
