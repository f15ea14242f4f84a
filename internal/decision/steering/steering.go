// Package steering decides where each packet of a labelled flow goes. The flow's
// endpoint is named by a label that both ends return in every packet, so that any
// instance, also one that has just started, sends the flow to its endpoint
// without shared state. It has no clock, socket or goroutine.
package steering

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Packet is what steering reads of a packet.
type Packet struct {
	Tuple common.FiveTuple
	Hash  common.FlowHash
	// First is set for a packet that opens a flow. Copies then counts the earlier
	// ones of the same flow that the caller has sent.
	First           bool
	Retransmits     uint8
	Fin, Reset      bool
	Label           label.Label
	Sequence        uint32
	Acknowledgement uint32
	Length          int
}

// Kind is what happens to a packet.
type Kind uint8

// Kinds of actions.
const (
	Drop Kind = iota
	Forward
	Refuse
)

// Event is what a packet was a decision about.
type Event uint8

// Events. Continued is a packet of a flow that goes on.
const (
	Continued Event = iota
	Opened
	Repeated
	Rejected
	Dropped
	NoResponse
)

// String returns the name used in logs.
func (e Event) String() string {
	switch e {
	case Opened:
		return "flow_opened"
	case Repeated:
		return "first_packet_repeated"
	case Rejected:
		return "flow_refused"
	case Dropped:
		return "packet_dropped"
	case NoResponse:
		return "flow_without_response"
	default:
		return "flow_continued"
	}
}

// Action is the decision on one packet.
type Action struct {
	Kind  Kind
	Event Event
	Code  resultcode.Code
	// Member is the endpoint to forward to, Label the flow's label.
	Member *selection.Member
	Label  label.Label
	// Retransmits counts the repeated first packets of the flow.
	Retransmits uint8
	// Suspected are the endpoints that became suspect.
	Suspected []*selection.Member
	// Response is the time until a response began, when the packet shows one.
	Response time.Duration
	// OpenFor is how long the flow was open, when the packet ends it.
	OpenFor time.Duration
}

// Freshness is how old the knowledge is that a packet is decided by.
type Freshness struct {
	// Configured is false while the instance has no configuration.
	Configured bool
	// Age is the time since the store, or a peer that read it, confirmed it.
	Age time.Duration
	// SettledFor is the time since the instance started or the store last came back
	// from an outage. Endpoints may be missing from the store's list for a while
	// then.
	SettledFor time.Duration
}

// endpointsComplete reports whether an endpoint that is not known is none, because the list
// of endpoints is confirmed and has been for a time.
func (f *Freshness) endpointsComplete(settled time.Duration) bool {
	return f.Configured && f.Age <= maxAgeForRefusal && f.SettledFor >= settled
}

const (
	// maxAgeForRefusal is the age of the configuration up to which an unknown
	// address is refused; the caller's next copy of the packet finds newer
	// knowledge otherwise.
	maxAgeForRefusal = 1500 * time.Millisecond
	// minSettledForRefusal is how long the list of endpoints must be settled before a
	// flow is refused for want of one: endpoints that lost their entries in an
	// outage of the store are back within about two seconds.
	minSettledForRefusal = 2300 * time.Millisecond
	// minSettledForReset is how long it must be settled before a flow is reset whose
	// endpoint is not known. A reset ends a flow that may still be served, so the
	// time is longer.
	minSettledForReset = 5 * time.Second
	// retransmitsBeforeMove is the number of copies of a first packet after which
	// the flow moves even from an endpoint that answers others.
	retransmitsBeforeMove = 2
)

// retransmitTimes are the times after its first packet at which a caller repeats it.
var retransmitTimes = [...]time.Duration{0, 200 * time.Millisecond, lastRetransmitTime}

const (
	// lastRetransmitTime is the age of a first packet whose caller sends no more copies.
	lastRetransmitTime = 600 * time.Millisecond
	// pauseBacklogTime is how long after a pause packets may be read that waited: the
	// receive buffer holds some thousand, read within 50 ms on a core with a cap.
	pauseBacklogTime = 100 * time.Millisecond
)

