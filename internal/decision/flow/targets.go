package flow

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// target is an instance that gets reports from this shard. At most one batch is
// under way to it, so that updates of one flow arrive in their order.
type target struct {
	incarnation uint64
	// bases and slotBases are the tables that the target has acknowledged.
	bases     map[common.ServiceID]*lookup.Table
	slotBases map[slotService]*lookup.Table
	// services are the ones that the target needs bases of.
	services    map[common.ServiceID]bool
	resets      slotSet
	withdrawals []withdrawal
	sent        *sentBatch
}

// withdrawal is a reported flow that has ended.
type withdrawal struct {
	service  common.ServiceID
	endpoint common.EndpointID
	hash     common.FlowHash
}

// sentBatch is a batch without acknowledgement.
type sentBatch struct {
	batch common.ReplicationBatch
	bytes int
	// saved is what the references to tables save.
	saved     int
	at        time.Duration
	flows     []sentFlow
	bases     map[common.ServiceID]*lookup.Table
	slotBases map[slotService]*lookup.Table
}

type sentFlow struct {
	position uint32
	hash     common.FlowHash
	endpoint common.EndpointID
}

// queued refers to a flow that may need a report.
type queued struct {
	position uint32
	hash     common.FlowHash
	// order is the age of the flow; flows of lost slots come before others.
	order time.Duration
}

func (s *Shard) target(id common.InstanceID, incarnation uint64) *target {
	g := s.targets[id]
	if g == nil || g.incarnation != incarnation {
		fresh := &target{
			incarnation: incarnation,
			bases:       make(map[common.ServiceID]*lookup.Table),
			slotBases:   make(map[slotService]*lookup.Table),
			services:    make(map[common.ServiceID]bool),
		}
		if g != nil {
			fresh.keep(g)
		}
		g = fresh
		s.targets[id] = g
	}
	return g
}

// keep carries over what a target with a new incarnation must still be told: it
// may have kept what it held.
func (g *target) keep(before *target) {
	g.withdrawals = before.withdrawals
	g.resets = before.resets
	if before.sent == nil {
		return
	}
	for _, group := range before.sent.batch.Exceptions {
		g.keepGroup(group)
	}
}

func (g *target) keepGroup(group common.ExceptionGroup) {
	switch {
	case !group.Withdrawn:
	case group.Endpoint == 0:
		for i := range g.resets {
			g.resets[i] |= uint64(group.Hashes[i])
		}
	default:
		for _, hash := range group.Hashes {
			g.withdrawals = append(g.withdrawals, withdrawal{group.Service, group.Endpoint, hash})
		}
	}
}

func (s *Shard) slotTarget(state *slotState) *target {
	if state.target == 0 {
		return nil
	}
	return s.target(state.target, state.targetIncarnation)
}

// acked returns the table that the target resolves unknown flows with, nil when
// it has not acknowledged one.
func (g *target) acked(key slotService) *lookup.Table {
	if table := g.slotBases[key]; table != nil {
		return table
	}
	return g.bases[key.service]
}

// underWay returns a table that the target may have received.
func (g *target) underWay(key slotService) *lookup.Table {
	if g.sent == nil {
		return nil
	}
	if table, found := g.sent.slotBases[key]; found && table != nil {
		return table
	}
	return g.sent.bases[key.service]
}

// forgetTargets drops targets that need nothing any more.
func (s *Shard) forgetTargets(t *Tables) {
	needed := make(map[common.InstanceID]bool)
	for local := range s.slots {
		if s.slots[local].owner == t.self {
			needed[s.slots[local].target] = true
		}
	}
	for _, item := range s.queue {
		needed[s.slot(item.hash).target] = true
	}
	for id := range s.targets {
		if !needed[id] {
			delete(s.targets, id)
		}
	}
}

func (s *Shard) targetIDs() []common.InstanceID {
	ids := make([]common.InstanceID, 0, len(s.targets))
	for id := range s.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
