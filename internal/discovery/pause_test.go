package discovery

import (
	"context"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/freshness"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/propertytest"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// pausingSource is a store as a process sees it that is paused now and then: a call that is
// in flight then returns after the pause, with its response or with the end of its context.
type pausingSource struct {
	// onPause is called when a pause begins.
	onPause func()

	mu          sync.Mutex
	random      *rand.Rand
	revision    common.Revision
	pausedUntil time.Time
	// pauseNext is the number of calls until the next pause, -1 for none, and pauseFor its
	// length. pauseBefore is the time from the start of the call to the pause.
	pauseNext             int
	pauseFor, pauseBefore time.Duration
	// noChanges makes reads of changes fail, so that snapshots are read.
	noChanges bool
}

// call takes the time of one call, and of a pause that begins during it.
func (s *pausingSource) call(ctx context.Context) error {
	s.mu.Lock()
	pauses := s.pauseNext == 0
	if s.pauseNext >= 0 {
		s.pauseNext--
	}
	before, length := s.pauseBefore, s.pauseFor
	s.mu.Unlock()
	const responseTime = 4 * time.Millisecond
	if !pauses {
		time.Sleep(responseTime)
		s.sleepThroughPause()
		return ctx.Err()
	}
	time.Sleep(before)
	s.mu.Lock()
	s.pausedUntil = time.Now().Add(length)
	mayRespond := s.random.Intn(2) == 0
	s.mu.Unlock()
	s.onPause()
	s.sleepThroughPause()
	if mayRespond {
		return nil
	}
	return ctx.Err()
}

// sleepThroughPause returns when the process is not paused.
func (s *pausingSource) sleepThroughPause() {
	s.mu.Lock()
	left := time.Until(s.pausedUntil)
	s.mu.Unlock()
	time.Sleep(max(left, 0))
}

func (s *pausingSource) Revision(ctx context.Context) (common.Revision, error) {
	err := s.call(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, err
}

func (s *pausingSource) update(since common.Revision) directory.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	return directory.Update{
		Since: since, CompleteAt: s.revision, Full: since.IsZero(), Configuration: &directory.Configuration{Version: s.revision.Number, Revision: s.revision},
	}
}

func (s *pausingSource) Snapshot(ctx context.Context, proceed func(context.Context) error) (directory.Update, error) {
	for range 2 {
		if err := s.call(ctx); err != nil {
			return directory.Update{}, err
		}
		if err := proceed(ctx); err != nil {
			return directory.Update{}, err
		}
	}
	return s.update(common.Revision{}), nil
}

func (s *pausingSource) Changes(ctx context.Context, since common.Revision) (directory.Update, error) {
	if err := s.call(ctx); err != nil {
		return directory.Update{}, err
	}
	s.mu.Lock()
	failing := s.noChanges
	s.mu.Unlock()
	if failing {
		return directory.Update{}, errNoResponseYet
	}
	return s.update(since), nil
}

// change changes the content of the store.
func (s *pausingSource) change() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	return s.revision.Number
}

// pauseAt pauses the process during a later call.
func (s *pausingSource) pauseAt(call int, before, length time.Duration, noChanges bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauseNext, s.pauseBefore, s.pauseFor, s.noChanges = call, before, length, noChanges
}

// newTestSyncer returns a syncer without peers. start runs it, stop ends it.
func newTestSyncer(source Source) (s *Syncer, cache *Cache, start, stop func()) {
	cache, peers := newTestCache(), NewPeers(Peer{Name: "entry-1"}, nil)
	started := time.Now()
	cache.clock = func() time.Duration { return time.Second + time.Since(started) }
	s = NewSyncer("entry-1", 3*time.Second, cache, peers, source, NewMetrics(prometheus.NewRegistry(), cache, peers), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	start = func() {
		go func() {
			defer close(done)
			_ = s.Run(ctx)
		}()
	}
	stop = func() {
		cancel()
		<-done
	}
	return s, cache, start, stop
}

// Guards against an instance that does not read the store any more after a pause of the
// process: before, during or after a call of any kind of read, at any of its timeouts, of any
// length.
func TestReadsResumeAfterPauses(t *testing.T) {
	seed := propertytest.Seed(t, propertytest.DefaultSeed)
	for run := range 20 * propertytest.Factor(t) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewSource(seed + int64(run)))
			source := &pausingSource{random: rand.New(rand.NewSource(random.Int63())), revision: common.Revision{Number: 1}, pauseNext: -1}
			s, cache, start, stop := newTestSyncer(source)
			// While the process is paused the loop stops, and no goroutine can post an event.
			source.onPause = func() {
				s.events <- source.sleepThroughPause
				for len(s.events) < cap(s.events) {
					s.events <- func() {}
				}
			}
			if run%2 == 0 {
				source.pauseAt(random.Intn(4), 0, time.Duration(random.Intn(8000))*time.Millisecond, false)
			}
			start()
			for pause := range 30 {
				time.Sleep(15 * time.Second)
				version := source.change()
				time.Sleep(3 * time.Second)
				if view, _ := cache.Current(cache.Now()); view.Version() != version {
					t.Errorf("run %d with %s=%d, pause %d: version %d after the pause, want %d", run, propertytest.SeedVariable, seed, pause, view.Version(), version)
					break
				}
				at := []time.Duration{0, 3, 4, 190, 200, 210, 390, 400, 410, 2490, 2500, 2510}[random.Intn(12)] * time.Millisecond
				source.pauseAt(random.Intn(5), at, time.Duration(random.Intn(8000))*time.Millisecond, random.Intn(3) == 0)
				source.change()
			}
			stop()
			// A call that is in flight ends after its pause.
			time.Sleep(time.Minute)
		})
	}
}

