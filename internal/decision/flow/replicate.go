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

// ShardOfSequence returns the shard that a batch came from and goes to. Batches
// with sequence 0 answer a pull and go to all shards.
func ShardOfSequence(sequence uint64) int {
	return int(sequence % Shards)
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
