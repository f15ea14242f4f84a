package entry

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/packet"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// packetContext holds one packet and its results in the filter chain. A worker
// reuses it for every packet.
type packetContext struct {
	// buffer holds the received packet after headroom for the header to send.
	buffer []byte
	// received is the received packet within buffer.
	received []byte
	decoded  packet.Packet
	flow     flow.Packet
	state    *state
	action   flow.Action

	// now, leaseValid and orphaned are the same for all packets of a batch.
	now        time.Duration
	leaseValid bool
	orphaned   bool

	// out is the packet to send and to its destination; a nil out sends nothing.
	out []byte
	to  netip.AddrPort
}

// drop sets the action to drop the packet with the code. It returns false to
// end the filter chain.
func (pc *packetContext) drop(code resultcode.Code) bool {
	pc.action = flow.Action{Kind: flow.Drop, Code: code}
	pc.out = nil
	return false
}

// filter is one step of the packet path. apply returns false if the packet is
// dropped; the action of the context then holds the result code.
type filter interface {
	apply(pc *packetContext) bool
}

// decodeFilter decodes the headers.
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

// serviceCacheSize is the number of entries of the direct-mapped service cache.
const serviceCacheSize = 64

// matchFilter finds the service of the packet's destination (guarantee P2). A
// cache avoids most lookups in the tables.
type matchFilter struct {
	// state is the state that the cached services belong to.
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

// match finds the service in the tables, or drops the packet.
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

// flowFilter decides the action of the packet. Routing, flow lookup, admission
// and endpoint selection happen under one lock of the shard.
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

// rematch repeats the match with the tables of the shard, which differ from
// those of the batch while a snapshot is applied.
func rematch(s *shard, pc *packetContext) bool {
	if s.state == nil {
		return pc.drop(resultcode.DroppedNoTables)
	}
	pc.state = s.state
	return match(pc)
}

// invariantFilter drops packets whose action would violate an invariant.
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
	// UDP is not checked: it has no sequence number that distinguishes a packet
	// of a forwarded flow from a new flow on the same five-tuple after the idle
	// timeout.
	wasForwarded := pc.flow.Tuple.Protocol == common.ProtocolTCP && s.forwarded.contains(&pc.flow)
	s.mu.Unlock()
	if wasForwarded || !pc.flow.First {
		f.metrics.countViolation(invariantRefusedForwarded)
		return pc.drop(pc.action.Code)
	}
	return true
}

// encodeFilter writes the Geneve header that the action needs in front of the
// inner packet, in the receive buffer.
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

// withHeader returns the part of the buffer that holds the inner packet and, in
// front of it, length bytes for a header.
func (pc *packetContext) withHeader(length int) []byte {
	start := packet.RelayHeaderLength + pc.decoded.InnerOffset
	return pc.buffer[start-length : start+len(pc.decoded.Inner)]
}

// refuse builds the reset for a refused TCP flow. UDP flows get none, and without a
// fabric return address no flow does.
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
