package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// source is what this shard knows about an instance that reports to it.
type source struct {
	incarnation uint64
	sequence    uint64
	bases       map[common.ServiceID]*lookup.Table
	slotBases   map[slotService]*lookup.Table
}

// base returns the table that the source resolves unknown flows of a slot with,
// nil when it has not reported one.
func (r *source) base(key slotService) *lookup.Table {
	if r == nil {
		return nil
	}
	if table := r.slotBases[key]; table != nil {
		return table
	}
	return r.bases[key.service]
}

// AddReplication stores updates from another instance. Batches that are older
// than the last one from the same source are ignored. It returns false when the
// batch names a table that this instance does not have; it must not be
// acknowledged then, and the source sends it again with the whole set.
func (s *Shard) AddReplication(t *Tables, batch *common.ReplicationBatch, now time.Duration) bool {
	if batch.Source == t.self || (batch.Target != 0 && batch.Target != t.self) {
		return true
	}
	if !t.knowsBases(batch.Bases) {
		return false
	}
	r := s.sourceOf(batch)
	if r == nil {
		return true
	}
	// A batch may carry a new base and the flows that differ from it, so both
	// are stored before any packet is handled.
	s.addBases(t, r, batch, now)
	for i := range batch.Exceptions {
		s.addGroup(t, batch.Source, &batch.Exceptions[i], now)
	}
	return true
}

// knowsBases reports whether the present tables have all tables that the bases
// name by their number.
func (t *Tables) knowsBases(bases []common.ServiceBase) bool {
	for i := range bases {
		base := &bases[i]
		if !isReference(base) {
			continue
		}
		service := t.service(base.Service)
		if service == nil || service.table.ID() != base.Weights[0] {
			return false
		}
	}
	return true
}

// isReference reports whether a base names a set by its number, as its only
// weight, in place of listing it.
func isReference(base *common.ServiceBase) bool {
	return len(base.Eligible) == 0 && len(base.Weights) == 1
}

// sourceOf returns the state of the batch's source, or nil when the batch is
// old.
func (s *Shard) sourceOf(batch *common.ReplicationBatch) *source {
	r := s.sources[batch.Source]
	if r == nil {
		r = &source{
			bases:     make(map[common.ServiceID]*lookup.Table),
			slotBases: make(map[slotService]*lookup.Table),
		}
		s.sources[batch.Source] = r
	}
	if batch.SourceIncarnation < r.incarnation {
		return nil
	}
	if batch.SourceIncarnation > r.incarnation {
		r.incarnation = batch.SourceIncarnation
		r.sequence = 0
	}
	if batch.Sequence == 0 {
		return r
	}
	if batch.Sequence < r.sequence {
		return nil
	}
	r.sequence = batch.Sequence
	return r
}

func (s *Shard) addBases(t *Tables, r *source, batch *common.ReplicationBatch, now time.Duration) {
	for i := range batch.Bases {
		base := &batch.Bases[i]
		if isReference(base) {
			r.bases[base.Service] = t.service(base.Service).table
			continue
		}
		r.bases[base.Service] = t.tableOf(base)
	}
	for i := range batch.SlotBases {
		s.addSlotBase(t, r, batch, i)
	}
	if len(batch.Bases)+len(batch.SlotBases) > 0 {
		s.adoptBases(t, batch.Source, r, now)
	}
}

func (s *Shard) addSlotBase(t *Tables, r *source, batch *common.ReplicationBatch, i int) {
	added := &batch.SlotBases[i]
	key := slotService{added.Slot, added.Base.Service}
	if int(added.Slot)/shardSlots != s.index {
		return
	}
	switch {
	case len(added.Base.Eligible) > 0:
		r.slotBases[key] = t.tableOf(&added.Base)
	case isReference(&added.Base):
		if named := findSet(batch.SlotBases[:i], &added.Base); named != nil {
			r.slotBases[key] = t.tableOf(named)
		}
	default:
		delete(r.slotBases, key)
	}
}

// findSet returns the earlier base in the batch that a reference names.
func findSet(earlier []common.SlotBase, reference *common.ServiceBase) *common.ServiceBase {
	for i := range earlier {
		base := &earlier[i].Base
		if base.Service != reference.Service || len(base.Eligible) == 0 {
			continue
		}
		if lookup.NewLazy(base.Service, base.Eligible, base.Weights).ID() == reference.Weights[0] {
			return base
		}
	}
	return nil
}

// tableOf returns the table of a base: the present one when it is the same.
func (t *Tables) tableOf(base *common.ServiceBase) *lookup.Table {
	table := lookup.NewLazy(base.Service, base.Eligible, base.Weights)
	if service := t.service(base.Service); service != nil && service.table.Equal(table) {
		return service.table
	}
	return table
}

// adoptBases uses the bases of a former owner for the slots that were gained
// from it before it reported them.
func (s *Shard) adoptBases(t *Tables, id common.InstanceID, r *source, now time.Duration) {
	if s.limits.ablation.noSlotBases {
		return
	}
	for local := range s.slots {
		state := &s.slots[local]
		if state.owner != t.self || state.former != id {
			continue
		}
		for service, tables := range t.services {
			key := slotService{s.number(local), service}
			table := r.base(key)
			if table == nil || s.slotBases[key].certain || now-state.gained >= tables.idleTimeout() {
				continue
			}
			s.slotBases[key] = slotBase{table: table, since: state.gained, certain: true}
			s.rebuild = true
		}
	}
}

