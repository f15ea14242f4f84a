// Package platform is a test double of the platform's object API and instance
// list. Objects are held in memory. The API implements the part of the
// Kubernetes API conventions described in docs/design.md section 5.2.
package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// APIVersion is the apiVersion of all objects.
const APIVersion = "burdockrelay.example/v1"

// Metadata is the metadata of an object.
type Metadata struct {
	Name              string `json:"name"`
	ResourceVersion   string `json:"resourceVersion"`
	CreationTimestamp string `json:"creationTimestamp,omitempty"`
}

// Object is a stored object.
type Object struct {
	Kind       string          `json:"kind"`
	APIVersion string          `json:"apiVersion"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

// Event types of a watch.
const (
	eventAdded    = "ADDED"
	eventModified = "MODIFIED"
	eventDeleted  = "DELETED"
	eventBookmark = "BOOKMARK"
	eventError    = "ERROR"
)

// Event is one event of a watch, sent as one line of JSON.
type Event struct {
	Type   string `json:"type"`
	Object any    `json:"object"`

	version uint64
}

// StatusError is the body of an error response, a Kubernetes Status.
type StatusError struct {
	Kind    string `json:"kind"`
	Reason  string `json:"reason"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}

func newStatusError(code int, reason, format string, arguments ...any) *StatusError {
	return &StatusError{Kind: "Status", Reason: reason, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

func notFoundError(name string) *StatusError {
	return newStatusError(http.StatusNotFound, "NotFound", "object %q does not exist", name)
}

func expiredError(version uint64) *StatusError {
	return newStatusError(http.StatusGone, "Expired", "resourceVersion %d is outside the event history", version)
}

// store holds the collections. They share one version counter, which every
// change increments. It is safe for concurrent use. In its methods, name is the
// name of a collection and key the name of an object in it.
type store struct {
	mutex sync.Mutex
	// era is the number of restores so far.
	era         uint64
	version     uint64
	historySize int
	collections map[string]*collection
	// changed is closed and replaced at every change.
	changed chan struct{}
}

type collection struct {
	objects map[string]Object
	events  []Event
	// expired is the version of the newest event dropped from the history.
	expired uint64
}

// newStore returns a store with the named collections, which are empty. It keeps
// up to historySize events for each.
func newStore(historySize int, names ...string) *store {
	s := &store{
		// A watch from version 0 starts with the current objects, so 0 must not
		// be a version of the store.
		version:     1,
		historySize: historySize,
		collections: make(map[string]*collection),
		changed:     make(chan struct{}),
	}
	for _, name := range names {
		s.collections[name] = &collection{objects: make(map[string]Object)}
	}
	return s
}

// list returns the objects of a collection, sorted by name, and the version of
// the store.
func (s *store) list(name string) ([]Object, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sortedObjects(name), s.version
}

// sortedObjects returns the objects of a collection, sorted by name. The caller
// holds the mutex.
func (s *store) sortedObjects(name string) []Object {
	objects := s.collections[name].objects
	items := make([]Object, 0, len(objects))
	for _, key := range slices.Sorted(maps.Keys(objects)) {
		items = append(items, objects[key])
	}
	return items
}

func (s *store) get(name, key string) (Object, *StatusError) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, ok := s.collections[name].objects[key]
	if !ok {
		return Object{}, notFoundError(key)
	}
	return object, nil
}

func (s *store) create(name string, object Object, now time.Time) (Object, *StatusError) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := object.Metadata.Name
	if _, exists := s.collections[name].objects[key]; exists {
		return Object{}, newStatusError(http.StatusConflict, "AlreadyExists", "object %q already exists", key)
	}
	object.Metadata.CreationTimestamp = now.UTC().Format(time.RFC3339)
	return s.put(name, object, eventAdded), nil
}

func (s *store) update(name string, object Object) (Object, *StatusError) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := object.Metadata.Name
	current, exists := s.collections[name].objects[key]
	if !exists {
		return Object{}, notFoundError(key)
	}
	if object.Metadata.ResourceVersion != current.Metadata.ResourceVersion {
		return Object{}, newStatusError(http.StatusConflict, "Conflict", "object %q is at resourceVersion %s, not %s",
			key, current.Metadata.ResourceVersion, object.Metadata.ResourceVersion)
	}
	object.Metadata.CreationTimestamp = current.Metadata.CreationTimestamp
	return s.put(name, object, eventModified), nil
}

// set creates or replaces an object without checking its resourceVersion, for
// the control interface.
func (s *store) set(name string, object Object, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, exists := s.collections[name].objects[object.Metadata.Name]
	if !exists {
		object.Metadata.CreationTimestamp = now.UTC().Format(time.RFC3339)
		s.put(name, object, eventAdded)
		return
	}
	object.Metadata.CreationTimestamp = current.Metadata.CreationTimestamp
	s.put(name, object, eventModified)
}

// remove deletes an object. Unless resourceVersion is empty, it must match that
// of the object.
func (s *store) remove(name, key, resourceVersion string) (Object, *StatusError) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, exists := s.collections[name].objects[key]
	if !exists {
		return Object{}, notFoundError(key)
	}
	if resourceVersion != "" && resourceVersion != object.Metadata.ResourceVersion {
		return Object{}, newStatusError(http.StatusConflict, "Conflict", "object %q is at resourceVersion %s, not %s",
			key, object.Metadata.ResourceVersion, resourceVersion)
	}
	delete(s.collections[name].objects, key)
	s.version++
	object.Metadata.ResourceVersion = formatVersion(s.version)
	s.record(name, eventDeleted, object)
	return object, nil
}

// put stores an object under the next version and records the event. The caller
// holds the mutex.
func (s *store) put(name string, object Object, eventType string) Object {
	s.version++
	object.Metadata.ResourceVersion = formatVersion(s.version)
	s.collections[name].objects[object.Metadata.Name] = object
	s.record(name, eventType, object)
	return object
}

// record appends an event to the history, drops the oldest one if there are more
// than historySize and notifies the watches.
func (s *store) record(name, eventType string, object Object) {
	c := s.collections[name]
	c.events = append(c.events, Event{Type: eventType, Object: object, version: s.version})
	if len(c.events) > s.historySize {
		c.expired = c.events[0].version
		c.events = slices.Delete(c.events, 0, 1)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot returns the objects of a collection as ADDED events, and the version
// of the store.
func (s *store) snapshot(name string) ([]Event, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var events []Event
	for _, object := range s.sortedObjects(name) {
		events = append(events, Event{Type: eventAdded, Object: object})
	}
	return events, s.version
}

// eventsSince returns the events after a version, the current version of the
// store and a channel that is closed at the next change. It fails if the history
// no longer contains all of those events or the version is in the future.
func (s *store) eventsSince(name string, version uint64) ([]Event, uint64, <-chan struct{}, *StatusError) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.collections[name]
	// A version greater than that of the store was issued before a restart of
	// the platform.
	if version < c.expired || version > s.version {
		return nil, 0, nil, expiredError(version)
	}
	first, _ := slices.BinarySearchFunc(c.events, version+1, func(event Event, target uint64) int {
		return int(int64(event.version) - int64(target))
	})
	return slices.Clone(c.events[first:]), s.version, s.changed, nil
}

func formatVersion(version uint64) string {
	return strconv.FormatUint(version, 10)
}
