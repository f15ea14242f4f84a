package discovery

import (
	"context"
	"time"
)

const (
	// longReadThreshold is the duration after which the read of a list counts as long.
	// It is enough for thousands of entries unless all instances read at once.
	longReadThreshold = 500 * time.Millisecond
	// longReadPollInterval is the time between two checks of whether a long read is
	// still needed.
	longReadPollInterval = 25 * time.Millisecond
)

// proceed is called before each page of a list after the first. While the cache has no
// configuration, only one read at a time continues with a long list, and first waits
// for a peer to send the content: several concurrent long reads would slow each other
// down until none completes.
func (r *read) proceed(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progressed()
	if !r.uninitialized || !r.long.Load() && r.syncer.cache.Now() < r.startedAt+longReadThreshold {
		r.timeout.Reset(pageTimeout)
		return ctx.Err()
	}
	if !r.long.Load() {
		if !r.syncer.longReadActive.CompareAndSwap(false, true) {
			return errReadNotNeeded
		}
		r.long.Store(true)
		r.hedge.Stop()
		r.timeout.Stop()
		if err := r.waitForPeers(ctx); err != nil {
			return err
		}
	}
	if r.syncer.cache.HasConfiguration() {
		return errReadNotNeeded
	}
	r.progressed()
	r.timeout.Reset(pageTimeout)
	return ctx.Err()
}

// waitForPeers waits until it is the instance's turn to read a long list, or until a
// peer has sent its content.
func (r *read) waitForPeers(ctx context.Context) error {
	poll := time.NewTicker(longReadPollInterval)
	defer poll.Stop()
	for !r.syncer.cache.HasConfiguration() {
		if r.mayContinue(ctx) {
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

// mayContinue reports whether the scheduler allows the read to continue now.
func (r *read) mayContinue(ctx context.Context) bool {
	s := r.syncer
	result := make(chan bool, 1)
	s.post(ctx, func() {
		now := s.cache.Now()
		result <- now >= r.startedAt+s.scheduler.LongReadDelay(now)
	})
	select {
	case <-ctx.Done():
		return false
	case mayContinue := <-result:
		return mayContinue
	}
}
