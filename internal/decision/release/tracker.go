// Package release decides which release an instance applies and when the
// publication of a release is accepted. It consists of state machines without
// clock, socket or goroutine.
package release

import (
	"strings"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Ref identifies a release by its number and the hexadecimal SHA-256 hash of its
// body. In datagrams, the hash is shortened to a prefix.
type Ref struct {
	Number uint64
	Hash   string
	// Attempt is the number of releases that were withdrawn before this one. A
	// refused release is removed and its number reused, so written releases are
	// ordered by number and attempt.
	Attempt uint32
}

// after reports whether r was written after other.
func (r Ref) after(other Ref) bool {
	if r.Number != other.Number {
		return r.Number > other.Number
	}
	return r.Attempt > other.Attempt
}

// HashPrefixDigits is the number of hexadecimal hash digits in datagrams. These 64
// bits suffice to distinguish the releases of one number.
const HashPrefixDigits = 16

// Short returns the reference with the hash shortened to HashPrefixDigits.
func (r Ref) Short() Ref {
	if len(r.Hash) > HashPrefixDigits {
		r.Hash = r.Hash[:HashPrefixDigits]
	}
	return r
}

// Matches reports whether both refer to the same release: the numbers are equal and
// one hash is a prefix of the other. A hash shorter than HashPrefixDigits matches
// nothing.
func (r Ref) Matches(other Ref) bool {
	if r.Number != other.Number || len(r.Hash) < HashPrefixDigits || len(other.Hash) < HashPrefixDigits {
		return false
	}
	return strings.HasPrefix(r.Hash, other.Hash) || strings.HasPrefix(other.Hash, r.Hash)
}

// Tracker tracks the releases on one instance: the one in force, the newest
// accepted one and the newest prepared one, which is written but not accepted yet.
// The zero value has no releases.
type Tracker struct {
	inForce  Ref
	accepted Ref
	prepared Ref
	// withdrawn is the newest release known to be withdrawn.
	withdrawn Ref
}

// InForce returns the release that the instance applies.
func (t *Tracker) InForce() Ref { return t.inForce }

// Accepted returns the newest release known to be accepted.
func (t *Tracker) Accepted() Ref { return t.accepted }

// Prepared returns the newest release known to be written but not accepted.
func (t *Tracker) Prepared() Ref { return t.prepared }

// ObservePointer handles the release pointer received from the platform or a peer,
// and reports whether it refers to a new release. An older pointer is ignored.
func (t *Tracker) ObservePointer(ref Ref) bool {
	if ref.Number == t.accepted.Number {
		return t.completeHash(ref)
	}
	if ref.Number < t.accepted.Number || len(ref.Hash) < HashPrefixDigits {
		return false
	}
	t.accepted = ref
	if t.prepared.Number <= ref.Number {
		t.prepared = Ref{}
	}
	return true
}

// completeHash replaces the prefix of the accepted release's hash by the full hash.
// It always returns false, because the release is not new.
func (t *Tracker) completeHash(ref Ref) bool {
	if t.accepted.Matches(ref) && len(ref.Hash) > len(t.accepted.Hash) {
		t.accepted.Hash = ref.Hash
	}
	return false
}

// ObservePrepared handles a release that is written but not accepted yet, and
// reports whether it is new.
func (t *Tracker) ObservePrepared(ref Ref) bool {
	if ref.Number <= t.accepted.Number || len(ref.Hash) < HashPrefixDigits {
		return false
	}
	if !ref.after(t.prepared) || !ref.after(t.withdrawn) {
		return false
	}
	t.prepared = ref
	return true
}

// Withdraw discards a prepared release that was removed from the platform.
func (t *Tracker) Withdraw(ref Ref) {
	if ref.after(t.withdrawn) {
		t.withdrawn = ref
	}
	if !t.prepared.after(t.withdrawn) {
		t.prepared = Ref{}
	}
}

// NextAttempt returns the lowest attempt with which a new release of a number is newer than
// the prepared and the withdrawn one.
func (t *Tracker) NextAttempt(number uint64) uint32 {
	next := uint32(0)
	for _, ref := range []Ref{t.prepared, t.withdrawn} {
		if ref.Number == number {
			next = max(next, ref.Attempt+1)
		}
	}
	return next
}

// Pending returns the newest accepted release, and true if it is not in force yet.
func (t *Tracker) Pending() (Ref, bool) {
	return t.accepted, t.accepted.Number > t.inForce.Number
}

// Apply puts a loaded release in force. It fails with SnapshotOldRelease if the
// release is not newer than the one in force, and with ReleaseHashMismatch if it is
// not the accepted one.
func (t *Tracker) Apply(ref Ref) error {
	if ref.Number <= t.inForce.Number {
		return resultcode.Errorf(resultcode.SnapshotOldRelease,
			"release %d is not newer than release %d in force", ref.Number, t.inForce.Number)
	}
	if !ref.Matches(t.accepted) {
		return resultcode.Errorf(resultcode.ReleaseHashMismatch,
			"release %d with hash %s is not the accepted release %d with hash %s",
			ref.Number, ref.Hash, t.accepted.Number, t.accepted.Hash)
	}
	t.inForce = ref
	t.accepted = ref
	return nil
}
