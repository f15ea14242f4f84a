// Package common defines the domain types that the other packages share: flows,
// services, endpoints, members, snapshots and replication batches.
package common

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// InstanceID identifies an instance. It is a hash of the instance's name.
type InstanceID uint32

// ServiceID identifies a service within a release.
type ServiceID uint32

// EndpointID identifies an endpoint. It is assigned when a release is published
// and never reused, so it also serves as the endpoint's incarnation.
type EndpointID uint32

// InstanceIDOf returns the ID of the instance with the given name.
func InstanceIDOf(name string) InstanceID {
	return InstanceID(xxhash.Sum64String(name))
}

// Protocol is an IP protocol number.
type Protocol uint8

// Protocols that services may use.
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// String returns the protocol's name in configuration files, "unknown" for other
// protocols.
func (p Protocol) String() string {
	switch p {
	case ProtocolTCP:
		return "tcp"
	case ProtocolUDP:
		return "udp"
	default:
		return "unknown"
	}
}

// ServiceAddress is the address that callers of a service connect to.
type ServiceAddress struct {
	Address  netip.Addr
	Port     uint16
	Protocol Protocol
}

// FiveTuple identifies a flow. Addresses are IPv4 in network byte order.
type FiveTuple struct {
	Source          [4]byte
	Destination     [4]byte
	SourcePort      uint16
	DestinationPort uint16
	Protocol        Protocol
}

// FlowHash is the 64-bit hash of a five-tuple. All instances of a group compute
// the same value: the top bits select the slot, the low bits the bucket.
type FlowHash uint64

const (
	// SlotBits is the number of hash bits that select a slot.
	SlotBits = 14
	// Slots is the number of slots, the ranges of the flow hash whose ownership
	// is divided among the members of a group. With 192 members, the busiest
	// member owns about 1.33 times the mean.
	Slots = 1 << SlotBits
	// BucketBits is the number of hash bits that select a bucket.
	BucketBits = 8
	// Buckets is the number of buckets of a service. All flows of a bucket have
	// the same default endpoint.
	Buckets = 1 << BucketBits
)

// Hash returns the flow hash of the five-tuple without allocating.
func (t *FiveTuple) Hash() FlowHash {
	var b [13]byte
	copy(b[0:4], t.Source[:])
	copy(b[4:8], t.Destination[:])
	binary.BigEndian.PutUint16(b[8:10], t.SourcePort)
	binary.BigEndian.PutUint16(b[10:12], t.DestinationPort)
	b[12] = byte(t.Protocol)
	return FlowHash(xxhash.Sum64(b[:]))
}

// Slot returns the slot that the flow belongs to.
func (h FlowHash) Slot() uint16 {
	return uint16(h >> (64 - SlotBits))
}

// Bucket returns the bucket of the flow within its service.
func (h FlowHash) Bucket() uint8 {
	return uint8(h)
}

// Selection is the policy that selects the endpoint of a new flow.
type Selection uint8

// Selection policies, see docs/design.md section 3.5.
const (
	// SelectionHash selects by flow hash alone.
	SelectionHash Selection = iota
	// SelectionBounded selects by flow hash among the endpoints whose load is within
	// Policy.BoundPercent.
	SelectionBounded
	// SelectionTwoChoices selects the less loaded of two candidates.
	SelectionTwoChoices
)

// EndpointState is the state of an endpoint, which determines whether it takes new
// flows.
type EndpointState uint8

// Endpoint states. Up and cold endpoints take new flows, draining ones only keep
// their existing flows, and down ones serve nothing.
const (
	EndpointUp EndpointState = iota
	EndpointCold
	EndpointDraining
	EndpointDown
)

// TakesNewFlows reports whether an endpoint in this state takes new flows.
func (s EndpointState) TakesNewFlows() bool {
	return s == EndpointUp || s == EndpointCold
}

// MemberState is the state of an instance in a membership view.
type MemberState uint8

