// Package admission limits the requests that an instance has in flight for a service, so
// that an overloaded service still answers some requests in time.
//
// When its endpoints are overloaded, a service answers all requests late. The limiter
// measures the share of responses that miss their latency target. It decreases the limit while
// that share is high, and increases it while the share is low and the limit is in use. The
// number of requests in flight thus converges to what the service can answer in time.
// Requests above the limit are refused before they reach an endpoint.
//
// The limiter counts only requests that open a flow. Later requests on a flow cannot be
// refused, and they stay on their endpoint when it becomes slow: their late responses say
// nothing about the endpoints that new flows get. The package reads no clock.
package admission

import "time"

const (
	// The limit is decreased if the share of late responses is above
	// decreaseLateShare, and increased if it is below increaseLateShare.
	decreaseLateShare = 0.2
	increaseLateShare = 0.05
	// lateThreshold is the fraction of the latency target after which a response counts
	// as late. The handshake before it and the bytes after its start take the rest.
	lateThreshold = 0.8
	// Each adjustment is based on at least window and at least minResponses responses.
	window       = 150 * time.Millisecond
	minResponses = 8
	// decreaseFactor and increaseFactor are the factors of one adjustment.
	decreaseFactor = 0.85
	increaseFactor = 1.05
	// minUsedShare is the part of the limit that must have been used before the limit
	// is increased.
	minUsedShare = 0.8
	// minPerSlot is the minimum limit in requests per slot that no later request uses. It
	// keeps the slots busy of a service that is itself slower than the latency target.
	minPerSlot = 1.5
	// limitExpiry is the time without a decrease after which the limit is removed.
	limitExpiry = 3 * time.Second
	// noResponseTimeout is the time without any response after which the limit is
	// removed. The requests in flight may be lost; while all others are refused, no
	// response could arrive to increase the limit again.
	noResponseTimeout = 400 * time.Millisecond
	// priorityShare is the part of the limit that is added for each priority level
	// above the lowest, up to maxPriorityShare. Most requests in flight may be on flows
	// that cannot be refused, so an urgent request needs much more room than others.
	priorityShare    = 0.5
	maxPriorityShare = 1.0
)

// Limiter limits the requests in flight. The zero value has no limit. It is not safe for
// concurrent use.
type Limiter struct {
	// limit is 0 while there is no limit.
	limit       float64
	windowStart time.Duration
	// Since windowStart, responses counts the responses, late the late ones among
	// them, and maxInFlight is the maximum number of requests in flight.
	responses, late, maxInFlight int
	// decreasedAt is when the limit was last decreased, lastResponseAt when the last
	// response with a latency target started.
	decreasedAt, lastResponseAt time.Duration
}

// Limit returns the current limit, 0 if there is none.
func (l *Limiter) Limit() float64 { return l.limit }

// Admit reports whether another flow may be opened. inFlight is the number of this
// instance's requests that opened their flow and have no response, and slots the instance's
// share of the endpoints' slots less those that later requests use. level is the number of
// priority levels by which the request is above the lowest priority of the service.
func (l *Limiter) Admit(now time.Duration, inFlight int, slots float64, level int) bool {
	if now-l.lastResponseAt >= noResponseTimeout {
		l.limit = 0
	}
	l.maxInFlight = max(l.maxInFlight, inFlight+1)
	if l.limit == 0 {
		return true
	}
	return float64(inFlight) < l.bound(slots, level)
}

// bound returns the number of requests in flight below which a request of a level is admitted.
func (l *Limiter) bound(slots float64, level int) float64 {
	share := min(float64(max(level, 0))*priorityShare, maxPriorityShare)
	return max(l.limit, slots*minPerSlot) * (1 + share)
}

// Preview returns what Admit would return, and the number of requests in flight from which on
// requests are refused, 0 if there is none. It leaves the limiter unchanged.
func (l *Limiter) Preview(now time.Duration, inFlight int, slots float64, level int) (admitted bool, bound float64) {
	copied := *l
	admitted = copied.Admit(now, inFlight, slots, level)
	if copied.limit > 0 {
		bound = copied.bound(slots, level)
	}
	return admitted, bound
}

// ResponseStarted records the start of the first response on a flow, a time of took after its
// request. target is the latency target. If it is 0, the response is ignored.
func (l *Limiter) ResponseStarted(now, took, target time.Duration) {
	if target <= 0 {
		return
	}
	l.lastResponseAt = now
	l.responses++
	if float64(took) > lateThreshold*float64(target) {
		l.late++
	}
	if now-l.windowStart >= window && l.responses >= minResponses {
		l.adjust(now)
	}
}

func (l *Limiter) adjust(now time.Duration) {
	share := float64(l.late) / float64(l.responses)
	switch {
	case share > decreaseLateShare:
		l.decrease()
		l.decreasedAt = now
	case l.limit > 0 && now-l.decreasedAt >= limitExpiry:
		l.limit = 0
	case l.limit > 0 && share < increaseLateShare && float64(l.maxInFlight) >= minUsedShare*l.limit:
		l.limit = max(l.limit*increaseFactor, l.limit+1)
	}
	l.windowStart, l.responses, l.late, l.maxInFlight = now, 0, 0, 0
}

func (l *Limiter) decrease() {
	if l.limit == 0 {
		l.limit = float64(l.maxInFlight)
	}
	l.limit = max(l.limit*decreaseFactor, 1)
}
