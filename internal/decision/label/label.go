// Package label computes the labels that packets carry to identify the endpoint of their
// flow.
//
// Every instance computes the same labels, using only properties of the endpoints. An
// instance that has just started therefore forwards a flow to the same endpoint as the
// others. Each endpoint has several candidate labels. If endpoints share a candidate, it is
// assigned to a live endpoint before others, then to the one that started first. The
// others use their next candidate.
package label

import (
	"cmp"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Label identifies the endpoint of a flow in its packets. 0 means no label.
type Label uint32

const (
	// Variants is the number of candidate labels of an endpoint. Four suffice, because
	// collisions are rare even among the first candidates: with 14,000 endpoints, two of
	// them share a first candidate in 23 of 1,000 fleets.
	Variants = 4
	// variantMask selects the bits of a label that hold its variant number. Labels of
	// different variants thus never collide.
	variantMask = Variants - 1
)

// Of returns the candidate label of the endpoint with the given ID for a variant from 0
// to Variants-1.
func Of(id uint64, variant int) Label {
	var input [9]byte
	binary.BigEndian.PutUint64(input[:8], id)
	input[8] = byte(variant)
	result := Label(uint32(xxhash.Sum64(input[:]))&^variantMask | uint32(variant))
	if result == 0 {
		return Variants
	}
	return result
}

// Holder is an endpoint that labels can be assigned to.
type Holder struct {
	ID uint64
	// Live is false for an endpoint that is not listed any more.
	Live bool
	// StartedAt is when the endpoint started, in Unix milliseconds, 0 if unknown.
	StartedAt int64
}

// precedes reports whether h rather than other gets a label that both could have.
func (h Holder) precedes(other Holder) bool {
	if h.Live != other.Live {
		return h.Live
	}
	if order := cmp.Compare(h.startedAtOrLast(), other.startedAtOrLast()); order != 0 {
		return order < 0
	}
	return h.ID < other.ID
}

// startedAtOrLast returns the start time, or the maximum if it is unknown: an endpoint
// without a start time, whose entry another program may have written, ranks last.
func (h Holder) startedAtOrLast() int64 {
	if h.StartedAt == 0 {
		return math.MaxInt64
	}
	return h.StartedAt
}

// Table maps labels to the positions of their holders.
type Table struct {
	positions map[Label]int
	own       []Label
	// Collisions counts the collisions of candidate labels between holders.
	Collisions int
}

// Build returns the table for the given holders. Two holders with the same ID have the same
// candidate labels, and only the one that takes precedence is assigned any.
func Build(holders []Holder) *Table {
	t := &Table{positions: make(map[Label]int, len(holders)*Variants), own: make([]Label, len(holders))}
	for position := range holders {
		t.claim(holders, position)
	}
	for position := range holders {
		t.own[position] = t.choose(holders[position].ID, position)
	}
	return t
}

func (t *Table) claim(holders []Holder, position int) {
	for variant := range Variants {
		l := Of(holders[position].ID, variant)
		present, taken := t.positions[l]
		if taken {
			t.Collisions++
		}
		if !taken || holders[position].precedes(holders[present]) {
			t.positions[l] = position
		}
	}
}

func (t *Table) choose(id uint64, position int) Label {
	for variant := range Variants {
		l := Of(id, variant)
		if t.positions[l] == position {
			return l
		}
	}
	return 0
}

// Own returns the label for new flows of a holder, 0 if all of its candidate labels are
// assigned to others.
func (t *Table) Own(position int) Label {
	return t.own[position]
}

// Resolve returns the position of the holder that a label is assigned to.
func (t *Table) Resolve(l Label) (position int, found bool) {
	position, found = t.positions[l]
	return position, found
}
