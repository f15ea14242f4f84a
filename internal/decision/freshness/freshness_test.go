package freshness

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/propertytest"
)

const (
	bound = 3 * time.Second
	// step is the resolution of the model.
	step = 5 * time.Millisecond
	// callTime is how long a call takes that is answered, readTimeout and
	// askTimeout how long one that is not.
	callTime     = 10 * time.Millisecond
	readTimeout  = 400 * time.Millisecond
	queryTimeout = 300 * time.Millisecond
)

// node is one instance of the model.
type node struct {
	name string
	plan *Scheduler
	// frozenUntil stops the instance, storeCutUntil takes its path to the store,
	// isolatedUntil its paths to the others, connectionHungUntil its open connection to the
	// store.
	frozenUntil, storeCutUntil, isolatedUntil, connectionHungUntil time.Duration
	connectionHungAt                                               time.Duration
	// disturbedAt is the last time that the instance was disturbed.
	disturbedAt time.Duration

	read, query *call
}

// call is a read or a question under way.
type call struct {
	began, ends time.Duration
	success     bool
	peer        *node
}

// cluster is a model of instances that share knowledge of a store.
type cluster struct {
	random  *rand.Rand
	now     time.Duration
	nodes   []*node
	reads   int
	queries int
}

func newCluster(seed int64, count int, settings Settings) *cluster {
	c := &cluster{random: rand.New(rand.NewSource(seed))}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	for _, name := range names {
		n := &node{name: name, plan: NewScheduler(name, settings)}
		n.plan.SetPeers(names)
		c.nodes = append(c.nodes, n)
	}
	return c
}

