package selection

import (
	"math"
	"time"

	"burdockrelay.example/burdockrelay/internal/directory"
)

// Condition is what an instance believes of an endpoint from its flows.
type Condition uint8

// Conditions. A suspect endpoint gets no new flows while others can serve; an
// endpoint on probation gets one at a time until it answers.
const (
	Healthy Condition = iota
	Probation
	Suspect
)

// String returns the name used in logs.
func (c Condition) String() string {
	switch c {
	case Probation:
		return "probation"
	case Suspect:
		return "suspect"
	default:
		return "healthy"
	}
}

const (
	// responseWeight is the share of one response in the mean response time.
	responseWeight = 0.15
	// responseHalfLife is the age at which an endpoint's own response time
	// counts half as much as the one usual for the service: a slow endpoint is
	// tried again after a few of them.
	responseHalfLife = 2 * time.Second
	// failureWeight is the share of one flow in the rate of flows that ended
	// without a response.
	failureWeight = 0.2
	// failureHalfLife is the age at which the failure rate counts half.
	failureHalfLife = 3 * time.Second
)

// Member is one endpoint of a service with what this instance has seen of it.
// Its fields are guarded by the pool's lock.
type Member struct {
	pool     *Pool
	endpoint directory.Endpoint
	// listed is false when the store no longer lists the endpoint.
	listed bool
	// warmUntil ends the slow time after the endpoint's start.
	warmUntil time.Duration

	// inFlight counts the requests of this instance without a response.
	inFlight int
	// lastChosen orders endpoints that are otherwise equal, and tieBreak those of them that
	// were never chosen: in another way on each instance, so that instances that start
	// together do not choose the same ones.
	lastChosen, tieBreak uint64

	condition Condition
	// aliveAt is the last time that the endpoint is known to have sent
	// something, conditionAt the last change of the condition.
	aliveAt     time.Duration
	conditionAt time.Duration

	meanResponse float64 // mean response time in ns, 0 before the first
	responseAt   time.Duration
	failures     float64 // rate of flows without a response, 0 to 1
	failuresAt   time.Duration
}

// before reports whether the member comes before another one of the same cost.
func (m *Member) before(other *Member) bool {
	if m.lastChosen != other.lastChosen {
		return m.lastChosen < other.lastChosen
	}
	return m.tieBreak < other.tieBreak
}

// Pool returns the endpoints of the member's service.
func (m *Member) Pool() *Pool { return m.pool }

// Endpoint returns the endpoint as it is listed.
func (m *Member) Endpoint() directory.Endpoint {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.endpoint
}

// PoolStatus is the state of a service's endpoints as this instance sees them.
type PoolStatus struct {
	Service string
	// Healthy, Probation, Suspect and Draining count the listed endpoints.
	Healthy, Probation, Suspect, Draining int
	// InFlight counts the requests without a response.
	InFlight int
	// Limit bounds the requests under way, 0 for no bound.
	Limit float64
	// MedianResponse is the usual response time.
	MedianResponse time.Duration
}

// Status returns the state of the pool.
func (p *Pool) Status() PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := PoolStatus{Service: p.service, Limit: p.limiter.Limit(), MedianResponse: time.Duration(p.medianResponse)}
	for _, m := range p.members {
		status.InFlight += m.inFlight
		switch {
		case m.endpoint.Draining:
			status.Draining++
		case m.condition == Suspect:
			status.Suspect++
		case m.condition == Probation:
			status.Probation++
		default:
			status.Healthy++
		}
	}
	return status
}

// decay returns how much a value counts that was last changed at a time.
func decay(since, now, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(now-since, 0)) / float64(halfLife))
}

// responseTime returns the endpoint's response time in ns, aged towards the
// usual one. An endpoint that is faster than usual counts as usual: one that
// fails at once would otherwise attract all flows.
func (m *Member) responseTime(now time.Duration, usual float64) float64 {
	if m.meanResponse <= usual {
		return usual
	}
	return usual + (m.meanResponse-usual)*decay(m.responseAt, now, responseHalfLife)
}

func (m *Member) failureRate(now time.Duration) float64 {
	return m.failures * decay(m.failuresAt, now, failureHalfLife)
}

func (m *Member) addResponse(now time.Duration, took, usual float64) {
	switch {
	case m.meanResponse == 0:
		m.meanResponse = took
	case m.meanResponse > usual:
		m.meanResponse = m.responseTime(now, usual)
	}
	m.meanResponse += responseWeight * (took - m.meanResponse)
	m.responseAt = now
}

func (m *Member) addOutcome(now time.Duration, failed bool) {
	rate := m.failureRate(now)
	target := 0.0
	if failed {
		target = 1
	}
	m.failures = rate + failureWeight*(target-rate)
	m.failuresAt = now
}
