package ownership

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/common"
)

const seed = 20261204

func members(n int) []common.Member {
	list := make([]common.Member, n)
	for i := range list {
		list[i] = common.Member{ID: common.InstanceIDOf(fmt.Sprint("entry-", i)), State: common.MemberServing}
	}
	return list
}

func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = 20
	return p
}

// moduloOwner is the naive assignment: the slot number modulo the number of
// members.
func moduloOwner(members []common.Member, slot uint16) common.InstanceID {
	ids := owners(members)
	return ids[int(slot)%len(ids)]
}

// leaveMovesOnlyOwnSlots checks that a leaving member's slots go to their
// successors and that all other slots keep their owner. If naive is set, it checks
// the modulo assignment instead, which must fail.
func leaveMovesOnlyOwnSlots(naive bool) gopter.Prop {
	return prop.ForAll(func(n, leaving int) bool {
		all := members(n)
		before := Build(all, nil)
		left := all[leaving%n].ID
		all[leaving%n].State = common.MemberLeaving
		after := Build(all, before)
		for slot := range uint16(common.Slots) {
			old, _ := before.Owner(slot)
			next, _ := after.Owner(slot)
			successor, _ := before.Successor(slot)
			if naive {
				old, next = moduloOwner(members(n), slot), moduloOwner(all, slot)
				successor = next
			}
			if (old != left && next != old) || (old == left && next != successor) {
				return false
			}
		}
		return true
	}, gen.IntRange(2, 12), gen.IntRange(0, 11))
}

// Guards against a leave that moves slots of the remaining members.
func TestLeaveMovesOnlyOwnSlots(t *testing.T) {
	t.Logf("seed %d", seed)
	properties := gopter.NewProperties(parameters())
	properties.Property("rendezvous", leaveMovesOnlyOwnSlots(false))
	properties.TestingRun(t)
	if leaveMovesOnlyOwnSlots(true).Check(parameters()).Passed() {
		t.Error("the property also holds for the naive assignment")
	}
}

// Guards against an incremental table that differs from a full build, in which
// case two instances would assign a slot to different owners.
func TestIncrementalEqualsFull(t *testing.T) {
	t.Logf("seed %d", seed)
	properties := gopter.NewProperties(parameters())
	properties.Property("same slots", prop.ForAll(func(changes []int) bool {
		all := members(10)
		table := Build(all, nil)
		for _, change := range changes {
			if all[change].State == common.MemberServing {
				all[change].State = common.MemberDead
			} else {
				all[change].State = common.MemberServing
			}
			table = Build(all, table)
		}
		return *table.slots == *Build(all, nil).slots
	}, gen.SliceOfN(6, gen.IntRange(0, 9))))
	properties.TestingRun(t)
}

// Guards against an uneven assignment: with 192 members, no member owns more than
// 1.5 times the mean number of slots.
func TestBalance(t *testing.T) {
	table := Build(members(192), nil)
	count := make(map[common.InstanceID]int)
	for slot := range uint16(common.Slots) {
		owner, _ := table.Owner(slot)
		count[owner]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	if ratio := float64(most) * 192 / common.Slots; ratio > 1.5 {
		t.Errorf("one member owns %.2f times the mean number of slots", ratio)
	}
}

// Guards against a panic or a nonexistent owner in groups of zero or one member.
func TestSmallGroups(t *testing.T) {
	if _, found := Build(nil, nil).Owner(3); found {
		t.Error("an empty group has an owner")
	}
	one := Build(members(1), nil)
	if _, found := one.Successor(3); found {
		t.Error("a single member has a successor")
	}
	if _, found := one.Owner(3); !found {
		t.Error("a single member does not own its slots")
	}
}

// Measures a full build for a data centre with the target number of instances.
func BenchmarkBuild192(b *testing.B) {
	all := members(192)
	for b.Loop() {
		Build(all, nil)
	}
}

// Measures the incremental build after one member of a data centre with the
// target number of instances was lost.
func BenchmarkLeave192(b *testing.B) {
	all := members(192)
	table := Build(all, nil)
	all[7].State = common.MemberDead
	b.ReportAllocs()
	for b.Loop() {
		Build(all, table)
	}
}
