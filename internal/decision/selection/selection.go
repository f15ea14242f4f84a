// Package selection chooses the endpoint of a new flow based on this instance's own flows:
// requests in flight, response times and unanswered flows. It reads no clock. Equal inputs
// give equal choices.
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
	// initialResponse is the response time assumed before the first response.
	initialResponse = 30 * time.Millisecond
	// medianInterval is the minimum time between two updates of the median response
	// time.
	medianInterval = 100 * time.Millisecond
	// handshakeCap limits the effect of one slow handshake on the mean. It is a
	// multiple of the mean.
	handshakeCap = 3
	// maxUnlisted is the maximum number of members of a service that are kept after
	// the store no longer lists them.
	maxUnlisted = 1024
	// initialHandshake is the handshake time assumed before the first handshake.
	initialHandshake = 5 * time.Millisecond
	// handshakeWeight is the weight of a new handshake in the moving average.
	handshakeWeight = 0.05
	// handshakeTimeoutFactor is the time that an endpoint has to answer a first packet,
	// as a multiple of the mean handshake time. The result is limited to the range
	// from minHandshakeTimeout to maxHandshakeTimeout. The maximum is below the 200 ms
	// after which callers retransmit their first packet.
	handshakeTimeoutFactor = 8
	minHandshakeTimeout    = 40 * time.Millisecond
	maxHandshakeTimeout    = 180 * time.Millisecond
)

// Pool holds the endpoints of one service. It is safe for concurrent use.
type Pool struct {
	service    string
	instance   string
	dataCentre string

	mu      sync.Mutex
	members []*Member
	// unlisted holds members that the store no longer lists, oldest first.
	unlisted []*Member
	// relisted holds suspect members that the store lists again. Their health checks
	// ended when it no longer listed them.
	relisted []*Member
	// medianResponse is the median in ns of the endpoints' mean response times. Unlike
	// a mean it is not distorted by one slow endpoint or one that fails immediately.
	medianResponse float64
	medianAt       time.Duration
	// meanHandshake is the moving average in ns of the time from forwarding a first
	// packet until the caller has acknowledged the endpoint.
	meanHandshake float64
	// pending holds the handshakes whose timeout was not checked yet, oldest first.
	pending []pending
	choices uint64
	limiter admission.Limiter
	// instances is the number of instances that share the endpoints.
	instances int
	// evacuated holds the data centres whose endpoints get no new flows.
	evacuated map[string]bool
	// detection is nil if the pool does not detect endpoints that have fallen silent.
	// questioned holds the members with evidence and the silent ones, resumedAt is when the
	// last pause ended.
	detection  *SilenceDetection
	questioned []*Member
	resumedAt  time.Duration
	warmUp     warmUpLimit
	// place is the place of this instance in the common order of long flows, from 0 to 1.
	place float64
}

// pending is a handshake of a flow that was forwarded to a member at a time.
type pending struct {
	member *Member
	at     time.Duration
}

// NewPool returns an empty pool of a service. instance is the name of the instance that uses
// the pool, and dataCentre its data centre.
func NewPool(service, instance, dataCentre string) *Pool {
	return &Pool{
		service: service, instance: instance, dataCentre: dataCentre,
		medianResponse: float64(initialResponse), meanHandshake: float64(initialHandshake),
		instances: 1,
	}
}

// Service returns the name of the service.
func (p *Pool) Service() string { return p.service }

// Update replaces the endpoints of the pool and returns their members in the given order.
// Members of endpoints that stay keep their observations.
func (p *Pool) Update(endpoints []directory.Endpoint, now time.Duration) []*Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.members
	p.members = make([]*Member, 0, len(endpoints))
	for _, endpoint := range endpoints {
		m := find(previous, &endpoint)
		if m == nil {
			m = p.relist(&endpoint)
		}
		if m == nil {
			m = &Member{
				pool: p, aliveAt: now, tieBreak: xxhash.Sum64String(p.instance + "/" + endpoint.Name),
				order: xxhash.Sum64String(endpoint.Name),
			}
		}
		m.update(endpoint, now)
		p.assignDataCentre(m)
		p.members = append(p.members, m)
	}
	p.retire(previous, now)
	p.updateDistances()
	return slices.Clone(p.members)
}

// relist returns the member of an endpoint that was listed before, nil if none is kept.
func (p *Pool) relist(endpoint *directory.Endpoint) *Member {
	m := find(p.unlisted, endpoint)
	if m != nil && m.condition >= Suspect {
		p.relisted = append(p.relisted, m)
	}
	return m
}

// retire keeps the members that are no longer listed, up to the latest maxUnlisted. An
// endpoint that is listed again keeps its observations.
func (p *Pool) retire(previous []*Member, now time.Duration) {
	p.unlisted = slices.DeleteFunc(p.unlisted, func(m *Member) bool { return slices.Contains(p.members, m) })
	for _, m := range previous {
		if !slices.Contains(p.members, m) {
			m.listed = false
			m.observed.unlistedAt = now
			p.unlisted = append(p.unlisted, m)
		}
	}
	p.unlisted = slices.Delete(p.unlisted, 0, max(len(p.unlisted)-maxUnlisted, 0))
}

// Unlisted returns a member for an endpoint that is not listed and gets no new flows. It
// is the endpoint's previous member if that is still kept, else a new one.
func (p *Pool) Unlisted(endpoint *directory.Endpoint) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := find(p.unlisted, endpoint); m != nil {
		return m
	}
	m := &Member{pool: p, endpoint: *endpoint}
	p.assignDataCentre(m)
	return m
}

// Matches reports whether the member represents the same incarnation of the endpoint.
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
		m.setWarmUp(endpoint.WarmUp, now)
	}
	m.endpoint = endpoint
}

