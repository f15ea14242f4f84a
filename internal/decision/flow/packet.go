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
	// Orphaned is set on an instance without a controld that only other such
	// instances still send packets to: it handles relayed packets by its table
	// and the defaults, because nobody else would.
	Orphaned bool
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
	// FirstSequence is the sequence number of the first replication batch. A
	// process that restarts with the same incarnation must pass a higher one
	// than it used before, or its peers take its batches for old ones.
	FirstSequence uint64

	// ablation switches mechanisms off, so that tests can show that they are
	// needed.
	ablation ablation
}

// ablation is set by tests only.
type ablation struct {
	noHandover           bool // unknown flows of a gained slot are not sent to its former owner
	noExceptions         bool // exceptions are not sent
	noSlotBases          bool // the base of a gained slot is not kept
	eagerBases           bool // a new base is sent before the exceptions to it
	noRefusalCache       bool // refused flows are not remembered
	moveReusedTuples     bool // a new sequence number moves a flow off a leaving endpoint at once
	expireHeld           bool // held flows expire although their owner lives
	keepTableAfterRejoin bool // a table stays in use after the instance rejoined
	reopenInLostSlots    bool // a former owner opens connections on known five-tuples
	noEarlierOwner       bool // the owner before a dead former owner is not asked
	lastReportWins       bool // an earlier owner's report replaces the former owner's
}

// Stats holds the counters of one shard.
type Stats struct {
	OpenFlows int
	MaxFlows  int
	// ExceptionsOwned is the number of flows that other instances hold for
	// this one, ExceptionsHeld the number held for others.
	ExceptionsOwned int
	ExceptionsHeld  int
	FlowsOpened     uint64
	FlowsRefused    uint64
	// FlowsAdopted counts flows that were first seen in the middle.
	FlowsAdopted uint64
	// ExceptionsLost counts reported flows that found no room.
	ExceptionsLost uint64
	// Pending is the number of updates that no target has acknowledged.
	Pending int
}

// DefaultIdleTimeout applies to services without an idle timeout.
const DefaultIdleTimeout = 15 * time.Minute
