package selection

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/directory"
)

// rule is a way to choose endpoints that is compared.
type rule int

const (
	// ownCounts is the product's rule.
	ownCounts rule = iota
	// twoChoices applies the product's costs to two endpoints drawn at random.
	twoChoices
	// sharedCounts adds the requests under way of all instances, as they were at the
	// last exchange, sharedInterval apart.
	sharedCounts
	// zoneFirst leaves the data centre only when it has no endpoint.
	zoneFirst
	rules
)

func (r rule) String() string {
	return [...]string{"own counts", "two choices", "shared counts", "zone first"}[r]
}

const (
	sharedInterval = 500 * time.Millisecond
	// sharedBytes is the size of one endpoint's count in an exchange.
	sharedBytes = 6
	// meanWork is the mean of the exponential time that an endpoint takes for a
	// request, lateAfter the latency target.
	meanWork   = 30 * time.Millisecond
	lateAfter  = 500 * time.Millisecond
	zones      = 4
	slotsEach  = 2
	loadLength = 20 * time.Second
	// warmUp is left out of the figures.
	warmUp = 2 * time.Second
)

// loadPattern is a load on the endpoints of one service.
type loadPattern struct {
	instances, endpoints int
	// use is the mean share of the slots that are taken.
	use float64
	// slowShare of the endpoints take slowTimes as long.
	slowShare, slowTimes float64
	// firstZone is the share of the requests that arrive in the first zone.
	firstZone float64
}

// server is an endpoint with its queue.
type server struct {
	slow  float64
	busy  int
	queue []*request
}

type request struct {
	arrived time.Duration
	server  int
	member  *Member
}

// occurrence is an arrival, when request is nil, or the end of a request.
type occurrence struct {
	at      time.Duration
	request *request
}

type agenda []occurrence

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fleet is a model of instances that share the endpoints of one service.
type fleet struct {
	load    loadPattern
	rule    rule
	random  *rand.Rand
	pools   []*Pool
	servers []server
	// added is what the last exchange added to an instance's counts.
	added  [][]int
	agenda agenda
	times  []time.Duration
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func newFleet(load loadPattern, r rule) *fleet {
	f := &fleet{load: load, rule: r, random: rand.New(rand.NewSource(1)), servers: make([]server, load.endpoints)}
	var list []directory.Endpoint
	for i := range f.servers {
		f.servers[i].slow = 1
		if float64(i%20) < 20*load.slowShare {
			f.servers[i].slow = load.slowTimes
		}
		list = append(list, directory.Endpoint{
			Name: fmt.Sprintf("i-%d", i), Number: uint64(i + 1), Service: "desk",
			DataCentre: zoneName(i % zones), Slots: slotsEach, Revision: 1,
		})
	}
	for i := range load.instances {
		p := NewPool("desk", fmt.Sprintf("entry-%d", i+1), zoneName(i%zones))
		p.SetInstances(load.instances)
		p.Update(list, 0)
		f.pools = append(f.pools, p)
		f.added = append(f.added, make([]int, load.endpoints))
	}
	return f
}

// instance draws the one that a request arrives at.
func (f *fleet) instance() int {
	n := f.load.instances
	if f.load.firstZone > 0 && f.random.Float64() < f.load.firstZone {
		return f.random.Intn((n+zones-1)/zones) * zones
	}
	return f.random.Intn(n)
}

// eligible returns the endpoints among which the rule lets the pool choose.
func (f *fleet) eligible(p *Pool) func(*Member) bool {
	switch f.rule {
	case twoChoices:
		first, second := p.members[f.random.Intn(len(p.members))], p.members[f.random.Intn(len(p.members))]
		return func(m *Member) bool { return m == first || m == second }
	case zoneFirst:
		return func(m *Member) bool { return m.endpoint.DataCentre == p.dataCentre }
	default:
		return all
	}
}

// run plays the load and returns the response times in order.
func (f *fleet) run() []time.Duration {
	gap := float64(meanWork) / (f.load.use * slotsEach * float64(f.load.endpoints))
	heap.Push(&f.agenda, occurrence{})
	nextExchange := time.Duration(0)
	for len(f.agenda) > 0 {
		o := heap.Pop(&f.agenda).(occurrence)
		if f.rule == sharedCounts && o.at >= nextExchange {
			f.exchange()
			nextExchange = o.at + sharedInterval
		}
		if o.request != nil {
			f.end(o.at, o.request)
			continue
		}
		f.arrive(o.at)
		if next := o.at + time.Duration(f.random.ExpFloat64()*gap); next < loadLength {
			heap.Push(&f.agenda, occurrence{at: next})
		}
	}
	slices.Sort(f.times)
	return f.times
}

func (f *fleet) arrive(now time.Duration) {
	p := f.pools[f.instance()]
	m, _ := p.Choose(now, nil, f.eligible(p))
	m.HandshakeCompleted(now, 0)
	r := &request{arrived: now, member: m, server: int(m.endpoint.Number - 1)}
	s := &f.servers[r.server]
	if s.busy == slotsEach {
		s.queue = append(s.queue, r)
		return
	}
	f.begin(now, s, r)
}

func (f *fleet) begin(now time.Duration, s *server, r *request) {
	s.busy++
	work := time.Duration(f.random.ExpFloat64() * float64(meanWork) * s.slow)
	heap.Push(&f.agenda, occurrence{at: now + work, request: r})
}

func (f *fleet) end(now time.Duration, r *request) {
	r.member.ResponseStarted(now, now-r.arrived, 0)
	if r.arrived >= warmUp {
		f.times = append(f.times, now-r.arrived)
	}
	s := &f.servers[r.server]
	s.busy--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		f.begin(now, s, next)
	}
}

