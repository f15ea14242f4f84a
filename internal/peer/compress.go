package peer

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
)

// Responses of the Peer service are compressed, because the state of a joining
// instance's slots contains a few bases thousands of times. Traffic is counted in
// compressed bytes.

const (
	encodingHeader       = "Content-Encoding"
	acceptEncodingHeader = "Accept-Encoding"
	gzipEncoding         = "gzip"
	// headerBytes is the estimated size of the HTTP headers of a request or a
	// response.
	headerBytes = 200
)

// gzipWriter compresses the body of a response.
type gzipWriter struct {
	http.ResponseWriter
	compressor *gzip.Writer
}

func (w *gzipWriter) WriteHeader(status int) {
	w.Header().Del("Content-Length")
	w.ResponseWriter.WriteHeader(status)
}

func (w *gzipWriter) Write(b []byte) (int, error) { return w.compressor.Write(b) }

// gzipHandler returns a handler that compresses responses to clients that accept
// gzip.
func gzipHandler(next http.Handler) http.Handler {
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

// countingTransport requests compressed responses, decompresses them, and passes the
// number of bytes of each call to count.
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

// countingBody counts the bytes read from a response body.
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

// decompressedBody decompresses body.
type decompressedBody struct {
	*gzip.Reader
	body io.Closer
}

// Close closes the decompressor and the compressed body.
func (b *decompressedBody) Close() error {
	_ = b.Reader.Close()
	return b.body.Close()
}
