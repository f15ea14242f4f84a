// Package admission limits the requests of a service that an instance has under way
// when they would only wait.
//
// A service whose endpoints are overloaded answers everybody late. The limiter
// watches which share of the responses comes too late for its caller. While that is
// high it lowers the limit, and while it is low and the limit is used it raises it,
// so that about as many requests are under way as are answered in time. Requests
// beyond the limit are refused before they reach an endpoint. Time is passed in.
package admission

import "time"

const (
	// decreaseLateShare is the share of late responses from which the limit falls,
	// inTimeShare the one below which it rises.
	decreaseLateShare   = 0.2
	increaseLateShare = 0.05
	// lateThreshold is the part of the latency target after which a response counts as
	// late: the handshake before it and the bytes after its start take the rest.
	lateThreshold = 0.8
	// window and minResponses bound from below what one step is decided by.
	window       = 150 * time.Millisecond
	minResponses = 8
	// decreaseFactor and rise are the factors of one step.
	decreaseFactor = 0.85
	increaseFactor = 1.05
	// minUsedShare is the part of the limit that must have been used for it to rise.
	minUsedShare = 0.8
	// minPerSlot is the lowest limit in requests for each slot: a service that is
	// itself slower than the target keeps its slots busy.
	minPerSlot = 1.5
	// limitExpiry is the time without late responses after which there is no limit.
	limitExpiry = 3 * time.Second
	// noResponseTimeout is the time without any response after which there is no limit: what
	// is under way may be lost, and refusing all would never show it.
	noResponseTimeout = 400 * time.Millisecond
	// priorityShare is the part of the limit that is added for each level above the
	// lowest priority, up to maxPriorityShare.
	priorityShare    = 0.25
	maxPriorityShare = 0.5
)

// Limiter bounds the requests under way. Its zero value has no limit.
type Limiter struct {
	// limit is 0 while there is none.
	limit float64
	windowStart time.Duration
	// responses and late count since began, maxInFlight is the highest number of requests
	// under way since then.
	responses, late, maxInFlight int
	loweredAt, lastResponseAt   time.Duration
}

// Limit returns the present limit, 0 for none.
func (l *Limiter) Limit() float64 { return l.limit }

// Admit reports whether one more request may begin while some are under way. level
// counts how far its priority is above the lowest one of the service, slots is what
// the endpoints serve at once of this instance's requests.
func (l *Limiter) Admit(now time.Duration, underWay int, slots float64, level int) bool {
	if now-l.lastResponseAt >= noResponseTimeout {
		l.limit = 0
	}
	l.maxInFlight = max(l.maxInFlight, underWay+1)
	if l.limit == 0 {
		return true
	}
	share := min(float64(max(level, 0))*priorityShare, maxPriorityShare)
	return float64(underWay) < max(l.limit, slots*minPerSlot)*(1+share)
}

// ResponseStarted takes the time until a response and its latency target, 0 for none.
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
		l.step(now)
	}
}

func (l *Limiter) step(now time.Duration) {
	share := float64(l.late) / float64(l.responses)
	switch {
	case share > decreaseLateShare:
		l.lower()
		l.loweredAt = now
	case l.limit > 0 && now-l.loweredAt >= limitExpiry:
		l.limit = 0
	case l.limit > 0 && share < increaseLateShare && float64(l.maxInFlight) >= minUsedShare*l.limit:
		l.limit = max(l.limit*increaseFactor, l.limit+1)
	}
	l.windowStart, l.responses, l.late, l.maxInFlight = now, 0, 0, 0
}

func (l *Limiter) lower() {
	if l.limit == 0 {
		l.limit = float64(l.maxInFlight)
	}
	l.limit = max(l.limit*decreaseFactor, 1)
}