// Admit reports whether a new flow may begin. level is the number of priority levels by
// which the flow is above the lowest priority of the service.
func (p *Pool) Admit(now time.Duration, level int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	opening, free := p.load(now)
	return p.limiter.Admit(now, opening, free, level)
}

// load returns the number of opening requests in flight and this instance's share of the
// slots that no later request uses. The caller holds the pool's lock.
func (p *Pool) load(now time.Duration) (opening int, free float64) {
	later, slots := 0, 0.0
	for _, m := range p.members {
		// Requests on a suspect endpoint may be lost and then occupy no slot of the others.
		// An endpoint under the limit of its warm-up takes too few to count.
		if m.exclusion() == NotExcluded && m.condition < Suspect && !p.limitsWarmUp(m, now) {
			opening += m.opening
			later += m.inFlight - m.opening
			slots += float64(m.endpoint.Slots)
		}
	}
	return opening, max(slots/float64(p.instances)-float64(later), 0)
}

// ResetAfterPause discards the pending handshakes, the limit and the evidence of silence
// after a pause of the process: answers and responses may have been missed meanwhile. now is
// the end of the pause.
func (p *Pool) ResetAfterPause(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardSilence(now)
	p.pending = nil
	p.limiter = admission.Limiter{}
	p.warmUp.resumedAt = now
}

// Request describes the new flow that an endpoint is chosen for.
type Request struct {
	// Avoid is chosen only if there is no other endpoint. It may be nil.
	Avoid *Member
	// Eligible reports whether a member may be chosen. The pool may have endpoints that
	// are missing from the view in use.
	Eligible func(*Member) bool
	// Long is set if the flow will probably carry more than one request.
	Long bool
}

// Choose returns the endpoint for a new flow and counts the flow as a request in flight.
// It returns nil if no endpoint accepts new flows. suspects lists the endpoints whose
// health must be checked; see MarkSuspects.
func (p *Pool) Choose(now time.Duration, request Request) (chosen *Member, suspects []*Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	suspects = p.markSuspects(now)
	chosen = p.choose(now, &request)
	p.warmUp.countPassedOver()
	if chosen != nil {
		p.pending = append(p.pending, pending{member: chosen, at: now})
	}
	return chosen, suspects
}

// MarkSuspects marks endpoints suspect that did not answer a flow in time, and returns
// them and those that are suspect and were listed again. Choose does the same.
func (p *Pool) MarkSuspects(now time.Duration) []*Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.markSuspects(now)
}

// markSuspects removes the handshakes whose timeout has passed and marks endpoints suspect
// that have not been alive since the handshake began. An endpoint that refuses a flow can
// be detected only in this way, because its refusal goes directly to the caller.
func (p *Pool) markSuspects(now time.Duration) []*Member {
	suspects := p.relisted
	p.relisted = nil
	wait := p.handshakeTimeout()
	expired := 0
	for _, h := range p.pending {
		if now-h.at < wait {
			break
		}
		expired++
		if h.becomesSuspect() {
			h.member.setCondition(Suspect, now)
			suspects = append(suspects, h.member)
		}
	}
	p.pending = slices.Delete(p.pending, 0, expired)
	return suspects
}

// handshakeTimeout returns the time that an endpoint has to answer a first packet.
func (p *Pool) handshakeTimeout() time.Duration {
	return min(max(time.Duration(handshakeTimeoutFactor*p.meanHandshake), minHandshakeTimeout), maxHandshakeTimeout)
}

// becomesSuspect reports whether the endpoint of a handshake whose timeout has passed becomes
// suspect.
func (h *pending) becomesSuspect() bool {
	return h.member.aliveAt < h.at && h.member.condition < Suspect
}

func (p *Pool) choose(now time.Duration, request *Request) *Member {
	best := p.cheapest(now, request, request.Avoid)
	if best == nil && request.Avoid != nil {
		best = p.cheapest(now, request, nil)
	}
	if best == nil {
		return nil
	}
	p.choices++
	best.lastChosen = p.choices
	best.begin(now, OpeningRequest)
	best.recordSend(now)
	return best
}

func (p *Pool) cheapest(now time.Duration, request *Request, avoid *Member) *Member {
	var best *Member
	var least float64
	for _, m := range p.members {
		if m == avoid || m.exclusion() != NotExcluded || p.limitsWarmUp(m, now) && m.passOver(now) {
			continue
		}
		cost := p.cost(m, m.condition, request, now)
		better := best == nil || cost < least || cost == least && m.before(best)
		// Eligible is a map lookup, so it is called only for the few better members.
		if better && request.Eligible(m) {
			best, least = m, cost
		}
	}
	return best
}

// Status describes a member for logs and metrics.
type Status struct {
	Endpoint  directory.Endpoint
	Listed    bool
	Condition Condition
	Exclusion Exclusion
	InFlight  int
	// Questioned is set if there is evidence that the endpoint has fallen silent.
	Questioned bool
	// FailureRate is the decayed share of requests without a response, 0 to 1.
	FailureRate float64
	// Response is the endpoint's response time as used for the choice, MedianResponse
	// the service's median.
	Response, MedianResponse time.Duration
}

// Status returns the member's current status.
func (m *Member) Status(now time.Duration) Status {
	p := m.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{
		Endpoint: m.endpoint, Listed: m.listed, Condition: m.condition, Exclusion: m.exclusionAt(now), InFlight: m.inFlight,
		Questioned:  m.observed.evidence.Questioned(now),
		FailureRate: m.failureRate(now),
		Response:    time.Duration(m.responseTime(now, p.medianResponse)), MedianResponse: time.Duration(p.medianResponse),
	}
}
