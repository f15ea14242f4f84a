package steering

import (
	"maps"
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flowkind"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
)

const (
	shardBits = 4
	// Shards is the number of shards of the flow table. Each has its own lock.
	Shards = 1 << shardBits
	// ackWindowBytes is more than the bytes in flight on a flow. An acknowledgement
	// number that is farther than this from the last one belongs to the sequence
	// numbers of another endpoint.
	ackWindowBytes = 1 << 20
)

// Table holds the flows that were opened through this instance. Packets of all other
// flows are forwarded by their label alone. If the table is lost, flows continue and only
// the load statistics are lost. A Table is safe for concurrent use.
type Table struct {
	shards  [Shards]shard
	hedging hedging
	stalls  stalls
}

// shard returns the shard of a flow.
func (t *Table) shard(hash common.FlowHash) *shard { return &t.shards[uint64(hash)>>(64-shardBits)] }

type shard struct {
	mu       sync.Mutex
	capacity int
	flows    map[common.FiveTuple]*flow
	// unknownSince holds when a packet first arrived with a label that matches no
	// known endpoint, at most maxUnknownLabels.
	unknownSince map[label.Label]time.Duration
	// unrecorded holds flows without a record, at most maxUnrecorded. It is nil if they are
	// not tracked.
	unrecorded map[common.FiveTuple]*unrecordedFlow
	// resumedAt is when the last pause of the process ended, 0 if there was none.
	resumedAt time.Duration
	// openings holds the flows that may wait for their hedge, at most maxOpenings. It may
	// hold flows that no longer do.
	openings []*flow
	// overflowShare is the share of a rule's new flows that may overflow.
	overflowShare float64
	// moved holds the flows without a record while first packets are hedged, at most
	// capacity.
	moved map[common.FiveTuple]movedFlow
}

// flow is one flow that was opened through this instance.
type flow struct {
	tuple    common.FiveTuple
	sequence uint32
	member   *selection.Member
	label    label.Label
	// opening is set until the flow is established if its first packet may be sent to a
	// second endpoint.
	opening *opening
	// retransmits counts the retransmissions of the first packet.
	retransmits uint8
	// kinds is the estimate of the flow's rule, requests the number of requests so far.
	kinds    *flowkind.Estimate
	requests int
	// established is set once the caller has acknowledged the endpoint's answer.
	established bool
	// finished is set once the caller has closed or reset the flow.
	finished bool
	// closed is set once the caller was sent a reset because the endpoint has fallen silent or
	// stalled.
	closed bool
	// stalled is set if the flow was closed because its endpoint has stalled.
	stalled bool
	// long is set while the flow counts as an open long flow of its endpoint.
	long bool
	// overflowed is set if the flow went to another target than the drawn one. It stays
	// with that target.
	overflowed bool
	// inFlight is set while a request has no response. After timeout without a packet
	// the request no longer counts. latencyTarget is the target response time. kind is
	// the kind of the current or last request.
	inFlight               bool
	kind                   selection.RequestKind
	timeout, latencyTarget time.Duration
	// lastAck is the caller's highest acknowledgement number, sentEnd the sequence
	// number after the caller's last byte.
	lastAck, sentEnd uint32
	openedAt         time.Duration
	// firstPacketAt is when the first packet was last forwarded to the endpoint.
	firstPacketAt time.Duration
	// requestedAt is when the request in flight was sent, dataAt the time of the caller's
	// last new bytes, lastPacketAt that of its last packet.
	requestedAt, dataAt, lastPacketAt time.Duration
}

// NewTable returns a table for about capacity flows, at least one in each shard. Each
// shard refuses new flows once its part of the capacity is used.
func NewTable(capacity int) *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].capacity = max(capacity/Shards, 1)
		t.shards[i].flows = make(map[common.FiveTuple]*flow)
		t.shards[i].moved = make(map[common.FiveTuple]movedFlow)
		t.shards[i].unknownSince = make(map[label.Label]time.Duration)
	}
	return t
}

// Len returns the number of flows.
func (t *Table) Len() int {
	sum := 0
	for i := range t.shards {
		t.shards[i].mu.Lock()
		sum += len(t.shards[i].flows)
		t.shards[i].mu.Unlock()
	}
	return sum
}

// handlePacket updates a known flow with a later packet of the caller. named is the
// endpoint of the packet's label, nil if it is unknown. It returns the flow's endpoint,
// nil if it is unknown, and the response time if the packet acknowledges the start of a
// response, else 0.
//
// An established flow stays on its endpoint even if a later packet carries the label of
// another endpoint that answered a retransmission of the first packet.
func (f *flow) handlePacket(p *Packet, named *selection.Member, now time.Duration) (*selection.Member, time.Duration) {
	f.lastPacketAt = now
	if !f.established {
		if named == nil && p.Reset {
			return f.member, 0
		}
		if named == nil {
			return nil, 0
		}
		f.establish(p, named, now)
	}
	if f.otherSequence(p) {
		return named, 0
	}
	return f.member, f.trackRequests(p, now)
}

// establish records the packet that completes the handshake: with it the caller
// acknowledges the endpoint of the packet's label.
func (f *flow) establish(p *Packet, named *selection.Member, now time.Duration) {
	if named != f.member {
		if f.inFlight {
			f.member.RequestDiscarded(f.kind)
			named.RequestStarted(now, f.kind)
		}
		f.bind(named)
		f.label = p.Label
	}
	f.established = true
	f.lastAck = p.Acknowledgement
	f.sentEnd = p.Sequence
	f.requestedAt = now
	took := now - f.firstPacketAt
	if f.retransmits > 0 {
		// It is unknown which transmission of the first packet was answered.
		took = 0
	}
	f.member.HandshakeCompleted(now, took)
}

