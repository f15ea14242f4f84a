package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"burdockrelay.example/burdockrelay/internal/objectstore"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// callTimeout bounds one try; the API answers in milliseconds when up.
	callTimeout = 3 * time.Second
	// callsPerSecond keeps 2,300 daemons that all retry under the platform's
	// 2,000 reads a second for most of the time; the burst covers a start.
	callsPerSecond = 1
	callBurst      = 30
	// idleConnections keeps one for each watch and some for calls.
	idleConnections = 8
)

// Client calls the object API within a budget of calls.
type Client struct {
	base   string
	caller *objectstore.HTTPClient
}

// NewClient returns a client for the API at a URL.
func NewClient(base string, registry prometheus.Registerer) *Client {
	budget := objectstore.Budget{PerSecond: callsPerSecond, Burst: callBurst}
	return &Client{base: base, caller: objectstore.NewHTTPClient(idleConnections, budget, registry)}
}

// List returns all objects of a collection.
func (c *Client) List(ctx context.Context, collection string) (*List, error) {
	return objectstore.Retry(ctx, func() (*List, error) {
		return call[List](ctx, c, http.MethodGet, "list", collection, "", nil)
	})
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, collection, name string) (*Object, error) {
	return objectstore.Retry(ctx, func() (*Object, error) {
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := try[T](ctx, c, &objectstore.Call{
		Method: method, Verb: verb, Kind: collection, URL: c.target(collection, name, nil),
	}, object)
	if err != nil {
		return nil, fmt.Errorf("%s %s %s: %w", verb, collection, name, err)
	}
	return result, nil
}

func try[T any](ctx context.Context, c *Client, call *objectstore.Call, object *Object) (*T, error) {
	if object != nil {
		encoded, err := json.Marshal(object)
		if err != nil {
			return nil, err
		}
		call.Body = encoded
	}
	status, answer, err := c.caller.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	if status >= http.StatusMultipleChoices {
		return nil, failure(call.Method, status, answer)
	}
	var result T
	if err := json.Unmarshal(answer, &result); err != nil {
		return nil, objectstore.DecodeError(call.Method, err)
	}
	return &result, nil
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
