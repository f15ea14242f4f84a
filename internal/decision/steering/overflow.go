package steering

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
)

// SetOverflowShare sets the share of a rule's new flows that may go to another of its targets
// because the one drawn by weight refuses them, 0 for none. It must be called before Handle.
func (t *Table) SetOverflowShare(share float64) {
	for i := range t.shards {
		t.shards[i].overflowShare = share
	}
}

// mayOverflow reports whether flows of a rule may go to another target than the drawn one. share
// is the overflow share.
func mayOverflow(share float64, r *route) bool { return share > 0 && len(r.pools) > 1 }

// countNewFlow counts a new flow of a rule, of which a share may overflow.
func (s *shard) countNewFlow(r *route, now time.Duration) {
	if mayOverflow(s.overflowShare, r) {
		r.overflow.FlowArrived(now)
	}
}

// overflow handles the first packet of a flow that the drawn target does not take. It opens
// the flow on the first of the other targets that takes it. If there is none, it returns
// refused.
func (s *shard) overflow(v *View, r *route, p *Packet, now time.Duration, drawn *selection.Pool, refused Action) Action {
	if !mayOverflow(s.overflowShare, r) || len(s.flows) >= s.capacity || !r.overflow.Allows(now, s.overflowShare) {
		return refused
	}
	for _, pool := range r.otherTargets(drawn) {
		if !pool.AdmitOverflow(now, r.priorityLevel) {
			continue
		}
		request := r.request(v)
		m, suspects := pool.Choose(now, request)
		if m == nil {
			continue
		}
		r.overflow.FlowOverflowed(now)
		action := s.open(v, r, p, m, request.Long, now)
		s.flows[p.Tuple].overflowed = true
		action.Suspected = append(refused.Suspected, suspects...)
		action.Overflowed = true
		return action
	}
	return refused
}

// otherTargets returns the targets with a weight above 0 other than the drawn one, in the
// rule's order beginning after it.
func (r *route) otherTargets(drawn *selection.Pool) []*selection.Pool {
	drawnAt := slices.Index(r.pools, drawn)
	var others []*selection.Pool
	for n := 1; n < len(r.pools); n++ {
		at := (drawnAt + n) % len(r.pools)
		if r.pools[at] != drawn && r.rule.Targets[at].Weight > 0 {
			others = append(others, r.pools[at])
		}
	}
	return others
}
