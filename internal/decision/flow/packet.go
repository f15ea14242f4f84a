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

// Packet holds the properties of one packet that determine its Action.
type Packet struct {
	Tuple         common.FiveTuple
	Hash          common.FlowHash
	Service       *ServiceTables
	First         bool   // SYN without ACK; any UDP packet may be first
	Sequence      uint32 // TCP sequence number
	Fin, Reset    bool
	PayloadLength int
	HopCount      uint8
	// Orphaned is set when this instance has lost its controld and receives
	// packets only from other instances in the same state. It then handles
	// relayed packets with its flow table and the default endpoints, because no
	// other instance would.
	Orphaned bool
}

// ActionKind is the way in which a packet is handled.
type ActionKind uint8

// Kinds of actions.
const (
	// Drop discards the packet without a response.
	Drop ActionKind = iota
	// Refuse drops the packet and sends a reset to a TCP caller.
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
	To       netip.AddrPort // tunnel address of the endpoint or entry address of the instance
	// HopCount is the hop count of a relayed packet.
	HopCount uint8
}

// Limits holds the limits of one shard.
type Limits struct {
	// MaxFlows is the maximum number of flows of the shard.
	MaxFlows int
	// MaxExceptions is the maximum number of flows that the shard holds for
	// other instances; 0 means MaxFlows.
	MaxExceptions int
	// FirstSequence is the start of the sequence numbers of replication batches. A
	// process that restarts with the same incarnation must pass a higher value than
	// it used before; otherwise its peers ignore its batches as old.
	FirstSequence uint64

	// ablation disables mechanisms, so that tests can show that each is needed.
	ablation ablation
}

// ablation lists mechanisms to disable. Only tests set it: they run with and without
// a mechanism, and require that the failure occurs without it.
type ablation struct {
	noHandover           bool // packets of unknown flows are not relayed to the former owner
	noExceptions         bool // exceptions are not reported
	noSlotBases          bool // the base of a gained slot is not kept
	eagerBases           bool // a new base is sent before the exceptions to it
	noRefusalCache       bool // refused first packets are not cached
	moveReusedTuples     bool // a reused five-tuple moves a flow off an ineligible endpoint at once
	expireHeld           bool // held flows expire although their owner still reports them
	keepTableAfterRejoin bool // the flow table stays in use after the instance rejoined
	reopenInLostSlots    bool // a former owner opens connections on five-tuples of its flows
	noEarlierOwner       bool // packets are not relayed to the owner before a dead former owner
	lastReportWins       bool // an earlier owner's report replaces that of the former owner
}

// Stats holds the counters of one shard.
type Stats struct {
	OpenFlows int
	MaxFlows  int
	// ExceptionsOwned is the number of flows of this instance that other
	// instances hold, and ExceptionsHeld the number that it holds for others.
	ExceptionsOwned int
	ExceptionsHeld  int
	FlowsOpened     uint64
	FlowsRefused    uint64
	// FlowsAdopted is the number of flows that were added by a packet other than
	// the first.
	FlowsAdopted uint64
	// ExceptionsLost is the number of reported flows that were dropped because the
	// table was full.
	ExceptionsLost uint64
	// Pending is the number of flows whose report is not acknowledged and of
	// withdrawals that are not sent yet.
	Pending int
}

// DefaultIdleTimeout applies to services without an idle timeout.
const DefaultIdleTimeout = 15 * time.Minute
