// Package freshness decides when an instance asks which peer for what it knows of
// the store, and when it reads the store itself.
//
// Calls to the store are few and bytes between peers are cheap. So the peers form
// one order that all instances compute alike; the first one that answers, the
// reader, reads the store at intervals, and the others ask it. What an instance
// knows has an age: the time since a linearizable read began that confirmed it.
// An age above a limit is what makes an instance read by itself, whatever has
// failed: the reader, the paths between peers, or a store that tells its watchers
// nothing. Time is passed in.
package freshness

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings are the limits of a plan.
type Settings struct {
	// Interval is the time between two reads of the reader, and between two
	// questions of the others.
	Interval time.Duration
	// MaxAge is the age from which an instance reads the store itself.
	MaxAge time.Duration
	// FollowersPerReader bounds how many instances one reader answers.
	FollowersPerReader int
	// PeerBackoff is how long a peer that did not answer is passed over; it doubles
	// with each failure up to MaxPeerBackoff.
	PeerBackoff, MaxPeerBackoff time.Duration
	// MaxReadBackoff bounds the time between reads that fail.
	MaxReadBackoff time.Duration
	// GossipInterval is the time between questions to other peers than the reader.
	GossipInterval time.Duration
	// OutageAge is the age at which the next confirmation counts as the store's
	// return from an outage.
	OutageAge time.Duration
}

const (
	intervalsPerBound = 4
	minInterval       = 100 * time.Millisecond
	maxInterval       = 1500 * time.Millisecond
	// maxAgeIntervals is the limit of the age in intervals. With intervalsPerBound
	// it leaves half the bound for the read itself, which may find its first
	// connection silent.
	maxAgeIntervals           = 2
	defaultFollowersPerReader = 64
	defaultPeerBackoff        = 2 * time.Second
	defaultMaxPeerBackoff     = 30 * time.Second
	// minOutageAge is below the time in which entries expire in an outage, three
	// heartbeats of the endpoints.
	minOutageAge = 1600 * time.Millisecond
	// emptyReadInterval is the time between failing reads while nothing is known,
	// blankAskInterval the time between questions to peers.
	emptyReadInterval  = 100 * time.Millisecond
	emptyQueryInterval = 50 * time.Millisecond
	// readMarginDivisor is the part of an interval that is left to the reader for a read.
	readMarginDivisor = 16
	// minQueryDivisor is the part of an interval that is at least between questions.
	minQueryDivisor = 4
	// firstRetryDivisor is the part of an interval before the first repetition of a
	// read: a single failure is most often a connection that has gone silent.
	firstRetryDivisor = 8
	// maxDoublings bounds the growth of the time between failing reads.
	maxDoublings = 8
	// gossipIntervals is the time between questions to other peers in intervals.
	gossipIntervals = 4
	// failedQueriesPerInterval is the number of questions in an interval when none is answered with
	// fresh knowledge, as while the store is away for all.
	failedQueriesPerInterval = 3
	// staggerDivisor spreads the instances over a quarter of an interval when all start
	// to read by themselves, so that the first ones can tell the others.
	staggerDivisor = 4
	// minLongReadDelay is how long an instance waits at least, from the start of a
	// read, before it goes on with a long list: it hears of most peers in that time.
	// longReadInterval is the time between two instances that go on, because all
	// together ask more of the store than it can give.
	minLongReadDelay = 500 * time.Millisecond
	longReadSpacing  = 50 * time.Millisecond
	maxLongReadDelay = 5 * time.Second
)

// SettingsFor returns the settings that keep a bound between a change in the
// store and its effect.
func SettingsFor(bound time.Duration) Settings {
	interval := min(max(bound/intervalsPerBound, minInterval), maxInterval)
	return Settings{
		Interval:           interval,
		MaxAge:             maxAgeIntervals * interval,
		FollowersPerReader: defaultFollowersPerReader,
		PeerBackoff:        defaultPeerBackoff,
		MaxPeerBackoff:     defaultMaxPeerBackoff,
		MaxReadBackoff:     interval,
		GossipInterval:     gossipIntervals * interval,
		OutageAge:          max(minOutageAge, interval*5/4),
	}
}

