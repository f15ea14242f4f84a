// Package discovery keeps an instance's knowledge of the configuration and the
// endpoints fresh, from the object store and from peers, and gives the packet
// path an immutable view of it.
package discovery

import (
	"sync"
	"sync/atomic"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/freshness"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/directory"
)

const (
	// returnGrace is how long after the store's return an endpoint may be missing
	// from it and yet serve: entries that expired during an outage are back
	// within about two seconds.
	returnGrace = 2300 * time.Millisecond
	// returnSlack allows for the time that a peer takes to tell of the return.
	returnSlack = 250 * time.Millisecond
)

// Knowledge holds what the instance knows. Its methods are safe for concurrent
// use.
type Knowledge struct {
	self       string
	dataCentre string
	clock      func() time.Duration
	startedAt  time.Duration
	// flowLife is how long an endpoint that is no longer listed is remembered for
	// the flows that name it.
	flowLife time.Duration
	// outageAge is the age of the knowledge from which its next confirmation
	// counts as the store's return.
	outageAge time.Duration

	mu      sync.Mutex
	catalog *directory.Catalog
	pools   map[string]*selection.Pool
	// instances is how many instances share the endpoints.
	instances int
	// standings is what was last believed of each endpoint.
	standings map[string]Standing
	// former holds the members of endpoints that are missing.
	former map[string]*selection.Member

	current     atomic.Pointer[steering.View]
	confirmedAt atomic.Int64
	// returnedAt is when the store last came back from an outage, 0 for never.
	returnedAt atomic.Int64
	ready      chan struct{}
}

// NewKnowledge returns the empty knowledge of the instance self in a data centre, where
// flows live for flowLife at most and changes take effect within the bound. clock
// returns the time since a fixed moment and goes on while the machine is
// suspended.
func NewKnowledge(self, dataCentre string, flowLife, bound time.Duration, clock func() time.Duration) *Knowledge {
	k := &Knowledge{
		self:       self,
		dataCentre: dataCentre,
		clock:      clock,
		flowLife:   flowLife,
		outageAge:  freshness.SettingsFor(bound).OutageAge,
		catalog:    directory.NewCatalog(),
		pools:      make(map[string]*selection.Pool),
		former:     make(map[string]*selection.Member),
		ready:      make(chan struct{}),
	}
	k.startedAt = clock()
	k.current.Store(steering.NewView(nil, nil, k.pool, nil))
	return k
}

// Now returns the time of the knowledge.
func (k *Knowledge) Now() time.Duration { return k.clock() }

// Current returns the view for packets and how fresh it is now.
func (k *Knowledge) Current(now time.Duration) (*steering.View, steering.Freshness) {
	view := k.current.Load()
	return view, steering.Freshness{
		HasConfiguration: view.Version() != 0,
		Age:              now - time.Duration(k.confirmedAt.Load()),
		SettledFor:       now - max(k.startedAt, time.Duration(k.returnedAt.Load())),
	}
}

// Known reports whether the instance has a configuration.
func (k *Knowledge) Known() bool { return k.current.Load().Version() != 0 }

// Ready is closed when the instance has its first configuration.
func (k *Knowledge) Ready() <-chan struct{} { return k.ready }

// HealthPath returns the path of the health checks of a service, empty for none.
func (k *Knowledge) HealthPath(service string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	configuration := k.catalog.Configuration()
	if configuration == nil {
		return ""
	}
	for i := range configuration.Services {
		if configuration.Services[i].Name == service {
			return configuration.Services[i].HealthPath
		}
	}
	return ""
}

// Available returns the number of endpoints of a service that take new flows.
func (k *Knowledge) Available(service string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pool(service).Available()
}

// At returns the revision of the store that the knowledge is complete at, and the
// revision of the configuration.
func (k *Knowledge) At() (at, configuration uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.catalog.Configuration(); c != nil {
		configuration = c.Revision
	}
	return k.catalog.At(), configuration
}

// pool returns the pool of a service. The caller holds mu.
func (k *Knowledge) pool(service string) *selection.Pool {
	p := k.pools[service]
	if p == nil {
		p = selection.NewPool(service, k.self, k.dataCentre)
		p.SetInstanceCount(k.instances)
		k.pools[service] = p
	}
	return p
}

// Pools returns the state of the endpoints of all services.
func (k *Knowledge) Pools() []selection.PoolStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	statuses := make([]selection.PoolStatus, 0, len(k.pools))
	for _, p := range k.pools {
		statuses = append(statuses, p.Status())
	}
	return statuses
}

// SetInstances tells how many instances share the endpoints.
func (k *Knowledge) SetInstances(count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instances = count
	for _, p := range k.pools {
		p.SetInstanceCount(count)
	}
}

// Applied is the effect of an update.
type Applied struct {
	// Usable is false for an update that starts behind the present knowledge.
	Usable bool
	// Changed is set when the update brought something new.
	Changed bool
	// Returned is set when the update tells of the end of an outage of the store.
	Returned bool
	// NewVersion is set when another configuration is in force.
	NewVersion bool
	// Version and At are those of the knowledge afterwards.
	Version, At uint64
	// Rules counts the rules in force, Changes are those of endpoints.
	Rules   int
	Changes []EndpointChange
}

