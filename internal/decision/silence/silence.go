// Package silence decides whether an endpoint has fallen silent: it receives nothing any
// more and will not answer the requests of its flows. A slow, overloaded or unreachable
// endpoint is not silent. It also decides whether an endpoint has stalled: it accepts requests
// and answers none. The package uses no clock, lock, socket or goroutine.
package silence

import (
	"slices"
	"time"
)

const (
	// MinRepeatDelay is the minimum time from sending a packet to a repetition that
	// counts. Callers repeat a packet after 200 ms at the earliest; the same bytes seen
	// twice sooner were duplicated or reordered on the way.
	MinRepeatDelay = 150 * time.Millisecond
	// minSilence is the minimum time since the first of the repeated packets was sent.
	minSilence = 400 * time.Millisecond
	// minRepeatedData is the number of repeated packets with data needed for a verdict. One
	// lost packet would otherwise reset the flows of an endpoint whose health checks never
	// connect although it serves. First packets do not count: an overloaded endpoint answers
	// none of them, but acknowledges the data of open flows.
	minRepeatedData = 2
	// MinFailedChecks is the number of health checks without a connection needed for a
	// verdict. With 3 % packet loss one connection in 17 takes longer than a check waits.
	MinFailedChecks = 3
	// evidenceLifetime is how long evidence counts after the last repetition, which
	// follows the one before within a second.
	evidenceLifetime = 10 * time.Second
)

// Evidence is what one instance has observed of one endpoint since the endpoint was last
// alive. The zero value is that of an endpoint without any observation.
type Evidence struct {
	// aliveAt is when the endpoint was last known to be alive.
	aliveAt time.Duration
	// repeated counts the repeated packets, repeatedData those with data among them. since
	// is when the first of them was originally sent, or when a report came before any was
	// repeated. repeatedAt is when the last repetition arrived, repeatedSentAt when its packet
	// was originally sent.
	repeated, repeatedData            int
	since, repeatedAt, repeatedSentAt time.Duration
	// failedChecks counts the checks without a connection that started after since.
	// firstChecks holds when the earliest of them started, lastCheckAt when the last one did.
	failedChecks int
	firstChecks  [maxChecksNeeded]time.Duration
	lastCheckAt  time.Duration
	// reachedSentAt is when a packet was sent that another endpoint of the data centre
	// answered, reachedAt when that answer was known, 0 if it was not reached.
	reachedSentAt, reachedAt time.Duration
	// replaced is set if another endpoint has answered a check that started after since.
	replaced bool
	// report is what other instances have reported.
	report report
}

// Packet distinguishes the packets that callers repeat.
type Packet uint8

// The packets. A FirstPacket opens a flow, a DataPacket carries a request on an open flow.
const (
	FirstPacket Packet = iota
	DataPacket
)

// PacketRepeated records that a caller has repeated a packet that it first sent at sentAt,
// with no sign of life since. It reports whether the repetition counts as evidence.
func (e *Evidence) PacketRepeated(now, sentAt time.Duration, packet Packet) bool {
	if e.aliveAt > sentAt || now-sentAt < MinRepeatDelay {
		return false
	}
	if !e.Questioned(now) {
		e.Discard()
	}
	// The network may duplicate a repetition, and a request may consist of several packets.
	if e.repeated > 0 && sentAt == e.repeatedSentAt && now-e.repeatedAt < MinRepeatDelay {
		return false
	}
	if !e.begun() || sentAt < e.since {
		e.since = sentAt
	}
	e.repeated++
	if packet == DataPacket {
		e.repeatedData++
	}
	e.repeatedAt, e.repeatedSentAt = now, sentAt
	return true
}

// Alive records that the endpoint was alive at a time, and discards the evidence.
func (e *Evidence) Alive(now time.Duration) {
	*e = Evidence{aliveAt: max(e.aliveAt, now)}
}

// Unreachable records a health check that found no connection and started at startedAt.
// A check that started before the silence proves nothing about it.
func (e *Evidence) Unreachable(startedAt time.Duration) {
	if !e.begun() || startedAt < e.since {
		return
	}
	e.lastCheckAt = max(e.lastCheckAt, startedAt)
	e.keepFirstCheck(startedAt)
	e.failedChecks++
}

// keepFirstCheck keeps the start of a failed check, in order, if it is among the earliest.
func (e *Evidence) keepFirstCheck(startedAt time.Duration) {
	last := min(e.failedChecks, maxChecksNeeded-1)
	full := e.failedChecks >= maxChecksNeeded
	if full && startedAt >= e.firstChecks[last] {
		return
	}
	e.firstChecks[last] = startedAt
	slices.Sort(e.firstChecks[:last+1])
}

