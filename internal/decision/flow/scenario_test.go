package flow

import (
	"slices"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// pair runs two instances on one shard: the owner of a slot and its successor.
type pair struct {
	t               *testing.T
	now             time.Duration
	snapshot        *common.Snapshot
	owner           *Shard
	successor       *Shard
	ownerTables     *Tables
	successorTables *Tables
}

func newPair(t *testing.T, limits Limits) *pair {
	limits.MaxFlows = 1000
	p := &pair{t: t, snapshot: testSnapshot(4, 2)}
	p.owner, p.successor = NewShard(0, limits), NewShard(0, limits)
	p.installBoth(func(*common.Snapshot) {})
	return p
}

// installBoth applies a change to both instances at once.
func (p *pair) installBoth(change func(s *common.Snapshot)) {
	p.installOwner(change)
	p.installSuccessor(change)
}

func (p *pair) installOwner(change func(s *common.Snapshot)) {
	p.ownerTables = p.tables(1, p.ownerTables, change)
	p.owner.Install(p.ownerTables, p.now)
}

func (p *pair) installSuccessor(change func(s *common.Snapshot)) {
	p.successorTables = p.tables(2, p.successorTables, change)
	p.successor.Install(p.successorTables, p.now)
}

// tables returns tables for the instance with the change applied to the previous
// snapshot.
func (p *pair) tables(self common.InstanceID, previous *Tables, change func(s *common.Snapshot)) *Tables {
	s := testSnapshot(4, 2)
	s.Self = self
	if previous != nil {
		before := previous.snapshot
		s.Sequence = before.Sequence + 1
		s.Members = append([]common.Member(nil), before.Members...)
		s.Services[0].Endpoints = append([]common.Endpoint(nil), before.Services[0].Endpoints...)
	}
	change(s)
	return mustTables(p.t, s, previous)
}

// replicate delivers the batches of the owner to the successor. If acknowledged is
// false, the acknowledgements are lost.
func (p *pair) replicate(acknowledged bool) {
	for _, batch := range p.owner.TakeReplication(p.ownerTables, p.now, &Budget{Bytes: 1 << 20}) {
		if p.successor.AddReplication(p.successorTables, &batch, p.now) && acknowledged {
			p.owner.AckReplication(2, batch.Sequence)
		}
	}
}

// flows returns n first packets in slots that the owner owns.
func (p *pair) flows(n int) []*Packet {
	return p.flowsOf(1, n)
}

// flowsOf returns n first packets in slots that the instance owns.
func (p *pair) flowsOf(id common.InstanceID, n int) []*Packet {
	var packets []*Packet
	for source := uint32(0); len(packets) < n; source++ {
		packet := tcpPacket(p.ownerTables, source, true, 100)
		owner, _ := p.ownerTables.Owners().Owner(packet.Hash.Slot())
		if ShardOf(packet.Hash) == 0 && owner == id {
			packets = append(packets, packet)
		}
	}
	return packets
}

// open opens n flows at the owner and returns their first packets and endpoints.
func (p *pair) open(n int) ([]*Packet, []common.EndpointID) {
	packets := p.flows(n)
	endpoints := make([]common.EndpointID, n)
	for i, packet := range packets {
		endpoints[i] = p.owner.Handle(p.ownerTables, packet, p.now, true).Endpoint
	}
	return packets, endpoints
}

func markFirstDead(s *common.Snapshot) { s.Members[0].State = common.MemberDead }

func drainFirstEndpoint(s *common.Snapshot) {
	s.Services[0].Endpoints[0].State = common.EndpointDraining
}

func undrainFirstEndpoint(s *common.Snapshot) { s.Services[0].Endpoints[0].State = common.EndpointUp }

// moved returns the number of flows that the successor does not forward to their
// endpoints.
func (p *pair) moved(packets []*Packet, endpoints []common.EndpointID) int {
	moved := 0
	for i, first := range packets {
		packet := *first
		packet.First, packet.Service = false, p.successorTables.Match(serviceAddress)
		action := p.successor.Handle(p.successorTables, &packet, p.now, true)
		if action.Kind != Forward || action.Endpoint != endpoints[i] {
			moved++
		}
	}
	return moved
}

// Guards against a successor that receives a new base before the exceptions to it:
// flows then break if the owner is killed between the two.
func TestBaseWaitsForExceptions(t *testing.T) {
	for _, eager := range []bool{false, true} {
		p := newPair(t, Limits{ablation: ablation{eagerBases: eager}})
		p.replicate(true)
		packets, endpoints := p.open(200)
		p.now += 500 * time.Millisecond
		// The flows are younger than the minimum age for a report.
		p.installBoth(drainFirstEndpoint)
		p.replicate(true)
		p.installSuccessor(markFirstDead)
		moved := p.moved(packets, endpoints)
		if eager != (moved > 0) {
			t.Errorf("base sent before its exceptions %v: %d flows moved", eager, moved)
		}
	}
}

// Guards against a takeover that loses the base of idle flows when the set of
// endpoints changes afterwards.
func TestSlotBaseKeepsIdleFlows(t *testing.T) {
	for _, ablated := range []bool{false, true} {
		p := newPair(t, Limits{ablation: ablation{noSlotBases: ablated}})
		p.installBoth(drainFirstEndpoint)
		p.replicate(true)
		packets, endpoints := p.open(200)
		p.now += 10 * time.Second
		p.installSuccessor(markFirstDead)
		p.now += 10 * time.Second
		p.installSuccessor(undrainFirstEndpoint)
		moved := p.moved(packets, endpoints)
		if ablated != (moved > 0) {
			t.Errorf("without slot bases %v: %d flows moved", ablated, moved)
		}
	}
}

// Guards against flows that move when a base changes and changes back while its
// batch is in flight: the successor may then have the old or the new base.
func TestFlappingBase(t *testing.T) {
	p := newPair(t, Limits{})
	p.replicate(true)
	p.now += 10 * time.Second
	p.installBoth(drainFirstEndpoint)
	packets, endpoints := p.open(200)
	p.replicate(false) // the batch arrives, but its acknowledgement is lost
	p.now += 5 * time.Second
	p.installBoth(undrainFirstEndpoint)
	p.replicate(true)
	p.now += 5 * time.Second
	p.replicate(true)
	p.replicate(true)
	p.installSuccessor(markFirstDead)
	if moved := p.moved(packets, endpoints); moved > 0 {
		t.Errorf("%d flows moved", moved)
	}
}

// Guards against a late duplicate of the first packet of an earlier connection that
// moves an open flow off a draining endpoint.
func TestLateDuplicateDoesNotMoveFlow(t *testing.T) {
	for _, ablated := range []bool{false, true} {
		p := newPair(t, Limits{ablation: ablation{moveReusedTuples: ablated}})
		packets, endpoints := p.open(100)
		p.installBoth(drainFirstEndpoint)
		moved := 0
		for i, packet := range packets {
			late := *packet
			late.Sequence = 7
			late.Service = p.ownerTables.Match(serviceAddress)
			if p.owner.Handle(p.ownerTables, &late, p.now, true).Endpoint != endpoints[i] {
				moved++
			}
		}
		if ablated != (moved > 0) {
			t.Errorf("reused five-tuples move at once %v: %d flows moved", ablated, moved)
		}
	}
}

// Guards against a new connection to a draining endpoint on a five-tuple whose
// earlier connection is older than the maximum segment lifetime.
func TestReusedTupleLeavesDrainingEndpoint(t *testing.T) {
	p := newPair(t, Limits{})
	packets, endpoints := p.open(100)
	p.installBoth(drainFirstEndpoint)
	p.now += maxSegmentLifetime
	for i, packet := range packets {
		next := *packet
		next.Sequence = 7
		next.Service = p.ownerTables.Match(serviceAddress)
		action := p.owner.Handle(p.ownerTables, &next, p.now, true)
		if action.Endpoint == 1 || (endpoints[i] != 1 && action.Endpoint != endpoints[i]) {
			t.Fatalf("flow of endpoint %d: %+v", endpoints[i], action)
		}
	}
}

// Guards against an instance that uses outdated flows after it was fenced. Another
// instance has assigned a new endpoint to the flow in the meantime.
func TestRejoinedInstanceDiscardsOutdatedFlows(t *testing.T) {
	for _, ablated := range []bool{false, true} {
		p := newPair(t, Limits{ablation: ablation{keepTableAfterRejoin: ablated}})
		p.replicate(true)
		packets, _ := p.open(200)
		p.now += 3 * time.Second
		p.installSuccessor(markFirstDead)
		p.now += 10 * time.Second
		p.installSuccessor(drainFirstEndpoint)
		endpoints := make([]common.EndpointID, len(packets))
		for i, first := range packets {
			again := *first
			again.Sequence, again.Service = 9, p.successorTables.Match(serviceAddress)
			endpoints[i] = p.successor.Handle(p.successorTables, &again, p.now, true).Endpoint
		}
		p.rejoin()
		moved := 0
		for i, first := range packets {
			packet := *first
			packet.First, packet.Service = false, p.ownerTables.Match(serviceAddress)
			if p.owner.Handle(p.ownerTables, &packet, p.now, true).Endpoint != endpoints[i] {
				moved++
			}
		}
		if ablated != (moved > 0) {
			t.Errorf("flow table kept after the rejoin %v: %d flows moved", ablated, moved)
		}
	}
}

// rejoin makes the owner join again, pull the state of its slots and serve. It
// returns when the handover has ended.
func (p *pair) rejoin() {
	joining := func(s *common.Snapshot) {
		s.Members[0].State, s.Members[0].Incarnation = common.MemberJoining, 2
	}
	serving := func(s *common.Snapshot) { s.Members[0].State = common.MemberServing }
	p.installOwner(func(s *common.Snapshot) { joining(s); drainFirstEndpoint(s) })
	p.installSuccessor(joining)
	future := p.tables(2, p.successorTables, serving)
	batch := p.successor.PullReplication(p.successorTables, future, 1)
	p.owner.AddReplication(p.ownerTables, &batch, p.now)
	p.installBoth(serving)
	p.now += handoverPeriod
}

// Guards against batches that exceed the budget and reports that never complete.
func TestReplicationBudget(t *testing.T) {
	p := newPair(t, Limits{})
	p.replicate(true)
	packets, endpoints := p.open(900)
	p.now += 5 * time.Second
	p.installBoth(drainFirstEndpoint)
	rounds := 0
	for p.owner.Stats().Pending > 0 || rounds < 3 {
		budget := &Budget{Bytes: 300}
		for _, batch := range p.owner.TakeReplication(p.ownerTables, p.now, budget) {
			if p.successor.AddReplication(p.successorTables, &batch, p.now) {
				p.owner.AckReplication(2, batch.Sequence)
			}
		}
		if budget.Bytes < 0 {
			t.Fatalf("%d bytes over the budget", -budget.Bytes)
		}
		p.now += time.Second / 10
		if rounds++; rounds > 1000 {
			t.Fatal("reports are still pending after 1,000 rounds")
		}
	}
	p.installSuccessor(markFirstDead)
	if moved := p.moved(packets, endpoints); moved > 0 {
		t.Errorf("%d flows moved", moved)
	}
}

// Guards against a request in the data of a first packet that runs although a
// retransmission of the packet was refused.
func TestDataInFirstPacketIsNeverForwarded(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		s := testSnapshot(4, 1)
		s.Services[0].Idempotent = idempotent
		tables := mustTables(t, s, nil)
		handle := newTestHandler(tables, Limits{MaxFlows: 10})
		packet := tcpPacket(tables, 1, true, 9)
		packet.PayloadLength = 10
		action := handle(packet, 0, true)
		if action.Kind != Drop || action.Code != resultcode.DroppedFirstData {
			t.Errorf("first packet with data, idempotent %v: %+v", idempotent, action)
		}
	}
}

