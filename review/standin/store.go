package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// pageSize is the number of objects in one page of a list.
const pageSize = 50

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is the platform's store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  map[string][]event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]object{}, history: map[string][]event{}, changed: make(chan struct{})}
}

// put writes an object and returns when the store has acknowledged it.
func (s *store) put(kind, objectName string, spec any) time.Time {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, objectName, content)
	return time.Now()
}

// beat writes an endpoint's entry unless only its sequence differs.
func (s *store) beat(objectName string, entry map[string]any) {
	s.mu.Lock()
	o, exists := s.objects[name("endpoint_kind")][objectName]
	s.mu.Unlock()
	var stored map[string]any
	if exists && json.Unmarshal(o.Spec, &stored) == nil {
		sent := maps.Clone(entry)
		delete(sent, name("sequence"))
		delete(stored, name("sequence"))
		if fmt.Sprint(sent) == fmt.Sprint(stored) {
			return
		}
	}
	s.put(name("endpoint_kind"), objectName, entry)
}

func (s *store) write(kind, objectName string, content json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, exists := s.objects[kind][objectName]
	if exists && string(o.Spec) == string(content) {
		return o
	}
	s.revision++
	if !exists {
		o = object{Meta: meta{Name: objectName, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Spec, o.Meta.Revision = content, s.revision
	s.objects[kind][objectName] = o
	s.notify(kind, event{Object: o})
	return o
}

func (s *store) notify(kind string, e event) {
	s.history[kind] = append(s.history[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(kind, objectName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, objectName)
}

func (s *store) removeLocked(kind, objectName string) {
	o, exists := s.objects[kind][objectName]
	if !exists {
		return
	}
	s.revision++
	o.Meta.Revision = s.revision
	delete(s.objects[kind], objectName)
	s.notify(kind, event{Object: o, Deleted: true})
}

// storeServer serves the store to one instance.
type storeServer struct {
	store    *store
	listener net.Listener
	mu       sync.Mutex
	// onCall is called with each call before the store answers it. If it returns false,
	// there is no answer.
	onCall func(r *http.Request) bool
}

func (s *store) serve(address string) (*storeServer, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	server := &storeServer{store: s, listener: listener}
	go func() { _ = http.Serve(listener, server) }()
	return server, nil
}

func (s *storeServer) setOnCall(f func(r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCall = f
}

func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	onCall := s.onCall
	s.mu.Unlock()
	if onCall != nil && !onCall(r) {
		<-r.Context().Done()
		return
	}
	time.Sleep(storeDelay)
	status, body := s.store.handle(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handle(r *http.Request) (status int, body any) {
	kind, objectName, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, name("objects_path")), "/")
	query := r.URL.Query()
	if r.Method == http.MethodGet && query.Has(name("watch")) {
		return s.watch(r, kind)
	}
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			return http.StatusBadRequest, fields()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet && objectName == "" {
		return s.list(kind, query.Get(name("list_after")))
	}
	if r.Method == http.MethodPost {
		objectName = sent.Meta.Name
	}
	o, exists := s.objects[kind][objectName]
	expected, _ := strconv.ParseUint(query.Get(name("revision")), 10, 64)
	expected = max(expected, sent.Meta.Revision)
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, o
	case r.Method == http.MethodPost:
		return http.StatusOK, s.write(kind, objectName, sent.Spec)
	case !exists:
		return http.StatusNotFound, fields()
	case r.Method == http.MethodGet:
		return http.StatusOK, o
	case expected != 0 && expected != o.Meta.Revision:
		return http.StatusConflict, o
	case r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, objectName, sent.Spec)
	case r.Method == http.MethodDelete:
		s.removeLocked(kind, objectName)
		return http.StatusOK, fields()
	}
	return http.StatusMethodNotAllowed, fields()
}

// list returns a page of a list. The caller holds mu.
func (s *store) list(kind, after string) (int, any) {
	var sorted []string
	for n := range s.objects[kind] {
		if n > after {
			sorted = append(sorted, n)
		}
	}
	slices.Sort(sorted)
	more := len(sorted) > pageSize
	items := []object{}
	for _, n := range sorted[:min(len(sorted), pageSize)] {
		items = append(items, s.objects[kind][n])
	}
	return http.StatusOK, fields("items", items, "more", more, "store_at", s.revision)
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	since, _ := strconv.ParseUint(r.URL.Query().Get(name("watch")), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(name("watch_wait")))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history[kind] {
			if e.Object.Meta.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			return http.StatusOK, map[string]any{"events": events, name("store_at"): revision}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-deadline:
			wait = 0
		}
	}
}
