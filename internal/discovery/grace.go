package discovery

import (
	"time"

	"burdockrelay.example/burdockrelay/internal/directory"
)

const (
	// recoveryGrace is how long after the store has recovered from an outage an endpoint
	// stays in use that the store does not list. Entries that expired during the outage
	// are written again within about two seconds.
	recoveryGrace = 2300 * time.Millisecond
	// recoverySlack is the tolerance for the time that a peer takes to report the
	// recovery.
	recoverySlack = 250 * time.Millisecond
)

// recordRecovery records the recovery of the store from an outage or its restore, and
// reports whether the update shows one. The caller holds mu.
func (c *Cache) recordRecovery(provenance Provenance, restored bool, now time.Duration) bool {
	at := provenance.RecoveredAt
	outage := c.HasConfiguration() && now-time.Duration(c.confirmedAt.Load()) > c.outageAge
	if provenance.FromStore && (outage || restored) || restored && at == 0 {
		at = now
	}
	// Peers report the same recovery at slightly different times, depending on how long
	// their responses took.
	previous := time.Duration(c.recoveredAt.Load())
	if at <= previous+recoverySlack {
		return false
	}
	if previous == 0 || at >= previous+recoveryGrace {
		c.graceFrom = at
	}
	c.recoveredAt.Store(int64(at))
	return true
}

// EndGracePeriods removes the endpoints that the store has not listed again within
// recoveryGrace after its recovery, and adopts the older entries that it still lists some
// time after it was restored or has executed a late write. It returns the time of the next
// call, 0 if none is needed, and what has changed.
func (c *Cache) EndGracePeriods() (next time.Duration, changes Changes) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.catalog.AdoptDeferred(now)
	next = c.catalog.GraceEnd()
	recoveredAt := time.Duration(c.recoveredAt.Load())
	if end := recoveredAt + recoveryGrace; recoveredAt > 0 && now < end {
		next = end
	} else {
		changed = changed || c.hasGoneEndpoint()
	}
	if changed {
		changes = c.publish(now)
	}
	return next, changes
}

// hasGoneEndpoint reports whether an endpoint is missing that the view still contains as
// listed. The caller holds mu.
func (c *Cache) hasGoneEndpoint() bool {
	for _, record := range c.catalog.Records() {
		if record.Missing() && c.unlisted[record.Endpoint.Name] == nil {
			return true
		}
	}
	return false
}

// inRecoveryGrace reports whether the entry of a missing endpoint may only have expired
// in an outage of the store that has just ended, or have been lost in a restore. The
// caller holds mu.
func (c *Cache) inRecoveryGrace(record *directory.EndpointRecord, now time.Duration) bool {
	recoveredAt := time.Duration(c.recoveredAt.Load())
	return recoveredAt > 0 && now < recoveredAt+recoveryGrace && record.MissingSince >= c.graceFrom-recoverySlack
}

// state returns the state of an endpoint. The caller holds mu.
func (c *Cache) state(record *directory.EndpointRecord, now time.Duration) EndpointState {
	switch {
	case record.Missing() && c.inRecoveryGrace(record, now):
		return InRecoveryGrace
	case record.Missing():
		return Gone
	case record.Endpoint.Draining:
		return Draining
	default:
		return Serving
	}
}
