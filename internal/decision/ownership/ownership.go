// Package ownership assigns each slot an owner and a successor among the
// serving members of a group by rendezvous hashing.
package ownership

import (
	"slices"

	"burdockrelay.example/burdockrelay/common"
)

// none marks a slot without an owner or successor. Member positions are below
// it because a group has far fewer than 65,535 members.
const none = ^uint16(0)

// Table is the immutable assignment of slots for one membership view.
type Table struct {
	members []common.InstanceID // sorted
	seeds   []uint64
	slots   *slotTable
}

type slotTable struct {
	owner     [common.Slots]uint16
	successor [common.Slots]uint16
}

// Build returns the assignment for the members that may own slots. With a
// previous table, only the slots of members that left are recomputed and each
// new member is compared with the present owner and successor.
func Build(members []common.Member, previous *Table) *Table {
	t := &Table{members: owners(members)}
	t.seeds = make([]uint64, len(t.members))
	for i, id := range t.members {
		t.seeds[i] = mix(uint64(id))
	}
	switch {
	case previous == nil:
		t.buildAll()
	case slices.Equal(previous.members, t.members):
		t.slots = previous.slots
	default:
		t.buildFrom(previous)
	}
	return t
}

// Owner returns the instance that owns the slot.
func (t *Table) Owner(slot uint16) (common.InstanceID, bool) {
	return t.member(t.slots.owner[slot%common.Slots])
}

// Successor returns the instance that owns the slot if the owner is lost.
func (t *Table) Successor(slot uint16) (common.InstanceID, bool) {
	return t.member(t.slots.successor[slot%common.Slots])
}

// Members returns the instances that may own slots, sorted. The caller must not
// change the slice.
func (t *Table) Members() []common.InstanceID {
	return t.members
}

func (t *Table) member(position uint16) (common.InstanceID, bool) {
	if position == none {
		return 0, false
	}
	return t.members[position], true
}

func owners(members []common.Member) []common.InstanceID {
	ids := make([]common.InstanceID, 0, len(members))
	for i := range members {
		if members[i].CanOwnSlots() {
			ids = append(ids, members[i].ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

func (t *Table) buildAll() {
	t.slots = &slotTable{}
	for slot := range t.slots.owner {
		t.rank(slot)
	}
}

// rank computes owner and successor of a slot from all members.
func (t *Table) rank(slot int) {
	t.slots.owner[slot], t.slots.successor[slot] = none, none
	for position := range t.members {
		t.offer(slot, uint16(position))
	}
}

// offer places the member as owner or successor of the slot if its weight is
// higher than that of the present one.
func (t *Table) offer(slot int, position uint16) {
	owner, successor := t.slots.owner[slot], t.slots.successor[slot]
	switch {
	case owner == none || t.above(slot, position, owner):
		t.slots.owner[slot], t.slots.successor[slot] = position, owner
	case successor == none || t.above(slot, position, successor):
		t.slots.successor[slot] = position
	}
}

func (t *Table) above(slot int, a, b uint16) bool {
	x, y := t.weight(slot, a), t.weight(slot, b)
	if x != y {
		return x > y
	}
	return a < b
}

func (t *Table) weight(slot int, position uint16) uint64 {
	return mix(t.seeds[position] ^ uint64(slot)*0x9e3779b97f4a7c15)
}

func (t *Table) buildFrom(previous *Table) {
	t.slots = &slotTable{}
	positions := t.positionsOf(previous)
	joined := t.joinedSince(previous)
	for slot := range t.slots.owner {
		t.carry(slot, previous, positions, joined)
	}
}

// positionsOf maps the positions of the previous members to present ones.
func (t *Table) positionsOf(previous *Table) []uint16 {
	positions := make([]uint16, len(previous.members))
	for i, id := range previous.members {
		positions[i] = none
		if at, found := slices.BinarySearch(t.members, id); found {
			positions[i] = uint16(at)
		}
	}
	return positions
}

func (t *Table) joinedSince(previous *Table) []uint16 {
	var joined []uint16
	for i, id := range t.members {
		if _, found := slices.BinarySearch(previous.members, id); !found {
			joined = append(joined, uint16(i))
		}
	}
	return joined
}

func (t *Table) carry(slot int, previous *Table, positions, joined []uint16) {
	owner, ownerLeft := translate(previous.slots.owner[slot], positions)
	successor, successorLeft := translate(previous.slots.successor[slot], positions)
	if ownerLeft || successorLeft {
		t.rank(slot)
		return
	}
	t.slots.owner[slot], t.slots.successor[slot] = owner, successor
	for _, position := range joined {
		t.offer(slot, position)
	}
}

// translate returns the present position of a previous one and whether that
// member left.
func translate(position uint16, positions []uint16) (uint16, bool) {
	if position == none {
		return none, false
	}
	return positions[position], positions[position] == none
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
