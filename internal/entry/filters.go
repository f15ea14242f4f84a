package entry

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/packet"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// exchange is one packet on its way through the filter chain.
type exchange struct {
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

// stop ends the chain: the packet is dropped with the code.
func (x *exchange) stop(code resultcode.Code) bool {
	x.action = flow.Action{Kind: flow.Drop, Code: code}
	x.out = nil
	return false
}

// filter is one step of the packet path. It returns false when the packet is
// dropped; the exchange then holds the code.
type filter interface {
	apply(x *exchange) bool
}

// decodeFilter reads the headers.
type decodeFilter struct {
	decoder packet.Decoder
}

func (f *decodeFilter) apply(x *exchange) bool {
	if code := f.decoder.Decode(x.received, &x.decoded); code != resultcode.OK {
		return x.stop(code)
	}
	x.flow = flow.Packet{
		Tuple:         x.decoded.Tuple,
		Hash:          x.decoded.Tuple.Hash(),
		First:         x.decoded.First(),
		Sequence:      x.decoded.Sequence,
		Fin:           x.decoded.Fin,
		Reset:         x.decoded.ResetFlag,
		PayloadLength: x.decoded.PayloadLength,
		HopCount:      x.decoded.Relay.HopCount,
		Orphaned:      x.orphaned,
	}
	return true
}

// recentServices is the size of the cache in front of the tables' services.
const recentServices = 64

// matchFilter finds the service of the packet's destination (P2).
type matchFilter struct {
	// state is the one that the cache holds services of.
	state  *state
	recent [recentServices]*flow.ServiceTables
}

func (f *matchFilter) apply(x *exchange) bool {
	if x.state == nil {
		return x.stop(resultcode.DroppedNoTables)
	}
	if f.state != x.state {
		f.state = x.state
		clear(f.recent[:])
	}
	tuple := &x.flow.Tuple
	recent := &f.recent[(uint16(tuple.Destination[3])+tuple.DestinationPort)%recentServices]
	if *recent != nil && (*recent).Service().Address == serviceAddress(tuple) {
		x.flow.Service = *recent
		return true
	}
	if !match(x) {
		return false
	}
	*recent = x.flow.Service
	return true
}

// match finds the service in the tables.
func match(x *exchange) bool {
	x.flow.Service = x.state.tables.Match(serviceAddress(&x.flow.Tuple))
	if x.flow.Service == nil {
		return x.stop(resultcode.PacketNoService)
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

func (f *flowFilter) apply(x *exchange) bool {
	s := &f.shards[flow.ShardOf(x.flow.Hash)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != x.state && !rematch(s, x) {
		return false
	}
	x.action = s.flows.Handle(x.state.tables, &x.flow, x.now, x.leaseValid)
	return true
}

// rematch repeats the match with the tables that the shard has installed. They
// differ from those of the batch while a snapshot is applied.
func rematch(s *shard, x *exchange) bool {
	if s.state == nil {
		return x.stop(resultcode.DroppedNoTables)
	}
	x.state = s.state
	return match(x)
}

// invariantFilter stops actions that would break an invariant.
type invariantFilter struct {
	shards  *[flow.Shards]shard
	metrics *metrics
}

func (f *invariantFilter) apply(x *exchange) bool {
	switch x.action.Kind {
	case flow.Forward:
		return f.checkForward(x)
	case flow.Relay:
		return f.checkRelay(x)
	case flow.Refuse:
		return f.checkRefuse(x)
	default:
		return true
	}
}

func (f *invariantFilter) checkForward(x *exchange) bool {
	key := endpointKey{x.flow.Service.Service().ID, x.action.Endpoint}
	tunnel, found := x.state.endpoints[key]
	if !found || tunnel != x.action.To {
		f.metrics.violation(invariantForeignEndpoint)
		return x.stop(resultcode.PacketForeignEndpoint)
	}
	if x.flow.First && x.flow.Tuple.Protocol == common.ProtocolTCP {
		s := &f.shards[flow.ShardOf(x.flow.Hash)]
		s.mu.Lock()
		s.forwarded.note(&x.flow)
		s.mu.Unlock()
	}
	return true
}

func (f *invariantFilter) checkRelay(x *exchange) bool {
	if x.decoded.Relay.HopCount >= packet.MaxHopCount {
		f.metrics.violation(invariantHopLimit)
		return x.stop(resultcode.RouteHopLimit)
	}
	return true
}

func (f *invariantFilter) checkRefuse(x *exchange) bool {
	s := &f.shards[flow.ShardOf(x.flow.Hash)]
	s.mu.Lock()
	// Only TCP tells a packet of a forwarded flow from a new flow on the same
	// five-tuple after the idle timeout.
	known := x.flow.Tuple.Protocol == common.ProtocolTCP && s.forwarded.holds(&x.flow)
	s.mu.Unlock()
	if known || !x.flow.First {
		f.metrics.violation(invariantRefusedForwarded)
		return x.stop(x.action.Code)
	}
	return true
}

// encodeFilter writes the Geneve header of the action in front of the inner
// packet, in the buffer that it was received in.
type encodeFilter struct {
	self         common.InstanceID
	fabricReturn netip.AddrPort
	resets       *packet.ResetBuilder
	traffic      *traffic
}

func (f *encodeFilter) apply(x *exchange) bool {
	switch x.action.Kind {
	case flow.Forward:
		x.out = x.withHeader(packet.HeaderLength)
		packet.PutHeader(x.out)
		x.to = x.action.To
	case flow.Relay:
		x.out = x.withHeader(packet.RelayHeaderLength)
		relay := packet.Relay{HopCount: x.action.HopCount, Sender: f.self, ViewHash: x.state.view}
		packet.PutRelayHeader(x.out, relay)
		x.to = x.action.To
	case flow.Refuse:
		return f.refuse(x)
	}
	return true
}

// withHeader returns the inner packet with room for a header in front of it.
func (x *exchange) withHeader(length int) []byte {
	start := packet.RelayHeaderLength + x.decoded.InnerOffset
	return x.buffer[start-length : start+len(x.decoded.Inner)]
}

func (f *encodeFilter) refuse(x *exchange) bool {
	if x.flow.Tuple.Protocol != common.ProtocolTCP || !f.fabricReturn.IsValid() {
		f.traffic.resetsWithheld.Add(1)
		return true
	}
	reset, err := f.resets.Build(&x.decoded)
	if err != nil {
		f.traffic.resetsWithheld.Add(1)
		return true
	}
	// The reset is shorter than the SYN with its headers and the headroom.
	x.out = x.buffer[:copy(x.buffer, reset)]
	x.to = f.fabricReturn
	return true
}