// firstReadsStuckSource is a store whose first snapshots never end, whatever becomes of their
// context.
type firstReadsStuckSource struct {
	fakeSource
	mu    sync.Mutex
	calls int
	stuck chan struct{}
}

func (s *firstReadsStuckSource) Snapshot(ctx context.Context, proceed func(context.Context) error) (directory.Update, error) {
	s.mu.Lock()
	s.calls++
	stuck := s.calls <= 2*maxConcurrentReads
	s.mu.Unlock()
	if stuck {
		<-s.stuck
		return directory.Update{}, errReadLost
	}
	u, err := s.fakeSource.Snapshot(ctx, proceed)
	u.Configuration = &directory.Configuration{Version: 1, Revision: s.revision}
	return u, err
}

// Guards against an instance that reads the store no more because reads that never end take
// the places of others.
func TestStuckReadsDoNotEndReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &firstReadsStuckSource{fakeSource: fakeSource{revision: common.Revision{Number: 1}}, stuck: make(chan struct{})}
		s, cache, start, stop := newTestSyncer(source)
		start()
		time.Sleep(4 * stuckReadTimeout)
		if !cache.HasConfiguration() {
			t.Error("no configuration although the store responds again")
		}
		ended := cache.Now()
		close(source.stuck)
		stop()
		if age, _ := s.scheduler.Age(ended); age > 3*time.Second {
			t.Errorf("the cache is %v old", age)
		}
	})
}

// Guards against a failure that is reported after the read has succeeded, so that the
// instance takes the store for lost.
func TestLateHedgeDoesNotFailRead(t *testing.T) {
	cache, peers := newTestCache(), NewPeers(Peer{Name: "entry-1"}, nil)
	s := NewSyncer("entry-1", 3*time.Second, cache, peers, nil, NewMetrics(prometheus.NewRegistry(), cache, peers), zap.NewNop())
	r := &read{syncer: s}
	s.reportRead(r, nil)
	s.reportRead(r, errNoResponseYet)
	if !s.storeUp {
		t.Error("the store counts as lost")
	}
}

// Guards against an instance that does not read the store any more because a peer sent an
// age that is out of range: the cache then seems to be confirmed in the future.
func TestAgeOutOfRangeDoesNotEndReading(t *testing.T) {
	for _, us := range []uint64{1 << 63, 1<<64 - 1, 9_300_000_000_000_000} {
		cache, peers := newTestCache(), NewPeers(Peer{Name: "entry-1"}, nil)
		s := NewSyncer("entry-1", 3*time.Second, cache, peers, nil, NewMetrics(prometheus.NewRegistry(), cache, peers), zap.NewNop())
		s.scheduler.SetPeers([]string{"entry-2", "entry-3", "entry-4", "entry-5"})
		if s.scheduler.Readers(0)[0] == "entry-1" {
			t.Fatal("a reader reads whatever the age of its cache")
		}
		configuration, err := encodeConfiguration(&directory.Configuration{Version: 1, Revision: common.Revision{Number: 1}})
		if err != nil {
			t.Fatal(err)
		}
		s.handleResponse("entry-2", &syncpb.FetchResponse{
			Known: true, Reads: true, AgeUs: us, ReturnedUs: us, Full: true, EndpointsRevision: 1, Configuration: configuration,
		}, nil, cache.Now())
		if now := cache.Now() + 2*freshness.SettingsFor(3*time.Second).MaxAge; !s.scheduler.Next(now).Read {
			t.Errorf("age of %d us: no read is due", us)
		}
	}
}
