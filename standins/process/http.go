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

// Listen opens a TCP listener and serves HTTP on it until the tomb is dying.
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

// WriteJSON writes the value with the given status.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A failed write means that the client has gone.
	_ = encoder.Encode(value)
}

// ReadJSON decodes a control request strictly into value. Fields that are
// absent keep their values. On failure it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, fmt.Sprintf("decode body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}
