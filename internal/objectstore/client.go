package objectstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// maxResponseBytes limits how much of a response is read. A value has at most 1 MB, so a
// page with a few values in base64 is below the limit.
const maxResponseBytes = 16 << 20

// Budget is the rate limit of the calls of one process.
type Budget struct {
	PerSecond float64
	Burst     int
}

// Call is one request to a store.
type Call struct {
	Method string
	// Verb and Kind identify the call in metrics and errors.
	Verb, Kind string
	URL        string
	Body       []byte
}

// HTTPClient sends the requests of a store's client over HTTP. It limits their rate,
// records metrics, and returns errors that show whether a write may have taken effect.
type HTTPClient struct {
	http    *http.Client
	limiter *rate.Limiter
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

// NewHTTPClient returns a client that keeps up to idleConnections idle connections to a
// host. The metrics are registered in registry, which may be nil.
func NewHTTPClient(idleConnections int, budget Budget, registry prometheus.Registerer) *HTTPClient {
	c := &HTTPClient{
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		limiter: rate.NewLimiter(rate.Limit(budget.PerSecond), budget.Burst),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_platform_calls_total",
			Help: "Calls of the object API by verb, collection and HTTP status (0: no answer).",
		}, []string{"verb", "collection", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "burdock_platform_call_seconds",
			Help:    "Duration of calls of the object API.",
			Buckets: []float64{0.001, 0.005, 0.02, 0.1, 0.5, 1, 3},
		}, []string{"verb"}),
	}
	if registry != nil {
		registry.MustRegister(c.calls, c.seconds)
	}
	return c
}

// Send waits for the budget, makes a call and returns the response. The caller must
// close its body. An error means that there was no response, or with code
// PlatformBudget that ctx left no time to wait for the budget.
func (c *HTTPClient) Send(ctx context.Context, call *Call) (*http.Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, resultcode.Errorf(resultcode.PlatformBudget, "%s %s: call budget exhausted: %w", call.Verb, call.Kind, err)
	}
	var body io.Reader
	if call.Body != nil {
		body = bytes.NewReader(call.Body)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, call.URL, body)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.PlatformBadObject, "create request %s %s: %w", call.Verb, call.Kind, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		c.count(call, 0)
		return nil, TransportError(call.Method, err)
	}
	c.count(call, response.StatusCode)
	return response, nil
}

func (c *HTTPClient) count(call *Call, status int) {
	c.calls.WithLabelValues(call.Verb, call.Kind, fmt.Sprint(status)).Inc()
}

// Response is a complete response of a store.
type Response struct {
	Status  int
	Header  http.Header
	Content []byte
}

// Do makes a call and reads the whole response body.
func (c *HTTPClient) Do(ctx context.Context, call *Call) (*Response, error) {
	started := time.Now()
	response, err := c.Send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	c.seconds.WithLabelValues(call.Verb).Observe(time.Since(started).Seconds())
	if err != nil {
		return nil, TransportError(call.Method, err)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Content: content}, nil
}

// TransportError returns the error of a call without a complete response. A write may
// have taken effect, or may still do so, unless no connection was established: its code
// is then PlatformUncertain.
func TransportError(method string, err error) error {
	if method == http.MethodGet || notSent(err) {
		return resultcode.Errorf(resultcode.PlatformUnreachable, "no complete response: %w", err)
	}
	return resultcode.Errorf(resultcode.PlatformUncertain, "no complete response to a write: %w", err)
}

// notSent reports whether a request failed before any byte was sent.
func notSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// DecodeError returns the error of a response that cannot be decoded. A write may have
// taken effect: its code is then PlatformUncertain.
func DecodeError(method string, err error) error {
	if method == http.MethodGet {
		return resultcode.Errorf(resultcode.PlatformBadAnswer, "decode response: %w", err)
	}
	return resultcode.Errorf(resultcode.PlatformUncertain, "decode response to a write: %w", err)
}

// Limits of retries after transient errors.
const (
	maxReadAttempts = 4
	initialInterval = 100 * time.Millisecond
	maxInterval     = 5 * time.Second
)

// NewBackOff returns the intervals between attempts: exponential with jitter, so that
// the instances do not all retry at the same time after an outage.
func NewBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialInterval
	b.MaxInterval = maxInterval
	b.RandomizationFactor = 0.5
	return b
}

// Retry makes up to maxReadAttempts attempts at a read while it fails with a transient
// error, and returns the result of the last one.
func Retry[T any](ctx context.Context, read func() (T, error)) (T, error) {
	result, err := backoff.Retry(ctx, func() (T, error) {
		value, err := read()
		if err != nil && !IsTransient(err) {
			return value, backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(NewBackOff()), backoff.WithMaxTries(maxReadAttempts))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return result, permanent.Unwrap()
	}
	return result, err
}

// RetryUntilSuccess retries an operation after any error until it succeeds or the
// context ends. It calls onError for each error.
func RetryUntilSuccess(ctx context.Context, operation func() error, onError func(error)) {
	intervals := NewBackOff()
	for ctx.Err() == nil {
		err := operation()
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			onError(err)
		}
		Sleep(ctx, intervals.NextBackOff())
	}
}

// IsTransient reports whether a call that returned err may succeed on a retry.
func IsTransient(err error) bool {
	code, _ := resultcode.Of(err)
	return code == resultcode.PlatformUnreachable || code == resultcode.PlatformUncertain
}

// Follow calls watch repeatedly until the context ends. watch continues from a position,
// or from the start if it is the zero value, and returns the position to resume from.
// After an error, Follow resumes from that position, or from the start if the store no
// longer has it (code PlatformExpired). It calls onError for each error.
func Follow[P any](ctx context.Context, watch func(position P) (next P, err error), onError func(error)) {
	intervals := NewBackOff()
	var position P
	for ctx.Err() == nil {
		next, err := watch(position)
		position = next
		if err == nil {
			intervals.Reset()
			continue
		}
		if code, _ := resultcode.Of(err); code == resultcode.PlatformExpired {
			position = *new(P)
		}
		if ctx.Err() == nil {
			onError(err)
		}
		Sleep(ctx, intervals.NextBackOff())
	}
}

// Sleep waits for the duration d and returns true, or returns false as soon as the
// context ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
