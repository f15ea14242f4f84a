package entry

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/packet"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// packetContext is one packet on its way through the filter chain.
type packetContext struct {
	// buffer holds headroom for our headers and then the received packet.
	buffer []byte
	// received is the part of buffer that came from the network.
	received []byte
	decoded  packet.Packet
	flow     flow.Packet
	state    *state
	action   flow.Action

	// now, leaseValid and orphaned are the same for all packets of a batch.
	now        time.Duration
	leaseValid bool
	orphaned   bool

	// out and to are what the last filters send.
	out []byte
	to  netip.AddrPort
}

// drop ends the chain: the packet is dropped with the code.
func (pc *packetContext) drop(code resultcode.Code) bool {
	pc.action = flow.Action{Kind: flow.Drop, Code: code}
	pc.out = nil
	return false
}

// filter is one step of the packet path. It returns false when the packet is
// dropped; the exchange then holds the code.
type filter interface {
	apply(pc *packetContext) bool
}

// decodeFilter reads the headers.
type decodeFilter struct {
	decoder packet.Decoder
}

func (f *decodeFilter) apply(pc *packetContext) bool {
	if code := f.decoder.Decode(pc.received, &pc.decoded); code != resultcode.OK {
		return pc.drop(code)
	}
	pc.flow = flow.Packet{
		Tuple:         pc.decoded.Tuple,
		Hash:          pc.decoded.Tuple.Hash(),
		First:         pc.decoded.First(),
		Sequence:      pc.decoded.Sequence,
		Fin:           pc.decoded.Fin,
		Reset:         pc.decoded.ResetFlag,
		PayloadLength: pc.decoded.PayloadLength,
		HopCount:      pc.decoded.Relay.HopCount,
		Orphaned:      pc.orphaned,
	}
	return true
}

// serviceCacheSize is the size of the cache in front of the tables' services.
const serviceCacheSize = 64

// matchFilter finds the service of the packet's destination (P2).
type matchFilter struct {
	// state is the one that the cache holds services of.
	state  *state
	cached [serviceCacheSize]*flow.ServiceTables
}

func (f *matchFilter) apply(pc *packetContext) bool {
	if pc.state == nil {
		return pc.drop(resultcode.DroppedNoTables)
	}
	if f.state != pc.state {
		f.state = pc.state
		clear(f.cached[:])
	}
	tuple := &pc.flow.Tuple
	cached := &f.cached[(uint16(tuple.Destination[3])+tuple.DestinationPort)%serviceCacheSize]
	if *cached != nil && (*cached).Service().Address == serviceAddress(tuple) {
		pc.flow.Service = *cached
		return true
	}
	if !match(pc) {
		return false
	}
	*cached = pc.flow.Service
	return true
}

// match finds the service in the tables.
func match(pc *packetContext) bool {
	pc.flow.Service = pc.state.tables.Match(serviceAddress(&pc.flow.Tuple))
	if pc.flow.Service == nil {
		return pc.drop(resultcode.PacketNoService)
	}
	return true
}

func serviceAddress(tuple *common.FiveTuple) common.ServiceAddress {
	return common.ServiceAddress{
		Address:  netip.AddrFrom4(tuple.Destination),
		Port:     tuple.DestinationPort,
		Protocol: tuple.Protocol,
	}
}

// flowFilter takes the steps route, lookup, admit and select, which the shard
// does under one lock.
type flowFilter struct {
	shards *[flow.Shards]shard
}

