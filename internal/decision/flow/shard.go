package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// lateDuplicateLife is how long a first packet of an earlier connection on
	// the same five-tuple may still arrive: the longest life of a TCP segment
	// in practice.
	maxSegmentLifetime = 60 * time.Second
	// handover is how long the new owner of a slot sends packets of unknown
	// flows to the living former owner. Views differ for up to about a second
	// after a change, and reports of the flows that were opened meanwhile may
	// be lost twice.
	handoverPeriod = 6 * time.Second
	// maxOwnerHops and maxFormerHops are the highest hop counts with which an
	// owner and a former owner ask the owner before them. They cover one hop to
	// the owner and a slot that moved twice within the hand-over. maxHops is the
	// highest hop count: with it a packet came back to the owner and is never
	// relayed again.
	maxOwnerHops  = 1
	maxFormerHops = 2
	maxHops       = 4
)

// Shard holds the flows of one part of the hash range. It is not safe for
// concurrent use.
type Shard struct {
	index        int
	limits       Limits
	table        entryTable
	tables       *Tables // last installed
	installedAt  time.Duration
	slots        [shardSlots]slotState
	slotBases    map[slotBaseKey]slotBase
	sources      map[common.InstanceID]*source
	targets      map[common.InstanceID]*target
	queue        []queuedFlow
	queueStale   bool // the queue no longer matches targets and bases
	sequence     uint64
	round        int
	expireCursor int
	refusals     [refusalCacheSize]refusal
	stats        Stats
}

// NewShard returns an empty shard. Install must be called before packets are
// handled.
func NewShard(index int, limits Limits) *Shard {
	if limits.MaxExceptions == 0 {
		limits.MaxExceptions = limits.MaxFlows
	}
	return &Shard{
		index:     index,
		limits:    limits,
		table:     newEntryTable(limits),
		slotBases: make(map[slotBaseKey]slotBase),
		sources:   make(map[common.InstanceID]*source),
		targets:   make(map[common.InstanceID]*target),
		sequence:  limits.FirstSequence,
	}
}

// Handle decides what happens to a packet. LeaseValid tells whether this
// instance may act as an owner now.
func (s *Shard) Handle(t *Tables, p *Packet, now time.Duration, leaseValid bool) Action {
	if action, done := s.route(t, p, leaseValid); done {
		return action
	}
	e := s.table.find(p.Hash, &p.Tuple)
	if e == nil || e.has(flagNoTuple|flagUnconfirmed) {
		// What another instance reported, or what this one knew when it lost
		// the slot, may be older than what the other knows now.
		if action, relayed := s.relayUnknownFlow(t, p, now); relayed {
			if e != nil {
				e.lastSeen = now
			}
			return action
		}
	}
	if e != nil {
		return s.handleKnown(t, p, e, now)
	}
	if p.First {
		return s.open(t, p, now)
	}
	return s.adopt(t, p, now)
}

// route relays packets that another instance must handle.
func (s *Shard) route(t *Tables, p *Packet, leaseValid bool) (Action, bool) {
	if t.snapshot.Isolated {
		return Action{}, false
	}
	slot := p.Hash.Slot()
	owner, found := t.owners.Owner(slot)
	if !leaseValid && found && owner == t.self {
		owner, found = t.owners.Successor(slot)
	}
	if !found {
		return s.routeWithoutOwner(t, leaseValid)
	}
	if owner == t.self {
		return Action{}, false
	}
	code := resultcode.PacketRelayed
	if !leaseValid {
		code = resultcode.RouteFenced
	}
	if p.HopCount > 0 {
		// A fenced instance cannot know where the flow is now: a lost packet
		// is repeated, a wrong endpoint resets the connection.
		return Action{Kind: Drop, Code: code}, !leaseValid && !p.Orphaned
	}
	to, known := t.entryAddress(owner)
	if !known {
		return Action{Kind: Drop, Code: resultcode.RouteNoOwner}, true
	}
	return Action{Kind: Relay, Code: code, To: to, HopCount: p.HopCount + 1}, true
}

// routeWithoutOwner handles packets locally when this instance is the only one
// or the last one that leaves.
func (s *Shard) routeWithoutOwner(t *Tables, leaseValid bool) (Action, bool) {
	if !leaseValid {
		return Action{}, false
	}
	if t.selfMember != nil && t.selfMember.State == common.MemberLeaving {
		return Action{}, false
	}
	return Action{Kind: Drop, Code: resultcode.RouteNoOwner}, true
}

// askOther relays a packet of a flow that this instance has not seen to one that
// may have.
// Views differ for a while after a change: the sender may have seen a change
// that this instance has not, and the former owner of a slot has the flows that
// it opened around the change.
func (s *Shard) relayUnknownFlow(t *Tables, p *Packet, now time.Duration) (Action, bool) {
	if p.HopCount >= maxHops || t.snapshot.Isolated || p.Orphaned || s.limits.ablation.noHandover {
		return Action{}, false
	}
	state := s.slotOf(p.Hash)
	other := state.owner
	limit := uint8(maxFormerHops)
	if state.owner == t.self {
		limit = maxOwnerHops
	}
	if former := s.handoverSource(t, state, now); p.HopCount <= limit && former != 0 {
		other = former
	}
	if other == t.self {
		return Action{}, false
	}
	to, known := t.entryAddress(other)
	if !known {
		return Action{}, false
	}
	return Action{Kind: Relay, Code: resultcode.PacketRelayed, To: to, HopCount: p.HopCount + 1}, true
}