// Guards against a service that gets more new flows than its limits permit.
func TestAdmissionLimits(t *testing.T) {
	s := testSnapshot(2, 1)
	s.Services[0].Policy.NewFlowsPerSecond = 10
	tables := mustTables(t, s, nil)
	handle := newTestHandler(tables, Limits{MaxFlows: 1000})
	admitted := 0
	for source := range uint32(100) {
		if handle(tcpPacket(tables, source, true, 9), time.Second, true).Kind == Forward {
			admitted++
		}
	}
	if admitted != 10 {
		t.Errorf("%d flows admitted at one time, limit 10 per second", admitted)
	}
	s = testSnapshot(2, 1)
	s.Services[0].Policy.MaxFlowsPerEndpoint = 20
	tables = mustTables(t, s, nil)
	handle = newTestHandler(tables, Limits{MaxFlows: 1000})
	for source := range uint32(100) {
		action := handle(tcpPacket(tables, source, true, 9), time.Second, true)
		if action.Kind == Refuse && action.Code != resultcode.RefusedEndpointLimit {
			t.Fatalf("flow refused for another reason than the endpoint limit: %+v", action)
		}
	}
	for id := common.EndpointID(1); id <= 2; id++ {
		if open, _ := tables.Match(serviceAddress).OpenFlows(id); open != 20 {
			t.Errorf("endpoint %d has %d flows, limit 20", id, open)
		}
	}
}

