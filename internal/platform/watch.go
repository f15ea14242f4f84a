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

// watchPosition is where a watch continues: a resource version and the era to which it
// belongs. The zero value is the start, a list of the collection.
type watchPosition struct {
	era, version string
}

// Watch follows a collection until ctx ends. It resumes at the last resource
// version and lists again when the platform no longer has that version, or was restored
// from a copy.
func (c *Client) Watch(ctx context.Context, collection string, handler Handler) {
	objectstore.Follow(ctx, func(position watchPosition) (watchPosition, error) {
		return c.listAndWatch(ctx, collection, position, handler)
	}, handler.Failed)
}

// listAndWatch lists the collection if position is the zero value, then reads one watch.
// It returns the position at which to resume.
func (c *Client) listAndWatch(ctx context.Context, collection string, position watchPosition, handler Handler) (watchPosition, error) {
	if position.version == "" {
		requestedAt := time.Now()
		list, err := c.list(ctx, collection)
		if err != nil {
			return watchPosition{}, err
		}
		list.RequestedAt = requestedAt
		handler.Replace(list)
		position = watchPosition{era: list.Era, version: list.Metadata.ResourceVersion}
	}
	version, err := c.stream(ctx, collection, position, handler)
	return watchPosition{era: position.era, version: version}, err
}

// stream reads one watch from the given position. It returns the version at which to
// resume.
func (c *Client) stream(ctx context.Context, collection string, position watchPosition, handler Handler) (string, error) {
	version := position.version
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
	if era := response.Header.Get(eraHeader); era != position.era {
		return version, resultcode.Errorf(resultcode.PlatformExpired, "the platform was restored: era %s follows era %s", era, position.era)
	}
	return readEvents(response, version, handler)
}

// readEvents passes events to the handler until the response ends. It returns the
// resource version of the last event.
func readEvents(response *http.Response, version string, handler Handler) (string, error) {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		event, err := decodeEvent(scanner.Bytes())
		if err != nil {
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
	object, err := decodeObject(event.Object)
	if err != nil {
		return "", resultcode.Errorf(resultcode.PlatformBadAnswer, "decode object of watch event: %w", err)
	}
	if event.Type != Bookmark {
		handler.Change(event.Type, object)
	}
	return object.Metadata.ResourceVersion, nil
}
