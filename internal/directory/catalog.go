package directory

import (
	"slices"
	"strings"
	"time"
)

// Known is an endpoint with whether the store still lists it.
type Known struct {
	Endpoint Endpoint
	// MissingAt is the revision at which the store did not list the endpoint, 0
	// while it does; MissingSince is when that was learned.
	MissingAt    uint64
	MissingSince time.Duration
}

// Missing reports whether the store no longer lists the endpoint.
func (k *Known) Missing() bool { return k.MissingAt != 0 }

// Update is what was learned of the store between two of its revisions.
type Update struct {
	// Since and At bound the update: applied to knowledge that is complete at
	// Since or later it gives knowledge that is complete at At.
	Since, At uint64
	// Configuration is nil when it is the one at Since.
	Configuration *Configuration
	// Endpoints are the changed ones, or all of them with Full.
	Endpoints []Known
	Full      bool
}

// Catalog merges updates from the store and from peers, in any order. The store's
// revisions order everything, so a catalog never goes back.
type Catalog struct {
	configuration *Configuration
	known         map[string]*Known
	at            uint64
	// forgottenAt is the highest revision at which a forgotten endpoint was
	// missing: differences from before it would lack that endpoint.
	forgottenAt uint64
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{known: make(map[string]*Known)}
}

// Configuration returns the newest configuration, nil before the first.
func (c *Catalog) Configuration() *Configuration { return c.configuration }

// At returns the revision that the catalog is complete at, 0 for none.
func (c *Catalog) At() uint64 { return c.at }

// Apply merges an update. usable is false for an update that starts behind what
// the catalog holds; changed tells whether anything is new.
func (c *Catalog) Apply(u *Update, now time.Duration) (changed, usable bool) {
	if !u.Full && c.at < u.Since {
		return false, false
	}
	changed = c.offerConfiguration(u.Configuration)
	named := make(map[string]bool, len(u.Endpoints))
	for i := range u.Endpoints {
		named[u.Endpoints[i].Endpoint.Name] = true
		changed = c.offer(&u.Endpoints[i], now) || changed
	}
	if u.Full {
		changed = c.dropUnnamed(named, u.At, now) || changed
	}
	c.at = max(c.at, u.At)
	return changed, true
}

func (c *Catalog) offerConfiguration(offered *Configuration) bool {
	if offered == nil || c.configuration != nil && offered.Revision <= c.configuration.Revision {
		return false
	}
	c.configuration = offered
	return true
}

func (c *Catalog) offer(offered *Known, now time.Duration) bool {
	present := c.known[offered.Endpoint.Name]
	if present == nil {
		return c.add(offered, now)
	}
	if offered.latest() <= present.latest() {
		return false
	}
	if !offered.Missing() {
		*present = *offered
		return true
	}
	return present.lose(offered.MissingAt, now)
}

// add takes an endpoint that was not known. One that is missing and of which
// nothing but the name is known names no flows.
func (c *Catalog) add(offered *Known, now time.Duration) bool {
	if offered.Endpoint.Service == "" {
		return false
	}
	added := *offered
	if added.Missing() && added.MissingSince == 0 {
		added.MissingSince = now
	}
	c.known[offered.Endpoint.Name] = &added
	return true
}

// latest returns the highest revision that the entry says something about.
func (k *Known) latest() uint64 { return max(k.Endpoint.Revision, k.MissingAt) }

// lose notes that the store does not list the endpoint at a revision.
func (k *Known) lose(at uint64, now time.Duration) bool {
	if k.Missing() {
		return false
	}
	k.MissingAt, k.MissingSince = at, now
	return true
}

func (c *Catalog) dropUnnamed(named map[string]bool, at uint64, now time.Duration) bool {
	changed := false
	for name, k := range c.known {
		if !named[name] && k.latest() <= at {
			changed = k.lose(at, now) || changed
		}
	}
	return changed
}

// Known returns all known endpoints by name.
func (c *Catalog) Known() []Known {
	known := make([]Known, 0, len(c.known))
	for _, k := range c.known {
		known = append(known, *k)
	}
	slices.SortFunc(known, func(a, b Known) int { return strings.Compare(a.Endpoint.Name, b.Endpoint.Name) })
	return known
}

// Difference returns the update from a revision to the present: only what has
// changed when the catalog still knows that, else everything.
func (c *Catalog) Difference(configurationRevision, since uint64) Update {
	u := Update{Since: since, At: c.at, Full: since == 0 || since < c.forgottenAt}
	if c.configuration != nil && c.configuration.Revision > configurationRevision {
		u.Configuration = c.configuration
	}
	for _, k := range c.Known() {
		if u.Full || k.latest() > since {
			u.Endpoints = append(u.Endpoints, k)
		}
	}
	return u
}

// Forget drops endpoints that have been missing for a time and returns their
// number.
func (c *Catalog) Forget(after, now time.Duration) int {
	dropped := 0
	for name, k := range c.known {
		if k.Missing() && now-k.MissingSince >= after {
			c.forgottenAt = max(c.forgottenAt, k.MissingAt)
			delete(c.known, name)
			dropped++
		}
	}
	return dropped
}