// trackRequests detects requests and responses: new data from the caller starts a
// request, and a higher acknowledgement number shows that the response has started. It
// returns the response time in the latter case, else 0.
func (f *flow) trackRequests(p *Packet, now time.Duration) (response time.Duration) {
	if int32(p.Acknowledgement-f.lastAck) > 0 {
		f.lastAck = p.Acknowledgement
		if f.inFlight {
			f.inFlight = false
			response = now - f.requestedAt
			f.member.ResponseStarted(now, f.kind, response, f.latencyTarget)
		}
	}
	end := p.Sequence + uint32(p.Length)
	if p.Length == 0 || int32(end-f.sentEnd) <= 0 {
		return response
	}
	f.sentEnd, f.dataAt = end, now
	f.countRequest()
	if !f.inFlight {
		f.inFlight = true
		f.kind = selection.LaterRequest
		f.requestedAt = now
		f.member.RequestStarted(now, f.kind)
	}
	return response
}

// countRequest counts data from the caller as a request, unless a request is already in
// flight, which may consist of several packets. The opening request is in flight from the
// first packet on.
func (f *flow) countRequest() {
	if f.inFlight && f.requests > 0 {
		return
	}
	f.requests++
	if f.requests == 2 {
		f.kinds.SecondRequest()
	}
}

// finish marks the flow as finished. It reports whether a request was still in flight, and
// counts that request as failed.
func (f *flow) finish(now time.Duration) bool {
	if !f.finished && f.requests == 1 {
		f.kinds.SingleRequest()
	}
	f.finished = true
	if !f.inFlight {
		return false
	}
	f.inFlight = false
	f.member.RequestFailed(now, f.kind)
	return true
}

// timeOutRequest counts the request in flight as failed after its timeout: an endpoint that
// resets flows does so to the caller directly, who then sends nothing. A caller that has
// continued through another instance looks the same, but that concerns all endpoints alike.
// A flow that is not established is left unchanged until it expires.
func (f *flow) timeOutRequest(now time.Duration) {
	if f.established {
		f.inFlight = false
		f.member.RequestFailed(now, f.kind)
	}
}

// remove deletes a flow. It reports whether a request was still in flight.
func (s *shard) remove(f *flow, now time.Duration) bool {
	delete(s.flows, f.tuple)
	f.uncountLong()
	return f.finish(now)
}

// discard deletes a flow without recording an outcome of its request.
func (s *shard) discard(f *flow) {
	delete(s.flows, f.tuple)
	f.uncountLong()
	if f.inFlight {
		f.member.RequestDiscarded(f.kind)
	}
}

const (
	// finishedLifetime is how long a closed flow is kept to handle its retransmissions.
	finishedLifetime = 5 * time.Second
	// unestablishedLifetime is how long a flow is kept that was never established. It
	// is longer than a caller tries to open a flow.
	unestablishedLifetime = 3 * time.Second
	// maxUnknownLabels limits the unknown labels that a shard records, and
	// unknownLabelLifetime how long it records them. A caller's retransmissions follow
	// each other sooner.
	maxUnknownLabels     = 64
	unknownLabelLifetime = 10 * time.Second
	// DefaultIdleTimeout is the idle timeout of flows while no configuration sets one.
	DefaultIdleTimeout = 15 * time.Second
)

// ResetAfterPause discards all requests in flight after a pause of the process. Callers
// may have closed their flows or continued through other instances, and the response
// times would include the pause.
func (t *Table) ResetAfterPause(v *View, now time.Duration) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.resumedAt = now
		clear(s.unrecorded)
		for _, f := range s.flows {
			if f.inFlight {
				f.inFlight = false
				f.member.RequestDiscarded(f.kind)
			}
			f.firstPacketAt = now
			// The caller may have opened the flow through another instance meanwhile.
			f.opening = nil
		}
		s.mu.Unlock()
	}
	for _, pool := range v.pools {
		pool.ResetAfterPause(now)
	}
	t.stalls.discard(now)
}

// ExpiredFlow describes a flow that was removed by Expire while a request had no
// response.
type ExpiredFlow struct {
	Tuple       common.FiveTuple
	Sequence    uint32
	Member      *selection.Member
	Retransmits uint8
	// Established is set if the caller had acknowledged the endpoint's answer.
	Established bool
	OpenFor     time.Duration
}

// Expire removes the expired flows of one shard. It appends those that still had a
// request in flight to into and returns the result.
func (t *Table) Expire(index int, idleTimeout, now time.Duration, into []ExpiredFlow) []ExpiredFlow {
	s := &t.shards[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.unknownSince, func(_ label.Label, since time.Duration) bool { return now-since >= unknownLabelLifetime })
	s.expireUnrecorded(now)
	s.expireMoved(idleTimeout, now)
	for _, f := range s.flows {
		if f.inFlight && now-f.lastPacketAt >= f.timeout {
			f.timeOutRequest(now)
		}
		if now-f.lastPacketAt < f.lifetime(idleTimeout) || !s.remove(f, now) {
			continue
		}
		into = append(into, ExpiredFlow{
			Tuple: f.tuple, Sequence: f.sequence, Member: f.member, Retransmits: f.retransmits,
			Established: f.established, OpenFor: now - f.openedAt,
		})
	}
	return into
}

func (f *flow) lifetime(idleTimeout time.Duration) time.Duration {
	switch {
	case f.finished:
		return min(finishedLifetime, idleTimeout)
	case !f.established:
		return unestablishedLifetime
	default:
		return idleTimeout
	}
}
