package discovery

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// readPatience is the time without an answer after which another read may
	// begin, on another connection: packets of the first one may be lost for good.
	// The first one goes on until partTimeout, because the store may be slow.
	readPatience = 400 * time.Millisecond
	// partTimeout bounds a read with one part, and each further part of a list.
	partTimeout = 2500 * time.Millisecond
	// maxReads bounds the reads under way.
	maxReads = 4
	// changesTimes is how many times as long as the read before it a read of
	// changes may take, at least minChangesTime: it waits without end while the
	// store forgets its history.
	changesTimes   = 4
	minChangesTime = 200 * time.Millisecond
	// longReadAfter is the time after which a list counts as long: enough for thousands
	// of entries unless all instances read at once.
	longReadAfter = 500 * time.Millisecond
	// longReadPoll is the time between two looks whether a long read is still needed.
	longReadPoll = 25 * time.Millisecond
)

var (
	// errSlow is the state of a read that has not ended in readPatience.
	errSlow = resultcode.Errorf(resultcode.PlatformUnreachable, "no answer yet")
	// errNotNeeded ends a read of a long list whose content has become known by other
	// means, or that another read is about to bring.
	errNotNeeded = errors.New("the list is no longer needed")
)

// read is one read of the store.
type read struct {
	syncer *Syncer
	began  time.Duration
	// full asks for everything instead of the changes, blank is set when nothing was
	// known at the start.
	full, blank bool
	// limit ends the read; patience lets another one begin beside it.
	limit, patience *time.Timer

	mu sync.Mutex
	// long is set when the read goes on with a long list.
	long bool
}

// startRead begins a read of the store. When it does not end in readPatience it counts
// as failed, and as done after all if it succeeds later.
func (s *Syncer) startRead(ctx context.Context) {
	now := s.knowledge.Now()
	if s.reading >= maxReads {
		s.plan.ReadDone(now, false)
		return
	}
	r := &read{syncer: s, began: now, full: now < s.fullUntil, blank: !s.knowledge.HasConfiguration()}
	patience := readPatience
	if r.blank {
		// The start of a long list may take long while all instances start.
		patience <<= s.reading
	}
	s.reading++
	readCtx, cancel := context.WithCancel(ctx)
	r.limit = time.AfterFunc(partTimeout, cancel)
	r.patience = time.AfterFunc(patience, func() {
		s.post(readCtx, func() {
			s.plan.ReadDone(s.knowledge.Now(), false)
			s.noteStore(errSlow, patience)
		})
	})
	go func() {
		defer cancel()
		update, incomplete, err := r.fetch(readCtx)
		r.limit.Stop()
		inTime := r.patience.Stop()
		s.post(ctx, func() { s.readEnded(r, update, incomplete, inTime, err) })
	}()
}

func (s *Syncer) readEnded(r *read, update directory.Update, incomplete, inTime bool, err error) {
	now := s.knowledge.Now()
	s.reading--
	if r.long {
		s.longRead.Store(false)
	}
	if incomplete {
		s.fullUntil = now + fullReadsAfterMiss
	}
	complete := err == nil
	if errors.Is(err, errNotNeeded) {
		// The store has answered.
		err = nil
	}
	s.metrics.read(err == nil, now-r.began)
	if err == nil || inTime || r.long {
		s.plan.ReadDone(now, err == nil)
		s.noteStore(err, now-r.began)
	}
	if complete {
		s.apply(update, Provenance{ConfirmedAt: r.began, FromStore: true}, "store")
	}
}

// fetch returns what has changed in the store, nothing when its revision has not.
func (r *read) fetch(ctx context.Context) (update directory.Update, incomplete bool, err error) {
	s := r.syncer
	at, _ := s.knowledge.CompleteAt()
	if at == 0 {
		update, err = s.source.Snapshot(ctx, r.proceed)
		return update, false, err
	}
	began := s.knowledge.Now()
	revision, err := s.source.Revision(ctx)
	if err != nil {
		return update, false, err
	}
	if revision <= at {
		return directory.Update{Since: at, CompleteAt: at}, false, nil
	}
	if !r.full {
		took := s.knowledge.Now() - began
		update, err = s.changes(ctx, max(changesTimes*took, minChangesTime), at)
		if err == nil && update.CompleteAt >= revision {
			return update, false, nil
		}
		s.logger.Info("changes_incomplete", zap.Uint64("since", at), zap.Uint64("revision", revision),
			zap.Uint64("at", update.CompleteAt), zap.Error(err))
	}
	update, err = s.source.Snapshot(ctx, r.proceed)
	return update, !r.full, err
}

func (s *Syncer) changes(ctx context.Context, timeout time.Duration, since uint64) (directory.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.source.Changes(ctx, since)
}

// proceed is called before each part of a list but the first. While nothing is known,
// only one read at a time goes on with a long list, and waits before that, since a peer
// may tell it all: many reads would make each other slower without end.
func (r *read) proceed(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.blank || !r.long && r.syncer.knowledge.Now() < r.began+longReadAfter {
		r.limit.Reset(partTimeout)
		return ctx.Err()
	}
	if !r.long {
		if !r.syncer.longRead.CompareAndSwap(false, true) {
			return errNotNeeded
		}
		r.long = true
		r.patience.Stop()
		r.limit.Stop()
		if err := r.waitForPeers(ctx); err != nil {
			return err
		}
	}
	if r.syncer.knowledge.HasConfiguration() {
		return errNotNeeded
	}
	r.limit.Reset(partTimeout)
	return ctx.Err()
}

// waitForPeers waits for the instance's turn to read a long list, or until a peer has
// told it.
func (r *read) waitForPeers(ctx context.Context) error {
	poll := time.NewTicker(longReadPoll)
	defer poll.Stop()
	for !r.syncer.knowledge.HasConfiguration() {
		if r.turn(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
	return nil
}

// turn reports whether the plan lets the read go on.
func (r *read) turn(ctx context.Context) bool {
	s := r.syncer
	reached := make(chan bool, 1)
	s.post(ctx, func() {
		now := s.knowledge.Now()
		reached <- now >= r.began+s.plan.LongReadDelay(now)
	})
	select {
	case <-ctx.Done():
		return false
	case turn := <-reached:
		return turn
	}
}
