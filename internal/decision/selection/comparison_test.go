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

// policy is a way to choose endpoints that is compared.
type policy int

const (
	// localCounts is the product's rule.
	localCounts policy = iota
	// twoChoices applies the product's costs to two endpoints drawn at random.
	twoChoices
	// sharedCounts adds the requests under way of all instances, as they were at the
	// last exchange, sharedInterval apart.
	sharedCounts
	// zoneFirst leaves the data centre only when it has no endpoint.
	zoneFirst
	policyCount
)

func (r policy) String() string {
	return [...]string{"own counts", "two choices", "shared counts", "zone first"}[r]
}

const (
	sharedInterval = 500 * time.Millisecond
	// sharedBytes is the size of one endpoint's count in an exchange.
	sharedBytes = 6
	// meanServiceTime is the mean of the exponential time that an endpoint takes for a
	// request, lateAfter the latency target.
	meanServiceTime  = 30 * time.Millisecond
	latencyTarget    = 500 * time.Millisecond
	zones            = 4
	slotsPerEndpoint = 2
	loadDuration     = 20 * time.Second
	// warmUp is left out of the figures.
	warmUp = 2 * time.Second
)

// loadPattern is a load on the endpoints of one service.
type loadPattern struct {
	instances, endpoints int
	// utilization is the mean share of the slots that are taken.
	utilization float64
	// slowShare of the endpoints take slowFactor as long.
	slowShare, slowFactor float64
	// firstZoneShare is the share of the requests that arrive in the first zone.
	firstZoneShare float64
}

// server is an endpoint with its queue.
type server struct {
	slowFactor float64
	busy       int
	queue      []*request
}

type request struct {
	arrived time.Duration
	server  int
	member  *Member
}

// event is an arrival, when request is nil, or the end of a request.
type event struct {
	at      time.Duration
	request *request
}

type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation is a model of instances that share the endpoints of one service.
type simulation struct {
	load    loadPattern
	policy  policy
	random  *rand.Rand
	pools   []*Pool
	servers []server
	// remoteCounts is what the last exchange remoteCounts to an instance's counts.
	remoteCounts  [][]int
	events        eventQueue
	responseTimes []time.Duration
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func newSimulation(load loadPattern, r policy) *simulation {
	f := &simulation{load: load, policy: r, random: rand.New(rand.NewSource(1)), servers: make([]server, load.endpoints)}
	var list []directory.Endpoint
	for i := range f.servers {
		f.servers[i].slowFactor = 1
		if float64(i%20) < 20*load.slowShare {
			f.servers[i].slowFactor = load.slowFactor
		}
		list = append(list, directory.Endpoint{
			Name: fmt.Sprintf("i-%d", i), Number: uint64(i + 1), Service: "desk",
			DataCentre: zoneName(i % zones), Slots: slotsPerEndpoint, Revision: 1,
		})
	}
	for i := range load.instances {
		p := NewPool("desk", fmt.Sprintf("entry-%d", i+1), zoneName(i%zones))
		p.SetInstances(load.instances)
		p.Update(list, 0)
		f.pools = append(f.pools, p)
		f.remoteCounts = append(f.remoteCounts, make([]int, load.endpoints))
	}
	return f
}

// drawInstance draws the one that a request arrives at.
func (f *simulation) drawInstance() int {
	n := f.load.instances
	if f.load.firstZoneShare > 0 && f.random.Float64() < f.load.firstZoneShare {
		return f.random.Intn((n+zones-1)/zones) * zones
	}
	return f.random.Intn(n)
}

// eligible returns the endpoints among which the rule lets the pool choose.
func (f *simulation) eligible(p *Pool) func(*Member) bool {
	switch f.policy {
	case twoChoices:
		first, second := p.members[f.random.Intn(len(p.members))], p.members[f.random.Intn(len(p.members))]
		return func(m *Member) bool { return m == first || m == second }
	case zoneFirst:
		return func(m *Member) bool { return m.endpoint.DataCentre == p.dataCentre }
	default:
		return anyMember
	}
}

// run plays the load and returns the response times in order.
func (f *simulation) run() []time.Duration {
	gap := float64(meanServiceTime) / (f.load.utilization * slotsPerEndpoint * float64(f.load.endpoints))
	heap.Push(&f.events, event{})
	nextExchange := time.Duration(0)
	for len(f.events) > 0 {
		o := heap.Pop(&f.events).(event)
		if f.policy == sharedCounts && o.at >= nextExchange {
			f.exchangeCounts()
			nextExchange = o.at + sharedInterval
		}
		if o.request != nil {
			f.endRequest(o.at, o.request)
			continue
		}
		f.arrive(o.at)
		if next := o.at + time.Duration(f.random.ExpFloat64()*gap); next < loadDuration {
			heap.Push(&f.events, event{at: next})
		}
	}
	slices.Sort(f.responseTimes)
	return f.responseTimes
}

func (f *simulation) arrive(now time.Duration) {
	p := f.pools[f.drawInstance()]
	m, _ := p.Choose(now, nil, f.eligible(p))
	m.HandshakeCompleted(now, 0)
	r := &request{arrived: now, member: m, server: int(m.endpoint.Number - 1)}
	s := &f.servers[r.server]
	if s.busy == slotsPerEndpoint {
		s.queue = append(s.queue, r)
		return
	}
	f.startRequest(now, s, r)
}

func (f *simulation) startRequest(now time.Duration, s *server, r *request) {
	s.busy++
	work := time.Duration(f.random.ExpFloat64() * float64(meanServiceTime) * s.slowFactor)
	heap.Push(&f.events, event{at: now + work, request: r})
}

func (f *simulation) endRequest(now time.Duration, r *request) {
	r.member.ResponseStarted(now, now-r.arrived, 0)
	if r.arrived >= warmUp {
		f.responseTimes = append(f.responseTimes, now-r.arrived)
	}
	s := &f.servers[r.server]
	s.busy--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		f.startRequest(now, s, next)
	}
}

