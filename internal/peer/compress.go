package peer

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
)

// The state of a joining instance's slots repeats a few bases thousands of times,
// so answers of the Peer service are compressed. Bytes are counted as they pass
// over the network.

const (
	encodingHeader       = "Content-Encoding"
	acceptEncodingHeader = "Accept-Encoding"
	gzipEncoding         = "gzip"
	// headerBytes estimates the HTTP headers of a request or an answer.
	headerBytes = 200
)

type gzipWriter struct {
	http.ResponseWriter
	compressor *gzip.Writer
}

func (w *gzipWriter) WriteHeader(status int) {
	w.Header().Del("Content-Length")
	w.ResponseWriter.WriteHeader(status)
}

func (w *gzipWriter) Write(b []byte) (int, error) { return w.compressor.Write(b) }

// compressed wraps a handler for clients that accept gzip.
func compressed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get(acceptEncodingHeader), gzipEncoding) {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set(encodingHeader, gzipEncoding)
		compressor := gzip.NewWriter(w)
		defer compressor.Close()
		next.ServeHTTP(&gzipWriter{w, compressor}, r)
	})
}

// countingTransport asks for compressed answers and counts the bytes of a call.
type countingTransport struct {
	next  http.RoundTripper
	count func(direction, path string, n int)
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(acceptEncodingHeader, gzipEncoding)
	path := request.URL.Path
	t.count("sent", path, int(max(request.ContentLength, 0))+headerBytes)
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	counted := &countingBody{body: response.Body, count: func(n int) { t.count("received", path, n) }}
	counted.count(headerBytes)
	response.Body = counted
	if response.Header.Get(encodingHeader) != gzipEncoding {
		return response, nil
	}
	decompressor, err := gzip.NewReader(counted)
	if err != nil {
		_ = counted.Close()
		return nil, err
	}
	response.Body = &decompressedBody{decompressor, counted}
	response.ContentLength = -1
	return response, nil
}

type countingBody struct {
	body  io.ReadCloser
	count func(n int)
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.count(n)
	return n, err
}

func (b *countingBody) Close() error { return b.body.Close() }

type decompressedBody struct {
	*gzip.Reader
	body io.Closer
}

// Close closes the connection's body as well.
func (b *decompressedBody) Close() error {
	_ = b.Reader.Close()
	return b.body.Close()
}