// Guards against old snapshots that replace newer ones in the packet path.
func TestOldSnapshotsAreRefused(t *testing.T) {
	s := testSnapshot(2, 1)
	s.Release, s.Sequence = 5, 5
	tables := mustTables(t, s, nil)
	older := testSnapshot(2, 1)
	older.Release, older.Sequence = 4, 6
	if _, err := NewTables(older, tables); err == nil {
		t.Error("an older release was accepted")
	}
	older.Release, older.Sequence = 5, 5
	if _, err := NewTables(older, tables); err == nil {
		t.Error("a repeated snapshot was accepted")
	}
}

// Guards against an isolated instance that ignores its flow table: the flows may not
// be on their default endpoints.
func TestIsolatedInstanceKeepsKnownFlows(t *testing.T) {
	p := newPair(t, Limits{})
	packets, endpoints := p.open(100)
	p.now += 10 * time.Second
	p.installOwner(func(s *common.Snapshot) {
		drainFirstEndpoint(s)
		s.Isolated, s.Settled = true, false
	})
	for i, first := range packets {
		packet := *first
		packet.First, packet.Service = false, p.ownerTables.Match(serviceAddress)
		action := p.owner.Handle(p.ownerTables, &packet, p.now, false)
		if action.Kind != Forward || action.Endpoint != endpoints[i] {
			t.Fatalf("flow of endpoint %d: %+v", endpoints[i], action)
		}
	}
}

