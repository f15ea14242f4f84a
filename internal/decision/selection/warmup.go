package selection

import (
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/warmup"
)

// NoWarmUpLimit is the limit of a service whose endpoints may get any number of new flows
// while they warm up.
const NoWarmUpLimit = -1

// warmUpLimit is the state of a pool that limits the new flows to endpoints that warm up.
type warmUpLimit struct {
	// enabled is set if there is a limit, share is this instance's part of it for each
	// endpoint that it owns.
	enabled bool
	share   int
	// ownership is nil before the peers are known. version counts its changes.
	ownership *warmup.Ownership
	version   uint64
	// resumedAt is when the last pause of the process ended, 0 if there was none.
	resumedAt time.Duration
	// skipped is set if the present choice passed over an endpoint, passedOver counts
	// such choices.
	skipped    bool
	passedOver uint64
}

// warmUpState is the state of a member under the limit.
type warmUpState struct {
	// ranksFirst reports whether this instance ranks first for the endpoint by the
	// ownership of that version.
	ranksFirst bool
	version    uint64
	sent       warmup.Window
}

// SetWarmUpLimit sets the maximum number of new flows that all instances together send in
// any second to an endpoint that warms up, NoWarmUpLimit for any number.
func (p *Pool) SetWarmUpLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmUp.enabled = limit != NoWarmUpLimit
	p.warmUp.share = warmup.Share(limit)
}

// SetPeers sets the instances that share the endpoints.
func (p *Pool) SetPeers(ownership *warmup.Ownership) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = ownership.Instances()
	p.warmUp.ownership = ownership
	p.warmUp.version++
}

// HasWarming reports whether an endpoint is warming up under a limit that would otherwise be
// eligible. If Choose has returned none, no instance but the owner of such an endpoint may
// send flows to it.
func (p *Pool) HasWarming(now time.Duration, eligible func(*Member) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if m.exclusion() == NotExcluded && p.limitsWarmUp(m, now) && eligible(m) {
			return true
		}
	}
	return false
}

// CopySent records that a copy of a first packet was sent to the endpoint that was chosen
// for the flow. The endpoint may not have received the earlier packet.
func (m *Member) CopySent(now time.Duration) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.recordSend(now)
}

// limitsWarmUp reports whether the limit of new flows applies to an endpoint. The caller holds the pool's lock.
func (p *Pool) limitsWarmUp(m *Member, now time.Duration) bool {
	return p.warmUp.enabled && now < m.warmUntil
}

// hasShare reports whether this instance may send a new flow to an endpoint to which the
// limit applies. The caller holds the pool's lock.
func (m *Member) hasShare(now time.Duration) bool {
	limit := &m.pool.warmUp
	return limit.settled(now) && m.ranksFirst() && m.warmUp.sent.Allow(now, limit.share)
}

// settled reports whether the instance may own endpoints. After a pause of the process its
// list of peers may be outdated and packets sent just before are not complete at the
// endpoints, so it counts as newly started.
func (l *warmUpLimit) settled(now time.Duration) bool {
	if l.ownership == nil || l.resumedAt > 0 && now-l.resumedAt < warmup.OwnerSettleTime {
		return false
	}
	return l.ownership.Settled(now)
}

// ranksFirst reports whether this instance ranks first for the endpoint. It hashes only
// after a change of the peers.
func (m *Member) ranksFirst() bool {
	limit := &m.pool.warmUp
	if m.warmUp.version != limit.version {
		m.warmUp.version = limit.version
		m.warmUp.ranksFirst = limit.ownership.RanksFirst(m.endpoint.Name)
	}
	return m.warmUp.ranksFirst
}

// passOver reports whether an endpoint to which the limit applies gets no new flow now, and
// records that. The caller holds the pool's lock.
func (m *Member) passOver(now time.Duration) bool {
	if m.hasShare(now) {
		return false
	}
	m.pool.warmUp.skipped = true
	return true
}

// countPassedOver counts a choice that passed over an endpoint because of the limit.
func (l *warmUpLimit) countPassedOver() {
	if l.skipped {
		l.skipped = false
		l.passedOver++
	}
}

// recordSend records a first packet to the endpoint. The caller holds the pool's lock.
func (m *Member) recordSend(now time.Duration) {
	if m.pool.limitsWarmUp(m, now) {
		m.warmUp.sent.Record(now, m.pool.warmUp.share)
	}
}

// setWarmUp sets the end of the warm-up time from the time that remained when the entry was
// written. That was before it was read, so the result is at most too late. An entry that is
// read again does not change it.
func (m *Member) setWarmUp(remaining, now time.Duration) {
	m.warmUntil = now + remaining
	if remaining <= 0 {
		m.warmUp = warmUpState{}
	}
}
