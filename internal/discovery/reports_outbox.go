package discovery

import (
	"maps"
	"slices"
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/silence"
)

const (
	// maxUnsentReports and maxKnownReports limit the endpoints that wait for a datagram and
	// those that peers have reported.
	maxUnsentReports, maxKnownReports = 1024, 4096
	// knownReportLifetime is how long an endpoint that a peer has reported is not reported
	// again. A verdict takes the other instances about half a second.
	knownReportLifetime = 10 * time.Second
)

// reportOutbox holds the endpoints that are to be reported to peers. It is safe for concurrent
// use.
type reportOutbox struct {
	mu     sync.Mutex
	unsent []silence.EndpointID
	// known holds when a peer reported an endpoint.
	known map[silence.EndpointID]time.Duration
}

// add adds an endpoint unless a peer has reported it. It returns false if there is no room.
func (o *reportOutbox) add(id silence.EndpointID, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isKnown(id, now) || slices.Contains(o.unsent, id) {
		return true
	}
	if len(o.unsent) >= maxUnsentReports {
		return false
	}
	o.unsent = append(o.unsent, id)
	return true
}

func (o *reportOutbox) isKnown(id silence.EndpointID, now time.Duration) bool {
	at, known := o.known[id]
	return known && now-at < knownReportLifetime
}

// peerReported records that a peer has reported endpoints.
func (o *reportOutbox) peerReported(endpoints map[silence.EndpointID]bool, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.known)+len(endpoints) > maxKnownReports {
		maps.DeleteFunc(o.known, func(_ silence.EndpointID, at time.Duration) bool { return now-at >= knownReportLifetime })
	}
	for id := range endpoints {
		if len(o.known) < maxKnownReports {
			o.known[id] = now
		}
	}
}

// next returns the next datagram of the reporter and the number of endpoints in it, 0 if
// there is none, and whether endpoints remain for a later one.
func (o *reportOutbox) next(reporter string, now time.Duration) (datagram []byte, endpoints int, more bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsent = slices.DeleteFunc(o.unsent, func(id silence.EndpointID) bool { return o.isKnown(id, now) })
	if len(o.unsent) == 0 {
		return nil, 0, false, nil
	}
	datagram, endpoints, err = encodeReport(reporter, o.unsent)
	// An endpoint whose name is too long for a datagram is removed without a report.
	o.unsent = slices.Delete(o.unsent, 0, max(endpoints, 1))
	return datagram, endpoints, len(o.unsent) > 0, nil
}
