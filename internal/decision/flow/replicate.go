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
	// minReportAge is the age from which the owner reports flows. Most short flows
	// end before it and need no report.
	minReportAge = 2 * time.Second
	// resendInterval is the interval after which an unacknowledged batch is resent.
	resendInterval = 500 * time.Millisecond
	// defaultBatchBytes leaves room for the headers in a datagram of 1,200
	// bytes.
	defaultBatchBytes = 1100

	// Encoded sizes, in bytes, in a datagram that carries the batches of several
	// shards. An estimate that is too high leaves most of a small budget unused.
	batchHeaderBytes = 10
	groupHeaderBytes = 11
	hashBytes        = 8
	baseHeaderBytes  = 9
	endpointBytes    = 4
	slotBytes        = 6
	referenceBytes   = 14
)

// Budget limits the bytes that one round of TakeReplication may send. Each shard
// subtracts the bytes that it uses.
type Budget struct {
	// Bytes is the number of bytes left.
	Bytes int
	// MaxBatchBytes is the maximum size of one batch in bytes; 0 means 1,100.
	MaxBatchBytes int
}

// ShardOfSequence returns the number of the shard that sent the batch with this
// sequence, which is also the number of the shard that must receive it. It does not
// apply to sequence 0: such a batch is the response to a pull and goes to all shards.
func ShardOfSequence(sequence uint64) int {
	return int(sequence % Shards)
}

// needsReport reports whether the target of the flow's slot could resolve the flow
// to a wrong endpoint and must receive its exception.
func (s *Shard) needsReport(t *Tables, e *entry) bool {
	state := s.slotOf(e.hash)
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
	if state.owner != t.self && e.opened >= state.lost-minReportAge {
		// The new owner may have received the base before this flow was opened.
		return true
	}
	if state.owner != t.self && service.table.Default(e.hash.Bucket()) != e.endpoint {
		// After a partition the owner did not gain the slot from this instance
		// and does not use its base.
		return true
	}
	key := slotBaseKey{e.hash.Slot(), e.service}
	bucket := e.hash.Bucket()
	if s.ownedSlotBase(service, key).Default(bucket) != e.endpoint {
		return true
	}
	rt := s.slotTarget(state)
	return resolvesDifferently(rt.ackedTable(key), bucket, e.endpoint) || resolvesDifferently(rt.inFlightTable(key), bucket, e.endpoint)
}

// reportedByFormer reports whether the owner before this instance still has the
// flow and reports it to the current owner itself. The endpoint that this instance
// received may be older.
func (s *Shard) reportedByFormer(t *Tables, state *slotState, e *entry) bool {
	return e.has(flagNoTuple) && state.formerOwner != 0 && state.lost-state.gained < handoverPeriod && t.acceptsRelays(state.formerOwner)
}

// resolvesDifferently reports whether the table, if any, has another default
// endpoint for the bucket.
func resolvesDifferently(table *lookup.Table, bucket uint8, endpoint common.EndpointID) bool {
	return table != nil && table.Default(bucket) != endpoint
}

// enqueue adds the flow to the queue if it needs a report.
func (s *Shard) enqueue(t *Tables, e *entry) {
	if e.has(flagQueued) || !s.needsReport(t, e) {
		return
	}
	e.flags |= flagQueued
	s.queue = append(s.queue, queuedFlow{s.table.position(e), e.hash, e.opened})
	s.slotTarget(s.slotOf(e.hash)).services[e.service] = true
}

// withdraw adds a withdrawal for a flow in an owned slot that was reported and has
// ended.
func (s *Shard) withdraw(e *entry) {
	state := s.slotOf(e.hash)
	if !e.has(reportedFlags) || state.owner != s.tables.self {
		return
	}
	if rt := s.slotTarget(state); rt != nil {
		rt.withdrawals = append(rt.withdrawals, withdrawal{e.service, e.endpoint, e.hash})
	}
}

// rebuildQueue fills the queue with all flows that need a report: first those of
// lost slots, then the others, each part with the oldest flow first.
func (s *Shard) rebuildQueue(t *Tables) {
	s.queueStale = false
	s.queue = s.queue[:0]
	for _, rt := range s.targets {
		clear(rt.services)
	}
	s.requireAllServices(t)
	for i := range s.table.entries {
		e := &s.table.entries[i]
		if !e.has(flagUsed) || e.has(flagHeld) {
			continue
		}
		e.flags &^= flagQueued
		if s.needsReport(t, e) {
			e.flags |= flagQueued
			s.queue = append(s.queue, queuedFlow{uint32(i), e.hash, s.sortKeyOf(t, e)})
			s.slotTarget(s.slotOf(e.hash)).services[e.service] = true
		}
	}
	slices.SortFunc(s.queue, func(a, b queuedFlow) int {
		return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.hash, b.hash))
	})
	s.dropUnneededTargets(t)
}

