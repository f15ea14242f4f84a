package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/membership"
	"burdockrelay.example/burdockrelay/internal/propertytest"
)

// faultKind is one of the failures in docs/design.md section 8.
type faultKind int

const (
	killMember faultKind = iota
	freezeMember
	replaceMember
	joinMember
	unlistMember
	partitionPair
	partitionOneWay
	isolateMember
	staleList
	faultKinds
)

// injectFault starts a fault on random instances and returns a function that ends
// it.
func (g *group) injectFault(kind faultKind) (end func()) {
	i := g.random.IntN(len(g.fakes))
	j := (i + 1 + g.random.IntN(len(g.fakes)-1)) % len(g.fakes)
	switch kind {
	case killMember:
		g.kill(i)
	case freezeMember:
		g.fakes[i].frozen = true
		return func() { g.fakes[i].frozen = false }
	case replaceMember:
		g.kill(i)
		return func() { g.start(i) }
	case joinMember:
		if !g.fakes[i].alive {
			g.start(i)
		}
	case unlistMember:
		// A running instance disappears from the list.
		g.setList(without(g.list, i))
	case partitionPair:
		g.cut(i, j)
		g.cut(j, i)
		return g.heal
	case partitionOneWay:
		g.cut(i, j)
		return g.heal
	case isolateMember:
		oneWay := g.random.IntN(2) == 0
		for k := range g.fakes {
			if k != i {
				g.cut(i, k)
			}
			if k != i && !oneWay {
				g.cut(k, i)
			}
		}
		return g.heal
	case staleList:
		g.deliverOldList()
	}
	return func() {}
}

func without(list []int, drop int) []int {
	var kept []int
	for _, i := range list {
		if i != drop {
			kept = append(kept, i)
		}
	}
	return kept
}

// scenario starts a group, injects the faults at random times so that they may
// overlap, and ends them. check runs after each step.
func scenario(seed int64, faults []int, check func(g *group)) *group {
	g := newGroup(seed, 5)
	g.check = func() { check(g) }
	g.startAll()
	g.run(time.Duration(2+g.random.IntN(10)) * time.Second)
	var ends []func()
	for _, kind := range faults {
		ends = append(ends, g.injectFault(faultKind(kind)))
		g.run(time.Duration(g.random.IntN(90)) * 100 * time.Millisecond)
	}
	for _, end := range ends {
		end()
		g.run(time.Duration(g.random.IntN(30)) * 100 * time.Millisecond)
	}
	return g
}

// faultLists generates lists of one or two faults.
func faultLists() gopter.Gen {
	one := gen.SliceOfN(1, gen.IntRange(0, int(faultKinds)-1))
	two := gen.SliceOfN(2, gen.IntRange(0, int(faultKinds)-1))
	return gen.OneGenOf(one, two, two)
}

// Guards against two owners of one slot: an instance with a valid lease must not be
// dead in the view of a peer, which would take its slots over.
func TestOwnerIsFencedBeforeDeclaredDead(t *testing.T) {
	propertytest.Run(t, 300, func(properties *gopter.Properties) {
		properties.Property("no leased owner is declared dead", prop.ForAll(
			func(seed int64, faults []int) string {
				g := scenario(seed, faults, (*group).checkFencing)
				g.run(10 * time.Second)
				return g.violation
			},
			gen.Int64(), faultLists(),
		))
	})
}

// Guards against views that still differ long after the faults ended, for example
// because members declared each other dead and no longer probe each other.
func TestViewsAgreeAfterFaults(t *testing.T) {
	propertytest.Run(t, 150, func(properties *gopter.Properties) {
		properties.Property("views agree within 40 s of the last fault", prop.ForAll(
			func(seed int64, faults []int) string {
				g := scenario(seed, faults, func(*group) {})
				g.heal()
				g.setList(g.aliveIndexes())
				g.run(40 * time.Second)
				return g.disagreement()
			},
			gen.Int64(), faultLists(),
		))
	})
}

// Guards against an instance that resumes after a pause as an owner with its old
// incarnation, although a peer may have taken its slots over.
func TestPausedOwnerRejoinsWithHigherIncarnation(t *testing.T) {
	propertytest.Run(t, 100, func(properties *gopter.Properties) {
		properties.Property("an owner that was paused for longer than its lease rejoins", prop.ForAll(
			func(seed int64, tenths int) string {
				g := newGroup(seed, 4)
				g.startAll()
				g.run(12 * time.Second)
				f := g.fakes[g.random.IntN(4)]
				before := f.machine.Self()
				f.frozen = true
				g.run(time.Duration(tenths) * 100 * time.Millisecond)
				f.frozen = false
				g.run(stepInterval)
				after := f.machine.Self()
				if after.Incarnation <= before.Incarnation || after.State != common.MemberJoining {
					return fmt.Sprintf("before %+v, after %+v", before, after)
				}
				return ""
			},
			gen.Int64(), gen.IntRange(31, 200),
		))
	})
}

// Guards against a stale instance list that brings removed instances back.
func TestOlderListIsIgnored(t *testing.T) {
	propertytest.Run(t, 100, func(properties *gopter.Properties) {
		properties.Property("the list with the highest version applies", prop.ForAll(
			func(seed int64) string {
				g := newGroup(seed, 5)
				g.startAll()
				g.run(10 * time.Second)
				removed := g.random.IntN(5)
				g.kill(removed)
				g.setList(without(g.list, removed))
				g.run(10 * time.Second)
				for range 5 {
					g.deliverOldList()
					g.run(time.Duration(g.random.IntN(20)) * 100 * time.Millisecond)
				}
				g.run(8 * time.Second)
				return g.disagreement()
			},
			gen.Int64(),
		))
	})
}

