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

// modulo is the naive assignment: the slot number modulo the members.
func modulo(members []common.Member, slot uint16) common.InstanceID {
	ids := owners(members)
	return ids[int(slot)%len(ids)]
}

// leaveMovesOnlyOwnSlots holds when a leave moves no slot of another member and
// each slot of the leaver goes to its successor.
func leaveMovesOnlyOwnSlots(naive bool) gopter.Prop {
	return prop.ForAll(func(n, leaver int) bool {
		all := members(n)
		before := Build(all, nil)
		left := all[leaver%n].ID
		all[leaver%n].State = common.MemberLeaving
		after := Build(all, before)
		for slot := range uint16(common.Slots) {
			old, _ := before.Owner(slot)
			next, _ := after.Owner(slot)
			successor, _ := before.Successor(slot)
			if naive {
				old, next = modulo(members(n), slot), modulo(all, slot)
				successor = next
			}
			if (old != left && next != old) || (old == left && next != successor) {
				return false
			}
		}
		return true
	}, gen.IntRange(2, 12), gen.IntRange(0, 11))
}

// Guards against a leave that moves slots of members that stay.
func TestLeaveMovesOnlyOwnSlots(t *testing.T) {
	t.Logf("seed %d", seed)
	properties := gopter.NewProperties(parameters())
	properties.Property("rendezvous", leaveMovesOnlyOwnSlots(false))
	properties.TestingRun(t)
	if leaveMovesOnlyOwnSlots(true).Check(parameters()).Passed() {
		t.Error("the property holds for the naive assignment, too")
	}
}

// Guards against an incremental table that differs from a table built at once,
// which would give two instances different owners.
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

// Guards against a busiest member far above the mean at the target scale.
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
		t.Errorf("the busiest member has %.2f times the mean", ratio)
	}
}

// Guards against a panic or an invented owner in small groups.
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

// The full table of a data centre at the target scale.
func BenchmarkBuild192(b *testing.B) {
	all := members(192)
	for b.Loop() {
		Build(all, nil)
	}
}

// One member fewer in a data centre at the target scale.
func BenchmarkLeave192(b *testing.B) {
	all := members(192)
	table := Build(all, nil)
	all[7].State = common.MemberDead
	b.ReportAllocs()
	for b.Loop() {
		Build(all, table)
	}
}