// requireAllServices marks the bases of all services as needed by the successors
// of owned slots.
func (s *Shard) requireAllServices(t *Tables) {
	for local := range s.slots {
		state := &s.slots[local]
		if state.owner != t.self || state.target == 0 {
			continue
		}
		rt := s.slotTarget(state)
		if len(rt.services) == len(t.services) {
			continue
		}
		for id := range t.services {
			rt.services[id] = true
		}
	}
}

// sortKeyOf returns the value of queuedFlow.sortKey for the flow.
func (s *Shard) sortKeyOf(t *Tables, e *entry) time.Duration {
	if s.slotOf(e.hash).owner != t.self {
		return e.opened - math.MaxInt64/2
	}
	return e.opened
}

// TakeReplication returns the batches that are due, at most one for each target,
// and subtracts their size from the budget. An unacknowledged batch is resent after
// resendInterval.
func (s *Shard) TakeReplication(t *Tables, now time.Duration, budget *Budget) []common.ReplicationBatch {
	if s.queueStale {
		s.rebuildQueue(t)
	}
	s.compactQueue(t)
	var batches []common.ReplicationBatch
	ids := s.targetIDs()
	for i := range ids {
		id := ids[(i+s.round)%len(ids)]
		if batch := s.nextBatch(t, id, now, budget); batch != nil {
			batches = append(batches, *batch)
		}
	}
	s.round++
	return batches
}

// compactQueue removes flows that ended or no longer need a report.
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

// nextBatch returns the batch that is due for the target, or nil.
func (s *Shard) nextBatch(t *Tables, id common.InstanceID, now time.Duration, budget *Budget) *common.ReplicationBatch {
	rt := s.targets[id]
	if rt.inFlight != nil {
		return s.resend(t, rt, now, budget)
	}
	b := newBatchBuilder(s, t, id, rt, budget)
	b.addResets()
	b.addWithdrawals()
	b.addFlows(now)
	b.addSlotBases()
	b.blockServiceBases()
	b.addBases()
	if b.empty() {
		return nil
	}
	s.sequence++
	return b.finish(now, s.sequence*Shards+uint64(s.index), budget)
}

// resend returns the batch in flight if the resend interval has passed and the
// budget allows it, otherwise nil.
func (s *Shard) resend(t *Tables, rt *target, now time.Duration, budget *Budget) *common.ReplicationBatch {
	if now-rt.inFlight.sentAt < resendInterval || rt.inFlight.bytes > budget.Bytes {
		return nil
	}
	rt.inFlight.sentAt = now
	rt.inFlight.expandReferences()
	rt.inFlight.batch.SourceIncarnation = t.Incarnation()
	budget.Bytes -= rt.inFlight.bytes
	return &rt.inFlight.batch
}

// expandReferences replaces the references among the service bases by the whole sets
// of endpoints, because the target may not have the tables.
func (b *inFlightBatch) expandReferences() {
	b.bytes += b.savedBytes
	b.savedBytes = 0
	for i := range b.batch.Bases {
		if base := &b.batch.Bases[i]; isReference(base) {
			*base = b.bases[base.Service].Base()
		}
	}
}

// AckReplication records that the instance acknowledged the batch with this
// sequence. It ignores sequences of other shards and of batches that are not in
// flight.
func (s *Shard) AckReplication(id common.InstanceID, sequence uint64) {
	rt := s.targets[id]
	if rt == nil || rt.inFlight == nil || rt.inFlight.batch.Sequence != sequence {
		return
	}
	inFlight := rt.inFlight
	rt.inFlight = nil
	for service, table := range inFlight.bases {
		rt.bases[service] = table
		s.queueStale = true
	}
	for key, table := range inFlight.slotBases {
		s.queueStale = true
		if table == nil {
			delete(rt.slotBases, key)
			continue
		}
		rt.slotBases[key] = table
	}
	for _, flow := range inFlight.flows {
		s.ackFlow(id, flow)
	}
}

// ackFlow marks a flow of an acknowledged batch as reported, or as stale if it
// changed in the meantime.
func (s *Shard) ackFlow(id common.InstanceID, flow batchedFlow) {
	e := s.table.at(flow.position, flow.hash)
	if e == nil || !e.has(flagSending) || s.slotOf(e.hash).target != id {
		return
	}
	e.flags &^= flagSending
	if e.has(flagStale) || e.endpoint != flow.endpoint {
		// The flow changed after the batch was built.
		e.flags |= flagStale
		return
	}
	e.flags |= flagReported
}

// pending returns the number of flows whose report is not acknowledged and of
// withdrawals that are not sent yet.
func (s *Shard) pending() int {
	n := len(s.queue)
	for _, rt := range s.targets {
		n += len(rt.withdrawals)
	}
	return n
}
