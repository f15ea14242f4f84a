package freshness

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const (
	// storeRate is how many long lists the store can send per second in total, linkRate
	// how many one instance can receive.
	storeRate = 100.0
	linkRate  = 1.3
	// transferTime is how long an instance takes to send its whole cache to a peer. It
	// sends to one peer at a time.
	transferTime = 150 * time.Millisecond
	// longReadAfter is the duration from which a read counts as long.
	longReadAfter = 500 * time.Millisecond
	// peersPerResponse is the maximum number of peers named in a response.
	peersPerResponse = 16
	// seedCount is the number of instances that all others know from the start.
	seedCount = 3
)

// startingNode is an instance in a simulated cold start. Its cache is empty at first.
type startingNode struct {
	scheduler *Scheduler
	name      string
	// peers and peerNames hold the known peers. The scheduler was given the first
	// scheduledPeers of them.
	peers          map[string]bool
	peerNames      []string
	scheduledPeers int
	// filled is set once the cache is filled.
	filled bool

	// longRead is set when the read has continued beyond longReadAfter.
	reading, longRead bool
	readBegan         time.Duration
	// skipsDelay disables LongReadDelay.
	skipsDelay bool
	// remaining is the part of the list that is still to be read, from 1 to 0.
	remaining float64

	queried     *startingNode
	queryEndsAt time.Duration
	// transferring is set while the queried peer sends its cache. transfers is the number
	// of peers to which this instance is sending its cache.
	transferring bool
	transfers    int
}

// coldStart simulates a start of all instances at the same time.
type coldStart struct {
	random *rand.Rand
	now    time.Duration
	all    []*startingNode
	byName map[string]*startingNode
	// longReads counts the lists that were read beyond their first part.
	longReads int
}

func newColdStart(count int, withoutDelay bool) *coldStart {
	s := &coldStart{random: rand.New(rand.NewSource(1)), byName: map[string]*startingNode{}}
	for i := range count {
		n := &startingNode{name: fmt.Sprintf("entry-%d", i+1), peers: map[string]bool{}, remaining: 1, skipsDelay: withoutDelay}
		n.scheduler = NewScheduler(n.name, SettingsFor(applyDeadline))
		s.all = append(s.all, n)
		s.byName[n.name] = n
	}
	for _, n := range s.all {
		for _, seed := range s.all[:min(seedCount, count)] {
			n.addPeer(seed.name)
		}
	}
	return s
}

// addPeer records a peer's name.
func (n *startingNode) addPeer(name string) {
	if name != n.name && !n.peers[name] {
		n.peers[name] = true
		n.peerNames = append(n.peerNames, name)
	}
}

// run returns the time when the caches of all instances are filled, or limit.
func (s *coldStart) run(limit time.Duration) time.Duration {
	for ; s.now < limit; s.now += step {
		reading, filled := 0, 0
		for _, n := range s.all {
			if n.readsLongList(s.now) {
				reading++
			}
			if n.filled {
				filled++
			}
		}
		if filled == len(s.all) {
			return s.now
		}
		rate := min(linkRate, storeRate/float64(max(reading, 1)))
		for _, n := range s.all {
			s.advance(n, rate)
		}
	}
	return limit
}

// readsLongList reports whether the instance is receiving its list from the store.
func (n *startingNode) readsLongList(now time.Duration) bool {
	elapsed := now - n.readBegan
	return n.reading && !n.filled && (n.skipsDelay || elapsed < longReadAfter || elapsed >= n.scheduler.LongReadDelay(now))
}

func (s *coldStart) advance(n *startingNode, rate float64) {
	if n.readsLongList(s.now) {
		if !n.longRead && s.now >= n.readBegan+longReadAfter {
			n.longRead = true
			s.longReads++
		}
		n.remaining -= rate * step.Seconds()
		if n.remaining <= 0 {
			s.fillCache(n)
		}
	}
	if n.queried != nil && s.now >= n.queryEndsAt {
		s.finishQuery(n)
	}
	if n.filled {
		return
	}
	if len(n.peerNames) > n.scheduledPeers {
		n.scheduledPeers = len(n.peerNames)
		n.scheduler.SetPeers(n.peerNames)
	}
	next := n.scheduler.Next(s.now)
	if next.Read {
		n.reading, n.readBegan = true, s.now
	}
	if next.Query == "" {
		return
	}
	n.queried, n.queryEndsAt = s.byName[next.Query], s.now+callTime
	if n.transferring = n.queried.filled && n.queried.transfers == 0; n.transferring {
		n.queried.transfers++
		n.queryEndsAt += transferTime * time.Duration(n.queried.transfers)
	}
}

func (s *coldStart) fillCache(n *startingNode) {
	n.filled = true
	n.scheduler.Confirm(s.now)
}

// finishQuery handles the end of a query. If the queried peer's cache was filled and the
// peer was free to send it, the instance's cache is filled now.
func (s *coldStart) finishQuery(n *startingNode) {
	peer := n.queried
	n.queried = nil
	peer.addPeer(n.name)
	for range min(len(peer.peerNames), peersPerResponse) {
		n.addPeer(peer.peerNames[s.random.Intn(len(peer.peerNames))])
	}
	if !n.transferring {
		n.scheduler.QueryDone(s.now, peer.name, Empty, 0)
		return
	}
	peer.transfers--
	n.scheduler.QueryDone(s.now, peer.name, Fresh, 0)
	s.fillCache(n)
}

// startDeadline is the maximum time from a start of all machines until all caches are
// filled. From then on the apply deadline must hold.
const startDeadline = 5 * time.Second

// Guards against a start of all instances at once, as after a power failure, in which each
// instance reads a long list of endpoints and overloads the store for many seconds.
func TestColdStartWithLongList(t *testing.T) {
	for _, count := range []int{1, 5, 31, 300} {
		s := newColdStart(count, false)
		took := s.run(2 * startDeadline)
		if took > startDeadline {
			t.Errorf("%d instances have filled caches after %v, %d long reads", count, took, s.longReads)
		}
		t.Logf("%d instances: all caches filled after %v, %d long reads", count, took, s.longReads)
	}
	without := newColdStart(600, true)
	if took := without.run(startDeadline + time.Second); took <= startDeadline {
		t.Errorf("without the delay all caches are filled after %v: the test does not detect the failure", took)
	}
}
