package lease

import (
	"testing"
	"time"
)

const tick = 250 * time.Millisecond

// newLeased returns a lease renewed at time 0 and a detector without ticks.
func newLeased(t *testing.T) (*Lease, *OrphanDetector) {
	t.Helper()
	l, o := &Lease{}, &OrphanDetector{}
	if _, err := l.Renew(0, DefaultDuration, 1); err != nil {
		t.Fatal(err)
	}
	return l, o
}

// tickBetween calls Tick at regular intervals, like a running process.
func tickBetween(o *OrphanDetector, from, to time.Duration) {
	for now := from; now <= to; now += tick {
		o.Tick(now)
	}
}

// Guards against an instance that drops all relayed packets indefinitely when
// every controld of the group has failed.
func TestRunningInstanceBecomesOrphaned(t *testing.T) {
	l, o := newLeased(t)
	end := DefaultDuration + OrphanTimeout
	tickBetween(o, 0, end)
	if o.Orphaned(l, end-tick) {
		t.Error("orphaned before peers have declared it dead")
	}
	if !o.Orphaned(l, end) {
		t.Error("not orphaned although the lease expired OrphanTimeout ago")
	}
}

// Guards against an instance that resumes after a pause and forwards with a stale
// flow table although its successor has taken over.
func TestPausedInstanceIsNotOrphaned(t *testing.T) {
	l, o := newLeased(t)
	tickBetween(o, 0, DefaultDuration)
	resumed := time.Minute
	if o.Orphaned(l, resumed) {
		t.Error("orphaned before the first tick after a pause")
	}
	tickBetween(o, resumed, resumed+OrphanTimeout-tick)
	if o.Orphaned(l, resumed+OrphanTimeout-tick) {
		t.Error("the pause counted towards OrphanTimeout")
	}
}

// Guards against an instance that stays orphaned after its lease was renewed.
func TestRenewalEndsOrphaned(t *testing.T) {
	l, o := newLeased(t)
	end := DefaultDuration + OrphanTimeout
	tickBetween(o, 0, end)
	if _, err := l.Renew(end, DefaultDuration, 2); err != nil {
		t.Fatal(err)
	}
	if o.Orphaned(l, end) {
		t.Error("orphaned with a valid lease")
	}
}
