package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// open admits or refuses the first packet of a new flow.
func (s *Shard) open(t *Tables, p *Packet, now time.Duration) Action {
	if p.Tuple.Protocol == common.ProtocolTCP {
		// Data in a first packet is never forwarded: another instance may refuse
		// a retransmission, and a refused request must not have run.
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
	ep, code := s.chooseEndpoint(t, p, now)
	if ep == nil {
		return s.refuse(p, code, now)
	}
	e := s.insert(t, p, ep, now)
	e.setSequence(p.Sequence)
	s.stats.FlowsOpened++
	return forward(ep)
}

// reopen admits or refuses a new connection on the five-tuple of an existing flow.
func (s *Shard) reopen(t *Tables, p *Packet, e *entry, now time.Duration) Action {
	if action, relayed := s.relayFirstToOwner(t, p, e, now); relayed {
		return action
	}
	if code := s.refusedBefore(p, now); code != resultcode.OK {
		return s.refuse(p, code, now)
	}
	ep, code := s.chooseEndpoint(t, p, now)
	if ep == nil {
		return s.refuse(p, code, now)
	}
	e.setSequence(p.Sequence)
	e.flags &^= closedFlags | flagUnconfirmed
	e.opened, e.lastSeen = now, now
	s.invalidateReport(e)
	s.reassign(t, e, ep.ID, p.Service.service.ID)
	s.enqueue(t, e)
	s.stats.FlowsOpened++
	return forward(ep)
}

// relayFirstToOwner relays a first packet that opens a new connection to the owner
// of a slot that this instance lost, and reports whether it did. If this instance
// opened the connection near the end of the handover, the owner could handle the
// next packet before it receives the report. The closed flow is removed or handed
// back, so that later packets, from senders that still regard this instance as the
// owner, are relayed as well.
func (s *Shard) relayFirstToOwner(t *Tables, p *Packet, e *entry, now time.Duration) (Action, bool) {
	if p.HopCount >= maxHops || t.snapshot.Isolated || p.Orphaned || s.limits.ablation.reopenInLostSlots {
		return Action{}, false
	}
	owner := s.slotOf(p.Hash).owner
	if owner == t.self {
		return Action{}, false
	}
	to, known := t.entryAddress(owner)
	if !known {
		return Action{}, false
	}
	if e.has(flagReportedByOwner) {
		// The owner relies on this instance to keep the flow.
		s.handBack(t, e, owner, e.service, e.endpoint, now)
	} else {
		s.discard(t, e)
	}
	return Action{Kind: Relay, Code: resultcode.PacketRelayed, To: to, HopCount: p.HopCount + 1}, true
}

// adopt handles a packet of an established flow that is not in the table: it
// forwards the packet to the default endpoint and adds the flow.
func (s *Shard) adopt(t *Tables, p *Packet, now time.Duration) Action {
	id := s.resolveUnknownFlow(t, p.Service, p.Hash)
	ep := p.Service.endpoints[id]
	if ep == nil {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	if ep.State == common.EndpointDown && !ep.eligible {
		return Action{Kind: Drop, Code: resultcode.RouteEndpointGone}
	}
	if !p.Reset && !s.table.exhausted() {
		e := s.insert(t, p, ep, now)
		e.flags |= flagUnconfirmed
		s.trackClose(t, p, e)
		s.stats.FlowsAdopted++
	}
	return forward(ep)
}

// insert adds a flow to the table.
func (s *Shard) insert(t *Tables, p *Packet, ep *endpoint, now time.Duration) *entry {
	e := s.table.add(p.Hash)
	e.tuple = p.Tuple
	e.opened, e.lastSeen = now, now
	e.service = p.Service.service.ID
	e.endpoint = ep.ID
	ep.counters.open.Add(1)
	s.enqueue(t, e)
	return e
}

// reassign changes the endpoint and service of a flow.
func (s *Shard) reassign(t *Tables, e *entry, id common.EndpointID, service common.ServiceID) {
	if e.endpoint == id && e.service == service {
		return
	}
	t.addOpenFlows(e, -1)
	e.endpoint = id
	e.service = service
	t.addOpenFlows(e, 1)
	s.invalidateReport(e)
	s.enqueue(t, e)
}

// invalidateReport marks a reported flow as stale so that it is reported again:
// the target may hold it with another endpoint or as closed.
func (s *Shard) invalidateReport(e *entry) {
	if e.has(flagReported | flagSending) {
		e.flags = e.flags&^flagReported | flagStale
	}
}

// promote makes this instance the one that handles a held flow.
func (s *Shard) promote(t *Tables, e *entry) {
	e.flags &^= flagHeld | flagSequence
	e.sequence = 0
	s.table.held--
	t.addOpenFlows(e, 1)
	s.enqueue(t, e)
}

// remove removes a flow that has ended and withdraws its report.
func (s *Shard) remove(t *Tables, e *entry) {
	if !e.has(flagHeld) {
		t.addOpenFlows(e, -1)
		s.withdraw(e)
	}
	s.table.remove(e)
}

// discard removes a flow that another instance handles now. It sends no
// withdrawal.
func (s *Shard) discard(t *Tables, e *entry) {
	if !e.has(flagHeld) {
		t.addOpenFlows(e, -1)
	}
	s.table.remove(e)
}

// refuse returns the action for a flow of which no packet was forwarded: a reset
// for TCP, a drop for UDP.
func (s *Shard) refuse(p *Packet, code resultcode.Code, now time.Duration) Action {
	s.stats.FlowsRefused++
	if p.Tuple.Protocol != common.ProtocolTCP {
		return Action{Kind: Drop, Code: code}
	}
	s.rememberRefusal(p, code, now)
	return Action{Kind: Refuse, Code: code}
}

func forward(ep *endpoint) Action {
	return Action{Kind: Forward, Code: resultcode.PacketForwarded, Endpoint: ep.ID, To: ep.Tunnel}
}
