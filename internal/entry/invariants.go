package entry

import (
	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
)

// invariant names a rule that the packet path never breaks. The decision code
// keeps to them; the checks here are independent of it.
type invariant string

const (
	// invariantForeignEndpoint: no packet goes to an endpoint of another
	// service (P2).
	invariantForeignEndpoint invariant = "foreign_endpoint"
	// invariantHopLimit: no packet is relayed beyond the highest hop count.
	invariantHopLimit invariant = "hop_limit"
	// invariantRefusedForwarded: no flow is refused after one of its packets
	// was forwarded (P4).
	invariantRefusedForwarded invariant = "refused_forwarded"
)

var invariants = []invariant{invariantForeignEndpoint, invariantHopLimit, invariantRefusedForwarded}

// forwardedCacheSize bounds the first packets that one shard remembers. 64 shards
// take 64 * 1,024 * 8 bytes = 512 KB.
const forwardedCacheSize = 1024

// forwardedCache remembers first packets that were forwarded, by flow and
// initial sequence number, apart from the flow table. A newer entry replaces
// an older one in the same place, so the check can miss a violation but never
// reports a false one.
type forwardedCache struct {
	keys [forwardedCacheSize]uint64
}

// firstPacketKey differs between connections on one five-tuple.
func firstPacketKey(hash common.FlowHash, sequence uint32) uint64 {
	// The odd multiplier, 2^64 divided by the golden ratio, spreads
	// neighbouring sequence numbers over all bits.
	return uint64(hash) ^ (uint64(sequence)+1)*0x9E3779B97F4A7C15
}

func (m *forwardedCache) entry(key uint64) *uint64 {
	return &m.keys[key%forwardedCacheSize]
}

func (m *forwardedCache) add(p *flow.Packet) {
	key := firstPacketKey(p.Hash, p.Sequence)
	*m.entry(key) = key
}

func (m *forwardedCache) contains(p *flow.Packet) bool {
	key := firstPacketKey(p.Hash, p.Sequence)
	return *m.entry(key) == key
}

// endpointKey identifies an endpoint within a service.
type endpointKey struct {
	service  common.ServiceID
	endpoint common.EndpointID
}