// Handle decides on a packet.
func (t *Table) Handle(v *View, p *Packet, fresh Freshness, now time.Duration) Action {
	s := &t.shards[uint64(p.Hash)>>(64-shardBits)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.First {
		return s.handleFirst(v, p, fresh, now)
	}
	return s.handleEstablished(v, p, fresh, now)
}

// queuedDuringPause reports whether a first packet may have queuedDuringPause in the socket during a pause
// of the process and is not the caller's last copy. The caller may have gone on through
// another instance; a flow opened here too would give it the label of a second
// endpoint. The last copy waits only where the earlier ones did.
func (s *shard) queuedDuringPause(p *Packet, now time.Duration) bool {
	return s.resumedAt > 0 && now-s.resumedAt < pauseBacklogTime && minFlowAge(p.Retransmits) < lastRetransmitTime
}

func destination(t *common.FiveTuple) common.ServiceAddress {
	return common.ServiceAddress{Address: netip.AddrFrom4(t.Destination), Port: t.DestinationPort, Protocol: t.Protocol}
}

func (s *shard) handleFirst(v *View, p *Packet, fresh Freshness, now time.Duration) Action {
	r := v.routes[destination(&p.Tuple)]
	f := s.flows[p.Tuple]
	if f != nil && f.sequence == p.Sequence {
		return s.handleRetransmit(v, r, f, p, now)
	}
	if f != nil {
		s.remove(f, now)
	}
	if s.queuedDuringPause(p, now) {
		return drop(resultcode.DroppedAfterPause)
	}
	if r == nil {
		return noRoute(fresh)
	}
	if r.rule.Timeout > 0 && minFlowAge(p.Retransmits) >= r.rule.Timeout {
		return refuse(resultcode.RefusedTooLate)
	}
	pool := r.pick(p.Hash)
	if pool == nil {
		return refuse(resultcode.RefusedNoEndpoint)
	}
	if !pool.Admit(now, r.priorityLevel) {
		return refuse(resultcode.RefusedOverload)
	}
	if len(s.flows) >= s.capacity {
		return refuse(resultcode.RefusedTableFull)
	}
	m, silent := pool.Choose(now, nil, v.hasLabel)
	if m == nil {
		return noEndpoint(fresh)
	}
	f = &flow{
		tuple: p.Tuple, sequence: p.Sequence, member: m, label: v.ownLabels[m], retransmits: p.Retransmits,
		openedAt: now, firstPacketAt: now, lastPacketAt: now, inFlight: true, timeout: r.timeout(), latencyTarget: r.rule.LatencyTarget,
	}
	s.flows[p.Tuple] = f
	return Action{
		Kind: Forward, Code: resultcode.PacketForwarded, Event: Opened,
		Member: m, Label: f.label, Retransmits: f.retransmits, Suspected: silent,
	}
}

// minFlowAge returns how long ago the caller sent its first packet, at least.
func minFlowAge(copies uint8) time.Duration {
	if int(copies) >= len(retransmitTimes) {
		return retransmitTimes[len(retransmitTimes)-1]
	}
	return retransmitTimes[copies]
}

func noRoute(fresh Freshness) Action {
	switch {
	case !fresh.Configured:
		return drop(resultcode.DroppedNoTables)
	case fresh.Age > maxAgeForRefusal:
		return drop(resultcode.PacketNoService)
	default:
		return refuse(resultcode.PacketNoService)
	}
}

// noEndpoint refuses a flow at once when the list of endpoints can be trusted;
// otherwise the caller's next copy of the packet may find one.
func noEndpoint(fresh Freshness) Action {
	if !fresh.endpointsComplete(minSettledForRefusal) {
		return drop(resultcode.RefusedNoEndpoint)
	}
	return refuse(resultcode.RefusedNoEndpoint)
}

func refuse(code resultcode.Code) Action {
	return Action{Kind: Refuse, Code: code, Event: Rejected}
}

func drop(code resultcode.Code) Action {
	return Action{Kind: Drop, Code: code, Event: Dropped}
}

// handleRetransmit handles a copy of the first packet of a known flow. It goes where the
// first one went, unless that endpoint shows no life or takes no new flows: two
// endpoints that answer would leave the caller with the label of the wrong one.
func (s *shard) handleRetransmit(v *View, r *route, f *flow, p *Packet, now time.Duration) Action {
	f.lastPacketAt = now
	if f.established {
		return Action{Kind: Drop, Code: resultcode.DroppedLateCopy}
	}
	f.retransmits = max(f.retransmits+1, p.Retransmits)
	action := Action{Kind: Forward, Code: resultcode.PacketForwarded, Event: Repeated, Retransmits: f.retransmits}
	former := f.member
	silent := former.FirstPacketRepeated(now, f.firstPacketAt)
	if silent {
		action.Suspected = append(action.Suspected, former)
	}
	status := former.Status(now)
	move := status.Condition == selection.Suspect || f.retransmits >= retransmitsBeforeMove || status.Endpoint.Draining || !status.Listed
	if move && r != nil {
		if pool := r.pick(p.Hash); pool != nil {
			to, silent := pool.Choose(now, former, v.hasLabel)
			action.Suspected = append(action.Suspected, silent...)
			f.move(v, to, now)
		}
	}
	f.firstPacketAt = now
	action.Member, action.Label = f.member, f.label
	return action
}

// move sends the flow to another endpoint, nil for none.
func (f *flow) move(v *View, to *selection.Member, now time.Duration) {
	if to == nil {
		return
	}
	if f.inFlight {
		f.member.RequestDiscarded()
	}
	f.member, f.label = to, v.ownLabels[to]
	f.inFlight = true
	f.openedAt = now
}

// handleEstablished handles a packet in the middle of a flow.
func (s *shard) handleEstablished(v *View, p *Packet, fresh Freshness, now time.Duration) Action {
	f := s.flows[p.Tuple]
	m := v.resolve(p.Label)
	var response time.Duration
	if f != nil {
		m, response = f.handlePacket(p, m, now)
	}
	if m == nil {
		return handleUnknownLabel(p, fresh)
	}
	action := Action{Kind: Forward, Code: resultcode.PacketForwarded, Member: m, Label: p.Label, Response: response}
	if f != nil && (p.Fin || p.Reset) && f.finish(now) {
		action.Event, action.OpenFor = NoResponse, now-f.openedAt
	}
	return action
}

// handleUnknownLabel handles a packet whose endpoint is not known. It is refused only
// when the endpoint cannot be one that this instance has not heard of yet. A packet
// without a label says nothing about its endpoint, so its flow may be served.
func handleUnknownLabel(p *Packet, fresh Freshness) Action {
	if !fresh.endpointsComplete(minSettledForReset) || p.Reset || p.Label == 0 {
		return drop(resultcode.RouteUnknownFlow)
	}
	return refuse(resultcode.RouteEndpointGone)
}
