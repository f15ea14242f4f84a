package controller

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

const (
	// replicationInterval is the time between polls of entryd for due updates.
	replicationInterval = 200 * time.Millisecond
	// maxBatchBytes is the maximum size of the batches in a datagram. It leaves 120
	// bytes of the datagram for its header.
	maxBatchBytes = 1080
	// minReplicationBudget is the budget in bytes below which no updates are
	// fetched. It avoids datagrams that are mostly headers.
	minReplicationBudget = 300
	// resendAfter is the wait for an acknowledgement. The delay between data
	// centres is a few milliseconds, so an acknowledgement that takes longer counts
	// as lost.
	resendAfter = time.Second
	// maxSendAttempts is the number of sends without any acknowledgement after which
	// the queue of a live target is dropped.
	maxSendAttempts = 10
	// maxQueuedBatches bounds the batches that wait for acknowledgements.
	maxQueuedBatches = 256
	// joinCheckInterval is the time between checks whether this instance can start
	// to serve.
	joinCheckInterval = 200 * time.Millisecond
	// discoveryQuietPeriod is the time without a new member before a joining
	// instance pulls: its slots depend on the whole view.
	discoveryQuietPeriod = 1500 * time.Millisecond
	// discoveryTimeout bounds the wait for listed instances that do not respond.
	discoveryTimeout = 6 * time.Second
	// endpointStateTimeout bounds how long a joining instance waits for the states
	// of all endpoints: the longest probe interval.
	endpointStateTimeout = maxProbeInterval
	// pullAttempts is the number of times that a peer is asked for the state of the
	// slots.
	pullAttempts = 2
	// prepareLeaveTimeout bounds how long an instance replicates its exceptions
	// before it announces that it leaves, while it still owns its slots.
	prepareLeaveTimeout = 30 * time.Second
	// maxPendingAtLeave is the number of updates that may still be pending when an
	// instance announces that it leaves. They are replicated while the new owner
	// still queries the leaving instance. Zero would never be reached while new
	// flows create exceptions.
	maxPendingAtLeave = 50
	// minHandoverTime is the minimum time that a leaving instance continues to run:
	// the new owner of a slot queries the former one for 6 s.
	minHandoverTime = 6500 * time.Millisecond
	// handoverTimeout bounds how long a leaving instance hands over the remaining
	// updates.
	handoverTimeout = 9 * time.Second
)

// replicationController transfers exceptions between entryd and the peers.
type replicationController struct {
	*core
	// queues holds the unacknowledged batches of each target in order. One datagram
	// per target is in flight at a time, so the target receives them in this order.
	queues       map[common.InstanceID]*replicationQueue
	receivedAcks chan *replicationAck
	// polls counts the responses of entryd to fetchDue. pending is the number of
	// updates at the last of them that no target had acknowledged.
	polls   uint64
	pending int
}

// replicationQueue holds the batches that one target has not acknowledged.
type replicationQueue struct {
	batches []*entrypb.ReplicationBatch
	// inFlight is the number of batches, from the front of the queue, in the last
	// datagram.
	inFlight int
	sentAt   time.Duration
	attempts int
}

type replicationAck struct {
	from      common.InstanceID
	sequences []uint64
}

func newReplicationController(c *core) *replicationController {
	return &replicationController{
		core:         c,
		queues:       map[common.InstanceID]*replicationQueue{},
		receivedAcks: make(chan *replicationAck, maxQueuedBatches),
	}
}

func (r *replicationController) run(ctx context.Context) error {
	ticker := time.NewTicker(replicationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ack := <-r.receivedAcks:
			r.handleAck(ctx, ack)
		case <-ticker.C:
			r.fetchDue(ctx)
			r.sendDue()
		}
	}
}

// budget returns the number of bytes that replication may send now. An instance
// that still owns its slots keeps the reserve for probes, because its lease would
// expire without them.
func (r *replicationController) budget() int {
	r.mu.Lock()
	leaving := r.machine.Self().State == common.MemberLeaving
	r.mu.Unlock()
	if leaving {
		return r.transport.HandoverBudget()
	}
	return r.transport.ReplicationBudget()
}

