package entry

import (
	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
)

// invariant names a rule that the packet path must never violate. The decision
// code enforces these rules; the checks in this package do not depend on it.
type invariant string

const (
	// invariantForeignEndpoint: no packet goes to an endpoint of another
	// service (guarantee P2).
	invariantForeignEndpoint invariant = "foreign_endpoint"
	// invariantHopLimit: no packet with the maximum hop count is relayed.
	invariantHopLimit invariant = "hop_limit"
	// invariantRefusedForwarded: no flow is refused after one of its packets
	// was forwarded (guarantee P4).
	invariantRefusedForwarded invariant = "refused_forwarded"
)

var invariants = []invariant{invariantForeignEndpoint, invariantHopLimit, invariantRefusedForwarded}

// forwardedCacheSize is the number of entries of one shard's forwardedCache. 64
// shards take 64 * 1,024 * 8 bytes = 512 KB.
const forwardedCacheSize = 1024

// forwardedCache is a direct-mapped cache of the first packets that were
// forwarded, by flow hash and initial sequence number. It is independent of the
// flow table. A newer entry overwrites an older one at the same index, so the
// check can miss a violation but never reports a false one.
type forwardedCache struct {
	keys [forwardedCacheSize]uint64
}

// firstPacketKey identifies the first packet of a flow. It differs between
// consecutive TCP connections on one five-tuple.
func firstPacketKey(hash common.FlowHash, sequence uint32) uint64 {
	// The odd multiplier, 2^64 divided by the golden ratio, spreads
	// neighbouring sequence numbers over all bits.
	return uint64(hash) ^ (uint64(sequence)+1)*0x9E3779B97F4A7C15
}

func (c *forwardedCache) entry(key uint64) *uint64 {
	return &c.keys[key%forwardedCacheSize]
}

func (c *forwardedCache) add(p *flow.Packet) {
	key := firstPacketKey(p.Hash, p.Sequence)
	*c.entry(key) = key
}

func (c *forwardedCache) contains(p *flow.Packet) bool {
	key := firstPacketKey(p.Hash, p.Sequence)
	return *c.entry(key) == key
}

// endpointKey identifies an endpoint within a service.
type endpointKey struct {
	service  common.ServiceID
	endpoint common.EndpointID
}
