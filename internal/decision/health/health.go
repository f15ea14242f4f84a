// Package health turns probe results of endpoints into reports and merges the
// reports of several probers.
package health

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

const (
	// FailuresBeforeDown keeps one lost answer from taking an endpoint out.
	FailuresBeforeDown = 2
	// ReportLifetime is the age at which a report no longer counts: three
	// times the longest probe interval, so that two lost datagrams are no gap.
	ReportLifetime = 10 * time.Second
)

// ProbeState is the state of one endpoint at one of its probers.
type ProbeState struct {
	failures int
	state    common.EndpointState
	load     uint32
	probed   bool
}

// Result is the outcome of one probe.
type Result struct {
	// Failed is set when no valid answer came.
	Failed bool
	State  common.EndpointState
	Load   uint32
}

// Observe takes a result and returns the state and load to report. It reports
// false until there is enough to report.
func (p *ProbeState) Observe(result Result) (common.EndpointState, uint32, bool) {
	if !result.Failed {
		p.failures = 0
		p.probed = true
		p.state = result.State
		p.load = result.Load
		return p.state, p.load, true
	}
	p.failures++
	if p.failures >= FailuresBeforeDown {
		p.probed = true
		p.state = common.EndpointDown
		p.load = 0
	}
	return p.state, p.load, p.probed
}

// Report is what one prober says about an endpoint.
type Report struct {
	Endpoint common.EndpointID
	Prober   common.InstanceID
	// Incarnation and Version order the reports of one prober.
	Incarnation uint64
	Version     uint64
	State       common.EndpointState
	Load        uint32
	// Age is the time since the probe, as far as the sender knows.
	Age time.Duration
}

type entry struct {
	report Report
	// probedAt is the time of the probe on the local monotonic clock.
	probedAt time.Duration
}

type endpoint struct {
	reports   []entry
	state     common.EndpointState
	decided   bool
	coldSince time.Duration
}

// Table merges reports.
type Table struct {
	endpoints map[common.EndpointID]*endpoint
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{endpoints: map[common.EndpointID]*endpoint{}}
}

// Merge takes a report and tells whether it was newer than the known one of the
// same prober.
func (t *Table) Merge(report Report, now time.Duration) bool {
	e, found := t.endpoints[report.Endpoint]
	if !found {
		e = &endpoint{}
		t.endpoints[report.Endpoint] = e
	}
	added := entry{report: report, probedAt: now - report.Age}
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

func newer(a, b Report) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// Status is the merged state of an endpoint.
type Status struct {
	State   common.EndpointState
	Load    uint32
	LoadAge time.Duration
	// ColdFor is the time since the endpoint came up.
	ColdFor time.Duration
	// Reported is false when no valid report is known.
	Reported bool
}

// Status merges the valid reports of an endpoint. It is down only when every
// prober with a valid report says so, because one prober may be cut off from
// it; it is draining as soon as one prober was told so by the endpoint. The load
// is the newest report's. Without a valid report the last state stays, so that
// lost probers do not take endpoints out.
func (t *Table) Status(id common.EndpointID, now time.Duration) Status {
	e, found := t.endpoints[id]
	if !found {
		return Status{State: common.EndpointUp, LoadAge: ReportLifetime}
	}
	e.reports = slices.DeleteFunc(e.reports, func(r entry) bool { return now-r.probedAt >= ReportLifetime })
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

func merge(reports []entry) (common.EndpointState, entry) {
	state := common.EndpointDown
	var newest entry
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

// mergeStates prefers draining to cold to up among probers that got an answer.
func mergeStates(a, b common.EndpointState) common.EndpointState {
	if a == common.EndpointDown {
		return b
	}
	return max(a, b)
}

// transition starts the cold time of an endpoint that was down.
func (e *endpoint) transition(state common.EndpointState, now time.Duration) {
	wasDown := e.decided && e.state == common.EndpointDown
	becomesCold := state == common.EndpointCold && e.state != common.EndpointCold
	if (wasDown && state != common.EndpointDown) || becomesCold {
		e.coldSince = now
	}
	e.state = state
	e.decided = true
}

func (e *endpoint) coldFor(now time.Duration) time.Duration {
	return now - e.coldSince
}

// Reports returns the valid reports of a prober for sending, with their ages.
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
