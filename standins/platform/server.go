package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"time"

	"burdockrelay.example/burdockrelay/standins/process"
	"gopkg.in/tomb.v2"
)

const (
	collectionInstances = "instances"
	// maxBodyBytes is the largest body of a change.
	maxBodyBytes = 1 << 20
	basePath     = "/apis/" + APIVersion + "/"
)

// writable are the collections that the API may change.
var writable = []string{"releases", "pointers", "drains", "acknowledgements"}

// Settings of a platform.
type Settings struct {
	// Listen is the TCP address of the API and the control interface.
	Listen string
	// HistorySize is the number of events kept for each collection.
	HistorySize int
	// BookmarkInterval is the time between bookmarks on a watch.
	BookmarkInterval time.Duration
	// MaxWatchDuration is the longest time of a watch.
	MaxWatchDuration time.Duration
}

// Server serves the API and the control interface.
type Server struct {
	settings  Settings
	store     *store
	faults    *faults
	counters  *counters
	instances *instanceQueue

	// Address is the bound address.
	Address net.Addr
}

// Start serves until the tomb is dying.
func Start(t *tomb.Tomb, settings Settings) (*Server, error) {
	if settings.HistorySize < 1 || settings.BookmarkInterval <= 0 || settings.MaxWatchDuration <= 0 {
		return nil, errors.New("history, bookmark and longest watch must be positive")
	}
	s := &Server{
		settings:  settings,
		store:     newStore(settings.HistorySize, append([]string{collectionInstances}, writable...)...),
		faults:    newFaults(),
		counters:  newCounters(),
		instances: new(instanceQueue),
	}
	var err error
	s.Address, err = process.Listen(t, settings.Listen, s.handler())
	return s, err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/faults", s.getFaults)
	mux.HandleFunc("PATCH /control/faults", s.patchFaults)
	mux.HandleFunc("GET /control/counters", s.getCounters)
	mux.HandleFunc("PUT /control/instances/{name}", s.putInstance)
	mux.HandleFunc("DELETE /control/instances/{name}", s.deleteInstance)
	mux.HandleFunc(basePath+"{collection}", s.api(s.serveCollection))
	mux.HandleFunc(basePath+"{collection}/{name}", s.api(s.serveObject))
	return mux
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	values, _ := s.faults.get()
	process.WriteJSON(w, http.StatusOK, values)
}

func (s *Server) patchFaults(w http.ResponseWriter, r *http.Request) {
	values, _ := s.faults.get()
	if !process.ReadJSON(w, r, &values) {
		return
	}
	if err := values.check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults.set(values)
	process.WriteJSON(w, http.StatusOK, values)
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, s.counters.get())
}

// apiHandler answers one API call or returns the failure to answer with.
type apiHandler func(w http.ResponseWriter, r *http.Request, collection string) *StatusError

// api counts the call, applies the faults and writes failures.
func (s *Server) api(next apiHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		collection := r.PathValue("collection")
		if !s.hasCollection(collection) {
			writeError(w, newStatusError(http.StatusNotFound, "NotFound", "no collection %q", collection))
			return
		}
		s.counters.countCall(collection, callKind(r))
		counted := &countingWriter{ResponseWriter: w, counters: s.counters}
		if !s.faults.admit(counted, r) {
			return
		}
		if failed := next(counted, r, collection); failed != nil {
			s.counters.countFailure(failed.Reason)
			writeError(counted, failed)
		}
	}
}

func (s *Server) hasCollection(collection string) bool {
	_, ok := s.store.collections[collection]
	return ok
}

func callKind(r *http.Request) string {
	switch r.Method {
	case http.MethodPost:
		return "create"
	case http.MethodPut:
		return "update"
	case http.MethodDelete:
		return "delete"
	case http.MethodGet:
		if isWatch(r) {
			return "watch"
		}
		if r.PathValue("name") != "" {
			return "get"
		}
		return "list"
	default:
		return "other"
	}
}

func isWatch(r *http.Request) bool {
	watch := r.URL.Query().Get("watch")
	return r.PathValue("name") == "" && (watch == "1" || watch == "true")
}

// listMetadata is the metadata of a list.
type listMetadata struct {
	ResourceVersion string `json:"resourceVersion"`
}

type objectList struct {
	Kind       string       `json:"kind"`
	APIVersion string       `json:"apiVersion"`
	Metadata   listMetadata `json:"metadata"`
	Items      []Object     `json:"items"`
}

func (s *Server) serveCollection(w http.ResponseWriter, r *http.Request, collection string) *StatusError {
	switch {
	case r.Method == http.MethodGet && isWatch(r):
		return s.watch(w, r, collection)
	case r.Method == http.MethodGet:
		items, version := s.store.list(collection)
		process.WriteJSON(w, http.StatusOK, objectList{"List", APIVersion, listMetadata{formatVersion(version)}, items})
		return nil
	case r.Method == http.MethodPost && collection != collectionInstances:
		return s.create(w, r, collection)
	default:
		return methodNotAllowedError(r)
	}
}

