// Package ownership assigns each slot an owner and a successor among the
// members of a group that may own slots (serving or suspect), by rendezvous
// hashing.
package ownership

import (
	"slices"

	"burdockrelay.example/burdockrelay/common"
)

// noMember marks a slot without an owner or successor. It is never the position of a
// member, because a group has far fewer than 65,535 members.
const noMember = ^uint16(0)

// Table is the immutable assignment of slots for one membership view.
type Table struct {
	members []common.InstanceID // sorted
	seeds   []uint64            // hash of each member ID, by position
	slots   *slotTable
}

// slotTable holds positions in Table.members, indexed by slot.
type slotTable struct {
	owner     [common.Slots]uint16
	successor [common.Slots]uint16
}

// Build returns the assignment for the members that may own slots. previous may be
// nil and does not affect the result; it saves work: only the slots of members that
// left are ranked again, and new members are only compared with the current owner
// and successor of each slot.
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
		t.buildIncremental(previous)
	}
	return t
}

// Owner returns the instance that owns the slot, and false if no member may own
// slots.
func (t *Table) Owner(slot uint16) (common.InstanceID, bool) {
	return t.member(t.slots.owner[slot%common.Slots])
}

// Successor returns the instance that takes over the slot if its owner leaves or
// dies, and false if fewer than two members may own slots.
func (t *Table) Successor(slot uint16) (common.InstanceID, bool) {
	return t.member(t.slots.successor[slot%common.Slots])
}

// Members returns the instances that may own slots, sorted by ID. The caller
// must not modify the slice.
func (t *Table) Members() []common.InstanceID {
	return t.members
}

func (t *Table) member(position uint16) (common.InstanceID, bool) {
	if position == noMember {
		return 0, false
	}
	return t.members[position], true
}

// owners returns the IDs of the members that may own slots, sorted.
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
		t.rankAll(slot)
	}
}

// rankAll computes the owner and successor of a slot from all members.
func (t *Table) rankAll(slot int) {
	t.slots.owner[slot], t.slots.successor[slot] = noMember, noMember
	for position := range t.members {
		t.offer(slot, uint16(position))
	}
}

// offer makes the member the owner or successor of the slot if it outranks the
// current one.
func (t *Table) offer(slot int, position uint16) {
	owner, successor := t.slots.owner[slot], t.slots.successor[slot]
	switch {
	case owner == noMember || t.outranks(slot, position, owner):
		t.slots.owner[slot], t.slots.successor[slot] = position, owner
	case successor == noMember || t.outranks(slot, position, successor):
		t.slots.successor[slot] = position
	}
}

// outranks compares the rendezvous weights of two members for a slot. The lower
// position wins a tie.
func (t *Table) outranks(slot int, a, b uint16) bool {
	x, y := t.weight(slot, a), t.weight(slot, b)
	if x != y {
		return x > y
	}
	return a < b
}

func (t *Table) weight(slot int, position uint16) uint64 {
	return mix(t.seeds[position] ^ uint64(slot)*0x9e3779b97f4a7c15)
}

func (t *Table) buildIncremental(previous *Table) {
	t.slots = &slotTable{}
	positions := t.positionsFrom(previous)
	joined := t.joinedSince(previous)
	for slot := range t.slots.owner {
		t.updateSlot(slot, previous, positions, joined)
	}
}

// positionsFrom maps positions in the previous table to positions in t. Members
// that left map to noMember.
func (t *Table) positionsFrom(previous *Table) []uint16 {
	positions := make([]uint16, len(previous.members))
	for i, id := range previous.members {
		positions[i] = noMember
		if at, found := slices.BinarySearch(t.members, id); found {
			positions[i] = uint16(at)
		}
	}
	return positions
}

// joinedSince returns the positions of the members that are not in previous.
func (t *Table) joinedSince(previous *Table) []uint16 {
	var joined []uint16
	for i, id := range t.members {
		if _, found := slices.BinarySearch(previous.members, id); !found {
			joined = append(joined, uint16(i))
		}
	}
	return joined
}

// updateSlot copies the assignment of a slot from the previous table and compares it
// with the members that joined. It ranks all members again if the owner or successor
// left.
func (t *Table) updateSlot(slot int, previous *Table, positions, joined []uint16) {
	owner, ownerLeft := currentPosition(previous.slots.owner[slot], positions)
	successor, successorLeft := currentPosition(previous.slots.successor[slot], positions)
	if ownerLeft || successorLeft {
		t.rankAll(slot)
		return
	}
	t.slots.owner[slot], t.slots.successor[slot] = owner, successor
	for _, position := range joined {
		t.offer(slot, position)
	}
}

// currentPosition maps a position in the previous table to the current one and
// reports whether that member left.
func currentPosition(position uint16, positions []uint16) (uint16, bool) {
	if position == noMember {
		return noMember, false
	}
	return positions[position], positions[position] == noMember
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
