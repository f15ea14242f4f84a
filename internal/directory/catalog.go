package directory

import (
	"slices"
	"strings"
	"time"
)

// EndpointRecord is the last known state of an endpoint, including one that the store
// no longer lists.
type EndpointRecord struct {
	Endpoint Endpoint
	// MissingAt is a store revision at which the endpoint was not listed, 0 while it
	// is listed. MissingSince is when this instance, or the peer that reported it,
	// first learned that the endpoint is missing.
	MissingAt    uint64
	MissingSince time.Duration
}

// Missing reports whether the store no longer lists the endpoint.
func (r *EndpointRecord) Missing() bool { return r.MissingAt != 0 }

// Update is the difference between two revisions of the store, or a snapshot of one.
type Update struct {
	// Since and CompleteAt are revisions: a catalog that is complete at Since or later
	// is complete at CompleteAt after the update.
	Since, CompleteAt uint64
	// Configuration is nil if it has not changed after Since.
	Configuration *Configuration
	// Endpoints are the changed endpoints, or all of them if Full is set.
	Endpoints []EndpointRecord
	Full      bool
}

// Catalog holds the merged content of updates from the store and from peers, which may
// arrive in any order. Entries are ordered by the store's revisions, so an older update
// never replaces a newer entry. A catalog is not safe for concurrent use.
type Catalog struct {
	configuration *Configuration
	byName        map[string]*EndpointRecord
	// all holds the same records as byName, sorted by name unless unsorted is set.
	all        []*EndpointRecord
	unsorted   bool
	completeAt uint64
	// newestRevision is the highest revision of any record seen in an update.
	newestRevision uint64
	// historyFrom is the revision since which every removed endpoint has a record. A
	// difference from an earlier revision could lack removals.
	historyFrom uint64
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{byName: make(map[string]*EndpointRecord)}
}

// Configuration returns the newest configuration, nil if there is none yet.
func (c *Catalog) Configuration() *Configuration { return c.configuration }

// CompleteAt returns the store revision up to which the catalog has all changes, 0 if
// it has no content yet.
func (c *Catalog) CompleteAt() uint64 { return c.completeAt }

// Apply merges an update. usable is false if the update is rejected because it starts
// after the revision at which the catalog is complete. changed reports whether the
// content of the catalog has changed.
func (c *Catalog) Apply(u *Update, now time.Duration) (changed, usable bool) {
	if !u.Full && c.completeAt < u.Since {
		return false, false
	}
	changed = c.mergeConfiguration(u.Configuration)
	listed := make(map[string]bool, len(u.Endpoints))
	for i := range u.Endpoints {
		incoming := &u.Endpoints[i]
		listed[incoming.Endpoint.Name] = !incoming.Missing()
		c.newestRevision = max(c.newestRevision, incoming.latestRevision())
		changed = c.merge(incoming, now) || changed
	}
	if u.Full {
		changed = c.markUnlisted(listed, u.CompleteAt, now) || changed
		// A snapshot does not contain endpoints that were added and removed before it.
		c.historyFrom = max(c.historyFrom, u.CompleteAt)
	}
	c.completeAt = max(c.completeAt, u.CompleteAt)
	return changed, true
}

func (c *Catalog) mergeConfiguration(incoming *Configuration) bool {
	if incoming == nil || c.configuration != nil && incoming.Revision <= c.configuration.Revision {
		return false
	}
	c.configuration = incoming
	return true
}

func (c *Catalog) merge(incoming *EndpointRecord, now time.Duration) bool {
	existing := c.byName[incoming.Endpoint.Name]
	if existing == nil {
		return c.add(incoming, now)
	}
	if incoming.latestRevision() <= max(existing.latestRevision(), c.completeAt) {
		return false
	}
	if !incoming.Missing() {
		*existing = *incoming
		return true
	}
	if incoming.Endpoint.Service != "" {
		existing.Endpoint = incoming.Endpoint
	}
	existing.markMissing(incoming.MissingAt, now)
	return true
}

// add adds a record of an endpoint that the catalog does not hold. It ignores records
// that have only a name, because no flow can belong to such an endpoint, and listed
// endpoints of a revision that the catalog already covers: these were removed and pruned
// since.
func (c *Catalog) add(incoming *EndpointRecord, now time.Duration) bool {
	if incoming.Endpoint.Service == "" || !incoming.Missing() && incoming.latestRevision() <= c.completeAt {
		return false
	}
	added := *incoming
	if added.Missing() && added.MissingSince == 0 {
		added.MissingSince = now
	}
	c.byName[incoming.Endpoint.Name] = &added
	c.all = append(c.all, &added)
	c.unsorted = true
	return true
}

// latestRevision returns the highest revision that the record reflects.
func (r *EndpointRecord) latestRevision() uint64 { return max(r.Endpoint.Revision, r.MissingAt) }

// markMissing records that the store does not list the endpoint at a revision.
func (r *EndpointRecord) markMissing(at uint64, now time.Duration) {
	if !r.Missing() {
		r.MissingSince = now
	}
	r.MissingAt = at
}

// markUnlisted marks the endpoints that a snapshot at a revision does not list as
// missing. It reports whether there are any.
func (c *Catalog) markUnlisted(listed map[string]bool, at uint64, now time.Duration) bool {
	changed := false
	for name, r := range c.byName {
		if !listed[name] && !r.Missing() && r.latestRevision() <= at {
			r.markMissing(at, now)
			c.newestRevision = max(c.newestRevision, at)
			changed = true
		}
	}
	return changed
}

// Records returns all records sorted by name. The slice is valid until the catalog
// changes.
func (c *Catalog) Records() []*EndpointRecord {
	if c.unsorted {
		slices.SortFunc(c.all, func(a, b *EndpointRecord) int { return strings.Compare(a.Endpoint.Name, b.Endpoint.Name) })
		c.unsorted = false
	}
	return c.all
}

// Len returns the number of records.
func (c *Catalog) Len() int { return len(c.all) }

// RequiresFull reports whether a difference since a revision must contain all endpoints,
// because the catalog may lack records of endpoints that were removed since.
func (c *Catalog) RequiresFull(since uint64) bool { return since == 0 || since < c.historyFrom }

// Difference returns the update from a revision to the current content: the changes if
// the catalog still has all of them, else a full update. The configuration is included
// if it is newer than configurationRevision.
func (c *Catalog) Difference(configurationRevision, since uint64) Update {
	u := Update{Since: since, CompleteAt: c.completeAt, Full: c.RequiresFull(since)}
	if c.configuration != nil && c.configuration.Revision > configurationRevision {
		u.Configuration = c.configuration
	}
	if !u.Full && since >= c.newestRevision {
		return u
	}
	for _, r := range c.Records() {
		if u.Full || r.latestRevision() > since {
			u.Endpoints = append(u.Endpoints, *r)
		}
	}
	return u
}

// Prune removes the records of endpoints that have been missing for the duration after,
// and returns their number.
func (c *Catalog) Prune(after, now time.Duration) int {
	before := len(c.all)
	c.all = slices.DeleteFunc(c.all, func(r *EndpointRecord) bool {
		if !r.Missing() || now-r.MissingSince < after {
			return false
		}
		c.historyFrom = max(c.historyFrom, r.MissingAt)
		delete(c.byName, r.Endpoint.Name)
		return true
	})
	return before - len(c.all)
}