func (s *Server) serveObject(w http.ResponseWriter, r *http.Request, collection string) *StatusError {
	switch {
	case r.Method == http.MethodGet:
		object, failed := s.store.get(collection, r.PathValue("name"))
		if failed != nil {
			return failed
		}
		process.WriteJSON(w, http.StatusOK, object)
		return nil
	case r.Method == http.MethodPut && collection != collectionInstances:
		return s.update(w, r, collection)
	case r.Method == http.MethodDelete && collection != collectionInstances:
		return s.remove(w, r, collection)
	default:
		return methodNotAllowedError(r)
	}
}

func methodNotAllowedError(r *http.Request) *StatusError {
	return newStatusError(http.StatusMethodNotAllowed, "MethodNotAllowed", "%s is not allowed on %s", r.Method, r.URL.Path)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request, collection string) *StatusError {
	object, failed := s.readObject(w, r)
	if failed != nil {
		return failed
	}
	if object.Metadata.ResourceVersion != "" {
		return newStatusError(http.StatusBadRequest, "BadRequest", "a new object must not have a resourceVersion")
	}
	created, failed := s.store.create(collection, object, time.Now())
	if failed != nil {
		return failed
	}
	s.respondToChange(w, http.StatusCreated, created)
	return nil
}

func (s *Server) update(w http.ResponseWriter, r *http.Request, collection string) *StatusError {
	object, failed := s.readObject(w, r)
	if failed != nil {
		return failed
	}
	if object.Metadata.Name != r.PathValue("name") {
		return newStatusError(http.StatusBadRequest, "BadRequest", "name %q differs from the path", object.Metadata.Name)
	}
	if object.Metadata.ResourceVersion == "" {
		return newStatusError(http.StatusUnprocessableEntity, "Invalid", "resourceVersion must be specified for an update")
	}
	updated, failed := s.store.update(collection, object)
	if failed != nil {
		return failed
	}
	s.respondToChange(w, http.StatusOK, updated)
	return nil
}

// deleteOptions is the optional body of a DELETE.
type deleteOptions struct {
	Preconditions struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"preconditions"`
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, collection string) *StatusError {
	var options deleteOptions
	body, failed := s.readBody(w, r)
	if failed != nil {
		return failed
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &options); err != nil {
			return newStatusError(http.StatusBadRequest, "BadRequest", "decode options: %v", err)
		}
	}
	removed, failed := s.store.remove(collection, r.PathValue("name"), options.Preconditions.ResourceVersion)
	if failed != nil {
		return failed
	}
	s.respondToChange(w, http.StatusOK, removed)
	return nil
}

// respondToChange answers a change that has taken effect, unless the response is
// to be lost.
func (s *Server) respondToChange(w http.ResponseWriter, status int, object Object) {
	if s.faults.takeLostResponse() {
		s.counters.countLostResponse()
		dropConnection()
	}
	process.WriteJSON(w, status, object)
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *StatusError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	s.counters.addReceived(len(body))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newStatusError(http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "the value is larger than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, newStatusError(http.StatusBadRequest, "BadRequest", "read body: %v", err)
	}
	return body, nil
}

func (s *Server) readObject(w http.ResponseWriter, r *http.Request) (Object, *StatusError) {
	body, failed := s.readBody(w, r)
	if failed != nil {
		return Object{}, failed
	}
	var object Object
	if err := json.Unmarshal(body, &object); err != nil {
		return Object{}, newStatusError(http.StatusBadRequest, "BadRequest", "decode object: %v", err)
	}
	if object.APIVersion != APIVersion || object.Kind == "" {
		return Object{}, newStatusError(http.StatusBadRequest, "BadRequest", "apiVersion is not %s or kind is empty", APIVersion)
	}
	if err := checkName(object.Metadata.Name); err != nil {
		return Object{}, newStatusError(http.StatusUnprocessableEntity, "Invalid", "%v", err)
	}
	return object, nil
}

// namePattern is the DNS subdomain form of Kubernetes object names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]*[a-z0-9])?(\.[a-z0-9]([-a-z0-9]*[a-z0-9])?)*$`)

const maxNameLength = 253

func checkName(name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return fmt.Errorf("name %q is not a DNS subdomain", name)
	}
	return nil
}

func writeError(w http.ResponseWriter, failed *StatusError) {
	process.WriteJSON(w, failed.Code, failed)
}

// countingWriter counts the bytes of response bodies.
type countingWriter struct {
	http.ResponseWriter
	counters *counters
}

// Write implements io.Writer.
func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.ResponseWriter.Write(b)
	c.counters.addSent(n)
	return n, err
}

// Unwrap lets http.ResponseController reach the writer of the server.
func (c *countingWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}
