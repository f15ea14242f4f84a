// Package steering decides where each packet of a labelled flow is forwarded. Every
// packet of a flow carries a label that identifies the flow's endpoint. Any instance,
// including one that has just started, can therefore forward the flow to its endpoint
// without shared state. The package uses no clock, socket or goroutine.
package steering

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Packet holds the header fields of a packet that the decision depends on.
type Packet struct {
	Tuple common.FiveTuple
	Hash  common.FlowHash
	// First is set for a packet that opens a flow.
	First bool
	// Retransmits is how often the caller has already sent this first packet.
	Retransmits     uint8
	Fin, Reset      bool
	Label           label.Label
	Sequence        uint32
	Acknowledgement uint32
	// Length is the number of data bytes after the header.
	Length int
}

// Kind is the operation to apply to a packet.
type Kind uint8

// The kinds of actions. Refuse drops the packet and answers the caller with a reset.
const (
	Drop Kind = iota
	Forward
	Refuse
)

// Event classifies a decision for logs and metrics.
type Event uint8

// The events. Opened: an endpoint was chosen for a new flow. Retransmitted: a first
// packet was retransmitted. Refused: the caller was sent a reset. Dropped: the packet was
// discarded. NoResponse: the caller ended the flow while a request had no response.
// Continued: any other packet.
const (
	Continued Event = iota
	Opened
	Retransmitted
	Refused
	Dropped
	NoResponse
)

// String returns the name used in logs.
func (e Event) String() string {
	switch e {
	case Opened:
		return "flow_opened"
	case Retransmitted:
		return "first_packet_repeated"
	case Refused:
		return "flow_refused"
	case Dropped:
		return "packet_dropped"
	case NoResponse:
		return "flow_without_response"
	default:
		return "flow_continued"
	}
}

// Action is the decision for one packet.
type Action struct {
	Kind  Kind
	Event Event
	Code  resultcode.Code
	// Member is the endpoint to forward to and Label the flow's label. Both are set
	// only for Forward.
	Member *selection.Member
	Label  label.Label
	// Retransmits counts the retransmissions of the flow's first packet.
	Retransmits uint8
	// Suspected lists the endpoints that became suspect with this packet.
	Suspected []*selection.Member
	// Response is the time from a request to the start of its response if this packet
	// acknowledges that start, else 0.
	Response time.Duration
	// OpenFor is how long the flow was open. It is set with NoResponse.
	OpenFor time.Duration
}

// Freshness describes how current the state is that a decision is based on.
type Freshness struct {
	// HasConfiguration is false until the instance has received a configuration.
	HasConfiguration bool
	// Age is the time since the state was last confirmed by the store or by a peer
	// that read the store.
	Age time.Duration
	// SettledFor is the time since the instance started or the store last recovered
	// from an outage. Endpoints may be missing from the store's list for a while
	// after either.
	SettledFor time.Duration
}

// endpointsComplete reports whether the list of endpoints is recent and has been settled
// for at least minSettled, so that an endpoint missing from it no longer exists.
func (f *Freshness) endpointsComplete(minSettled time.Duration) bool {
	return f.HasConfiguration && f.Age <= maxAgeForRefusal && f.SettledFor >= minSettled
}

const (
	// maxAgeForRefusal is the maximum age of the configuration at which a packet to
	// an unknown address is refused. With an older configuration the packet is
	// dropped, and the caller's retransmission may arrive after an update.
	maxAgeForRefusal = 1500 * time.Millisecond
	// minSettledForRefusal is how long the list of endpoints must be settled before a
	// flow is refused because there is no endpoint. Endpoints whose entries expired
	// in an outage of the store register again within about two seconds.
	minSettledForRefusal = 2300 * time.Millisecond
	// minSettledForReset is how long the list must be settled before a flow whose
	// endpoint is unknown is reset. It is longer than minSettledForRefusal because a
	// reset can end a flow that is still being served.
	minSettledForReset = 5 * time.Second
	// retransmitsBeforeMove is the number of retransmissions of a first packet after
	// which the flow moves to another endpoint, even if its endpoint answers other
	// flows.
	retransmitsBeforeMove = 2
)

// retransmitTimes holds how long after the original first packet a caller sends each
// retransmission. Index 0 is the original itself.
var retransmitTimes = [...]time.Duration{0, 200 * time.Millisecond, lastRetransmitTime}

const (
	// lastRetransmitTime is the time after the original first packet at which a caller
	// sends it for the last time.
	lastRetransmitTime = 600 * time.Millisecond
	// pauseBacklogTime is how long after a pause of the process a packet that was
	// received during the pause may still be read. The receive buffer holds a few
	// thousand packets, which take up to 50 ms to read on a core with a CPU limit.
	pauseBacklogTime = 100 * time.Millisecond
)

