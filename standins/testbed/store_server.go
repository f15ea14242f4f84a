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

// Mode is how a door of the store answers.
type Mode string

// Modes of a door.
const (
	NoFault         Mode = ""
	Unavailable     Mode = "busy"   // status 503
	TooManyRequests Mode = "many"   // status 429
	ConnectionReset Mode = "reset"  // the connection is reset
	NoResponse      Mode = "silent" // no answer
)

// Faults are the troubles of one door.
type Faults struct {
	Mode Mode
	// Forever keeps silent calls hanging when the door opens again, as packets that
	// a cut has swallowed do.
	Forever bool
	// Delay is added to every answer.
	Delay time.Duration
	// LoseWrites does writes without answering; with LateBy they are done later.
	LoseWrites bool
	LateBy     time.Duration
}

// StoreServer is one address of a store, with troubles of its own: it stands for the path
// of one instance.
type StoreServer struct {
	store    *Store
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	faults Faults
	// released ends the answers that are held back.
	faultsChanged chan struct{}
}

// StartServer serves a store on a loopback address with a free port.
func (s *Store) StartServer(ip string) (*StoreServer, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	d := &StoreServer{store: s, listener: listener, faultsChanged: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Address returns the door's address.
func (d *StoreServer) Address() string { return d.listener.Addr().String() }

// SetFaults changes the door's troubles.
func (d *StoreServer) SetFaults(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
	close(d.faultsChanged)
	d.faultsChanged = make(chan struct{})
}

func (d *StoreServer) currentFaults() (Faults, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults, d.faultsChanged
}

// Close ends the door.
func (d *StoreServer) Close() error {
	d.SetFaults(Faults{})
	return d.server.Close()
}

// ServeHTTP answers one call.
func (d *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.store.mu.Lock()
	d.store.calls++
	d.store.mu.Unlock()
	faults, faultsChanged := d.currentFaults()
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
		d.holdResponse(r, faultsChanged)
		resetConnection(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if faults.LoseWrites && r.Method != http.MethodGet {
		d.writeWithoutResponse(r, body, faults.LateBy)
		d.holdResponse(r, faultsChanged)
		resetConnection(w)
		return
	}
	time.Sleep(faults.Delay)
	status, response := d.response(r, body)
	if status == 0 {
		d.holdResponse(r, faultsChanged)
		resetConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}

// hang waits until the caller gives up or the troubles change.
func (d *StoreServer) holdResponse(r *http.Request, faultsChanged <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-faultsChanged:
	}
}

func (d *StoreServer) writeWithoutResponse(r *http.Request, body []byte, lateBy time.Duration) {
	method, kind, name := r.Method, "", ""
	kind, name = parsePath(r)
	if lateBy == 0 {
		d.store.handleObject(method, kind, name, body)
		return
	}
	time.AfterFunc(lateBy, func() { d.store.handleObject(method, kind, name, body) })
}

// reset closes the connection of a call without an answer.
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

// target returns the kind and the name in a path.
func parsePath(r *http.Request) (kind, name string) {
	kind, name, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	return kind, name
}

// answer carries out a call. Status 0 is no answer.
func (d *StoreServer) response(r *http.Request, body []byte) (status int, response any) {
	kind, name := parsePath(r)
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		return d.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		items, more, revision := d.store.list(kind, query.Get("after"))
		return http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision}
	default:
		return d.store.handleObject(r.Method, kind, name, body)
	}
}

// watch answers with the changes after a revision as soon as there is one, or when
// the time is over.
func (d *StoreServer) watch(r *http.Request, kind string) (status int, response any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, revision, complete, watchesBlocked, changed := d.store.events(kind, after)
		switch {
		case watchesBlocked:
			// A watch hears nothing meanwhile, not even that there is nothing.
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return 0, nil
			}
		case !complete:
			return http.StatusGone, map[string]any{"store_revision": revision}
		case len(events) > 0 || wait == 0:
			return http.StatusOK, map[string]any{"events": events, "store_revision": revision}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return 0, nil
		case <-deadline.C:
			return http.StatusOK, map[string]any{"events": []change{}, "store_revision": revision}
		}
	}
}

// write carries out a call for one object.
func (s *Store) handleObject(method, kind, name string, body []byte) (status int, response any) {
	var requested object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &requested); err != nil {
			return http.StatusBadRequest, map[string]any{"error": err.Error()}
		}
	}
	if method == http.MethodPost {
		name = requested.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
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
