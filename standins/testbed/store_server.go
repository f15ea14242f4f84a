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
	released chan struct{}
}

// StartServer serves a store on a loopback address with a free port.
func (s *Store) StartServer(ip string) (*StoreServer, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	d := &StoreServer{store: s, listener: listener, released: make(chan struct{})}
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
	close(d.released)
	d.released = make(chan struct{})
}

func (d *StoreServer) present() (Faults, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults, d.released
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
	faults, released := d.present()
	switch faults.Mode {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case ConnectionReset:
		reset(w)
		return
	case NoResponse:
		if faults.Forever {
			released = nil
		}
		d.hang(r, released)
		reset(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if faults.LoseWrites && r.Method != http.MethodGet {
		d.loseWrite(r, body, faults.LateBy)
		d.hang(r, released)
		reset(w)
		return
	}
	time.Sleep(faults.Delay)
	status, answer := d.answer(r, body)
	if status == 0 {
		d.hang(r, released)
		reset(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// hang waits until the caller gives up or the troubles change.
func (d *StoreServer) hang(r *http.Request, released <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-released:
	}
}

func (d *StoreServer) loseWrite(r *http.Request, body []byte, lateBy time.Duration) {
	method, kind, name := r.Method, "", ""
	kind, name = target(r)
	if lateBy == 0 {
		d.store.write(method, kind, name, body)
		return
	}
	time.AfterFunc(lateBy, func() { d.store.write(method, kind, name, body) })
}

// reset closes the connection of a call without an answer.
func reset(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// target returns the kind and the name in a path.
func target(r *http.Request) (kind, name string) {
	kind, name, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	return kind, name
}

// answer carries out a call. Status 0 is no answer.
func (d *StoreServer) answer(r *http.Request, body []byte) (status int, answer any) {
	kind, name := target(r)
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		return d.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		items, more, revision := d.store.list(kind, query.Get("after"))
		return http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision}
	default:
		return d.store.write(r.Method, kind, name, body)
	}
}

// watch answers with the changes after a revision as soon as there is one, or when
// the time is over.
func (d *StoreServer) watch(r *http.Request, kind string) (status int, answer any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, revision, kept, mute, changed := d.store.events(kind, after)
		switch {
		case mute:
			// A watch hears nothing meanwhile, not even that there is nothing.
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return 0, nil
			}
		case !kept:
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
func (s *Store) write(method, kind, name string, body []byte) (status int, answer any) {
	var sent object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			return http.StatusBadRequest, map[string]any{"error": err.Error()}
		}
	}
	if method == http.MethodPost {
		name = sent.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, present
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, map[string]any{"store_revision": s.revision}
	case method == http.MethodGet:
		return http.StatusOK, present
	case method != http.MethodPost && sent.Meta.Revision != 0 && sent.Meta.Revision != present.Meta.Revision:
		return http.StatusConflict, present
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, map[string]any{"store_revision": s.revision}
	case method == http.MethodPut && string(present.Spec) == string(sent.Spec):
		return http.StatusOK, present
	}
	created := present.Meta.Created
	if !exists {
		created = s.revision + 1
	}
	stored := object{Meta: meta{Name: name, Created: created, Finalizers: []string{}}, Spec: sent.Spec, Status: json.RawMessage("null")}
	s.record(kind, stored, false)
	return http.StatusOK, s.objects[kind][name]
}