// exchange tells each instance what the others have under way.
func (f *fleet) exchange() {
	total := make([]int, f.load.endpoints)
	for i, p := range f.pools {
		for e, m := range p.members {
			m.waiting = max(m.waiting-f.added[i][e], 0)
			total[e] += m.waiting
		}
	}
	for i, p := range f.pools {
		for e, m := range p.members {
			f.added[i][e] = total[e] - m.waiting
			m.waiting = total[e]
		}
	}
}

// outcome is what callers see of a rule.
type outcome struct {
	mean, p99 time.Duration
	// late is the share of requests beyond their target.
	late float64
}

func compare(t *testing.T, load loadPattern) [rules]outcome {
	t.Helper()
	var outcomes [rules]outcome
	for r := range rules {
		times := newFleet(load, r).run()
		var sum time.Duration
		for _, took := range times {
			sum += took
		}
		firstLate, _ := slices.BinarySearch(times, lateAfter)
		outcomes[r] = outcome{
			mean: sum / time.Duration(len(times)), p99: times[len(times)*99/100],
			late: float64(len(times)-firstLate) / float64(len(times)),
		}
		t.Logf("%-14s mean %4d ms, p99 %5d ms, late %.4f", r, outcomes[r].mean.Milliseconds(), outcomes[r].p99.Milliseconds(), outcomes[r].late)
	}
	perSecond := float64(2*sharedBytes*load.endpoints) / sharedInterval.Seconds()
	t.Logf("shared counts cost %.0f B a second and instance", perSecond)
	return outcomes
}

// lateMargin is the share of late requests by which another rule may be better before
// the product's counts as the worse one: a hundredth of the served share.
const lateMargin = 0.01

// mustNotBeWorse fails if callers are served better by a rule that needs no messages.
func mustNotBeWorse(t *testing.T, load loadPattern) {
	t.Helper()
	t.Parallel()
	outcomes := compare(t, load)
	for _, r := range []rule{twoChoices, zoneFirst} {
		if outcomes[ownCounts].late > outcomes[r].late+lateMargin {
			t.Errorf("own counts: %.4f late, %s: %.4f", outcomes[ownCounts].late, r, outcomes[r].late)
		}
	}
}

// Guards against a choice that is worse than a simple one when each of many instances
// sees little of the load.
func TestChoiceOfManyInstances(t *testing.T) {
	mustNotBeWorse(t, loadPattern{instances: 31, endpoints: 120, use: 0.5})
}

// Guards against queues that instances build up together at a high load.
func TestChoiceOfManyInstancesAtHighLoad(t *testing.T) {
	mustNotBeWorse(t, loadPattern{instances: 31, endpoints: 120, use: 0.9})
}

// Guards against the same with few instances.
func TestChoiceOfFewInstancesAtHighLoad(t *testing.T) {
	mustNotBeWorse(t, loadPattern{instances: 5, endpoints: 16, use: 0.9})
}

// Guards against slow endpoints that get as much as the others.
func TestChoiceWithSlowEndpoints(t *testing.T) {
	mustNotBeWorse(t, loadPattern{instances: 31, endpoints: 120, use: 0.5, slowShare: 0.15, slowTimes: 8})
}

// Guards against a data centre that keeps more than its endpoints can serve.
func TestChoiceWithUnevenZones(t *testing.T) {
	mustNotBeWorse(t, loadPattern{instances: 32, endpoints: 120, use: 0.6, firstZone: 0.4})
}
