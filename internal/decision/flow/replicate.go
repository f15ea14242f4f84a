package flow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

const (
	// leastAge keeps short flows out of the reports: most end before it.
	leastAge = 2 * time.Second
	// resendAfter is when a batch without acknowledgement is sent again.
	resendAfter = 500 * time.Millisecond
	// defaultBatchBytes leaves room for the headers in a datagram of 1,200
	// bytes.
	defaultBatchBytes = 1100

	// Encoded sizes in a datagram that carries the batches of several shards. An
	// estimate that is too high leaves most of a small budget unused.
	batchBytes     = 10
	groupBytes     = 11
	hashBytes      = 8
	baseBytes      = 9
	endpointBytes  = 4
	slotBytes      = 6
	referenceBytes = 14
)

// Budget bounds what one round of TakeReplication may send. Shards subtract
// what they use.
type Budget struct {
	// Bytes is the number of bytes left.
	Bytes int
	// MaxBatchBytes bounds one batch; 0 is 1,100.
	MaxBatchBytes int
}

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

// ShardOfSequence returns the shard that a batch came from and goes to. Batches
// with sequence 0 answer a pull and go to all shards.
func ShardOfSequence(sequence uint64) int {
	return int(sequence % Shards)
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

// needsReport reports whether the target of the flow's slot could resolve it to
// a wrong endpoint.
func (s *Shard) needsReport(t *Tables, e *entry) bool {
	state := s.slot(e.hash)
	if state.target == 0 || state.target == t.self || e.has(flagHeld|flagReported) || s.limits.ablation.noExceptions {
		return false
	}
	if state.owner != t.self && (e.has(flagReset) || s.reportedByFormer(t, state, e)) {
		return false
	}
	if e.has(flagStale | flagSending) {
		return true
	}
	service := t.service(e.service)
	if service == nil {
		return false
	}
	if state.owner != t.self && e.opened >= state.lost-leastAge {
		// The new owner may have taken the base before this flow was opened.
		return true
	}
	if state.owner != t.self && service.table.Default(e.hash.Bucket()) != e.endpoint {
		// After a partition the owner did not get the slot from this instance
		// and does not use its base.
		return true
	}
	key := slotService{e.hash.Slot(), e.service}
	bucket := e.hash.Bucket()
	if s.wantedBase(service, key).Default(bucket) != e.endpoint {
		return true
	}
	g := s.slotTarget(state)
	return differs(g.acked(key), bucket, e.endpoint) || differs(g.underWay(key), bucket, e.endpoint)
}

// reportedByFormer reports whether the owner before this instance still has the
// flow and reports it to the present owner itself. What this instance was told
// about it may be older.
func (s *Shard) reportedByFormer(t *Tables, state *slotState, e *entry) bool {
	return e.has(flagNoTuple) && state.former != 0 && state.lost-state.gained < handover && t.relaysFor(state.former)
}

func differs(table *lookup.Table, bucket uint8, endpoint common.EndpointID) bool {
	return table != nil && table.Default(bucket) != endpoint
}

// enqueue adds the flow to the queue if it needs a report.
func (s *Shard) enqueue(t *Tables, e *entry) {
	if e.has(flagQueued) || !s.needsReport(t, e) {
		return
	}
	e.flags |= flagQueued
	s.queue = append(s.queue, queued{s.table.position(e), e.hash, e.opened})
	s.slotTarget(s.slot(e.hash)).services[e.service] = true
}

// withdraw tells the target that a reported flow has ended.
func (s *Shard) withdraw(e *entry) {
	state := s.slot(e.hash)
	if !e.has(reportedFlags) || state.owner != s.tables.self {
		return
	}
	if g := s.slotTarget(state); g != nil {
		g.withdrawals = append(g.withdrawals, withdrawal{e.service, e.endpoint, e.hash})
	}
}

// rebuildQueue finds all flows that need a report: flows of lost slots first,
// then the oldest.
func (s *Shard) rebuildQueue(t *Tables) {
	s.rebuild = false
	s.queue = s.queue[:0]
	for _, g := range s.targets {
		clear(g.services)
	}
	s.needServices(t)
	for i := range s.table.entries {
		e := &s.table.entries[i]
		if !e.has(flagUsed) || e.has(flagHeld) {
			continue
		}
		e.flags &^= flagQueued
		if s.needsReport(t, e) {
			e.flags |= flagQueued
			s.queue = append(s.queue, queued{uint32(i), e.hash, s.orderOf(t, e)})
			s.slotTarget(s.slot(e.hash)).services[e.service] = true
		}
	}
	slices.SortFunc(s.queue, func(a, b queued) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.hash, b.hash))
	})
	s.forgetTargets(t)
}

// needServices notes that the successor of an owned slot needs all bases.
func (s *Shard) needServices(t *Tables) {
	for local := range s.slots {
		state := &s.slots[local]
		if state.owner != t.self || state.target == 0 {
			continue
		}
		g := s.slotTarget(state)
		if len(g.services) == len(t.services) {
			continue
		}
		for id := range t.services {
			g.services[id] = true
		}
	}
}

