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

// maxAnswerBytes bounds an answer: values have a megabyte, a list of a few in base64
// is below this.
const maxAnswerBytes = 16 << 20

// Budget bounds the calls of one process.
type Budget struct {
	PerSecond float64
	Burst     int
}

// Call is one call of a store.
type Call struct {
	Method string
	// Verb and Kind name the call in metrics and errors.
	Verb, Kind string
	URL     string
	Body       []byte
}

// HTTPClient makes the calls of a store's client over HTTP: within a budget, counted, and
// with errors that tell whether a write may have taken effect.
type HTTPClient struct {
	http    *http.Client
	limiter *rate.Limiter
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

// NewHTTPClient returns a caller with a number of idle connections. registry may be nil.
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

// Send makes a call within the budget and returns the response, whose body the
// caller of Send closes. An error means that there was no response.
func (c *HTTPClient) Send(ctx context.Context, call *Call) (*http.Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, resultcode.Errorf(resultcode.PlatformBudget, "%s %s: call budget used up: %w", call.Verb, call.Kind, err)
	}
	var body io.Reader
	if call.Body != nil {
		body = bytes.NewReader(call.Body)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, call.URL, body)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.PlatformBadObject, "%s %s: %w", call.Verb, call.Kind, err)
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

// Do makes a call and reads the whole answer.
func (c *HTTPClient) Do(ctx context.Context, call *Call) (status int, answer []byte, err error) {
	started := time.Now()
	response, err := c.Send(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	c.seconds.WithLabelValues(call.Verb).Observe(time.Since(started).Seconds())
	if err != nil {
		return response.StatusCode, nil, TransportError(call.Method, err)
	}
	return response.StatusCode, answer, nil
}

// TransportError returns the error of a call without a whole answer. A write may have taken
// effect, or may do so later, unless no connection was made.
func TransportError(method string, err error) error {
	if method == http.MethodGet || notSent(err) {
		return resultcode.Errorf(resultcode.PlatformUnreachable, "no answer: %w", err)
	}
	return resultcode.Errorf(resultcode.PlatformUncertain, "answer lost: %w", err)
}

// notSent reports whether a request failed before any byte left.
func notSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// DecodeError returns the error of an answer that cannot be decoded. A write has then
// taken effect or not.
func DecodeError(method string, err error) error {
	if method == http.MethodGet {
		return resultcode.Errorf(resultcode.PlatformBadAnswer, "undecodable answer: %w", err)
	}
	return resultcode.Errorf(resultcode.PlatformUncertain, "undecodable answer to a write: %w", err)
}

// Tries and intervals of reads that fail for a passing reason.
const (
	readTries       = 4
	initialInterval = 100 * time.Millisecond
	maxInterval     = 5 * time.Second
)

// NewBackOff returns the intervals between tries: exponential with jitter, so that
// the instances do not all return at once after an outage.
func NewBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialInterval
	b.MaxInterval = maxInterval
	b.RandomizationFactor = 0.5
	return b
}

// Retry repeats a read that fails for a passing reason, a few times.
func Retry[T any](ctx context.Context, read func() (T, error)) (T, error) {
	result, err := backoff.Retry(ctx, func() (T, error) {
		value, err := read()
		if err != nil && !IsTransient(err) {
			return value, backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(NewBackOff()), backoff.WithMaxTries(readTries))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return result, permanent.Unwrap()
	}
	return result, err
}

// RetryUntilSuccess repeats an operation until it succeeds or the context ends. failed is told
// of each failure.
func RetryUntilSuccess(ctx context.Context, operation func() error, failed func(error)) {
	intervals := NewBackOff()
	for ctx.Err() == nil {
		err := operation()
		if err == nil {
			return
		}
		if ctx.Err() == nil {
			failed(err)
		}
		Sleep(ctx, intervals.NextBackOff())
	}
}

// IsTransient reports whether a call may succeed when it is repeated.
func IsTransient(err error) bool {
	code, _ := resultcode.Of(err)
	return code == resultcode.PlatformUnreachable || code == resultcode.PlatformUncertain
}

// Follow follows the changes of a store until the context ends: follow goes on from a
// version, "" for a new start, and returns where to resume. After a failure it resumes
// there, or starts anew when the store no longer has that version. failed is told of
// each failure.
func Follow(ctx context.Context, follow func(version string) (next string, err error), failed func(error)) {
	intervals := NewBackOff()
	version := ""
	for ctx.Err() == nil {
		next, err := follow(version)
		version = next
		if err == nil {
			intervals.Reset()
			continue
		}
		if code, _ := resultcode.Of(err); code == resultcode.PlatformExpired {
			version = ""
		}
		if ctx.Err() == nil {
			failed(err)
		}
		Sleep(ctx, intervals.NextBackOff())
	}
}

// Sleep waits for a time and returns true, or false when the context has ended.
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
