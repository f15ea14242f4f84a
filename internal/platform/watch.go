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
	// watchTimeout is the duration after which the platform ends a watch. It bounds
	// the time until a dead connection is detected.
	watchTimeout = 30 * time.Second
	// watchGrace is added to watchTimeout to receive the platform's last response.
	watchGrace = 5 * time.Second
	// maxEventBytes is the longest line of a watch: an object of 1 MB in base64.
	maxEventBytes = 2 << 20
)

// Handler receives the content of a collection and its changes.
type Handler interface {
	// Replace is called with the full list, at the start and after the platform has
	// dropped the resource version at which the watch would resume.
	Replace(list *List)
	// Change is called for each change after the list, with the event type.
	Change(eventType string, object *Object)
	// Failed is called when a list request or a watch fails.
	Failed(err error)
}

// Watch follows a collection until ctx ends. It resumes at the last resource
// version and lists again when the platform no longer has that version.
func (c *Client) Watch(ctx context.Context, collection string, handler Handler) {
	objectstore.Follow(ctx, func(version string) (string, error) {
		return c.listAndWatch(ctx, collection, version, handler)
	}, handler.Failed)
}

// listAndWatch lists the collection if version is empty, then reads one watch. It
// returns the version at which to resume.
func (c *Client) listAndWatch(ctx context.Context, collection, version string, handler Handler) (string, error) {
	if version == "" {
		requestedAt := time.Now()
		list, err := call[List](ctx, c, http.MethodGet, "list", collection, "", nil)
		if err != nil {
			return "", err
		}
		list.RequestedAt = requestedAt
		handler.Replace(list)
		version = list.Metadata.ResourceVersion
	}
	return c.stream(ctx, collection, version, handler)
}

// stream reads one watch from the given resource version. It returns the version at
// which to resume.
func (c *Client) stream(ctx context.Context, collection, version string, handler Handler) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchGrace)
	defer cancel()
	query := url.Values{}
	query.Set("watch", "1")
	query.Set("resourceVersion", version)
	query.Set("timeoutSeconds", fmt.Sprint(int(watchTimeout.Seconds())))
	response, err := c.httpClient.Send(ctx, &objectstore.Call{
		Method: http.MethodGet, Verb: "watch", Kind: collection, URL: c.requestURL(collection, "", query),
	})
	if err != nil {
		return version, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return version, statusError(http.MethodGet, response.StatusCode, nil)
	}
	return readEvents(response, version, handler)
}

// readEvents passes events to the handler until the response ends. It returns the
// resource version of the last event.
func readEvents(response *http.Response, version string, handler Handler) (string, error) {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return version, resultcode.Errorf(resultcode.PlatformBadAnswer, "decode watch event: %w", err)
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
	if event.Type == errorEvent {
		var details Failure
		_ = json.Unmarshal(event.Object, &details)
		return "", statusError(http.MethodGet, details.Code, event.Object)
	}
	var object Object
	if err := json.Unmarshal(event.Object, &object); err != nil {
		return "", resultcode.Errorf(resultcode.PlatformBadAnswer, "decode object of watch event: %w", err)
	}
	if event.Type != Bookmark {
		handler.Change(event.Type, &object)
	}
	return object.Metadata.ResourceVersion, nil
}
