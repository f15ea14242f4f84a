package directory

import (
	"slices"
	"strings"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// EndpointRecord is the last known state of an endpoint, including one that the store
// no longer lists.
type EndpointRecord struct {
	Endpoint Endpoint
	// MissingAt is a store revision at which the endpoint was not listed, zero while it
	// is listed. MissingSince is when this instance, or the peer that reported it,
	// first learned that the endpoint is missing.
	MissingAt    common.Revision
	MissingSince time.Duration
	// deferred is an older entry of the endpoint that the store lists, nil if there is none.
	deferred *deferredEntry
}

// Missing reports whether the store no longer lists the endpoint.
func (r *EndpointRecord) Missing() bool { return !r.MissingAt.IsZero() }

// latestRevision returns the highest revision that the record reflects.
func (r *EndpointRecord) latestRevision() common.Revision {
	if r.MissingAt.After(r.Endpoint.Revision) {
		return r.MissingAt
	}
	return r.Endpoint.Revision
}

// markMissing records that the store does not list the endpoint at a revision.
func (r *EndpointRecord) markMissing(at common.Revision, now time.Duration) {
	if !r.Missing() {
		r.MissingSince = now
	}
	r.MissingAt = at
	r.deferred = nil
}

// LateEntry is an entry of an endpoint whose write the store has executed after that of a
// later entry, which stays in use.
type LateEntry struct {
	Late, InUse Endpoint
}

// Update is the difference between two revisions of the store, or a snapshot of one.
type Update struct {
	// Since and CompleteAt are revisions: a catalog that is complete at Since or later
	// is complete at CompleteAt after the update. If they belong to different eras, the
	// catalog must be complete at exactly Since.
	Since, CompleteAt common.Revision
	// Configuration is nil if it has not changed after Since.
	Configuration *Configuration
	// Endpoints are the changed endpoints, or all of them if Full is set.
	Endpoints []EndpointRecord
	Full      bool
	// Evacuations are the changed evacuations, or all of them if Full is set.
	Evacuations []Evacuation
}

// Catalog holds the merged content of updates from the store and from peers, which may
// arrive in any order. Within an era of the store, entries of endpoints are ordered by
// revision, so an older update never replaces a newer entry. Entries that an endpoint wrote
// since the same start, and those of different eras, are ordered by the endpoint's own
// sequence: the store may execute a write after a later one. A catalog is not safe for
// concurrent use.
type Catalog struct {
	configuration *Configuration
	byName        map[string]*EndpointRecord
	// all holds the same records as byName, sorted by name unless unsorted is set.
	all        []*EndpointRecord
	unsorted   bool
	completeAt common.Revision
	// newestRevision is the highest revision of any record seen in an update.
	newestRevision common.Revision
	coverage       coverage
	// eraEnteredAt is when the catalog got its first content of the present era.
	eraEnteredAt time.Duration
	// adoptAt is the earliest time at which a deferred entry may replace its record, 0 if no
	// record has one.
	adoptAt time.Duration
	// lateEntries are the late entries of the last update.
	lateEntries []LateEntry
	evacuations evacuations
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{byName: make(map[string]*EndpointRecord), evacuations: make(evacuations)}
}

// Configuration returns the newest configuration, nil if there is none yet.
func (c *Catalog) Configuration() *Configuration { return c.configuration }

// CompleteAt returns the store revision up to which the catalog has all changes, zero if
// it has no content yet.
func (c *Catalog) CompleteAt() common.Revision { return c.completeAt }

// Apply merges an update. usable is false if the catalog is not complete at the revision
// of the update afterwards: the update starts after the revision at which the catalog is
// complete, or is of an earlier era. changed reports whether the content of the catalog
// has changed.
func (c *Catalog) Apply(u *Update, now time.Duration) (changed, usable bool) {
	if !u.Full && !u.continues(c.completeAt) {
		return false, false
	}
	if c.completeAt.IsZero() || u.CompleteAt.Era > c.completeAt.Era {
		c.enterEra(u.CompleteAt, now)
	}
	c.lateEntries = nil
	changed = c.mergeConfiguration(u.Configuration)
	listed := make(map[string]bool, len(u.Endpoints))
	for i := range u.Endpoints {
		incoming := &u.Endpoints[i]
		listed[incoming.Endpoint.Name] = !incoming.Missing()
		c.newestRevision = latest(c.newestRevision, incoming.latestRevision())
		changed = c.merge(incoming, now) || changed
	}
	changed = c.mergeEvacuations(u, now) || changed
	if u.CompleteAt.Era < c.completeAt.Era {
		return changed, false
	}
	if u.Full {
		changed = c.markUnlisted(listed, u.CompleteAt, now) || changed
		c.coverage.snapshotApplied(u.CompleteAt)
	}
	c.completeAt = latest(c.completeAt, u.CompleteAt)
	return changed, true
}

// enterEra prepares the catalog for its first update of an era.
func (c *Catalog) enterEra(entered common.Revision, now time.Duration) {
	c.eraEnteredAt = now
	c.prolongDeferred(now)
	if !c.completeAt.IsZero() {
		c.coverage.enterEra(c.completeAt, entered)
	}
}

// continues reports whether the changes in the update are all that a catalog complete at a
// revision lacks.
func (u *Update) continues(completeAt common.Revision) bool {
	if u.Since.Era != u.CompleteAt.Era {
		return completeAt == u.Since
	}
	return !u.Since.After(completeAt)
}

func latest(a, b common.Revision) common.Revision {
	if a.After(b) {
		return a
	}
	return b
}

// LateEntries returns the late entries of the last update.
func (c *Catalog) LateEntries() []LateEntry { return c.lateEntries }

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
func (c *Catalog) RequiresFull(since common.Revision) bool {
	return !c.coverage.covers(since, c.completeAt)
}

// Difference returns the update from a revision to the current content: the changes if
// the catalog still has all of them, else a full update. The configuration is included
// if it is newer than the given one.
func (c *Catalog) Difference(configuration ConfigurationID, since common.Revision) Update {
	u := Update{Since: since, CompleteAt: c.completeAt, Full: c.RequiresFull(since)}
	if c.configuration.ID().After(configuration) {
		u.Configuration = c.configuration
	}
	u.Evacuations = c.changedEvacuations(since, u.Full)
	if !u.Full && !c.newestRevision.After(since) {
		return u
	}
	for _, r := range c.Records() {
		if u.Full || r.latestRevision().After(since) {
			u.Endpoints = append(u.Endpoints, c.inPresentEra(*r))
		}
		if r.deferred != nil && (u.Full || r.deferred.Revision.After(since)) {
			u.Endpoints = append(u.Endpoints, c.inPresentEra(EndpointRecord{Endpoint: r.deferred.Endpoint}))
		}
	}
	return u
}

// inPresentEra returns a record for a difference. An entry that the store has listed
// unchanged since an earlier era gets the present one.
func (c *Catalog) inPresentEra(r EndpointRecord) EndpointRecord {
	if !r.Missing() && (r.deferred == nil || r.deferred.late) {
		r.Endpoint.Revision.Era = c.completeAt.Era
	}
	r.deferred = nil
	return r
}

// Prune removes the records of endpoints that have been missing for the duration after,
// unless the store lists an older entry of them, and returns their number.
func (c *Catalog) Prune(after, now time.Duration) int {
	before := len(c.all)
	c.all = slices.DeleteFunc(c.all, func(r *EndpointRecord) bool {
		if !r.Missing() || r.deferred != nil || now-r.MissingSince < after {
			return false
		}
		c.coverage.removalPruned(r.MissingAt)
		delete(c.byName, r.Endpoint.Name)
		return true
	})
	return before - len(c.all)
}
