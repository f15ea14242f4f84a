package discovery

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// hedgeDelay is the time without a response after which another read may start on
	// another connection, because the packets of the first connection may be lost. The
	// first read continues until pageTimeout, because the store may only be slow.
	hedgeDelay = 400 * time.Millisecond
	// pageTimeout limits the duration of a read of a single page, and of each further
	// page of a list.
	pageTimeout = 2500 * time.Millisecond
	// maxConcurrentReads limits the number of concurrent reads.
	maxConcurrentReads = 4
	// changesTimeoutFactor limits a read of changes to a multiple of the duration of
	// the read before it, at least minChangesTimeout. While the store discards its
	// history, such a read gets no response.
	changesTimeoutFactor = 4
	minChangesTimeout    = 200 * time.Millisecond
	// stuckReadTimeout is the time without progress after which a read is given up although
	// none of its own timeouts has ended it. It is longer than the wait of a long read for
	// peers and the read of a page after it.
	stuckReadTimeout = 10 * time.Second
)

var (
	// errNoResponseYet is the error reported for a read that has not ended within
	// hedgeDelay.
	errNoResponseYet = resultcode.Errorf(resultcode.PlatformUnreachable, "no response from the store yet")
	// errReadLost is the error reported for a read whose result is missing.
	errReadLost = resultcode.Errorf(resultcode.PlatformUnreachable, "no result of a read of the store")
	// errReadNotNeeded ends the read of a long list if its content has been received
	// from a peer, or if another read is already reading it.
	errReadNotNeeded = errors.New("the list is no longer needed")
)

// read is one read of the store. Only the loop of the syncer uses reported.
type read struct {
	syncer    *Syncer
	startedAt time.Duration
	// full requests a snapshot instead of the changes. uninitialized is set if the
	// cache had no configuration when the read started.
	full, uninitialized bool
	// revision is the revision of the store, zero if the read has not returned it.
	revision common.Revision
	// reported is set once the scheduler has been told the result.
	reported bool
	// progressAt is when the read last got a page, in nanoseconds of the cache's clock.
	progressAt atomic.Int64
	cancel     context.CancelFunc
	// timeout cancels the read. hedge allows another read to start concurrently.
	timeout, hedge *time.Timer

	// mu is held while a list waits to continue, long is set while the read continues with a
	// long list.
	mu   sync.Mutex
	long atomic.Bool
}

// startRead starts a read of the store. If it does not end within hedgeDelay, it is
// reported to the scheduler as failed, and as successful if it succeeds later.
func (s *Syncer) startRead(ctx context.Context) {
	now := s.cache.Now()
	if len(s.reads) >= maxConcurrentReads {
		s.scheduler.ReadDone(now, false)
		return
	}
	r := &read{syncer: s, startedAt: now, full: now < s.fullReadsUntil, uninitialized: !s.cache.HasConfiguration()}
	r.progressAt.Store(int64(now))
	hedge := hedgeDelay
	if r.uninitialized {
		// While all instances start, even the first page of a long list may take long.
		hedge <<= len(s.reads)
	}
	readCtx, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	s.reads[r], s.latestRead = struct{}{}, r
	s.metrics.readsInFlight.Set(float64(len(s.reads)))
	r.timeout = time.AfterFunc(pageTimeout, cancel)
	r.hedge = time.AfterFunc(hedge, func() {
		// Posted even if the read has timed out too, as after a pause of the process.
		s.post(ctx, func() { s.reportRead(r, errNoResponseYet) })
	})
	go func() {
		defer cancel()
		update, incomplete, err := r.fetch(readCtx)
		r.timeout.Stop()
		// The hedge ends with finishRead: until then it makes up for a result that is lost.
		s.post(ctx, func() { s.finishRead(r, update, incomplete, err) })
	}()
}

// reportRead tells the scheduler the result of a read: a success, or the first failure.
func (s *Syncer) reportRead(r *read, err error) {
	if r.reported && err != nil {
		return
	}
	r.reported = true
	now := s.cache.Now()
	s.scheduler.ReadDone(now, err == nil)
	s.logStoreState(err, now-r.startedAt)
}

