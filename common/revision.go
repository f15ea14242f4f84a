package common

import (
	"cmp"
	"fmt"
)

// Revision identifies a state of the object store. The store counts its changes in
// Number. When it is restored from an older copy of its content, Number goes back and is
// assigned again, and Era grows. The zero value precedes every state.
type Revision struct {
	Era    uint64
	Number uint64
}

// Compare returns -1 if r precedes other, 1 if other precedes r, and 0 if they are equal.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether other precedes r.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the form used in logs: the era and the number, separated by a dot.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era, r.Number) }
