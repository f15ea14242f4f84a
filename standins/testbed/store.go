package testbed

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

// meta is the metadata of an object, which the store maintains.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is one stored object.
type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// change is one event in the history of a kind.
type change struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

// Store holds objects by kind and name under one revision counter.
type Store struct {
	mu sync.Mutex
	// era is incremented by each restore.
	era      uint64
	revision uint64
	objects  map[string]map[string]object
	history  map[string][]change
	// droppedThrough is the last revision that was dropped from the history.
	droppedThrough uint64
	// watchesBlocked withholds all responses from watches.
	watchesBlocked bool
	// changed is closed and replaced at each change.
	changed chan struct{}
	calls   int
	// pageSize is the number of objects in one page of a list.
	pageSize int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		era:      1,
		revision: 1,
		objects:  make(map[string]map[string]object),
		history:  make(map[string][]change),
		changed:  make(chan struct{}),
		pageSize: defaultPageSize,
	}
}

// Put writes an object regardless of its current revision and returns the new
// revision. If the content is unchanged, the object keeps its revision.
func (s *Store) Put(kind, name string, spec json.RawMessage) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	if exists && string(current.Spec) == string(spec) {
		return current.Meta.Revision
	}
	created := current.Meta.Created
	if !exists {
		created = s.revision + 1
	}
	stored := object{Meta: meta{Name: name, Created: created, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	s.record(kind, stored, false)
	return s.revision
}

// Heartbeat writes the record of an endpoint. A record that differs only in its sequence
// number leaves the object unchanged.
func (s *Store) Heartbeat(name string, record json.RawMessage) {
	s.mu.Lock()
	current, exists := s.objects[endpointKind][name]
	s.mu.Unlock()
	if !exists || !sameWithoutSequence(current.Spec, record) {
		s.Put(endpointKind, name, record)
	}
}

// endpointKind is the kind of the records of endpoints.
const endpointKind = "servers"

func sameWithoutSequence(a, b json.RawMessage) bool {
	var left, right map[string]any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return false
	}
	delete(left, "sequence")
	delete(right, "sequence")
	return maps.Equal(left, right)
}

// Remove deletes an object if it exists.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) remove(kind, name string) {
	if current, exists := s.objects[kind][name]; exists {
		s.record(kind, current, true)
	}
}

func (s *Store) record(kind string, stored object, deleted bool) {
	s.revision++
	stored.Meta.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if deleted {
		delete(s.objects[kind], stored.Meta.Name)
	} else {
		s.objects[kind][stored.Meta.Name] = stored
	}
	s.history[kind] = append(s.history[kind], change{Deleted: deleted, Object: stored})
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history. Watches from an earlier revision get status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedThrough = s.revision
	clear(s.history)
}

// BlockWatches sets whether watches get no response.
func (s *Store) BlockWatches(watchesBlocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchesBlocked = watchesBlocked
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls to all servers of the store so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the current revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Names returns the sorted names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// defaultPageSize is the default number of objects in one page of a list.
const defaultPageSize = 50

// SetPageSize sets the number of objects in one page of a list.
func (s *Store) SetPageSize(objects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize = objects
}

// position is the era and the revision of a store.
type position struct {
	era, revision uint64
}

// position returns the current position. The caller holds mu.
func (s *Store) position() position { return position{s.era, s.revision} }

// list returns one page of the objects of a kind whose names sort after a name.
func (s *Store) list(kind, after string) (items []object, hasMore bool, at position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items = []object{}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		if len(items) == s.pageSize {
			return items, true, s.position()
		}
		items = append(items, s.objects[kind][name])
	}
	return items, false, s.position()
}

// events returns the changes of a kind after a revision, whether the history still
// contains all of them, whether watches are blocked, and a channel that is closed at
// the next change.
func (s *Store) events(kind string, after uint64) (events []change, at position, complete, watchesBlocked bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedThrough || after > s.revision {
		return nil, s.position(), false, s.watchesBlocked, s.changed
	}
	events = []change{}
	for _, c := range s.history[kind] {
		if c.Object.Meta.Revision > after {
			events = append(events, c)
		}
	}
	return events, s.position(), true, s.watchesBlocked, s.changed
}
