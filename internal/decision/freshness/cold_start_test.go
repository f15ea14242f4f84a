package freshness

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const (
	// storeRate is how many long lists the store gives a second, linkRate how many
	// one instance can take.
	storeRate = 100.0
	linkRate  = 1.3
	// transferTime is how long an instance takes to tell another one everything, which it
	// does for one at a time.
	transferTime = 150 * time.Millisecond
	// longReadAfter is when a read counts as long.
	longReadAfter = 500 * time.Millisecond
	// peersPerAnswer is how many peers an answer names.
	peersPerAnswer = 16
	// seedCount is how many instances all the others know of at their start.
	seedCount = 3
)

// startingNode is one instance of a model in which all start at once and know nothing.
type startingNode struct {
	plan *Scheduler
	name string
	// peers and names are the peers heard of, of which the plan knows the first told.
	peers        map[string]bool
	peerNames    []string
	plannedPeers int
	known        bool

	// longRead is set when the read has gone on after longReadAfter.
	reading, longRead bool
	readBegan         time.Duration
	// skipsDelay lets the instance go on with its list at once.
	skipsDelay bool
	// remaining is the part of the list that is still to be read.
	remaining float64

	queried     *startingNode
	queryEndsAt time.Duration
	// transferring is set when the peer that was asked knew the list, telling is how
	// many peers the instance tells the list at the time.
	transferring bool
	transfers    int
}

// coldStart is the model.
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
		n.plan = NewScheduler(n.name, SettingsFor(bound))
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

// addPeer takes the name of a peer.
func (n *startingNode) addPeer(name string) {
	if name != n.name && !n.peers[name] {
		n.peers[name] = true
		n.peerNames = append(n.peerNames, name)
	}
}

// run returns when all know.
func (s *coldStart) run(limit time.Duration) time.Duration {
	for ; s.now < limit; s.now += step {
		active, known := 0, 0
		for _, n := range s.all {
			if n.readsLongList(s.now) {
				active++
			}
			if n.known {
				known++
			}
		}
		if known == len(s.all) {
			return s.now
		}
		rate := min(linkRate, storeRate/float64(max(active, 1)))
		for _, n := range s.all {
			s.advance(n, rate)
		}
	}
	return limit
}

// readsLongList reports whether the instance readsLongList a list beyond its first part.
func (n *startingNode) readsLongList(now time.Duration) bool {
	began := now - n.readBegan
	return n.reading && !n.known && (n.skipsDelay || began < longReadAfter || began >= n.plan.LongReadDelay(now))
}

func (s *coldStart) advance(n *startingNode, rate float64) {
	if n.readsLongList(s.now) {
		if !n.longRead && s.now >= n.readBegan+longReadAfter {
			n.longRead = true
			s.longReads++
		}
		n.remaining -= rate * step.Seconds()
		if n.remaining <= 0 {
			s.learnList(n)
		}
	}
	if n.queried != nil && s.now >= n.queryEndsAt {
		s.finishQuery(n)
	}
	if n.known {
		return
	}
	if len(n.peerNames) > n.plannedPeers {
		n.plannedPeers = len(n.peerNames)
		n.plan.SetPeers(n.peerNames)
	}
	next := n.plan.Next(s.now)
	if next.Read {
		n.reading, n.readBegan = true, s.now
	}
	if next.Query == "" {
		return
	}
	n.queried, n.queryEndsAt = s.byName[next.Query], s.now+callTime
	if n.transferring = n.queried.known && n.queried.transfers == 0; n.transferring {
		n.queried.transfers++
		n.queryEndsAt += transferTime * time.Duration(n.queried.transfers)
	}
}

func (s *coldStart) learnList(n *startingNode) {
	n.known = true
	n.plan.Confirm(s.now)
}

// finishQuery takes the answer of a peer: everything if it knew it when it was asked.
func (s *coldStart) finishQuery(n *startingNode) {
	peer := n.queried
	n.queried = nil
	peer.addPeer(n.name)
	for range min(len(peer.peerNames), peersPerAnswer) {
		n.addPeer(peer.peerNames[s.random.Intn(len(peer.peerNames))])
	}
	if !n.transferring {
		n.plan.QueryDone(s.now, peer.name, Empty, 0)
		return
	}
	peer.transfers--
	n.plan.QueryDone(s.now, peer.name, Fresh, 0)
	s.learnList(n)
}

// startBound is the time from which all bounds hold after a start of all machines.
const startBound = 5 * time.Second

// Guards against a start of all instances at once, as after a loss of power, in which
// each reads a long list of endpoints and the store is busy for many seconds.
func TestColdStartWithLongList(t *testing.T) {
	for _, count := range []int{1, 5, 31, 300} {
		s := newColdStart(count, false)
		took := s.run(2 * startBound)
		if took > startBound {
			t.Errorf("%d instances know after %v, %d long reads", count, took, s.longReads)
		}
		t.Logf("%d instances: all know after %v, %d long reads", count, took, s.longReads)
	}
	without := newColdStart(600, true)
	if took := without.run(startBound + time.Second); took <= startBound {
		t.Errorf("without the delay all know after %v: the test shows nothing", took)
	}
}
