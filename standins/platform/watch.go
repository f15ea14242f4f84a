package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// watch streams the events after the requested resourceVersion. Without one, or
// with 0, it starts with the current objects as ADDED events.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, collection string) *StatusError {
	version, duration, statusErr := s.watchParameters(r)
	if statusErr != nil {
		return statusErr
	}
	stream := &watchStream{server: s, collection: collection, era: s.store.currentEra(), version: version, encoder: json.NewEncoder(w)}
	stream.controller = http.NewResponseController(w)
	if version == 0 {
		var events []Event
		events, stream.version = s.store.snapshot(collection)
		stream.writeHeader(w)
		return stream.run(r, duration, stream.send(events))
	}
	if _, _, _, statusErr := s.store.eventsSince(collection, version); statusErr != nil {
		return statusErr
	}
	stream.writeHeader(w)
	return stream.run(r, duration, nil)
}

// watchParameters returns the version after which the watch starts and its
// duration, at most MaxWatchDuration.
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

// watchStream is one open watch. All events up to version of the era have been sent.
type watchStream struct {
	server     *Server
	collection string
	era        uint64
	version    uint64
	encoder    *json.Encoder
	controller *http.ResponseController
}

func (ws *watchStream) writeHeader(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	// If the flush fails, so does the write of the first event.
	_ = ws.controller.Flush()
}

// run sends events until the duration has passed, the client disconnects, a
// write fails or an outage begins; err is the result of sending the initial
// events.
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
				// The error is ignored because the watch ends anyway.
				_ = ws.sendBookmark()
			}
			return nil
		case <-r.Context().Done():
			return nil
		}
	}
}

// sendPending sends the events not sent yet, unless watches are frozen, and
// returns a channel that is closed at the next change. It returns false when
// the watch must end.
func (ws *watchStream) sendPending(frozen bool) (<-chan struct{}, bool) {
	if frozen {
		return nil, true
	}
	if ws.server.store.currentEra() != ws.era {
		return nil, false
	}
	events, version, changed, statusErr := ws.server.store.eventsSince(ws.collection, ws.version)
	if statusErr != nil {
		ws.server.counters.countFailure(statusErr.Reason)
		// The error is ignored because the watch ends anyway.
		_ = ws.send([]Event{{Type: eventError, Object: statusErr}})
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

// send writes each event as one line and flushes them.
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
