package directory

import (
	"slices"
	"strings"
	"time"
)

// EndpointRecord is an endpoint with whether the store still lists it.
type EndpointRecord struct {
	Endpoint Endpoint
	// MissingAt is the revision at which the store did not list the endpoint, 0
	// while it does; MissingSince is when that was learned.
	MissingAt    uint64
	MissingSince time.Duration
}

// Missing reports whether the store no longer lists the endpoint.
func (k *EndpointRecord) Missing() bool { return k.MissingAt != 0 }

// Update is what was learned of the store between two of its revisions.
type Update struct {
	// Since and CompleteAt bound the update: applied to knowledge that is complete at
	// Since or later it gives knowledge that is complete at CompleteAt.
	Since, CompleteAt uint64
	// Configuration is nil when it is the one at Since.
	Configuration *Configuration
	// Endpoints are the changed ones, or all of them with Full.
	Endpoints []EndpointRecord
	Full      bool
}

// Catalog merges updates from the store and from peers, in any order. The store's
// revisions order everything, so a catalog never goes back.
type Catalog struct {
	configuration *Configuration
	known         map[string]*EndpointRecord
	// ordered holds the known endpoints, by name unless disordered is set.
	ordered    []*EndpointRecord
	disordered bool
	at         uint64
	// newest is the highest revision that any entry says something about.
	newest uint64
	// historyFrom is the revision from which the catalog knows of every endpoint
	// that has left: differences from before it would lack some.
	historyFrom uint64
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{known: make(map[string]*EndpointRecord)}
}

// Configuration returns the newest configuration, nil before the first.
func (c *Catalog) Configuration() *Configuration { return c.configuration }

// CompleteAt returns the revision that the catalog is complete at, 0 for none.
func (c *Catalog) CompleteAt() uint64 { return c.at }

// Apply merges an update. usable is false for an update that starts behind what
// the catalog holds; changed tells whether anything is new.
func (c *Catalog) Apply(u *Update, now time.Duration) (changed, usable bool) {
	if !u.Full && c.at < u.Since {
		return false, false
	}
	changed = c.offerConfiguration(u.Configuration)
	listed := make(map[string]bool, len(u.Endpoints))
	for i := range u.Endpoints {
		offered := &u.Endpoints[i]
		listed[offered.Endpoint.Name] = !offered.Missing()
		c.newest = max(c.newest, offered.latest())
		changed = c.offer(offered, now) || changed
	}
	if u.Full {
		changed = c.dropUnlisted(listed, u.CompleteAt, now) || changed
		// Endpoints that came and left before the list are not on it.
		c.historyFrom = max(c.historyFrom, u.CompleteAt)
	}
	c.at = max(c.at, u.CompleteAt)
	return changed, true
}

func (c *Catalog) offerConfiguration(offered *Configuration) bool {
	if offered == nil || c.configuration != nil && offered.Revision <= c.configuration.Revision {
		return false
	}
	c.configuration = offered
	return true
}

func (c *Catalog) offer(offered *EndpointRecord, now time.Duration) bool {
	present := c.known[offered.Endpoint.Name]
	if present == nil {
		return c.add(offered, now)
	}
	if offered.latest() <= max(present.latest(), c.at) {
		return false
	}
	if !offered.Missing() {
		*present = *offered
		return true
	}
	if offered.Endpoint.Service != "" {
		present.Endpoint = offered.Endpoint
	}
	present.lose(offered.MissingAt, now)
	return true
}

// add takes an endpoint that was not known. One of which nothing but the name is
// known names no flows, and one that is listed at a revision which the catalog is
// complete at has left since and been forgotten.
func (c *Catalog) add(offered *EndpointRecord, now time.Duration) bool {
	if offered.Endpoint.Service == "" || !offered.Missing() && offered.latest() <= c.at {
		return false
	}
	added := *offered
	if added.Missing() && added.MissingSince == 0 {
		added.MissingSince = now
	}
	c.known[offered.Endpoint.Name] = &added
	c.ordered = append(c.ordered, &added)
	c.disordered = true
	return true
}

// latest returns the highest revision that the entry says something about.
func (k *EndpointRecord) latest() uint64 { return max(k.Endpoint.Revision, k.MissingAt) }

// lose notes that the store does not list the endpoint at a revision.
func (k *EndpointRecord) lose(at uint64, now time.Duration) {
	if !k.Missing() {
		k.MissingSince = now
	}
	k.MissingAt = at
}

func (c *Catalog) dropUnlisted(listed map[string]bool, at uint64, now time.Duration) bool {
	changed := false
	for name, k := range c.known {
		if !listed[name] && !k.Missing() && k.latest() <= at {
			k.lose(at, now)
			c.newest = max(c.newest, at)
			changed = true
		}
	}
	return changed
}

// Records returns all known endpoints by name, until the catalog changes.
func (c *Catalog) Records() []*EndpointRecord {
	if c.disordered {
		slices.SortFunc(c.ordered, func(a, b *EndpointRecord) int { return strings.Compare(a.Endpoint.Name, b.Endpoint.Name) })
		c.disordered = false
	}
	return c.ordered
}

// Len returns the number of known endpoints.
func (c *Catalog) Len() int { return len(c.ordered) }

// RequiresFull reports whether the difference from a revision holds all endpoints, because
// the catalog may not know all that has left since.
func (c *Catalog) RequiresFull(since uint64) bool { return since == 0 || since < c.historyFrom }

// Difference returns the update from a revision to the present: only what has
// changed when the catalog still knows that, else everything.
func (c *Catalog) Difference(configurationRevision, since uint64) Update {
	u := Update{Since: since, CompleteAt: c.at, Full: c.RequiresFull(since)}
	if c.configuration != nil && c.configuration.Revision > configurationRevision {
		u.Configuration = c.configuration
	}
	if !u.Full && since >= c.newest {
		return u
	}
	for _, k := range c.Records() {
		if u.Full || k.latest() > since {
			u.Endpoints = append(u.Endpoints, *k)
		}
	}
	return u
}

// Prune drops endpoints that have been missing for a time and returns their
// number.
func (c *Catalog) Prune(after, now time.Duration) int {
	before := len(c.ordered)
	c.ordered = slices.DeleteFunc(c.ordered, func(k *EndpointRecord) bool {
		if !k.Missing() || now-k.MissingSince < after {
			return false
		}
		c.historyFrom = max(c.historyFrom, k.MissingAt)
		delete(c.known, k.Endpoint.Name)
		return true
	})
	return before - len(c.ordered)
}
