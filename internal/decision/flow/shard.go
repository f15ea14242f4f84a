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
	lateDuplicateLife = 60 * time.Second
	// handoverFirst and handoverKnown are how long the new owner of a slot
	// sends unknown first packets and unknown other packets to the living
	// former owner. Views differ for up to about a second after a change, and
	// flows that the former owner opened meanwhile must be reported before
	// handoverKnown ends.
	handoverFirst = 2 * time.Second
	handoverKnown = 6 * time.Second
	// maxHops is the hop count with which a packet is never relayed again: one
	// hop to the owner and one from it to the former owner.
	maxHops = 2
)

// Shard holds the flows of one part of the hash range. It is not safe for
// concurrent use.
type Shard struct {
	index     int
	limits    Limits
	table     entryTable
	tables    *Tables // last installed
	installed time.Duration
	slots     [shardSlots]slotState
	slotBases map[slotService]slotBase
	sources   map[common.InstanceID]*source
	targets   map[common.InstanceID]*target
	queue     []queued
	rebuild   bool // the queue no longer matches targets and bases
	sequence  uint64
	turn      int
	cursor    int
	refusals  [refusalClasses]refusal
	stats     Stats
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
		slotBases: make(map[slotService]slotBase),
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
	if e := s.table.find(p.Hash, &p.Tuple); e != nil {
		return s.handleKnown(t, p, e, now)
	}
	if action, relayed := s.askFormerOwner(t, p, now); relayed {
		return action
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
		return Action{Kind: Drop, Code: code}, !leaseValid
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

// askFormerOwner relays a packet of an unknown flow to the former owner of the
// slot, which has the flow in its table if it opened it around the change.
func (s *Shard) askFormerOwner(t *Tables, p *Packet, now time.Duration) (Action, bool) {
	if p.HopCount >= maxHops || t.snapshot.Isolated || s.limits.ablation.noHandover {
		return Action{}, false
	}
	state := s.slot(p.Hash)
	if state.former == 0 || now-state.changed >= handoverKnown {
		return Action{}, false
	}
	if p.First && p.Tuple.Protocol == common.ProtocolTCP && now-state.changed >= handoverFirst {
		return Action{}, false
	}
	if !t.relaysFor(state.former) {
		return Action{}, false
	}
	to, known := t.entryAddress(state.former)
	if !known {
		return Action{}, false
	}
	return Action{Kind: Relay, Code: resultcode.PacketRelayed, To: to, HopCount: p.HopCount + 1}, true
}

func (s *Shard) handleKnown(t *Tables, p *Packet, e *entry, now time.Duration) Action {
	s.take(t, p, e)
	if p.First && p.Tuple.Protocol == common.ProtocolTCP {
		return s.handleRepeatedFirst(t, p, e, now)
	}
	// An endpoint number belongs to one address for ever, so a flow whose
	// endpoint is not in the service is a flow of a former service at this
	// address, or its endpoint was removed.
	target := p.Service.endpoints[e.endpoint]
	if target == nil {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	e.seen = now
	track(p, e)
	return forward(target)
}

// take makes a reported flow one that this instance handles.
func (s *Shard) take(t *Tables, p *Packet, e *entry) {
	if e.has(flagHeld) {
		s.inherit(t, e)
	}
	if e.has(flagNoTuple) {
		e.tuple = p.Tuple
		e.flags &^= flagNoTuple
	}
}

// track notes the end of a connection from the caller's side.
func track(p *Packet, e *entry) {
	switch {
	case p.Reset:
		e.flags |= flagReset
	case p.Fin:
		e.flags |= flagFin
	default:
		// A connection that goes on was not reset: the reset was a late packet
		// of an earlier one.
		e.flags &^= flagReset
	}
}

// handleRepeatedFirst handles a TCP first packet on a five-tuple with a flow.
func (s *Shard) handleRepeatedFirst(t *Tables, p *Packet, e *entry, now time.Duration) Action {
	if p.PayloadLength > 0 {
		return Action{Kind: Drop, Code: resultcode.DroppedFirstData}
	}
	target := p.Service.endpoints[e.endpoint]
	if e.has(flagSequence) && e.sequence == p.Sequence {
		if target == nil {
			return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
		}
		target.counters.repeats.Add(1)
		e.seen = now
		return forward(target)
	}
	if s.movable(p, e, target, now) {
		return s.reopen(t, p, e, now)
	}
	if !e.has(flagPrevious) || e.previous != p.Sequence {
		e.remember(p.Sequence)
	}
	e.seen = now
	return forward(target)
}

// movable reports whether a first packet with another sequence number may get a
// new endpoint. A late duplicate of an earlier connection must not move a live
// flow, so a flow that was not closed stays on an endpoint that takes no new
// flows until no such duplicate can exist. If the caller did open a new
// connection, the endpoint's answer makes it reset the old one and repeat the
// first packet.
func (s *Shard) movable(p *Packet, e *entry, target *endpoint, now time.Duration) bool {
	if target == nil || target.State == common.EndpointDown {
		return true
	}
	if e.has(flagPrevious) && e.previous == p.Sequence {
		return false
	}
	if e.has(closedFlags) {
		return true
	}
	if target.eligible {
		return false
	}
	return now-e.opened >= lateDuplicateLife || s.limits.ablation.reuseMoves
}

// remember notes the initial sequence number of the present connection.
func (e *entry) remember(sequence uint32) {
	if e.has(flagSequence) {
		e.previous = e.sequence
		e.flags |= flagPrevious
	}
	e.sequence = sequence
	e.flags |= flagSequence
}

// open admits or refuses the first packet of a new flow.
func (s *Shard) open(t *Tables, p *Packet, now time.Duration) Action {
	if p.Tuple.Protocol == common.ProtocolTCP {
		// No service gets data in a first packet: another copy of the packet
		// may be refused elsewhere, and a refused request must not have run.
		if p.PayloadLength > 0 {
			return Action{Kind: Drop, Code: resultcode.DroppedFirstData}
		}
		if code := s.refusedBefore(p, now); code != resultcode.OK {
			return s.refuse(p, code, now)
		}
	}
	if s.table.full() {
		return s.refuse(p, resultcode.RefusedTableFull, now)
	}
	target, code := s.choose(t, p, now)
	if target == nil {
		return s.refuse(p, code, now)
	}
	e := s.record(t, p, target, now)
	e.remember(p.Sequence)
	s.stats.FlowsOpened++
	return forward(target)
}

// reopen gives a new connection on the five-tuple of an old one an endpoint.
func (s *Shard) reopen(t *Tables, p *Packet, e *entry, now time.Duration) Action {
	if code := s.refusedBefore(p, now); code != resultcode.OK {
		return s.refuse(p, code, now)
	}
	target, code := s.choose(t, p, now)
	if target == nil {
		return s.refuse(p, code, now)
	}
	s.move(t, e, target.ID, p.Service.service.ID)
	e.remember(p.Sequence)
	e.flags &^= closedFlags | flagGuessed
	e.opened, e.seen = now, now
	s.stats.FlowsOpened++
	return forward(target)
}

// adopt resolves a packet in the middle of a flow that is not in the table.
func (s *Shard) adopt(t *Tables, p *Packet, now time.Duration) Action {
	id := s.resolve(t, p.Service, p.Hash)
	target := p.Service.endpoints[id]
	if target == nil {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	if target.State == common.EndpointDown && !target.eligible {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	if !p.Reset && !s.table.full() {
		e := s.record(t, p, target, now)
		e.flags |= flagGuessed
		track(p, e)
		s.stats.FlowsAdopted++
	}
	return forward(target)
}

// record enters a flow in the table.
func (s *Shard) record(t *Tables, p *Packet, target *endpoint, now time.Duration) *entry {
	e := s.table.add(p.Hash)
	e.tuple = p.Tuple
	e.opened, e.seen = now, now
	e.service = p.Service.service.ID
	e.endpoint = target.ID
	target.counters.open.Add(1)
	s.enqueue(t, e)
	return e
}

// move changes the endpoint of a flow.
func (s *Shard) move(t *Tables, e *entry, id common.EndpointID, service common.ServiceID) {
	if e.endpoint == id && e.service == service {
		return
	}
	t.count(e, -1)
	e.endpoint = id
	e.service = service
	t.count(e, 1)
	if e.has(flagReported | flagSending) {
		e.flags = e.flags&^flagReported | flagStale
	}
	s.enqueue(t, e)
}

// inherit makes a held flow one of this instance.
func (s *Shard) inherit(t *Tables, e *entry) {
	e.flags &^= flagHeld | flagSequence
	e.sequence = 0
	s.table.held--
	t.count(e, 1)
	s.enqueue(t, e)
}

// remove ends a flow and withdraws it from the instance that holds it.
func (s *Shard) remove(t *Tables, e *entry) {
	if !e.has(flagHeld) {
		t.count(e, -1)
		s.withdraw(e)
	}
	s.table.remove(e)
}

// forget removes a flow that another instance handles now.
func (s *Shard) forget(t *Tables, e *entry) {
	if !e.has(flagHeld) {
		t.count(e, -1)
	}
	s.table.remove(e)
}

// refuse rejects a flow of which no packet was forwarded. UDP callers get no
// answer.
func (s *Shard) refuse(p *Packet, code resultcode.Code, now time.Duration) Action {
	s.stats.FlowsRefused++
	if p.Tuple.Protocol != common.ProtocolTCP {
		return Action{Kind: Drop, Code: code}
	}
	s.rememberRefusal(p, code, now)
	return Action{Kind: Refuse, Code: code}
}

func forward(target *endpoint) Action {
	return Action{Kind: Forward, Code: resultcode.PacketForwarded, Endpoint: target.ID, To: target.Tunnel}
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