func (f *flowFilter) apply(pc *packetContext) bool {
	s := &f.shards[flow.ShardOf(pc.flow.Hash)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != pc.state && !rematch(s, pc) {
		return false
	}
	pc.action = s.flows.Handle(pc.state.tables, &pc.flow, pc.now, pc.leaseValid)
	return true
}

// rematch repeats the match with the tables that the shard has installed. They
// differ from those of the batch while a snapshot is applied.
func rematch(s *shard, pc *packetContext) bool {
	if s.state == nil {
		return pc.drop(resultcode.DroppedNoTables)
	}
	pc.state = s.state
	return match(pc)
}

// invariantFilter stops actions that would break an invariant.
type invariantFilter struct {
	shards  *[flow.Shards]shard
	metrics *metrics
}

func (f *invariantFilter) apply(pc *packetContext) bool {
	switch pc.action.Kind {
	case flow.Forward:
		return f.checkForward(pc)
	case flow.Relay:
		return f.checkRelay(pc)
	case flow.Refuse:
		return f.checkRefuse(pc)
	default:
		return true
	}
}

func (f *invariantFilter) checkForward(pc *packetContext) bool {
	key := endpointKey{pc.flow.Service.Service().ID, pc.action.Endpoint}
	tunnel, found := pc.state.endpoints[key]
	if !found || tunnel != pc.action.To {
		f.metrics.countViolation(invariantForeignEndpoint)
		return pc.drop(resultcode.PacketForeignEndpoint)
	}
	if pc.flow.First && pc.flow.Tuple.Protocol == common.ProtocolTCP {
		s := &f.shards[flow.ShardOf(pc.flow.Hash)]
		s.mu.Lock()
		s.forwarded.add(&pc.flow)
		s.mu.Unlock()
	}
	return true
}

func (f *invariantFilter) checkRelay(pc *packetContext) bool {
	if pc.decoded.Relay.HopCount >= packet.MaxHopCount {
		f.metrics.countViolation(invariantHopLimit)
		return pc.drop(resultcode.RouteHopLimit)
	}
	return true
}

func (f *invariantFilter) checkRefuse(pc *packetContext) bool {
	s := &f.shards[flow.ShardOf(pc.flow.Hash)]
	s.mu.Lock()
	// Only TCP tells a packet of a forwarded flow from a new flow on the same
	// five-tuple after the idle timeout.
	known := pc.flow.Tuple.Protocol == common.ProtocolTCP && s.forwarded.contains(&pc.flow)
	s.mu.Unlock()
	if known || !pc.flow.First {
		f.metrics.countViolation(invariantRefusedForwarded)
		return pc.drop(pc.action.Code)
	}
	return true
}

// encodeFilter writes the Geneve header of the action in front of the inner
// packet, in the buffer that it was received in.
type encodeFilter struct {
	self         common.InstanceID
	fabricReturn netip.AddrPort
	resets       *packet.ResetBuilder
	counters     *counters
}

func (f *encodeFilter) apply(pc *packetContext) bool {
	switch pc.action.Kind {
	case flow.Forward:
		pc.out = pc.withHeader(packet.HeaderLength)
		packet.PutHeader(pc.out)
		pc.to = pc.action.To
	case flow.Relay:
		pc.out = pc.withHeader(packet.RelayHeaderLength)
		relay := packet.Relay{HopCount: pc.action.HopCount, Sender: f.self, ViewHash: pc.state.viewHash}
		packet.PutRelayHeader(pc.out, relay)
		pc.to = pc.action.To
	case flow.Refuse:
		return f.refuse(pc)
	}
	return true
}

// withHeader returns the inner packet with room for a header in front of it.
func (pc *packetContext) withHeader(length int) []byte {
	start := packet.RelayHeaderLength + pc.decoded.InnerOffset
	return pc.buffer[start-length : start+len(pc.decoded.Inner)]
}

func (f *encodeFilter) refuse(pc *packetContext) bool {
	if pc.flow.Tuple.Protocol != common.ProtocolTCP || !f.fabricReturn.IsValid() {
		f.counters.resetsWithheld.Add(1)
		return true
	}
	reset, err := f.resets.Build(&pc.decoded)
	if err != nil {
		f.counters.resetsWithheld.Add(1)
		return true
	}
	// The reset is shorter than the SYN with its headers and the headroom.
	pc.out = pc.buffer[:copy(pc.buffer, reset)]
	pc.to = f.fabricReturn
	return true
}
