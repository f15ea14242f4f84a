package flow

import (
	"cmp"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// batchBuilder builds one batch for one target.
type batchBuilder struct {
	shard     *Shard
	tables    *Tables
	id        common.InstanceID
	target    *target
	inFlight  *inFlightBatch
	remaining int // bytes left for the batch
	groups    exceptionGroups
	// allWithdrawn is false when slot resets or withdrawals are left for the next
	// batch. The batch then reports no flows: a withdrawal must not follow a
	// newer report of the same hash.
	allWithdrawn bool
	// blockedBases holds the bases that must not change yet because the target
	// still resolves an unreported flow with the current one.
	blockedBases map[slotBaseKey]bool
	// serviceBases caches the results of serviceBase.
	serviceBases map[common.ServiceID]*lookup.Table
}

// anySlot replaces the slot in the key of a service's base, which applies to all
// slots without a slot base.
const anySlot = common.Slots

func newBatchBuilder(s *Shard, t *Tables, id common.InstanceID, rt *target, budget *Budget) *batchBuilder {
	limit := budget.MaxBatchBytes
	if limit == 0 {
		limit = defaultBatchBytes
	}
	return &batchBuilder{
		shard: s, tables: t, id: id, target: rt,
		inFlight: &inFlightBatch{
			bases:     make(map[common.ServiceID]*lookup.Table),
			slotBases: make(map[slotBaseKey]*lookup.Table),
		},
		remaining:    min(limit, budget.Bytes) - batchHeaderBytes,
		allWithdrawn: true,
		blockedBases: make(map[slotBaseKey]bool),
		serviceBases: make(map[common.ServiceID]*lookup.Table),
	}
}

// reserve takes the bytes from the remaining ones and reports whether there were
// enough.
func (b *batchBuilder) reserve(bytes int) bool {
	if b.remaining < bytes {
		return false
	}
	b.remaining -= bytes
	b.inFlight.bytes += bytes
	return true
}

func (b *batchBuilder) empty() bool {
	return len(b.groups.list) == 0 && len(b.inFlight.bases) == 0 && len(b.inFlight.slotBases) == 0
}

// addResets requests that the target discard the flows that it holds in slots that
// are newly reported to it. The group has endpoint 0, and its hashes are the bit
// set of the slots.
func (b *batchBuilder) addResets() {
	slotResets := &b.target.slotResets
	if slotResets.empty() {
		return
	}
	if !b.reserve(groupHeaderBytes + hashBytes*len(slotResets)) {
		b.allWithdrawn = false
		return
	}
	group := common.ExceptionGroup{Withdrawn: true}
	for _, word := range slotResets {
		group.Hashes = append(group.Hashes, common.FlowHash(word))
	}
	b.groups.list = append(b.groups.list, group)
	*slotResets = slotSet{}
}

func (b *batchBuilder) addWithdrawals() {
	if !b.allWithdrawn {
		return
	}
	n := 0
	for _, w := range b.target.withdrawals {
		if !b.reserve(b.groups.cost(w.service, w.endpoint, true)) {
			b.allWithdrawn = false
			break
		}
		b.groups.addFlow(w.service, w.endpoint, w.hash, true)
		n++
	}
	b.target.withdrawals = slices.Delete(b.target.withdrawals, 0, n)
}

func (b *batchBuilder) addFlows(now time.Duration) {
	for _, item := range b.shard.queue {
		e := b.shard.table.at(item.position, item.hash)
		state := b.shard.slotOf(item.hash)
		if e == nil || state.target != b.id || !b.shard.needsReport(b.tables, e) {
			continue
		}
		b.blockBase(e)
		lost := state.owner != b.tables.self
		if !b.allWithdrawn || e.has(flagSending) || (!lost && now-e.opened < minReportAge) {
			continue
		}
		if !b.reserve(b.groups.cost(e.service, e.endpoint, false)) {
			continue
		}
		b.groups.add(e.service, e.endpoint, e.hash)
		b.inFlight.flows = append(b.inFlight.flows, batchedFlow{item.position, item.hash, e.endpoint})
		e.flags = e.flags&^flagStale | flagSending
	}
}

// blockBase blocks changes to the base with which the target resolves the flow
// correctly, until the flow is reported.
func (b *batchBuilder) blockBase(e *entry) {
	if b.shard.limits.ablation.eagerBases {
		return
	}
	key := slotBaseKey{e.hash.Slot(), e.service}
	ackedTable := b.target.ackedTable(key)
	if ackedTable == nil || ackedTable.Default(e.hash.Bucket()) != e.endpoint {
		return
	}
	b.blockedBases[key] = true
	if b.target.slotBases[key] == nil {
		b.blockedBases[slotBaseKey{anySlot, e.service}] = true
	}
}

// blockServiceBases blocks changes to the base of a service while the target lacks
// one of its slot bases.
func (b *batchBuilder) blockServiceBases() {
	if b.shard.limits.ablation.eagerBases {
		return
	}
	for key, base := range b.shard.slotBases {
		service := b.tables.service(key.service)
		if service == nil || b.shard.slots[key.slot%shardSlots].target != b.id || base.table.Equal(b.serviceBase(service)) {
			continue
		}
		if acked := b.target.slotBases[key]; acked == nil || !acked.Equal(base.table) {
			b.blockedBases[slotBaseKey{anySlot, key.service}] = true
		}
	}
}

// addBases adds the bases of services that the target needs and does not have.
func (b *batchBuilder) addBases() {
	for _, service := range b.tables.orderedServices() {
		id := service.service.ID
		if !b.target.services[id] || b.blockedBases[slotBaseKey{anySlot, id}] {
			continue
		}
		wanted := b.serviceBase(service)
		if acked := b.target.bases[id]; acked != nil && acked.Equal(wanted) {
			continue
		}
		b.addBase(service, wanted)
	}
}

// addBase adds the base as a reference if it is the current table of the service,
// because the target usually has the same one. Sending the whole endpoint sets of all
// services from each shard to each successor took the entire budget for 15 s after
// each membership change. The size of the whole set is reserved, because a resent
// batch contains it.
func (b *batchBuilder) addBase(service *ServiceTables, wanted *lookup.Table) {
	base := wanted.Base()
	fullBytes := baseHeaderBytes + endpointBytes*len(base.Eligible)
	if !b.reserve(fullBytes) {
		return
	}
	if wanted.Equal(service.table) && fullBytes > referenceBytes {
		base = common.ServiceBase{Service: base.Service, Weights: []uint32{wanted.ID()}}
		b.inFlight.bytes -= fullBytes - referenceBytes
		b.inFlight.savedBytes += fullBytes - referenceBytes
	}
	b.inFlight.batch.Bases = append(b.inFlight.batch.Bases, base)
	b.inFlight.bases[base.Service] = wanted
}

// serviceBase returns the base that the target should use for all slots of the
// service without a slot base. An older base stays in use while slots keep it: a
// slot base for each of thousands of slots would take the entire budget for
// minutes, and flows that are not on the older base are reported as exceptions
// anyway.
func (b *batchBuilder) serviceBase(service *ServiceTables) *lookup.Table {
	if wanted, found := b.serviceBases[service.service.ID]; found {
		return wanted
	}
	wanted := b.commonSlotBase(service)
	b.serviceBases[service.service.ID] = wanted
	return wanted
}

// commonSlotBase returns the base that the target has acknowledged if a slot keeps
// it, otherwise the base that most slots keep, otherwise the current table.
func (b *batchBuilder) commonSlotBase(service *ServiceTables) *lookup.Table {
	id := service.service.ID
	acked := b.target.bases[id]
	mostCommon := service.table
	counts := make(map[uint32]int)
	for key, base := range b.shard.slotBases {
		if key.service != id || b.shard.slots[key.slot%shardSlots].target != b.id {
			continue
		}
		if acked != nil && acked.Equal(base.table) {
			return acked
		}
		tableID := base.table.ID()
		counts[tableID]++
		more := counts[tableID] > counts[mostCommon.ID()]
		if more || (counts[tableID] == counts[mostCommon.ID()] && tableID < mostCommon.ID()) {
			mostCommon = base.table
		}
	}
	return mostCommon
}

// addSlotBases adds the slot bases that the target lacks and the removals of those
// that no longer apply.
func (b *batchBuilder) addSlotBases() {
	var encoder slotBaseEncoder
	for _, key := range b.slotBaseKeys() {
		if b.blockedBases[key] {
			continue
		}
		if base, found := b.shard.slotBases[key]; found {
			if b.reserve(encoder.cost(base.table)) {
				b.inFlight.batch.SlotBases = append(b.inFlight.batch.SlotBases, encoder.encode(key, base.table))
				b.inFlight.slotBases[key] = base.table
			}
			continue
		}
		if b.reserve(slotBytes + baseHeaderBytes) {
			removal := common.SlotBase{Slot: key.slot, Base: common.ServiceBase{Service: key.service}}
			b.inFlight.batch.SlotBases = append(b.inFlight.batch.SlotBases, removal)
			b.inFlight.slotBases[key] = nil
		}
	}
}

// slotBaseKeys returns the sorted keys of the slot bases that the target lacks, has
// with another table or must remove.
func (b *batchBuilder) slotBaseKeys() []slotBaseKey {
	var keys []slotBaseKey
	for key, base := range b.shard.slotBases {
		if b.shard.slots[key.slot%shardSlots].target != b.id || b.tables.service(key.service) == nil {
			continue
		}
		ackedTable := b.target.ackedTable(key)
		if ackedTable != nil && ackedTable.Equal(base.table) && !b.serviceBaseChanging(key) {
			continue
		}
		keys = append(keys, key)
	}
	for key := range b.target.slotBases {
		if _, found := b.shard.slotBases[key]; !found {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareSlotBaseKeys)
	return keys
}

// serviceBaseChanging reports whether the target resolves the slot with the base
// of the service and that base is about to change.
func (b *batchBuilder) serviceBaseChanging(key slotBaseKey) bool {
	if b.target.slotBases[key] != nil {
		return false
	}
	acked := b.target.bases[key.service]
	return acked == nil || !acked.Equal(b.serviceBase(b.tables.service(key.service)))
}

// finish completes the batch, subtracts its size from the budget and makes it the
// batch in flight.
func (b *batchBuilder) finish(now time.Duration, sequence uint64, budget *Budget) *common.ReplicationBatch {
	b.inFlight.bytes += batchHeaderBytes
	budget.Bytes -= b.inFlight.bytes
	b.inFlight.sentAt = now
	b.inFlight.batch.Target = b.id
	b.inFlight.batch.Source = b.tables.self
	b.inFlight.batch.SourceIncarnation = b.tables.Incarnation()
	b.inFlight.batch.Sequence = sequence
	b.inFlight.batch.Exceptions = b.groups.list
	b.target.inFlight = b.inFlight
	return &b.inFlight.batch
}

// exceptionGroups groups reported and withdrawn flows by service and endpoint.
type exceptionGroups struct {
	list []common.ExceptionGroup
}

// find returns the index of the group, or -1 if there is none.
func (g *exceptionGroups) find(service common.ServiceID, endpoint common.EndpointID, withdrawn bool) int {
	return slices.IndexFunc(g.list, func(group common.ExceptionGroup) bool {
		return group.Service == service && group.Endpoint == endpoint && group.Withdrawn == withdrawn
	})
}

// cost returns the number of bytes by which one more flow extends the batch.
func (g *exceptionGroups) cost(service common.ServiceID, endpoint common.EndpointID, withdrawn bool) int {
	if g.find(service, endpoint, withdrawn) < 0 {
		return groupHeaderBytes + hashBytes
	}
	return hashBytes
}

// add adds a reported flow.
func (g *exceptionGroups) add(service common.ServiceID, endpoint common.EndpointID, hash common.FlowHash) {
	g.addFlow(service, endpoint, hash, false)
}

// addFlow adds a reported or withdrawn flow to its group.
func (g *exceptionGroups) addFlow(service common.ServiceID, endpoint common.EndpointID, hash common.FlowHash, withdrawn bool) {
	at := g.find(service, endpoint, withdrawn)
	if at < 0 {
		at = len(g.list)
		g.list = append(g.list, common.ExceptionGroup{Service: service, Endpoint: endpoint, Withdrawn: withdrawn})
	}
	g.list[at].Hashes = append(g.list[at].Hashes, hash)
}

// slotBaseEncoder encodes each set of endpoints once in a batch. Later slot bases
// with the same set are references: they have no endpoints, and their only weight
// is the ID of the table.
type slotBaseEncoder struct {
	written []*lookup.Table
}

func (c *slotBaseEncoder) has(table *lookup.Table) bool {
	return slices.ContainsFunc(c.written, table.Equal)
}

// cost returns the encoded size of a slot base with the table in bytes.
func (c *slotBaseEncoder) cost(table *lookup.Table) int {
	if c.has(table) {
		return slotBytes + referenceBytes
	}
	return slotBytes + baseHeaderBytes + endpointBytes*len(table.Base().Eligible)
}

func (c *slotBaseEncoder) encode(key slotBaseKey, table *lookup.Table) common.SlotBase {
	if c.has(table) {
		reference := common.ServiceBase{Service: key.service, Weights: []uint32{table.ID()}}
		return common.SlotBase{Slot: key.slot, Base: reference}
	}
	c.written = append(c.written, table)
	return common.SlotBase{Slot: key.slot, Base: table.Base()}
}

func compareSlotBaseKeys(a, b slotBaseKey) int {
	return cmp.Or(cmp.Compare(a.slot, b.slot), cmp.Compare(a.service, b.service))
}