// Member states. At equal incarnation, a later state overrides an earlier one.
const (
	MemberJoining MemberState = iota
	MemberServing
	MemberLeaving
	MemberSuspect
	MemberDead
)

// Member is an instance in a membership view.
type Member struct {
	ID          InstanceID
	Name        string
	Incarnation uint64
	// EntryAddress is the address where burdock-entryd receives packets.
	EntryAddress netip.AddrPort
	State        MemberState
}

// CanOwnSlots reports whether a member in this state may own slots. A suspect
// member keeps its slots until it is declared dead.
func (m *Member) CanOwnSlots() bool {
	return m.State == MemberServing || m.State == MemberSuspect
}

// Policy holds the limits and the selection policy of a service. A limit of 0 flows
// is no bound; a percentage or idle timeout of 0 stands for the default value.
type Policy struct {
	Selection Selection
	// BoundPercent is the maximum load of an endpoint in percent of the mean.
	BoundPercent uint32
	// SlowStart is the time in which a cold endpoint reaches its full share of
	// new flows.
	SlowStart time.Duration
	// IdleTimeout is the time without packets after which a flow ends.
	IdleTimeout time.Duration
	// MaxFlowsPerEndpoint bounds the open flows of one endpoint, as estimated
	// by one instance.
	MaxFlowsPerEndpoint uint32
	// NewFlowsPerSecond bounds the new flows of the service on one instance.
	NewFlowsPerSecond uint32
	// MaxEjectedPercent bounds the percentage of endpoints that are ejected for
	// bad health at the same time.
	MaxEjectedPercent uint32
}

// Endpoint is one address of a backend server with its current state.
type Endpoint struct {
	ID     EndpointID
	Name   string
	Tunnel netip.AddrPort
	Weight uint32
	State  EndpointState
	// Load is the reported number of requests in flight and open connections.
	Load uint32
	// LoadAge is the age of the load report when the snapshot was created.
	LoadAge time.Duration
	// ColdFor is the time since a cold endpoint came up, when the snapshot was
	// created.
	ColdFor time.Duration
}

// Service is a service with the endpoints that the instances of the group may use.
type Service struct {
	ID         ServiceID
	Name       string
	Address    ServiceAddress
	Idempotent bool
	Policy     Policy
	Endpoints  []Endpoint
}

// Snapshot is the complete input of the packet path's decisions: configuration,
// membership view and endpoint states. It is immutable.
type Snapshot struct {
	Release     uint64
	ReleaseHash string
	Services    []Service
	Members     []Member
	Self        InstanceID
	// Settled is set when the membership view is settled. Only then may a flow
	// get another endpoint than its default endpoint.
	Settled bool
	// Isolated is set when no peer responds. The instance then handles the flows
	// of all slots.
	Isolated bool
	// Epoch and Sequence order the snapshots: the epoch is that of the
	// burdock-controld process, the sequence increases within it.
	Epoch    uint64
	Sequence uint64
}

// ServiceBase is the base of the replicated exceptions of a service: the eligible
// endpoints and their weights, which give the default endpoint of each flow. With
// no endpoints and one weight, it refers to a table that the receiver has or that
// the batch contains; the weight is the table's ID.
type ServiceBase struct {
	Service  ServiceID
	Eligible []EndpointID
	Weights  []uint32
}

// ExceptionGroup is a list of exceptions: flows of one service that are on the
// given endpoint instead of the default endpoint of their base. If Withdrawn is
// set, these flows have ended.
type ExceptionGroup struct {
	Service   ServiceID
	Endpoint  EndpointID
	Hashes    []FlowHash
	Withdrawn bool
}

// SlotBase overrides the ServiceBase of a service for one slot after a takeover.
type SlotBase struct {
	Slot uint16
	Base ServiceBase
}

// ReplicationBatch holds flow state that the source instance sends to the target.
type ReplicationBatch struct {
	Target            InstanceID
	Source            InstanceID
	SourceIncarnation uint64
	Sequence          uint64
	Exceptions        []ExceptionGroup
	Bases             []ServiceBase
	SlotBases         []SlotBase
}
