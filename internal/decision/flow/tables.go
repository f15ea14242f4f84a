// Package flow decides what happens to each packet of a flow: relay to the
// owner, refuse, drop or forward to an endpoint. One Shard holds the flows of
// one part of the hash range; Tables holds what all shards share.
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

// Tables is the immutable form of a snapshot that the packet path reads. Only
// the flow counters in it change; each Tables shares them with its predecessor.
type Tables struct {
	snapshot *common.Snapshot
	owners   *ownership.Table
	matches  map[common.ServiceAddress]*ServiceTables
	services map[common.ServiceID]*ServiceTables
	members  map[common.InstanceID]*common.Member
	self     common.InstanceID
	// selfMember is nil when the view does not hold this instance.
	selfMember *common.Member
}

// ServiceTables is the part of Tables for one service.
type ServiceTables struct {
	service   *common.Service
	table     *lookup.Table
	endpoints map[common.EndpointID]*endpoint
	order     []*endpoint
	shared    *sharedService
}

// sharedService is the state of a service that all shards share.
type sharedService struct {
	// nextArrival is the theoretical arrival time of the rate limit, in
	// nanoseconds.
	nextArrival atomic.Int64
}

// endpoint is one endpoint of a service with its counters.
type endpoint struct {
	common.Endpoint
	eligible bool
	counters *endpointCounters
	// repeatsBefore is the counter of repeats when the tables were built.
	repeatsBefore uint64
}

// endpointCounters is shared by all shards and by successive Tables.
type endpointCounters struct {
	open    atomic.Int64
	repeats atomic.Uint64
}

// NewTables checks the snapshot and builds the tables. Previous is nil at the
// start of the process only: it carries the flow counters. A snapshot that is
// older than the previous one is refused.
func NewTables(snapshot *common.Snapshot, previous *Tables) (*Tables, error) {
	if err := checkOrder(snapshot, previous); err != nil {
		return nil, err
	}
	t := &Tables{
		snapshot: snapshot,
		matches:  make(map[common.ServiceAddress]*ServiceTables, len(snapshot.Services)),
		services: make(map[common.ServiceID]*ServiceTables, len(snapshot.Services)),
		members:  make(map[common.InstanceID]*common.Member, len(snapshot.Members)),
		self:     snapshot.Self,
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

func checkOrder(snapshot *common.Snapshot, previous *Tables) error {
	if previous == nil {
		return nil
	}
	before := previous.snapshot
	if snapshot.Release < before.Release {
		return resultcode.Errorf(resultcode.SnapshotOldRelease,
			"release %d refused, %d is in force", snapshot.Release, before.Release)
	}
	older := snapshot.Epoch < before.Epoch
	repeated := snapshot.Epoch == before.Epoch && snapshot.Sequence <= before.Sequence
	if older || repeated {
		return resultcode.Errorf(resultcode.SnapshotOldSequence,
			"snapshot %d.%d refused, %d.%d is in force",
			snapshot.Epoch, snapshot.Sequence, before.Epoch, before.Sequence)
	}
	return nil
}

func (t *Tables) addService(service *common.Service, previous *Tables) error {
	if t.services[service.ID] != nil {
		return resultcode.Errorf(resultcode.SnapshotInvalid, "service %q: number %d is used twice", service.Name, service.ID)
	}
	if t.matches[service.Address] != nil {
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
	t.matches[service.Address] = s
	return nil
}

func (s *ServiceTables) addEndpoint(added *common.Endpoint, before *ServiceTables) error {
	if added.ID == 0 || s.endpoints[added.ID] != nil {
		return resultcode.Errorf(resultcode.SnapshotInvalid,
			"service %q: endpoint number %d is 0 or used twice", s.service.Name, added.ID)
	}
	e := &endpoint{Endpoint: *added, counters: &endpointCounters{}}
	if before != nil && before.endpoints[added.ID] != nil {
		e.counters = before.endpoints[added.ID].counters
		e.repeatsBefore = e.counters.repeats.Load()
	}
	s.endpoints[added.ID] = e
	s.order = append(s.order, e)
	return nil
}

// buildDefaults computes the default table, or takes the previous one when the
// set of eligible endpoints is the same.
func (s *ServiceTables) buildDefaults(before *ServiceTables) {
	eligible := loadpolicy.Eligible(s.service.Endpoints, s.service.Policy.MaxEjectedPercent)
	ids := make([]common.EndpointID, len(eligible))
	weights := make([]uint32, len(eligible))
	for i := range eligible {
		ids[i] = eligible[i].ID
		weights[i] = eligible[i].Weight
		s.endpoints[ids[i]].eligible = true
	}
	if before != nil && before.table.Covers(ids, weights) {
		s.table = before.table
		return
	}
	s.table = lookup.Build(s.service.ID, ids, weights)
}

// Match returns the service at the address, or nil when there is none.
func (t *Tables) Match(address common.ServiceAddress) *ServiceTables {
	return t.matches[address]
}

// Service returns the service that the tables are for.
func (s *ServiceTables) Service() *common.Service {
	return s.service
}

// Snapshot returns the snapshot that the tables were built from.
func (t *Tables) Snapshot() *common.Snapshot {
	return t.snapshot
}

// Owners returns the slot assignment of the view.
func (t *Tables) Owners() *ownership.Table {
	return t.owners
}

// OpenFlows returns the number of flows to the endpoint that this instance has
// in its flow table, and the number of first packets that came again.
func (s *ServiceTables) OpenFlows(id common.EndpointID) (open, repeats uint64) {
	e := s.endpoints[id]
	if e == nil {
		return 0, 0
	}
	return uint64(max(e.counters.open.Load(), 0)), e.counters.repeats.Load()
}

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

// relaysFor reports whether a former owner can still handle packets.
func (t *Tables) relaysFor(id common.InstanceID) bool {
	member := t.members[id]
	if member == nil || id == t.self {
		return false
	}
	return member.CanOwnSlots() || member.State == common.MemberLeaving
}

// joining reports whether this instance joins. If it owned slots before, it was
// fenced, and others have handled its flows since.
func (t *Tables) joining() bool {
	return t != nil && t.selfMember != nil && t.selfMember.State == common.MemberJoining
}

// sharers returns the number of instances among which the flows are divided.
func (t *Tables) sharers() int {
	return max(len(t.owners.Members()), 1)
}

// count adds to the open flows of the entry's endpoint.
func (t *Tables) count(e *entry, n int64) {
	service := t.service(e.service)
	if service == nil {
		return
	}
	if target := service.endpoints[e.endpoint]; target != nil {
		target.counters.open.Add(n)
	}
}

// Incarnation returns this instance's incarnation in the view, 0 when the view
// does not hold it.
func (t *Tables) Incarnation() uint64 {
	if t.selfMember == nil {
		return 0
	}
	return t.selfMember.Incarnation
}

// sortedServices returns the services in the order of the snapshot.
func (t *Tables) sortedServices() []*ServiceTables {
	services := make([]*ServiceTables, 0, len(t.services))
	for i := range t.snapshot.Services {
		services = append(services, t.services[t.snapshot.Services[i].ID])
	}
	return services
}

// membersDiffer reports whether a member joined, left or changed its state.
func (t *Tables) membersDiffer(previous *Tables) bool {
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
