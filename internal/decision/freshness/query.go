package freshness

import "time"

// planGossip queries a random peer, which merges groups of instances that do not know of
// each other's members and so each have a reader of their own.
func (s *Scheduler) planGossip(step *Step, now time.Duration) {
	if s.queriedPeer != "" {
		return
	}
	s.nextGossip = now + s.settings.GossipInterval
	if step.Query = s.randomPeer(now); step.Query != "" {
		s.queriedPeer, s.queriedAt, s.queryIsGossip = step.Query, now, true
	}
}

// randomPeer returns a random peer that is not in backoff, "" if there is none. Each
// instance has its own random seed, so that they do not all query the same peer.
func (s *Scheduler) randomPeer(now time.Duration) string {
	first := s.random.IntN(len(s.order))
	for i := range s.order {
		candidate := s.order[(first+i)%len(s.order)]
		if candidate.name != s.self && candidate.backoffUntil <= now {
			return candidate.name
		}
	}
	return ""
}

// planEmptyQuery alternates between the reader and random peers while the cache is empty.
// The contents thus spread from every instance that has them, so that the store and the
// readers need not supply all instances.
func (s *Scheduler) planEmptyQuery(step *Step, reader string, now time.Duration) {
	if !s.queryDue(step, now) {
		return
	}
	s.queriedReader = !s.queriedReader && reader != s.self
	if step.Query = reader; !s.queriedReader {
		step.Query = s.randomPeer(now)
	}
	if step.Query != "" {
		s.queriedPeer, s.queriedAt = step.Query, now
		s.nextQuery = now + emptyQueryInterval
	}
}

// expireQuery ends a query whose result is missing.
func (s *Scheduler) expireQuery(now time.Duration) {
	if s.queriedPeer != "" && now >= s.queriedAt+s.settings.QueryTimeout {
		s.QueryDone(now, s.queriedPeer, NoResponse, 0)
	}
}

// queryDue reports whether the next query may be sent now. If not, and if no query is in
// flight, it sets the step's wake-up time to the time of the next query.
func (s *Scheduler) queryDue(step *Step, now time.Duration) bool {
	if s.queriedPeer != "" {
		return false
	}
	if now < s.nextQuery {
		step.Wake = min(step.Wake, s.nextQuery)
		return false
	}
	return true
}

func (s *Scheduler) planQuery(step *Step, reader string, now time.Duration) {
	if !s.queryDue(step, now) {
		return
	}
	s.queriedPeer, s.queriedAt = reader, now
	s.nextQuery = now + s.settings.Interval
	step.Query = reader
}

// QueryResult classifies the result of a query to a peer.
type QueryResult uint8

// The results of queries. A stale peer does not read the store itself, or its cache is not
// younger than MaxAge. It must not count as fresh: the caches of two instances that query
// only each other would both grow old.
const (
	Fresh QueryResult = iota
	Stale
	// Empty means that the peer's cache is empty.
	Empty
	NoResponse
)

// Classify returns the result of a query to a peer whose cache has the given age. reads
// reports whether the peer reads the store itself.
func (s *Scheduler) Classify(reads bool, age time.Duration) QueryResult {
	if reads && age < s.settings.MaxAge {
		return Fresh
	}
	return Stale
}

// QueryDone records the end of a query to a peer and the age of that peer's cache. A peer
// whose result is not fresh is skipped for a time. After a fresh result the next query
// follows the reader's next read.
func (s *Scheduler) QueryDone(now time.Duration, name string, result QueryResult, age time.Duration) {
	s.queriedPeer = ""
	gossip := s.queryIsGossip
	s.queryIsGossip = false
	peer := s.byName[name]
	if peer == nil || gossip && (result == Stale || result == Empty) {
		return
	}
	if result == Empty && s.cacheFilled {
		result = Stale
	}
	switch result {
	case Empty:
		// The peer's cache may be filled soon. If the peer is first in the order, it
		// remains the reader.
		peer.failures = 0
		return
	case Fresh:
		peer.failures, s.failedQueries = 0, 0
		untilRead := s.settings.Interval - age + s.settings.Interval/readMarginDivisor
		s.nextQuery = now + max(untilRead, s.settings.Interval/minQueryDivisor)
		return
	case Stale:
		peer.failures = 0
		peer.backoffUntil = now + s.settings.Interval*3/2
	case NoResponse:
		peer.backoffUntil = now + min(s.settings.PeerBackoff<<min(peer.failures, maxDoublings), s.settings.MaxPeerBackoff)
		peer.failures++
	}
	peer.failedAt = now
	s.failedQueries++
	if s.failedQueries%failedQueriesPerInterval != 0 {
		s.nextQuery = now
	}
}

// PeerSeen records that a peer was running at a time. A peer whose last query failed before
// then may be queried again.
func (s *Scheduler) PeerSeen(name string, at time.Duration) {
	if peer := s.byName[name]; peer != nil && at > peer.failedAt {
		peer.backoffUntil, peer.failures = 0, 0
	}
}
