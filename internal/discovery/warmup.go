package discovery

import (
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/warmup"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// warmUpSettings determine the limit of new flows to endpoints that warm up. The zero value
// is no limit.
type warmUpSettings struct {
	enabled bool
	excess  float64
	burst   uint32
}

// SetWarmUpLimit limits the new flows of all instances to an endpoint that warms up to
// excess times the rate of its service plus burst, in any second. Both are 0 for no limit.
func (c *Cache) SetWarmUpLimit(excess float64, burst uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmUp = warmUpSettings{enabled: excess > 0 || burst > 0, excess: excess, burst: burst}
	c.updateWarmUpLimits()
}

// updateWarmUpLimits sets the limits of all pools. The caller holds mu.
func (c *Cache) updateWarmUpLimits() {
	c.limitedBy = c.catalog.Configuration()
	for service, p := range c.pools {
		p.SetWarmUpLimit(c.warmUpLimit(service))
	}
}

// warmUpLimit returns the limit of a service by the settings and the configuration. The
// caller holds mu.
func (c *Cache) warmUpLimit(service string) int {
	if !c.warmUp.enabled {
		return selection.NoWarmUpLimit
	}
	return warmup.Limit(warmUpRate(c.catalog.Configuration(), service), c.warmUp.excess, c.warmUp.burst)
}

// warmUpRate returns the rate of new flows that an endpoint of a service can take while it
// warms up, 0 if it is not known.
func warmUpRate(configuration *directory.Configuration, service string) float64 {
	if configuration == nil {
		return 0
	}
	for i := range configuration.Services {
		if configuration.Services[i].Name == service {
			return configuration.Services[i].WarmUpRate
		}
	}
	return 0
}

// SetPeers sets the names of the other instances that share the endpoints.
func (c *Cache) SetPeers(names []string) {
	c.setOwnership(func(o *warmup.Ownership) *warmup.Ownership { return o.WithPeers(names) })
}

// SetRegistered sets the names of the instances that are registered in the store, read after
// the registration of this instance. Before that, it sends no flows to endpoints under the
// limit.
func (c *Cache) SetRegistered(names []string) {
	c.setOwnership(func(o *warmup.Ownership) *warmup.Ownership { return o.WithRegistered(names, c.clock()) })
}

// expireRegistered forgets registrations that are too old.
func (c *Cache) expireRegistered() {
	c.setOwnership(func(o *warmup.Ownership) *warmup.Ownership { return o.Expired(c.clock()) })
}

func (c *Cache) setOwnership(change func(o *warmup.Ownership) *warmup.Ownership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := change(c.ownership)
	if changed == c.ownership {
		return
	}
	c.ownership = changed
	for _, p := range c.pools {
		p.SetPeers(changed)
	}
}
