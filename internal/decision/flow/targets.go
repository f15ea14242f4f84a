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
	slotBases map[slotBaseKey]*lookup.Table
	// services are the ones that the target needs bases of.
	services    map[common.ServiceID]bool
	slotResets  slotSet
	withdrawals []withdrawal
	inFlight    *inFlightBatch
}

// withdrawal is a reported flow that has ended.
type withdrawal struct {
	service  common.ServiceID
	endpoint common.EndpointID
	hash     common.FlowHash
}

// sentBatch is a batch without acknowledgement.
type inFlightBatch struct {
	batch common.ReplicationBatch
	bytes int
	// saved is what the references to tables save.
	savedBytes int
	sentAt     time.Duration
	flows      []batchedFlow
	bases      map[common.ServiceID]*lookup.Table
	slotBases  map[slotBaseKey]*lookup.Table
}

type batchedFlow struct {
	position uint32
	hash     common.FlowHash
	endpoint common.EndpointID
}

// queued refers to a flow that may need a report.
type queuedFlow struct {
	position uint32
	hash     common.FlowHash
	// order is the age of the flow; flows of lost slots come before others.
	sortKey time.Duration
}

func (s *Shard) target(id common.InstanceID, incarnation uint64) *target {
	rt := s.targets[id]
	if rt == nil || rt.incarnation != incarnation {
		fresh := &target{
			incarnation: incarnation,
			bases:       make(map[common.ServiceID]*lookup.Table),
			slotBases:   make(map[slotBaseKey]*lookup.Table),
			services:    make(map[common.ServiceID]bool),
		}
		if rt != nil {
			fresh.carryOver(rt)
		}
		rt = fresh
		s.targets[id] = rt
	}
	return rt
}

// keep carries over what a target with a new incarnation must still be told: it
// may have kept what it held.
func (rt *target) carryOver(before *target) {
	rt.withdrawals = before.withdrawals
	rt.slotResets = before.slotResets
	if before.inFlight == nil {
		return
	}
	for _, group := range before.inFlight.batch.Exceptions {
		rt.carryOverGroup(group)
	}
}

func (rt *target) carryOverGroup(group common.ExceptionGroup) {
	switch {
	case !group.Withdrawn:
	case group.Endpoint == 0:
		for i := range rt.slotResets {
			rt.slotResets[i] |= uint64(group.Hashes[i])
		}
	default:
		for _, hash := range group.Hashes {
			rt.withdrawals = append(rt.withdrawals, withdrawal{group.Service, group.Endpoint, hash})
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
func (rt *target) ackedTable(key slotBaseKey) *lookup.Table {
	if table := rt.slotBases[key]; table != nil {
		return table
	}
	return rt.bases[key.service]
}

// underWay returns a table that the target may have received.
func (rt *target) inFlightTable(key slotBaseKey) *lookup.Table {
	if rt.inFlight == nil {
		return nil
	}
	if table, found := rt.inFlight.slotBases[key]; found && table != nil {
		return table
	}
	return rt.inFlight.bases[key.service]
}

// forgetTargets drops targets that need nothing any more.
func (s *Shard) dropUnneededTargets(t *Tables) {
	needed := make(map[common.InstanceID]bool)
	for local := range s.slots {
		if s.slots[local].owner == t.self {
			needed[s.slots[local].target] = true
		}
	}
	for _, item := range s.queue {
		needed[s.slotOf(item.hash).target] = true
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
