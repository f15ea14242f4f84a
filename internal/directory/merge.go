package directory

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// restoreGrace is how long after the first content of an era an older entry of an
// endpoint, which the store lists because it was restored from a copy, does not replace a
// newer entry from before the restore. It is longer than the lifetime of an entry without
// heartbeats, so that an endpoint that is still listed afterwards runs.
const restoreGrace = 8 * time.Second

// lateGrace is how long an entry that the endpoint wrote before the one in use does not
// replace that one, although the store has executed its write later. The endpoint's next
// heartbeat normally replaces it within this time, and the store removes the entry of an
// endpoint that has stopped.
const lateGrace = restoreGrace

// deferredEntry is an entry that the store lists and that is older than the one in use.
type deferredEntry struct {
	Endpoint
	// until is when it replaces the one in use, if the store still lists it.
	until time.Duration
	// late is set if the store has also listed the one in use in the present era, and has
	// executed the write of this entry after it. Otherwise a restore has brought it back.
	late bool
}

func (c *Catalog) mergeConfiguration(incoming *Configuration) bool {
	if incoming == nil || !incoming.ID().After(c.configuration.ID()) {
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
	at := incoming.latestRevision()
	switch {
	case at.Era < c.completeAt.Era:
		return c.mergeOlderEra(existing, incoming, now)
	case !at.After(latest(existing.latestRevision(), c.completeAt)):
		return false
	case incoming.Missing():
		existing.remove(incoming, now)
		return true
	case at.Era > existing.latestRevision().Era:
		return c.mergeNewerEra(existing, &incoming.Endpoint, now)
	case incoming.Endpoint.lateFor(&existing.Endpoint):
		c.deferLate(existing, &incoming.Endpoint, now)
		return false
	default:
		*existing = EndpointRecord{Endpoint: incoming.Endpoint}
		return true
	}
}

// mergeNewerEra merges an entry that the store lists after a restore into a record from
// before it. An entry that is part of the copy and has not changed since keeps its
// revision, so that it is not part of differences between the two eras.
func (c *Catalog) mergeNewerEra(existing *EndpointRecord, listed *Endpoint, now time.Duration) bool {
	if c.inRestoreGrace(now) && listed.WrittenBefore(&existing.Endpoint) {
		c.deferEntry(existing, &deferredEntry{Endpoint: *listed, until: c.eraEnteredAt + restoreGrace})
		return false
	}
	if listed.lateFor(&existing.Endpoint) {
		c.deferLate(existing, listed, now)
		return false
	}
	unchanged := *listed
	unchanged.Revision.Era = existing.Endpoint.Revision.Era
	if !existing.Missing() && existing.deferred == nil && existing.Endpoint == unchanged {
		return false
	}
	*existing = EndpointRecord{Endpoint: *listed}
	return true
}

// mergeOlderEra merges a record from before a restore of the store into a record of the
// present era: a newer entry of the endpoint replaces the one that is listed.
func (c *Catalog) mergeOlderEra(existing, incoming *EndpointRecord, now time.Duration) bool {
	if existing.Missing() || incoming.Endpoint.Service == "" || !c.inRestoreGrace(now) || !existing.Endpoint.WrittenBefore(&incoming.Endpoint) {
		return false
	}
	replaced := *existing
	*existing = *incoming
	if existing.Missing() && existing.MissingSince == 0 {
		existing.MissingSince = now
	}
	existing.deferred = replaced.deferred
	if existing.deferred == nil {
		replaced.Endpoint.Revision.Era = c.completeAt.Era
		c.deferEntry(existing, &deferredEntry{Endpoint: replaced.Endpoint, until: c.eraEnteredAt + restoreGrace})
	}
	return true
}

// deferLate keeps an entry whose write the store has executed late.
func (c *Catalog) deferLate(r *EndpointRecord, entry *Endpoint, now time.Duration) {
	c.lateEntries = append(c.lateEntries, LateEntry{Late: *entry, InUse: r.Endpoint})
	c.deferEntry(r, &deferredEntry{Endpoint: *entry, until: now + lateGrace, late: true})
}

// deferEntry keeps an older entry until it replaces the one in use.
func (c *Catalog) deferEntry(r *EndpointRecord, entry *deferredEntry) {
	if r.deferred == nil || entry.Revision.After(r.deferred.Revision) {
		r.deferred = entry
	}
	c.adoptAt = earliest(c.adoptAt, r.deferred.until)
}

// earliest returns the earlier of two times, of which 0 means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// inRestoreGrace reports whether entries of the present era may be older than entries of
// the previous one.
func (c *Catalog) inRestoreGrace(now time.Duration) bool { return now-c.eraEnteredAt < restoreGrace }

// GraceEnd returns when AdoptDeferred must be called, 0 if no entry and no evacuation waits
// for it.
func (c *Catalog) GraceEnd() time.Duration {
	if c.hasLostEvacuation() {
		return earliest(c.adoptAt, c.eraEnteredAt+restoreGrace)
	}
	return c.adoptAt
}

// AdoptDeferred replaces records by the older entries that the store has listed for
// restoreGrace since it was restored, or for lateGrace, and ends the evacuations that a
// restored store has not listed. It reports whether there are any.
func (c *Catalog) AdoptDeferred(now time.Duration) bool {
	changed := !c.inRestoreGrace(now) && c.endLostEvacuations()
	if c.adoptAt == 0 || now < c.adoptAt {
		return changed
	}
	c.adoptAt = 0
	for _, r := range c.all {
		switch {
		case r.deferred == nil:
		case now < r.deferred.until:
			c.adoptAt = earliest(c.adoptAt, r.deferred.until)
		default:
			*r = EndpointRecord{Endpoint: r.deferred.Endpoint}
			changed = true
		}
	}
	return changed
}

// prolongDeferred starts the grace of all deferred entries again, because the store was
// restored once more.
func (c *Catalog) prolongDeferred(now time.Duration) {
	c.adoptAt = 0
	for _, r := range c.all {
		if r.deferred != nil {
			r.deferred.until, r.deferred.late = now+restoreGrace, false
			c.adoptAt = r.deferred.until
		}
	}
}

// remove marks an endpoint as missing. An incoming record that has only a name and
// revisions, or an older entry of the endpoint, leaves the entry unchanged.
func (r *EndpointRecord) remove(incoming *EndpointRecord, now time.Duration) {
	if incoming.Endpoint.Service != "" && !incoming.Endpoint.WrittenBefore(&r.Endpoint) {
		r.Endpoint = incoming.Endpoint
	}
	r.markMissing(incoming.MissingAt, now)
}

// add adds a record of an endpoint that the catalog does not hold. It ignores records
// that have only a name, because no flow can belong to such an endpoint, and listed
// endpoints of a revision that the catalog already covers: these were removed and pruned
// since.
func (c *Catalog) add(incoming *EndpointRecord, now time.Duration) bool {
	if incoming.Endpoint.Service == "" || !incoming.Missing() && !incoming.latestRevision().After(c.completeAt) {
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

// markUnlisted marks the endpoints that a snapshot at a revision does not list as
// missing, and drops deferred entries of them. It reports whether there are any.
func (c *Catalog) markUnlisted(listed map[string]bool, at common.Revision, now time.Duration) bool {
	changed := false
	for name, r := range c.byName {
		if !listed[name] && (!r.Missing() || r.deferred != nil) && !r.latestRevision().After(at) {
			r.markMissing(at, now)
			c.newestRevision = latest(c.newestRevision, at)
			changed = true
		}
	}
	return changed
}
