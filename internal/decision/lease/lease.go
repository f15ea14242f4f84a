// Package lease decides whether an instance may act as an owner. All times are
// readings of one monotonic clock, passed in by the caller.
package lease

import (
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// DefaultDuration is how long an owner may act after a renewal. It is below
// the 4 s after which peers declare a silent instance dead, so an owner stops
// before its successor starts.
const DefaultDuration = 3 * time.Second

// Lease is the ownership lease of one instance. The zero value is fenced. It is
// not safe for concurrent use.
type Lease struct {
	granted     bool
	renewed     time.Duration
	duration    time.Duration
	incarnation uint64
}

// Renew extends the lease from now and reports whether the instance was fenced
// before, in which case it must rejoin with a higher incarnation. A lapsed lease
// stays lapsed until then, because peers may have taken over: a controld that
// was paused as well would otherwise renew before it learns that. A renewal for
// a lower incarnation, from a controld that was replaced, is refused.
func (l *Lease) Renew(now, duration time.Duration, incarnation uint64) (wasFenced bool, err error) {
	if l.granted && incarnation < l.incarnation {
		return !l.Valid(now), resultcode.Errorf(resultcode.LeaseOldIncarnation,
			"lease of incarnation %d refused, %d is in force", incarnation, l.incarnation)
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

// Valid reports whether the instance may act as an owner at this time. A time
// before the renewal is invalid, because a monotonic clock never shows one.
func (l *Lease) Valid(now time.Duration) bool {
	if !l.granted || now < l.renewed {
		return false
	}
	return now-l.renewed < l.duration
}

// Incarnation returns the incarnation of the last renewal.
func (l *Lease) Incarnation() uint64 {
	return l.incarnation
}