// Handle returns the action for a packet and updates the flow's record. now is the time
// since an arbitrary fixed point. It is safe for concurrent use.
func (t *Table) Handle(v *View, p *Packet, fresh Freshness, now time.Duration) Action {
	s := &t.shards[uint64(p.Hash)>>(64-shardBits)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.First {
		return s.handleFirst(v, p, fresh, now)
	}
	return s.handleEstablished(v, p, fresh, now)
}

// queuedDuringPause reports whether a first packet may have been queued in the socket
// during a pause of the process and is not the caller's last retransmission. The caller
// may have opened the flow through another instance meanwhile. Opening it here as well
// would give the caller the label of a second endpoint. The last retransmission is
// exempt: if it was queued here, so were the earlier ones.
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
	m, suspects := pool.Choose(now, nil, v.hasLabel)
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
		Member: m, Label: f.label, Retransmits: f.retransmits, Suspected: suspects,
	}
}

// minFlowAge returns the minimum time since the caller sent the original first packet.
func minFlowAge(retransmits uint8) time.Duration {
	if int(retransmits) >= len(retransmitTimes) {
		return retransmitTimes[len(retransmitTimes)-1]
	}
	return retransmitTimes[retransmits]
}

func noRoute(fresh Freshness) Action {
	switch {
	case !fresh.HasConfiguration:
		return drop(resultcode.DroppedNoTables)
	case fresh.Age > maxAgeForRefusal:
		return drop(resultcode.PacketNoService)
	default:
		return refuse(resultcode.PacketNoService)
	}
}

// noEndpoint handles a first packet for which no endpoint is available. It refuses the
// flow only if the list of endpoints is complete. Otherwise it drops the packet, because
// an endpoint may be listed by the time the caller retransmits.
func noEndpoint(fresh Freshness) Action {
	if !fresh.endpointsComplete(minSettledForRefusal) {
		return drop(resultcode.RefusedNoEndpoint)
	}
	return refuse(resultcode.RefusedNoEndpoint)
}

func refuse(code resultcode.Code) Action {
	return Action{Kind: Refuse, Code: code, Event: Refused}
}

func drop(code resultcode.Code) Action {
	return Action{Kind: Drop, Code: code, Event: Dropped}
}

// handleRetransmit handles a retransmission of the first packet of a known flow. It is
// forwarded to the same endpoint, because after answers from two endpoints the caller
// may use the label of the wrong one. It moves to another endpoint only if the first one
// is suspect, takes no new flows or has not answered after retransmitsBeforeMove.
func (s *shard) handleRetransmit(v *View, r *route, f *flow, p *Packet, now time.Duration) Action {
	f.lastPacketAt = now
	if f.established {
		return Action{Kind: Drop, Code: resultcode.DroppedLateCopy}
	}
	f.retransmits = max(f.retransmits+1, p.Retransmits)
	action := Action{Kind: Forward, Code: resultcode.PacketForwarded, Event: Retransmitted, Retransmits: f.retransmits}
	current := f.member
	unresponsive := current.FirstPacketRetransmitted(now, f.firstPacketAt)
	if unresponsive {
		action.Suspected = append(action.Suspected, current)
	}
	status := current.Status(now)
	move := status.Condition == selection.Suspect || f.retransmits >= retransmitsBeforeMove || status.Endpoint.Draining || !status.Listed
	if move && r != nil {
		if pool := r.pick(p.Hash); pool != nil {
			to, unresponsive := pool.Choose(now, current, v.hasLabel)
			action.Suspected = append(action.Suspected, unresponsive...)
			f.move(v, to, now)
		}
	}
	f.firstPacketAt = now
	action.Member, action.Label = f.member, f.label
	return action
}

// move reassigns a flow that is not established yet to another endpoint. It does nothing
// if to is nil.
func (f *flow) move(v *View, to *selection.Member, now time.Duration) {
	if to == nil {
		return
	}
	if f.inFlight {
		f.member.RequestDiscarded(f.kind)
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
		return s.handleUnknownLabel(p, fresh, now)
	}
	action := Action{Kind: Forward, Code: resultcode.PacketForwarded, Member: m, Label: p.Label, Response: response}
	if f != nil && (p.Fin || p.Reset) && f.finish(now) {
		action.Event, action.OpenFor = NoResponse, now-f.openedAt
	}
	return action
}

// handleUnknownLabel handles a packet whose label matches no known endpoint. It is
// refused only if the list of endpoints is complete and was confirmed after the first
// packet with the label, so that the endpoint cannot be a new one. A packet without a label
// does not identify its endpoint, which may still be serving the flow, so the packet is
// dropped.
func (s *shard) handleUnknownLabel(p *Packet, fresh Freshness, now time.Duration) Action {
	if p.Reset || p.Label == 0 || !s.unknownBefore(p.Label, now-fresh.Age, now) || !fresh.endpointsComplete(minSettledForReset) {
		return drop(resultcode.RouteUnknownFlow)
	}
	return refuse(resultcode.RouteEndpointGone)
}

// unknownBefore reports whether a label was already unknown at a time, and records that it
// is unknown now.
func (s *shard) unknownBefore(l label.Label, at, now time.Duration) bool {
	since, recorded := s.unknownSince[l]
	if recorded {
		return since < at
	}
	if len(s.unknownSince) < maxUnknownLabels {
		s.unknownSince[l] = now
	}
	return false
}
