package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxListed is the maximum number of items in one answer.
const maxListed = 500

type meta struct {
	Name     string   `json:"name"`
	Revision uint64   `json:"revision"`
	Created  uint64   `json:"created"`
	Final    []string `json:"finalizers"`
	Deleting bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	at      uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	listener net.Listener
	// heardAt is when an endpoint last reported, by its name. The store removes the entry after
	// silentFor without a report.
	heardAt map[string]time.Time
	// onRemoved is called when the store has removed an entry of an endpoint.
	onRemoved func(name string)
}

// silentFor is three status report intervals.
const silentFor = 3 * heartbeat

func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}), listener: listener, heardAt: map[string]time.Time{}}
	go func() { _ = http.Serve(listener, s) }()
	go func() {
		for now := range time.Tick(20 * time.Millisecond) {
			s.expire(now)
		}
	}()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object. The revision stays if nothing changes.
func (s *store) put(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec)
}

// heartbeat takes the report of an endpoint. The entry stays if only its sequence has changed.
func (s *store) heartbeat(name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt[name] = time.Now()
	present, listed := s.objects["servers"][name]
	if !listed || !sameButSequence(present.Spec, spec) {
		s.write("servers", name, spec)
	}
}

// sameButSequence reports whether two entries of an endpoint differ in their sequence at most.
func sameButSequence(a, b []byte) bool {
	var entries [2]map[string]any
	for i, text := range [][]byte{a, b} {
		if json.Unmarshal(text, &entries[i]) != nil {
			return false
		}
		delete(entries[i], "sequence")
	}
	return reflect.DeepEqual(entries[0], entries[1])
}

// expire removes the entries of endpoints that have been silent.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	var removed []string
	for name, at := range s.heardAt {
		if now.Sub(at) >= silentFor {
			delete(s.heardAt, name)
			s.delete("servers", name)
			removed = append(removed, name)
		}
	}
	onRemoved := s.onRemoved
	s.mu.Unlock()
	for _, name := range removed {
		if onRemoved != nil {
			onRemoved(name)
		}
	}
}

func (s *store) write(kind, name string, spec []byte) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, found := s.objects[kind][name]
	if found && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !found {
		o = object{Meta: meta{Name: name, Created: s.revision, Final: []string{}}, Status: json.RawMessage("null")}
	}
	o.Meta.Revision, o.Spec = s.revision, append(json.RawMessage{}, spec...)
	s.objects[kind][name] = o
	s.publish(event{kind: kind, at: s.revision, Object: o})
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.heardAt, name)
	s.delete(kind, name)
}

func (s *store) delete(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Meta.Revision = s.revision
	s.publish(event{kind: kind, at: s.revision, Object: o, Deleted: true})
}

func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, names.ObjectsPath), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer := 0, any(nil)
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		status, answer = s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		status, answer = s.list(kind, r.URL.Query().Get("after"))
	default:
		status, answer = s.single(r, kind, name, body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for name := range s.objects[kind] {
		if name > after {
			keys = append(keys, name)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxListed
	items := []object{}
	for _, name := range keys[:min(len(keys), maxListed)] {
		items = append(items, s.objects[kind][name])
	}
	return http.StatusOK, map[string]any{"items": items, names.More: more, names.StoreRevision: s.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(names.Wait))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.at > since {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			return http.StatusOK, map[string]any{"events": events, names.StoreRevision: at}
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
	}
}

func (s *store) single(r *http.Request, kind, name string, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var call object
	if len(body) > 0 && json.Unmarshal(body, &call) != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		name = call.Meta.Name
	}
	existing, found := s.objects[kind][name]
	conflict := found && call.Meta.Revision != 0 && call.Meta.Revision != existing.Meta.Revision
	switch {
	case r.Method == http.MethodPost && found:
		return http.StatusConflict, existing
	case r.Method == http.MethodPost:
		return http.StatusCreated, s.write(kind, name, call.Spec)
	case !found:
		return http.StatusNotFound, map[string]any{}
	case r.Method == http.MethodGet:
		return http.StatusOK, existing
	case conflict:
		return http.StatusConflict, existing
	case r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, name, call.Spec)
	default:
		return http.StatusMethodNotAllowed, nil
	}
}