// Guards against UDP flows that move when the set of endpoints changes, and
// against a reset in response to a refused UDP packet.
func TestUDPFlows(t *testing.T) {
	s := testSnapshot(4, 1)
	s.Services[0].Idempotent = true
	tables := mustTables(t, s, nil)
	shard := NewShard(0, Limits{MaxFlows: 100})
	shard.Install(tables, 0)
	packets := benchPackets(tables, 101)
	endpoints := make([]common.EndpointID, len(packets))
	for i, packet := range packets {
		packet.Tuple.Protocol = common.ProtocolUDP
		packet.PayloadLength = 100
		action := shard.Handle(tables, packet, 0, true)
		endpoints[i] = action.Endpoint
		if i == 100 && (action.Kind != Drop || action.Code != resultcode.RefusedTableFull) {
			t.Errorf("UDP packet of a new flow with a full table not dropped: %+v", action)
		}
	}
	s = testSnapshot(4, 1)
	s.Sequence = 2
	drainFirstEndpoint(s)
	tables = mustTables(t, s, tables)
	shard.Install(tables, time.Second)
	for i, packet := range packets[:100] {
		packet.Service = tables.Match(serviceAddress)
		if action := shard.Handle(tables, packet, time.Second, true); action.Endpoint != endpoints[i] {
			t.Errorf("flow moved from %d to %+v", endpoints[i], action)
		}
	}
}

