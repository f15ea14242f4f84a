// Package discovery keeps an instance's copy of the configuration, the endpoints and the
// evacuations up to date, from the object store and from peers, and provides an immutable
// view of it to the packet path.
package discovery

import (
	"sync"
	"sync/atomic"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/freshness"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/decision/warmup"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// Cache is the instance's copy of the configuration, the endpoints and the evacuations in
// the store. Its methods are safe for concurrent use.
type Cache struct {
	self       string
	dataCentre string
	clock      func() time.Duration
	startedAt  time.Duration
	// flowLifetime is how long the record of an endpoint that is no longer listed is
	// kept for flows whose label refers to it.
	flowLifetime time.Duration

	mu sync.Mutex
	// outageAge is the age of the cached state above which the next confirmation by the
	// store counts as its recovery from an outage.
	outageAge time.Duration
	catalog   *directory.Catalog
	pools     map[string]*selection.Pool
	// ownership tells which endpoints this instance may send flows to while they warm up.
	ownership *warmup.Ownership
	// warmUp and limitedBy, the configuration whose rates are in force, determine the limits
	// of new flows to endpoints that warm up.
	warmUp    warmUpSettings
	limitedBy *directory.Configuration
	// silence is shared by the pools, nil if silent endpoints are not detected.
	silence *selection.SilenceDetection
	// place is the place of this instance in the common order; see SetPlace.
	place float64
	// states is the last state of each endpoint, by name.
	states map[string]EndpointState
	// appliesEvacuations is set if evacuations are kept and applied to the pools.
	appliesEvacuations bool
	// evacuated holds the data centres whose endpoints get no new flows. It is replaced,
	// never modified, because the pools share it.
	evacuated map[string]bool
	// unlisted holds the members of endpoints that are no longer listed, by endpoint
	// name.
	unlisted map[string]*selection.Member
	// graceFrom is the recovery with which the present recovery grace began. Recoveries
	// within the grace of an earlier one prolong it.
	graceFrom time.Duration

	currentView atomic.Pointer[steering.View]
	// confirmedAt is when the store last confirmed the cached state, recoveredAt when it
	// last recovered from an outage, 0 for never. Both are in nanoseconds of clock.
	confirmedAt atomic.Int64
	recoveredAt atomic.Int64
	ready       chan struct{}
}

// NewCache returns an empty cache of the instance self in a data centre. Flows last at
// most flowLifetime, and changes must take effect within applyDeadline. clock
// returns the time since a fixed moment, including time during which the machine is
// suspended.
func NewCache(self, dataCentre string, flowLifetime, applyDeadline time.Duration, clock func() time.Duration) *Cache {
	c := &Cache{
		self:         self,
		dataCentre:   dataCentre,
		clock:        clock,
		flowLifetime: flowLifetime,
		outageAge:    freshness.SettingsFor(applyDeadline).OutageAge,
		catalog:      directory.NewCatalog(),
		pools:        make(map[string]*selection.Pool),
		unlisted:     make(map[string]*selection.Member),
		ownership:    warmup.NewOwnership(self),
		ready:        make(chan struct{}),
	}
	c.startedAt = clock()
	c.currentView.Store(steering.NewView(nil, nil, c.pool, nil))
	return c
}

// setApplyDeadline sets the maximum time between a change in the store and its effect.
func (c *Cache) setApplyDeadline(applyDeadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outageAge = freshness.SettingsFor(applyDeadline).OutageAge
}

// Now returns the current time of the clock.
func (c *Cache) Now() time.Duration { return c.clock() }

// Current returns the view for handling packets and its freshness at the time now.
func (c *Cache) Current(now time.Duration) (*steering.View, steering.Freshness) {
	view := c.currentView.Load()
	return view, steering.Freshness{
		HasConfiguration: view.Version() != 0,
		Age:              now - time.Duration(c.confirmedAt.Load()),
		SettledFor:       now - max(c.startedAt, time.Duration(c.recoveredAt.Load())),
	}
}

// HasConfiguration reports whether the cache holds a configuration.
func (c *Cache) HasConfiguration() bool { return c.currentView.Load().Version() != 0 }

// Ready returns a channel that is closed when the cache has its first configuration.
func (c *Cache) Ready() <-chan struct{} { return c.ready }

// HealthPath returns the HTTP path of the health checks of a service, empty if it has
// none.
func (c *Cache) HealthPath(service string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	configuration := c.catalog.Configuration()
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

// Available returns the number of endpoints of a service that accept new flows.
func (c *Cache) Available(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool(service).Available()
}

// CompleteAt returns the store revision at which the endpoints are complete, and the
// identity of the configuration.
func (c *Cache) CompleteAt() (at common.Revision, configuration directory.ConfigurationID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.CompleteAt(), c.catalog.Configuration().ID()
}

// pool returns the pool of a service. The caller holds mu.
func (c *Cache) pool(service string) *selection.Pool {
	p := c.pools[service]
	if p == nil {
		p = selection.NewPool(service, c.self, c.dataCentre)
		p.SetPeers(c.ownership)
		p.SetWarmUpLimit(c.warmUpLimit(service))
		p.SetSilenceDetection(c.silence)
		p.SetEvacuated(c.evacuated)
		p.SetPlace(c.place)
		c.pools[service] = p
	}
	return p
}

// Pools returns the state of the endpoints of all services.
func (c *Cache) Pools() []selection.PoolStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	statuses := make([]selection.PoolStatus, 0, len(c.pools))
	for _, p := range c.pools {
		statuses = append(statuses, p.Status(now))
	}
	return statuses
}

// RequiresFull reports whether a difference since a revision must contain all
// endpoints, and returns the number of endpoints.
func (c *Cache) RequiresFull(since common.Revision) (endpoints int, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.Len(), c.catalog.RequiresFull(since)
}

// Difference returns the changes since a configuration and a revision, when the store
// last confirmed the cached state, and when it last recovered from an outage.
func (c *Cache) Difference(configuration directory.ConfigurationID, since common.Revision) (u directory.Update, confirmedAt, recoveredAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.Difference(configuration, since), time.Duration(c.confirmedAt.Load()), time.Duration(c.recoveredAt.Load())
}
