package flow

import (
	"net/netip"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

var serviceAddress = common.ServiceAddress{
	Address: netip.MustParseAddr("10.9.0.1"), Port: 443, Protocol: common.ProtocolTCP,
}

// testSnapshot returns a snapshot of instance 1 with one service and the given
// numbers of endpoints and serving members.
func testSnapshot(endpoints, members int) *common.Snapshot {
	s := &common.Snapshot{Release: 1, Self: 1, Settled: true, Epoch: 1, Sequence: 1}
	service := common.Service{ID: 7, Name: "crew-desk", Address: serviceAddress}
	service.Policy.IdleTimeout = 5 * time.Minute
	for i := 1; i <= endpoints; i++ {
		service.Endpoints = append(service.Endpoints, common.Endpoint{
			ID:     common.EndpointID(i),
			Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 6081),
			Weight: 1,
		})
	}
	s.Services = []common.Service{service}
	for i := 1; i <= members; i++ {
		s.Members = append(s.Members, common.Member{
			ID: common.InstanceID(i), Incarnation: 1, State: common.MemberServing,
			EntryAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 6081),
		})
	}
	return s
}

// mustTables returns the tables of the snapshot and fails the test on an error.
func mustTables(t testing.TB, s *common.Snapshot, previous *Tables) *Tables {
	t.Helper()
	tables, err := NewTables(s, previous)
	if err != nil {
		t.Fatal(err)
	}
	return tables
}

// newTestHandler returns a function that handles packets with the shards of one
// instance.
func newTestHandler(tables *Tables, limits Limits) func(p *Packet, now time.Duration, lease bool) Action {
	var shards [Shards]*Shard
	for i := range shards {
		shards[i] = NewShard(i, limits)
		shards[i].Install(tables, 0)
	}
	return func(p *Packet, now time.Duration, lease bool) Action {
		return shards[ShardOf(p.Hash)].Handle(tables, p, now, lease)
	}
}

// tcpPacket returns a packet of a flow; each source gives a different five-tuple.
func tcpPacket(tables *Tables, source uint32, first bool, sequence uint32) *Packet {
	p := &Packet{First: first, Sequence: sequence, Service: tables.Match(serviceAddress)}
	p.Tuple = common.FiveTuple{
		Source:      [4]byte{192, 0, byte(source >> 8), byte(source)},
		Destination: serviceAddress.Address.As4(),
		SourcePort:  uint16(20000 + source>>16), DestinationPort: serviceAddress.Port,
		Protocol: common.ProtocolTCP,
	}
	p.Hash = p.Tuple.Hash()
	return p
}

// Guards against packets of one flow that reach different endpoints.
func TestFlowKeepsEndpoint(t *testing.T) {
	tables := mustTables(t, testSnapshot(4, 1), nil)
	handle := newTestHandler(tables, Limits{MaxFlows: 100})
	for source := range uint32(50) {
		first := handle(tcpPacket(tables, source, true, 9), 0, true)
		if first.Kind != Forward {
			t.Fatalf("first packet not forwarded: %+v", first)
		}
		for range 3 {
			next := handle(tcpPacket(tables, source, false, 10), time.Second, true)
			if next != first {
				t.Fatalf("flow moved from %+v to %+v", first, next)
			}
		}
	}
}

// Guards against established flows that are refused when the table is full.
func TestFullTableRefusesNewFlowsOnly(t *testing.T) {
	tables := mustTables(t, testSnapshot(4, 1), nil)
	packets := benchPackets(tables, 2)
	shard := NewShard(0, Limits{MaxFlows: 1})
	shard.Install(tables, 0)
	kept := shard.Handle(tables, packets[0], 0, true)
	refused := shard.Handle(tables, packets[1], 0, true)
	if refused.Kind != Refuse || refused.Code != resultcode.RefusedTableFull {
		t.Fatalf("second flow not refused: %+v", refused)
	}
	packets[0].First = false
	if again := shard.Handle(tables, packets[0], 0, true); again != kept {
		t.Fatalf("established flow not forwarded to its endpoint: %+v", again)
	}
}

