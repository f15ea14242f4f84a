package discovery

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// ApplyResult is the result of Cache.Apply.
type ApplyResult struct {
	// Usable is false if the update does not confirm the cached state, because changes
	// before it are missing or because it is from before a restore of the store.
	Usable bool
	// Changed is set if the update changed the cached state.
	Changed bool
	// RestoredFrom is the last cached revision of the previous era if the update is the
	// first one after a restore of the store, else zero.
	RestoredFrom common.Revision
	// StoreRecovered is set if the update shows that the store has recovered from an
	// outage.
	StoreRecovered bool
	// NewVersion is set if the configuration in force has another version.
	NewVersion bool
	// Version and CompleteAt describe the cache after the update.
	Version    uint64
	CompleteAt common.Revision
	// LateEntries are entries of endpoints whose write the store has executed after that of
	// a later entry. They are not in use.
	LateEntries []directory.LateEntry
	// Rules is the number of rules in force.
	Rules   int
	Changes Changes
}

// Provenance is where and when an update was obtained.
type Provenance struct {
	// ConfirmedAt is a lower bound of the time at which the store had the content of
	// the update.
	ConfirmedAt time.Duration
	// FromStore is set for a response of the store itself.
	FromStore bool
	// RecoveredAt is when the peer that sent the update observed the recovery of the
	// store from an outage, 0 for never.
	RecoveredAt time.Duration
}

// Apply merges an update into the cache and publishes a new view if anything changed.
func (c *Cache) Apply(u *directory.Update, provenance Provenance) ApplyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if !c.appliesEvacuations {
		u.Evacuations = nil
	}
	var applied ApplyResult
	previous, previouslyComplete := c.currentView.Load().Version(), c.catalog.CompleteAt()
	applied.Changed, applied.Usable = c.catalog.Apply(u, now)
	applied.LateEntries = c.catalog.LateEntries()
	if applied.Usable {
		if !previouslyComplete.IsZero() && u.CompleteAt.Era > previouslyComplete.Era {
			applied.RestoredFrom = previouslyComplete
		}
		applied.StoreRecovered = c.recordRecovery(provenance, !applied.RestoredFrom.IsZero(), now)
		c.confirmedAt.Store(max(c.confirmedAt.Load(), int64(provenance.ConfirmedAt)))
	}
	if c.catalog.Prune(c.flowLifetime, now) > 0 || applied.Changed {
		applied.Changes = c.publish(now)
	}
	applied.Version, applied.CompleteAt = c.currentView.Load().Version(), c.catalog.CompleteAt()
	applied.NewVersion = applied.Version != previous
	if conf := c.catalog.Configuration(); conf != nil {
		applied.Rules = len(conf.Rules)
	}
	return applied
}
