package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// callTimeout bounds one try; the API answers in milliseconds when up.
	callTimeout = 3 * time.Second
	// callsPerSecond keeps 2,300 daemons that all retry under the platform's
	// 2,000 reads a second for most of the time; the burst covers a start.
	callsPerSecond = 1
	callBurst      = 30
	// maxAnswer is above the platform's limit of a megabyte for a value, in
	// base64, for a list of a few releases.
	maxAnswer = 16 << 20
)

// Client calls the object API within a budget of calls.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

// NewClient returns a client for the API at a URL.
func NewClient(base string, registry prometheus.Registerer) *Client {
	c := &Client{
		base: base,
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}},
		limiter: rate.NewLimiter(callsPerSecond, callBurst),
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

// List returns all objects of a collection.
func (c *Client) List(ctx context.Context, collection string) (*List, error) {
	return retry(ctx, func() (*List, error) {
		return call[List](ctx, c, http.MethodGet, "list", collection, "", nil)
	})
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, collection, name string) (*Object, error) {
	return retry(ctx, func() (*Object, error) {
		return call[Object](ctx, c, http.MethodGet, "get", collection, name, nil)
	})
}

// Create writes a new object and is not repeated. An error with the code
// PlatformUncertain means that it may have taken effect.
func (c *Client) Create(ctx context.Context, collection string, object *Object) (*Object, error) {
	return call[Object](ctx, c, http.MethodPost, "create", collection, "", object)
}

// Update replaces an object if it still has its resource version, and is not
// repeated. An error with the code PlatformUncertain means that it may have taken
// effect.
func (c *Client) Update(ctx context.Context, collection string, object *Object) (*Object, error) {
	return call[Object](ctx, c, http.MethodPut, "update", collection, object.Metadata.Name, object)
}

// Delete removes an object.
func (c *Client) Delete(ctx context.Context, collection, name string) error {
	_, err := call[Failure](ctx, c, http.MethodDelete, "delete", collection, name, nil)
	return err
}

// Tries and intervals of reads that fail for a passing reason.
const (
	readTries       = 4
	initialInterval = 100 * time.Millisecond
	maxInterval     = 5 * time.Second
)

// NewBackOff returns the intervals between tries: exponential with jitter, so
// that the daemons do not all return at once after an outage.
func NewBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialInterval
	b.MaxInterval = maxInterval
	b.RandomizationFactor = 0.5
	return b
}

func retry[T any](ctx context.Context, operation func() (*T, error)) (*T, error) {
	result, err := backoff.Retry(ctx, func() (*T, error) {
		value, err := operation()
		if err != nil && !passing(err) {
			return nil, backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(NewBackOff()), backoff.WithMaxTries(readTries))
	var permanent *backoff.PermanentError
	if errors.As(err, &permanent) {
		return nil, permanent.Unwrap()
	}
	return result, err
}

// passing reports whether a call may succeed when repeated.
func passing(err error) bool {
	code, _ := resultcode.Of(err)
	return code == resultcode.PlatformUnreachable || code == resultcode.PlatformUncertain
}

func (c *Client) target(collection, name string, query url.Values) string {
	target := c.base + basePath + collection
	if name != "" {
		target += "/" + url.PathEscape(name)
	}
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	return target
}

func call[T any](ctx context.Context, c *Client, method, verb, collection, name string, object *Object) (*T, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, resultcode.Errorf(resultcode.PlatformBudget, "%s %s: call budget used up: %w", verb, collection, err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	result, status, err := try[T](ctx, c, method, c.target(collection, name, nil), object)
	c.calls.WithLabelValues(verb, collection, fmt.Sprint(status)).Inc()
	c.seconds.WithLabelValues(verb).Observe(time.Since(start).Seconds())
	if err != nil {
		return nil, fmt.Errorf("%s %s %s: %w", verb, collection, name, err)
	}
	return result, nil
}

func try[T any](ctx context.Context, c *Client, method, target string, object *Object) (*T, int, error) {
	var body io.Reader
	if object != nil {
		encoded, err := json.Marshal(object)
		if err != nil {
			return nil, 0, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, lost(method, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, response.StatusCode, lost(method, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, response.StatusCode, failure(method, response.StatusCode, answer)
	}
	var result T
	if err := json.Unmarshal(answer, &result); err != nil {
		return nil, response.StatusCode, answerError(method, err)
	}
	return &result, response.StatusCode, nil
}

// lost returns the error of a call without answer. A write may have taken effect
// unless no connection was made.
func lost(method string, err error) error {
	if method == http.MethodGet || notSent(err) {
		return resultcode.Errorf(resultcode.PlatformUnreachable, "no answer: %w", err)
	}
	return resultcode.Errorf(resultcode.PlatformUncertain, "answer lost: %w", err)
}

func answerError(method string, err error) error {
	if method == http.MethodGet {
		return resultcode.Errorf(resultcode.PlatformBadAnswer, "undecodable answer: %w", err)
	}
	return resultcode.Errorf(resultcode.PlatformUncertain, "undecodable answer to a write: %w", err)
}

func failure(method string, status int, answer []byte) error {
	var f Failure
	_ = json.Unmarshal(answer, &f)
	switch {
	case status == http.StatusNotFound:
		return resultcode.Errorf(resultcode.PlatformNotFound, "not found")
	case status == http.StatusGone:
		return resultcode.Errorf(resultcode.PlatformExpired, "resource version expired")
	case status == http.StatusConflict && f.Reason == "AlreadyExists":
		return resultcode.Errorf(resultcode.PlatformExists, "already exists")
	case status == http.StatusConflict:
		return resultcode.Errorf(resultcode.PlatformConflict, "changed in between")
	case status == http.StatusTooManyRequests:
		return resultcode.Errorf(resultcode.PlatformUnreachable, "too many requests")
	case status >= http.StatusInternalServerError && method != http.MethodGet:
		return resultcode.Errorf(resultcode.PlatformUncertain, "status %d: %s", status, f.Message)
	case status >= http.StatusInternalServerError:
		return resultcode.Errorf(resultcode.PlatformUnreachable, "status %d: %s", status, f.Message)
	default:
		return resultcode.Errorf(resultcode.PlatformBadAnswer, "status %d: %s %s", status, f.Reason, f.Message)
	}
}
