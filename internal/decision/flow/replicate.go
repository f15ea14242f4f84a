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
	minReportAge = 2 * time.Second
	// resendAfter is when a batch without acknowledgement is sent again.
	resendInterval = 500 * time.Millisecond
	// defaultBatchBytes leaves room for the headers in a datagram of 1,200
	// bytes.
	defaultBatchBytes = 1100

	// Encoded sizes in a datagram that carries the batches of several shards. An
	// estimate that is too high leaves most of a small budget unused.
	batchHeaderBytes = 10
	groupHeaderBytes = 11
	hashBytes        = 8
	baseHeaderBytes  = 9
	endpointBytes    = 4
	slotBytes        = 6
	referenceBytes   = 14
)

// Budget bounds what one round of TakeReplication may send. Shards subtract
// what they use.
type Budget struct {
	// Bytes is the number of bytes left.
	Bytes int
	// MaxBatchBytes bounds one batch; 0 is 1,100.
	MaxBatchBytes int
}

// ShardOfSequence returns the shard that a batch came from and goes to. Batches
// with sequence 0 answer a pull and go to all shards.
func ShardOfSequence(sequence uint64) int {
	return int(sequence % Shards)
}

// needsReport reports whether the target of the flow's slot could resolve it to
// a wrong endpoint.
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
		// The new owner may have taken the base before this flow was opened.
		return true
	}
	if state.owner != t.self && service.table.Default(e.hash.Bucket()) != e.endpoint {
		// After a partition the owner did not get the slot from this instance
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
// flow and reports it to the present owner itself. What this instance was told
// about it may be older.
func (s *Shard) reportedByFormer(t *Tables, state *slotState, e *entry) bool {
	return e.has(flagNoTuple) && state.formerOwner != 0 && state.lost-state.gained < handoverPeriod && t.acceptsRelays(state.formerOwner)
}

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

// withdraw tells the target that a reported flow has ended.
func (s *Shard) withdraw(e *entry) {
	state := s.slotOf(e.hash)
	if !e.has(reportedFlags) || state.owner != s.tables.self {
		return
	}
	if rt := s.slotTarget(state); rt != nil {
		rt.withdrawals = append(rt.withdrawals, withdrawal{e.service, e.endpoint, e.hash})
	}
}

// rebuildQueue finds all flows that need a report: flows of lost slots first,
// then the oldest.
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

// needServices notes that the successor of an owned slot needs all bases.
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

// orderOf returns the key that the queue is sorted by.
func (s *Shard) sortKeyOf(t *Tables, e *entry) time.Duration {
	if s.slotOf(e.hash).owner != t.self {
		return e.opened - math.MaxInt64/2
	}
	return e.opened
}

// TakeReplication returns the updates that are due for other instances, within
// the budget. A batch that is not acknowledged is returned again later.
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

// expand lists the sets that the batch named by their number: the target may not
// have them.
func (b *inFlightBatch) expandReferences() {
	b.bytes += b.savedBytes
	b.savedBytes = 0
	for i := range b.batch.Bases {
		if base := &b.batch.Bases[i]; isReference(base) {
			*base = b.bases[base.Service].Base()
		}
	}
}

// AckReplication notes that the target holds the batch with this sequence. It
// ignores sequences of other shards and of batches that are not under way.
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

func (s *Shard) ackFlow(id common.InstanceID, flow batchedFlow) {
	e := s.table.at(flow.position, flow.hash)
	if e == nil || !e.has(flagSending) || s.slotOf(e.hash).target != id {
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
	for _, rt := range s.targets {
		n += len(rt.withdrawals)
	}
	return n
}
