package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/freshness"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// Source reads the object store.
type Source interface {
	// Revision returns the store's current revision with the cheapest linearizable
	// read.
	Revision(ctx context.Context) (common.Revision, error)
	// Snapshot returns the configuration, all endpoints and the evacuations. It calls
	// proceed before each page of a list after the first, possibly concurrently for
	// several lists. An error of proceed ends the read.
	Snapshot(ctx context.Context, proceed func(context.Context) error) (directory.Update, error)
	// Changes returns the changes after a revision of the same era. It may be
	// incomplete while the store discards its history: CompleteAt of the update is then
	// below the revision that Revision returned.
	Changes(ctx context.Context, since common.Revision) (directory.Update, error)
}

const (
	// fullReadsAfterIncomplete is how long snapshots are read instead of changes after
	// an incomplete read of changes.
	fullReadsAfterIncomplete = 5 * time.Second
	// The response timeout of queries to peers is the maximum time between a change in the
	// store and its effect, divided by peerTimeoutDivisor.
	peerTimeoutDivisor = 10
	// wakeInterval is the maximum time between two rounds of the loop.
	wakeInterval = 5 * time.Second
)

// Syncer keeps an instance's cache up to date.
type Syncer struct {
	scheduler *freshness.Scheduler
	cache     *Cache
	peers     *Peers
	source    Source
	client    atomic.Pointer[peerClient]
	metrics   *Metrics
	logger    *zap.Logger

	events chan func()
	// restores holds a value if the store was restored since it was last received.
	restores chan struct{}
	// reads are the reads in flight, latestRead is the last one that was started.
	// longReadActive is set while one of them reads a long list.
	reads          map[*read]struct{}
	latestRead     *read
	longReadActive atomic.Bool
	// readEndedAt is when a read last ended, or when the syncer was created. overdueLogAt
	// is the earliest time at which a read that is overdue is logged.
	readEndedAt, overdueLogAt time.Duration
	// fullReadsUntil is the time until which snapshots are read instead of changes.
	fullReadsUntil time.Duration
	storeUp        bool
	// readsStore is set while this instance reads the store.
	readsStore atomic.Bool
	// readers is the order of readers as last computed, for the metrics.
	readers atomic.Pointer[readerOrder]
	// lastPrune is when expired peers were last removed.
	lastPrune time.Duration
	// pendingSeeds is the number of queried seeds that have not responded yet.
	// seedsQueriedAt is when they were last queried, negative for never.
	pendingSeeds   int
	seedsQueriedAt time.Duration
}

// NewSyncer returns a syncer that reads the source and queries peers, so that a change
// in the store reaches the cache within applyDeadline.
func NewSyncer(self string, applyDeadline time.Duration, cache *Cache, peers *Peers, source Source, metrics *Metrics, logger *zap.Logger) *Syncer {
	s := &Syncer{
		scheduler: freshness.NewScheduler(self, freshness.SettingsFor(applyDeadline)),
		cache:     cache, peers: peers, source: source,
		metrics: metrics, logger: logger,
		reads: make(map[*read]struct{}), readEndedAt: cache.Now(),
		events: make(chan func(), 64), restores: make(chan struct{}, 1), storeUp: true, seedsQueriedAt: -seedInterval,
	}
	s.client.Store(newPeerClient(applyDeadline / peerTimeoutDivisor))
	return s
}

// Run keeps the cache up to date until the context ends.
func (s *Syncer) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	// The ticker wakes the loop even if the timer does not.
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	for {
		now := s.cache.Now()
		s.giveUpStuckReads(now)
		s.logOverdueRead(now)
		querySeeds := s.querySeeds(ctx, now)
		s.prunePeers(now)
		step := s.scheduler.Next(now)
		s.readsStore.Store(s.scheduler.ReadsStore(now))
		s.recordReaders(now)
		s.start(ctx, step)
		wake := min(step.Wake, querySeeds)
		graceEnd, changes := s.cache.EndGracePeriods()
		if graceEnd != 0 {
			wake = min(wake, graceEnd)
		}
		s.changesApplied(&changes, "grace_over", 0)
		timer.Reset(max(wake-now, time.Millisecond))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-ticker.C:
		case event := <-s.events:
			event()
		}
	}
}

// post passes the result of an operation to the loop in Run, the only goroutine that
// uses the scheduler.
func (s *Syncer) post(ctx context.Context, event func()) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

func (s *Syncer) start(ctx context.Context, step freshness.Step) {
	if step.ReadLost {
		s.readLost(s.cache.Now())
	}
	if step.Read {
		s.startRead(ctx)
	}
	if step.Query == "" {
		return
	}
	address, found := s.peers.Address(step.Query)
	if !found {
		s.scheduler.QueryDone(s.cache.Now(), step.Query, freshness.NoResponse, 0)
		return
	}
	go s.query(ctx, step.Query, address)
}

func (s *Syncer) notifyRestore() {
	select {
	case s.restores <- struct{}{}:
	default:
	}
}

// Restores returns a channel that receives a value after one or more restores of the
// store.
func (s *Syncer) Restores() <-chan struct{} { return s.restores }

// ReadsStore reports whether the instance reads the store itself, successfully.
func (s *Syncer) ReadsStore() bool { return s.readsStore.Load() }

// SetApplyDeadline sets the maximum time between a change in the store and its effect.
func (s *Syncer) SetApplyDeadline(ctx context.Context, applyDeadline time.Duration) {
	s.post(ctx, func() {
		s.scheduler.SetSettings(freshness.SettingsFor(applyDeadline))
		s.cache.setApplyDeadline(applyDeadline)
		s.client.Swap(newPeerClient(applyDeadline / peerTimeoutDivisor)).http.CloseIdleConnections()
	})
}
