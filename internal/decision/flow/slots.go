package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// shardSlots is the number of slots of a shard.
const shardSlots = common.Slots / Shards

// slotState is the state of the ownership of one slot.
type slotState struct {
	owner common.InstanceID
	// target receives this shard's reports on the slot: the successor of an owned
	// slot, otherwise the owner. 0 is none.
	target            common.InstanceID
	targetIncarnation uint64
	// formerOwner is the owner from which this instance last gained the slot; 0
	// is none.
	formerOwner common.InstanceID
	// previousOwner is the owner before the current one, and changed is the time
	// of that change. earlierOwner is the owner before formerOwner if the
	// handover between the two had not ended when this instance gained the slot;
	// 0 is none.
	previousOwner common.InstanceID
	earlierOwner  common.InstanceID
	changed       time.Duration
	// gained and lost are the times when this instance last gained and lost the
	// slot.
	gained time.Duration
	lost   time.Duration
}

// slotBaseKey identifies the base of one service in one slot.
type slotBaseKey struct {
	slot    uint16
	service common.ServiceID
}

// slotBase is the base of a gained slot: the table with which its flows were opened
// before the gain.
type slotBase struct {
	table *lookup.Table
	since time.Duration // when the slot was gained
	// confirmed is set when the former owner reported the base. Otherwise the
	// base is this instance's own table from the time of the gain.
	confirmed bool
}

// slotSet is a set of the slots of a shard.
type slotSet [shardSlots / 64]uint64

func (s *slotSet) add(local int) {
	s[local/64] |= 1 << (local % 64)
}

func (s *slotSet) has(local int) bool {
	return s[local/64]&(1<<(local%64)) != 0
}

func (s *slotSet) empty() bool {
	return *s == slotSet{}
}

// localSlot returns the position of the flow's slot within its shard.
func localSlot(hash common.FlowHash) int {
	return int(hash.Slot() % shardSlots)
}

func (s *Shard) slotOf(hash common.FlowHash) *slotState {
	return &s.slots[localSlot(hash)]
}

// globalSlot returns the group-wide number of a slot of this shard.
func (s *Shard) globalSlot(local int) uint16 {
	return uint16(s.index*shardSlots + local)
}

// Install switches the shard to new tables. It must be called once for each Tables
// before packets are handled with them.
func (s *Shard) Install(t *Tables, now time.Duration) {
	previous := s.tables
	s.tables = t
	s.installedAt = now
	gained, lost := s.updateSlots(t, now)
	s.keepChangedTables(t, previous, now)
	if !gained.empty() {
		s.gainSlots(t, previous, &gained, now)
	}
	s.queueStale = s.queueStale || !gained.empty() || !lost.empty() || t.membershipChanged(previous)
	s.dropSources(t)
}

// updateSlots applies the new slot assignment and returns the slots that this
// instance gained and lost.
func (s *Shard) updateSlots(t *Tables, now time.Duration) (gained, lost slotSet) {
	var moved slotSet
	for local := range s.slots {
		state := &s.slots[local]
		owner, _ := t.owners.Owner(s.globalSlot(local))
		switch {
		case owner == state.owner:
		case owner == t.self:
			gained.add(local)
			state.formerOwner = state.owner
			state.gained = now
			state.earlierOwner = state.recentPreviousOwner(now)
		case state.owner == t.self:
			lost.add(local)
			state.lost = now
		}
		if owner != state.owner {
			state.previousOwner = state.owner
			state.changed = now
		}
		state.owner = owner
		if s.updateTarget(t, local) {
			moved.add(local)
		}
	}
	s.clearReports(&moved)
	return gained, lost
}

// recentPreviousOwner returns the owner before the current one during the handover
// between the two, otherwise 0.
func (state *slotState) recentPreviousOwner(now time.Duration) common.InstanceID {
	if now-state.changed >= handoverPeriod {
		return 0
	}
	return state.previousOwner
}

// updateTarget sets the target of a slot. It reports whether the target or its
// incarnation changed; the flows of the slot must then be reported again.
func (s *Shard) updateTarget(t *Tables, local int) bool {
	state := &s.slots[local]
	next := state.owner
	if state.owner == t.self {
		next, _ = t.owners.Successor(s.globalSlot(local))
	}
	incarnation := uint64(0)
	if member := t.members[next]; member != nil {
		incarnation = member.Incarnation
	}
	same := next == state.target && incarnation == state.targetIncarnation
	if same {
		return false
	}
	if next != state.target && next != 0 && state.owner == t.self {
		// The new target may hold flows of this slot from an earlier report, some
		// of which have ended since.
		s.target(next, incarnation).slotResets.add(local)
	}
	state.target = next
	state.targetIncarnation = incarnation
	return true
}

// clearReports marks the flows of the slots as unreported.
func (s *Shard) clearReports(moved *slotSet) {
	if moved.empty() {
		return
	}
	s.queueStale = true
	for i := range s.table.entries {
		e := &s.table.entries[i]
		if e.has(flagUsed) && moved.has(localSlot(e.hash)) {
			e.flags &^= reportedFlags
		}
	}
}

