package testbed

import (
	"maps"
	"slices"
)

// Copy is the content of a store at one time.
type Copy struct {
	revision       uint64
	droppedThrough uint64
	objects        map[string]map[string]object
	history        map[string][]change
}

// Copy returns a copy of the current content.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{
		revision: s.revision, droppedThrough: s.droppedThrough,
		objects: make(map[string]map[string]object), history: make(map[string][]change),
	}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	for kind, changes := range s.history {
		c.history[kind] = slices.Clone(changes)
	}
	return c
}

// Restore replaces the content by an earlier copy. All changes since the copy are lost,
// their revisions are assigned again, and the era grows by one.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.droppedThrough = c.revision, c.droppedThrough
	s.objects = make(map[string]map[string]object)
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.history = make(map[string][]change)
	for kind, changes := range c.history {
		s.history[kind] = slices.Clone(changes)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
