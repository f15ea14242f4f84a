package testbed

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is the way in which a store server responds.
type Mode string

// Modes of a store server.
const (
	NoFault         Mode = ""
	Unavailable     Mode = "busy"   // status 503
	TooManyRequests Mode = "many"   // status 429
	ConnectionReset Mode = "reset"  // the connection is reset
	NoResponse      Mode = "silent" // no response
)

// Faults are the injected faults of one store server.
type Faults struct {
	Mode Mode
	// Forever leaves calls without a response even after the faults change, as when a
	// network cut has dropped their packets.
	Forever bool
	// Delay is added to every response.
	Delay time.Duration
	// LoseWrites applies writes without a response, LateBy after the call.
	LoseWrites bool
	LateBy     time.Duration
}

// StoreServer serves a store on an address of its own with its own faults. Each
// instance uses another one, so faults can be limited to one instance.
type StoreServer struct {
	store    *Store
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	faults Faults
	// faultsChanged is closed and replaced when the faults change. It ends calls that
	// wait without a response.
	faultsChanged chan struct{}
}

// StartServer serves the store at a free port of an address.
func (s *Store) StartServer(ip string) (*StoreServer, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	storeServer := &StoreServer{store: s, listener: listener, faultsChanged: make(chan struct{})}
	storeServer.server = &http.Server{Handler: storeServer, ReadHeaderTimeout: time.Minute}
	go func() { _ = storeServer.server.Serve(listener) }()
	return storeServer, nil
}

// Address returns the server's address and port.
func (s *StoreServer) Address() string { return s.listener.Addr().String() }

// SetFaults replaces the server's faults.
func (s *StoreServer) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func (s *StoreServer) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faultsChanged
}

// Close stops the server.
func (s *StoreServer) Close() error {
	s.SetFaults(Faults{})
	return s.server.Close()
}

// ServeHTTP handles one call, subject to the current faults.
func (s *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.store.mu.Lock()
	s.store.calls++
	setEra(w, s.store.era)
	s.store.mu.Unlock()
	faults, faultsChanged := s.currentFaults()
	switch faults.Mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case ConnectionReset:
		resetConnection(w)
		return
	case NoResponse:
		if faults.Forever {
			faultsChanged = nil
		}
		s.holdResponse(r, faultsChanged)
		resetConnection(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if faults.LoseWrites && r.Method != http.MethodGet {
		s.writeWithoutResponse(r, body, faults.LateBy)
		s.holdResponse(r, faultsChanged)
		resetConnection(w)
		return
	}
	time.Sleep(faults.Delay)
	status, response, era := s.response(r, body)
	if status == 0 {
		s.holdResponse(r, faultsChanged)
		resetConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	setEra(w, era)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}

// setEra sets the header of a response with the store's era.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
}

// holdResponse waits until the client cancels the call or the faults change.
func (s *StoreServer) holdResponse(r *http.Request, faultsChanged <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-faultsChanged:
	}
}

// writeWithoutResponse applies a write, delayed by lateBy.
func (s *StoreServer) writeWithoutResponse(r *http.Request, body []byte, lateBy time.Duration) {
	method, kind, name := r.Method, "", ""
	kind, name = parsePath(r)
	if lateBy == 0 {
		s.store.handleObject(method, kind, name, body)
		return
	}
	time.AfterFunc(lateBy, func() { s.store.handleObject(method, kind, name, body) })
}

// resetConnection resets the connection of a call.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
	_ = conn.Close()
}

// parsePath returns the kind and the name in the path of a call.
func parsePath(r *http.Request) (kind, name string) {
	kind, name, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	return kind, name
}

// response executes a call and returns its HTTP status, its response body and the era in
// which it was executed. Status 0 means that there is no response.
func (s *StoreServer) response(r *http.Request, body []byte) (status int, response any, era uint64) {
	kind, name := parsePath(r)
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		items, hasMore, at := s.store.list(kind, query.Get("after"))
		return http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "store_revision": at.revision}, at.era
	default:
		return s.store.handleObject(r.Method, kind, name, body)
	}
}

// watch returns the changes after a revision as soon as there is one, or an empty list
// when the wait time has passed.
func (s *StoreServer) watch(r *http.Request, kind string) (status int, response any, era uint64) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, at, complete, watchesBlocked, changed := s.store.events(kind, after)
		switch {
		case watchesBlocked:
			// A blocked watch gets no response, not even an empty one.
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return 0, nil, 0
			}
		case !complete:
			return http.StatusGone, map[string]any{"store_revision": at.revision}, at.era
		case len(events) > 0 || wait == 0:
			return http.StatusOK, map[string]any{"events": events, "store_revision": at.revision}, at.era
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return 0, nil, 0
		case <-deadline.C:
			return http.StatusOK, map[string]any{"events": []change{}, "store_revision": at.revision}, at.era
		}
	}
}

// handleObject executes a call for one object.
func (s *Store) handleObject(method, kind, name string, body []byte) (status int, response any, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, response = s.handleObjectLocked(method, kind, name, body)
	return status, response, s.era
}

func (s *Store) handleObjectLocked(method, kind, name string, body []byte) (status int, response any) {
	var requested object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &requested); err != nil {
			return http.StatusBadRequest, map[string]any{"error": err.Error()}
		}
	}
	if method == http.MethodPost {
		name = requested.Meta.Name
	}
	current, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, current
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, map[string]any{"store_revision": s.revision}
	case method == http.MethodGet:
		return http.StatusOK, current
	case method != http.MethodPost && requested.Meta.Revision != 0 && requested.Meta.Revision != current.Meta.Revision:
		return http.StatusConflict, current
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, map[string]any{"store_revision": s.revision}
	case method == http.MethodPut && string(current.Spec) == string(requested.Spec):
		return http.StatusOK, current
	}
	created := current.Meta.Created
	if !exists {
		created = s.revision + 1
	}
	stored := object{Meta: meta{Name: name, Created: created, Finalizers: []string{}}, Spec: requested.Spec, Status: json.RawMessage("null")}
	s.record(kind, stored, false)
	return http.StatusOK, s.objects[kind][name]
}
