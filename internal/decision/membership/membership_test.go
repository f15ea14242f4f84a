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

// faultKind is one failure of the list in the design, section 8.
type faultKind int

const (
	killMember faultKind = iota
	freezeMember
	replaceMember
	joinMember
	leaveList
	cutPair
	cutOneWay
	cutAway
	oldList
	faultKinds
)

// happen puts a fault in force and returns how to end it.
func (g *group) happen(kind faultKind) (end func()) {
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
	case leaveList:
		// The list drops an instance that is alive.
		g.setList(without(g.list, i))
	case cutPair:
		g.cut(i, j)
		g.cut(j, i)
		return g.heal
	case cutOneWay:
		g.cut(i, j)
		return g.heal
	case cutAway:
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
	case oldList:
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

// scenario starts a group and lets faults happen at any moment, alone and in
// pairs, then ends them and waits.
func scenario(seed int64, faults []int, check func(g *group)) *group {
	g := newGroup(seed, 5)
	g.check = func() { check(g) }
	g.startAll()
	g.run(time.Duration(2+g.random.IntN(10)) * time.Second)
	var ends []func()
	for _, kind := range faults {
		ends = append(ends, g.happen(faultKind(kind)))
		g.run(time.Duration(g.random.IntN(90)) * 100 * time.Millisecond)
	}
	for _, end := range ends {
		end()
		g.run(time.Duration(g.random.IntN(30)) * 100 * time.Millisecond)
	}
	return g
}

func faultLists() gopter.Gen {
	one := gen.SliceOfN(1, gen.IntRange(0, int(faultKinds)-1))
	two := gen.SliceOfN(2, gen.IntRange(0, int(faultKinds)-1))
	return gen.OneGenOf(one, two, two)
}

// Guards against two owners of one slot: an instance whose lease is valid must
// not be dead in the view of a peer that would take its slots over.
func TestOwnerIsFencedBeforeDeclaredDead(t *testing.T) {
	propertytest.Run(t, 300, func(properties *gopter.Properties) {
		properties.Property("no leased owner is declared dead", prop.ForAll(
			func(seed int64, faults []int) string {
				g := scenario(seed, faults, (*group).checkFencing)
				g.run(10 * time.Second)
				return g.fault
			},
			gen.Int64(), faultLists(),
		))
	})
}

// Guards against views that stay apart after the faults have ended, for example
// members that declared each other dead and never probe each other again.
func TestViewsAgreeAfterFaults(t *testing.T) {
	propertytest.Run(t, 150, func(properties *gopter.Properties) {
		properties.Property("views agree within 40 s of the last fault", prop.ForAll(
			func(seed int64, faults []int) string {
				g := scenario(seed, faults, func(*group) {})
				g.heal()
				g.setList(g.living())
				g.run(40 * time.Second)
				return g.disagreement()
			},
			gen.Int64(), faultLists(),
		))
	})
}

// Guards against an instance that returns from a pause as owner with its old
// incarnation, although a peer may have taken its slots over.
func TestPausedOwnerRejoinsWithHigherIncarnation(t *testing.T) {
	propertytest.Run(t, 100, func(properties *gopter.Properties) {
		properties.Property("an owner that was paused past its lease joins again", prop.ForAll(
			func(seed int64, tenths int) string {
				g := newGroup(seed, 4)
				g.startAll()
				g.run(12 * time.Second)
				f := g.fakes[g.random.IntN(4)]
				before := f.machine.Self()
				f.frozen = true
				g.run(time.Duration(tenths) * 100 * time.Millisecond)
				f.frozen = false
				g.run(stepTime)
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

// Guards against an instance list that goes back in time and brings instances
// back that it had dropped.
func TestOlderListIsIgnored(t *testing.T) {
	propertytest.Run(t, 100, func(properties *gopter.Properties) {
		properties.Property("the highest version of the list counts", prop.ForAll(
			func(seed int64) string {
				g := newGroup(seed, 5)
				g.startAll()
				g.run(10 * time.Second)
				gone := g.random.IntN(5)
				g.kill(gone)
				g.setList(without(g.list, gone))
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

// Guards against deviation from the defaults while a listed instance does not
// answer, and against a dead entry on a lagging list that forbids it for ever.
func TestListedDeadMemberUnsettlesForTheGrace(t *testing.T) {
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
			t.Errorf("%s is settled although the list has a dead instance", f.name)
		}
	}
	g.run(membership.DefaultConfig().ListGrace)
	for _, f := range g.fakes[:3] {
		if !f.machine.Settled(g.now) {
			t.Errorf("%s is not settled after the grace", f.name)
		}
	}
}

// Guards against a member that is declared dead because of lost datagrams.
func TestLossDeclaresNobodyDead(t *testing.T) {
	propertytest.Run(t, 10, func(properties *gopter.Properties) {
		properties.Property("5% loss declares nobody dead", prop.ForAll(
			func(seed int64) string {
				g := newGroup(seed, 5)
				g.loss = 0.05
				g.startAll()
				g.check = func() {
					for _, f := range g.fakes {
						for _, member := range f.machine.Members() {
							if member.State == common.MemberDead {
								g.fault = fmt.Sprintf("at %v %s declares %s dead", g.now, f.name, member.Name)
							}
						}
					}
				}
				g.run(2 * time.Minute)
				return g.fault
			},
			gen.Int64(),
		))
	})
}

// Bounds of the membership traffic of one member, both directions. Exceptions,
// endpoint states and drains share the 4 KB/s of a daemon with it.
const (
	steadyBytesPerSecond = 2048
	churnBytesPerSecond  = 4096
)

// Guards against control traffic that grows with the group, and a death that
// takes too long to reach everyone.
func TestControlBytesAndDetectionBySize(t *testing.T) {
	for _, n := range []int{5, 50, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := newGroup(propertytest.DefaultSeed, n)
			g.startAll()
			formed := g.until(90*time.Second, func() bool { return g.now%time.Second == 0 && g.disagreement() == "" })
			startMean, startHighest := g.rates(formed.Seconds())
			g.run(60 * time.Second)
			g.rates(60)
			g.run(30 * time.Second)
			mean, highest := g.rates(30)
			killed := g.now
			g.kill(0)
			dead := g.until(30*time.Second, func() bool { return g.allSeeDead(0) })
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
				t.Errorf("a death was known everywhere after %v", dead)
			}
		})
	}
}

// rates returns the mean and the highest rate of bytes, both directions, since
// the last call.
func (g *group) rates(seconds float64) (mean, highest float64) {
	for _, f := range g.fakes {
		rate := float64(f.sent+f.received) / seconds
		f.sent, f.received = 0, 0
		mean += rate / float64(len(g.fakes))
		highest = max(highest, rate)
	}
	return mean, highest
}

// until runs until a condition holds and returns the time it took.
func (g *group) until(limit time.Duration, condition func() bool) time.Duration {
	from := g.now
	for g.now-from < limit && !condition() {
		g.run(stepTime)
	}
	return g.now - from
}

func (g *group) allSeeDead(i int) bool {
	for _, f := range g.fakes {
		state, _, known := f.sees(g.fakes[i].id)
		if f.alive && (!known || state != common.MemberDead) {
			return false
		}
	}
	return true
}

// Guards against an instance that gives up its slots while it still makes
// exceptions: its successor would not know the youngest of them.
func TestPreparingLeaveKeepsTheSlotsAndUnsettlesTheView(t *testing.T) {
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