// fetchDue fetches updates from entryd within the budget of control bytes.
func (r *replicationController) fetchDue(ctx context.Context) {
	budget := r.budget()
	if budget < minReplicationBudget || r.queued() >= maxQueuedBatches {
		// The response still contains the number of pending updates.
		budget = 0
	}
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	response, err := r.entry.TakeReplication(ctx, &entrypb.TakeReplicationRequest{
		MaxBytes:      uint32(budget),
		MaxBatchBytes: maxBatchBytes,
	})
	if err != nil {
		return
	}
	for _, batch := range response.GetBatches() {
		target := common.InstanceID(batch.GetTarget())
		if r.queues[target] == nil {
			r.queues[target] = &replicationQueue{}
		}
		r.queues[target].add(batch)
	}
	r.mu.Lock()
	r.polls++
	r.pending = int(response.GetPending()) + r.queued()
	r.mu.Unlock()
}

func (r *replicationController) queued() int {
	n := 0
	for _, queue := range r.queues {
		n += len(queue.batches)
	}
	return n
}

// sendDue sends each target the next batches that are new or overdue.
func (r *replicationController) sendDue() {
	for _, target := range sortedTargets(r.queues) {
		if r.budget() < 0 {
			return
		}
		r.sendNext(target)
	}
}

func sortedTargets(queues map[common.InstanceID]*replicationQueue) []common.InstanceID {
	targets := make([]common.InstanceID, 0, len(queues))
	for target := range queues {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	return targets
}

func (r *replicationController) sendNext(target common.InstanceID) {
	queue := r.queues[target]
	if len(queue.batches) == 0 {
		delete(r.queues, target)
		return
	}
	if queue.inFlight > 0 && r.now()-queue.sentAt < resendAfter {
		return
	}
	r.mu.Lock()
	address, alive := r.peerAddress(target)
	incarnation := r.machine.Self().Incarnation
	r.mu.Unlock()
	if !alive || queue.attempts >= maxSendAttempts {
		// When the view changes, entryd resends all updates to a successor.
		r.logger.Info("replication_dropped", zap.Uint32("target", uint32(target)), zap.Int("batches", len(queue.batches)))
		delete(r.queues, target)
		return
	}
	if queue.inFlight > 0 {
		r.metrics.resends.Inc()
	}
	queue.attempts++
	queue.sentAt = r.now()
	d := &peerpb.Datagram{Sender: uint32(r.self), Incarnation: incarnation}
	d.Kind = &peerpb.Datagram_Replication{Replication: queue.pack(d, uint32(target))}
	if err := r.transport.Send(address, d); err != nil {
		r.logger.Debug("replication_not_sent", zap.Error(err))
	}
}

// add queues a batch unless it is queued already. entryd resends a batch that has
// not been acknowledged for 500 ms. If the budget delays a batch that long, sending
// the resent copies as well would delay it further.
func (q *replicationQueue) add(batch *entrypb.ReplicationBatch) {
	queued := slices.ContainsFunc(q.batches, func(other *entrypb.ReplicationBatch) bool {
		return other.GetSequence() == batch.GetSequence()
	})
	if !queued {
		q.batches = append(q.batches, batch)
	}
}

// pack returns as many batches from the front of the queue as fit into a datagram.
// entryd makes one batch per shard, so most of them are small.
func (q *replicationQueue) pack(d *peerpb.Datagram, target uint32) *peerpb.Replication {
	packed := &peerpb.Replication{}
	size := 0
	for _, batch := range q.batches {
		compact := compactBatch(batch, d, target)
		size += proto.Size(compact) + batchTagBytes
		if len(packed.Batches) > 0 && size > maxBatchBytes {
			break
		}
		packed.Batches = append(packed.Batches, compact)
	}
	q.inFlight = len(packed.Batches)
	return packed
}

// batchTagBytes is the encoded tag and length of a batch in a datagram.
const batchTagBytes = 3

// compactBatch returns a batch without the values that the datagram already
// contains.
func compactBatch(batch *entrypb.ReplicationBatch, d *peerpb.Datagram, target uint32) *entrypb.ReplicationBatch {
	compact := &entrypb.ReplicationBatch{
		Target:            batch.GetTarget(),
		Source:            batch.GetSource(),
		SourceIncarnation: batch.GetSourceIncarnation(),
		Sequence:          batch.GetSequence(),
		Exceptions:        batch.GetExceptions(),
		Bases:             batch.GetBases(),
		SlotBases:         batch.GetSlotBases(),
	}
	if compact.Target == target {
		compact.Target = 0
	}
	if compact.Source == d.GetSender() {
		compact.Source = 0
	}
	if compact.SourceIncarnation == d.GetIncarnation() {
		compact.SourceIncarnation = 0
	}
	return compact
}

// expandBatch restores the values that compactBatch has left out.
func expandBatch(batch *entrypb.ReplicationBatch, d *peerpb.Datagram, target common.InstanceID) {
	if batch.Target == 0 {
		batch.Target = uint32(target)
	}
	if batch.Source == 0 {
		batch.Source = d.GetSender()
	}
	if batch.SourceIncarnation == 0 {
		batch.SourceIncarnation = d.GetIncarnation()
	}
}

// handleAck removes acknowledged batches from the queue and sends the next ones of
// the target.
func (r *replicationController) handleAck(ctx context.Context, ack *replicationAck) {
	queue := r.queues[ack.from]
	if queue == nil {
		return
	}
	acknowledged := 0
	for acknowledged < queue.inFlight && slices.Contains(ack.sequences, queue.batches[acknowledged].GetSequence()) {
		r.forwardAck(ctx, ack.from, queue.batches[acknowledged].GetSequence())
		acknowledged++
	}
	if acknowledged == 0 {
		return
	}
	queue.batches = queue.batches[acknowledged:]
	queue.inFlight = 0
	queue.attempts = 0
	if r.budget() >= 0 {
		r.sendNext(ack.from)
	}
}

// forwardAck reports to entryd that the target has stored a batch.
func (r *replicationController) forwardAck(ctx context.Context, target common.InstanceID, sequence uint64) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	_, err := r.entry.AckReplication(ctx, &entrypb.AckReplicationRequest{Target: uint32(target), Sequence: sequence})
	if err != nil {
		r.logger.Debug("replication_ack_failed", zap.Error(err))
	}
}

