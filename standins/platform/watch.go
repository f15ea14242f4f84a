package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// watch streams events. Without a resourceVersion, or with 0, it starts with
// the present objects as ADDED events.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, collection string) *Failure {
	version, duration, failed := s.watchParameters(r)
	if failed != nil {
		return failed
	}
	stream := &watchStream{server: s, collection: collection, version: version, encoder: json.NewEncoder(w)}
	stream.controller = http.NewResponseController(w)
	if version == 0 {
		var events []Event
		events, stream.version = s.store.present(collection)
		stream.start(w)
		return stream.finish(r, duration, stream.send(events))
	}
	if _, _, _, failed := s.store.since(collection, version); failed != nil {
		return failed
	}
	stream.start(w)
	return stream.finish(r, duration, nil)
}

func (s *Server) watchParameters(r *http.Request) (uint64, time.Duration, *Failure) {
	query := r.URL.Query()
	var version uint64
	if text := query.Get("resourceVersion"); text != "" {
		var err error
		if version, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, failure(http.StatusBadRequest, "BadRequest", "resourceVersion %q is not a number", text)
		}
	}
	duration := s.settings.MaxWatchDuration
	if text := query.Get("timeoutSeconds"); text != "" {
		seconds, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return 0, 0, failure(http.StatusBadRequest, "BadRequest", "timeoutSeconds %q is not a number", text)
		}
		duration = min(duration, time.Duration(seconds)*time.Second)
	}
	return version, duration, nil
}

// watchStream is one watch under way.
type watchStream struct {
	server     *Server
	collection string
	version    uint64
	encoder    *json.Encoder
	controller *http.ResponseController
}

func (ws *watchStream) start(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	// A failed flush shows again at the first event.
	_ = ws.controller.Flush()
}

// finish streams until the time is over, the client leaves or an outage begins.
func (ws *watchStream) finish(r *http.Request, duration time.Duration, err error) *Failure {
	ws.server.counters.watching(ws.collection, 1)
	defer ws.server.counters.watching(ws.collection, -1)
	if err != nil {
		return nil
	}
	end := time.NewTimer(duration)
	defer end.Stop()
	bookmark := time.NewTicker(ws.server.settings.BookmarkInterval)
	defer bookmark.Stop()
	for {
		values, faultsChanged := ws.server.faults.get()
		if values.Outage == outageDrop || values.Outage == outageUnavailable {
			dropConnection()
		}
		frozen := values.FreezeWatches || values.Outage == outageHang
		changed, ok := ws.advance(frozen)
		if !ok {
			return nil
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-bookmark.C:
			if !frozen && ws.bookmark() != nil {
				return nil
			}
		case <-end.C:
			if !frozen {
				// The watch ends in any case.
				_ = ws.bookmark()
			}
			return nil
		case <-r.Context().Done():
			return nil
		}
	}
}

// advance sends the events since the last one, unless watches are frozen, and
// returns a channel that is closed at the next change. It returns false when
// the watch is over.
func (ws *watchStream) advance(frozen bool) (<-chan struct{}, bool) {
	if frozen {
		return nil, true
	}
	events, version, changed, failed := ws.server.store.since(ws.collection, ws.version)
	if failed != nil {
		ws.server.counters.failed(failed.Reason)
		// The watch ends in any case.
		_ = ws.send([]Event{{Type: eventError, Object: failed}})
		return nil, false
	}
	ws.version = version
	return changed, ws.send(events) == nil
}

func (ws *watchStream) bookmark() error {
	object := Object{Kind: "Bookmark", APIVersion: APIVersion}
	object.Metadata.ResourceVersion = formatVersion(ws.version)
	return ws.send([]Event{{Type: eventBookmark, Object: object}})
}

// send writes one line for each event.
func (ws *watchStream) send(events []Event) error {
	for _, event := range events {
		if err := ws.encoder.Encode(event); err != nil {
			return err
		}
	}
	if len(events) == 0 {
		return nil
	}
	return ws.controller.Flush()
}
