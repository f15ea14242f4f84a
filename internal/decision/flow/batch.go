package flow

import (
	"cmp"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// builder collects one batch for one target.
type builder struct {
	shard  *Shard
	tables *Tables
	id     common.InstanceID
	target *target
	sent   *sentBatch
	room   int
	groups exceptionGroups
	// complete is false when withdrawals are left for the next batch. Flows
	// then wait: a withdrawal must not follow a newer report of the same hash.
	complete bool
	// waiting holds the bases that cannot change yet because a flow that the
	// target resolves with the present one is not acknowledged.
	waiting map[slotService]bool
	// serviceBases caches the results of serviceBase.
	serviceBases map[common.ServiceID]*lookup.Table
}

// anySlot marks the base of a service in all slots without their own.
const anySlot = common.Slots

func newBuilder(s *Shard, t *Tables, id common.InstanceID, g *target, budget *Budget) *builder {
	limit := budget.MaxBatchBytes
	if limit == 0 {
		limit = defaultBatchBytes
	}
	return &builder{
		shard: s, tables: t, id: id, target: g,
		sent: &sentBatch{
			bases:     make(map[common.ServiceID]*lookup.Table),
			slotBases: make(map[slotService]*lookup.Table),
		},
		room:         min(limit, budget.Bytes) - batchBytes,
		complete:     true,
		waiting:      make(map[slotService]bool),
		serviceBases: make(map[common.ServiceID]*lookup.Table),
	}
}

// use takes room for the bytes and reports whether there was enough.
func (b *builder) use(bytes int) bool {
	if b.room < bytes {
		return false
	}
	b.room -= bytes
	b.sent.bytes += bytes
	return true
}

func (b *builder) empty() bool {
	return len(b.groups.list) == 0 && len(b.sent.bases) == 0 && len(b.sent.slotBases) == 0
}

// addResets tells the target to forget what it holds of slots that are newly
// reported to it. The group names no endpoint; its hashes are a bit set.
func (b *builder) addResets() {
	resets := &b.target.resets
	if resets.empty() {
		return
	}
	if !b.use(groupBytes + hashBytes*len(resets)) {
		b.complete = false
		return
	}
	group := common.ExceptionGroup{Withdrawn: true}
	for _, word := range resets {
		group.Hashes = append(group.Hashes, common.FlowHash(word))
	}
	b.groups.list = append(b.groups.list, group)
	*resets = slotSet{}
}

func (b *builder) addWithdrawals() {
	if !b.complete {
		return
	}
	n := 0
	for _, w := range b.target.withdrawals {
		if !b.use(b.groups.cost(w.service, w.endpoint, true)) {
			b.complete = false
			break
		}
		b.groups.addTo(w.service, w.endpoint, w.hash, true)
		n++
	}
	b.target.withdrawals = slices.Delete(b.target.withdrawals, 0, n)
}

func (b *builder) addFlows(now time.Duration) {
	for _, item := range b.shard.queue {
		e := b.shard.table.at(item.position, item.hash)
		state := b.shard.slot(item.hash)
		if e == nil || state.target != b.id || !b.shard.needsReport(b.tables, e) {
			continue
		}
		b.wait(e)
		lost := state.owner != b.tables.self
		if !b.complete || e.has(flagSending) || (!lost && now-e.opened < leastAge) {
			continue
		}
		if !b.use(b.groups.cost(e.service, e.endpoint, false)) {
			continue
		}
		b.groups.add(e.service, e.endpoint, e.hash)
		b.sent.flows = append(b.sent.flows, sentFlow{item.position, item.hash, e.endpoint})
		e.flags = e.flags&^flagStale | flagSending
	}
}

// wait keeps the base with which the target resolves this flow.
func (b *builder) wait(e *entry) {
	if b.shard.limits.ablation.eagerBases {
		return
	}
	key := slotService{e.hash.Slot(), e.service}
	acked := b.target.acked(key)
	if acked == nil || acked.Default(e.hash.Bucket()) != e.endpoint {
		return
	}
	b.waiting[key] = true
	if b.target.slotBases[key] == nil {
		b.waiting[slotService{anySlot, e.service}] = true
	}
}

// waitForSlotBases keeps the bases of services while the target lacks the base
// of a slot that keeps an older one.
func (b *builder) waitForSlotBases() {
	if b.shard.limits.ablation.eagerBases {
		return
	}
	for key, base := range b.shard.slotBases {
		service := b.tables.service(key.service)
		if service == nil || b.shard.slots[key.slot%shardSlots].target != b.id || base.table.Equal(b.serviceBase(service)) {
			continue
		}
		if acked := b.target.slotBases[key]; acked == nil || !acked.Equal(base.table) {
			b.waiting[slotService{anySlot, key.service}] = true
		}
	}
}

func (b *builder) addBases() {
	for _, service := range b.tables.sortedServices() {
		id := service.service.ID
		if !b.target.services[id] || b.waiting[slotService{anySlot, id}] {
			continue
		}
		wanted := b.serviceBase(service)
		if acked := b.target.bases[id]; acked != nil && acked.Equal(wanted) {
			continue
		}
		b.addBase(service, wanted)
	}
}

// addBase names the present table by its number, because the target usually has
// the same one: the sets of all services for each shard and successor took 15 s of
// the budget after each change of membership. Room is kept for the whole set, which
// a batch without acknowledgement is sent again with.
func (b *builder) addBase(service *ServiceTables, wanted *lookup.Table) {
	base := wanted.Base()
	whole := baseBytes + endpointBytes*len(base.Eligible)
	if !b.use(whole) {
		return
	}
	if wanted.Equal(service.table) && whole > referenceBytes {
		base = common.ServiceBase{Service: base.Service, Weights: []uint32{wanted.ID()}}
		b.sent.bytes -= whole - referenceBytes
		b.sent.saved += whole - referenceBytes
	}
	b.sent.batch.Bases = append(b.sent.batch.Bases, base)
	b.sent.bases[base.Service] = wanted
}

// serviceBase returns the base that the target should have for all slots of the
// service without their own. While slots keep an older base, that one stays: a
// base for each of thousands of slots would take minutes of the budget, and the
// flows that are not on the older base are reported as exceptions anyway.
func (b *builder) serviceBase(service *ServiceTables) *lookup.Table {
	if wanted, found := b.serviceBases[service.service.ID]; found {
		return wanted
	}
	wanted := b.commonSlotBase(service)
	b.serviceBases[service.service.ID] = wanted
	return wanted
}

// commonSlotBase returns the base that the target has if a slot keeps it, else
// the one that most slots keep, else the present table.
func (b *builder) commonSlotBase(service *ServiceTables) *lookup.Table {
	id := service.service.ID
	acked := b.target.bases[id]
	most := service.table
	counts := make(map[uint32]int)
	for key, base := range b.shard.slotBases {
		if key.service != id || b.shard.slots[key.slot%shardSlots].target != b.id {
			continue
		}
		if acked != nil && acked.Equal(base.table) {
			return acked
		}
		number := base.table.ID()
		counts[number]++
		more := counts[number] > counts[most.ID()]
		if more || (counts[number] == counts[most.ID()] && number < most.ID()) {
			most = base.table
		}
	}
	return most
}

// addSlotBases reports the bases of single slots, and their end.
func (b *builder) addSlotBases() {
	var encoder slotBaseEncoder
	for _, key := range b.slotBaseKeys() {
		if b.waiting[key] {
			continue
		}
		if base, found := b.shard.slotBases[key]; found {
			if b.use(encoder.cost(base.table)) {
				b.sent.batch.SlotBases = append(b.sent.batch.SlotBases, encoder.encode(key, base.table))
				b.sent.slotBases[key] = base.table
			}
			continue
		}
		if b.use(slotBytes + baseBytes) {
			end := common.SlotBase{Slot: key.slot, Base: common.ServiceBase{Service: key.service}}
			b.sent.batch.SlotBases = append(b.sent.batch.SlotBases, end)
			b.sent.slotBases[key] = nil
		}
	}
}

// slotBaseKeys returns the slot bases that the target does not have as they
// are here.
func (b *builder) slotBaseKeys() []slotService {
	var keys []slotService
	for key, base := range b.shard.slotBases {
		if b.shard.slots[key.slot%shardSlots].target != b.id || b.tables.service(key.service) == nil {
			continue
		}
		acked := b.target.acked(key)
		if acked != nil && acked.Equal(base.table) && !b.baseMoves(key) {
			continue
		}
		keys = append(keys, key)
	}
	for key := range b.target.slotBases {
		if _, found := b.shard.slotBases[key]; !found {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareSlotService)
	return keys
}

// baseMoves reports whether the target resolves the slot with the service's
// base and that base is about to change.
func (b *builder) baseMoves(key slotService) bool {
	if b.target.slotBases[key] != nil {
		return false
	}
	acked := b.target.bases[key.service]
	return acked == nil || !acked.Equal(b.serviceBase(b.tables.service(key.service)))
}

func (b *builder) finish(now time.Duration, sequence uint64, budget *Budget) *common.ReplicationBatch {
	b.sent.bytes += batchBytes
	budget.Bytes -= b.sent.bytes
	b.sent.at = now
	b.sent.batch.Target = b.id
	b.sent.batch.Source = b.tables.self
	b.sent.batch.SourceIncarnation = b.tables.Incarnation()
	b.sent.batch.Sequence = sequence
	b.sent.batch.Exceptions = b.groups.list
	b.target.sent = b.sent
	return &b.sent.batch
}

// exceptionGroups collects flows by service and endpoint.
type exceptionGroups struct {
	list []common.ExceptionGroup
}

func (g *exceptionGroups) find(service common.ServiceID, endpoint common.EndpointID, withdrawn bool) int {
	return slices.IndexFunc(g.list, func(group common.ExceptionGroup) bool {
		return group.Service == service && group.Endpoint == endpoint && group.Withdrawn == withdrawn
	})
}

// cost returns the bytes that one more flow takes.
func (g *exceptionGroups) cost(service common.ServiceID, endpoint common.EndpointID, withdrawn bool) int {
	if g.find(service, endpoint, withdrawn) < 0 {
		return groupBytes + hashBytes
	}
	return hashBytes
}

func (g *exceptionGroups) add(service common.ServiceID, endpoint common.EndpointID, hash common.FlowHash) {
	g.addTo(service, endpoint, hash, false)
}

func (g *exceptionGroups) addTo(service common.ServiceID, endpoint common.EndpointID, hash common.FlowHash, withdrawn bool) {
	at := g.find(service, endpoint, withdrawn)
	if at < 0 {
		at = len(g.list)
		g.list = append(g.list, common.ExceptionGroup{Service: service, Endpoint: endpoint, Withdrawn: withdrawn})
	}
	g.list[at].Hashes = append(g.list[at].Hashes, hash)
}

// slotBaseEncoder writes each set of a batch once. Later slot bases with the
// same set name it by its number: they have no endpoints and the number as
// their only weight.
type slotBaseEncoder struct {
	written []*lookup.Table
}

func (c *slotBaseEncoder) has(table *lookup.Table) bool {
	return slices.ContainsFunc(c.written, table.Equal)
}

func (c *slotBaseEncoder) cost(table *lookup.Table) int {
	if c.has(table) {
		return slotBytes + referenceBytes
	}
	return slotBytes + baseBytes + endpointBytes*len(table.Base().Eligible)
}

func (c *slotBaseEncoder) encode(key slotService, table *lookup.Table) common.SlotBase {
	if c.has(table) {
		reference := common.ServiceBase{Service: key.service, Weights: []uint32{table.ID()}}
		return common.SlotBase{Slot: key.slot, Base: reference}
	}
	c.written = append(c.written, table)
	return common.SlotBase{Slot: key.slot, Base: table.Base()}
}

func compareSlotService(a, b slotService) int {
	return cmp.Or(cmp.Compare(a.slot, b.slot), cmp.Compare(a.service, b.service))
}
