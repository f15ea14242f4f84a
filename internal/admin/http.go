package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

const (
	// MaxRequestBytes bounds the body of a request: the largest configuration in
	// base64, as JSON requests send it, and 1 MiB for its file names.
	MaxRequestBytes = config.MaxInputBytes/3*4 + 1<<20
	// MaxTokenBytes and minTokenBytes bound the length of the bearer token. A
	// shorter token could be guessed.
	MaxTokenBytes = 4_096
	minTokenBytes = 16
	// maxConcurrentRequests bounds the requests in flight, because each may hold a
	// whole configuration in memory.
	maxConcurrentRequests = 4
	maxHeaderBytes        = 16 << 10
	readHeaderTimeout     = 5 * time.Second
	readTimeout           = time.Minute
	// writeTimeout is longer than the longest permitted publication.
	writeTimeout = maxPublishTimeout + time.Minute
	idleTimeout  = time.Minute
)

// NewHTTPServer returns an HTTP server of the administration API with the token
// and TLS certificate of the settings. It returns a SettingsInsecure error if TLS
// or the token is missing and the listen address is not a loopback address, or if
// the token has the wrong length. An unreadable token or certificate is a
// SettingsUnreadable error.
func NewHTTPServer(server *Server, administration settings.Administration) (*http.Server, error) {
	token, err := loadToken(administration.TokenFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := loadTLSConfig(administration)
	if err != nil {
		return nil, err
	}
	if !administration.Listen.Addr().IsLoopback() && (token == "" || tlsConfig == nil) {
		return nil, resultcode.Errorf(resultcode.SettingsInsecure,
			"administration needs TLS and a token to listen on %s", administration.Listen)
	}
	return &http.Server{
		Addr:              administration.Listen.String(),
		Handler:           NewHandler(server, token),
		TLSConfig:         tlsConfig,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}, nil
}

// Serve accepts connections until the server is shut down, over TLS if the server
// has a TLS configuration. It returns http.ErrServerClosed after a shutdown.
func Serve(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}

// ReadToken reads a bearer token from a file and removes surrounding white space.
// It returns a SettingsUnreadable error for an unreadable file and a
// SettingsInsecure error for a token of the wrong length.
func ReadToken(path string) (string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", resultcode.Errorf(resultcode.SettingsUnreadable, "read token: %w", err)
	}
	token := strings.TrimSpace(string(content))
	if len(token) < minTokenBytes || len(token) > MaxTokenBytes {
		return "", resultcode.Errorf(resultcode.SettingsInsecure, "the token in %s has %d bytes; use %d to %d random ones",
			path, len(token), minTokenBytes, MaxTokenBytes)
	}
	return token, nil
}

func loadToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	return ReadToken(path)
}

func loadTLSConfig(administration settings.Administration) (*tls.Config, error) {
	if administration.TLSCertificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(administration.TLSCertificate, administration.TLSKey)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.SettingsUnreadable, "load certificate: %w", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}, nil
}

// NewHandler returns a handler of the API that limits the size and concurrency of
// requests. With an empty token, requests need no authentication.
func NewHandler(server *Server, token string) http.Handler {
	return &handler{
		next:     adminpb.NewAdministrationServer(server),
		token:    sha256.Sum256([]byte(token)),
		noToken:  token == "",
		inFlight: make(chan struct{}, maxConcurrentRequests),
	}
}

type handler struct {
	next     http.Handler
	token    [sha256.Size]byte
	noToken  bool
	inFlight chan struct{}
}

// ServeHTTP implements http.Handler. It checks the token and the limits before it
// reads the body.
func (h *handler) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if !h.authorized(request) {
		writeError(response, twirp.Unauthenticated, resultcode.AdminUnauthorized, "the bearer token is missing or wrong")
		return
	}
	if request.ContentLength > MaxRequestBytes {
		writeError(response, twirp.InvalidArgument, resultcode.AdminBadRequest,
			fmt.Sprintf("the request has %d bytes, more than %d", request.ContentLength, MaxRequestBytes))
		return
	}
	select {
	case h.inFlight <- struct{}{}:
		defer func() { <-h.inFlight }()
	default:
		writeError(response, twirp.ResourceExhausted, resultcode.AdminUnavailable, "too many requests at once; try again")
		return
	}
	request.Body = http.MaxBytesReader(response, request.Body, MaxRequestBytes)
	h.next.ServeHTTP(response, request)
}

// authorized compares hashes in constant time, so that the response time reveals
// nothing about the token or its length.
func (h *handler) authorized(request *http.Request) bool {
	if h.noToken {
		return true
	}
	given, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(sum[:], h.token[:]) == 1
}

func writeError(response http.ResponseWriter, kind twirp.ErrorCode, code resultcode.Code, message string) {
	// The error is ignored: writing fails only if the client has disconnected.
	_ = twirp.WriteError(response, withResultCode(twirp.NewError(kind, message), code))
}