// Guards against a refused first packet that is forwarded when it is retransmitted
// after the table has room again.
func TestRefusedFirstPacketStaysRefused(t *testing.T) {
	for _, ablated := range []bool{false, true} {
		tables := mustTables(t, testSnapshot(4, 1), nil)
		packets := benchPackets(tables, 2)
		shard := NewShard(0, Limits{MaxFlows: 1, ablation: ablation{noRefusalCache: ablated}})
		shard.Install(tables, 0)
		shard.Handle(tables, packets[0], 0, true)
		shard.Handle(tables, packets[1], 0, true)
		packets[0].First, packets[0].Reset = false, true
		shard.Handle(tables, packets[0], 0, true)
		if shard.Expire(10*time.Second, 10) != 1 {
			t.Fatal("a reset flow did not expire")
		}
		again := shard.Handle(tables, packets[1], 10*time.Second, true)
		if ablated != (again.Kind == Forward) {
			t.Errorf("retransmission without the refusal cache %v: %+v", ablated, again)
		}
		packets[1].Sequence++
		if next := shard.Handle(tables, packets[1], 10*time.Second, true); next.Kind != Forward {
			t.Errorf("new connection after a refusal not forwarded: %+v", next)
		}
	}
}

// Guards against an instance that handles packets of slots of other instances or
// without a lease, and against relay loops.
func TestRoute(t *testing.T) {
	tables := mustTables(t, testSnapshot(4, 3), nil)
	handle := newTestHandler(tables, Limits{MaxFlows: 1000})
	for source := range uint32(200) {
		p := tcpPacket(tables, source, true, 9)
		owner, _ := tables.Owners().Owner(p.Hash.Slot())
		action := handle(p, 0, true)
		if (owner == 1) != (action.Kind == Forward) {
			t.Fatalf("packet of a slot of instance %d at instance 1: %+v", owner, action)
		}
		if action.Kind == Relay && action.HopCount != 1 {
			t.Fatalf("relayed with hop count %d", action.HopCount)
		}
		fenced := handle(p, 0, false)
		if fenced.Kind != Relay || fenced.Code != resultcode.RouteFenced {
			t.Fatalf("packet at a fenced instance not relayed: %+v", fenced)
		}
		p.HopCount = maxHops
		if relayed := handle(p, 0, true); relayed.Kind != Forward {
			t.Fatalf("relayed packet not forwarded: %+v", relayed)
		}
		if late := handle(p, 0, false); late.Kind != Drop {
			t.Fatalf("relayed packet at a fenced instance not dropped: %+v", late)
		}
	}
}

// Guards against a group that drops all relayed packets after every controld has
// failed. An orphaned instance must not create exceptions, because they are not
// replicated.
func TestOrphanedInstanceHandlesRelayedPackets(t *testing.T) {
	snapshot := testSnapshot(4, 3)
	snapshot.Settled = true
	snapshot.Services[0].Policy.Selection = common.SelectionTwoChoices
	tables := mustTables(t, snapshot, nil)
	handle := newTestHandler(tables, Limits{MaxFlows: 1000})
	for source := range uint32(200) {
		p := tcpPacket(tables, source, true, 9)
		p.HopCount = 1
		if dropped := handle(p, 0, false); dropped.Kind != Drop {
			t.Fatalf("fenced instance did not drop the packet: %+v", dropped)
		}
		p.Orphaned = true
		opened := handle(p, 0, false)
		if opened.Kind != Forward || opened.Endpoint != p.Service.table.Default(p.Hash.Bucket()) {
			t.Fatalf("orphaned instance did not forward the packet to the default: %+v", opened)
		}
		p.First = false
		if next := handle(p, time.Second, false); next != opened {
			t.Fatalf("flow moved from %+v to %+v", opened, next)
		}
	}
}

// Guards against a first packet that is refused because its five-tuple and sequence number
// were refused 18 hours earlier, when the time stored with the refusal repeats.
func TestRefusalDoesNotRepeat(t *testing.T) {
	tables := mustTables(t, testSnapshot(4, 1), nil)
	packets := benchPackets(tables, 2)
	shard := NewShard(0, Limits{MaxFlows: 1})
	shard.Install(tables, 0)
	shard.Handle(tables, packets[0], 0, true)
	shard.Handle(tables, packets[1], 0, true)
	packets[0].First, packets[0].Reset = false, true
	shard.Handle(tables, packets[0], 0, true)
	for now := time.Duration(0); now < secondsPeriod*time.Second; now += time.Hour {
		shard.Expire(now, 10)
	}
	if again := shard.Handle(tables, packets[1], secondsPeriod*time.Second, true); again.Kind != Forward {
		t.Errorf("first packet after %v: %+v", secondsPeriod*time.Second, again)
	}
}
