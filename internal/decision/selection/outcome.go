package selection

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/silence"
)

// RequestKind distinguishes the request that opened a flow from the later ones on it.
type RequestKind uint8

// The kinds of requests. Only an opening request can be refused or sent to another
// endpoint, so only opening requests count for admission.
const (
	OpeningRequest RequestKind = iota
	LaterRequest
)

// RequestStarted records a request on a flow that Choose did not count for this endpoint: a
// later one, or an opening one that another endpoint answered.
func (m *Member) RequestStarted(now time.Duration, kind RequestKind) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.begin(now, kind)
}

// begin counts a request in flight. The caller holds the pool's lock.
func (m *Member) begin(now time.Duration, kind RequestKind) {
	if m.inFlight == 0 {
		m.progressAt = now
	}
	m.inFlight++
	if kind == OpeningRequest {
		m.opening++
	}
}

// end no longer counts a request in flight. The caller holds the pool's lock.
func (m *Member) end(kind RequestKind) {
	m.inFlight = max(m.inFlight-1, 0)
	if kind == OpeningRequest {
		m.opening = max(m.opening-1, 0)
	}
}

// ResponseStarted records the start of a response, a time of took after its request.
// target is the target response time, 0 if there is none.
func (m *Member) ResponseStarted(now time.Duration, kind RequestKind, took, target time.Duration) {
	p := m.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	m.end(kind)
	m.progressAt = now
	if kind == OpeningRequest {
		p.limiter.ResponseStarted(now, took, target)
	}
	m.addResponse(now, float64(took), p.medianResponse)
	m.addOutcome(now, false)
	m.markAlive(now)
	m.answered(now, now-took)
	if now-p.medianAt >= medianInterval {
		p.updateMedian(now)
	}
}

func (p *Pool) updateMedian(now time.Duration) {
	p.medianAt = now
	var means []float64
	for _, m := range p.members {
		if m.meanResponse > 0 {
			means = append(means, m.meanResponse)
		}
	}
	if len(means) > 0 {
		slices.Sort(means)
		p.medianResponse = means[(len(means)-1)/2]
	}
}

// RequestFailed records that a request in flight ended without a response.
func (m *Member) RequestFailed(now time.Duration, kind RequestKind) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.end(kind)
	m.addOutcome(now, true)
}

// RequestDiscarded ends a request in flight without recording an outcome, for example
// because it moved to another endpoint.
func (m *Member) RequestDiscarded(kind RequestKind) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.end(kind)
}

// HandshakeCompleted records that a caller has acknowledged the endpoint. took is the time
// since the first packet was forwarded to the endpoint, 0 if it is unknown.
func (m *Member) HandshakeCompleted(now, took time.Duration) {
	p := m.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	m.markAccepting(now)
	sentAt := time.Duration(0)
	if took > 0 {
		sentAt = now - took
	}
	m.answered(now, sentAt)
	if took > 0 {
		p.meanHandshake += handshakeWeight * (min(float64(took), handshakeCap*p.meanHandshake) - p.meanHandshake)
	}
}

func (m *Member) markAlive(now time.Duration) {
	m.aliveAt = now
	if m.condition != Healthy {
		m.setCondition(Healthy, now)
	}
}

func (m *Member) setCondition(condition Condition, now time.Duration) {
	m.condition = condition
	m.conditionAt = now
}

// FirstPacketRetransmitted records that a caller has retransmitted a first packet that
// was forwarded to the endpoint at sentAt. If the endpoint has not been alive since and
// has had minHandshakeTimeout to answer, it becomes suspect. The result reports whether it
// was not suspect before.
func (m *Member) FirstPacketRetransmitted(now, sentAt time.Duration) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.aliveAt > sentAt || now-sentAt < minHandshakeTimeout {
		return false
	}
	m.packetRepeated(now, sentAt, silence.FirstPacket)
	if m.condition == Silent {
		return false
	}
	becameSuspect := m.condition != Suspect
	m.setCondition(Suspect, now)
	return becameSuspect
}

// HealthChecked records the result of a health check and returns the resulting condition.
// A suspect endpoint that passes is put on probation.
func (m *Member) HealthChecked(now time.Duration, passed bool) Condition {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if passed && m.condition == Suspect {
		m.setCondition(Probation, now)
	}
	return m.condition
}
