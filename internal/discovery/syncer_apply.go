package discovery

import (
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

func (s *Syncer) apply(update directory.Update, provenance Provenance, from string) {
	applied := s.cache.Apply(&update, provenance)
	if !applied.RestoredFrom.IsZero() {
		s.logger.Warn("store_restored", zap.String("from", from), zap.Stringer("last_revision", applied.RestoredFrom),
			zap.Stringer("revision", applied.CompleteAt))
		s.notifyRestore()
	}
	if c := update.Configuration; c != nil && c.Version < applied.Version {
		s.logger.Warn("configuration_outdated", zap.String("from", from), zap.Stringer("revision", c.Revision),
			zap.Uint64("version", c.Version), zap.Uint64("version_in_force", applied.Version))
	}
	s.logLateEntries(applied.LateEntries, from)
	if !applied.Usable {
		s.logger.Info("update_unusable", zap.String("from", from), zap.Stringer("since", update.Since), zap.Stringer("at", update.CompleteAt))
		return
	}
	if s.cache.HasConfiguration() {
		s.scheduler.Confirm(provenance.ConfirmedAt)
	}
	if applied.StoreRecovered {
		s.logger.Info("knowledge_regained", zap.String("from", from), zap.Stringer("revision", applied.CompleteAt))
	}
	age := s.cache.Now() - provenance.ConfirmedAt
	if applied.NewVersion {
		s.logger.Info("configuration_in_force", zap.String("from", from), zap.Uint64("version", applied.Version),
			zap.Stringer("revision", applied.CompleteAt), zap.Int("rules", applied.Rules), zap.Int64("age_ms", age.Milliseconds()))
	}
	s.changesApplied(&applied.Changes, from, age)
}

// logStoreState logs when the store becomes unreachable or reachable again.
func (s *Syncer) logStoreState(err error, took time.Duration) {
	up := err == nil
	if up == s.storeUp {
		return
	}
	s.storeUp = up
	age := zap.Skip()
	if confirmed, known := s.scheduler.Age(s.cache.Now()); known {
		age = zap.Duration("age", confirmed)
	}
	sinceRead := zap.Duration("since_last_read", s.cache.Now()-s.readEndedAt)
	if up {
		s.logger.Info("store_regained", zap.Duration("took", took), age, sinceRead)
		return
	}
	code, _ := resultcode.Of(err)
	s.logger.Warn("store_lost", zap.Uint32("result_code", uint32(code)), zap.Duration("took", took), age, sinceRead, zap.Error(err))
}

// logStoreRevision logs the revision of the store at a read.
func (s *Syncer) logStoreRevision(revision common.Revision) {
	if revision.IsZero() {
		return
	}
	cached, _ := s.cache.CompleteAt()
	s.logger.Debug("store_read", zap.Stringer("revision", revision), zap.Stringer("cached_revision", cached))
	s.metrics.storeRevision(revision)
}

// maxChangesLogged limits the log lines for one update.
const maxChangesLogged = 64

// logChanges logs the changes of endpoint states.
func (s *Syncer) logEndpoints(changes []EndpointChange, from string, age time.Duration) {
	for i := range changes {
		if i == maxChangesLogged {
			s.logger.Info("endpoint_changes_not_logged", zap.Int("count", len(changes)-i))
			return
		}
		c := &changes[i]
		s.logger.Info("endpoint_changed", zap.String("endpoint", c.Endpoint.Name), zap.String("service", c.Endpoint.Service),
			zap.String("data_centre", c.Endpoint.DataCentre), zap.Stringer("was", c.From), zap.Stringer("is", c.To),
			zap.Stringer("revision", c.Endpoint.Revision), zap.String("from", from), zap.Int64("age_ms", age.Milliseconds()))
	}
}

// logLateEntries logs and counts entries whose write the store has executed late.
func (s *Syncer) logLateEntries(entries []directory.LateEntry, from string) {
	s.metrics.lateEntries.Add(float64(len(entries)))
	for i := range entries[:min(len(entries), maxChangesLogged)] {
		late, inUse := &entries[i].Late, &entries[i].InUse
		s.logger.Info("endpoint_entry_late", zap.String("endpoint", late.Name), zap.Stringer("revision", late.Revision),
			zap.Uint64("sequence", late.Sequence), zap.Bool("draining", late.Draining), zap.Uint64("sequence_in_use", inUse.Sequence),
			zap.Bool("draining_in_use", inUse.Draining), zap.String("from", from))
	}
}

// changesApplied logs changes that took effect with state of an age, and counts the age of
// evacuations that came into force.
func (s *Syncer) changesApplied(changes *Changes, from string, age time.Duration) {
	s.logEndpoints(changes.Endpoints, from, age)
	for i := range changes.Evacuations {
		e := &changes.Evacuations[i]
		if e.InForce {
			s.metrics.evacuationInForce(age)
		}
		if i < maxChangesLogged {
			s.logEvacuation(e, from, age)
		}
	}
	if left := len(changes.Evacuations) - maxChangesLogged; left > 0 {
		s.logger.Info("evacuation_changes_not_logged", zap.Int("count", left))
	}
}

func (s *Syncer) logEvacuation(e *directory.Evacuation, from string, age time.Duration) {
	event := "evacuation_ended"
	if e.InForce {
		event = "evacuation_in_force"
	}
	s.logger.Info(event, zap.String("data_centre", e.DataCentre), zap.Stringer("revision", e.Revision),
		zap.String("from", from), zap.Int64("age_ms", age.Milliseconds()))
}