// Guards against an old batch that arrives after a newer one and overwrites or
// restores its flows.
func TestOldBatchIsIgnored(t *testing.T) {
	p := newPair(t, Limits{})
	hash := p.flows(1)[0].Hash
	report := func(sequence uint64, endpoint common.EndpointID, withdrawn bool) {
		p.successor.AddReplication(p.successorTables, &common.ReplicationBatch{
			Target: 2, Source: 1, SourceIncarnation: 1, Sequence: sequence * Shards,
			Exceptions: []common.ExceptionGroup{{
				Service: 7, Endpoint: endpoint, Hashes: []common.FlowHash{hash}, Withdrawn: withdrawn,
			}},
		}, p.now)
	}
	report(2, 3, false)
	report(1, 2, false)
	if e := p.successor.table.findHash(hash); e == nil || e.endpoint != 3 {
		t.Fatalf("an old batch replaced the endpoint: %+v", e)
	}
	report(3, 3, true)
	report(2, 3, false)
	if e := p.successor.table.findHash(hash); e != nil {
		t.Fatalf("an old batch restored a withdrawn flow: %+v", e)
	}
}

// Guards against a healed partition after which the sides do not report to each
// other the flows that left their defaults in the meantime.
func TestReplicationAfterPartition(t *testing.T) {
	for _, ablated := range []bool{false, true} {
		p := newPair(t, Limits{ablation: ablation{noExceptions: ablated}})
		packets := p.flows(200)
		p.installOwner(func(s *common.Snapshot) { s.Members[1].State = common.MemberDead })
		p.installSuccessor(markFirstDead)
		endpoints := make([]common.EndpointID, len(packets))
		for i, first := range packets {
			packet := *first
			packet.Service = p.successorTables.Match(serviceAddress)
			endpoints[i] = p.successor.Handle(p.successorTables, &packet, p.now, true).Endpoint
		}
		p.now += 20 * time.Second
		p.installBoth(drainFirstEndpoint)
		p.now += time.Second
		p.installOwner(func(s *common.Snapshot) { s.Members[1].State = common.MemberServing })
		p.installSuccessor(func(s *common.Snapshot) { s.Members[0].State = common.MemberServing })
		for _, batch := range p.successor.TakeReplication(p.successorTables, p.now, &Budget{Bytes: 1 << 20, MaxBatchBytes: 1 << 20}) {
			p.owner.AddReplication(p.ownerTables, &batch, p.now)
		}
		moved := 0
		for i, first := range packets {
			packet := *first
			packet.First, packet.Service = false, p.ownerTables.Match(serviceAddress)
			if p.owner.Handle(p.ownerTables, &packet, p.now, true).Endpoint != endpoints[i] {
				moved++
			}
		}
		if ablated != (moved > 0) {
			t.Errorf("without exceptions %v: %d flows moved", ablated, moved)
		}
	}
}