// handle processes a replication datagram of a peer.
func (r *replicationController) handle(from netip.AddrPort, d *peerpb.Datagram) {
	switch kind := d.Kind.(type) {
	case *peerpb.Datagram_ReplicationAck:
		select {
		case r.receivedAcks <- &replicationAck{common.InstanceID(d.GetSender()), kind.ReplicationAck.GetSequences()}:
		default:
		}
	case *peerpb.Datagram_Replication:
		r.addBatches(from, d, kind.Replication.GetBatches())
	}
}

// addBatches stores a peer's batches in entryd and acknowledges the stored ones.
func (r *replicationController) addBatches(from netip.AddrPort, d *peerpb.Datagram, batches []*entrypb.ReplicationBatch) {
	ctx, cancel := context.WithTimeout(context.Background(), entryTimeout)
	defer cancel()
	var stored []uint64
	for _, batch := range batches {
		expandBatch(batch, d, r.self)
		if batch.GetSource() != d.GetSender() || batch.GetTarget() != uint32(r.self) || !r.storeBatch(ctx, batch) {
			break
		}
		stored = append(stored, batch.GetSequence())
	}
	if len(stored) == 0 {
		return
	}
	r.mu.Lock()
	incarnation := r.machine.Self().Incarnation
	r.mu.Unlock()
	ack := &peerpb.Datagram{
		Sender:      uint32(r.self),
		Incarnation: incarnation,
		Kind:        &peerpb.Datagram_ReplicationAck{ReplicationAck: &peerpb.ReplicationAck{Sequences: stored}},
	}
	if err := r.transport.Send(from, ack); err != nil {
		r.logger.Debug("replication_ack_not_sent", zap.Error(err))
	}
}

// storeBatch reports whether entryd has stored the batch. entryd refuses a batch as
// stale if it has stored it already.
func (r *replicationController) storeBatch(ctx context.Context, batch *entrypb.ReplicationBatch) bool {
	response, err := r.entry.AddReplication(ctx, &entrypb.AddReplicationRequest{Batches: []*entrypb.ReplicationBatch{batch}})
	if err != nil {
		return false
	}
	code := resultcode.Code(response.GetResultCode())
	if code == resultcode.ReplicationUnknownTable {
		return false
	}
	if code != resultcode.OK && code != resultcode.ReplicationStale {
		r.logger.Warn("replication_refused", zap.Uint32("result_code", uint32(code)), zap.Uint32("source", batch.GetSource()))
		return false
	}
	return true
}
