package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Shard holds the flows of one part of the hash range. It is not safe for
// concurrent use.
type Shard struct {
	index  int
	limits Limits
	table  entryTable
	stats  Stats
}

// NewShard returns an empty shard.
func NewShard(index int, limits Limits) *Shard {
	return &Shard{index: index, limits: limits, table: newEntryTable(limits.MaxFlows)}
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
	if p.First {
		return s.open(p, now)
	}
	return s.adopt(p, now)
}

// route relays packets that another instance must handle.
func (s *Shard) route(t *Tables, p *Packet, leaseValid bool) (Action, bool) {
	if t.snapshot.Isolated {
		return Action{}, false
	}
	slot := p.Hash.Slot()
	target, found := t.owners.Owner(slot)
	if !leaseValid && found && target == t.self {
		target, found = t.owners.Successor(slot)
	}
	if !found {
		return s.routeWithoutOwner(t, leaseValid)
	}
	if target == t.self {
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
	to, known := t.entryAddress(target)
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

func (s *Shard) handleKnown(t *Tables, p *Packet, e *entry, now time.Duration) Action {
	if e.service != p.Service.service.ID {
		// The address was given to another service: the old flow is over.
		s.drop(t, e)
		if p.First {
			return s.open(p, now)
		}
		return s.adopt(p, now)
	}
	if p.First && p.Tuple.Protocol == common.ProtocolTCP {
		return s.handleRepeatedFirst(t, p, e, now)
	}
	target := p.Service.endpoints[e.endpoint]
	if target == nil {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	e.seen = now
	s.track(p, e)
	return forward(target)
}

// track notes the end of a connection from the caller's side.
func (s *Shard) track(p *Packet, e *entry) {
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

func (s *Shard) handleRepeatedFirst(t *Tables, p *Packet, e *entry, now time.Duration) Action {
	if action, dropped := dropFirstData(p); dropped {
		return action
	}
	target := p.Service.endpoints[e.endpoint]
	same := e.has(flagSequence) && e.sequence == p.Sequence
	if same {
		if target == nil {
			return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
		}
		target.counters.repeats.Add(1)
		e.seen = now
		return forward(target)
	}
	closed := e.has(closedFlags)
	if closed || target == nil || !target.eligible {
		s.drop(t, e)
		return s.open(p, now)
	}
	e.sequence = p.Sequence
	e.flags |= flagSequence
	e.seen = now
	return forward(target)
}

// open admits or refuses the first packet of a new flow.
func (s *Shard) open(p *Packet, now time.Duration) Action {
	if action, dropped := dropFirstData(p); dropped {
		return action
	}
	if s.table.full() {
		return s.refuse(p, resultcode.RefusedTableFull)
	}
	target := p.Service.endpoints[p.Service.table.Default(p.Hash.Bucket())]
	if target == nil {
		return s.refuse(p, resultcode.RefusedNoEndpoint)
	}
	e := s.record(p, target, now)
	e.sequence = p.Sequence
	e.flags |= flagSequence
	s.stats.FlowsOpened++
	return forward(target)
}

// adopt resolves a mid-flow packet of a flow that is not in the table.
func (s *Shard) adopt(p *Packet, now time.Duration) Action {
	target := p.Service.endpoints[p.Service.table.Default(p.Hash.Bucket())]
	if target == nil {
		return Action{Kind: Drop, Code: resultcode.RouteUnknownFlow}
	}
	if target.State == common.EndpointDown && !target.eligible {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	if !p.Reset && !s.table.full() {
		e := s.record(p, target, now)
		s.track(p, e)
		s.stats.FlowsAdopted++
	}
	return forward(target)
}

func (s *Shard) record(p *Packet, target *endpoint, now time.Duration) *entry {
	e := s.table.add(p.Hash, &p.Tuple)
	e.opened, e.seen = now, now
	e.service = p.Service.service.ID
	e.endpoint = target.ID
	target.counters.open.Add(1)
	return e
}

// drop removes a flow from the table.
func (s *Shard) drop(t *Tables, e *entry) {
	if service := t.service(e.service); service != nil {
		if target := service.endpoints[e.endpoint]; target != nil {
			target.counters.open.Add(-1)
		}
	}
	s.table.remove(e)
}

// refuse rejects a flow of which no packet was forwarded. UDP callers get no
// answer.
func (s *Shard) refuse(p *Packet, code resultcode.Code) Action {
	s.stats.FlowsRefused++
	if p.Tuple.Protocol != common.ProtocolTCP {
		return Action{Kind: Drop, Code: code}
	}
	return Action{Kind: Refuse, Code: code}
}

// dropFirstData drops a first packet with data for a service whose requests
// must not run twice; the caller's TCP stack repeats it without data.
func dropFirstData(p *Packet) (Action, bool) {
	if p.Tuple.Protocol != common.ProtocolTCP || p.PayloadLength == 0 || p.Service.service.Idempotent {
		return Action{}, false
	}
	return Action{Kind: Drop, Code: resultcode.DroppedFirstData}, true
}

func forward(target *endpoint) Action {
	return Action{Kind: Forward, Code: resultcode.PacketForwarded, Endpoint: target.ID, To: target.Tunnel}
}

// Install is called once for each new Tables before packets are handled with
// them.
func (s *Shard) Install(_ *Tables, _ time.Duration) {
}

// Expire removes flows that ended or were idle for too long. It examines at
// most maxEntries entries and returns the number removed.
func (s *Shard) Expire(_ time.Duration, _ int) int {
	return 0
}

// TakeReplication returns the updates that are due for other instances, within
// the budget.
func (s *Shard) TakeReplication(_ *Tables, _ time.Duration, _ *Budget) []common.ReplicationBatch {
	return nil
}

// AckReplication notes that the target holds the batch with this sequence.
func (s *Shard) AckReplication(_ common.InstanceID, _ uint64) {
}

// AddReplication stores updates from another instance.
func (s *Shard) AddReplication(_ *Tables, _ *common.ReplicationBatch, _ time.Duration) {
}

// PullReplication returns the state of the slots that the joiner owns in the
// future tables.
func (s *Shard) PullReplication(_, _ *Tables, _ common.InstanceID) common.ReplicationBatch {
	return common.ReplicationBatch{}
}

// Stats returns the counters.
func (s *Shard) Stats() Stats {
	stats := s.stats
	stats.OpenFlows = s.table.used
	stats.MaxFlows = s.limits.MaxFlows
	return stats
}
