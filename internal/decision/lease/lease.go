// Package lease implements the ownership lease of an instance: the instance may
// act as a slot owner only while its lease is valid. All times are readings of
// one monotonic clock, passed in by the caller.
package lease

import (
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// DefaultDuration is the maximum time that a renewed lease stays valid. It is
// below the 4 s after which peers declare an unresponsive instance dead, so an
// owner stops acting before its successor starts.
const DefaultDuration = 3 * time.Second

// Lease is the ownership lease of one instance. The zero value is a lease that was
// never granted. An instance without a valid lease is fenced: it must not act as an
// owner. Lease is not safe for concurrent use.
type Lease struct {
	granted     bool
	renewed     time.Duration
	duration    time.Duration
	incarnation uint64
}

// Renew makes the lease valid for duration, at most DefaultDuration, from now and
// reports whether the instance was fenced before.
//
// An expired lease is not renewed for the same incarnation: peers may have taken over
// the slots, and a controld that was paused as well may not have detected it yet.
// The instance must rejoin with a higher incarnation first. A renewal for a lower
// incarnation comes from a replaced controld and fails with LeaseOldIncarnation.
func (l *Lease) Renew(now, duration time.Duration, incarnation uint64) (wasFenced bool, err error) {
	if l.granted && incarnation < l.incarnation {
		return !l.Valid(now), resultcode.Errorf(resultcode.LeaseOldIncarnation,
			"lease renewal refused: incarnation %d is lower than the current incarnation %d", incarnation, l.incarnation)
	}
	wasFenced = !l.Valid(now)
	if wasFenced && l.granted && incarnation == l.incarnation {
		return true, nil
	}
	l.granted = true
	l.renewed = now
	l.duration = min(duration, DefaultDuration)
	l.incarnation = incarnation
	return wasFenced, nil
}

// Valid reports whether the instance may act as an owner at the given time. It is
// false before the last renewal, a time that a monotonic clock cannot return.
func (l *Lease) Valid(now time.Duration) bool {
	if !l.granted || now < l.renewed {
		return false
	}
	return now-l.renewed < l.duration
}

// Incarnation returns the incarnation of the last renewal, or 0 if the lease was never
// granted.
func (l *Lease) Incarnation() uint64 {
	return l.incarnation
}
