package entry

import (
	"net/netip"
	"testing"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

func newTestState(t *testing.T, services ...common.Service) *state {
	t.Helper()
	snapshot := &common.Snapshot{Services: services}
	tables, err := flow.NewTables(snapshot, nil)
	if err != nil {
		t.Fatal(err)
	}
	return newState(snapshot, tables)
}

func serviceAt(id common.ServiceID, lastByte byte, port uint16, protocol common.Protocol) common.Service {
	return common.Service{ID: id, Address: common.ServiceAddress{
		Address: netip.AddrFrom4([4]byte{203, 0, 113, lastByte}), Port: port, Protocol: protocol,
	}}
}

// Guards against a cached match that assigns a packet to the wrong service
// (guarantee P2): services that share a cache entry, differ only in the protocol,
// or change their address with a release.
func TestMatchCacheKeepsServicesApart(t *testing.T) {
	before := newTestState(t,
		serviceAt(1, 10, 443, common.ProtocolTCP),
		serviceAt(2, 11, 442, common.ProtocolTCP),
		serviceAt(3, 10, 443, common.ProtocolUDP),
		serviceAt(4, 10, 443+serviceCacheSize, common.ProtocolTCP))
	after := newTestState(t,
		serviceAt(2, 10, 443, common.ProtocolTCP),
		serviceAt(1, 11, 442, common.ProtocolTCP))
	f := &matchFilter{}
	const noService = 0
	check := func(s *state, lastByte byte, port uint16, protocol common.Protocol, want common.ServiceID) {
		t.Helper()
		pc := &packetContext{state: s}
		pc.flow.Tuple = common.FiveTuple{
			Destination: [4]byte{203, 0, 113, lastByte}, DestinationPort: port, Protocol: protocol,
		}
		found := f.apply(pc)
		if want == noService {
			if found || pc.action.Code != resultcode.PacketNoService {
				t.Fatalf("port %d: found %v, action %+v", port, found, pc.action)
			}
			return
		}
		if !found || pc.flow.Service.Service().ID != want {
			t.Fatalf("port %d: found %v, want service %d", port, found, want)
		}
	}
	for range 2 {
		check(before, 10, 443, common.ProtocolTCP, 1)
		check(before, 11, 442, common.ProtocolTCP, 2)
		check(before, 10, 443, common.ProtocolUDP, 3)
		check(before, 10, 443+serviceCacheSize, common.ProtocolTCP, 4)
		check(before, 12, 441, common.ProtocolTCP, noService)
		check(before, 10, 443, common.ProtocolTCP, 1)
	}
	check(after, 10, 443, common.ProtocolTCP, 2)
	check(after, 11, 442, common.ProtocolTCP, 1)
	check(after, 10, 443, common.ProtocolUDP, noService)
}

// Guards against packets with an unknown result code that are counted as successful.
func TestUnknownCodesAreNotCountedAsOK(t *testing.T) {
	worker := &counters{}
	worker.codes.add(resultcode.ConfigSyntax)
	sum := newTotals()
	sum.add(worker)
	if sum.results[resultcode.OK] != 0 || sum.results[resultcode.PacketUnknownResult] != 1 {
		t.Errorf("results %v", sum.results)
	}
}
