package platform

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader is the header of all responses with the number of restores so far.
const eraHeader = "Storage-Era"

// storeCopy is the content of a store at one time.
type storeCopy struct {
	version     uint64
	collections map[string]*collection
}

// copyContent returns a copy of the current content.
func (s *store) copyContent() *storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &storeCopy{version: s.version, collections: cloneCollections(s.collections)}
}

// restore replaces the content of the collections that API clients may change by that of a
// copy. Versions are counted from the copy again, and all watches end.
func (s *store) restore(c *storeCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.version = c.version
	instances := s.collections[collectionInstances]
	s.collections = cloneCollections(c.collections)
	s.collections[collectionInstances] = instances
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneCollections(collections map[string]*collection) map[string]*collection {
	clones := make(map[string]*collection, len(collections))
	for name, c := range collections {
		clones[name] = &collection{objects: maps.Clone(c.objects), events: slices.Clone(c.events), expired: c.expired}
	}
	return clones
}

// currentEra returns the number of restores so far.
func (s *store) currentEra() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

// postCopy makes the copy that the next restore uses.
func (s *Server) postCopy(w http.ResponseWriter, _ *http.Request) {
	s.backup.Store(s.store.copyContent())
	w.WriteHeader(http.StatusNoContent)
}

// postRestore restores the last copy.
func (s *Server) postRestore(w http.ResponseWriter, _ *http.Request) {
	backup := s.backup.Load()
	if backup == nil {
		writeError(w, newStatusError(http.StatusConflict, "Conflict", "no copy was made"))
		return
	}
	s.store.restore(backup)
	w.WriteHeader(http.StatusNoContent)
}

// setEra sets the header of a response with the era of the store.
func (s *Server) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(s.store.currentEra(), 10))
}