// orderOf returns the key that the queue is sorted by.
func (s *Shard) orderOf(t *Tables, e *entry) time.Duration {
	if s.slot(e.hash).owner != t.self {
		return e.opened - math.MaxInt64/2
	}
	return e.opened
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

// TakeReplication returns the updates that are due for other instances, within
// the budget. A batch that is not acknowledged is returned again later.
func (s *Shard) TakeReplication(t *Tables, now time.Duration, budget *Budget) []common.ReplicationBatch {
	if s.rebuild {
		s.rebuildQueue(t)
	}
	s.compactQueue(t)
	var batches []common.ReplicationBatch
	ids := s.targetIDs()
	for i := range ids {
		id := ids[(i+s.turn)%len(ids)]
		if batch := s.takeFor(t, id, now, budget); batch != nil {
			batches = append(batches, *batch)
		}
	}
	s.turn++
	return batches
}

func (s *Shard) targetIDs() []common.InstanceID {
	ids := make([]common.InstanceID, 0, len(s.targets))
	for id := range s.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// compactQueue drops flows that ended or need no report any more.
func (s *Shard) compactQueue(t *Tables) {
	kept := s.queue[:0]
	for _, item := range s.queue {
		e := s.table.at(item.position, item.hash)
		if e == nil || !e.has(flagQueued) {
			continue
		}
		if !s.needsReport(t, e) {
			e.flags &^= flagQueued
			continue
		}
		kept = append(kept, item)
	}
	s.queue = kept
}

func (s *Shard) takeFor(t *Tables, id common.InstanceID, now time.Duration, budget *Budget) *common.ReplicationBatch {
	g := s.targets[id]
	if g.sent != nil {
		return s.resend(t, g, now, budget)
	}
	b := newBuilder(s, t, id, g, budget)
	b.addResets()
	b.addWithdrawals()
	b.addFlows(now)
	b.addSlotBases()
	b.waitForSlotBases()
	b.addBases()
	if b.empty() {
		return nil
	}
	s.sequence++
	return b.finish(now, s.sequence*Shards+uint64(s.index), budget)
}

func (s *Shard) resend(t *Tables, g *target, now time.Duration, budget *Budget) *common.ReplicationBatch {
	if now-g.sent.at < resendAfter || g.sent.bytes > budget.Bytes {
		return nil
	}
	g.sent.at = now
	g.sent.expand()
	g.sent.batch.SourceIncarnation = t.Incarnation()
	budget.Bytes -= g.sent.bytes
	return &g.sent.batch
}

// expand lists the sets that the batch named by their number: the target may not
// have them.
func (b *sentBatch) expand() {
	b.bytes += b.saved
	b.saved = 0
	for i := range b.batch.Bases {
		if base := &b.batch.Bases[i]; isReference(base) {
			*base = b.bases[base.Service].Base()
		}
	}
}

// AckReplication notes that the target holds the batch with this sequence. It
// ignores sequences of other shards and of batches that are not under way.
func (s *Shard) AckReplication(id common.InstanceID, sequence uint64) {
	g := s.targets[id]
	if g == nil || g.sent == nil || g.sent.batch.Sequence != sequence {
		return
	}
	sent := g.sent
	g.sent = nil
	for service, table := range sent.bases {
		g.bases[service] = table
		s.rebuild = true
	}
	for key, table := range sent.slotBases {
		s.rebuild = true
		if table == nil {
			delete(g.slotBases, key)
			continue
		}
		g.slotBases[key] = table
	}
	for _, flow := range sent.flows {
		s.ackFlow(id, flow)
	}
}

func (s *Shard) ackFlow(id common.InstanceID, flow sentFlow) {
	e := s.table.at(flow.position, flow.hash)
	if e == nil || !e.has(flagSending) || s.slot(e.hash).target != id {
		return
	}
	e.flags &^= flagSending
	if e.has(flagStale) || e.endpoint != flow.endpoint {
		// The flow changed after the batch was made.
		e.flags |= flagStale
		return
	}
	e.flags |= flagReported
}

// pending returns the number of updates that no target has acknowledged.
func (s *Shard) pending() int {
	n := len(s.queue)
	for _, g := range s.targets {
		n += len(g.withdrawals)
	}
	return n
}

// PullReplication returns the state of the slots that the joiner owns in the
// future tables.
func (s *Shard) PullReplication(t, future *Tables, joiner common.InstanceID) common.ReplicationBatch {
	batch := common.ReplicationBatch{
		Target: joiner, Source: t.self, SourceIncarnation: t.Incarnation(),
	}
	slots := s.slotsFor(t, future, joiner)
	if slots.empty() {
		return batch
	}
	for _, service := range t.sortedServices() {
		batch.Bases = append(batch.Bases, service.table.Base())
	}
	batch.SlotBases = s.pulledSlotBases(t, &slots)
	batch.Exceptions = s.pulledFlows(t, &slots)
	return batch
}

// slotsFor returns the slots that this instance owns and the joiner will own.
func (s *Shard) slotsFor(t, future *Tables, joiner common.InstanceID) slotSet {
	var slots slotSet
	for local := range s.slots {
		if moves(t, future, joiner, s.number(local)) {
			slots.add(local)
		}
	}
	return slots
}

func (s *Shard) pulledSlotBases(t *Tables, slots *slotSet) []common.SlotBase {
	var keys []slotService
	for key := range s.slotBases {
		if slots.has(int(key.slot%shardSlots)) && t.service(key.service) != nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareSlotService)
	var bases []common.SlotBase
	var described slotBaseEncoder
	for _, key := range keys {
		base := s.slotBases[key].table
		if !base.Same(t.service(key.service).table) {
			bases = append(bases, described.encode(key, base))
		}
	}
	return bases
}

func (s *Shard) pulledFlows(t *Tables, slots *slotSet) []common.ExceptionGroup {
	var groups exceptionGroups
	for i := range s.table.entries {
		e := &s.table.entries[i]
		if !e.has(flagUsed) || e.has(flagHeld) || !slots.has(localSlot(e.hash)) {
			continue
		}
		service := t.service(e.service)
		if service == nil {
			continue
		}
		base := s.wantedBase(service, slotService{e.hash.Slot(), e.service})
		if base.Default(e.hash.Bucket()) != e.endpoint {
			groups.add(e.service, e.endpoint, e.hash)
		}
	}
	return groups.list
}