// keepChangedTables keeps the previous table of each service whose table changed
// as the base of gained slots that have none. Flows that were idle since this
// instance gained the slot were opened with that table.
func (s *Shard) keepChangedTables(t, previous *Tables, now time.Duration) {
	if previous == nil {
		return
	}
	for id, service := range t.services {
		before := previous.services[id]
		if before == nil || before.table == service.table {
			continue
		}
		s.queueStale = true
		s.keepTable(t, id, before.table, now, service.idleTimeout())
	}
}

// keepTable stores the table as the base of the service in gained slots that have
// none and may still have idle flows from before the gain.
func (s *Shard) keepTable(t *Tables, id common.ServiceID, table *lookup.Table, now, idle time.Duration) {
	if s.limits.ablation.noSlotBases {
		return
	}
	for local := range s.slots {
		state := &s.slots[local]
		if state.owner != t.self || state.formerOwner == 0 || now-state.gained >= idle {
			continue
		}
		key := slotBaseKey{s.globalSlot(local), id}
		if _, found := s.slotBases[key]; !found {
			s.slotBases[key] = slotBase{table: table, since: state.gained}
		}
	}
}

// gainSlots takes over the flows and bases of slots that this instance now owns.
func (s *Shard) gainSlots(t, previous *Tables, gained *slotSet, now time.Duration) {
	for key := range s.slotBases {
		if gained.has(int(key.slot % shardSlots)) {
			delete(s.slotBases, key)
		}
	}
	for local := range s.slots {
		if gained.has(local) {
			s.gainBases(t, previous, local, now)
		}
	}
	rejoined := previous.joining()
	for i := range s.table.entries {
		e := &s.table.entries[i]
		if !e.has(flagUsed) || !gained.has(localSlot(e.hash)) {
			continue
		}
		s.gainEntry(t, e, rejoined, now)
	}
}

// gainEntry takes over one flow. The endpoint of a flow that this instance had
// before it lost the slot becomes unconfirmed, so that reports of other instances
// replace it. After a rejoin other instances have handled the flows in the
// meantime, so only unreported flows in the report queue are kept.
func (s *Shard) gainEntry(t *Tables, e *entry, rejoined bool, now time.Duration) {
	e.lastSeen = now
	switch {
	case e.has(flagHeld):
		if e.source() == s.slotOf(e.hash).formerOwner {
			e.flags |= flagFromFormerOwner
		}
		s.promote(t, e)
	case s.limits.ablation.keepTableAfterRejoin:
	case rejoined && (e.has(flagReported) || !e.has(flagQueued)):
		s.discard(t, e)
	default:
		e.flags = e.flags&^flagFromFormerOwner | flagUnconfirmed
	}
}

// gainBases sets the bases of a gained slot: those that the former owner reported,
// otherwise the previous tables of services whose table changed.
func (s *Shard) gainBases(t, previous *Tables, local int, now time.Duration) {
	if s.limits.ablation.noSlotBases {
		return
	}
	for id, service := range t.services {
		key := slotBaseKey{s.globalSlot(local), id}
		if table := s.sources[s.slots[local].formerOwner].base(key); table != nil {
			s.slotBases[key] = slotBase{table: table, since: now, confirmed: true}
			continue
		}
		before := previous.service(id)
		if before != nil && before.table != service.table {
			s.slotBases[key] = slotBase{table: before.table, since: now}
		}
	}
}

// dropSources removes the state of sources that left the view.
func (s *Shard) dropSources(t *Tables) {
	for id := range s.sources {
		if t.members[id] == nil {
			delete(s.sources, id)
		}
	}
}

// ownedSlotBase returns the table with which this instance resolves unknown flows
// of an owned slot.
func (s *Shard) ownedSlotBase(service *ServiceTables, key slotBaseKey) *lookup.Table {
	if base, found := s.slotBases[key]; found {
		return base.table
	}
	return service.table
}

// resolveUnknownFlow returns the default endpoint of an unknown flow in the base
// of its slot, or 0 when there is no endpoint.
func (s *Shard) resolveUnknownFlow(t *Tables, service *ServiceTables, hash common.FlowHash) common.EndpointID {
	key := slotBaseKey{hash.Slot(), service.service.ID}
	if base, found := s.slotBases[key]; found {
		return base.table.Default(hash.Bucket())
	}
	owner := s.slotOf(hash).owner
	if owner != t.self {
		if table := s.sources[owner].base(key); table != nil {
			return table.Default(hash.Bucket())
		}
	}
	return service.table.Default(hash.Bucket())
}

// idleTimeout returns the idle timeout of the service, or the default.
func (s *ServiceTables) idleTimeout() time.Duration {
	if s.service.Policy.IdleTimeout > 0 {
		return s.service.Policy.IdleTimeout
	}
	return DefaultIdleTimeout
}
