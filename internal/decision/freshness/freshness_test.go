package freshness

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/propertytest"
)

const (
	applyDeadline = 3 * time.Second
	// step is the time resolution of the simulation.
	step = 5 * time.Millisecond
	// callTime is the duration of a successful call, readTimeout and queryTimeout those
	// of a failed read or query.
	callTime     = 10 * time.Millisecond
	readTimeout  = 400 * time.Millisecond
	queryTimeout = 300 * time.Millisecond
)

// node is a simulated instance.
type node struct {
	name      string
	scheduler *Scheduler
	// Until frozenUntil the instance is stopped, until storeCutUntil it cannot reach the
	// store, until isolatedUntil it cannot reach its peers. Until connectionHungUntil its
	// open connection to the store is unresponsive.
	frozenUntil, storeCutUntil, isolatedUntil, connectionHungUntil time.Duration
	connectionHungAt                                               time.Duration
	// disturbedAt is when the last fault of the instance ended.
	disturbedAt time.Duration

	read, query *call
}

// call is a read or a query in flight.
type call struct {
	began, ends time.Duration
	success     bool
	peer        *node
}

// cluster simulates instances that cache the contents of a store.
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
		n := &node{name: name, scheduler: NewScheduler(name, settings)}
		n.scheduler.SetPeers(names)
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

// run advances the simulation by length. It calls disturb at each step.
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
	next := n.scheduler.Next(c.now)
	if next.Read {
		c.reads++
		n.read = &call{began: c.now, ends: c.now + callTime, success: true}
		if c.now < n.storeCutUntil {
			n.read.ends, n.read.success = c.now+readTimeout, false
		}
		if c.now < n.connectionHungUntil {
			// The timeout closes the unresponsive connection.
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
		n.scheduler.ReadDone(c.now, read.success)
		if read.success {
			n.scheduler.Confirm(read.began)
		}
	}
	if n.query == nil || c.now < n.query.ends {
		return
	}
	query := n.query
	n.query = nil
	if !query.success {
		n.scheduler.QueryDone(c.now, query.peer.name, NoResponse, 0)
		return
	}
	age, known := query.peer.scheduler.Age(query.began)
	n.scheduler.QueryDone(c.now, query.peer.name, n.scheduler.Classify(query.peer.scheduler.ReadsStore(query.began), age), age)
	if known {
		n.scheduler.Confirm(query.began - age)
	}
}

// maxAge returns the highest age among the instances without a fault during the last
// applyDeadline, and the name of that instance.
func (c *cluster) maxAge() (time.Duration, string) {
	var most time.Duration
	name := ""
	for _, n := range c.nodes {
		if c.now-n.disturbedAt < applyDeadline {
			continue
		}
		age, known := n.scheduler.Age(c.now)
		if !known {
			age = c.now
		}
		if age > most {
			most, name = age, n.name
		}
	}
	return most, name
}

// injectFault starts a random fault of a random instance.
func (c *cluster) injectFault() {
	n := c.nodes[c.random.Intn(len(c.nodes))]
	length := time.Duration(c.random.Intn(8000)) * time.Millisecond
	switch c.random.Intn(5) {
	case 0:
		n.frozenUntil = c.now + length
	case 1:
		n.storeCutUntil = c.now + length
	case 2:
		// The path to the store still works, so the deadline applies to this instance.
		n.isolatedUntil = c.now + length
		return
	case 3:
		// A single fault of this kind must not exceed the deadline, but two in a row may.
		if c.now-n.connectionHungAt < applyDeadline {
			n.disturbedAt = max(n.disturbedAt, c.now)
		}
		n.connectionHungUntil, n.connectionHungAt = c.now+length, c.now
		return
	default:
		restarted := NewScheduler(n.name, n.scheduler.settings)
		var names []string
		for _, other := range c.nodes {
			names = append(names, other.name)
		}
		restarted.SetPeers(names)
		n.scheduler, n.read, n.query = restarted, nil, nil
		length = 0
	}
	n.disturbedAt = max(n.disturbedAt, c.now+length)
}

// worstAge runs a cluster with random faults. It returns the highest age of an instance that
// had no fault itself, and which instance that was and when.
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