// Replaced records a health check, started at startedAt, that was answered by another
// endpoint, which now has the address.
func (e *Evidence) Replaced(startedAt time.Duration) {
	if e.begun() && startedAt >= e.since {
		e.replaced = true
	}
}

// Discard discards the evidence, but not the time at which the endpoint was last alive.
func (e *Evidence) Discard() { e.Alive(e.aliveAt) }

// Questioned reports whether there is evidence that the endpoint has fallen silent.
func (e *Evidence) Questioned(now time.Duration) bool {
	return e.begun() && now-max(e.repeatedAt, e.report.at) < evidenceLifetime
}

// AliveAt returns when the endpoint was last known to be alive.
func (e *Evidence) AliveAt() time.Duration { return e.aliveAt }

// Counts returns the numbers of repeated packets and of checks without a connection.
func (e *Evidence) Counts() (repeated, failedChecks int) { return e.repeated, e.failedChecks }

// Unanswered reports whether the evidence suffices for a verdict if the instance can reach
// the endpoint's data centre.
func (e *Evidence) Unanswered(now time.Duration) bool {
	enough := e.enoughRepeated() || e.report.received
	return e.Questioned(now) && enough && e.failedChecks >= e.ChecksNeeded() && now-e.since >= minSilence
}

// DataCentreReached records that by now another endpoint of the data centre has answered.
// Only a check that starts later can show that the endpoint is silent: the earlier ones may
// have failed because the path was cut until shortly before the answer. It reports whether
// the data centre was reached since the silence began.
func (e *Evidence) DataCentreReached(now time.Duration, d *DataCentre) bool {
	if !d.reached || !e.begun() || d.sentAt < e.since {
		return false
	}
	e.reachedSentAt, e.reachedAt = d.sentAt, now
	return true
}

// reachedAfterChecks reports whether the data centre was reached after as many failed checks
// had started as are needed, so that the path has not been cut since.
func (e *Evidence) reachedAfterChecks() bool {
	needed := e.ChecksNeeded()
	return e.reachedAt > 0 && e.failedChecks >= needed && e.reachedSentAt >= e.firstChecks[needed-1]
}

// Update records that the data centre was reached unless that is recorded already.
func (e *Evidence) Update(now time.Duration, d *DataCentre) {
	if e.failedChecks >= e.ChecksNeeded() && !e.reachedAfterChecks() {
		e.DataCentreReached(now, d)
	}
}

// NeedsReference reports whether an answer of another endpoint of the data centre is needed
// for a verdict.
func (e *Evidence) NeedsReference(now time.Duration) bool {
	return e.Questioned(now) && !e.reachedAfterChecks()
}

// NeedsLastCheck reports whether a verdict needs a check that starts after the data centre
// was reached.
func (e *Evidence) NeedsLastCheck(now time.Duration) bool {
	return e.Questioned(now) && e.reachedAfterChecks() && e.lastCheckAt < e.reachedAt
}

// PathWorks reports whether the data centre was reached between the failed checks, so that
// these failed because of the endpoint.
func (e *Evidence) PathWorks() bool { return e.reachedAfterChecks() && e.lastCheckAt >= e.reachedAt }

// DataCentre is the evidence that the instance reaches the endpoints of a data centre. The
// zero value is that of one that was never reached.
type DataCentre struct {
	reached bool
	sentAt  time.Duration
}

// Reached records that an endpoint answered a request, a first packet or a health check
// that the instance sent at sentAt. The time of sending counts, not that of the answer: the
// answer may have been on its way since before the connection was cut.
func (d *DataCentre) Reached(sentAt time.Duration) {
	d.reached = true
	d.sentAt = max(d.sentAt, sentAt)
}

// Listing is what the list of endpoints in the store says about an endpoint.
type Listing struct {
	// Missing is set if the endpoint is missing from a list that is complete and current.
	Missing bool
	// Since is when the endpoint went missing.
	Since time.Duration
}

// confirms reports whether the endpoint is missing and has not been alive since.
func (l Listing) confirms(e *Evidence) bool { return l.Missing && e.aliveAt <= l.Since }

// Silent returns the verdict: the endpoint has not been alive since the first repeated packet
// was sent, and either its address belongs to another endpoint, or its health checks found no
// connection although its data centre was reached between them or the store no longer lists
// the endpoint.
func (e *Evidence) Silent(now time.Duration, l Listing) bool {
	if e.replaced && e.Questioned(now) && (e.report.received || e.repeatedData > 0) {
		return true
	}
	return e.Unanswered(now) && (e.PathWorks() || l.confirms(e))
}
