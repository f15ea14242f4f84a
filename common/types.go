// Package common holds the types that all burdockrelay packages share.
package common

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// InstanceID is the number of an entry instance, derived from its name.
type InstanceID uint32

// ServiceID is the number of a service within a release.
type ServiceID uint32

// EndpointID is the number of an endpoint. A publication assigns it and it is
// never reused, so it also serves as the endpoint's incarnation.
type EndpointID uint32

// InstanceIDOf returns the number of the instance with the given name.
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

// String returns the name used in configuration files.
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

// ServiceAddress is what callers connect to.
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
	// Slots is the number of ownership ranges of a group. With 192 members
	// the busiest owns about 1.33 times the mean.
	Slots = 1 << SlotBits
	// BucketBits is the number of hash bits that select a bucket.
	BucketBits = 8
	// Buckets is the number of hash classes of a service.
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

// Slot returns the ownership range of the flow.
func (h FlowHash) Slot() uint16 {
	return uint16(h >> (64 - SlotBits))
}

// Bucket returns the hash class of the flow within its service.
func (h FlowHash) Bucket() uint8 {
	return uint8(h)
}

// Selection names a load policy.
type Selection uint8

// Load policies, see docs/design.md section 3.5.
const (
	SelectionHash Selection = iota
	SelectionBounded
	SelectionTwoChoices
)

// EndpointState tells whether an endpoint takes new flows.
type EndpointState uint8

// Endpoint states. Up and Cold endpoints take new flows, Draining ones keep
// their flows, Down ones serve nothing.
const (
	EndpointUp EndpointState = iota
	EndpointCold
	EndpointDraining
	EndpointDown
)

// TakesNewFlows reports whether the state permits new flows.
func (s EndpointState) TakesNewFlows() bool {
	return s == EndpointUp || s == EndpointCold
}

// MemberState is the state of an entry instance in a membership view.
type MemberState uint8

// Member states in the order of precedence at equal incarnation.
const (
	MemberJoining MemberState = iota
	MemberServing
	MemberLeaving
	MemberSuspect
	MemberDead
)

// Member is one entry instance in a membership view.
type Member struct {
	ID          InstanceID
	Name        string
	Incarnation uint64
	// EntryAddress is where entryd receives relayed packets.
	EntryAddress netip.AddrPort
	State        MemberState
}

// CanOwnSlots reports whether the member may own slots. A suspect member keeps its
// slots until it is declared dead.
func (m *Member) CanOwnSlots() bool {
	return m.State == MemberServing || m.State == MemberSuspect
}

// Policy holds the limits and the load policy of a service.
type Policy struct {
	Selection Selection
	// BoundPercent is the highest load of an endpoint in percent of the mean.
	BoundPercent uint32
	// SlowStart is how long a cold endpoint takes to reach its full share.
	SlowStart time.Duration
	// IdleTimeout ends a flow without packets.
	IdleTimeout time.Duration
	// MaxFlowsPerEndpoint bounds the open flows of one endpoint, as estimated
	// by one instance.
	MaxFlowsPerEndpoint uint32
	// NewFlowsPerSecond bounds the new flows of the service on one instance;
	// 0 is no bound.
	NewFlowsPerSecond uint32
	// MaxEjectedPercent bounds the share of endpoints that may be left out
	// for bad health at once.
	MaxEjectedPercent uint32
}

// Endpoint is one address of a backend server with its present state.
type Endpoint struct {
	ID     EndpointID
	Name   string
	Tunnel netip.AddrPort
	Weight uint32
	State  EndpointState
	// Load is the reported number of requests and connections under way.
	Load uint32
	// LoadAge is the age of the report when the snapshot was made.
	LoadAge time.Duration
	// ColdFor is the time since a cold endpoint came up.
	ColdFor time.Duration
}

// Service is one service with the endpoints that this group may use.
type Service struct {
	ID         ServiceID
	Name       string
	Address    ServiceAddress
	Idempotent bool
	Policy     Policy
	Endpoints  []Endpoint
}

// Snapshot is everything that the packet path decides from. It is immutable.
type Snapshot struct {
	Release     uint64
	ReleaseHash string
	Services    []Service
	Members     []Member
	Self        InstanceID
	// Settled permits deviations from the default endpoint.
	Settled bool
	// Isolated is set when no peer answers: the instance handles every slot.
	Isolated bool
	// Epoch and Sequence order the snapshots of controld processes.
	Epoch    uint64
	Sequence uint64
}

// ServiceBase is the set of endpoints whose default table the replicated
// exceptions of a service are relative to.
type ServiceBase struct {
	Service  ServiceID
	Eligible []EndpointID
	Weights  []uint32
}

// ExceptionGroup lists flows of one service that one endpoint serves, or that
// have ended when Withdrawn is set.
type ExceptionGroup struct {
	Service   ServiceID
	Endpoint  EndpointID
	Hashes    []FlowHash
	Withdrawn bool
}

// SlotBase overrides the ServiceBase for one slot after a takeover.
type SlotBase struct {
	Slot uint16
	Base ServiceBase
}

// ReplicationBatch carries flow state from one instance to another.
type ReplicationBatch struct {
	Target            InstanceID
	Source            InstanceID
	SourceIncarnation uint64
	Sequence          uint64
	Exceptions        []ExceptionGroup
	Bases             []ServiceBase
	SlotBases         []SlotBase
}
