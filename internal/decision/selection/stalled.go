package selection

import "time"

// stallProbation is how long a stalled endpoint gets no flow at all while others can serve
// it. Then it gets one at a time until it answers. Its health checks pass while it is
// stalled, so only a flow shows whether it answers again.
const stallProbation = 2 * time.Second

// UnansweredSince returns the time since which the endpoint has started no response although
// a request was in flight. unanswered is false if no request is in flight.
func (m *Member) UnansweredSince() (since time.Duration, unanswered bool) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.progressAt, m.inFlight > 0
}

// Unanswered returns the listed members that have had a request in flight for at least
// minAge without starting a response.
func (p *Pool) Unanswered(now, minAge time.Duration) []*Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []*Member
	for _, m := range p.members {
		if m.inFlight > 0 && now-m.progressAt >= minAge {
			members = append(members, m)
		}
	}
	return members
}

// MarkStalled records that the endpoint accepts requests and answers none, unless it is
// suspect, silent or stalled already, and reports whether it did. sentAt is when the oldest
// unanswered request was sent: the endpoint is not marked if it has started a response since,
// which may have happened after the evidence was read.
func (m *Member) MarkStalled(now, sentAt time.Duration) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.condition >= Suspect || m.progressAt > sentAt {
		return false
	}
	m.setCondition(Stalled, now)
	return true
}

// DiscardStalled discards the verdict that the endpoint is stalled.
func (m *Member) DiscardStalled(now time.Duration) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.condition == Stalled {
		m.setCondition(Healthy, now)
	}
}

// Stalled reports whether the endpoint is stalled.
func (m *Member) Stalled() bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.condition == Stalled
}

// markAccepting records that the endpoint has accepted a flow. A stalled one does that too.
// The caller holds the pool's lock.
func (m *Member) markAccepting(now time.Duration) {
	if m.condition == Stalled {
		m.aliveAt = now
		return
	}
	m.markAlive(now)
}

// lastResort reports whether the endpoint, if its condition were the given one, gets a new flow
// only if no other one can serve it.
func (m *Member) lastResort(condition Condition, now time.Duration) bool {
	switch condition {
	case Healthy:
		return false
	case Probation:
		return m.inFlight > 0
	case Stalled:
		return m.inFlight > 0 || now-m.conditionAt < stallProbation
	default:
		return true
	}
}
