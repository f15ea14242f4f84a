package directory

import (
	"slices"
	"strings"
	"time"
)

// Catalog merges what is learned of the configuration and the endpoints, from
// reads of the store and from peers in any order. The store's revisions order
// everything, so the catalog never goes back.
type Catalog struct {
	configuration *Configuration
	entries       map[string]*entry
	// endpointsAt is the highest revision that a full list was complete at.
	endpointsAt uint64
}

// entry is the last known state of an endpoint's name.
type entry struct {
	endpoint Endpoint
	// missingSince is set while the store does not list the endpoint.
	missing      bool
	missingSince time.Duration
	// missingAt is the revision of the list that did not have the endpoint.
	missingAt uint64
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{entries: make(map[string]*entry)}
}

// Configuration returns the newest configuration, nil before the first.
func (c *Catalog) Configuration() *Configuration { return c.configuration }

// EndpointsAt returns the highest revision of a full list of endpoints, 0 for
// none.
func (c *Catalog) EndpointsAt() uint64 { return c.endpointsAt }

// OfferConfiguration takes a configuration and reports whether it is newer than
// the present one.
func (c *Catalog) OfferConfiguration(offered *Configuration) bool {
	if offered == nil || c.configuration != nil && offered.Revision <= c.configuration.Revision {
		return false
	}
	c.configuration = offered
	return true
}

// OfferEndpoints takes the full list of endpoints as it was at a revision of the
// store, and reports whether it changed anything.
func (c *Catalog) OfferEndpoints(list []Endpoint, at uint64, now time.Duration) bool {
	changed := false
	listed := make(map[string]bool, len(list))
	for _, endpoint := range list {
		listed[endpoint.Name] = true
		changed = c.offerEndpoint(endpoint) || changed
	}
	for name, e := range c.entries {
		if listed[name] || e.missing || e.endpoint.Revision > at {
			continue
		}
		e.missing, e.missingSince, e.missingAt = true, now, at
		changed = true
	}
	c.endpointsAt = max(c.endpointsAt, at)
	return changed
}

func (c *Catalog) offerEndpoint(offered Endpoint) bool {
	e := c.entries[offered.Name]
	if e == nil {
		c.entries[offered.Name] = &entry{endpoint: offered}
		return true
	}
	if offered.Revision <= e.endpoint.Revision || e.missing && offered.Revision <= e.missingAt {
		return false
	}
	e.endpoint, e.missing = offered, false
	return true
}

// Known is an endpoint that the catalog knows.
type Known struct {
	Endpoint Endpoint
	// Missing is set when the store does not list the endpoint, since
	// MissingSince.
	Missing      bool
	MissingSince time.Duration
}

// Known returns all known endpoints by name.
func (c *Catalog) Known() []Known {
	known := make([]Known, 0, len(c.entries))
	for _, e := range c.entries {
		known = append(known, Known{Endpoint: e.endpoint, Missing: e.missing, MissingSince: e.missingSince})
	}
	slices.SortFunc(known, func(a, b Known) int { return strings.Compare(a.Endpoint.Name, b.Endpoint.Name) })
	return known
}

// Forget drops endpoints that have been missing for a time.
func (c *Catalog) Forget(after, now time.Duration) int {
	dropped := 0
	for name, e := range c.entries {
		if e.missing && now-e.missingSince >= after {
			delete(c.entries, name)
			dropped++
		}
	}
	return dropped
}
