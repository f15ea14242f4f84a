package entry

import (
	"net/netip"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/packet"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// newTwoServiceState returns the state of a release with two services that have
// one endpoint each: endpoint 1 of service 1 and endpoint 2 of service 2.
func newTwoServiceState(t *testing.T) *state {
	t.Helper()
	service := func(id common.ServiceID, port uint16) common.Service {
		return common.Service{
			ID:      id,
			Address: common.ServiceAddress{Address: netip.MustParseAddr(testService), Port: port, Protocol: common.ProtocolTCP},
			Endpoints: []common.Endpoint{{
				ID: common.EndpointID(id), Tunnel: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(id)), Weight: 1,
			}},
		}
	}
	snapshot := &common.Snapshot{Services: []common.Service{service(1, 443), service(2, 80)}}
	tables, err := flow.NewTables(snapshot, nil)
	if err != nil {
		t.Fatal(err)
	}
	return newState(snapshot, tables)
}

// firstPacketContext returns the context of a first packet to service 1.
func firstPacketContext(s *state, action flow.Action) *packetContext {
	pc := &packetContext{state: s, action: action}
	pc.flow = flow.Packet{
		Tuple: common.FiveTuple{Protocol: common.ProtocolTCP}, Hash: 77, First: true, Sequence: 5,
		Service: s.tables.Match(s.snapshot.Services[0].Address),
	}
	return pc
}

func newTestInvariantFilter() *invariantFilter {
	return &invariantFilter{shards: new([flow.Shards]shard), metrics: newMetrics(prometheus.NewRegistry())}
}

func violations(f *invariantFilter, name invariant) float64 {
	return testutil.ToFloat64(f.metrics.violations.WithLabelValues(string(name)))
}

// Guards against a faulty decision that sends a packet to an endpoint of another
// service (guarantee P2).
func TestForeignEndpointIsDropped(t *testing.T) {
	s := newTwoServiceState(t)
	own := s.snapshot.Services[0].Endpoints[0].Tunnel
	foreign := s.snapshot.Services[1].Endpoints[0].Tunnel
	tests := map[string]flow.Action{
		"endpoint of another service":           {Kind: flow.Forward, Endpoint: 2, To: foreign},
		"tunnel of another service":             {Kind: flow.Forward, Endpoint: 1, To: foreign},
		"own tunnel with a foreign endpoint ID": {Kind: flow.Forward, Endpoint: 2, To: own},
		"endpoint that is not in the release":   {Kind: flow.Forward, Endpoint: 3, To: own},
		"own tunnel with endpoint ID 0":         {Kind: flow.Forward, Endpoint: 0, To: own},
	}
	for name, action := range tests {
		f := newTestInvariantFilter()
		pc := firstPacketContext(s, action)
		if f.apply(pc) || pc.action.Kind != flow.Drop || pc.action.Code != resultcode.PacketForeignEndpoint {
			t.Errorf("%s: action %+v", name, pc.action)
		}
		if violations(f, invariantForeignEndpoint) != 1 {
			t.Errorf("%s: the violation was not counted", name)
		}
	}
	f := newTestInvariantFilter()
	if !f.apply(firstPacketContext(s, flow.Action{Kind: flow.Forward, Endpoint: 1, To: own})) {
		t.Error("a packet to the service's own endpoint was dropped")
	}
}

// Guards against forwarding loops between instances.
func TestRelayBeyondHopLimitIsDropped(t *testing.T) {
	f := newTestInvariantFilter()
	pc := firstPacketContext(newTwoServiceState(t), flow.Action{Kind: flow.Relay})
	if !f.apply(pc) {
		t.Fatal("the first relayed packet was dropped")
	}
	pc.decoded.Relay.HopCount = packet.MaxHopCount
	if f.apply(pc) || pc.action.Kind != flow.Drop || pc.action.Code != resultcode.RouteHopLimit {
		t.Fatalf("action %+v", pc.action)
	}
	if violations(f, invariantHopLimit) != 1 || f.metrics.violationTotal.Load() != 1 {
		t.Fatal("the violation was not counted")
	}
}

// Guards against refusing a flow after one of its packets was forwarded: the
// caller would take a request as not run that may run (guarantee P4).
func TestRefusalAfterForwardIsDropped(t *testing.T) {
	f := newTestInvariantFilter()
	s := newTwoServiceState(t)
	refuse := flow.Action{Kind: flow.Refuse, Code: resultcode.RefusedTableFull}
	if !f.apply(firstPacketContext(s, refuse)) {
		t.Fatal("the refusal of a new flow was dropped")
	}
	tunnel := s.snapshot.Services[0].Endpoints[0].Tunnel
	if !f.apply(firstPacketContext(s, flow.Action{Kind: flow.Forward, Endpoint: 1, To: tunnel})) {
		t.Fatal("a packet to the service's own endpoint was dropped")
	}
	if pc := firstPacketContext(s, refuse); f.apply(pc) || pc.action.Kind != flow.Drop {
		t.Fatalf("a forwarded flow was refused: %+v", pc.action)
	}
	reused := firstPacketContext(s, refuse)
	reused.flow.Sequence++
	if !f.apply(reused) {
		t.Fatal("the refusal of a new connection on a reused five-tuple was dropped")
	}
	middle := firstPacketContext(s, refuse)
	middle.flow.First = false
	if f.apply(middle) {
		t.Fatal("a packet in the middle of a flow was refused")
	}
	if violations(f, invariantRefusedForwarded) != 2 {
		t.Fatal("the violations were not counted")
	}
}
