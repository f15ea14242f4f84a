package lease

import (
	"testing"
	"time"
)

const tick = 250 * time.Millisecond

func leased(t *testing.T) (*Lease, *OrphanDetector) {
	t.Helper()
	l, o := &Lease{}, &OrphanDetector{}
	if _, err := l.Renew(0, DefaultDuration, 1); err != nil {
		t.Fatal(err)
	}
	return l, o
}

func run(o *OrphanDetector, from, to time.Duration) {
	for now := from; now <= to; now += tick {
		o.Tick(now)
	}
}

// Guards against an instance that drops every relayed packet for good when the
// controld daemons of the whole group are gone.
func TestRunningInstanceBecomesOrphaned(t *testing.T) {
	l, o := leased(t)
	end := DefaultDuration + OrphanTimeout
	run(o, 0, end)
	if o.Orphaned(l, end-tick) {
		t.Error("orphaned before peers have declared it dead")
	}
	if !o.Orphaned(l, end) {
		t.Error("not orphaned without a controld")
	}
}

// Guards against an instance that wakes from a pause and forwards by a flow
// table that is older than the one of its successor.
func TestPausedInstanceIsNotOrphaned(t *testing.T) {
	l, o := leased(t)
	run(o, 0, DefaultDuration)
	woken := time.Minute
	if o.Orphaned(l, woken) {
		t.Error("orphaned before the first tick after a pause")
	}
	run(o, woken, woken+OrphanTimeout-tick)
	if o.Orphaned(l, woken+OrphanTimeout-tick) {
		t.Error("the pause counted")
	}
}

// Guards against a renewed lease that leaves the instance orphaned.
func TestRenewalEndsOrphaned(t *testing.T) {
	l, o := leased(t)
	end := DefaultDuration + OrphanTimeout
	run(o, 0, end)
	if _, err := l.Renew(end, DefaultDuration, 2); err != nil {
		t.Fatal(err)
	}
	if o.Orphaned(l, end) {
		t.Error("orphaned with a valid lease")
	}
}
