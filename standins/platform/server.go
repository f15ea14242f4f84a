package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync/atomic"
	"time"

	"burdockrelay.example/burdockrelay/standins/process"
	"gopkg.in/tomb.v2"
)

const (
	collectionInstances = "instances"
	// maxBodyBytes is the largest request body that creates, updates or deletes
	// an object.
	maxBodyBytes = 1 << 20
	basePath     = "/apis/" + APIVersion + "/"
)

// writable lists the collections that API clients may change.
var writable = []string{"releases", "pointers", "drains", "acknowledgements"}

// Settings of a platform server.
type Settings struct {
	// Listen is the TCP address of the API and the control interface.
	Listen string
	// HistorySize is the number of events kept for each collection, so that a
	// watch can resume from an earlier resourceVersion.
	HistorySize int
	// BookmarkInterval is the time between bookmark events of a watch.
	BookmarkInterval time.Duration
	// MaxWatchDuration is the maximum duration of a watch.
	MaxWatchDuration time.Duration
}

// Server serves the API and the control interface.
type Server struct {
	settings  Settings
	store     *store
	faults    *faults
	counters  *counters
	instances *instanceQueue
	// backup is the copy that the next restore uses, nil if there is none.
	backup atomic.Pointer[storeCopy]

	// Address is the bound address.
	Address net.Addr
}

// Start starts a server that runs until the tomb is dying. It fails if a
// setting is not positive or the address cannot be bound.
func Start(t *tomb.Tomb, settings Settings) (*Server, error) {
	if settings.HistorySize < 1 || settings.BookmarkInterval <= 0 || settings.MaxWatchDuration <= 0 {
		return nil, errors.New("history size, bookmark interval and maximum watch duration must be positive")
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
	mux.HandleFunc("POST /control/copy", s.postCopy)
	mux.HandleFunc("POST /control/restore", s.postRestore)
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

// apiHandler responds to one API call, or returns the error to respond with.
type apiHandler func(w http.ResponseWriter, r *http.Request, collection string) *StatusError

// api wraps a handler: it counts the call, applies the injected faults and
// writes the error that the handler returns.
func (s *Server) api(next apiHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		collection := r.PathValue("collection")
		s.setEra(w)
		if !s.hasCollection(collection) {
			writeError(w, newStatusError(http.StatusNotFound, "NotFound", "collection %q does not exist", collection))
			return
		}
		s.counters.countCall(collection, callKind(r))
		counted := &countingWriter{ResponseWriter: w, counters: s.counters}
		if !s.faults.admit(counted, r) {
			return
		}
		if statusErr := next(counted, r, collection); statusErr != nil {
			s.counters.countFailure(statusErr.Reason)
			writeError(counted, statusErr)
		}
	}
}

func (s *Server) hasCollection(collection string) bool {
	_, ok := s.store.collections[collection]
	return ok
}

// callKind returns the kind under which a call is counted.
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

// listMetadata is the metadata of an objectList.
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
		object, statusErr := s.store.get(collection, r.PathValue("name"))
		if statusErr != nil {
			return statusErr
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
	object, statusErr := s.readObject(w, r)
	if statusErr != nil {
		return statusErr
	}
	if object.Metadata.ResourceVersion != "" {
		return newStatusError(http.StatusBadRequest, "BadRequest", "a new object must not have a resourceVersion")
	}
	created, statusErr := s.store.create(collection, object, time.Now())
	if statusErr != nil {
		return statusErr
	}
	s.respondToChange(w, http.StatusCreated, created)
	return nil
}

func (s *Server) update(w http.ResponseWriter, r *http.Request, collection string) *StatusError {
	object, statusErr := s.readObject(w, r)
	if statusErr != nil {
		return statusErr
	}
	if object.Metadata.Name != r.PathValue("name") {
		return newStatusError(http.StatusBadRequest, "BadRequest", "name %q differs from the name in the path", object.Metadata.Name)
	}
	if object.Metadata.ResourceVersion == "" {
		return newStatusError(http.StatusUnprocessableEntity, "Invalid", "resourceVersion must be specified for an update")
	}
	updated, statusErr := s.store.update(collection, object)
	if statusErr != nil {
		return statusErr
	}
	s.respondToChange(w, http.StatusOK, updated)
	return nil
}

// deleteOptions is the optional body of a DELETE request.
type deleteOptions struct {
	Preconditions struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"preconditions"`
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, collection string) *StatusError {
	var options deleteOptions
	body, statusErr := s.readBody(w, r)
	if statusErr != nil {
		return statusErr
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &options); err != nil {
			return newStatusError(http.StatusBadRequest, "BadRequest", "decode delete options: %v", err)
		}
	}
	removed, statusErr := s.store.remove(collection, r.PathValue("name"), options.Preconditions.ResourceVersion)
	if statusErr != nil {
		return statusErr
	}
	s.respondToChange(w, http.StatusOK, removed)
	return nil
}

// respondToChange writes the response to a change that has taken effect, unless
// an injected fault drops it.
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
		return nil, newStatusError(http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "the body is larger than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, newStatusError(http.StatusBadRequest, "BadRequest", "read body: %v", err)
	}
	return body, nil
}

// readObject reads and validates the object in a request body.
func (s *Server) readObject(w http.ResponseWriter, r *http.Request) (Object, *StatusError) {
	body, statusErr := s.readBody(w, r)
	if statusErr != nil {
		return Object{}, statusErr
	}
	var object Object
	if err := json.Unmarshal(body, &object); err != nil {
		return Object{}, newStatusError(http.StatusBadRequest, "BadRequest", "decode object: %v", err)
	}
	if object.APIVersion != APIVersion || object.Kind == "" {
		return Object{}, newStatusError(http.StatusBadRequest, "BadRequest", "apiVersion must be %s and kind must not be empty", APIVersion)
	}
	if err := checkName(object.Metadata.Name); err != nil {
		return Object{}, newStatusError(http.StatusUnprocessableEntity, "Invalid", "%v", err)
	}
	return object, nil
}

// namePattern matches a DNS subdomain, the form of Kubernetes object names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]*[a-z0-9])?(\.[a-z0-9]([-a-z0-9]*[a-z0-9])?)*$`)

const maxNameLength = 253

func checkName(name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return fmt.Errorf("name %q is not a valid DNS subdomain", name)
	}
	return nil
}

func writeError(w http.ResponseWriter, statusErr *StatusError) {
	process.WriteJSON(w, statusErr.Code, statusErr)
}

// countingWriter counts the bytes of response bodies written through it.
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

// Unwrap gives http.ResponseController access to the underlying writer.
func (c *countingWriter) Unwrap() http.ResponseWriter {
	return c.ResponseWriter
}
