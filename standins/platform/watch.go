package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// watch streams events. Without a resourceVersion, or with 0, it starts with
// the present objects as ADDED events.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, collection string) *StatusError {
	version, duration, failed := s.watchParameters(r)
	if failed != nil {
		return failed
	}
	stream := &watchStream{server: s, collection: collection, version: version, encoder: json.NewEncoder(w)}
	stream.controller = http.NewResponseController(w)
	if version == 0 {
		var events []Event
		events, stream.version = s.store.snapshot(collection)
		stream.writeHeader(w)
		return stream.run(r, duration, stream.send(events))
	}
	if _, _, _, failed := s.store.eventsSince(collection, version); failed != nil {
		return failed
	}
	stream.writeHeader(w)
	return stream.run(r, duration, nil)
}

func (s *Server) watchParameters(r *http.Request) (uint64, time.Duration, *StatusError) {
	query := r.URL.Query()
	var version uint64
	if text := query.Get("resourceVersion"); text != "" {
		var err error
		if version, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, newStatusError(http.StatusBadRequest, "BadRequest", "resourceVersion %q is not a number", text)
		}
	}
	duration := s.settings.MaxWatchDuration
	if text := query.Get("timeoutSeconds"); text != "" {
		seconds, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return 0, 0, newStatusError(http.StatusBadRequest, "BadRequest", "timeoutSeconds %q is not a number", text)
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

func (ws *watchStream) writeHeader(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	// A failed flush shows again at the first event.
	_ = ws.controller.Flush()
}

// run streams until the time is over, the client leaves or an outage begins.
func (ws *watchStream) run(r *http.Request, duration time.Duration, err error) *StatusError {
	ws.server.counters.addWatches(ws.collection, 1)
	defer ws.server.counters.addWatches(ws.collection, -1)
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
		changed, ok := ws.sendPending(frozen)
		if !ok {
			return nil
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-bookmark.C:
			if !frozen && ws.sendBookmark() != nil {
				return nil
			}
		case <-end.C:
			if !frozen {
				// The watch ends in any case.
				_ = ws.sendBookmark()
			}
			return nil
		case <-r.Context().Done():
			return nil
		}
	}
}

// sendPending sends the events since the last one, unless watches are frozen, and
// returns a channel that is closed at the next change. It returns false when
// the watch is over.
func (ws *watchStream) sendPending(frozen bool) (<-chan struct{}, bool) {
	if frozen {
		return nil, true
	}
	events, version, changed, failed := ws.server.store.eventsSince(ws.collection, ws.version)
	if failed != nil {
		ws.server.counters.countFailure(failed.Reason)
		// The watch ends in any case.
		_ = ws.send([]Event{{Type: eventError, Object: failed}})
		return nil, false
	}
	ws.version = version
	return changed, ws.send(events) == nil
}

func (ws *watchStream) sendBookmark() error {
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
