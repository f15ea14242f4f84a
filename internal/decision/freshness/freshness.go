// Package freshness schedules how an instance keeps its cache of the store fresh: when it
// queries a peer, and which one, and when it reads the store itself.
//
// Calls to the store must be few, while bytes between peers are cheap. All instances
// compute the same order of the peers. The first one in it that responds is the reader: it
// reads the store at intervals, and the others query it. The age of an instance's cache is
// the time since the start of the linearizable read that confirmed its contents. If the age
// reaches a limit, the instance reads the store itself, whatever has failed: the reader, the
// paths between peers, or a store that sends nothing to its watchers. The package reads no
// clock.
package freshness

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings are the parameters of a Scheduler.
type Settings struct {
	// Interval is the time between two reads by the reader, and between two queries by
	// the other instances.
	Interval time.Duration
	// MaxAge is the age at which an instance reads the store itself.
	MaxAge time.Duration
	// FollowersPerReader is the maximum number of instances that query one reader.
	FollowersPerReader int
	// PeerBackoff is how long a peer that did not respond is skipped. It doubles with
	// each further failure up to MaxPeerBackoff.
	PeerBackoff, MaxPeerBackoff time.Duration
	// MaxReadBackoff is the maximum time between two reads while reads fail.
	MaxReadBackoff time.Duration
	// GossipInterval is the time between queries to random peers.
	GossipInterval time.Duration
	// OutageAge is the age from which the next confirmation counts as the end of an
	// outage of the store.
	OutageAge time.Duration
	// ReadTimeout and QueryTimeout are how long a read and a query may go without a result
	// before they count as failed, so that a result that is never reported does not end
	// reading. EmptyReadTimeout replaces ReadTimeout while the cache is empty.
	ReadTimeout, EmptyReadTimeout, QueryTimeout time.Duration
}

const (
	// Interval is the apply deadline divided by intervalsPerDeadline, limited to the
	// range from minInterval to maxInterval.
	intervalsPerDeadline = 4
	minInterval          = 100 * time.Millisecond
	maxInterval          = 1500 * time.Millisecond
	// maxAgeIntervals is MaxAge in intervals. With intervalsPerDeadline it leaves half the
	// deadline for the read itself, whose first connection may turn out to be
	// unresponsive.
	maxAgeIntervals           = 2
	defaultFollowersPerReader = 64
	defaultPeerBackoff        = 2 * time.Second
	defaultMaxPeerBackoff     = 30 * time.Second
	// minOutageAge is less than the time after which entries expire in an outage, which
	// is three heartbeats of the endpoints.
	minOutageAge = 1600 * time.Millisecond
	// emptyReadInterval is the time between failed reads while the cache is empty,
	// emptyQueryInterval the time between queries to peers meanwhile.
	emptyReadInterval  = 100 * time.Millisecond
	emptyQueryInterval = 50 * time.Millisecond
	// Interval/readMarginDivisor is the time that a reader is given to finish a read.
	readMarginDivisor = 16
	// Interval/minQueryDivisor is the minimum time between queries.
	minQueryDivisor = 4
	// Interval/firstRetryDivisor is the time until the first retry of a read. A single
	// failure is most often caused by an unresponsive connection.
	firstRetryDivisor = 8
	// maxDoublings limits the exponential backoff of reads and peers.
	maxDoublings = 8
	// gossipIntervals is GossipInterval in intervals.
	gossipIntervals = 4
	// failedQueriesPerInterval is the number of queries per interval while none returns
	// fresh contents, for example in an outage of the store.
	failedQueriesPerInterval = 3
	// Interval/staggerDivisor is the time over which the instances spread their reads
	// when all of them start to read the store themselves, so that the first ones can
	// pass their result to the others.
	staggerDivisor = 4
	// minLongReadDelay is the minimum time, from the start of a read, before an instance
	// continues with a long list. It learns of most peers in that time. longReadSpacing
	// is the time between two instances that continue, because the store is overloaded
	// if all of them continue together.
	minLongReadDelay = 500 * time.Millisecond
	longReadSpacing  = 50 * time.Millisecond
	maxLongReadDelay = 5 * time.Second
	// minReadTimeout is longer than the time after which a caller reports a read that has no
	// response yet.
	minReadTimeout = 600 * time.Millisecond
	// emptyReadTimeout is longer than an overloaded store takes to send a long list.
	emptyReadTimeout = 30 * time.Second
	// minQueryTimeout and the apply deadline divided by queryTimeoutDivisor are longer than
	// the time after which a caller gives up a query.
	minQueryTimeout     = 3 * time.Second
	queryTimeoutDivisor = 5
)