// Guards against an instance whose cache grows too old because the reader has failed, is
// frozen or is cut off from the store or from its peers, or because the instance's own
// connection to the store is unresponsive.
func TestAgeStaysWithinDeadlineDuringFaults(t *testing.T) {
	seed := propertytest.Seed(t, propertytest.DefaultSeed)
	for run := range 40 * propertytest.Factor(t) {
		if age, where := worstAge(seed+int64(run), SettingsFor(applyDeadline)); age > applyDeadline {
			t.Fatalf("run %d with %s=%d: the cache of %s is %v old, the deadline is %v",
				run, propertytest.SeedVariable, seed, where, age, applyDeadline)
		}
	}
	withoutFallback := SettingsFor(applyDeadline)
	withoutFallback.MaxAge = time.Hour
	exceeded := 0
	for run := range 10 {
		if age, _ := worstAge(seed+int64(run), withoutFallback); age > applyDeadline {
			exceeded++
		}
	}
	if exceeded == 0 {
		t.Error("the deadline holds without direct reads: the test does not detect the failure")
	}
}

// Guards against a rate of store reads that grows with the number of instances.
func TestReadsDoNotGrowWithInstances(t *testing.T) {
	for _, count := range []int{1, 5, 31, 100, 300} {
		c := newCluster(1, count, SettingsFor(applyDeadline))
		c.run(5*time.Second, func() {})
		c.reads, c.queries = 0, 0
		c.run(30*time.Second, func() {})
		readers := 1 + (count-1)/defaultFollowersPerReader
		perReader := float64(30*time.Second) / float64(SettingsFor(applyDeadline).Interval)
		if most := 1.1 * perReader * float64(readers); float64(c.reads) > most {
			t.Errorf("%d instances make %d reads in 30 s, want at most %.0f", count, c.reads, most)
		}
		t.Logf("%d instances: %.2f reads/s, %.2f queries/s per instance", count,
			float64(c.reads)/30, float64(c.queries)/30/float64(count))
	}
}

// Guards against a burst of reads when the reader fails in a large installation.
func TestFewReadsWhenReaderFails(t *testing.T) {
	c := newCluster(1, 31, SettingsFor(applyDeadline))
	c.run(5*time.Second, func() {})
	reader := c.find(c.nodes[0].scheduler.order[0].name)
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
	if worst > applyDeadline {
		t.Errorf("the oldest cache is %v old", worst)
	}
}

// Guards against a reader that cannot reach the store and does not query its peers because
// it is first in the order.
func TestReaderWithoutStoreQueriesPeers(t *testing.T) {
	c := newCluster(1, 5, SettingsFor(applyDeadline))
	c.run(5*time.Second, func() {})
	reader := c.find(c.nodes[0].scheduler.order[0].name)
	reader.storeCutUntil = c.now + 20*time.Second
	var worst time.Duration
	c.run(20*time.Second, func() {
		age, _ := reader.scheduler.Age(c.now)
		worst = max(worst, age)
	})
	if worst > applyDeadline {
		t.Errorf("the cache of the reader is %v old", worst)
	}
}

// Guards against a first read that does not wait for the seeds, and against one that waits
// beyond the delay for seeds that do not respond.
func TestFirstReadWaitsForSeeds(t *testing.T) {
	s := NewScheduler("entry-1", SettingsFor(applyDeadline))
	s.DelayFirstRead(30 * time.Millisecond)
	if next := s.Next(0); next.Read || next.Wake != 30*time.Millisecond {
		t.Errorf("first step: %+v", next)
	}
	if next := s.Next(30 * time.Millisecond); !next.Read {
		t.Errorf("after the delay: %+v", next)
	}
}

// Guards against querying an unresponsive peer again without a pause, and against not
// querying it again although it is known to run.
func TestUnresponsivePeersBackOff(t *testing.T) {
	settings := SettingsFor(applyDeadline)
	// The last instance in the order queries the others.
	order := newCluster(1, 3, settings).nodes[0].scheduler.order
	s := NewScheduler(order[2].name, settings)
	s.SetPeers([]string{order[0].name, order[1].name})
	s.Confirm(0)
	first := s.Next(0).Query
	if first != order[0].name {
		t.Fatalf("%q is queried first, want %q", first, order[0].name)
	}
	s.QueryDone(queryTimeout, first, NoResponse, 0)
	if again := s.Next(queryTimeout).Query; again == first {
		t.Error("the unresponsive peer is queried again immediately")
	}
	s.PeerSeen(first, queryTimeout+step)
	if until := s.byName[first].backoffUntil; until != 0 {
		t.Errorf("a peer that is known to run is skipped until %v", until)
	}
}
