package steering

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/silence"
)

// Reported records that another instance has found endpoints silent, as far as flows of this
// instance depend on them. It returns the endpoints whose health must be checked.
func (t *Table) Reported(v *View, endpoints map[silence.EndpointID]bool, now time.Duration) []*selection.Member {
	var candidates []*selection.Member
	for _, p := range v.pools {
		candidates = p.Reportable(endpoints, now, candidates)
	}
	if len(candidates) == 0 {
		return nil
	}
	flows := t.openFlows(candidates)
	return slices.DeleteFunc(candidates, func(m *selection.Member) bool { return flows[m] == 0 || !m.Reported(now) })
}

// openFlows counts the flows that members have, those without a record included that had a
// packet in the last seconds.
func (t *Table) openFlows(members []*selection.Member) map[*selection.Member]int {
	count := make(map[*selection.Member]int, len(members))
	for _, m := range members {
		count[m] = 0
	}
	for i := range t.shards {
		t.shards[i].countOpen(count)
	}
	return count
}

// countOpen adds the flows of the members that are keys of count.
func (s *shard) countOpen(count map[*selection.Member]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		if _, counted := count[f.member]; counted && !f.finished {
			count[f.member]++
		}
	}
	for _, u := range s.unrecorded {
		if _, counted := count[u.member]; counted {
			count[u.member]++
		}
	}
}
