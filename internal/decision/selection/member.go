package selection

import (
	"math"
	"sync/atomic"
	"time"

	"burdockrelay.example/burdockrelay/internal/directory"
)

// Condition is an instance's assessment of an endpoint, derived from its own flows and
// from health checks.
type Condition uint8

// The conditions. A suspect endpoint gets new flows only if no other endpoint can serve
// them. An endpoint on probation gets one flow at a time until it answers one. A silent one
// is the last choice, and its open flows are closed. A stalled one accepts flows and answers
// no request; it ranks with the suspect ones, then gets one flow at a time. The order matters:
// endpoints in the conditions from Suspect on count as unable to serve.
const (
	Healthy Condition = iota
	Probation
	Suspect
	Silent
	Stalled
)

// String returns the name used in logs.
func (c Condition) String() string {
	switch c {
	case Probation:
		return "probation"
	case Suspect:
		return "suspect"
	case Silent:
		return "silent"
	case Stalled:
		return "stalled"
	default:
		return "healthy"
	}
}

const (
	// responseWeight is the weight of a new response in the moving average of the
	// response time.
	responseWeight = 0.15
	// responseHalfLife is the time after which the difference between an endpoint's
	// response time and the service's median counts half. A slow endpoint is thus
	// tried again after a few half-lives.
	responseHalfLife = 2 * time.Second
	// failureWeight is the weight of a new outcome in the moving average of the rate
	// of requests without a response.
	failureWeight = 0.2
	// failureHalfLife is the time after which the failure rate counts half.
	failureHalfLife = 3 * time.Second
)

// Member is an endpoint of a pool with this instance's observations of it. Its fields are
// guarded by the pool's lock; its methods are safe for concurrent use.
type Member struct {
	pool     *Pool
	endpoint directory.Endpoint
	// listed is false if the store does not list the endpoint, or no longer does.
	listed bool
	// warmUntil is the end of the endpoint's warm-up time.
	warmUntil time.Duration

	// inFlight counts this instance's requests without a response, opening those among
	// them that opened their flow.
	inFlight, opening int
	// longFlows counts this instance's open long flows on the endpoint.
	longFlows int
	// order is the position of the endpoint in the common order, and distance its distance
	// from the instance's place there, from 0 up to 1; see updateDistances.
	order    uint64
	distance float64
	// progressAt is when the last response started, or when the first of the requests in
	// flight was sent.
	progressAt time.Duration
	// lastChosen is the pool's choice counter at the last choice of this member. It
	// orders members of equal cost, least recently chosen first. tieBreak orders those
	// never chosen. It differs between instances, so that instances that start together
	// do not all choose the same endpoint.
	lastChosen, tieBreak uint64

	condition Condition
	// aliveAt is when the endpoint was last known to have sent a packet, conditionAt when
	// the condition was last set.
	aliveAt     time.Duration
	conditionAt time.Duration
	observed    observation
	// silent is set while the condition is Silent. Established packets read it without
	// the lock.
	silent atomic.Bool

	meanResponse float64 // moving average of the response time in ns, 0 before the first
	responseAt   time.Duration
	failures     float64 // moving average of requests without a response, 0 to 1
	failuresAt   time.Duration

	warmUp warmUpState
}

// before reports whether the member is preferred to another one of the same cost.
func (m *Member) before(other *Member) bool {
	if m.lastChosen != other.lastChosen {
		return m.lastChosen < other.lastChosen
	}
	return m.tieBreak < other.tieBreak
}

// Pool returns the pool that the member belongs to.
func (m *Member) Pool() *Pool { return m.pool }

// Endpoint returns the endpoint as it was last listed.
func (m *Member) Endpoint() directory.Endpoint {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.endpoint
}

// PoolStatus is a summary of a service's endpoints as observed by this instance.
type PoolStatus struct {
	Service string
	// Healthy, Probation, Suspect and Draining count the listed endpoints. An endpoint
	// that drains is counted only as such, one that is silent or stalled as suspect.
	Healthy, Probation, Suspect, Draining int
	// WarmingUp counts the endpoints that warm up, in addition. PassedOver counts the
	// choices that passed over one because of the limit of new flows to it.
	WarmingUp  int
	PassedOver uint64
	// InFlight counts this instance's requests without a response.
	InFlight int
	// Limit is the limit of requests in flight, 0 if there is none.
	Limit float64
	// MedianResponse is the median of the endpoints' mean response times.
	MedianResponse time.Duration
}

// Status returns a summary of the pool.
func (p *Pool) Status(now time.Duration) PoolStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := PoolStatus{
		Service: p.service, Limit: p.limiter.Limit(), MedianResponse: time.Duration(p.medianResponse),
		PassedOver: p.warmUp.passedOver,
	}
	for _, m := range p.members {
		status.InFlight += m.inFlight
		if now < m.warmUntil {
			status.WarmingUp++
		}
		switch {
		case m.endpoint.Draining:
			status.Draining++
		case m.condition >= Suspect:
			status.Suspect++
		case m.condition == Probation:
			status.Probation++
		default:
			status.Healthy++
		}
	}
	return status
}

// decay returns the weight, from 1 down to 0, of a value that was last updated at since.
func decay(since, now, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(now-since, 0)) / float64(halfLife))
}

// responseTime returns the endpoint's response time in ns, decayed towards the median. An
// endpoint that is faster than the median is treated as equal to it. Otherwise an endpoint
// that fails immediately would attract all flows.
func (m *Member) responseTime(now time.Duration, median float64) float64 {
	if m.meanResponse <= median {
		return median
	}
	return median + (m.meanResponse-median)*decay(m.responseAt, now, responseHalfLife)
}

// stalledFor returns how long requests have been in flight without any response.
func (m *Member) stalledFor(now time.Duration) time.Duration {
	if m.inFlight == 0 {
		return 0
	}
	return now - m.progressAt
}

func (m *Member) failureRate(now time.Duration) float64 {
	return m.failures * decay(m.failuresAt, now, failureHalfLife)
}

func (m *Member) addResponse(now time.Duration, took, median float64) {
	switch {
	case m.meanResponse == 0:
		m.meanResponse = took
	case m.meanResponse > median:
		m.meanResponse = m.responseTime(now, median)
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
