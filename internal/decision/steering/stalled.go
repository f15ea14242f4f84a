package steering

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/silence"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// stalls is the evidence by which endpoints are found that accept requests and answer none.
// Its lock may be taken while a shard is locked, but not the other way round.
type stalls struct {
	enabled  atomic.Bool
	mu       sync.Mutex
	services map[*selection.Pool]*silence.Answers[*selection.Member]
	rules    map[common.ServiceAddress]*silence.RecentResponses
	// evidence holds the endpoints that may have stalled and those that have.
	evidence map[*selection.Member]*silence.Stall
}

// StallVerdict is the verdict that an endpoint accepts requests and answers none.
type StallVerdict struct {
	Member *selection.Member
	// UnansweredFor is the age of the oldest request, MinAge the age that it had to reach.
	UnansweredFor, MinAge time.Duration
}

// StallReview is what follows from the present evidence on stalled endpoints.
type StallReview struct {
	// Check lists the endpoints whose health must be checked. Each result must be passed
	// to StallChecked.
	Check    []*selection.Member
	Verdicts []StallVerdict
	// Closed lists the flows whose callers must be sent a reset.
	Closed []ClosedFlow
}

// unansweredMember is an endpoint that has started no response for minAge.
type unansweredMember struct {
	minAge time.Duration
	// oldest is when the oldest request was sent that has got no response since, 0 if the
	// table has no such request that counts as evidence.
	oldest time.Duration
}

// DetectStalled switches the detection of stalled endpoints on or off. All evidence and
// verdicts are discarded when it is switched off.
func (t *Table) DetectStalled(enabled bool, now time.Duration) {
	if t.stalls.enabled.Swap(enabled) && !enabled {
		t.stalls.discard(now)
	}
}

// DetectsStalled reports whether stalled endpoints are detected.
func (t *Table) DetectsStalled() bool { return t.stalls.enabled.Load() }

// discard discards all evidence and verdicts.
func (s *stalls) discard(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for m := range s.evidence {
		m.DiscardStalled(now)
	}
	s.evidence, s.services, s.rules = nil, nil, nil
}

// responded records the response that a packet acknowledges, if any. packetShard is
// the locked shard of the packet. The response time counts from the last byte of the request, because a caller
// may open its flow long before it sends a request.
func (s *stalls) responded(packetShard *shard, p *Packet, action *Action, now time.Duration) {
	if action.Response <= 0 || !s.enabled.Load() {
		return
	}
	took := action.Response
	if f := packetShard.flows[p.Tuple]; f != nil && f.dataAt < now {
		took = now - f.dataAt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[*selection.Pool]*silence.Answers[*selection.Member])
		s.rules = make(map[common.ServiceAddress]*silence.RecentResponses)
	}
	pool, address := action.Member.Pool(), destination(&p.Tuple)
	if s.services[pool] == nil {
		s.services[pool] = &silence.Answers[*selection.Member]{}
	}
	if s.rules[address] == nil {
		s.rules[address] = &silence.RecentResponses{}
	}
	s.services[pool].Add(now, action.Member, took)
	s.rules[address].Add(now, took)
}

// StallChecked records the result of a health check that started at startedAt.
func (t *Table) StallChecked(m *selection.Member, startedAt time.Duration, passed bool) {
	t.stalls.mu.Lock()
	defer t.stalls.mu.Unlock()
	if e := t.stalls.evidence[m]; e != nil {
		e.Checked(startedAt, passed)
	}
}

// ReviewStalls judges the endpoints that answer no requests, and closes the flows of those
// that have stalled. It must be called regularly and after checks.
func (t *Table) ReviewStalls(v *View, now time.Duration) StallReview {
	if !t.stalls.enabled.Load() {
		return StallReview{}
	}
	members := t.stalls.unansweredMembers(v, now)
	if len(members) == 0 {
		return StallReview{}
	}
	for i := range t.shards {
		t.shards[i].findOldest(&t.stalls, members, now)
	}
	review := t.stalls.judge(members, now)
	maps.DeleteFunc(members, func(m *selection.Member, _ *unansweredMember) bool { return !m.Stalled() })
	if len(members) == 0 {
		return review
	}
	for i := range t.shards {
		review.Closed = t.closeStalled(&t.shards[i], v, members, now, review.Closed)
	}
	return review
}

