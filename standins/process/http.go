package process

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	readHeaderTimeout   = 10 * time.Second
	maxControlBodyBytes = 64 << 10
)

// Listen opens a TCP listener, serves HTTP on it until the tomb is dying, and
// returns the bound address.
func Listen(t *tomb.Tomb, address string, handler http.Handler) (net.Addr, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	Serve(t, listener, handler)
	return listener.Addr(), nil
}

// Serve serves HTTP on the listener until the tomb is dying.
func Serve(t *tomb.Tomb, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	t.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	t.Go(func() error {
		<-t.Dying()
		return server.Close()
	})
}

// WriteJSON writes a response with the given HTTP status and the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A write fails only if the client has disconnected.
	_ = encoder.Encode(value)
}

// ReadJSON decodes the body of a control request into value. Absent fields keep
// their values, unknown fields are an error. On an error it responds with status
// 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, fmt.Sprintf("decode JSON body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}
