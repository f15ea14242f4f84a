// Package label computes the labels that flows carry to name their endpoint.
//
// Every instance computes the same labels from the endpoint's identity alone, so
// an instance that has just started sends a flow where the others do. An
// endpoint has several possible labels. Of the endpoints that share one, the
// label names the one that is live, then the one born first; the others use
// their next label.
package label

import (
	"cmp"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Label names the endpoint of a flow in its packets. 0 is no label.
type Label uint32

const (
	// Variants is the number of labels that an endpoint may use. With 14,000
	// endpoints 23 in a thousand fleets have a pair that shares its first
	// label, so four variants suffice.
	Variants = 4
	// variantMask selects the bits of a label that hold its variant, so that
	// labels of different variants never collide.
	variantMask = Variants - 1
)

// Of returns one of the labels of an endpoint.
func Of(number uint64, variant int) Label {
	var input [9]byte
	binary.BigEndian.PutUint64(input[:8], number)
	input[8] = byte(variant)
	result := Label(uint32(xxhash.Sum64(input[:]))&^variantMask | uint32(variant))
	if result == 0 {
		return Variants
	}
	return result
}

// Holder is an endpoint that labels may name.
type Holder struct {
	Number uint64
	// Live is false for an endpoint that has left or is missing.
	Live bool
	// StartedAt is the start of the endpoint in Unix milliseconds, 0 when unknown.
	StartedAt int64
}

// precedes reports whether h keeps a label that both could have.
func (h Holder) precedes(other Holder) bool {
	if h.Live != other.Live {
		return h.Live
	}
	if order := cmp.Compare(h.startedAtOrLast(), other.startedAtOrLast()); order != 0 {
		return order < 0
	}
	return h.Number < other.Number
}

// startedAtOrLast puts an endpoint of unknown start behind the others: its entry may
// come from a foreign writer.
func (h Holder) startedAtOrLast() int64 {
	if h.StartedAt == 0 {
		return math.MaxInt64
	}
	return h.StartedAt
}

// Table resolves labels to the positions of their holders.
type Table struct {
	positions map[Label]int
	own       []Label
	// Collisions counts the labels that more than one holder could have.
	Collisions int
}

// Build returns the table of the holders. Two holders of the same number are the
// same endpoint for the purpose of labels; the first in order keeps the label.
func Build(holders []Holder) *Table {
	t := &Table{positions: make(map[Label]int, len(holders)*Variants), own: make([]Label, len(holders))}
	for position := range holders {
		t.claim(holders, position)
	}
	for position := range holders {
		t.own[position] = t.choose(holders[position].Number, position)
	}
	return t
}

func (t *Table) claim(holders []Holder, position int) {
	for variant := range Variants {
		l := Of(holders[position].Number, variant)
		present, taken := t.positions[l]
		if taken {
			t.Collisions++
		}
		if !taken || holders[position].precedes(holders[present]) {
			t.positions[l] = position
		}
	}
}

func (t *Table) choose(number uint64, position int) Label {
	for variant := range Variants {
		l := Of(number, variant)
		if t.positions[l] == position {
			return l
		}
	}
	return 0
}

// Own returns the label that new flows of the holder get, 0 if others hold all of
// its labels.
func (t *Table) Own(position int) Label {
	return t.own[position]
}

// Resolve returns the position of the holder that a label names.
func (t *Table) Resolve(l Label) (position int, found bool) {
	position, found = t.positions[l]
	return position, found
}
