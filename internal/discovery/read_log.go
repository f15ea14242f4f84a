package discovery

import (
	"time"

	"go.uber.org/zap"
)

const (
	// minResumedGap is the time without a read after which the next one is logged.
	minResumedGap = 3 * time.Second
	// overdueDelay is how long a read must be overdue before that is logged: after a pause of
	// the process, a read is overdue only until the next round of the loop.
	overdueDelay = time.Second
	// overdueLogInterval is the time between two lines about a read that is overdue.
	overdueLogInterval = 5 * time.Second
)

// readEnded records the end of a read, and logs it if none has ended for a time: the
// instance has become a reader, was paused, or has got no response.
func (s *Syncer) readEnded(ok bool, now, took time.Duration) {
	if gap := now - s.readEndedAt; gap >= minResumedGap {
		s.logger.Info("store_read_resumed", zap.Bool("ok", ok), zap.Duration("took", took), zap.Duration("since_last_read", gap))
	}
	s.readEndedAt = now
	s.metrics.read(ok, now, took)
}

// logOverdueRead logs that the cache is old and no read has ended in time. Reads that fail
// end, so this shows that the instance does not read.
func (s *Syncer) logOverdueRead(now time.Duration) {
	if !s.scheduler.ReadOverdue(s.readEndedAt, now) {
		s.overdueLogAt = now + overdueDelay
		return
	}
	if now < s.overdueLogAt {
		return
	}
	s.overdueLogAt = now + overdueLogInterval
	age, _ := s.scheduler.Age(now)
	s.logger.Warn("store_read_overdue", zap.Duration("age", age), zap.Duration("since_last_read", now-s.readEndedAt), zap.Int("in_flight", len(s.reads)))
}
