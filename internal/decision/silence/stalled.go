package silence

import "time"

const (
	// stallFactor is the age of an unanswered request, as a multiple of the longest recent
	// response time of the service, from which on its endpoint may have stalled. An endpoint
	// that is slowed six times answers its slowest requests after six times that time.
	stallFactor = 8
	// MinStall is the minimum age of such a request. Responses are late by 200 ms and 600 ms
	// after lost packets.
	MinStall = 800 * time.Millisecond
	// MaxStallCheckTime is how soon after connecting a health check must be answered to show
	// that the endpoint has a free slot. A check that waits for one takes longer.
	MaxStallCheckTime = 50 * time.Millisecond
	// MinPassedChecks is the number of successive checks that must pass.
	MinPassedChecks = 2
	// stallCheckInterval is the minimum time between two attempts to confirm a stall.
	stallCheckInterval = 500 * time.Millisecond
	// minServiceResponses is the number of recent responses of the service from which on the
	// longest of them shows how long its slowest requests take, minRuleResponses that of the
	// rule, whose requests may take longer than those of other rules of the service.
	minServiceResponses = 200
	minRuleResponses    = 50
	// bucketTime and recentBuckets make the window of recent responses 30 s to 35 s long.
	bucketTime    = 5 * time.Second
	recentBuckets = 7
)

// RecentResponses holds the number and the longest of the response times of the last 30 s.
// The zero value holds none.
type RecentResponses struct{ buckets [recentBuckets]responseBucket }

// responseBucket holds the responses of one period of bucketTime.
type responseBucket struct {
	period  time.Duration
	count   int
	longest time.Duration
}

// Add records a response that took a time.
func (r *RecentResponses) Add(now, took time.Duration) {
	period := now / bucketTime
	b := &r.buckets[period%recentBuckets]
	if b.period != period {
		*b = responseBucket{period: period}
	}
	b.count++
	b.longest = max(b.longest, took)
}

// Longest returns the longest response time, 0 if there was no response.
func (r *RecentResponses) Longest(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, b := range r.buckets {
		if b.recent(now) {
			longest = max(longest, b.longest)
		}
	}
	return longest
}

// Representative reports whether there were enough responses of a rule to know how long its
// requests take.
func (r *RecentResponses) Representative(now time.Duration) bool {
	return r.count(now) >= minRuleResponses
}

func (r *RecentResponses) count(now time.Duration) int {
	count := 0
	for _, b := range r.buckets {
		if b.recent(now) {
			count += b.count
		}
	}
	return count
}

func (b *responseBucket) recent(now time.Duration) bool {
	return now/bucketTime-b.period < recentBuckets
}

// Answers is what one instance has seen of the answers of one service. E identifies an
// endpoint. The zero value is that of a service without answers.
type Answers[E comparable] struct {
	responses RecentResponses
	// latest is the answer to the request that was sent last, other the one to the request
	// that was sent last to another endpoint.
	latest, other answer[E]
}

type answer[E comparable] struct {
	endpoint E
	sentAt   time.Duration
}

// Add records that an endpoint has answered a request, a time of took after it.
func (a *Answers[E]) Add(now time.Duration, endpoint E, took time.Duration) {
	a.responses.Add(now, took)
	given := answer[E]{endpoint: endpoint, sentAt: now - took}
	switch {
	case endpoint == a.latest.endpoint:
		a.latest.sentAt = max(a.latest.sentAt, given.sentAt)
	case given.sentAt > a.latest.sentAt:
		a.latest, a.other = given, a.latest
	case given.sentAt > a.other.sentAt:
		a.other = given
	}
}

// Elsewhere reports whether another endpoint has answered a request that was sent after
// sentAt. Then neither the instance, nor the path, nor the whole service has failed.
func (a *Answers[E]) Elsewhere(endpoint E, sentAt time.Duration) bool {
	if a.latest.endpoint == endpoint {
		return a.other.sentAt > sentAt
	}
	return a.latest.sentAt > sentAt
}

// MinAge returns the age of an unanswered request from which on its endpoint may have
// stalled. known is false if there were too few responses to know it.
func (a *Answers[E]) MinAge(now time.Duration) (age time.Duration, known bool) {
	return max(stallFactor*a.responses.Longest(now), MinStall), a.responses.count(now) >= minServiceResponses
}

// Stall is the evidence that one endpoint accepts requests and answers none. The zero value
// is that of an endpoint without evidence.
type Stall struct {
	noticed bool
	// sentAt is when the oldest request without an answer was sent, noticedAt when it had
	// reached the minimum age.
	sentAt, noticedAt time.Duration
	passedChecks      int
	// checked is set once an attempt to confirm the stall has started, the last one at
	// checkedAt.
	checked   bool
	checkedAt time.Duration
}

// Unanswered records that a request sent at sentAt is the oldest one without an answer and
// has reached the minimum age. Evidence about another request is discarded.
func (s *Stall) Unanswered(now, sentAt time.Duration) {
	if s.noticed && s.sentAt == sentAt {
		return
	}
	*s = Stall{noticed: true, sentAt: sentAt, noticedAt: now, checked: s.checked, checkedAt: s.checkedAt}
}

// StartCheck reports whether health checks are needed now, and records that they start.
func (s *Stall) StartCheck(now time.Duration) bool {
	if !s.noticed || s.passedChecks >= MinPassedChecks || s.checked && now-s.checkedAt < stallCheckInterval {
		return false
	}
	s.checked, s.checkedAt, s.passedChecks = true, now, 0
	return true
}

// Checked records a health check that started at startedAt. passed is set if the endpoint
// answered it in time. A check that started before the stall was noticed proves nothing.
func (s *Stall) Checked(startedAt time.Duration, passed bool) {
	switch {
	case !s.noticed || startedAt < s.noticedAt:
	case passed:
		s.passedChecks++
	default:
		s.passedChecks = 0
	}
}

// Stalled returns the verdict. progressAt is when the endpoint last started a response,
// minAge the result of MinAge, and elsewhere that of Elsewhere for SentAt.
func (s *Stall) Stalled(now, progressAt, minAge time.Duration, elsewhere bool) bool {
	return s.noticed && elsewhere && s.passedChecks >= MinPassedChecks && progressAt <= s.sentAt && now-s.sentAt >= minAge
}

// SentAt returns when the oldest request without an answer was sent.
func (s *Stall) SentAt() time.Duration { return s.sentAt }
