package lease

import "time"

const (
	// OrphanTimeout is how long a lease must have lapsed before an instance counts
	// as orphaned. By then every instance with a controld has declared it dead
	// (4 s) and sends it no packets; only other orphans do.
	OrphanTimeout = 6 * time.Second
	// MaxTickGap is the longest time between two ticks of a process that runs.
	MaxTickGap = time.Second
)

// OrphanDetector tells an instance whose controld is gone from one that was paused. When
// the controld daemons of a whole group are gone, entryd must go on forwarding;
// after a pause it must not, because its flows may be on other instances by then.
type OrphanDetector struct {
	lastTick     time.Duration
	runningSince time.Duration
}

// Tick is called several times a second while the process runs.
func (o *OrphanDetector) Tick(now time.Duration) {
	if now-o.lastTick > MaxTickGap {
		o.runningSince = now
	}
	o.lastTick = now
}

// Orphaned reports whether the process has run without a pause for OrphanAfter
// since the lease lapsed.
func (o *OrphanDetector) Orphaned(l *Lease, now time.Duration) bool {
	if !l.granted || l.Valid(now) || now-o.lastTick > MaxTickGap {
		return false
	}
	lapsed := l.renewed + l.duration
	return now-max(lapsed, o.runningSince) >= OrphanTimeout
}
