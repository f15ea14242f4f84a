package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// source is the replication state of an instance that reports to this shard.
type source struct {
	incarnation uint64
	sequence    uint64 // of the last batch
	bases       map[common.ServiceID]*lookup.Table
	slotBases   map[slotBaseKey]*lookup.Table
}

// base returns the table with which the source resolves unknown flows of a slot, or
// nil when it has not reported one.
func (src *source) base(key slotBaseKey) *lookup.Table {
	if src == nil {
		return nil
	}
	if table := src.slotBases[key]; table != nil {
		return table
	}
	return src.bases[key.service]
}

// AddReplication stores updates from another instance. It ignores batches that are
// older than the last one from the same source. It returns false when the batch
// refers to a table that this instance does not have. The caller must not
// acknowledge such a batch; the source then resends it with the whole endpoint sets.
func (s *Shard) AddReplication(t *Tables, batch *common.ReplicationBatch, now time.Duration) bool {
	if batch.Source == t.self || (batch.Target != 0 && batch.Target != t.self) {
		return true
	}
	if !t.hasReferencedTables(batch.Bases) {
		return false
	}
	src := s.sourceOf(batch)
	if src == nil {
		return true
	}
	// A batch may contain a new base and the exceptions to it, so both are stored
	// before any packet is handled.
	s.addBases(t, src, batch, now)
	for i := range batch.Exceptions {
		s.addGroup(t, batch.Source, &batch.Exceptions[i], now)
	}
	return true
}