func (s *Syncer) finishRead(r *read, update directory.Update, incomplete bool, err error) {
	s.forgetRead(r)
	now := s.cache.Now()
	if incomplete {
		s.fullReadsUntil = now + fullReadsAfterIncomplete
	}
	complete := err == nil
	if errors.Is(err, errReadNotNeeded) {
		// The store has responded, so the read counts as successful.
		err = nil
	}
	s.reportRead(r, err)
	s.readEnded(err == nil, now, now-r.startedAt)
	s.logStoreRevision(r.revision)
	if complete {
		s.apply(update, Provenance{ConfirmedAt: r.startedAt, FromStore: true}, "store")
	}
}

// forgetRead removes a read from those in flight. It may be called more than once.
func (s *Syncer) forgetRead(r *read) {
	if _, found := s.reads[r]; !found {
		return
	}
	delete(s.reads, r)
	s.metrics.readsInFlight.Set(float64(len(s.reads)))
	r.hedge.Stop()
	if r.long.Load() {
		s.longReadActive.Store(false)
	}
}

// giveUpStuckReads ends reads that have made no progress for stuckReadTimeout, so that they
// do not occupy the places of others.
func (s *Syncer) giveUpStuckReads(now time.Duration) {
	for r := range s.reads {
		progress := time.Duration(r.progressAt.Load())
		if now-progress < stuckReadTimeout {
			continue
		}
		s.metrics.lostReads.Inc()
		s.logger.Warn("store_read_stuck", zap.Duration("took", now-r.startedAt), zap.Duration("without_progress", now-progress))
		r.cancel()
		s.forgetRead(r)
		s.reportRead(r, errReadLost)
	}
}

// readLost handles a read whose result the scheduler has missed.
func (s *Syncer) readLost(now time.Duration) {
	s.metrics.lostReads.Inc()
	s.logger.Warn("store_read_lost", zap.Duration("took", now-s.latestRead.startedAt), zap.Duration("since_last_read", now-s.readEndedAt),
		zap.Int("in_flight", len(s.reads)))
	s.latestRead.reported = true
	s.logStoreState(errReadLost, now-s.latestRead.startedAt)
}

// fetch returns the changes in the store, or an empty update if its revision has not
// changed. incomplete is set if a snapshot had to be read because the changes were
// incomplete.
func (r *read) fetch(ctx context.Context) (update directory.Update, incomplete bool, err error) {
	s := r.syncer
	at, _ := s.cache.CompleteAt()
	if at.IsZero() {
		update, err = s.source.Snapshot(ctx, r.proceed)
		return update, false, err
	}
	startedAt := s.cache.Now()
	r.revision, err = s.source.Revision(ctx)
	if err != nil {
		return update, false, err
	}
	r.progressed()
	switch {
	case r.revision == at:
		return directory.Update{Since: at, CompleteAt: at}, false, nil
	case at.After(r.revision):
		return update, false, resultcode.Errorf(resultcode.PlatformBadAnswer, "the store went back from revision %v to %v", at, r.revision)
	case r.revision.Era != at.Era:
		update, err = s.source.Snapshot(ctx, r.proceed)
		return update, false, err
	}
	if !r.full {
		took := s.cache.Now() - startedAt
		update, err = s.changes(ctx, max(changesTimeoutFactor*took, minChangesTimeout), at)
		if err == nil && !r.revision.After(update.CompleteAt) {
			return update, false, nil
		}
		s.logger.Info("changes_incomplete", zap.Stringer("since", at), zap.Stringer("revision", r.revision),
			zap.Stringer("at", update.CompleteAt), zap.Error(err))
	}
	update, err = s.source.Snapshot(ctx, r.proceed)
	return update, !r.full, err
}

// progressed records that the store has responded.
func (r *read) progressed() { r.progressAt.Store(int64(r.syncer.cache.Now())) }

func (s *Syncer) changes(ctx context.Context, timeout time.Duration, since common.Revision) (directory.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.source.Changes(ctx, since)
}
