package selection

import (
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/silence"
)

// reportSpacing is the minimum time between two reports on one endpoint that start health
// checks, so that wrong reports cost at most a few checks.
const reportSpacing = 2 * time.Second

// ReportID returns the identity of the endpoint in the reports of instances.
func (m *Member) ReportID() silence.EndpointID {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.reportID()
}

func (m *Member) reportID() silence.EndpointID {
	return silence.EndpointID{Name: m.endpoint.Name, StartedAt: m.endpoint.StartedAt, Address: m.endpoint.Address}
}

// Reportable appends to into the members on which a report may start health checks: those
// that are among the endpoints, not silent yet, not alive just now, and without a report in
// the last reportSpacing.
func (p *Pool) Reportable(endpoints map[silence.EndpointID]bool, now time.Duration, into []*Member) []*Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.detection == nil {
		return into
	}
	for _, members := range [][]*Member{p.members, p.unlisted} {
		for _, m := range members {
			if endpoints[m.reportID()] && m.reportable(now) {
				into = append(into, m)
			}
		}
	}
	return into
}

func (m *Member) reportable(now time.Duration) bool {
	spaced := m.observed.reportedAt == 0 || now-m.observed.reportedAt >= reportSpacing
	return spaced && !m.silent.Load() && !m.observed.evidence.Contradicts(now)
}

// Reported records that another instance has found the endpoint silent. It reports whether
// the endpoint's health must be checked.
func (m *Member) Reported(now time.Duration) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.observed.dataCentre == nil || !m.reportable(now) || !m.observed.evidence.Reported(now) {
		return false
	}
	m.observed.reportedAt = now
	m.pool.question(m)
	return true
}

// ChecksNeeded returns the number of health checks that decide whether the endpoint has fallen
// silent.
func (m *Member) ChecksNeeded() int {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.observed.evidence.ChecksNeeded()
}