// SettingsFor returns the settings for an apply deadline: the maximum time between a change
// in the store and its effect on an instance.
func SettingsFor(applyDeadline time.Duration) Settings {
	interval := min(max(applyDeadline/intervalsPerDeadline, minInterval), maxInterval)
	return Settings{
		Interval:           interval,
		MaxAge:             maxAgeIntervals * interval,
		FollowersPerReader: defaultFollowersPerReader,
		PeerBackoff:        defaultPeerBackoff,
		MaxPeerBackoff:     defaultMaxPeerBackoff,
		MaxReadBackoff:     interval,
		GossipInterval:     gossipIntervals * interval,
		OutageAge:          max(minOutageAge, interval*5/4),
		ReadTimeout:        max(minReadTimeout, interval),
		EmptyReadTimeout:   emptyReadTimeout,
		QueryTimeout:       max(minQueryTimeout, applyDeadline/queryTimeoutDivisor),
	}
}

// Scheduler schedules the reads and queries of one instance. It is not safe for concurrent
// use. Times are durations since an arbitrary fixed point.
type Scheduler struct {
	settings Settings
	self     string
	// order holds the peers and the instance itself in the common order, byName the same
	// by name.
	order  []*peer
	byName map[string]*peer

	// cacheFilled is set once the cache has contents, confirmedAt is when they were last
	// known to be current.
	cacheFilled bool
	confirmedAt time.Duration

	reading       bool
	readStartedAt time.Duration
	// readFailures counts the failed reads since the last confirmation. lastReadFailed
	// is set if the last read failed.
	readFailures   int
	lastReadFailed bool
	nextRead       time.Duration
	// queriedPeer is the peer with a query in flight since queriedAt, "" if there is none.
	queriedPeer   string
	queriedAt     time.Duration
	nextQuery     time.Duration
	nextGossip    time.Duration
	random        *rand.Rand
	queryIsGossip bool
	// queriedReader is set if the last query with an empty cache went to the reader.
	queriedReader bool
	// failedQueries counts the queries since the last fresh result.
	failedQueries int
	noReadYet     bool
	// firstReadAt is the earliest time of the first read.
	firstReadAt time.Duration
	// staggerDelay is this instance's delay beyond MaxAge before it reads the store.
	staggerDelay time.Duration
}

// NewScheduler returns the scheduler of an instance with an empty cache and no peers.
func NewScheduler(self string, settings Settings) *Scheduler {
	s := &Scheduler{settings: settings, self: self, noReadYet: true, random: rand.New(rand.NewPCG(xxhash.Sum64String(self), 0))}
	s.staggerDelay = settings.Interval / staggerDivisor * time.Duration(xxhash.Sum64String(self)%staggerDivisor) / staggerDivisor
	s.SetPeers(nil)
	return s
}

// SetSettings replaces the settings.
func (s *Scheduler) SetSettings(settings Settings) { s.settings = settings }

// Interval returns the time between two queries to the reader.
func (s *Scheduler) Interval() time.Duration { return s.settings.Interval }

// Age returns the age of the instance's cache, and false if the cache is empty.
func (s *Scheduler) Age(now time.Duration) (time.Duration, bool) {
	return max(now-s.confirmedAt, 0), s.cacheFilled
}

