package lease

import (
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Guards against an owner that acts without a lease or after its lease has expired.
func TestLeaseExpires(t *testing.T) {
	var l Lease
	if l.Valid(0) {
		t.Error("a lease that was never granted is valid")
	}
	if fenced, err := l.Renew(time.Second, DefaultDuration, 1); !fenced || err != nil {
		t.Errorf("first renewal: %v, %v", fenced, err)
	}
	if !l.Valid(time.Second+DefaultDuration-1) || l.Valid(time.Second+DefaultDuration) {
		t.Error("the lease does not end exactly at its duration")
	}
}

// Guards against a fenced instance that resumes without rejoining: peers may have
// declared it dead, so only a higher incarnation makes its lease valid again.
func TestExpiredLeaseNeedsHigherIncarnation(t *testing.T) {
	var l Lease
	_, _ = l.Renew(0, DefaultDuration, 4)
	late := 10 * time.Second
	if fenced, err := l.Renew(late, DefaultDuration, 4); !fenced || err != nil || l.Valid(late) {
		t.Errorf("renewal of an expired lease: fenced %v, %v, valid %v", fenced, err, l.Valid(late))
	}
	if fenced, err := l.Renew(late, DefaultDuration, 5); !fenced || err != nil || !l.Valid(late) {
		t.Errorf("renewal with a higher incarnation: fenced %v, %v, valid %v", fenced, err, l.Valid(late))
	}
}

// Guards against a replaced controld that renews the lease of its replacement, and
// against a lease that outlasts the time after which peers take over.
func TestRefusesOldIncarnationAndLongDuration(t *testing.T) {
	var l Lease
	_, _ = l.Renew(0, time.Hour, 4)
	if l.Valid(DefaultDuration) {
		t.Error("the lease lasts longer than DefaultDuration")
	}
	_, err := l.Renew(time.Second, DefaultDuration, 3)
	if code, _ := resultcode.Of(err); code != resultcode.LeaseOldIncarnation {
		t.Errorf("renewal with a lower incarnation: %v", err)
	}
}
