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
	// replicationInterval is the time between looks for due updates.
	replicationInterval = 200 * time.Millisecond
	// maxBatchBytes leaves 120 bytes of a datagram for its header.
	maxBatchBytes = 1080
	// minReplicationBudget avoids datagrams that are mostly headers.
	minReplicationBudget = 300
	// resendAfter is the wait for an acknowledgement; the delay between data
	// centres is a few milliseconds, so an answer after it is lost.
	resendAfter = time.Second
	// maxSendAttempts is how often one batch is sent to a live target.
	maxSendAttempts = 10
	// maxQueuedBatches bounds the batches that wait for acknowledgements.
	maxQueuedBatches = 256
	// joinCheckInterval is the time between looks whether to serve.
	joinCheckInterval = 200 * time.Millisecond
	// discoveryQuietPeriod is how long no new member must have appeared before a
	// joining instance pulls: its slots depend on the whole view.
	discoveryQuietPeriod = 1500 * time.Millisecond
	// discoveryTimeout ends the wait for listed instances that do not answer.
	discoveryTimeout = 6 * time.Second
	// endpointStateTimeout bounds the wait of a joining instance for the states of all
	// endpoints to the longest probe interval.
	endpointStateTimeout = maxProbeInterval
	// pullAttempts is how often a peer is asked for the state of the slots.
	pullAttempts = 2
	// prepareLeaveTimeout bounds how long an instance that is to leave reports its
	// exceptions while it still owns its slots.
	prepareLeaveTimeout = 30 * time.Second
	// maxPendingAtLeave is the number of updates that may be left then: they are
	// reported within the time in which the new owner asks the leaver. Zero is
	// never reached while new flows need reports.
	maxPendingAtLeave = 50
	// minHandoverTime is how long a leaving instance stays at least: the new owner of a
	// slot asks the former one for 6 s.
	minHandoverTime = 6500 * time.Millisecond
	// handoverTimeout bounds how long a leaving instance hands over the rest.
	handoverTimeout = 9 * time.Second
)

// replicationController moves exceptions between entryd and the peers.
type replicationController struct {
	*core
	// queues holds the unacknowledged batches of each target in order. One
	// datagram is in flight at a time, so a target takes them in this order.
	queues       map[common.InstanceID]*replicationQueue
	receivedAcks chan *replicationAck
	// polls counts the calls of takeDue that entryd answered, pending is the
	// number of updates that no target had acknowledged at the last of them.
	polls   uint64
	pending int
}

// replicationQueue is what one target has not acknowledged.
type replicationQueue struct {
	batches []*entrypb.ReplicationBatch
	// inFlight is the number of batches, from the front, of the last datagram.
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

// budget returns the bytes that exceptions may use now. An instance that still
// owns its slots keeps the reserve for probes, or its lease would lapse.
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
		// The call still tells what is pending.
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
		// entryd sends a successor everything again when the view changes.
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

// add queues a batch. entryd returns a batch again that has no acknowledgement for
// a second; one that still waits here must not be sent twice, because the copies
// use up the budget that delays it.
func (q *replicationQueue) add(batch *entrypb.ReplicationBatch) {
	queued := slices.ContainsFunc(q.batches, func(other *entrypb.ReplicationBatch) bool {
		return other.GetSequence() == batch.GetSequence()
	})
	if !queued {
		q.batches = append(q.batches, batch)
	}
}

// pack returns as many batches from the front as fit into a datagram. entryd makes
// one batch for each shard, so most of them are small.
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

// compactBatch leaves out what the datagram says already.
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

// expandBatch fills in what shorten has left out.
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

// handleAck releases batches and sends the next ones of the target.
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

// forwardAck tells entryd that the target holds a batch.
func (r *replicationController) forwardAck(ctx context.Context, target common.InstanceID, sequence uint64) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	_, err := r.entry.AckReplication(ctx, &entrypb.AckReplicationRequest{Target: uint32(target), Sequence: sequence})
	if err != nil {
		r.logger.Debug("replication_ack_failed", zap.Error(err))
	}
}

// handle takes a replication datagram of a peer.
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

// addBatches stores a peer's batches in entryd and acknowledges those that it holds.
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

// storeBatch reports whether entryd holds the batch. A batch that entryd calls stale
// is held already.
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