// Guards against a successor that restarted with an empty table and does not receive
// the reports again.
func TestRestartedSuccessorReceivesReportsAgain(t *testing.T) {
	p := newPair(t, Limits{})
	packets, endpoints := p.open(200)
	p.now += 3 * time.Second
	p.installBoth(drainFirstEndpoint)
	for range 20 {
		p.replicate(true)
	}
	p.successor, p.successorTables = NewShard(0, Limits{MaxFlows: 1000}), nil
	restarted := func(s *common.Snapshot) { s.Members[1].Incarnation = 2 }
	p.installSuccessor(func(s *common.Snapshot) { drainFirstEndpoint(s); restarted(s) })
	p.installOwner(restarted)
	for range 20 {
		p.replicate(true)
	}
	p.installSuccessor(markFirstDead)
	if moved := p.moved(packets, endpoints); moved > 0 {
		t.Errorf("%d flows moved", moved)
	}
}

func markFirstLeaving(s *common.Snapshot) { s.Members[0].State = common.MemberLeaving }

// deliver delivers a relayed packet to the successor and follows its relays between
// the two instances. It returns the final action.
func (p *pair) deliver(first *Packet, change func(packet *Packet)) Action {
	packet := *first
	packet.HopCount = 1
	change(&packet)
	for atSuccessor := true; ; atSuccessor = !atSuccessor {
		shard, tables := p.owner, p.ownerTables
		if atSuccessor {
			shard, tables = p.successor, p.successorTables
		}
		packet.Service = tables.Match(serviceAddress)
		action := shard.Handle(tables, &packet, p.now, true)
		if action.Kind != Relay {
			return action
		}
		if packet.HopCount = action.HopCount; packet.HopCount > maxHops {
			p.t.Fatalf("packet relayed %d times", packet.HopCount)
		}
	}
}

// Guards against a former owner that assigns an endpoint to a new connection at the
// end of the handover. The new owner may receive a retransmission of the first
// packet before the report and forward it to the endpoint of the old connection.
func TestNewConnectionAtEndOfHandover(t *testing.T) {
	for _, ablated := range []bool{false, true} {
		p := newPair(t, Limits{ablation: ablation{reopenInLostSlots: ablated}})
		p.installBoth(drainFirstEndpoint)
		p.replicate(true)
		packets, _ := p.open(200)
		p.now += 3 * time.Second
		p.installBoth(undrainFirstEndpoint)
		p.replicate(true)
		p.installBoth(markFirstLeaving)
		p.now += handoverPeriod - 100*time.Millisecond
		endpoints := make([]common.EndpointID, len(packets))
		for i, packet := range packets {
			p.deliver(packet, func(fin *Packet) { fin.First, fin.Fin = false, true })
			endpoints[i] = p.deliver(packet, func(again *Packet) { again.Sequence = 9 }).Endpoint
		}
		p.now += 200 * time.Millisecond
		moved := 0
		for i, packet := range packets {
			if p.deliver(packet, func(again *Packet) { again.Sequence = 9 }).Endpoint != endpoints[i] {
				moved++
			}
		}
		if ablated != (moved > 0) {
			t.Errorf("former owner opens connections %v: %d flows moved", ablated, moved)
		}
	}
}

// Guards against an earlier owner that reports an old endpoint of a flow again when
// the slot gets a new owner. The new owner has a newer report from the former
// owner.
func TestFormerOwnerReportTakesPrecedence(t *testing.T) {
	for _, ablated := range []bool{false, true} {
		p := newPair(t, Limits{ablation: ablation{lastReportWins: ablated}})
		packets := p.flows(50)
		report := func(from common.InstanceID, endpoint common.EndpointID) {
			batch := &common.ReplicationBatch{Target: 2, Source: from, SourceIncarnation: 1, Sequence: Shards}
			group := common.ExceptionGroup{Service: 7, Endpoint: endpoint}
			for _, packet := range packets {
				group.Hashes = append(group.Hashes, packet.Hash)
			}
			batch.Exceptions = []common.ExceptionGroup{group}
			p.successor.AddReplication(p.successorTables, batch, p.now)
		}
		report(1, 3)
		p.now += 5 * time.Second
		p.installSuccessor(markFirstLeaving)
		p.now += time.Second
		report(3, 2)
		p.now += handoverPeriod
		moved := 0
		for _, packet := range packets {
			if p.deliver(packet, func(data *Packet) { data.First = false }).Endpoint != 3 {
				moved++
			}
		}
		if ablated != (moved > 0) {
			t.Errorf("the last report replaces the former owner's %v: %d flows moved", ablated, moved)
		}
	}
}

