// Package selection chooses the endpoint of a new flow from what this instance
// sees of its own flows: requests without a response, response times, flows that
// got no answer. Time is passed in; equal inputs give equal choices.
package selection

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockrelay.example/burdockrelay/internal/decision/admission"
	"burdockrelay.example/burdockrelay/internal/directory"
)

const (
	// initialResponse is the response time assumed before any was seen.
	initialResponse = 30 * time.Millisecond
	// medianInterval is the time between two computations of the usual response
	// time.
	medianInterval = 100 * time.Millisecond
	// handshakeCap bounds the weight of one slow handshake in the mean, in
	// multiples of it.
	handshakeCap = 3
	// remoteCost is what an endpoint in another data centre costs, in response
	// times: its load is known least, and bytes between data centres are scarce.
	remoteCost = 0.35
	// warmUpCost is what an endpoint costs that has just started.
	warmUpCost = 0.6
	// inFlightCost prefers, of endpoints with a free slot, the emptier one.
	inFlightCost = 0.08
	// failureCost is the cost of an endpoint all of whose flows fail.
	failureCost = 20.0
	// maxUnlisted bounds the members of a service that are kept after they left.
	maxUnlisted = 1024
	// initialHandshake is the time of a handshake assumed before any was seen.
	initialHandshake = 5 * time.Millisecond
	// handshakeWeight is the share of one handshake in the mean.
	handshakeWeight = 0.05
	// handshakeTimeoutFactor is how many mean handshakes an endpoint may take to
	// answer, within minAnswerWait and maxAnswerWait. The latter is below the
	// 200 ms after which callers repeat their first packet.
	handshakeTimeoutFactor = 8
	minHandshakeTimeout    = 40 * time.Millisecond
	maxHandshakeTimeout    = 180 * time.Millisecond
	// suspectCost puts suspect endpoints behind all others.
	suspectCost = 1000.0
)

// Pool holds the endpoints of one service.
type Pool struct {
	service    string
	instance   string
	dataCentre string

	mu      sync.Mutex
	members []*Member
	// unlisted holds members that are no longer listed.
	unlisted []*Member
	// medianResponse is the medianResponse response time in ns: the median of the endpoints' means,
	// so that neither a slow one nor one that fails at once becomes medianResponse.
	medianResponse float64
	medianAt       time.Duration
	// meanHandshake is the mean time in ns until a caller has acknowledged the
	// endpoint of a new flow.
	meanHandshake float64
	// pending holds the choices of the last moments, oldest first.
	pending []pendingHandshake
	choices uint64
	limiter admission.Limiter
	// instances is how many instances share the endpoints.
	instances int
}

// pendingHandshake is the choice of an endpoint whose answer is awaited.
type pendingHandshake struct {
	member *Member
	at     time.Duration
}

// NewPool returns an empty pool of a service for an instance in a data centre.
func NewPool(service, instance, dataCentre string) *Pool {
	return &Pool{
		service: service, instance: instance, dataCentre: dataCentre,
		medianResponse: float64(initialResponse), meanHandshake: float64(initialHandshake),
		instances: 1,
	}
}

// Service returns the name of the service.
func (p *Pool) Service() string { return p.service }

// Update replaces the endpoints of the pool and returns the members in the given
// order. Members of endpoints that stay keep what is known about them.
func (p *Pool) Update(endpoints []directory.Endpoint, now time.Duration) []*Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.members
	p.members = make([]*Member, 0, len(endpoints))
	for _, endpoint := range endpoints {
		m := find(previous, &endpoint)
		if m == nil {
			m = find(p.unlisted, &endpoint)
		}
		if m == nil {
			m = &Member{pool: p, aliveAt: now, tieBreak: xxhash.Sum64String(p.instance + "/" + endpoint.Name)}
		}
		m.update(endpoint, now)
		p.members = append(p.members, m)
	}
	p.retire(previous)
	return slices.Clone(p.members)
}

// retire keeps the members that are no longer listed, the latest maxLeft of them:
// an endpoint that is listed again goes on with what is known about it.
func (p *Pool) retire(previous []*Member) {
	p.unlisted = slices.DeleteFunc(p.unlisted, func(m *Member) bool { return slices.Contains(p.members, m) })
	for _, m := range previous {
		if !slices.Contains(p.members, m) {
			m.listed = false
			p.unlisted = append(p.unlisted, m)
		}
	}
	p.unlisted = slices.Delete(p.unlisted, 0, max(len(p.unlisted)-maxUnlisted, 0))
}

// Unlisted returns a member for an endpoint that is not listed and gets no new
// flows: the one that it had, as long as it stays in use, else a new one.
func (p *Pool) Unlisted(endpoint *directory.Endpoint) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := find(p.unlisted, endpoint); m != nil {
		return m
	}
	return &Member{pool: p, endpoint: *endpoint}
}

// Matches reports whether the member is the run of an endpoint that the entry
// describes.
func (m *Member) Matches(endpoint *directory.Endpoint) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.endpoint.SameIncarnation(endpoint)
}

func find(members []*Member, endpoint *directory.Endpoint) *Member {
	for _, m := range members {
		if m.endpoint.SameIncarnation(endpoint) {
			return m
		}
	}
	return nil
}