// knowingFormer returns the instance that may have flows of a gained slot that it
// has not reported yet, 0 is none: the former owner or, if that one died within
// the hand-over, the owner before it.
func (s *Shard) handoverSource(t *Tables, state *slotState, now time.Duration) common.InstanceID {
	switch {
	case state.formerOwner == 0 || now-state.gained >= handoverPeriod:
		return 0
	case t.acceptsRelays(state.formerOwner):
		return state.formerOwner
	case state.earlierOwner != 0 && t.acceptsRelays(state.earlierOwner) && !s.limits.ablation.noEarlierOwner:
		return state.earlierOwner
	}
	return 0
}

func (s *Shard) handleKnown(t *Tables, p *Packet, e *entry, now time.Duration) Action {
	s.takeOver(t, p, e)
	if p.First && p.Tuple.Protocol == common.ProtocolTCP {
		return s.handleFirstOnKnown(t, p, e, now)
	}
	// An endpoint number belongs to one address for ever, so a flow whose
	// endpoint is not in the service is a flow of a former service at this
	// address, or its endpoint was removed.
	ep := p.Service.endpoints[e.endpoint]
	if ep == nil {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	e.lastSeen = now
	s.trackClose(t, p, e)
	return forward(ep)
}

// take makes a reported flow one that this instance handles.
func (s *Shard) takeOver(t *Tables, p *Packet, e *entry) {
	if e.has(flagHeld) {
		s.promote(t, e)
	}
	if e.has(flagNoTuple) {
		e.tuple = p.Tuple
		e.flags &^= flagNoTuple
	}
}

// track notes the end of a connection from the caller's side.
func (s *Shard) trackClose(t *Tables, p *Packet, e *entry) {
	switch {
	case p.Reset:
		e.flags |= flagReset
		s.withdrawReset(t, e)
	case p.Fin:
		e.flags |= flagFin
	case e.has(flagReset):
		// A connection that goes on was not reset: the reset was a late packet
		// of an earlier one.
		s.cancelReset(t, e)
	}
}

// resume takes back that a flow was reset. If another instance owns the slot,
// the flow was withdrawn there, whatever its default.
func (s *Shard) cancelReset(t *Tables, e *entry) {
	e.flags &^= flagReset
	if s.slotOf(e.hash).owner != t.self {
		e.flags |= flagStale
	}
	s.enqueue(t, e)
}

// withdrawLost takes back the report of a reset flow in a slot that another
// instance owns now, so that it does not keep a new connection on the endpoint.
func (s *Shard) withdrawReset(t *Tables, e *entry) {
	state := s.slotOf(e.hash)
	if state.owner == t.self || !e.has(reportedFlags) {
		return
	}
	if rt := s.slotTarget(state); rt != nil {
		rt.withdrawals = append(rt.withdrawals, withdrawal{e.service, e.endpoint, e.hash})
	}
	e.flags &^= reportedFlags
}

// handleRepeatedFirst handles a TCP first packet on a five-tuple with a flow.
func (s *Shard) handleFirstOnKnown(t *Tables, p *Packet, e *entry, now time.Duration) Action {
	if p.PayloadLength > 0 {
		return Action{Kind: Drop, Code: resultcode.DroppedFirstData}
	}
	ep := p.Service.endpoints[e.endpoint]
	if e.has(flagSequence) && e.sequence == p.Sequence {
		return s.handleRetransmittedFirst(t, p, e, ep, now)
	}
	if s.mayReassign(p, e, ep, now) {
		return s.reopen(t, p, e, now)
	}
	if !e.has(flagPrevious) || e.previous != p.Sequence {
		e.setSequence(p.Sequence)
	}
	e.lastSeen = now
	return forward(ep)
}

// repeatFirst handles a first packet that the flow began with. If the caller
// reset the connection in between, its endpoint had answered the first packet
// for an older connection, and the caller opens this one again.
func (s *Shard) handleRetransmittedFirst(t *Tables, p *Packet, e *entry, ep *endpoint, now time.Duration) Action {
	if ep == nil {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	if e.has(flagReset) && !ep.eligible {
		return s.reopen(t, p, e, now)
	}
	if e.has(flagReset) {
		s.cancelReset(t, e)
	}
	ep.counters.repeats.Add(1)
	e.lastSeen = now
	return forward(ep)
}

// movable reports whether a first packet with another sequence number may get a
// new endpoint. A late duplicate of an earlier connection must not move a live
// flow, so a flow that was not closed stays on an endpoint that takes no new
// flows until no such duplicate can exist. If the caller did open a new
// connection, the endpoint's answer makes it reset the old one and repeat the
// first packet.
func (s *Shard) mayReassign(p *Packet, e *entry, ep *endpoint, now time.Duration) bool {
	if ep == nil || ep.State == common.EndpointDown {
		return true
	}
	if e.has(flagPrevious) && e.previous == p.Sequence {
		return false
	}
	if e.has(closedFlags) {
		return true
	}
	if ep.eligible {
		return false
	}
	return now-e.opened >= maxSegmentLifetime || s.limits.ablation.moveReusedTuples
}

// remember notes the initial sequence number of the present connection.
func (e *entry) setSequence(sequence uint32) {
	if e.has(flagSequence) {
		e.previous = e.sequence
		e.flags |= flagPrevious
	}
	e.sequence = sequence
	e.flags |= flagSequence
}

// Stats returns the counters.
func (s *Shard) Stats() Stats {
	stats := s.stats
	stats.OpenFlows = s.table.flows()
	stats.MaxFlows = s.limits.MaxFlows
	stats.ExceptionsHeld = s.table.held
	stats.Pending = s.pending()
	for i := range s.table.entries {
		if s.table.entries[i].has(flagReported) {
			stats.ExceptionsOwned++
		}
	}
	return stats
}