// exchangeCounts tells each instance what the others have under way.
func (f *simulation) exchangeCounts() {
	total := make([]int, f.load.endpoints)
	for i, p := range f.pools {
		for e, m := range p.members {
			m.inFlight = max(m.inFlight-f.remoteCounts[i][e], 0)
			total[e] += m.inFlight
		}
	}
	for i, p := range f.pools {
		for e, m := range p.members {
			f.remoteCounts[i][e] = total[e] - m.inFlight
			m.inFlight = total[e]
		}
	}
}

// outcome is what callers see of a rule.
type outcome struct {
	mean, p99 time.Duration
	// late is the share of requests beyond their target.
	late float64
}

func compare(t *testing.T, load loadPattern) [policyCount]outcome {
	t.Helper()
	var outcomes [policyCount]outcome
	for r := range policyCount {
		times := newSimulation(load, r).run()
		var sum time.Duration
		for _, took := range times {
			sum += took
		}
		firstLate, _ := slices.BinarySearch(times, latencyTarget)
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

// requireNotWorse fails if callers are served better by a rule that needs no messages.
func requireNotWorse(t *testing.T, load loadPattern) {
	t.Helper()
	t.Parallel()
	outcomes := compare(t, load)
	for _, r := range []policy{twoChoices, zoneFirst} {
		if outcomes[localCounts].late > outcomes[r].late+lateMargin {
			t.Errorf("own counts: %.4f late, %s: %.4f", outcomes[localCounts].late, r, outcomes[r].late)
		}
	}
}

// Guards against a choice that is worse than a simple one when each of many instances
// sees little of the load.
func TestChoiceOfManyInstances(t *testing.T) {
	requireNotWorse(t, loadPattern{instances: 31, endpoints: 120, utilization: 0.5})
}

// Guards against queues that instances build up together at a high load.
func TestChoiceOfManyInstancesAtHighLoad(t *testing.T) {
	requireNotWorse(t, loadPattern{instances: 31, endpoints: 120, utilization: 0.9})
}

// Guards against the same with few instances.
func TestChoiceOfFewInstancesAtHighLoad(t *testing.T) {
	requireNotWorse(t, loadPattern{instances: 5, endpoints: 16, utilization: 0.9})
}

// Guards against slow endpoints that get as much as the others.
func TestChoiceWithSlowEndpoints(t *testing.T) {
	requireNotWorse(t, loadPattern{instances: 31, endpoints: 120, utilization: 0.5, slowShare: 0.15, slowFactor: 8})
}

// Guards against a data centre that keeps more than its endpoints can serve.
func TestChoiceWithUnevenZones(t *testing.T) {
	requireNotWorse(t, loadPattern{instances: 32, endpoints: 120, utilization: 0.6, firstZoneShare: 0.4})
}
