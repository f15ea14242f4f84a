package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// maxSegmentLifetime is how long a first packet of an earlier connection on
	// the same five-tuple may still arrive: the maximum lifetime of a TCP segment
	// in practice.
	maxSegmentLifetime = 60 * time.Second
	// handoverPeriod is how long the new owner of a slot relays packets of
	// unknown flows to the former owner if that one is still running. Views
	// differ for up to about a second after a change, and the reports of flows
	// opened in that time may be lost twice.
	handoverPeriod = 6 * time.Second
	// maxOwnerHops and maxFormerHops are the maximum hop counts with which an
	// owner and a former owner, respectively, relay a packet to the owner before
	// them. They cover one hop to the owner and a slot that moved twice within
	// the handover.
	// maxHops is the maximum hop count of any packet: with it, a packet has
	// returned to the owner and is never relayed again.
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
	queue        []queuedFlow // flows that may need a report
	queueStale   bool         // the queue does not match the current targets and bases
	sequence     uint64       // number of the last batch
	round        int          // of TakeReplication; rotates the order of targets
	expireCursor int          // position of the entry that Expire examines next
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

// Handle returns the action for a packet. leaseValid is true if this instance holds
// a valid lease and may act as an owner.
func (s *Shard) Handle(t *Tables, p *Packet, now time.Duration, leaseValid bool) Action {
	if action, done := s.route(t, p, leaseValid); done {
		return action
	}
	e := s.table.find(p.Hash, &p.Tuple)
	if e == nil || e.has(flagNoTuple|flagUnconfirmed) {
		// A reported endpoint, or one stored before this instance lost the slot,
		// may be older than the one at the other instance.
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

// route returns the relay or drop action for a packet that this instance must not
// handle, and whether there is one.
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
		// A fenced instance may have outdated flows. The sender retransmits a
		// dropped packet, but a wrong endpoint resets the connection.
		return Action{Kind: Drop, Code: code}, !leaseValid && !p.Orphaned
	}
	to, known := t.entryAddress(owner)
	if !known {
		return Action{Kind: Drop, Code: resultcode.RouteNoOwner}, true
	}
	return Action{Kind: Relay, Code: code, To: to, HopCount: p.HopCount + 1}, true
}

// routeWithoutOwner drops a packet whose slot has no owner, unless this instance
// must handle it: as the only instance while its lease is not valid, or as the last
// instance while it is leaving.
func (s *Shard) routeWithoutOwner(t *Tables, leaseValid bool) (Action, bool) {
	if !leaseValid {
		return Action{}, false
	}
	if t.selfMember != nil && t.selfMember.State == common.MemberLeaving {
		return Action{}, false
	}
	return Action{Kind: Drop, Code: resultcode.RouteNoOwner}, true
}

// relayUnknownFlow relays a packet of a flow that this instance has not handled to
// an instance that may have handled it, and reports whether there is one. Views
// differ for some time after a change: the sender may have applied a change that
// this instance has not, and the former owner of a slot has the flows that it
// opened around the change.
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

// handoverSource returns the instance that may have unreported flows of a gained
// slot, or 0. It is the former owner or, if that one died within the handover, the
// owner before it.
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

// handleKnown handles a packet of a flow in the table.
func (s *Shard) handleKnown(t *Tables, p *Packet, e *entry, now time.Duration) Action {
	s.takeOver(t, p, e)
	if p.First && p.Tuple.Protocol == common.ProtocolTCP {
		return s.handleFirstOnKnown(t, p, e, now)
	}
	// An endpoint ID is never reused for another address. If the service does not
	// have the endpoint, it was removed or the flow belongs to a former service at
	// this address.
	ep := p.Service.endpoints[e.endpoint]
	if ep == nil {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	e.lastSeen = now
	s.trackClose(t, p, e)
	return forward(ep)
}

// takeOver makes this instance the one that handles a reported flow.
func (s *Shard) takeOver(t *Tables, p *Packet, e *entry) {
	if e.has(flagHeld) {
		s.promote(t, e)
	}
	if e.has(flagNoTuple) {
		e.tuple = p.Tuple
		e.flags &^= flagNoTuple
	}
}

// trackClose records whether the packet closes or resets the connection.
func (s *Shard) trackClose(t *Tables, p *Packet, e *entry) {
	switch {
	case p.Reset:
		e.flags |= flagReset
		s.withdrawReset(t, e)
	case p.Fin:
		e.flags |= flagFin
	case e.has(flagReset):
		// A later packet shows that the connection is open: the reset was a late
		// packet of an earlier connection.
		s.cancelReset(t, e)
	}
}

// cancelReset marks a flow as not reset. If another instance owns the slot, the
// flow was withdrawn there and is reported again even if it is on its default.
func (s *Shard) cancelReset(t *Tables, e *entry) {
	e.flags &^= flagReset
	if s.slotOf(e.hash).owner != t.self {
		e.flags |= flagStale
	}
	s.enqueue(t, e)
}

// withdrawReset withdraws the report of a reset flow from the current owner of a
// lost slot. Otherwise the report would keep a new connection on the endpoint.
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

// handleFirstOnKnown handles a TCP first packet whose five-tuple has a flow.
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

// handleRetransmittedFirst handles a retransmission of the packet that opened the
// flow. If the caller reset the connection in between, the endpoint had responded
// for an older connection on the five-tuple, and the caller now opens this
// connection again.
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
	ep.counters.retransmissions.Add(1)
	e.lastSeen = now
	return forward(ep)
}

// mayReassign reports whether a first packet with another sequence number may get a
// new endpoint. A late duplicate of an earlier connection must not move an open
// flow. A flow that was not closed therefore stays on an ineligible endpoint
// until such a duplicate can no longer arrive. If the packet does open a new
// connection, the response of the endpoint makes the caller reset the old one and
// retransmit the first packet.
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

// setSequence stores the initial sequence number of a new connection. The former
// number becomes the previous one.
func (e *entry) setSequence(sequence uint32) {
	if e.has(flagSequence) {
		e.previous = e.sequence
		e.flags |= flagPrevious
	}
	e.sequence = sequence
	e.flags |= flagSequence
}

// Stats returns the current counters of the shard.
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
