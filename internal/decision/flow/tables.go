// Package flow decides what happens to each packet of a flow: relay it to the
// owner, refuse the flow, drop the packet or forward it to an endpoint. One Shard
// holds the flows of one part of the hash range; Tables holds what all shards
// share.
//
// The hash of a flow selects its slot, and each slot has an owner, the instance
// that handles its flows, and a successor, the next owner if the owner is lost.
// An instance resolves an unknown flow to its default endpoint in a base, a set
// of endpoints. Flows on other endpoints are exceptions. The owner replicates its
// bases and exceptions to the target of the slot, usually the successor, which
// holds them. When the owner of a slot changes, the new owner relays packets of
// unknown flows to the former owner for the duration of the handover.
package flow

import (
	"net/netip"
	"sync/atomic"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/loadpolicy"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
	"burdockrelay.example/burdockrelay/internal/decision/ownership"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Tables is a snapshot in the form that the packet path reads. It is immutable
// except for the flow counters and rate limits, which it shares with the previous
// Tables.
type Tables struct {
	snapshot  *common.Snapshot
	owners    *ownership.Table
	byAddress map[common.ServiceAddress]*ServiceTables
	services  map[common.ServiceID]*ServiceTables
	members   map[common.InstanceID]*common.Member
	self      common.InstanceID
	// selfMember is nil when this instance is not in the view.
	selfMember *common.Member
}

// ServiceTables is the part of Tables for one service.
type ServiceTables struct {
	service   *common.Service
	table     *lookup.Table
	endpoints map[common.EndpointID]*endpoint
	ordered   []*endpoint
	shared    *sharedService
}

// sharedService is the state of a service that is shared by all shards and by
// successive Tables.
type sharedService struct {
	// theoreticalArrival is the theoretical arrival time of the generic cell
	// rate algorithm, in nanoseconds.
	theoreticalArrival atomic.Int64
}

// endpoint is one endpoint of a service with its flow counters.
type endpoint struct {
	common.Endpoint
	eligible bool
	counters *endpointCounters
	// retransmissionsAtBuild is the value of counters.retransmissions when the
	// tables were built.
	retransmissionsAtBuild uint64
}

// endpointCounters is shared by all shards and by successive Tables.
type endpointCounters struct {
	open            atomic.Int64  // open flows that this instance handles
	retransmissions atomic.Uint64 // retransmitted first packets
}

// NewTables validates the snapshot and builds the tables. previous supplies the
// flow counters and is nil only for the first snapshot of the process. NewTables
// returns an error with code SnapshotOldRelease or SnapshotOldSequence for a
// snapshot that is not newer than the previous one, and with code SnapshotInvalid
// for duplicate IDs, addresses or members, or for an endpoint ID of 0.
func NewTables(snapshot *common.Snapshot, previous *Tables) (*Tables, error) {
	if err := checkOrder(snapshot, previous); err != nil {
		return nil, err
	}
	t := &Tables{
		snapshot:  snapshot,
		byAddress: make(map[common.ServiceAddress]*ServiceTables, len(snapshot.Services)),
		services:  make(map[common.ServiceID]*ServiceTables, len(snapshot.Services)),
		members:   make(map[common.InstanceID]*common.Member, len(snapshot.Members)),
		self:      snapshot.Self,
	}
	for i := range snapshot.Services {
		if err := t.addService(&snapshot.Services[i], previous); err != nil {
			return nil, err
		}
	}
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if t.members[member.ID] != nil {
			return nil, resultcode.Errorf(resultcode.SnapshotInvalid, "member %q is listed twice", member.Name)
		}
		t.members[member.ID] = member
	}
	t.selfMember = t.members[t.self]
	var before *ownership.Table
	if previous != nil {
		before = previous.owners
	}
	t.owners = ownership.Build(snapshot.Members, before)
	return t, nil
}

// checkOrder returns an error when the snapshot is not newer than the previous
// one.
func checkOrder(snapshot *common.Snapshot, previous *Tables) error {
	if previous == nil {
		return nil
	}
	before := previous.snapshot
	if snapshot.Release < before.Release {
		return resultcode.Errorf(resultcode.SnapshotOldRelease,
			"snapshot of release %d refused: release %d is in force", snapshot.Release, before.Release)
	}
	older := snapshot.Epoch < before.Epoch
	repeated := snapshot.Epoch == before.Epoch && snapshot.Sequence <= before.Sequence
	if older || repeated {
		return resultcode.Errorf(resultcode.SnapshotOldSequence,
			"snapshot %d.%d refused: snapshot %d.%d is in force",
			snapshot.Epoch, snapshot.Sequence, before.Epoch, before.Sequence)
	}
	return nil
}

func (t *Tables) addService(service *common.Service, previous *Tables) error {
	if t.services[service.ID] != nil {
		return resultcode.Errorf(resultcode.SnapshotInvalid, "service %q: service ID %d is used twice", service.Name, service.ID)
	}
	if t.byAddress[service.Address] != nil {
		return resultcode.Errorf(resultcode.SnapshotInvalid, "service %q: address %v is used twice", service.Name, service.Address)
	}
	s := &ServiceTables{
		service:   service,
		endpoints: make(map[common.EndpointID]*endpoint, len(service.Endpoints)),
		shared:    &sharedService{},
	}
	before := previous.service(service.ID)
	if before != nil {
		s.shared = before.shared
	}
	for i := range service.Endpoints {
		if err := s.addEndpoint(&service.Endpoints[i], before); err != nil {
			return err
		}
	}
	s.buildDefaults(before)
	t.services[service.ID] = s
	t.byAddress[service.Address] = s
	return nil
}