func (s *Shard) addGroup(t *Tables, from common.InstanceID, group *common.ExceptionGroup, now time.Duration) {
	if group.Withdrawn && group.Endpoint == 0 {
		s.resetSlots(from, group)
		return
	}
	for _, hash := range group.Hashes {
		if ShardOf(hash) != s.index {
			continue
		}
		if group.Withdrawn {
			s.dropHeld(t, from, group.Endpoint, hash)
			continue
		}
		s.addHeld(t, from, group, hash, now)
	}
}

// resetSlots forgets the held flows of slots that the source starts to report.
func (s *Shard) resetSlots(from common.InstanceID, group *common.ExceptionGroup) {
	var slots slotSet
	if len(group.Hashes) != len(slots) {
		return
	}
	for i, word := range group.Hashes {
		slots[i] = uint64(word)
	}
	for i := range s.table.entries {
		e := &s.table.entries[i]
		if !e.has(flagHeld) || !slots.has(localSlot(e.hash)) {
			continue
		}
		if e.source() == from || s.slot(e.hash).owner == from {
			s.table.remove(e)
		}
	}
}

func (s *Shard) dropHeld(t *Tables, from common.InstanceID, endpoint common.EndpointID, hash common.FlowHash) {
	e := s.table.findHash(hash)
	if e == nil || e.endpoint != endpoint {
		return
	}
	switch {
	case e.has(flagHeld):
		if e.source() == from {
			s.table.remove(e)
		}
	case e.has(flagNoTuple):
		s.remove(t, e)
	}
}

// addHeld stores a reported flow. What this instance saw itself as the owner is
// newer than any report, unless it had to guess or saw the flow end: the report
// is then on the next connection.
func (s *Shard) addHeld(t *Tables, from common.InstanceID, group *common.ExceptionGroup, hash common.FlowHash, now time.Duration) {
	owner := s.slot(hash).owner
	e := s.table.findHash(hash)
	switch {
	case e == nil && owner == t.self:
		s.addInherited(t, from, group, hash, now)
	case e == nil:
		s.addNewHeld(from, group, hash, now)
	case e.has(flagHeld):
		if e.source() != owner || from == owner {
			e.sequence = uint32(from)
			e.service, e.endpoint = group.Service, group.Endpoint
			e.seen = now
		}
	case owner == t.self:
		if e.has(flagGuessed|flagNoTuple|closedFlags) && !s.outdated(from, e, now) {
			s.move(t, e, group.Endpoint, group.Service)
			e.flags &^= flagGuessed | closedFlags
			e.seen = now
			s.markFormer(from, e)
		}
	case owner == from && s.handlesStill(t, e, now):
		// The new owner repeats what it was told before it took the slot over;
		// this instance still handles packets of the flow.
		e.flags |= flagClaimed
	case owner == from:
		s.handBack(t, e, from, group.Service, group.Endpoint, now)
	case e.has(flagNoTuple):
		// The slot has moved on: pass the newer report to its present owner.
		s.move(t, e, group.Endpoint, group.Service)
	}
}

// outdated reports whether a report on a flow of an owned slot is older than
// what this instance has from the slot's former owner. Earlier owners keep their
// flows for two hand-overs and repeat them when the slot moves on.
func (s *Shard) outdated(from common.InstanceID, e *entry, now time.Duration) bool {
	state := s.slot(e.hash)
	return e.has(flagFormer) && from != state.former && now-state.gained < 2*handover && !s.limits.ablation.lastWins
}

// markFormer notes whether the flow is as the former owner reported it.
func (s *Shard) markFormer(from common.InstanceID, e *entry) {
	e.flags &^= flagFormer
	if from == s.slot(e.hash).former {
		e.flags |= flagFormer
	}
}

// handlesStill reports whether this instance may have seen newer packets of a
// flow than the new owner of its slot.
func (s *Shard) handlesStill(t *Tables, e *entry, now time.Duration) bool {
	if e.has(flagNoTuple|closedFlags) || (t.joining() && !s.limits.ablation.tableWins) {
		return false
	}
	return now-s.slot(e.hash).lost < handover
}

func (s *Shard) addInherited(t *Tables, from common.InstanceID, group *common.ExceptionGroup, hash common.FlowHash, now time.Duration) {
	if s.table.crowded() {
		s.stats.ExceptionsLost++
		return
	}
	e := s.table.add(hash)
	e.flags |= flagNoTuple
	e.service, e.endpoint = group.Service, group.Endpoint
	e.opened, e.seen = now, now
	s.markFormer(from, e)
	t.count(e, 1)
	s.enqueue(t, e)
}

func (s *Shard) addNewHeld(from common.InstanceID, group *common.ExceptionGroup, hash common.FlowHash, now time.Duration) {
	if s.table.heldFull() {
		s.stats.ExceptionsLost++
		return
	}
	e := s.table.add(hash)
	s.table.held++
	e.flags |= flagHeld | flagNoTuple
	e.sequence = uint32(from)
	e.service, e.endpoint = group.Service, group.Endpoint
	e.opened, e.seen = now, now
}

// handBack makes a flow of this instance one that the owner of the slot
// handles and reports.
func (s *Shard) handBack(t *Tables, e *entry, from common.InstanceID, service common.ServiceID, endpoint common.EndpointID, now time.Duration) {
	t.count(e, -1)
	s.table.held++
	e.flags = flagUsed | flagHeld | flagNoTuple
	e.sequence = uint32(from)
	e.service, e.endpoint = service, endpoint
	e.opened, e.seen = now, now
}