// unansweredMembers returns the endpoints that have started no response for long enough, and
// discards the evidence about the others.
func (s *stalls) unansweredMembers(v *View, now time.Duration) map[*selection.Member]*unansweredMember {
	s.mu.Lock()
	defer s.mu.Unlock()
	var members map[*selection.Member]*unansweredMember
	for pool, answers := range s.services {
		minAge, known := answers.MinAge(now)
		if !known {
			continue
		}
		for _, m := range pool.Unanswered(now, minAge) {
			if members == nil {
				members = make(map[*selection.Member]*unansweredMember)
			}
			members[m] = &unansweredMember{minAge: minAge}
		}
	}
	for m := range s.evidence {
		if members[m] == nil && (!m.Stalled() || !slices.Contains(v.members, m)) {
			delete(s.evidence, m)
		}
	}
	return members
}

// findOldest finds the oldest request to each of the endpoints that has got no response and
// whose endpoint has started none since.
func (s *shard) findOldest(stalls *stalls, members map[*selection.Member]*unansweredMember, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		u := members[f.member]
		if u == nil || !f.awaitsResponse() || now-f.dataAt < u.minAge || u.oldest > 0 && f.dataAt >= u.oldest {
			continue
		}
		if since, unanswered := f.member.UnansweredSince(); unanswered && since <= f.dataAt && stalls.countsAsEvidence(f, now) {
			u.oldest = f.dataAt
		}
	}
}

// awaitsResponse reports whether the flow is open and a request that was sent on it has got no
// response.
func (f *flow) awaitsResponse() bool { return f.established && f.inFlight && f.requests > 0 }

// countsAsEvidence reports whether the response times of the flow's rule are known.
func (s *stalls) countsAsEvidence(f *flow, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rules[destination(&f.tuple)]
	return r != nil && r.Representative(now)
}

// judge returns the endpoints to check and the verdicts.
func (s *stalls) judge(members map[*selection.Member]*unansweredMember, now time.Duration) StallReview {
	s.mu.Lock()
	defer s.mu.Unlock()
	var review StallReview
	for m, u := range members {
		answers := s.services[m.Pool()]
		if u.oldest == 0 || answers == nil || m.Stalled() || !answers.Elsewhere(m, u.oldest) {
			continue
		}
		e := s.evidence[m]
		if e == nil {
			e = &silence.Stall{}
			if s.evidence == nil {
				s.evidence = make(map[*selection.Member]*silence.Stall)
			}
			s.evidence[m] = e
		}
		e.Unanswered(now, u.oldest)
		since, _ := m.UnansweredSince()
		switch {
		case e.StartCheck(now):
			review.Check = append(review.Check, m)
		case e.Stalled(now, since, u.minAge, true) && m.MarkStalled(now, u.oldest):
			review.Verdicts = append(review.Verdicts, StallVerdict{Member: m, UnansweredFor: now - u.oldest, MinAge: u.minAge})
		}
	}
	return review
}

// answeredElsewhere reports whether another endpoint of the service has answered a request
// that was sent after the flow's request in flight.
func (s *stalls) answeredElsewhere(f *flow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers := s.services[f.member.Pool()]
	return answers != nil && answers.Elsewhere(f.member, f.dataAt)
}

// closeStalled closes the flows of stalled endpoints whose request may be repeated and has
// waited for long enough, as far as the budget of hedges allows, and returns them.
func (t *Table) closeStalled(s *shard, v *View, members map[*selection.Member]*unansweredMember, now time.Duration, into []ClosedFlow) []ClosedFlow {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		u := members[f.member]
		if u == nil || !f.awaitsResponse() || now-f.dataAt < u.minAge || !v.repeatable(f) {
			continue
		}
		// The endpoint may have answered since the verdict.
		if !f.member.Stalled() || !t.stalls.countsAsEvidence(f, now) || !t.stalls.answeredElsewhere(f) {
			continue
		}
		if !t.hedging.take(f.member.Pool().Service(), now) {
			continue
		}
		f.close(now)
		f.stalled = true
		into = append(into, f.closedFlow(now))
	}
	return into
}

// repeatable reports whether the rule of a flow is still in force and allows that its requests
// run more than once.
func (v *View) repeatable(f *flow) bool {
	r := v.routes[destination(&f.tuple)]
	return r != nil && r.rule.Repeatable && r.serves(f.member.Pool())
}

// closedCode returns the result code of packets of a flow that was closed.
func (f *flow) closedCode() resultcode.Code {
	if f.stalled {
		return resultcode.RouteEndpointStalled
	}
	return resultcode.RouteEndpointSilent
}
