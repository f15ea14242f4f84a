package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"burdockrelay.example/burdockrelay/internal/objectstore"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// watchTimeout ends a watch without events, so that a watch on a dead
	// connection is noticed.
	watchTimeout = 30 * time.Second
	// watchSlack is added for the platform's answer to arrive.
	watchSlack = 5 * time.Second
	// maxEvent is the longest line: an object of a megabyte in base64.
	maxEvent = 2 << 20
)

// Handler receives the content of a collection.
type Handler interface {
	// Replace is called with the full list, at the start and after a gap.
	Replace(list *List)
	// Change is called for each change since.
	Change(kind string, object *Object)
	// Failed is called when the platform does not answer.
	Failed(err error)
}

// Watch follows a collection until the context ends. It resumes at the last
// resource version and lists again when the platform no longer has it.
func (c *Client) Watch(ctx context.Context, collection string, handler Handler) {
	objectstore.Follow(ctx, func(version string) (string, error) {
		return c.follow(ctx, collection, version, handler)
	}, handler.Failed)
}

func (c *Client) follow(ctx context.Context, collection, version string, handler Handler) (string, error) {
	if version == "" {
		list, err := call[List](ctx, c, http.MethodGet, "list", collection, "", nil)
		if err != nil {
			return "", err
		}
		handler.Replace(list)
		version = list.Metadata.ResourceVersion
	}
	return c.stream(ctx, collection, version, handler)
}

func (c *Client) stream(ctx context.Context, collection, version string, handler Handler) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchSlack)
	defer cancel()
	query := url.Values{}
	query.Set("watch", "1")
	query.Set("resourceVersion", version)
	query.Set("timeoutSeconds", fmt.Sprint(int(watchTimeout.Seconds())))
	response, err := c.caller.Send(ctx, &objectstore.Call{
		Method: http.MethodGet, Verb: "watch", Kind: collection, URL: c.target(collection, "", query),
	})
	if err != nil {
		return version, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return version, failure(http.MethodGet, response.StatusCode, nil)
	}
	return readEvents(response, version, handler)
}

func readEvents(response *http.Response, version string, handler Handler) (string, error) {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEvent)
	for scanner.Scan() {
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return version, resultcode.Errorf(resultcode.PlatformBadAnswer, "undecodable event: %w", err)
		}
		next, err := handleEvent(event, handler)
		if err != nil {
			return version, err
		}
		version = next
	}
	if err := scanner.Err(); err != nil {
		return version, objectstore.TransportError(http.MethodGet, err)
	}
	return version, nil
}

func handleEvent(event Event, handler Handler) (string, error) {
	if event.Type == failed {
		var f Failure
		_ = json.Unmarshal(event.Object, &f)
		return "", failure(http.MethodGet, f.Code, event.Object)
	}
	var object Object
	if err := json.Unmarshal(event.Object, &object); err != nil {
		return "", resultcode.Errorf(resultcode.PlatformBadAnswer, "undecodable object: %w", err)
	}
	if event.Type != Bookmark {
		handler.Change(event.Type, &object)
	}
	return object.Metadata.ResourceVersion, nil
}
