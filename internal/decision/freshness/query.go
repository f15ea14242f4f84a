package freshness

import "time"

// planGossip asks another instance, so that groups of instances that do not
// know of each other, each with a reader of its own, become one.
func (p *Scheduler) planGossip(step *Step, now time.Duration) {
	if p.queriedPeer != "" {
		return
	}
	p.nextGossip = now + p.settings.GossipInterval
	if step.Query = p.randomPeer(now); step.Query != "" {
		p.queriedPeer, p.queryIsGossip = step.Query, true
	}
}

// randomPeer returns a peer that is not passed over, "" for none. Each instance draws in
// another order, so that they do not all ask the same peer.
func (p *Scheduler) randomPeer(now time.Duration) string {
	first := p.random.IntN(len(p.order))
	for i := range p.order {
		candidate := p.order[(first+i)%len(p.order)]
		if candidate.name != p.self && candidate.backoffUntil <= now {
			return candidate.name
		}
	}
	return ""
}

// planEmptyQuery asks, while nothing is known, the reader and other peers by turns. What
// one of them knows spreads from each instance that has it, so that neither the store
// nor the readers have to tell all.
func (p *Scheduler) planEmptyQuery(step *Step, reader string, now time.Duration) {
	if !p.queryDue(step, now) {
		return
	}
	p.queriedReader = !p.queriedReader && reader != p.self
	if step.Query = reader; !p.queriedReader {
		step.Query = p.randomPeer(now)
	}
	if step.Query != "" {
		p.queriedPeer = step.Query
		p.nextQuery = now + emptyQueryInterval
	}
}

// queryDue reports whether the next question may be asked now, and otherwise puts the time
// of it into the step unless a question is under way.
func (p *Scheduler) queryDue(step *Step, now time.Duration) bool {
	if p.queriedPeer != "" {
		return false
	}
	if now < p.nextQuery {
		step.Wake = min(step.Wake, p.nextQuery)
		return false
	}
	return true
}

func (p *Scheduler) planQuery(step *Step, reader string, now time.Duration) {
	if !p.queryDue(step, now) {
		return
	}
	p.queriedPeer = reader
	p.nextQuery = now + p.settings.Interval
	step.Query = reader
}

// QueryResult is how a peer answered a question.
type QueryResult uint8

// Answers. A stale peer does not read the store itself, or knows nothing newer than
// the limit of the age: two instances that only ask each other would both age.
const (
	Fresh QueryResult = iota
	Stale
	// Empty is the answer of a peer that knows nothing.
	Empty
	NoResponse
)

// Classify returns what an answer with knowledge of an age is worth.
func (p *Scheduler) Classify(reads bool, age time.Duration) QueryResult {
	if reads && age < p.settings.MaxAge {
		return Fresh
	}
	return Stale
}

// QueryDone notes the end of a question and the age of the answer's knowledge. A
// peer that is not fresh is passed over for a time. The next question follows the
// reader's next read.
func (p *Scheduler) QueryDone(now time.Duration, name string, answer QueryResult, age time.Duration) {
	p.queriedPeer = ""
	gossip := p.queryIsGossip
	p.queryIsGossip = false
	asked := p.byName[name]
	if asked == nil || gossip && (answer == Stale || answer == Empty) {
		return
	}
	if answer == Empty && p.known {
		answer = Stale
	}
	switch answer {
	case Empty:
		// The peer may soon know more, and is still the reader if it is the first.
		asked.failures = 0
		return
	case Fresh:
		asked.failures, p.failedQueries = 0, 0
		untilRead := p.settings.Interval - age + p.settings.Interval/readMarginDivisor
		p.nextQuery = now + max(untilRead, p.settings.Interval/minQueryDivisor)
		return
	case Stale:
		asked.failures = 0
		asked.backoffUntil = now + p.settings.Interval*3/2
	case NoResponse:
		asked.backoffUntil = now + min(p.settings.PeerBackoff<<min(asked.failures, maxDoublings), p.settings.MaxPeerBackoff)
		asked.failures++
	}
	asked.failedAt = now
	p.failedQueries++
	if p.failedQueries%failedQueriesPerInterval != 0 {
		p.nextQuery = now
	}
}

// PeerSeen notes that a peer was known to run at a time: one that failed before that
// may be asked again.
func (p *Scheduler) PeerSeen(name string, at time.Duration) {
	if heard := p.byName[name]; heard != nil && at > heard.failedAt {
		heard.backoffUntil, heard.failures = 0, 0
	}
}