// hasReferencedTables reports whether each reference among the bases matches the
// current table of its service.
func (t *Tables) hasReferencedTables(bases []common.ServiceBase) bool {
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

// isReference reports whether a base is a reference to a table instead of a list of
// endpoints: it then has no endpoints, and its only weight is the ID of the table.
func isReference(base *common.ServiceBase) bool {
	return len(base.Eligible) == 0 && len(base.Weights) == 1
}

// sourceOf returns the state of the batch's source, or nil when the batch is older
// than the last one.
func (s *Shard) sourceOf(batch *common.ReplicationBatch) *source {
	src := s.sources[batch.Source]
	if src == nil {
		src = &source{
			bases:     make(map[common.ServiceID]*lookup.Table),
			slotBases: make(map[slotBaseKey]*lookup.Table),
		}
		s.sources[batch.Source] = src
	}
	if batch.SourceIncarnation < src.incarnation {
		return nil
	}
	if batch.SourceIncarnation > src.incarnation {
		src.incarnation = batch.SourceIncarnation
		src.sequence = 0
	}
	if batch.Sequence == 0 {
		return src
	}
	if batch.Sequence < src.sequence {
		return nil
	}
	src.sequence = batch.Sequence
	return src
}

// addBases stores the bases of a batch and applies them to gained slots.
func (s *Shard) addBases(t *Tables, src *source, batch *common.ReplicationBatch, now time.Duration) {
	for i := range batch.Bases {
		base := &batch.Bases[i]
		if isReference(base) {
			src.bases[base.Service] = t.service(base.Service).table
			continue
		}
		src.bases[base.Service] = t.tableOf(base)
	}
	for i := range batch.SlotBases {
		s.addSlotBase(t, src, batch, i)
	}
	if len(batch.Bases)+len(batch.SlotBases) > 0 {
		s.applyLateBases(t, batch.Source, src, now)
	}
}

// addSlotBase stores the slot base at the index in the batch. A slot base without
// endpoints that is no reference removes the stored one.
func (s *Shard) addSlotBase(t *Tables, src *source, batch *common.ReplicationBatch, i int) {
	added := &batch.SlotBases[i]
	key := slotBaseKey{added.Slot, added.Base.Service}
	if int(added.Slot)/shardSlots != s.index {
		return
	}
	switch {
	case len(added.Base.Eligible) > 0:
		src.slotBases[key] = t.tableOf(&added.Base)
	case isReference(&added.Base):
		if referenced := findReferencedBase(batch.SlotBases[:i], &added.Base); referenced != nil {
			src.slotBases[key] = t.tableOf(referenced)
		}
	default:
		delete(src.slotBases, key)
	}
}

// findReferencedBase returns the earlier base in the batch with the set of endpoints to
// which the reference refers, or nil.
func findReferencedBase(earlier []common.SlotBase, reference *common.ServiceBase) *common.ServiceBase {
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

// tableOf returns the table of a base. It reuses the current table of the service
// when that has the same set of endpoints.
func (t *Tables) tableOf(base *common.ServiceBase) *lookup.Table {
	table := lookup.NewLazy(base.Service, base.Eligible, base.Weights)
	if service := t.service(base.Service); service != nil && service.table.Equal(table) {
		return service.table
	}
	return table
}

// applyLateBases applies the bases of a former owner to slots that this instance
// gained from it before it received the bases.
func (s *Shard) applyLateBases(t *Tables, id common.InstanceID, src *source, now time.Duration) {
	if s.limits.ablation.noSlotBases {
		return
	}
	for local := range s.slots {
		state := &s.slots[local]
		if state.owner != t.self || state.formerOwner != id {
			continue
		}
		for service, tables := range t.services {
			key := slotBaseKey{s.globalSlot(local), service}
			table := src.base(key)
			if table == nil || s.slotBases[key].confirmed || now-state.gained >= tables.idleTimeout() {
				continue
			}
			s.slotBases[key] = slotBase{table: table, since: state.gained, confirmed: true}
			s.queueStale = true
		}
	}
}

// addGroup applies one group of a batch: slot resets, withdrawals or reports.
func (s *Shard) addGroup(t *Tables, from common.InstanceID, group *common.ExceptionGroup, now time.Duration) {
	if group.Withdrawn && group.Endpoint == 0 {
		s.dropHeldInSlots(from, group)
		return
	}
	for _, hash := range group.Hashes {
		if ShardOf(hash) != s.index {
			continue
		}
		if group.Withdrawn {
			s.withdrawHeld(t, from, group.Endpoint, hash)
			continue
		}
		s.storeReport(t, from, group, hash, now)
	}
}

// dropHeldInSlots removes the held flows of slots that the source starts to report.
// The hashes of the group are the bit set of the slots.
func (s *Shard) dropHeldInSlots(from common.InstanceID, group *common.ExceptionGroup) {
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
		if e.source() == from || s.slotOf(e.hash).owner == from {
			s.table.remove(e)
		}
	}
}

// withdrawHeld applies a withdrawal: it removes a flow that the source reported.
func (s *Shard) withdrawHeld(t *Tables, from common.InstanceID, endpoint common.EndpointID, hash common.FlowHash) {
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

// storeReport stores a reported flow. If this instance has handled packets of the
// flow as the owner, its own endpoint is newer than any report and is kept, unless it
// is unconfirmed or the flow was closed: the report is then about the next connection
// on the five-tuple.
func (s *Shard) storeReport(t *Tables, from common.InstanceID, group *common.ExceptionGroup, hash common.FlowHash, now time.Duration) {
	owner := s.slotOf(hash).owner
	e := s.table.findHash(hash)
	switch {
	case e == nil && owner == t.self:
		s.addPromoted(t, from, group, hash, now)
	case e == nil:
		s.addNewHeld(from, group, hash, now)
	case e.has(flagHeld):
		if e.source() != owner || from == owner {
			e.sequence = uint32(from)
			e.service, e.endpoint = group.Service, group.Endpoint
			e.lastSeen = now
		}
	case owner == t.self:
		if e.has(flagUnconfirmed|flagNoTuple|closedFlags) && !s.supersededByFormerOwner(from, e, now) {
			s.reassign(t, e, group.Endpoint, group.Service)
			e.flags &^= flagUnconfirmed | closedFlags
			e.lastSeen = now
			s.markFromFormerOwner(from, e)
		}
	case owner == from && s.stillHandles(t, e, now):
		// The new owner reports an endpoint that it received before it gained the
		// slot, but this instance still handles packets of the flow.
		e.flags |= flagReportedByOwner
	case owner == from:
		s.handBack(t, e, from, group.Service, group.Endpoint, now)
	case e.has(flagNoTuple):
		// Another instance owns the slot by now and must receive the newer report.
		s.reassign(t, e, group.Endpoint, group.Service)
	}
}

// supersededByFormerOwner reports whether a report on a flow of an owned slot is
// older than the one from the former owner of the slot. Earlier owners keep their
// flows for two handovers and report them again when the slot gets a new owner.
func (s *Shard) supersededByFormerOwner(from common.InstanceID, e *entry, now time.Duration) bool {
	state := s.slotOf(e.hash)
	return e.has(flagFromFormerOwner) && from != state.formerOwner && now-state.gained < 2*handoverPeriod && !s.limits.ablation.lastReportWins
}

// markFromFormerOwner sets or clears flagFromFormerOwner after a report.
func (s *Shard) markFromFormerOwner(from common.InstanceID, e *entry) {
	e.flags &^= flagFromFormerOwner
	if from == s.slotOf(e.hash).formerOwner {
		e.flags |= flagFromFormerOwner
	}
}

// stillHandles reports whether this instance may have handled newer packets of a
// flow than the new owner of its slot.
func (s *Shard) stillHandles(t *Tables, e *entry, now time.Duration) bool {
	if e.has(flagNoTuple|closedFlags) || (t.joining() && !s.limits.ablation.keepTableAfterRejoin) {
		return false
	}
	return now-s.slotOf(e.hash).lost < handoverPeriod
}

// addPromoted adds a reported flow of an owned slot. It counts the flow as lost when
// the table is exhausted.
func (s *Shard) addPromoted(t *Tables, from common.InstanceID, group *common.ExceptionGroup, hash common.FlowHash, now time.Duration) {
	if s.table.exhausted() {
		s.stats.ExceptionsLost++
		return
	}
	e := s.table.add(hash)
	e.flags |= flagNoTuple
	e.service, e.endpoint = group.Service, group.Endpoint
	e.opened, e.lastSeen = now, now
	s.markFromFormerOwner(from, e)
	t.addOpenFlows(e, 1)
	s.enqueue(t, e)
}

// addNewHeld adds a held flow. It counts the flow as lost when the table has no
// room for held flows.
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
	e.opened, e.lastSeen = now, now
}

// handBack turns a flow of this instance into a held one that the owner of the slot
// handles and reports.
func (s *Shard) handBack(t *Tables, e *entry, owner common.InstanceID, service common.ServiceID, endpoint common.EndpointID, now time.Duration) {
	t.addOpenFlows(e, -1)
	s.table.held++
	e.flags = flagUsed | flagHeld | flagNoTuple
	e.sequence = uint32(owner)
	e.service, e.endpoint = service, endpoint
	e.opened, e.lastSeen = now, now
}