func (c *cluster) find(name string) *node {
	for _, n := range c.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// run advances the model. disturb is called at each step.
func (c *cluster) run(length time.Duration, disturb func()) {
	for end := c.now + length; c.now < end; c.now += step {
		disturb()
		for _, n := range c.nodes {
			if c.now >= n.frozenUntil {
				c.finish(n)
				c.start(n)
			}
		}
	}
}

func (c *cluster) start(n *node) {
	next := n.plan.Next(c.now)
	if next.Read {
		c.reads++
		n.read = &call{began: c.now, ends: c.now + callTime, success: true}
		if c.now < n.storeCutUntil {
			n.read.ends, n.read.success = c.now+readTimeout, false
		}
		if c.now < n.connectionHungUntil {
			// The time-out closes the silent connection.
			n.read.ends, n.read.success = c.now+readTimeout, false
			n.connectionHungUntil = 0
		}
	}
	if next.Query == "" {
		return
	}
	c.queries++
	peer := c.find(next.Query)
	n.query = &call{began: c.now, ends: c.now + callTime, success: true, peer: peer}
	if c.now < max(n.isolatedUntil, peer.isolatedUntil, peer.frozenUntil) {
		n.query.ends, n.query.success = c.now+queryTimeout, false
	}
}

func (c *cluster) finish(n *node) {
	if n.read != nil && c.now >= n.read.ends {
		read := n.read
		n.read = nil
		n.plan.ReadDone(c.now, read.success)
		if read.success {
			n.plan.Confirm(read.began)
		}
	}
	if n.query == nil || c.now < n.query.ends {
		return
	}
	ask := n.query
	n.query = nil
	if !ask.success {
		n.plan.QueryDone(c.now, ask.peer.name, NoResponse, 0)
		return
	}
	age, known := ask.peer.plan.Age(ask.began)
	n.plan.QueryDone(c.now, ask.peer.name, n.plan.Classify(ask.peer.plan.ReadsStore(ask.began), age), age)
	if known {
		n.plan.Confirm(ask.began - age)
	}
}

// maxAge returns the highest age among instances that were not disturbed for the
// bound.
func (c *cluster) maxAge() (time.Duration, string) {
	var most time.Duration
	name := ""
	for _, n := range c.nodes {
		if c.now-n.disturbedAt < bound {
			continue
		}
		age, known := n.plan.Age(c.now)
		if !known {
			age = c.now
		}
		if age > most {
			most, name = age, n.name
		}
	}
	return most, name
}

// injectFault begins a random trouble of one instance.
func (c *cluster) injectFault() {
	n := c.nodes[c.random.Intn(len(c.nodes))]
	length := time.Duration(c.random.Intn(8000)) * time.Millisecond
	switch c.random.Intn(5) {
	case 0:
		n.frozenUntil = c.now + length
	case 1:
		n.storeCutUntil = c.now + length
	case 2:
		// Only the others: the instance still has its path to the store.
		n.isolatedUntil = c.now + length
		return
	case 3:
		// Two in a row count as a disturbance of the instance.
		if c.now-n.connectionHungAt < bound {
			n.disturbedAt = max(n.disturbedAt, c.now)
		}
		n.connectionHungUntil, n.connectionHungAt = c.now+length, c.now
		return
	default:
		restarted := NewScheduler(n.name, n.plan.settings)
		var names []string
		for _, other := range c.nodes {
			names = append(names, other.name)
		}
		restarted.SetPeers(names)
		n.plan, n.read, n.query = restarted, nil, nil
		length = 0
	}
	n.disturbedAt = max(n.disturbedAt, c.now+length)
}

// worstAge runs a cluster through random troubles and returns the highest age of an
// instance that was not itself disturbed.
func worstAge(seed int64, settings Settings) (worst time.Duration, where string) {
	c := newCluster(seed, 3+int(seed%9), settings)
	c.run(5*time.Second, func() {})
	c.run(60*time.Second, func() {
		if c.random.Intn(int(500*time.Millisecond/step)) == 0 {
			c.injectFault()
		}
		if age, name := c.maxAge(); age > worst {
			worst, where = age, fmt.Sprintf("%s at %v", name, c.now)
		}
	})
	return worst, where
}

// Guards against an instance that goes on with old knowledge because the instance
// it asks has died, is frozen, is cut off from the store or from the others, or
// because its own connection to the store says nothing.
func TestAgeStaysWithinBoundDuringFaults(t *testing.T) {
	seed := propertytest.Seed(t, propertytest.DefaultSeed)
	for run := range 40 * propertytest.Factor(t) {
		if age, where := worstAge(seed+int64(run), SettingsFor(bound)); age > bound {
			t.Fatalf("run %d with %s=%d: knowledge of %s is %v old, the bound is %v",
				run, propertytest.SeedVariable, seed, where, age, bound)
		}
	}
	withoutFallback := SettingsFor(bound)
	withoutFallback.MaxAge = time.Hour
	exceeded := 0
	for run := range 10 {
		if age, _ := worstAge(seed+int64(run), withoutFallback); age > bound {
			exceeded++
		}
	}
	if exceeded == 0 {
		t.Error("the bound holds without own reads: the test shows nothing")
	}
}

// Guards against calls to the store that grow with the number of instances.
func TestReadsDoNotGrowWithInstances(t *testing.T) {
	for _, count := range []int{1, 5, 31, 100, 300} {
		c := newCluster(1, count, SettingsFor(bound))
		c.run(5*time.Second, func() {})
		c.reads, c.queries = 0, 0
		c.run(30*time.Second, func() {})
		readers := 1 + (count-1)/defaultFollowersPerReader
		perReader := float64(30*time.Second) / float64(SettingsFor(bound).Interval)
		if most := 1.1 * perReader * float64(readers); float64(c.reads) > most {
			t.Errorf("%d instances make %d reads in 30 s, want at most %.0f", count, c.reads, most)
		}
		t.Logf("%d instances: %.2f reads/s, %.2f questions/s an instance", count,
			float64(c.reads)/30, float64(c.queries)/30/float64(count))
	}
}

// Guards against a flood of reads when the reader fails in a large installation.
func TestFewReadsWhenReaderFails(t *testing.T) {
	c := newCluster(1, 31, SettingsFor(bound))
	c.run(5*time.Second, func() {})
	reader := c.find(c.nodes[0].plan.order[0].name)
	c.reads = 0
	reader.frozenUntil, reader.disturbedAt = c.now+10*time.Second, c.now+10*time.Second
	var worst time.Duration
	c.run(10*time.Second, func() {
		age, _ := c.maxAge()
		worst = max(worst, age)
	})
	if c.reads > 31 {
		t.Errorf("%d reads in 10 s without the first reader", c.reads)
	}
	if worst > bound {
		t.Errorf("knowledge is %v old", worst)
	}
}

// Guards against an instance that the store alone turns away and that asks nobody
// because it is the first in the order.
func TestReaderWithoutStoreQueriesPeers(t *testing.T) {
	c := newCluster(1, 5, SettingsFor(bound))
	c.run(5*time.Second, func() {})
	reader := c.find(c.nodes[0].plan.order[0].name)
	reader.storeCutUntil = c.now + 20*time.Second
	var worst time.Duration
	c.run(20*time.Second, func() {
		age, _ := reader.plan.Age(c.now)
		worst = max(worst, age)
	})
	if worst > bound {
		t.Errorf("its knowledge is %v old", worst)
	}
}

// Guards against a first read that waits for seeds that do not answer, and one that
// does not wait.
func TestFirstReadWaitsForSeeds(t *testing.T) {
	p := NewScheduler("entry-1", SettingsFor(bound))
	p.DelayFirstRead(30 * time.Millisecond)
	if next := p.Next(0); next.Read || next.Wake != 30*time.Millisecond {
		t.Errorf("first step: %+v", next)
	}
	if next := p.Next(30 * time.Millisecond); !next.Read {
		t.Errorf("after the wait: %+v", next)
	}
}

// Guards against a peer that does not answer and is asked all the time, and against
// one that is not asked again although it is known to run.
func TestUnresponsivePeersBackOff(t *testing.T) {
	settings := SettingsFor(bound)
	// The last in the order asks the others.
	order := newCluster(1, 3, settings).nodes[0].plan.order
	p := NewScheduler(order[2].name, settings)
	p.SetPeers([]string{order[0].name, order[1].name})
	p.Confirm(0)
	first := p.Next(0).Query
	if first != order[0].name {
		t.Fatalf("%q is asked first, want %q", first, order[0].name)
	}
	p.QueryDone(queryTimeout, first, NoResponse, 0)
	if again := p.Next(queryTimeout).Query; again == first {
		t.Error("the silent peer is asked again at once")
	}
	p.PeerSeen(first, queryTimeout+step)
	if rest := p.byName[first].backoffUntil; rest != 0 {
		t.Errorf("a peer that is heard of rests until %v", rest)
	}
}
