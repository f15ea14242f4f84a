package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// answerDelay is the time that the store takes for an answer.
	answerDelay = 4 * time.Millisecond
	// beat is the interval of the endpoints' status reports. The store removes an entry after
	// three of silence.
	beat        = 1200 * time.Millisecond
	historyTime = 20 * time.Second
	pageItems   = 500
)

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

type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      time.Time
}

// store is the platform's store: objects by kind and name under one revision counter.
type store struct {
	rec      *recorder
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	seen     map[string]time.Time // last report of each endpoint
	history  []change
	dropped  uint64
	changed  chan struct{}
	stop     chan struct{}
}

func startStore(rec *recorder, address string) (*store, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		rec: rec, listener: listener, revision: 100, dropped: 100,
		objects: map[string]map[string]object{}, seen: map[string]time.Time{},
		changed: make(chan struct{}), stop: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	go s.expire()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() {
	close(s.stop)
	_ = s.server.Close()
}

// expire removes the entries of silent endpoints and old history.
func (s *store) expire() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s.mu.Lock()
		for name := range s.objects["servers"] {
			if time.Since(s.seen[name]) > 3*beat {
				s.remove("servers", name, "no report")
			}
		}
		for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
			s.dropped = s.history[0].Object.Meta.Revision
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

// write stores an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	current, exists := s.objects[kind][name]
	if kind == "servers" {
		s.seen[name] = time.Now()
		if exists && sameButSequence(current.Spec, spec) {
			return current
		}
		s.rec.logf("store: %s/%s = %.300s", kind, name, spec)
	}
	if exists && string(current.Spec) == string(spec) {
		return current
	}
	s.revision++
	created := current.Meta.Created
	if !exists {
		created = s.revision
	}
	stored := object{Meta: meta{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = stored
	s.publish(change{Object: stored, kind: kind, at: time.Now()})
	return stored
}

// sameButSequence reports whether two entries differ in nothing but their sequence.
func sameButSequence(a, b json.RawMessage) bool {
	var left, right map[string]any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return false
	}
	delete(left, "sequence")
	delete(right, "sequence")
	x, _ := json.Marshal(left)
	y, _ := json.Marshal(right)
	return string(x) == string(y)
}

// remove deletes an object. The caller holds mu.
func (s *store) remove(kind, name, why string) {
	removed := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	removed.Meta.Revision = s.revision
	s.rec.logf("store: %s/%s removed: %s", kind, name, why)
	s.publish(change{Object: removed, Deleted: true, kind: kind, at: time.Now()})
}

func (s *store) publish(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles the calls of the system, the endpoints and the operator.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire["objects"]), "/")
	var status int
	var answer any
	switch query := r.URL.Query(); {
	case r.Method == http.MethodGet && query.Has("watch"):
		after, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
		wait, _ := strconv.Atoi(query.Get(wire["wait"]))
		status, answer = s.watch(r, kind, after, time.Duration(wait)*time.Millisecond)
	case r.Method == http.MethodGet && name == "":
		status, answer = s.list(kind, query.Get("after"))
	default:
		var given object
		if r.Body != nil {
			_ = json.NewDecoder(r.Body).Decode(&given)
		}
		status, answer = s.single(r.Method, kind, name, &given, query.Get("revision"))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encodeAnswer(answer))
}

// encodeAnswer encodes an answer. What writers have put into spec passes as it is, like in a
// store that does not look into it.
func encodeAnswer(answer any) []byte {
	switch a := answer.(type) {
	case object:
		head, _ := json.Marshal(a.Meta)
		return slices.Concat([]byte(`{"meta":`), head, []byte(`,"spec":`), a.Spec, []byte(`,"status":null}`))
	case change:
		return slices.Concat(fmt.Appendf(nil, `{"deleted":%v,"object":`, a.Deleted), encodeAnswer(a.Object), []byte("}"))
	case []object:
		return encodeList(a)
	case []change:
		return encodeList(a)
	case map[string]any:
		var fields [][]byte
		for name, value := range a {
			fields = append(fields, slices.Concat(fmt.Appendf(nil, "%q:", name), encodeAnswer(value)))
		}
		return slices.Concat([]byte("{"), bytes.Join(fields, []byte(",")), []byte("}"))
	default:
		plain, _ := json.Marshal(a)
		return plain
	}
}

func encodeList[T any](list []T) []byte {
	parts := make([][]byte, len(list))
	for i := range list {
		parts[i] = encodeAnswer(list[i])
	}
	return slices.Concat([]byte("["), bytes.Join(parts, []byte(",")), []byte("]"))
}

// putRaw stores what another writer has put, whatever its content.
func (s *store) putRaw(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec)
}

func (s *store) list(kind, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}
	items := make([]object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	return http.StatusOK, map[string]any{"items": items, wire["more"]: more, wire["revision"]: s.revision}
}

func (s *store) watch(r *http.Request, kind string, after uint64, wait time.Duration) (int, any) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		revision, changed, gone := s.revision, s.changed, after < s.dropped
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Meta.Revision > after {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, wire["revision"]: revision}
		switch {
		case gone:
			return http.StatusGone, map[string]any{wire["revision"]: revision}
		case len(events) > 0 || wait == 0:
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-deadline:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *store) single(method, kind, name string, given *object, revision string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = given.Meta.Name
	}
	current, exists := s.objects[kind][name]
	expected := given.Meta.Revision
	if revision != "" {
		expected, _ = strconv.ParseUint(revision, 10, 64)
	}
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, current
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, map[string]any{wire["revision"]: s.revision}
	case method == http.MethodGet:
		return http.StatusOK, current
	case method != http.MethodPost && expected != 0 && expected != current.Meta.Revision:
		return http.StatusConflict, current
	case method == http.MethodDelete:
		s.remove(kind, name, "deleted")
		return http.StatusOK, map[string]any{wire["revision"]: s.revision}
	}
	return http.StatusOK, s.write(kind, name, given.Spec)
}