// Word is how an update was learned.
type Word struct {
	// ConfirmedAt is when the store held what the update tells, or later.
	ConfirmedAt time.Duration
	// FromStore is set for an answer of the store itself.
	FromStore bool
	// ReturnedAt is when the peer that told it saw the store come back from an
	// outage, 0 for never.
	ReturnedAt time.Duration
}

// Apply merges an update.
func (k *Knowledge) Apply(u *directory.Update, word Word) Applied {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	var applied Applied
	if word.FromStore && k.Known() && now-time.Duration(k.confirmedAt.Load()) > k.outageAge {
		word.ReturnedAt = now
	}
	// Peers tell of one return at times that differ by the way of their answers.
	if word.ReturnedAt > time.Duration(k.returnedAt.Load())+returnSlack {
		applied.Returned = true
		k.returnedAt.Store(int64(word.ReturnedAt))
	}
	applied.Changed, applied.Usable = k.catalog.Apply(u, now)
	if !applied.Usable {
		return applied
	}
	former := k.current.Load().Version()
	if k.catalog.Forget(k.flowLife, now) > 0 || applied.Changed {
		applied.Changes = k.publish(now)
	}
	k.confirmedAt.Store(max(k.confirmedAt.Load(), int64(word.ConfirmedAt)))
	applied.Version, applied.At = k.current.Load().Version(), k.catalog.At()
	applied.NewVersion = applied.Version != former
	if c := k.catalog.Configuration(); c != nil {
		applied.Rules = len(c.Rules)
	}
	return applied
}

// FullSince reports whether the difference from a revision holds all endpoints, and how
// many these are.
func (k *Knowledge) FullSince(since uint64) (endpoints int, full bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.catalog.Len(), k.catalog.FullSince(since)
}

// Difference returns what the knowledge holds beyond two revisions, when it was
// confirmed and when the store last came back.
func (k *Knowledge) Difference(configurationRevision, since uint64) (u directory.Update, confirmedAt, returnedAt time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.catalog.Difference(configurationRevision, since), time.Duration(k.confirmedAt.Load()), time.Duration(k.returnedAt.Load())
}

// Settle removes the endpoints that the store has not listed again within the
// grace after its return. It returns when to call it next, 0 for never, and what has
// changed.
func (k *Knowledge) Settle() (next time.Duration, changes []EndpointChange) {
	now := k.clock()
	returnedAt := time.Duration(k.returnedAt.Load())
	end := returnedAt + returnGrace
	if returnedAt > 0 && now < end {
		return end, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, known := range k.catalog.Known() {
		if known.Missing() && k.former[known.Endpoint.Name] == nil {
			return 0, k.publish(now)
		}
	}
	return 0, nil
}

// excused reports whether a missing endpoint may have only lost its entry in an
// outage that the store has just come back from.
func (k *Knowledge) excused(known *directory.Known, now time.Duration) bool {
	returnedAt := time.Duration(k.returnedAt.Load())
	return returnedAt > 0 && now < returnedAt+returnGrace && known.MissingSince >= returnedAt-returnSlack
}

// standing returns what is believed of an endpoint. The caller holds mu.
func (k *Knowledge) standing(known *directory.Known, now time.Duration) Standing {
	switch {
	case known.Missing() && k.excused(known, now):
		return Excused
	case known.Missing():
		return Gone
	case known.Endpoint.Draining:
		return Draining
	default:
		return Serving
	}
}

// publish builds the view from the catalog and returns what has changed of the
// endpoints. The caller holds mu.
func (k *Knowledge) publish(now time.Duration) []EndpointChange {
	listed := make(map[string][]directory.Endpoint, len(k.pools))
	for service := range k.pools {
		listed[service] = nil
	}
	var missing []*directory.Known
	all := k.catalog.Known()
	for _, known := range all {
		if k.standing(known, now) == Gone {
			missing = append(missing, known)
			continue
		}
		listed[known.Endpoint.Service] = append(listed[known.Endpoint.Service], known.Endpoint)
	}
	labelled := make([]steering.LabelledMember, 0, len(all))
	for service, endpoints := range listed {
		for i, m := range k.pool(service).Update(endpoints, now) {
			labelled = append(labelled, withLabel(m, &endpoints[i], true))
		}
	}
	former := make(map[string]*selection.Member, len(missing))
	for _, known := range missing {
		endpoint := &known.Endpoint
		m := k.formerMember(endpoint)
		former[endpoint.Name] = m
		labelled = append(labelled, withLabel(m, endpoint, false))
	}
	k.former = former
	wasKnown := k.Known()
	k.current.Store(steering.NewView(k.catalog.Configuration(), labelled, k.pool, k.current.Load()))
	if !wasKnown && k.Known() {
		close(k.ready)
	}
	return k.changes(all, func(known *directory.Known) Standing { return k.standing(known, now) })
}

// formerMember returns the member of an endpoint that is no longer listed.
func (k *Knowledge) formerMember(endpoint *directory.Endpoint) *selection.Member {
	if m := k.former[endpoint.Name]; m != nil && m.Matches(endpoint) {
		return m
	}
	return k.pool(endpoint.Service).Unlisted(endpoint)
}

func withLabel(m *selection.Member, endpoint *directory.Endpoint, live bool) steering.LabelledMember {
	return steering.LabelledMember{
		Member: m,
		Holder: label.Holder{Number: endpoint.Number, Live: live, StartedAt: endpoint.Born},
	}
}
