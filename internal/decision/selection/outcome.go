package selection

import (
	"slices"
	"time"
)

// RequestStarted counts one more request on an open flow.
func (m *Member) RequestStarted() {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.inFlight++
}

// ResponseStarted ends a waiting request whose response began after a time. target is the
// time in which it should, 0 for none.
func (m *Member) ResponseStarted(now, took, target time.Duration) {
	p := m.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	m.inFlight = max(m.inFlight-1, 0)
	p.limiter.ResponseStarted(now, took, target)
	m.addResponse(now, float64(took), p.medianResponse)
	m.addOutcome(now, false)
	m.markAlive(now)
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

// RequestFailed ends a waiting request without a response.
func (m *Member) RequestFailed(now time.Duration) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.inFlight = max(m.inFlight-1, 0)
	m.addOutcome(now, true)
}

// RequestDiscarded ends a waiting request that went to another endpoint.
func (m *Member) RequestDiscarded() {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.inFlight = max(m.inFlight-1, 0)
}

// HandshakeCompleted notes that a caller has acknowledged the endpoint, a time after its first
// packet was sent there, 0 when that is not known.
func (m *Member) HandshakeCompleted(now, took time.Duration) {
	p := m.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	m.markAlive(now)
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

// FirstPacketRepeated notes that the caller has repeated a first packet that was sent to the
// endpoint at a time.
// It reports whether the endpoint has become suspect by it: when it has shown no
// life since.
func (m *Member) FirstPacketRepeated(now, sentAt time.Duration) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.aliveAt > sentAt || now-sentAt < minHandshakeTimeout {
		return false
	}
	first := m.condition != Suspect
	m.setCondition(Suspect, now)
	return first
}

// HealthChecked takes the result of a health check: a suspect endpoint that passes is
// on probation.
func (m *Member) HealthChecked(now time.Duration, passed bool) Condition {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if passed && m.condition == Suspect {
		m.setCondition(Probation, now)
	}
	return m.condition
}
