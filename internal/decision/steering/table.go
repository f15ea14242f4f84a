package steering

import (
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
)

const (
	shardBits = 4
	// Shards is the number of parts of the flow table, each under its own lock.
	Shards = 1 << shardBits
	// ackWindowBytes is more than the bytes in flight on a flow: an acknowledgement
	// within it of an earlier one belongs to the same endpoint.
	ackWindowBytes = 1 << 20
)

// Table holds the flows that this instance has opened. Other flows are steered by
// their label alone. Losing the table loses what is known of load, not flows.
type Table struct {
	shards [Shards]shard
}

type shard struct {
	mu       sync.Mutex
	capacity int
	flows    map[common.FiveTuple]*flow
	// resumedAt is the end of the last pause of the process, 0 for none.
	resumedAt time.Duration
}

// flow is one flow that was opened through this instance.
type flow struct {
	tuple    common.FiveTuple
	sequence uint32
	member   *selection.Member
	label    label.Label
	// retransmits counts the repeated first packets.
	retransmits uint8
	// established is set once the caller has acknowledged the endpoint.
	established bool
	// finished is set once the caller has ended the flow.
	finished bool
	// inFlight is set while a request has no response, for at most timeout. target is
	// the time in which it should have one.
	inFlight               bool
	timeout, latencyTarget time.Duration
	// lastAck is the caller's last acknowledgement, sentEnd the end of the
	// caller's data.
	lastAck, sentEnd uint32
	openedAt         time.Duration
	firstPacketAt    time.Duration
	// requestedAt is when the request that waits was sent, lastPacketAt the time of
	// the last packet.
	requestedAt, lastPacketAt time.Duration
}

// NewTable returns a table for at most capacity flows.
func NewTable(capacity int) *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].capacity = max(capacity/Shards, 1)
		t.shards[i].flows = make(map[common.FiveTuple]*flow)
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

// handlePacket takes a packet of a known flow from the caller, whose label names an
// endpoint, nil for none known. It returns the endpoint that the flow is on and the
// time until its response if the packet shows that one has begun.
//
// A flow that was acknowledged stays where it is when a later packet carries the
// label of another endpoint that answered a copy of the first packet.
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
	if p.Acknowledgement-f.lastAck > ackWindowBytes && f.lastAck-p.Acknowledgement > ackWindowBytes {
		return named, 0
	}
	return f.member, f.trackRequests(p, now)
}

// establish takes the first packet behind the handshake: the caller has acknowledged
// the endpoint that the label names.
func (f *flow) establish(p *Packet, named *selection.Member, now time.Duration) {
	if named != f.member {
		if f.inFlight {
			f.member.RequestDiscarded()
			named.RequestStarted()
		}
		f.member, f.label = named, p.Label
	}
	f.established = true
	f.lastAck = p.Acknowledgement
	f.sentEnd = p.Sequence
	f.requestedAt = now
	took := now - f.firstPacketAt
	if f.retransmits > 0 {
		// It is not known which of the copies was answered.
		took = 0
	}
	f.member.HandshakeCompleted(now, took)
}

// trackRequests follows requests and responses: new data of the caller is a request,
// a higher acknowledgement a response. It returns the time until the response when
// one has begun.
func (f *flow) trackRequests(p *Packet, now time.Duration) (response time.Duration) {
	if int32(p.Acknowledgement-f.lastAck) > 0 {
		f.lastAck = p.Acknowledgement
		if f.inFlight {
			f.inFlight = false
			response = now - f.requestedAt
			f.member.ResponseStarted(now, response, f.latencyTarget)
		}
	}
	end := p.Sequence + uint32(p.Length)
	if p.Length == 0 || int32(end-f.sentEnd) <= 0 {
		return response
	}
	f.sentEnd = end
	if !f.inFlight {
		f.inFlight = true
		f.requestedAt = now
		f.member.RequestStarted()
	}
	return response
}

// finish ends the request of a flow that the caller closes. It reports whether the
// caller got no response.
func (f *flow) finish(now time.Duration) bool {
	f.finished = true
	if !f.inFlight {
		return false
	}
	f.inFlight = false
	f.member.RequestFailed(now)
	return true
}

// discardRequest ends the request of a flow whose caller would have given up by now or
// continues through another instance. It says nothing about the endpoint.
func (f *flow) discardRequest() {
	if f.established {
		f.inFlight = false
		f.member.RequestDiscarded()
	}
}

func (s *shard) remove(f *flow, now time.Duration) bool {
	delete(s.flows, f.tuple)
	return f.finish(now)
}

const (
	// finishedLifetime is how long a closed flow is kept for repeated packets.
	finishedLifetime = 5 * time.Second
	// unestablishedLifetime is how long a flow is kept that was never acknowledged:
	// longer than a caller tries to open it.
	unestablishedLifetime = 3 * time.Second
	// DefaultIdleTimeout ends a flow without packets while no configuration
	// gives a time.
	DefaultIdleTimeout = 15 * time.Second
)

// ResetAfterPause ends what waits for a response, after a pause of the process: callers may
// have given up or gone on through other instances, and the time until a response
// would count the pause.
func (t *Table) ResetAfterPause(v *View, now time.Duration) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.resumedAt = now
		for _, f := range s.flows {
			if f.inFlight {
				f.inFlight = false
				f.member.RequestDiscarded()
			}
			f.firstPacketAt = now
		}
		s.mu.Unlock()
	}
	for _, pool := range v.pools {
		pool.ResetAfterPause()
	}
}

// ExpiredFlow is a flow that ended without a packet and without a response.
type ExpiredFlow struct {
	Tuple       common.FiveTuple
	Sequence    uint32
	Member      *selection.Member
	Retransmits uint8
	// Established is set when the endpoint had taken the flow.
	Established bool
	OpenFor     time.Duration
}

// Expire ends the flows of one shard that are over, and appends those that had no
// response.
func (t *Table) Expire(index int, idleTimeout, now time.Duration, into []ExpiredFlow) []ExpiredFlow {
	s := &t.shards[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		if f.inFlight && now-f.lastPacketAt >= f.timeout {
			f.discardRequest()
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
