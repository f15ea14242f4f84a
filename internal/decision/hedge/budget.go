package hedge

import "time"

// Limits limits the hedges of one service on one instance.
type Limits struct {
	// Share is the maximum share of the new flows, from 0 (off) to 1.
	Share float64
	// FloorPerSecond is allowed in addition to Share.
	FloorPerSecond float64
	// CeilingPerSecond is the maximum rate, 0 for no maximum.
	CeilingPerSecond float64
}

// Enabled reports whether the limits allow hedges.
func (l Limits) Enabled() bool { return l.Share > 0 }

const (
	// savedForBurst is the number of unused hedges that are kept for a burst. When endpoints
	// fail, an instance needs one or two hedges for each of them within a few hundred
	// milliseconds; more would not help, because the endpoints are suspect from then on.
	savedForBurst = 20
	// burstTime is the time whose hedges may be sent at once.
	burstTime = time.Second
)

// Budget limits hedges by two token buckets: one is filled by new flows and by time, the
// other limits the rate. In any period it allows at most Share of the new flows, plus the
// floor, plus what was saved before the period. A refused hedge uses up nothing. The zero
// value allows none. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// saved holds the hedges that the new flows and the floor allow, rateTokens those that
	// the ceiling allows. Both were last filled at filledAt.
	saved, rateTokens float64
	filledAt          time.Duration
}

// NewBudget returns a budget without saved hedges.
func NewBudget(limits Limits, now time.Duration) *Budget {
	return &Budget{limits: limits, rateTokens: limits.maxBurst(), filledAt: now}
}

// maxSaved returns the maximum number of saved hedges.
func (l Limits) maxSaved() float64 {
	return max(savedForBurst, l.FloorPerSecond*burstTime.Seconds())
}

// maxBurst returns the maximum burst that the ceiling allows, at least one hedge.
func (l Limits) maxBurst() float64 {
	return max(1, l.CeilingPerSecond*burstTime.Seconds())
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(limits Limits, now time.Duration) {
	b.fill(now)
	if b.limits.CeilingPerSecond == 0 {
		b.rateTokens = limits.maxBurst()
	}
	b.limits = limits
	b.saved = min(b.saved, limits.maxSaved())
	b.rateTokens = min(b.rateTokens, limits.maxBurst())
}

// FlowOpened adds the share of one new flow.
func (b *Budget) FlowOpened() {
	b.saved = min(b.saved+b.limits.Share, b.limits.maxSaved())
}

// Take reports whether a hedge is allowed now, and counts it if so.
func (b *Budget) Take(now time.Duration) bool {
	b.fill(now)
	limited := b.limits.CeilingPerSecond > 0
	if !b.limits.Enabled() || b.saved < 1 || limited && b.rateTokens < 1 {
		return false
	}
	b.saved--
	if limited {
		b.rateTokens--
	}
	return true
}

// Return gives back a hedge that was taken and not sent.
func (b *Budget) Return() {
	b.saved = min(b.saved+1, b.limits.maxSaved())
	b.rateTokens = min(b.rateTokens+1, b.limits.maxBurst())
}

// fill adds what the time since the last call allows.
func (b *Budget) fill(now time.Duration) {
	passed := (now - b.filledAt).Seconds()
	if passed <= 0 {
		return
	}
	b.filledAt = now
	b.saved = min(b.saved+b.limits.FloorPerSecond*passed, b.limits.maxSaved())
	b.rateTokens = min(b.rateTokens+b.limits.CeilingPerSecond*passed, b.limits.maxBurst())
}