func (m *Member) update(endpoint directory.Endpoint, now time.Duration) {
	m.listed = true
	if m.endpoint.Revision != endpoint.Revision {
		m.warmUntil = now + endpoint.WarmUp
	}
	m.endpoint = endpoint
}

// Available returns the number of endpoints that take new flows.
func (p *Pool) Available() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	available := 0
	for _, m := range p.members {
		if !m.endpoint.Draining {
			available++
		}
	}
	return available
}

// SetInstances tells how many instances share the endpoints.
func (p *Pool) SetInstances(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = max(count, 1)
}

// Admit reports whether a new flow may begin whose priority is some levels above the
// lowest one of the service.
func (p *Pool) Admit(now time.Duration, level int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting, slots := 0, 0.0
	for _, m := range p.members {
		// Requests on a suspect endpoint may be lost and take no slot of another.
		if !m.endpoint.Draining && m.condition != Suspect {
			waiting += m.inFlight
			slots += float64(m.endpoint.Slots)
		}
	}
	return p.limiter.Admit(now, waiting, slots/float64(p.instances), level)
}

// ResetAfterPause forgets what is awaited, after a pause of the process: answers may have
// come and gone.
func (p *Pool) ResetAfterPause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = nil
	p.limiter = admission.Limiter{}
}

// Choose returns the endpoint for a new flow and counts the flow as a waiting
// request, or returns nil when no endpoint takes new flows. The endpoint avoid is
// left out while there is another one, and so is each one that eligible does not
// report: the pool may have endpoints that the caller does not know yet. silent are
// the endpoints that have become suspect: they have not answered an earlier flow in
// due time.
func (p *Pool) Choose(now time.Duration, avoid *Member, eligible func(*Member) bool) (chosen *Member, silent []*Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent = p.markSuspects(now)
	chosen = p.choose(now, avoid, eligible)
	if chosen != nil {
		p.pending = append(p.pending, pendingHandshake{member: chosen, at: now})
	}
	return chosen, silent
}

// MarkSuspects is Choose without a new flow: it returns the endpoints that have become
// suspect.
func (p *Pool) MarkSuspects(now time.Duration) []*Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.markSuspects(now)
}

// markSuspects ends the wait for the answers to choices that are old enough, and makes
// endpoints suspect that have shown no life since. An endpoint that refuses flows
// shows itself in no other way: the refusal goes to the caller directly.
func (p *Pool) markSuspects(now time.Duration) []*Member {
	var silent []*Member
	wait := min(max(time.Duration(handshakeTimeoutFactor*p.meanHandshake), minHandshakeTimeout), maxHandshakeTimeout)
	waited := 0
	for _, o := range p.pending {
		if now-o.at < wait {
			break
		}
		waited++
		if o.member.aliveAt < o.at && o.member.condition != Suspect {
			o.member.setCondition(Suspect, now)
			silent = append(silent, o.member)
		}
	}
	p.pending = slices.Delete(p.pending, 0, waited)
	return silent
}

func (p *Pool) choose(now time.Duration, avoid *Member, eligible func(*Member) bool) *Member {
	best := p.cheapest(now, avoid, eligible)
	if best == nil && avoid != nil {
		best = p.cheapest(now, nil, eligible)
	}
	if best == nil {
		return nil
	}
	p.choices++
	best.lastChosen = p.choices
	best.inFlight++
	return best
}

func (p *Pool) cheapest(now time.Duration, avoid *Member, eligible func(*Member) bool) *Member {
	var best *Member
	var least float64
	for _, m := range p.members {
		if m == avoid || m.endpoint.Draining {
			continue
		}
		cost := p.cost(m, now)
		better := best == nil || cost < least || cost == least && m.before(best)
		// Most members are not better, so only few are looked up.
		if better && eligible(m) {
			best, least = m, cost
		}
	}
	return best
}

// cost estimates the time in ns until the endpoint has served one more request.
func (p *Pool) cost(m *Member, now time.Duration) float64 {
	response := m.responseTime(now, p.medianResponse)
	slots := float64(max(m.endpoint.Slots, 1))
	waiting := float64(m.inFlight)
	factor := 1 + inFlightCost*waiting
	if queued := waiting - slots + 1; queued > 0 {
		factor += queued / slots
	}
	if m.endpoint.DataCentre != p.dataCentre {
		factor += remoteCost
	}
	if now < m.warmUntil {
		factor += warmUpCost
	}
	factor += failureCost * m.failureRate(now)
	if m.condition == Suspect || m.condition == Probation && m.inFlight > 0 {
		factor += suspectCost
	}
	return response * factor
}

// Status is what is known about a member, for logs and metrics.
type Status struct {
	Endpoint  directory.Endpoint
	Listed    bool
	Condition Condition
	InFlight  int
	// Response is the endpoint's mean response time, MedianResponse the service's.
	Response, MedianResponse time.Duration
}

// Status returns what is known about the member.
func (m *Member) Status(now time.Duration) Status {
	p := m.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{
		Endpoint: m.endpoint, Listed: m.listed, Condition: m.condition, InFlight: m.inFlight,
		Response: time.Duration(m.responseTime(now, p.medianResponse)), MedianResponse: time.Duration(p.medianResponse),
	}
}
