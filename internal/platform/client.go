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
	// callTimeout bounds one attempt. The API normally answers within milliseconds.
	callTimeout = 3 * time.Second
	// callsPerSecond and callBurst limit the calls of one daemon. At this rate,
	// 2,300 daemons that all retry stay under the platform's limit of 2,000 reads
	// per second most of the time. The burst covers startup.
	callsPerSecond = 1
	callBurst      = 30
	// idleConnections allows one connection per watch and some for calls.
	idleConnections = 8
)

// Client calls the object API with a limited call rate.
type Client struct {
	base       string
	httpClient *objectstore.HTTPClient
}

// NewClient returns a client for the API at the URL base.
func NewClient(base string, registry prometheus.Registerer) *Client {
	budget := objectstore.Budget{PerSecond: callsPerSecond, Burst: callBurst}
	return &Client{base: base, httpClient: objectstore.NewHTTPClient(idleConnections, budget, registry)}
}

// List returns all objects of a collection. Transient errors are retried a few
// times.
func (c *Client) List(ctx context.Context, collection string) (*List, error) {
	return objectstore.Retry(ctx, func() (*List, error) { return c.list(ctx, collection) })
}

// list makes one attempt to list a collection.
func (c *Client) list(ctx context.Context, collection string) (*List, error) {
	list, header, err := call(ctx, c, http.MethodGet, "list", collection, "", nil, decodeList)
	if err != nil {
		return nil, err
	}
	list.Era = header.Get(eraHeader)
	return list, nil
}

// Get returns one object. Transient errors are retried a few times.
func (c *Client) Get(ctx context.Context, collection, name string) (*Object, error) {
	return objectstore.Retry(ctx, func() (*Object, error) {
		return c.callObject(ctx, http.MethodGet, "get", collection, name, nil)
	})
}

// Create writes a new object. It is not retried: an error with the code
// PlatformUncertain means that the write may have taken effect.
func (c *Client) Create(ctx context.Context, collection string, object *Object) (*Object, error) {
	return c.callObject(ctx, http.MethodPost, "create", collection, "", object)
}

// Update replaces an object if its resource version is unchanged. It is not
// retried: an error with the code PlatformUncertain means that the write may have
// taken effect.
func (c *Client) Update(ctx context.Context, collection string, object *Object) (*Object, error) {
	return c.callObject(ctx, http.MethodPut, "update", collection, object.Metadata.Name, object)
}

// Delete removes an object. It is not retried: an error with the code
// PlatformUncertain means that the removal may have taken effect.
func (c *Client) Delete(ctx context.Context, collection, name string) error {
	_, _, err := call(ctx, c, http.MethodDelete, "delete", collection, name, nil, decodeObject)
	return err
}

func (c *Client) requestURL(collection, name string, query url.Values) string {
	requestURL := c.base + basePath + collection
	if name != "" {
		requestURL += "/" + url.PathEscape(name)
	}
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	return requestURL
}

// callObject sends a request for one object.
func (c *Client) callObject(ctx context.Context, method, verb, collection, name string, object *Object) (*Object, error) {
	result, header, err := call(ctx, c, method, verb, collection, name, object, decodeObject)
	if err != nil {
		return nil, err
	}
	result.Era = header.Get(eraHeader)
	return result, nil
}

// decoder decodes the body of a response.
type decoder[T any] func(body []byte) (*T, error)

// call sends a request and decodes the response, which it returns with its header. The
// error names the verb and object.
func call[T any](
	ctx context.Context, c *Client, method, verb, collection, name string, object *Object, decode decoder[T],
) (*T, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, header, err := attempt(ctx, c, &objectstore.Call{
		Method: method, Verb: verb, Kind: collection, URL: c.requestURL(collection, name, nil),
	}, object, decode)
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s %s: %w", verb, collection, name, err)
	}
	return result, header, nil
}

// attempt sends a request once. The error has the code PlatformUncertain when a
// write may have taken effect.
func attempt[T any](
	ctx context.Context, c *Client, call *objectstore.Call, object *Object, decode decoder[T],
) (*T, http.Header, error) {
	if object != nil {
		encoded, err := json.Marshal(object)
		if err != nil {
			return nil, nil, err
		}
		call.Body = encoded
	}
	response, err := c.httpClient.Do(ctx, call)
	if err != nil {
		return nil, nil, err
	}
	if response.Status >= http.StatusMultipleChoices {
		return nil, nil, statusError(call.Method, response.Status, response.Content)
	}
	result, err := decode(response.Content)
	if err != nil {
		return nil, nil, objectstore.DecodeError(call.Method, err)
	}
	return result, response.Header, nil
}

// statusError returns the error for an unsuccessful response.
func statusError(method string, status int, body []byte) error {
	var details Failure
	_ = json.Unmarshal(body, &details)
	switch {
	case status == http.StatusNotFound:
		return resultcode.Errorf(resultcode.PlatformNotFound, "object not found")
	case status == http.StatusGone:
		return resultcode.Errorf(resultcode.PlatformExpired, "resource version expired")
	case status == http.StatusConflict && details.Reason == "AlreadyExists":
		return resultcode.Errorf(resultcode.PlatformExists, "object already exists")
	case status == http.StatusConflict:
		return resultcode.Errorf(resultcode.PlatformConflict, "object has changed since it was read")
	case status == http.StatusTooManyRequests:
		return resultcode.Errorf(resultcode.PlatformUnreachable, "too many requests")
	case status >= http.StatusInternalServerError && method != http.MethodGet:
		return resultcode.Errorf(resultcode.PlatformUncertain, "HTTP status %d: %s", status, details.Message)
	case status >= http.StatusInternalServerError:
		return resultcode.Errorf(resultcode.PlatformUnreachable, "HTTP status %d: %s", status, details.Message)
	default:
		return resultcode.Errorf(resultcode.PlatformBadAnswer, "HTTP status %d: %s %s", status, details.Reason, details.Message)
	}
}
