package silence

import (
	"net/netip"
	"time"
)

// minFailedReported is the number of health checks without a connection needed for a verdict
// that rests on a report. With 3 % packet loss and wrong reports on all endpoints, three
// checks gave wrong verdicts, one in about 12,000 reports.
const minFailedReported = 5

// maxChecksNeeded is the maximum of ChecksNeeded.
const maxChecksNeeded = max(MinFailedChecks, minFailedReported)

// EndpointID identifies one start of an endpoint in the reports of instances.
type EndpointID struct {
	Name string
	// StartedAt is the start time in Unix milliseconds, 0 if unknown.
	StartedAt int64
	Address   netip.AddrPort
}

// report is the report of another instance that it has found the endpoint silent.
type report struct {
	received bool
	at       time.Duration
}

// begun reports whether there is a repeated packet or a report, which checks can confirm.
func (e *Evidence) begun() bool { return e.repeated > 0 || e.report.received }

// enoughRepeated reports whether the repeated packets suffice without a report.
func (e *Evidence) enoughRepeated() bool { return e.repeatedData >= minRepeatedData }

// ChecksNeeded returns the number of health checks without a connection that a verdict needs.
func (e *Evidence) ChecksNeeded() int {
	if e.report.received && !e.enoughRepeated() {
		return minFailedReported
	}
	return MinFailedChecks
}

// Contradicts reports whether the endpoint was alive so recently that a report of its silence
// is outdated or wrong: the reporting instance has had no answer for minSilence.
func (e *Evidence) Contradicts(now time.Duration) bool {
	return e.aliveAt > 0 && now-e.aliveAt < minSilence
}

// Reported records that another instance has found the endpoint silent. It replaces only the
// repeated packets: the verdict still needs failed health checks and a data centre that is
// reached, and a sign of life after the report discards it. It reports whether the report counts.
func (e *Evidence) Reported(now time.Duration) bool {
	if e.Contradicts(now) {
		return false
	}
	if !e.begun() {
		e.since = now
	}
	e.report = report{received: true, at: now}
	return true
}
