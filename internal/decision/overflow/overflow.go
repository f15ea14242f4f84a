// Package overflow bounds the share of a rule's new flows that go to another target than the
// one drawn by weight. It reads no clock.
package overflow

import (
	"sync"
	"time"
)

const (
	// bucketCount buckets of bucketLength each make up the sliding window.
	bucketCount  = 10
	bucketLength = time.Second
)

// Budget counts the new flows of one rule over a sliding window of 10 s. The zero value is
// that of a rule without flows. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	buckets [bucketCount]bucket
	// newest is the number of the latest bucket since the fixed point of the times.
	newest int64
}

type bucket struct {
	flows, overflowed int
}

// FlowArrived records a new flow of the rule. Refused flows count too: otherwise a rule whose
// flows are mostly refused would have too small a budget.
func (b *Budget) FlowArrived(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketAt(now).flows++
}

// Allows reports whether another flow may overflow: the overflowed flows of the window may be
// up to share of all, and at least one.
func (b *Budget) Allows(now time.Duration, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketAt(now)
	flows, overflowed := 0, 0
	for _, counted := range b.buckets {
		flows += counted.flows
		overflowed += counted.overflowed
	}
	return share > 0 && float64(overflowed+1) <= max(share*float64(flows), 1)
}

// AllowsNext reports whether the next flow to arrive could overflow. It records nothing.
func (b *Budget) AllowsNext(now time.Duration, share float64) bool {
	b.mu.Lock()
	next := Budget{buckets: b.buckets, newest: b.newest}
	b.mu.Unlock()
	next.FlowArrived(now)
	return next.Allows(now, share)
}

// FlowOverflowed records that a flow went to another target.
func (b *Budget) FlowOverflowed(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketAt(now).overflowed++
}

// bucketAt returns the bucket of a time and empties those that have left the window. A time before
// the newest bucket counts there.
func (b *Budget) bucketAt(now time.Duration) *bucket {
	number := max(int64(now/bucketLength), b.newest)
	for n := max(b.newest+1, number-bucketCount+1); n <= number; n++ {
		b.buckets[n%bucketCount] = bucket{}
	}
	b.newest = number
	return &b.buckets[number%bucketCount]
}
