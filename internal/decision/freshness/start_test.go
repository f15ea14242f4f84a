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
	// tellTime is how long an instance takes to tell another one everything, which it
	// does for one at a time.
	tellTime = 150 * time.Millisecond
	// longReadAfter is when a read counts as long.
	longReadAfter = 500 * time.Millisecond
	// peersTold is how many peers an answer names.
	peersTold = 16
	// seeds is how many instances all the others know of at their start.
	seeds = 3
)

// starter is one instance of a model in which all start at once and know nothing.
type starter struct {
	plan *Scheduler
	name string
	// peers and names are the peers heard of, of which the plan knows the first told.
	peers map[string]bool
	names []string
	told  int
	known bool

	// long is set when the read has gone on after longReadAfter.
	reading, long bool
	readBegan     time.Duration
	// hurries lets the instance go on with its list at once.
	hurries bool
	// left is the part of the list that is still to be read.
	left float64

	asked   *starter
	askEnds time.Duration
	// tellsAll is set when the peer that was asked knew the list, telling is how
	// many peers the instance tells the list at the time.
	tellsAll bool
	telling  int
}

// start is the model.
type start struct {
	random *rand.Rand
	now    time.Duration
	all    []*starter
	byName map[string]*starter
	// longReads counts the lists that were read beyond their first part.
	longReads int
}

func newStart(count int, withoutDelay bool) *start {
	s := &start{random: rand.New(rand.NewSource(1)), byName: map[string]*starter{}}
	for i := range count {
		n := &starter{name: fmt.Sprintf("entry-%d", i+1), peers: map[string]bool{}, left: 1, hurries: withoutDelay}
		n.plan = NewScheduler(n.name, SettingsFor(bound))
		s.all = append(s.all, n)
		s.byName[n.name] = n
	}
	for _, n := range s.all {
		for _, seed := range s.all[:min(seeds, count)] {
			n.hear(seed.name)
		}
	}
	return s
}

// hear takes the name of a peer.
func (n *starter) hear(name string) {
	if name != n.name && !n.peers[name] {
		n.peers[name] = true
		n.names = append(n.names, name)
	}
}

// run returns when all know.
func (s *start) run(limit time.Duration) time.Duration {
	for ; s.now < limit; s.now += step {
		active, known := 0, 0
		for _, n := range s.all {
			if n.reads(s.now) {
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

// reads reports whether the instance reads a list beyond its first part.
func (n *starter) reads(now time.Duration) bool {
	began := now - n.readBegan
	return n.reading && !n.known && (n.hurries || began < longReadAfter || began >= n.plan.LongReadDelay(now))
}

func (s *start) advance(n *starter, rate float64) {
	if n.reads(s.now) {
		if !n.long && s.now >= n.readBegan+longReadAfter {
			n.long = true
			s.longReads++
		}
		n.left -= rate * step.Seconds()
		if n.left <= 0 {
			s.learn(n)
		}
	}
	if n.asked != nil && s.now >= n.askEnds {
		s.answered(n)
	}
	if n.known {
		return
	}
	if len(n.names) > n.told {
		n.told = len(n.names)
		n.plan.SetPeers(n.names)
	}
	next := n.plan.Next(s.now)
	if next.Read {
		n.reading, n.readBegan = true, s.now
	}
	if next.Query == "" {
		return
	}
	n.asked, n.askEnds = s.byName[next.Query], s.now+callTime
	if n.tellsAll = n.asked.known && n.asked.telling == 0; n.tellsAll {
		n.asked.telling++
		n.askEnds += tellTime * time.Duration(n.asked.telling)
	}
}

func (s *start) learn(n *starter) {
	n.known = true
	n.plan.Confirm(s.now)
}

// answered takes the answer of a peer: everything if it knew it when it was asked.
func (s *start) answered(n *starter) {
	peer := n.asked
	n.asked = nil
	peer.hear(n.name)
	for range min(len(peer.names), peersTold) {
		n.hear(peer.names[s.random.Intn(len(peer.names))])
	}
	if !n.tellsAll {
		n.plan.QueryDone(s.now, peer.name, Empty, 0)
		return
	}
	peer.telling--
	n.plan.QueryDone(s.now, peer.name, Fresh, 0)
	s.learn(n)
}

// inTouch is the time from which all bounds hold after a start of all machines.
const inTouch = 5 * time.Second

// Guards against a start of all instances at once, as after a loss of power, in which
// each reads a long list of endpoints and the store is busy for many seconds.
func TestStartOfAllWithALongList(t *testing.T) {
	for _, count := range []int{1, 5, 31, 300} {
		s := newStart(count, false)
		took := s.run(2 * inTouch)
		if took > inTouch {
			t.Errorf("%d instances know after %v, %d long reads", count, took, s.longReads)
		}
		t.Logf("%d instances: all know after %v, %d long reads", count, took, s.longReads)
	}
	without := newStart(600, true)
	if took := without.run(inTouch + time.Second); took <= inTouch {
		t.Errorf("without the delay all know after %v: the test shows nothing", took)
	}
}
