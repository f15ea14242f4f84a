package flow

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// target is an instance to which this shard replicates flows. At most one batch to
// it is in flight, so that updates of one flow arrive in order.
type target struct {
	incarnation uint64
	// bases and slotBases are the tables that the target has acknowledged.
	bases     map[common.ServiceID]*lookup.Table
	slotBases map[slotBaseKey]*lookup.Table
	// services are the services whose bases the target needs.
	services map[common.ServiceID]bool
	// slotResets are the slots whose held flows the target must discard, because
	// this shard starts to report these slots.
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

// inFlightBatch is a batch that was sent and is not acknowledged.
type inFlightBatch struct {
	batch common.ReplicationBatch
	bytes int
	// savedBytes is the number of bytes by which references shorten the batch.
	savedBytes int
	sentAt     time.Duration
	flows      []batchedFlow
	bases      map[common.ServiceID]*lookup.Table
	slotBases  map[slotBaseKey]*lookup.Table
}

// batchedFlow is a flow with the endpoint that a batch reports for it.
type batchedFlow struct {
	position uint32
	hash     common.FlowHash
	endpoint common.EndpointID
}

// queuedFlow refers to a flow that may need a report.
type queuedFlow struct {
	position uint32
	hash     common.FlowHash
	// sortKey is the time when the flow was opened, lowered for flows of lost
	// slots so that they come first.
	sortKey time.Duration
}

// target returns the state for the instance, which it creates if the instance is
// new or has another incarnation.
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

// carryOver copies the pending withdrawals and slot resets, including those of the
// batch in flight, to the state for a new incarnation: the target may still hold
// the flows.
func (rt *target) carryOver(previous *target) {
	rt.withdrawals = previous.withdrawals
	rt.slotResets = previous.slotResets
	if previous.inFlight == nil {
		return
	}
	for _, group := range previous.inFlight.batch.Exceptions {
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

// slotTarget returns the target of the slot, or nil.
func (s *Shard) slotTarget(state *slotState) *target {
	if state.target == 0 {
		return nil
	}
	return s.target(state.target, state.targetIncarnation)
}

// ackedTable returns the table with which the target resolves unknown flows of the
// slot, or nil when it has not acknowledged one.
func (rt *target) ackedTable(key slotBaseKey) *lookup.Table {
	if table := rt.slotBases[key]; table != nil {
		return table
	}
	return rt.bases[key.service]
}

// inFlightTable returns the table for the slot in the batch in flight, which the
// target may have received, or nil.
func (rt *target) inFlightTable(key slotBaseKey) *lookup.Table {
	if rt.inFlight == nil {
		return nil
	}
	if table, found := rt.inFlight.slotBases[key]; found && table != nil {
		return table
	}
	return rt.inFlight.bases[key.service]
}

// dropUnneededTargets removes targets that are neither the successor of an owned
// slot nor the target of a queued flow.
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

// targetIDs returns the IDs of the targets, sorted.
func (s *Shard) targetIDs() []common.InstanceID {
	ids := make([]common.InstanceID, 0, len(s.targets))
	for id := range s.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
