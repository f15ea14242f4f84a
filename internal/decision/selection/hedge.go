package selection

import "time"

// MeanHandshake returns the mean time from forwarding a first packet until the caller has
// acknowledged the endpoint.
func (p *Pool) MeanHandshake() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.meanHandshake)
}

// AliveSince reports whether the endpoint is known to have sent a packet after a time.
func (m *Member) AliveSince(at time.Duration) bool {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.aliveAt > at
}

// recentlyAlive is how recently an endpoint must have sent a packet to be preferred as the
// second endpoint. When several endpoints fail at once, most of those that the instance has
// not found to be suspect yet have sent nothing for longer.
const recentlyAlive = 300 * time.Millisecond

// ChooseHedge returns a second endpoint for a flow that Choose has assigned to request.Avoid, and
// counts the flow as a request in flight there. It returns nil if no other endpoint is
// healthy and accepts new flows: a second packet to a doubtful endpoint rarely helps. It
// prefers endpoints that have recently sent a packet.
func (p *Pool) ChooseHedge(now time.Duration, request Request) *Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	// choose calls these while the pool is locked.
	first, eligible := request.Avoid, request.Eligible
	healthy := func(m *Member) bool { return m != first && m.condition == Healthy && eligible(m) }
	alive := func(m *Member) bool { return now-m.aliveAt <= recentlyAlive && healthy(m) }
	request.Eligible = alive
	chosen := p.choose(now, &request)
	if chosen == nil {
		request.Eligible = healthy
		chosen = p.choose(now, &request)
	}
	if chosen != nil {
		p.pending = append(p.pending, pending{member: chosen, at: now})
	}
	return chosen
}