func (s *ServiceTables) addEndpoint(added *common.Endpoint, before *ServiceTables) error {
	if added.ID == 0 || s.endpoints[added.ID] != nil {
		return resultcode.Errorf(resultcode.SnapshotInvalid,
			"service %q: endpoint ID %d is 0 or used twice", s.service.Name, added.ID)
	}
	e := &endpoint{Endpoint: *added, counters: &endpointCounters{}}
	if before != nil && before.endpoints[added.ID] != nil {
		e.counters = before.endpoints[added.ID].counters
		e.retransmissionsAtBuild = e.counters.retransmissions.Load()
	}
	s.endpoints[added.ID] = e
	s.ordered = append(s.ordered, e)
	return nil
}

// buildDefaults computes the default table, or reuses the previous one when the
// eligible endpoints and their weights are the same.
func (s *ServiceTables) buildDefaults(before *ServiceTables) {
	eligible := loadpolicy.Eligible(s.service.Endpoints, s.service.Policy.MaxEjectedPercent)
	ids := make([]common.EndpointID, len(eligible))
	weights := make([]uint32, len(eligible))
	for i := range eligible {
		ids[i] = eligible[i].ID
		weights[i] = eligible[i].Weight
		s.endpoints[ids[i]].eligible = true
	}
	if before != nil && before.table.BuiltFrom(ids, weights) {
		s.table = before.table
		return
	}
	s.table = lookup.Build(s.service.ID, ids, weights)
}

// Match returns the service at the address, or nil when there is none.
func (t *Tables) Match(address common.ServiceAddress) *ServiceTables {
	return t.byAddress[address]
}

// Service returns the configuration of the service.
func (s *ServiceTables) Service() *common.Service {
	return s.service
}

// Snapshot returns the snapshot that the tables were built from.
func (t *Tables) Snapshot() *common.Snapshot {
	return t.snapshot
}

// Owners returns the owners and successors of the slots.
func (t *Tables) Owners() *ownership.Table {
	return t.owners
}

// OpenFlows returns the number of flows to the endpoint in the flow table of this
// instance and the number of retransmitted first packets. Both are 0 for an
// unknown endpoint.
func (s *ServiceTables) OpenFlows(id common.EndpointID) (open, retransmissions uint64) {
	e := s.endpoints[id]
	if e == nil {
		return 0, 0
	}
	return uint64(max(e.counters.open.Load(), 0)), e.counters.retransmissions.Load()
}

// service returns the service with the ID, or nil. It also returns nil when t is
// nil.
func (t *Tables) service(id common.ServiceID) *ServiceTables {
	if t == nil {
		return nil
	}
	return t.services[id]
}

func (t *Tables) entryAddress(id common.InstanceID) (netip.AddrPort, bool) {
	member := t.members[id]
	if member == nil || !member.EntryAddress.IsValid() {
		return netip.AddrPort{}, false
	}
	return member.EntryAddress, true
}

// acceptsRelays reports whether the instance is another one that can still handle
// packets of its former slots.
func (t *Tables) acceptsRelays(id common.InstanceID) bool {
	member := t.members[id]
	if member == nil || id == t.self {
		return false
	}
	return member.CanOwnSlots() || member.State == common.MemberLeaving
}

// joining reports whether this instance is joining. If it owned slots before, it
// was fenced, and other instances have handled its flows since.
func (t *Tables) joining() bool {
	return t != nil && t.selfMember != nil && t.selfMember.State == common.MemberJoining
}

// ownerCount returns the number of instances that may own slots, at least 1.
func (t *Tables) ownerCount() int {
	return max(len(t.owners.Members()), 1)
}

// addOpenFlows adds n to the open flows of the entry's endpoint. It does nothing
// if the service or the endpoint was removed.
func (t *Tables) addOpenFlows(e *entry, n int64) {
	service := t.service(e.service)
	if service == nil {
		return
	}
	if ep := service.endpoints[e.endpoint]; ep != nil {
		ep.counters.open.Add(n)
	}
}

// Incarnation returns the incarnation of this instance in the view, or 0 when it
// is not in the view.
func (t *Tables) Incarnation() uint64 {
	if t.selfMember == nil {
		return 0
	}
	return t.selfMember.Incarnation
}

// orderedServices returns the services in the order of the snapshot.
func (t *Tables) orderedServices() []*ServiceTables {
	services := make([]*ServiceTables, 0, len(t.services))
	for i := range t.snapshot.Services {
		services = append(services, t.services[t.snapshot.Services[i].ID])
	}
	return services
}

// membershipChanged reports whether a member was added or removed or has a new
// state or incarnation.
func (t *Tables) membershipChanged(previous *Tables) bool {
	if previous == nil || len(t.members) != len(previous.members) {
		return true
	}
	for id, member := range t.members {
		before := previous.members[id]
		if before == nil || before.State != member.State || before.Incarnation != member.Incarnation {
			return true
		}
	}
	return false
}