// ReadOverdue reports whether the cache is old although a read and its retry would have
// ended since lastEnd, when a read last ended.
func (s *Scheduler) ReadOverdue(lastEnd, now time.Duration) bool {
	age, filled := s.Age(now)
	return filled && min(age, now-lastEnd) > s.settings.MaxAge+s.settings.ReadTimeout+s.settings.MaxReadBackoff
}

// Step is what to do now: read the store if Read is set, and query the peer Query if it is
// not "". Next must be called again at Wake at the latest.
type Step struct {
	Read  bool
	Query string
	Wake  time.Duration
	// ReadLost is set if the last read counts as failed now because its result is missing.
	ReadLost bool
}

// Next returns what to do now and assumes that the caller does it.
func (s *Scheduler) Next(now time.Duration) Step {
	step := Step{Wake: now + s.settings.Interval}
	s.expireQuery(now)
	step.ReadLost = s.expireRead(now)
	reader := s.reader(now)
	if s.nextGossip == 0 {
		s.nextGossip = now + s.settings.GossipInterval
	}
	switch {
	case !s.cacheFilled:
		s.planEmptyQuery(&step, reader, now)
	case now >= s.nextGossip && len(s.order) > 1:
		s.planGossip(&step, now)
	case reader != s.self:
		s.planQuery(&step, reader, now)
	}
	s.planRead(&step, reader == s.self, now)
	return step
}

func (s *Scheduler) planRead(step *Step, isReader bool, now time.Duration) {
	if s.reading {
		step.Wake = min(step.Wake, s.readExpiry())
		return
	}
	due := s.readDue(isReader)
	if now < due {
		step.Wake = min(step.Wake, due)
		return
	}
	s.reading, s.noReadYet = true, false
	s.readStartedAt = now
	step.Read = true
}

// readExpiry returns when the read in flight counts as failed.
func (s *Scheduler) readExpiry() time.Duration {
	if !s.cacheFilled {
		return s.readStartedAt + s.settings.EmptyReadTimeout
	}
	return s.readStartedAt + s.settings.ReadTimeout
}

// expireRead ends a read whose result is missing, and reports whether there is one.
func (s *Scheduler) expireRead(now time.Duration) bool {
	if !s.reading || now < s.readExpiry() {
		return false
	}
	s.ReadDone(now, false)
	return true
}

func (s *Scheduler) readDue(isReader bool) time.Duration {
	switch {
	case s.noReadYet && !s.cacheFilled:
		return s.firstReadAt
	case !s.cacheFilled:
		return s.nextRead
	case isReader:
		return s.nextRead
	default:
		return max(s.nextRead, s.confirmedAt+s.settings.MaxAge+s.staggerDelay)
	}
}

// DelayFirstRead delays the first read of an instance that has just started until the given
// time, so that it can get the contents from a peer first.
func (s *Scheduler) DelayFirstRead(until time.Duration) { s.firstReadAt = until }

// ReadsStore reports whether the instance has recently read the store with success.
func (s *Scheduler) ReadsStore(now time.Duration) bool {
	return s.cacheFilled && !s.lastReadFailed && now-s.readStartedAt < s.settings.MaxAge
}

// Confirm records that the contents of the cache were current at a time. It reports whether
// this is later than the last confirmation.
func (s *Scheduler) Confirm(at time.Duration) bool {
	if s.cacheFilled && at <= s.confirmedAt {
		return false
	}
	s.cacheFilled, s.confirmedAt = true, at
	s.readFailures = 0
	return true
}

// ReadDone records the end of a read of the store.
func (s *Scheduler) ReadDone(now time.Duration, success bool) {
	s.reading, s.lastReadFailed = false, !success
	if success {
		s.readFailures = 0
		s.nextRead = s.readStartedAt + s.settings.Interval
		return
	}
	s.readFailures++
	if !s.cacheFilled {
		s.nextRead = now + emptyReadInterval
		return
	}
	backoff := s.settings.Interval / firstRetryDivisor << min(s.readFailures-1, maxDoublings)
	s.nextRead = now + min(backoff, s.settings.MaxReadBackoff)
}