// Guards against a former owner that hands a connection back and loses the report of
// the new owner about it. As the successor, it needs the report when it gains the
// slot again.
func TestHandedBackConnectionStaysReported(t *testing.T) {
	serving := func(s *common.Snapshot) { s.Members[1].State = common.MemberServing }
	p := newPair(t, Limits{})
	packets := p.flowsOf(2, 200)
	p.installBoth(func(s *common.Snapshot) { drainFirstEndpoint(s); s.Members[1].State = common.MemberJoining })
	endpoints := make([]common.EndpointID, len(packets))
	for i, packet := range packets {
		packet.Service = p.ownerTables.Match(serviceAddress)
		endpoints[i] = p.owner.Handle(p.ownerTables, packet, p.now, true).Endpoint
	}
	p.now += 10 * time.Second
	p.installBoth(undrainFirstEndpoint)
	batch := p.owner.PullReplication(p.ownerTables, p.tables(1, p.ownerTables, serving), 2)
	p.successor.AddReplication(p.successorTables, &batch, p.now)
	p.installBoth(serving)
	p.now += 3 * time.Second
	p.replicateBack()
	for i, packet := range packets {
		p.deliver(packet, func(reset *Packet) { reset.First, reset.Reset = false, true })
		if p.deliver(packet, func(again *Packet) { again.Sequence = 9 }).Endpoint != endpoints[i] {
			t.Fatal("the new connection has another endpoint")
		}
	}
	p.now += 3 * time.Second
	p.replicateBack()
	p.now += 2 * handoverPeriod
	p.installBoth(func(s *common.Snapshot) { s.Members[1].State = common.MemberDead })
	moved := 0
	for i, packet := range packets {
		data := *packet
		data.First, data.Service = false, p.ownerTables.Match(serviceAddress)
		if p.owner.Handle(p.ownerTables, &data, p.now, true).Endpoint != endpoints[i] {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d flows moved", moved)
	}
}

// replicateBack delivers all batches of the successor to the owner.
func (p *pair) replicateBack() {
	for range 20 {
		for _, batch := range p.successor.TakeReplication(p.successorTables, p.now, &Budget{Bytes: 1 << 20}) {
			if p.owner.AddReplication(p.ownerTables, &batch, p.now) {
				p.successor.AckReplication(1, batch.Sequence)
			}
		}
	}
}

// Guards against a successor that resolves a reference to a table that it does not
// have. It must refuse the batch until the source sends the whole set of endpoints.
func TestUnknownTableIsSentInFull(t *testing.T) {
	p := newPair(t, Limits{})
	p.open(200)
	p.installOwner(drainFirstEndpoint)
	p.now += 5 * time.Second
	withReferences, fullBases := 0, 0
	for range 5 {
		for _, batch := range p.owner.TakeReplication(p.ownerTables, p.now, &Budget{Bytes: 1 << 20}) {
			references := slices.ContainsFunc(batch.Bases, func(b common.ServiceBase) bool { return isReference(&b) })
			accepted := p.successor.AddReplication(p.successorTables, &batch, p.now)
			if accepted == references {
				t.Errorf("batch with references %v accepted: %v", references, accepted)
			}
			if references {
				withReferences++
				continue
			}
			fullBases += len(batch.Bases)
			p.owner.AckReplication(2, batch.Sequence)
		}
		p.now += 2 * resendInterval
	}
	if withReferences == 0 || fullBases == 0 {
		t.Fatalf("%d batches had references, %d bases were sent in full", withReferences, fullBases)
	}
}
