package steering

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
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
	if f != nil && f.sequence == p.Sequence && !f.closed {
		return s.handleRetransmit(v, r, f, p, fresh, now)
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
	s.countNewFlow(r, now)
	if !pool.Admit(now, r.priorityLevel) {
		return s.overflow(v, r, p, now, pool, refuse(resultcode.RefusedOverload))
	}
	if len(s.flows) >= s.capacity {
		return refuse(resultcode.RefusedTableFull)
	}
	request := r.request(v)
	m, suspects := pool.Choose(now, request)
	if m == nil {
		refused := noEndpoint(fresh, v.noEndpointCode(pool, now))
		refused.Suspected = suspects
		return s.overflow(v, r, p, now, pool, refused)
	}
	action := s.open(v, r, p, m, request.Long, now)
	action.Suspected = suspects
	return action
}

// open records a new flow on an endpoint.
func (s *shard) open(v *View, r *route, p *Packet, m *selection.Member, long bool, now time.Duration) Action {
	f := &flow{
		tuple: p.Tuple, sequence: p.Sequence, member: m, label: v.ownLabels[m], retransmits: p.Retransmits,
		kinds: r.kinds, long: long, openedAt: now, firstPacketAt: now, lastPacketAt: now, inFlight: true,
		timeout: r.timeout(), latencyTarget: r.rule.LatencyTarget,
	}
	f.countLong()
	s.flows[p.Tuple] = f
	return Action{
		Kind: Forward, Code: resultcode.PacketForwarded, Event: Opened,
		Member: m, Label: f.label, Retransmits: f.retransmits,
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
func noEndpoint(fresh Freshness, code resultcode.Code) Action {
	if !fresh.endpointsComplete(minSettledForRefusal) {
		return drop(code)
	}
	return refuse(code)
}

// noEndpointCode returns why a pool has no endpoint for a new flow.
func (v *View) noEndpointCode(pool *selection.Pool, now time.Duration) resultcode.Code {
	if pool.HasWarming(now, v.hasLabel) {
		return resultcode.RefusedWarmUp
	}
	return resultcode.RefusedNoEndpoint
}

// handleRetransmit handles a retransmission of the first packet of a known flow. It is
// forwarded to the same endpoint, because after answers from two endpoints the caller
// may use the label of the wrong one. It moves to another endpoint only if the first one
// is suspect, takes no new flows or has not answered after retransmitsBeforeMove.
func (s *shard) handleRetransmit(v *View, r *route, f *flow, p *Packet, fresh Freshness, now time.Duration) Action {
	f.lastPacketAt = now
	if f.established {
		return Action{Kind: Drop, Code: resultcode.DroppedLateCopy}
	}
	if r == nil {
		// The rule was removed after the first transmission.
		s.discard(f)
		return noRoute(fresh)
	}
	f.retransmits = max(f.retransmits+1, p.Retransmits)
	action := Action{Kind: Forward, Code: resultcode.PacketForwarded, Event: Retransmitted, Retransmits: f.retransmits}
	current := f.member
	if current.FirstPacketRetransmitted(now, f.firstPacketAt) {
		action.Suspected = append(action.Suspected, current)
	}
	status := current.Status(now)
	mayStay := status.Exclusion.TakesCopies() && r.serves(current.Pool())
	var to *selection.Member
	if !mayStay || status.Condition >= selection.Suspect || f.retransmits >= retransmitsBeforeMove {
		var suspects []*selection.Member
		to, suspects = r.chooseOther(v, p.Hash, f, now)
		action.Suspected = append(action.Suspected, suspects...)
		f.move(v, to, now)
		mayStay = mayStay || to != nil
	}
	if !mayStay {
		// A reset could end the flow if the endpoint has answered an earlier transmission.
		return drop(resultcode.RefusedNoEndpoint)
	}
	if to == nil {
		current.CopySent(now)
	}
	f.firstPacketAt = now
	action.Member, action.Label = f.member, f.label
	return action
}

// chooseOther returns another endpoint for a flow, nil if there is none, and the endpoints
// that became suspect.
func (r *route) chooseOther(v *View, hash common.FlowHash, f *flow, now time.Duration) (*selection.Member, []*selection.Member) {
	pool := r.pick(hash)
	if own := f.member.Pool(); f.overflowed && r.serves(own) {
		pool = own
	}
	if pool == nil {
		return nil, nil
	}
	request := r.request(v)
	request.Avoid, request.Long = f.member, f.long
	return pool.Choose(now, request)
}

// request describes a new flow of the rule to the pool that chooses its endpoint.
func (r *route) request(v *View) selection.Request {
	return selection.Request{Eligible: v.hasLabel, Long: r.kinds.Long()}
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
	f.bind(to)
	f.label = v.ownLabels[to]
	f.inFlight = true
	f.openedAt = now
}