// Scheduler is the plan of one instance.
type Scheduler struct {
	settings Settings
	self     string
	// order holds the peers and the instance itself, byName the same by name.
	order  []*peer
	byName map[string]*peer

	known       bool
	confirmedAt time.Duration

	reading       bool
	readStartedAt time.Duration
	// readFailures counts the reads that failed since the last confirmation;
	// turnedAway is set when the last read failed.
	readFailures   int
	lastReadFailed bool
	nextRead       time.Duration
	queriedPeer    string
	nextQuery      time.Duration
	nextGossip     time.Duration
	random         *rand.Rand
	queryIsGossip  bool
	// queriedReader is set when the last question without any knowledge went to the reader.
	queriedReader bool
	// failedQueries counts the questions since the last one with a fresh answer.
	failedQueries int
	noReadYet     bool
	firstReadAt   time.Duration
	staggerDelay  time.Duration
}

// NewScheduler returns the plan of an instance that knows nothing.
func NewScheduler(self string, settings Settings) *Scheduler {
	p := &Scheduler{settings: settings, self: self, noReadYet: true, random: rand.New(rand.NewPCG(xxhash.Sum64String(self), 0))}
	p.staggerDelay = settings.Interval / staggerDivisor * time.Duration(xxhash.Sum64String(self)%staggerDivisor) / staggerDivisor
	p.SetPeers(nil)
	return p
}

// SetSettings changes the limits.
func (p *Scheduler) SetSettings(settings Settings) { p.settings = settings }

// Age returns the time since what is known was confirmed, false when nothing is
// known.
func (p *Scheduler) Age(now time.Duration) (time.Duration, bool) {
	return max(now-p.confirmedAt, 0), p.known
}

// Step is what to do now. Wake is when to ask for the next step if nothing has
// happened before.
type Step struct {
	Read  bool
	Query string
	Wake  time.Duration
}

// Next returns what to do now.
func (p *Scheduler) Next(now time.Duration) Step {
	step := Step{Wake: now + p.settings.Interval}
	reader := p.reader(now)
	if p.nextGossip == 0 {
		p.nextGossip = now + p.settings.GossipInterval
	}
	switch {
	case !p.known:
		p.planEmptyQuery(&step, reader, now)
	case now >= p.nextGossip && len(p.order) > 1:
		p.planGossip(&step, now)
	case reader != p.self:
		p.planQuery(&step, reader, now)
	}
	p.planRead(&step, reader == p.self, now)
	return step
}

func (p *Scheduler) planRead(step *Step, isReader bool, now time.Duration) {
	if p.reading {
		return
	}
	due := p.readDue(isReader)
	if now < due {
		step.Wake = min(step.Wake, due)
		return
	}
	p.reading, p.noReadYet = true, false
	p.readStartedAt = now
	step.Read = true
}

func (p *Scheduler) readDue(isReader bool) time.Duration {
	switch {
	case p.noReadYet && !p.known:
		return p.firstReadAt
	case !p.known:
		return p.nextRead
	case isReader:
		return p.nextRead
	default:
		return max(p.nextRead, p.confirmedAt+p.settings.MaxAge+p.staggerDelay)
	}
}

// DelayFirstRead puts off the first read of an instance that has just started, so
// that peers can tell it what they know.
func (p *Scheduler) DelayFirstRead(until time.Duration) { p.firstReadAt = until }

// ReadsStore reports whether the instance reads the store itself and with success.
func (p *Scheduler) ReadsStore(now time.Duration) bool {
	return p.known && !p.lastReadFailed && now-p.readStartedAt < p.settings.MaxAge
}

// Confirm notes that what is known was current at a time, and reports whether
// that is news.
func (p *Scheduler) Confirm(at time.Duration) bool {
	if p.known && at <= p.confirmedAt {
		return false
	}
	p.known, p.confirmedAt = true, at
	p.readFailures = 0
	return true
}

// ReadDone notes the end of a read of the store.
func (p *Scheduler) ReadDone(now time.Duration, success bool) {
	p.reading, p.lastReadFailed = false, !success
	if success {
		p.readFailures = 0
		p.nextRead = p.readStartedAt + p.settings.Interval
		return
	}
	p.readFailures++
	if !p.known {
		p.nextRead = now + emptyReadInterval
		return
	}
	backoff := p.settings.Interval / firstRetryDivisor << min(p.readFailures-1, maxDoublings)
	p.nextRead = now + min(backoff, p.settings.MaxReadBackoff)
}
