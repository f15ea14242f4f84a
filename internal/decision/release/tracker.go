// Package release decides which release an instance applies and when a
// publication is accepted. It holds no clock, socket or goroutine.
package release

import (
	"strings"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Ref names a release by number and SHA-256 of its body. The hash may be
// shortened to a prefix in datagrams.
type Ref struct {
	Number uint64
	Hash   string
	// Attempt counts the releases that were withdrawn before this one. A
	// refused release is removed and its number used again, so a written
	// release is ordered by number and attempt.
	Attempt uint32
}

// after reports whether r was written after other.
func (r Ref) after(other Ref) bool {
	if r.Number != other.Number {
		return r.Number > other.Number
	}
	return r.Attempt > other.Attempt
}

// HashPrefixDigits is the number of hash digits in datagrams; 64 bits tell any two
// releases of one number apart.
const HashPrefixDigits = 16

// Short returns the reference with a shortened hash.
func (r Ref) Short() Ref {
	if len(r.Hash) > HashPrefixDigits {
		r.Hash = r.Hash[:HashPrefixDigits]
	}
	return r
}

// Matches reports whether both name the same release. A hash shorter than
// HashPrefix matches nothing.
func (r Ref) Matches(other Ref) bool {
	if r.Number != other.Number || len(r.Hash) < HashPrefixDigits || len(other.Hash) < HashPrefixDigits {
		return false
	}
	return strings.HasPrefix(r.Hash, other.Hash) || strings.HasPrefix(other.Hash, r.Hash)
}

// Tracker is the release state of one instance.
type Tracker struct {
	inForce  Ref
	accepted Ref
	prepared Ref
	// withdrawn is the newest release known to be removed again.
	withdrawn Ref
}

// InForce returns the release that the instance applies.
func (t *Tracker) InForce() Ref { return t.inForce }

// Accepted returns the newest release known to be accepted.
func (t *Tracker) Accepted() Ref { return t.accepted }

// Prepared returns the newest release known to be written and not accepted.
func (t *Tracker) Prepared() Ref { return t.prepared }

// ObservePointer takes the pointer as seen at the platform or told by a peer,
// and reports whether it was news. A pointer that lags is ignored.
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

func (t *Tracker) completeHash(ref Ref) bool {
	if t.accepted.Matches(ref) && len(ref.Hash) > len(t.accepted.Hash) {
		t.accepted.Hash = ref.Hash
	}
	return false
}

// ObservePrepared takes a written release that is not accepted yet and reports
// whether it was news.
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

// Withdraw drops a written release that was removed again.
func (t *Tracker) Withdraw(ref Ref) {
	if ref.after(t.withdrawn) {
		t.withdrawn = ref
	}
	if !t.prepared.after(t.withdrawn) {
		t.prepared = Ref{}
	}
}

// Pending returns the accepted release that is not in force yet.
func (t *Tracker) Pending() (Ref, bool) {
	return t.accepted, t.accepted.Number > t.inForce.Number
}

// Apply puts a loaded release in force. It refuses a release that is not the
// accepted one or not above the one in force.
func (t *Tracker) Apply(ref Ref) error {
	if ref.Number <= t.inForce.Number {
		return resultcode.Errorf(resultcode.SnapshotOldRelease,
			"release %d is not above release %d in force", ref.Number, t.inForce.Number)
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
