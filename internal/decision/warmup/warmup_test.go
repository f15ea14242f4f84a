package warmup

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/internal/propertytest"
)

// Guards against a limit above the formula, and against shares of two owners that together
// exceed it.
func TestLimitAndShare(t *testing.T) {
	for _, c := range []struct {
		rate, excess float64
		burst        uint32
		limit, share int
	}{
		{0, 1.5, 5, 5, 2},
		{12.5, 1.5, 5, 23, 11},
		{0, 1.5, 0, 0, 0},
		{0, 0, 1, 1, 0},
		{-3, 2, 2, 2, 1},
		{1e300, 100, 2, 2147483649, 1073741824},
	} {
		limit := Limit(c.rate, c.excess, c.burst)
		if share := Share(limit); limit != c.limit || share != c.share {
			t.Errorf("rate %v: limit %d and share %d, want %d and %d", c.rate, limit, share, c.limit, c.share)
		}
	}
}

func names(from, to int) []string {
	var list []string
	for i := from; i <= to; i++ {
		list = append(list, fmt.Sprintf("entry-%d", i))
	}
	return list
}

// Guards against an instance that sends flows before it knows the others or they know it:
// it has just started, has no list of registrations, or is one of many instances.
func TestOwnershipSettles(t *testing.T) {
	const listedAt = time.Minute
	alone := NewOwnership("entry-1")
	for _, c := range []struct {
		name    string
		o       *Ownership
		after   time.Duration
		settled bool
	}{
		{"no list", alone, time.Hour, false},
		{"no list, but peers", alone.WithPeers(names(2, 3)), time.Hour, false},
		{"alone", alone.WithRegistered(names(1, 1), listedAt), OwnerSettleTime, true},
		{"alone, just listed", alone.WithRegistered(names(1, 1), listedAt), OwnerSettleTime - 1, false},
		{"one of 300", alone.WithRegistered(names(1, 300), listedAt).WithPeers(names(2, 300)), 47 * time.Second, false},
		{"one of 300, later", alone.WithRegistered(names(1, 300), listedAt).WithPeers(names(2, 300)), 48 * time.Second, true},
	} {
		if got := c.o.Settled(listedAt + c.after); got != c.settled {
			t.Errorf("%s: settled is %t", c.name, got)
		}
	}
}

// Guards against a second owner while an instance knows another one only from the list of
// registrations, against endpoints whose owner has long ended, and against instances that
// are counted although they may not run.
func TestRegisteredInstancesCount(t *testing.T) {
	others := names(2, 40)
	o := NewOwnership("entry-1").WithRegistered(others, 0)
	if o.RanksFirst("i-1") {
		t.Fatal("entry-1 ranks first for i-1 among all; choose another endpoint")
	}
	if o = o.WithPeers(nil).Expired(registrationExpiry - 1); o.RanksFirst("i-1") {
		t.Error("owner although a registered instance ranks before")
	}
	if o.Instances() != 1 {
		t.Errorf("%d instances, want 1", o.Instances())
	}
	if o = o.Expired(registrationExpiry); !o.RanksFirst("i-1") || !o.Settled(registrationExpiry) {
		t.Error("not the owner after the registrations have expired")
	}
}

// Guards against two owners among instances with equal lists, against endpoints without an
// owner, against owners that change with the order of names, and against a longer list of
// peers that makes an instance the owner.
func TestOwnershipIsUnique(t *testing.T) {
	propertytest.Run(t, 200, func(properties *gopter.Properties) {
		properties.Property("one owner", prop.ForAll(func(count, known int, endpoint string) bool {
			all := names(1, count)
			owners := 0
			for i, self := range all {
				full := NewOwnership(self).WithPeers(all)
				part := NewOwnership(self).WithPeers(all[min(known, count):])
				if full.RanksFirst(endpoint) {
					owners++
				}
				if full.RanksFirst(endpoint) && !part.RanksFirst(endpoint) {
					t.Logf("entry %d owns %q only with more peers", i, endpoint)
					return false
				}
			}
			return owners == 1
		}, gen.IntRange(1, 40), gen.IntRange(0, 40), gen.AlphaString()))
	})
}

// Guards against more packets than the quota in any window, also while the quota changes,
// and against packets that are held back although the quota permits them.
func TestWindowIsExact(t *testing.T) {
	propertytest.Run(t, 300, func(properties *gopter.Properties) {
		properties.Property("exact", prop.ForAll(func(quota int, gaps []int) bool {
			var w Window
			var sent []time.Duration
			now := time.Duration(0)
			for i, gap := range gaps {
				now += time.Duration(gap) * time.Millisecond
				if i == len(gaps)/2 {
					quota = max(quota/2, 1)
				}
				inWindow := 0
				for _, at := range sent {
					if now-at <= windowLength {
						inWindow++
					}
				}
				allowed := w.Allow(now, quota)
				if allowed != (inWindow < quota) {
					return false
				}
				if allowed {
					w.Record(now, quota)
					sent = append(sent, now)
				}
			}
			return true
		}, gen.IntRange(1, 8), gen.SliceOf(gen.IntRange(0, 700))))
	})
	var w Window
	w.Record(0, 0)
	if w.Allow(0, 0) {
		t.Error("a packet without a quota is allowed")
	}
}

// Guards against allocations for each packet.
func TestWindowDoesNotAllocate(t *testing.T) {
	var w Window
	w.Record(0, 2)
	now := time.Duration(0)
	if n := testing.AllocsPerRun(100, func() { now += time.Second; w.Allow(now, 2); w.Record(now, 2) }); n != 0 {
		t.Errorf("%v allocations per packet", n)
	}
}

// Guards against a service with a warm-up rate that is too large, for which each endpoint
// takes gigabytes of memory, so that the process ends at its memory limit.
func TestWindowOfHugeQuotaUsesNoMemory(t *testing.T) {
	var w Window
	quota := Share(Limit(1e300, 1.5, 5))
	w.Record(0, quota)
	if len(w.times) > maxTimes {
		t.Errorf("%d times are kept", len(w.times))
	}
	if !w.Allow(0, quota) {
		t.Error("a packet below the quota is not allowed")
	}
	w.Record(time.Second, 2)
	w.Record(time.Second, 2)
	if w.Allow(time.Second, 2) {
		t.Error("a third packet is allowed after the quota was lowered")
	}
}
