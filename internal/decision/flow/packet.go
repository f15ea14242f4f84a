package flow

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Shards is the number of parts of an instance's flow table.
const Shards = 64

// shardBits is the number of top hash bits that select a shard.
const shardBits = 6

// ShardOf returns the number of the shard that holds the flow.
func ShardOf(hash common.FlowHash) int {
	return int(hash >> (64 - shardBits))
}

// Packet is what the decision needs to know about one packet.
type Packet struct {
	Tuple         common.FiveTuple
	Hash          common.FlowHash
	Service       *ServiceTables
	First         bool   // SYN without ACK; any UDP packet may be first
	Sequence      uint32 // TCP sequence number
	Fin, Reset    bool
	PayloadLength int
	HopCount      uint8
}

// ActionKind is what to do with a packet.
type ActionKind uint8

// Kinds of actions.
const (
	Drop ActionKind = iota
	// Refuse drops the packet and answers a TCP caller with a reset.
	Refuse
	// Relay sends the packet to another instance.
	Relay
	// Forward sends the packet to an endpoint.
	Forward
)

// Action is the decision for one packet.
type Action struct {
	Kind     ActionKind
	Code     resultcode.Code
	Endpoint common.EndpointID
	To       netip.AddrPort // endpoint tunnel or peer entry address
	// HopCount is the hop count of a relayed packet.
	HopCount uint8
}

// Limits bounds one shard.
type Limits struct {
	// MaxFlows is the highest number of flows of the shard.
	MaxFlows int
	// MaxExceptions is the highest number of flows that the shard holds for
	// other instances; 0 is MaxFlows.
	MaxExceptions int
}

// Stats holds the counters of one shard.
type Stats struct {
	OpenFlows       int
	MaxFlows        int
	ExceptionsOwned int
	ExceptionsHeld  int
	FlowsOpened     uint64
	FlowsRefused    uint64
	FlowsAdopted    uint64
	// Pending is the number of updates that no batch has carried yet.
	Pending int
}

// Budget bounds what one round of TakeReplication may send. Shards subtract
// what they use.
type Budget struct {
	// Bytes is the number of bytes left.
	Bytes int
	// MaxBatchBytes bounds one batch.
	MaxBatchBytes int
}

// DefaultIdleTimeout applies to services without an idle timeout.
const DefaultIdleTimeout = 15 * time.Minute
