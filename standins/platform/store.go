// Package platform stands in for the platform's object API and instance list.
// Objects are held in memory. The API follows the Kubernetes API conventions
// as far as docs/design.md section 5.2 uses them.
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

// APIVersion of all objects.
const APIVersion = "burdockrelay.example/v1"

// Metadata of an object.
type Metadata struct {
	Name              string `json:"name"`
	ResourceVersion   string `json:"resourceVersion"`
	CreationTimestamp string `json:"creationTimestamp,omitempty"`
}

// Object is one stored object.
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

// Event is one line of a watch.
type Event struct {
	Type   string `json:"type"`
	Object any    `json:"object"`

	version uint64
}

// StatusError is the body of an unsuccessful response.
type StatusError struct {
	Kind    string `json:"kind"`
	Reason  string `json:"reason"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (f *StatusError) Error() string {
	return fmt.Sprintf("%s: %s", f.Reason, f.Message)
}

func newStatusError(code int, reason, format string, arguments ...any) *StatusError {
	return &StatusError{Kind: "Status", Reason: reason, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

func notFoundError(name string) *StatusError {
	return newStatusError(http.StatusNotFound, "NotFound", "object %q does not exist", name)
}

func expiredError(version uint64) *StatusError {
	return newStatusError(http.StatusGone, "Expired", "resourceVersion %d is not in the event history", version)
}

// store holds the collections. One counter numbers the changes of all of them.
type store struct {
	mutex       sync.Mutex
	version     uint64
	historySize int
	collections map[string]*collection
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type collection struct {
	objects map[string]Object
	events  []Event
	// expired is the version of the newest event that left the history.
	expired uint64
}

// newStore returns a store that keeps the given number of events for each
// collection.
func newStore(history int, names ...string) *store {
	s := &store{
		// A version of 0 in a watch request means "from the present state".
		version:     1,
		historySize: history,
		collections: make(map[string]*collection),
		changed:     make(chan struct{}),
	}
	for _, name := range names {
		s.collections[name] = &collection{objects: make(map[string]Object)}
	}
	return s
}

func (s *store) list(name string) ([]Object, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sortedObjects(name), s.version
}

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
		return Object{}, newStatusError(http.StatusConflict, "AlreadyExists", "object %q exists", key)
	}
	object.Metadata.CreationTimestamp = now.UTC().Format(time.RFC3339)
	return s.put(name, object, eventAdded), nil
}

func (s *store) update(name string, object Object) (Object, *StatusError) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := object.Metadata.Name
	present, exists := s.collections[name].objects[key]
	if !exists {
		return Object{}, notFoundError(key)
	}
	if object.Metadata.ResourceVersion != present.Metadata.ResourceVersion {
		return Object{}, newStatusError(http.StatusConflict, "Conflict", "object %q is at resourceVersion %s, not %s",
			key, present.Metadata.ResourceVersion, object.Metadata.ResourceVersion)
	}
	object.Metadata.CreationTimestamp = present.Metadata.CreationTimestamp
	return s.put(name, object, eventModified), nil
}

// set creates or replaces an object without a condition, for the control
// interface.
func (s *store) set(name string, object Object, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	present, exists := s.collections[name].objects[object.Metadata.Name]
	if !exists {
		object.Metadata.CreationTimestamp = now.UTC().Format(time.RFC3339)
		s.put(name, object, eventAdded)
		return
	}
	object.Metadata.CreationTimestamp = present.Metadata.CreationTimestamp
	s.put(name, object, eventModified)
}

// remove deletes an object. A resourceVersion that is not empty must match.
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

func (s *store) put(name string, object Object, eventType string) Object {
	s.version++
	object.Metadata.ResourceVersion = formatVersion(s.version)
	s.collections[name].objects[object.Metadata.Name] = object
	s.record(name, eventType, object)
	return object
}

// record appends an event, drops the oldest one past the limit and wakes the
// watches.
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

// snapshot returns the objects as ADDED events, with the version of the list.
func (s *store) snapshot(name string) ([]Event, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var events []Event
	for _, object := range s.sortedObjects(name) {
		events = append(events, Event{Type: eventAdded, Object: object})
	}
	return events, s.version
}

// eventsSince returns the events after a version, the version that they lead to and
// a channel that is closed at the next change.
func (s *store) eventsSince(name string, version uint64) ([]Event, uint64, <-chan struct{}, *StatusError) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := s.collections[name]
	// A version ahead of the store comes from before a restart of the platform.
	if version < c.expired || version > s.version {
		return nil, 0, nil, expiredError(version)
	}
	first, _ := slices.BinarySearchFunc(c.events, version+1, func(event Event, wanted uint64) int {
		return int(int64(event.version) - int64(wanted))
	})
	return slices.Clone(c.events[first:]), s.version, s.changed, nil
}

func formatVersion(version uint64) string {
	return strconv.FormatUint(version, 10)
}