// Guards against a view that counts as settled while a listed instance does not
// answer, and against a dead instance on a stale list that keeps the view unsettled
// indefinitely.
func TestListedDeadMemberUnsettlesViewForGracePeriod(t *testing.T) {
	g := newGroup(propertytest.DefaultSeed, 4)
	g.startAll()
	g.run(12 * time.Second)
	if reason := g.disagreement(); reason != "" {
		t.Fatal(reason)
	}
	g.kill(3)
	g.run(20 * time.Second)
	for _, f := range g.fakes[:3] {
		if f.machine.Settled(g.now) {
			t.Errorf("%s is settled although a dead instance is on the list", f.name)
		}
	}
	g.run(membership.DefaultConfig().ListGrace)
	for _, f := range g.fakes[:3] {
		if !f.machine.Settled(g.now) {
			t.Errorf("%s is not settled after the grace period", f.name)
		}
	}
}

// Guards against a running member that is declared dead because 5% of the datagrams
// are lost.
func TestLossDeclaresNoMemberDead(t *testing.T) {
	propertytest.Run(t, 10, func(properties *gopter.Properties) {
		properties.Property("5% loss declares no member dead", prop.ForAll(
			func(seed int64) string {
				g := newGroup(seed, 5)
				g.loss = 0.05
				g.startAll()
				g.check = func() {
					for _, f := range g.fakes {
						for _, member := range f.machine.Members() {
							if member.State == common.MemberDead {
								g.violation = fmt.Sprintf("at %v %s declares %s dead", g.now, f.name, member.Name)
							}
						}
					}
				}
				g.run(2 * time.Minute)
				return g.violation
			},
			gen.Int64(),
		))
	})
}

// Limits of the membership traffic of one member, both directions together.
// Exceptions, endpoint states and drains share the daemon's 4 KB/s with it.
const (
	steadyBytesPerSecond = 2048
	churnBytesPerSecond  = 4096
)

// Guards against control traffic that exceeds its limits in large groups, and
// against a death that takes more than 10 s to reach all members.
func TestControlBytesAndDetectionBySize(t *testing.T) {
	for _, n := range []int{5, 50, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := newGroup(propertytest.DefaultSeed, n)
			g.startAll()
			formed := g.runUntil(90*time.Second, func() bool { return g.now%time.Second == 0 && g.disagreement() == "" })
			startMean, startHighest := g.rates(formed.Seconds())
			g.run(60 * time.Second)
			g.rates(60)
			g.run(30 * time.Second)
			mean, highest := g.rates(30)
			killed := g.now
			g.kill(0)
			dead := g.runUntil(30*time.Second, func() bool { return g.allSeeDead(0) })
			g.run(10 * time.Second)
			churnMean, churnHighest := g.rates((g.now - killed).Seconds())
			dropped := 0
			for _, f := range g.fakes {
				dropped += f.dropped
			}
			t.Logf("%d members: all agree after %v with %.0f B/s mean, %.0f highest; steady %.0f mean, %.0f highest; around a death %.0f mean, %.0f highest; dead everywhere after %v; %d datagrams dropped",
				n, formed, startMean, startHighest, mean, highest, churnMean, churnHighest, dead, dropped)
			if reason := g.disagreement(); formed >= 90*time.Second {
				t.Errorf("after 90 s: %s", reason)
			}
			if highest > steadyBytesPerSecond {
				t.Errorf("a member uses %.0f B/s, more than %d", highest, steadyBytesPerSecond)
			}
			if churnMean > churnBytesPerSecond || startMean > churnBytesPerSecond {
				t.Errorf("members use %.0f B/s at the start and %.0f around a death, more than %d", startMean, churnMean, churnBytesPerSecond)
			}
			if dead > 10*time.Second {
				t.Errorf("a death reached all members only after %v", dead)
			}
		})
	}
}

// rates returns the mean and the highest traffic of the instances in B/s, both
// directions together, since the last call, which was the given seconds ago.
func (g *group) rates(seconds float64) (mean, highest float64) {
	for _, f := range g.fakes {
		rate := float64(f.sent+f.received) / seconds
		f.sent, f.received = 0, 0
		mean += rate / float64(len(g.fakes))
		highest = max(highest, rate)
	}
	return mean, highest
}

// runUntil runs until the condition holds, at most for limit, and returns the time
// that passed.
func (g *group) runUntil(limit time.Duration, condition func() bool) time.Duration {
	from := g.now
	for g.now-from < limit && !condition() {
		g.run(stepInterval)
	}
	return g.now - from
}

func (g *group) allSeeDead(i int) bool {
	for _, f := range g.fakes {
		state, _, known := f.stateOf(g.fakes[i].id)
		if f.alive && (!known || state != common.MemberDead) {
			return false
		}
	}
	return true
}

// Guards against an instance that hands over its slots while it still creates
// exceptions: its successor would lack the newest ones.
func TestPrepareLeaveKeepsSlotsAndUnsettlesView(t *testing.T) {
	config := membership.DefaultConfig()
	self := membership.Update{ID: 1, Name: "entry-1", Incarnation: 1}
	machine := membership.New(config, self, 1, 0)
	machine.SetCandidates(1, []membership.Candidate{{ID: 1, Name: "entry-1"}}, 0)
	machine.Serve(0)
	machine.PrepareLeave()
	if machine.Settled(time.Hour) {
		t.Error("the view is settled while the instance prepares to leave")
	}
	if state := machine.Self().State; state != common.MemberServing {
		t.Errorf("state %v, want serving", state)
	}
}
