package lease

import "time"

const (
	// OrphanTimeout is the time after the lease expired at which an instance counts
	// as orphaned. By then every instance with a controld has declared it dead
	// (after 4 s) and sends it no packets; only other orphaned instances do.
	OrphanTimeout = 6 * time.Second
	// MaxTickGap is the maximum time between two ticks of a running process. A
	// longer gap means that the process was paused.
	MaxTickGap = time.Second
)

// OrphanDetector distinguishes an instance that lost its controld from one whose
// process was paused. When all controld daemons of a group have failed, entryd
// must continue to forward; after a pause it must not, because other instances
// may have taken over its flows.
type OrphanDetector struct {
	lastTick time.Duration
	// runningSince is the first tick after the last pause.
	runningSince time.Duration
}

// Tick records that the process is running. It must be called several times per
// MaxTickGap.
func (o *OrphanDetector) Tick(now time.Duration) {
	if now-o.lastTick > MaxTickGap {
		o.runningSince = now
	}
	o.lastTick = now
}

// Orphaned reports whether the process has run without a pause for OrphanTimeout
// since the lease expired. It is false for a lease that was never granted.
func (o *OrphanDetector) Orphaned(l *Lease, now time.Duration) bool {
	if !l.granted || l.Valid(now) || now-o.lastTick > MaxTickGap {
		return false
	}
	expiredAt := l.renewed + l.duration
	return now-max(expiredAt, o.runningSince) >= OrphanTimeout
}
