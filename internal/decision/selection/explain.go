package selection

import (
	"cmp"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/internal/directory"
)

// Explanation says what a pool would do with a new flow, and why.
type Explanation struct {
	Service   string
	Admission Admission
	// Candidates holds the endpoints that may be chosen, in the order of preference. The
	// first one would be chosen.
	Candidates []Candidate
	// Excluded holds the others in the order of their names.
	Excluded []Candidate
}

// Admission says whether a pool would admit a new flow.
type Admission struct {
	Admitted bool
	// InFlight is the number of opening requests in flight that count for admission.
	InFlight int
	// Bound is the number of requests in flight from which on a flow of this priority is
	// refused, 0 if there is no limit.
	Bound float64
	// Limited is set if the pool takes no flows that overflow because it has a limit.
	Limited bool
}

// Candidate is an endpoint of a pool as Choose would see it.
type Candidate struct {
	Member    *Member
	Endpoint  directory.Endpoint
	Exclusion Exclusion
	// Condition is the one that Choose would use: it first marks endpoints suspect that did
	// not answer in time.
	Condition           Condition
	InFlight, LongFlows int
	Cost                Cost

	// exact is the cost before it is rounded to ns.
	exact                float64
	lastChosen, tieBreak uint64
}

// Cost is the cost of an endpoint with its parts, whose sum it is.
type Cost struct {
	Total, Response time.Duration
	// InFlight is for the requests in flight, also those that wait for a slot.
	InFlight, LongFlows, Distance, Remote, WarmUp, Failures time.Duration
	// Suspect is for suspect endpoints, silent ones and those on probation with a request
	// in flight.
	Suspect time.Duration
}

// Explain returns what the pool would do with a new flow. level is as in Admit. It changes
// nothing. request.Avoid must be nil.
func (p *Pool) Explain(now time.Duration, level int, request Request) Explanation {
	e := p.snapshot(now, level, &request)
	slices.SortFunc(e.Candidates, compareCandidates)
	slices.SortFunc(e.Excluded, func(a, b Candidate) int { return cmp.Compare(a.Endpoint.Name, b.Endpoint.Name) })
	return e
}

// compareCandidates orders candidates as cheapest does.
func compareCandidates(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.exact, b.exact), cmp.Compare(a.lastChosen, b.lastChosen), cmp.Compare(a.tieBreak, b.tieBreak))
}

// snapshot returns the explanation with its endpoints in no particular order.
func (p *Pool) snapshot(now time.Duration, level int, request *Request) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := Explanation{Service: p.service}
	opening, free := p.load(now)
	e.Admission.InFlight, e.Admission.Limited = opening, p.limiter.Limit() > 0
	e.Admission.Admitted, e.Admission.Bound = p.limiter.Preview(now, opening, free, level)
	suspects := p.nextSuspects(now)
	for _, m := range slices.Concat(p.members, p.unlisted) {
		c := p.candidate(m, suspects[m], request, now)
		if c.Exclusion == NotExcluded {
			e.Candidates = append(e.Candidates, c)
		} else {
			e.Excluded = append(e.Excluded, c)
		}
	}
	return e
}

// nextSuspects returns the endpoints that markSuspects would mark. The caller holds the pool's
// lock.
func (p *Pool) nextSuspects(now time.Duration) map[*Member]bool {
	suspects := make(map[*Member]bool)
	wait := p.handshakeTimeout()
	for _, h := range p.pending {
		if now-h.at < wait {
			break
		}
		if h.becomesSuspect() {
			suspects[h.member] = true
		}
	}
	return suspects
}

func (p *Pool) candidate(m *Member, suspect bool, request *Request, now time.Duration) Candidate {
	c := Candidate{
		Member: m, Endpoint: m.endpoint, Condition: m.condition, InFlight: m.inFlight, LongFlows: m.longFlows,
		lastChosen: m.lastChosen, tieBreak: m.tieBreak,
	}
	if suspect {
		c.Condition = Suspect
	}
	// hasShare remembers the rank of the instance, which is restored to leave the member as
	// it was.
	warmUp := m.warmUp
	c.Exclusion = m.exclusionAt(now)
	m.warmUp = warmUp
	if c.Exclusion == NotExcluded && !request.Eligible(m) {
		c.Exclusion = NoLabel
	}
	c.exact = p.cost(m, c.Condition, request, now)
	c.Cost = p.explainCost(m, &c, request, now)
	return c
}

// explainCost returns the parts of the cost of a candidate.
func (p *Pool) explainCost(m *Member, c *Candidate, request *Request, now time.Duration) Cost {
	base := p.baseCost(m, now)
	part := func(factor float64) time.Duration { return time.Duration(base * factor) }
	cost := Cost{
		Total: time.Duration(c.exact), Response: part(1), InFlight: part(m.inFlightCost() + m.queuedCost()),
		Failures: part(failureCost * m.failureRate(now)), Suspect: part(m.conditionCost(c.Condition, now)),
	}
	if m.endpoint.DataCentre != p.dataCentre {
		cost.Remote = part(request.remoteCost())
	}
	if request.Long {
		cost.Distance = part(m.distanceCost())
		cost.LongFlows = part(m.longCost()) - cost.Distance
	}
	if now < m.warmUntil {
		cost.WarmUp = part(warmUpCost)
	}
	return cost
}

// distanceCost returns the part of longCost that is due to the distance.
func (m *Member) distanceCost() float64 {
	return longFlowCost * m.distance / m.slots()
}
