// Package health converts the results of endpoint health probes into reports and
// merges the reports of several probers into the state of an endpoint. Probers are
// the instances that probe an endpoint.
package health

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

const (
	// FailuresBeforeDown is the number of consecutive failed probes after which an
	// endpoint is reported as down. A single lost response does not suffice.
	FailuresBeforeDown = 2
	// ReportLifetime is the age at which a report expires: three times the longest
	// probe interval, so that two lost datagrams leave no gap.
	ReportLifetime = 10 * time.Second
)

// ProbeState is the state of one endpoint according to the probes of one prober.
type ProbeState struct {
	failures int
	state    common.EndpointState
	load     uint32
	hasState bool
}

// Result is the outcome of one probe.
type Result struct {
	// Failed is set if no valid response was received.
	Failed bool
	State  common.EndpointState
	// Load is the number of requests in flight and open connections that the
	// endpoint reported.
	Load uint32
}

// Observe records a probe result and returns the state and load to report. It
// returns false if there is nothing to report yet: neither has a probe succeeded nor
// have FailuresBeforeDown probes failed.
func (p *ProbeState) Observe(result Result) (common.EndpointState, uint32, bool) {
	if !result.Failed {
		p.failures = 0
		p.hasState = true
		p.state = result.State
		p.load = result.Load
		return p.state, p.load, true
	}
	p.failures++
	if p.failures >= FailuresBeforeDown {
		p.hasState = true
		p.state = common.EndpointDown
		p.load = 0
	}
	return p.state, p.load, p.hasState
}

// Report is the state of an endpoint according to one prober.
type Report struct {
	Endpoint common.EndpointID
	Prober   common.InstanceID
	// Incarnation is that of the prober. Incarnation and Version order the reports
	// of one prober.
	Incarnation uint64
	Version     uint64
	State       common.EndpointState
	Load        uint32
	// Age is the time since the probe, as given by the sender of the report.
	Age time.Duration
}

// storedReport is the newest report of one prober.
type storedReport struct {
	report Report
	// probedAt is the time of the probe on the local monotonic clock.
	probedAt time.Duration
}

// endpoint holds the reports on one endpoint and its merged state.
type endpoint struct {
	reports []storedReport
	// state is the last merged state; it is valid if hasState is set.
	state     common.EndpointState
	hasState  bool
	coldSince time.Duration
}

// Table merges the reports on all endpoints. It is not safe for concurrent use.
type Table struct {
	endpoints map[common.EndpointID]*endpoint
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{endpoints: map[common.EndpointID]*endpoint{}}
}

// Merge stores a report if it is newer than the stored one of the same prober, and
// reports whether it was stored.
func (t *Table) Merge(report Report, now time.Duration) bool {
	e, found := t.endpoints[report.Endpoint]
	if !found {
		e = &endpoint{}
		t.endpoints[report.Endpoint] = e
	}
	added := storedReport{report: report, probedAt: now - report.Age}
	for i := range e.reports {
		known := &e.reports[i]
		if known.report.Prober != report.Prober {
			continue
		}
		if !newer(report, known.report) {
			return false
		}
		*known = added
		return true
	}
	e.reports = append(e.reports, added)
	return true
}

// newer reports whether a is newer than b, a report of the same prober.
func newer(a, b Report) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// Status is the merged state of an endpoint.
type Status struct {
	State common.EndpointState
	// Load is the load in the newest report, and LoadAge the time since its probe.
	Load    uint32
	LoadAge time.Duration
	// ColdFor is the time since the endpoint came up.
	ColdFor time.Duration
	// Reported is false if all reports have expired or there were none.
	Reported bool
}

// Status merges the reports on an endpoint that have not expired. An endpoint is
// down only if all reports are down, because a single prober may be cut off from it,
// and draining if at least one report is draining. If all reports have expired, the
// last state is kept, so that the loss of all probers does not eject an endpoint. An
// endpoint without any report is up.
func (t *Table) Status(id common.EndpointID, now time.Duration) Status {
	e, found := t.endpoints[id]
	if !found {
		return Status{State: common.EndpointUp, LoadAge: ReportLifetime}
	}
	e.reports = slices.DeleteFunc(e.reports, func(r storedReport) bool { return now-r.probedAt >= ReportLifetime })
	if len(e.reports) == 0 {
		return Status{State: e.state, LoadAge: ReportLifetime, ColdFor: e.coldFor(now)}
	}
	state, newest := merge(e.reports)
	e.transition(state, now)
	return Status{
		State:    e.state,
		Load:     newest.report.Load,
		LoadAge:  now - newest.probedAt,
		ColdFor:  e.coldFor(now),
		Reported: true,
	}
}

// merge returns the merged state and the newest report of a prober that got a
// response, or the first report if none did.
func merge(reports []storedReport) (common.EndpointState, storedReport) {
	state := common.EndpointDown
	var newest storedReport
	found := false
	for _, r := range reports {
		if r.report.State == common.EndpointDown {
			continue
		}
		state = mergeStates(state, r.report.State)
		if !found || r.probedAt > newest.probedAt {
			newest = r
			found = true
		}
	}
	if !found {
		newest = reports[0]
	}
	return state, newest
}

// mergeStates merges b, the state from a prober that got a response, into a. Any
// state replaces down; otherwise draining has priority over cold, and cold over up.
func mergeStates(a, b common.EndpointState) common.EndpointState {
	if a == common.EndpointDown {
		return b
	}
	return max(a, b)
}

// transition stores the merged state. The cold time starts when an endpoint comes
// up after being down, or becomes cold.
func (e *endpoint) transition(state common.EndpointState, now time.Duration) {
	wasDown := e.hasState && e.state == common.EndpointDown
	becomesCold := state == common.EndpointCold && e.state != common.EndpointCold
	if (wasDown && state != common.EndpointDown) || becomesCold {
		e.coldSince = now
	}
	e.state = state
	e.hasState = true
}

func (e *endpoint) coldFor(now time.Duration) time.Duration {
	return now - e.coldSince
}

// Reports returns the reports of one prober with their current ages, ordered by
// endpoint, to be sent to peers.
func (t *Table) Reports(prober common.InstanceID, now time.Duration) []Report {
	var reports []Report
	for _, e := range t.endpoints {
		for _, r := range e.reports {
			if r.report.Prober != prober {
				continue
			}
			report := r.report
			report.Age = now - r.probedAt
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	return reports
}
