package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

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
	if action, relayed := s.returnFirst(t, p, e, now); relayed {
		return action
	}
	if code := s.refusedBefore(p, now); code != resultcode.OK {
		return s.refuse(p, code, now)
	}
	target, code := s.choose(t, p, now)
	if target == nil {
		return s.refuse(p, code, now)
	}
	e.remember(p.Sequence)
	e.flags &^= closedFlags | flagGuessed
	e.opened, e.seen = now, now
	s.restate(e)
	s.move(t, e, target.ID, p.Service.service.ID)
	s.enqueue(t, e)
	s.stats.FlowsOpened++
	return forward(target)
}

// returnFirst relays a first packet that opens a new connection back to the
// owner of a slot that this instance lost. If this instance opened the
// connection near the end of the hand-over, the owner could handle the next
// packet before it has the report. The closed flow is given up, so that packets
// from senders with an older view follow.
func (s *Shard) returnFirst(t *Tables, p *Packet, e *entry, now time.Duration) (Action, bool) {
	if p.HopCount >= maxHops || t.snapshot.Isolated || p.Orphaned || s.limits.ablation.lostReopens {
		return Action{}, false
	}
	owner := s.slot(p.Hash).owner
	if owner == t.self {
		return Action{}, false
	}
	to, known := t.entryAddress(owner)
	if !known {
		return Action{}, false
	}
	if e.has(flagClaimed) {
		// The owner relies on this instance for the flow.
		s.handBack(t, e, owner, e.service, e.endpoint, now)
	} else {
		s.forget(t, e)
	}
	return Action{Kind: Relay, Code: resultcode.PacketRelayed, To: to, HopCount: p.HopCount + 1}, true
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
	if !p.Reset && !s.table.crowded() {
		e := s.record(t, p, target, now)
		e.flags |= flagGuessed
		s.track(t, p, e)
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
	s.restate(e)
	s.enqueue(t, e)
}

// restate makes the flow one that must be reported again: another instance may
// hold it with another endpoint or as closed.
func (s *Shard) restate(e *entry) {
	if e.has(flagReported | flagSending) {
		e.flags = e.flags&^flagReported | flagStale
	}
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
