package steering

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/hedge"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
)

const (
	// maxFirstPacketBytes is the maximum size of a first packet that is kept for a hedge.
	maxFirstPacketBytes = 64
	// maxOpenings limits the openings of a shard that wait for their hedge, about 1,600
	// in all shards. It is above the openings of a second at the usual load.
	maxOpenings = 100
	// maxLateness is how late a hedge may be sent. If the process runs later than that, the
	// caller's acknowledgement may still be in the socket, so the hedge is postponed.
	maxLateness = 10 * time.Millisecond
)

// HedgeResult says what became of a hedge.
type HedgeResult uint8

// The results. HedgeSent: the first packet is to be sent to a second endpoint. OverBudget:
// the budget did not allow that. HedgeWon: the caller has acknowledged the second endpoint.
// HedgeLost: it has acknowledged another one.
const (
	NoHedge HedgeResult = iota
	HedgeSent
	OverBudget
	HedgeWon
	HedgeLost
)

// String returns the name used in metrics.
func (r HedgeResult) String() string {
	switch r {
	case HedgeSent:
		return "sent"
	case OverBudget:
		return "over_budget"
	case HedgeWon:
		return "won"
	case HedgeLost:
		return "lost"
	default:
		return "none"
	}
}

// Hedge is the decision on a flow whose first endpoint has not been acknowledged in time.
type Hedge struct {
	// Result is HedgeSent or OverBudget. Member and Label are set for HedgeSent only.
	Result   HedgeResult
	Tuple    common.FiveTuple
	Sequence uint32
	// First is the endpoint that has not been acknowledged.
	First  *selection.Member
	Member *selection.Member
	Label  label.Label
	// FirstPacket is the flow's first packet as it was received. The receiver may change it.
	FirstPacket []byte
}

// opening is what a flow keeps until it is established if its first packet may be sent to a
// second endpoint.
type opening struct {
	dueAt time.Duration
	// firstPacket is the packet as it was received.
	firstPacket []byte
	// first is the endpoint that the packet was forwarded to at firstAt.
	first   *selection.Member
	firstAt time.Duration
	// second is the endpoint of the hedge, nil until it is sent.
	second *selection.Member
}

// hedging holds the limits of hedges and the budget of each service.
type hedging struct {
	enabled atomic.Bool
	mu      sync.Mutex
	limits  hedge.Limits
	budgets map[string]*hedge.Budget
}

// SetHedging sets the limits of the hedges of each service.
func (t *Table) SetHedging(limits hedge.Limits, now time.Duration) {
	h := &t.hedging
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = limits
	for _, b := range h.budgets {
		b.SetLimits(limits, now)
	}
	h.enabled.Store(limits.Enabled())
}

// HedgeLimits returns the limits of the hedges of each service.
func (t *Table) HedgeLimits() hedge.Limits {
	t.hedging.mu.Lock()
	defer t.hedging.mu.Unlock()
	return t.hedging.limits
}

// budget returns the budget of a service. The caller holds mu.
func (h *hedging) budget(service string, now time.Duration) *hedge.Budget {
	b := h.budgets[service]
	if b == nil {
		if h.budgets == nil {
			h.budgets = make(map[string]*hedge.Budget)
		}
		b = hedge.NewBudget(h.limits, now)
		h.budgets[service] = b
	}
	return b
}

func (h *hedging) flowOpened(service string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget(service, now).FlowOpened()
}

func (h *hedging) take(service string, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget(service, now).Take(now)
}

func (h *hedging) giveBack(service string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget(service, now).Return()
}

// ScheduleHedge keeps the first packet of a flow that Handle has just opened if it may be
// sent to a second endpoint. scheduled reports whether it may, and dueAt when. The table
// copies firstPacket, which is the packet as it was received or with another label.
func (t *Table) ScheduleHedge(v *View, p *Packet, firstPacket []byte, now time.Duration) (dueAt time.Duration, scheduled bool) {
	if !t.hedging.enabled.Load() {
		return 0, false
	}
	r := v.routes[destination(&p.Tuple)]
	if r == nil || !r.rule.Repeatable {
		return 0, false
	}
	s := t.shard(p.Hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.Tuple]
	if f == nil || f.sequence != p.Sequence || f.established || f.opening != nil {
		return 0, false
	}
	pool := f.member.Pool()
	t.hedging.flowOpened(pool.Service(), now)
	// An earlier transmission of a packet that is a retransmission may have gone to another
	// endpoint through another instance. A hedge would be the third.
	if p.Length > 0 || p.Retransmits > 0 || len(firstPacket) > maxFirstPacketBytes || len(s.openings) >= maxOpenings {
		return 0, false
	}
	f.opening = &opening{
		dueAt: f.firstPacketAt + hedge.Delay(pool.MeanHandshake()), firstPacket: slices.Clone(firstPacket),
		first: f.member, firstAt: f.firstPacketAt,
	}
	s.openings = append(s.openings, f)
	return f.opening.dueAt, true
}

// DueHedges returns the hedges that are due. The flow of a hedge that must be sent is bound
// to the second endpoint from then on, unless the caller acknowledges the first one. next
// is when to call DueHedges again, 0 if no opening waits for its hedge.
func (t *Table) DueHedges(v *View, now time.Duration) (due []Hedge, next time.Duration) {
	for i := range t.shards {
		var shardNext time.Duration
		due, shardNext = t.dueInShard(&t.shards[i], v, now, due)
		if next == 0 || shardNext > 0 && shardNext < next {
			next = shardNext
		}
	}
	return due, next
}

// dueInShard appends the hedges of a shard that are due to into. next is when its next one is
// due, 0 if none of its openings waits for its hedge.
func (t *Table) dueInShard(s *shard, v *View, now time.Duration, into []Hedge) (due []Hedge, next time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.openings[:0]
	for _, f := range s.openings {
		if !t.hedging.enabled.Load() || !s.awaitsHedge(f) {
			continue
		}
		o := f.opening
		if now-o.dueAt > maxLateness {
			o.dueAt = now + hedge.MinDelay
		}
		if now >= o.dueAt {
			if h := t.hedging.decide(v, f, now); h.Result != NoHedge {
				into = append(into, h)
			}
			continue
		}
		kept = append(kept, f)
		if next == 0 || o.dueAt < next {
			next = o.dueAt
		}
	}
	clear(s.openings[len(kept):])
	s.openings = kept
	return into, next
}

// awaitsHedge reports whether the flow is still open and its caller has neither acknowledged
// an endpoint nor retransmitted the first packet.
func (s *shard) awaitsHedge(f *flow) bool {
	return f.opening != nil && f.opening.second == nil && s.flows[f.tuple] == f && !f.finished && f.retransmits == 0
}

// decide chooses the second endpoint of a flow whose hedge is due and binds the flow to it.
// Admission is not asked again, because it has counted the flow already.
func (h *hedging) decide(v *View, f *flow, now time.Duration) Hedge {
	o := f.opening
	pool := f.member.Pool()
	r := v.routes[destination(&f.tuple)]
	if r == nil || !r.rule.Repeatable || !r.serves(pool) {
		return Hedge{}
	}
	// An endpoint that sends packets will probably answer this flow too, only later. After
	// two answers the flow can break when it moves to another instance.
	if o.first.AliveSince(o.firstAt) {
		return Hedge{}
	}
	decision := Hedge{Result: OverBudget, Tuple: f.tuple, Sequence: f.sequence, First: o.first}
	if !h.take(pool.Service(), now) {
		return decision
	}
	request := r.request(v)
	request.Avoid, request.Long = o.first, f.long
	second := pool.ChooseHedge(now, request)
	if second == nil {
		h.giveBack(pool.Service(), now)
		return Hedge{}
	}
	f.move(v, second, now)
	f.firstPacketAt = now
	o.second = second
	decision.Result, decision.Member, decision.Label, decision.FirstPacket = HedgeSent, second, f.label, o.firstPacket
	o.firstPacket = nil
	return decision
}

// endOpening ends the hedging of a flow when a packet arrives whose label identifies an
// endpoint: with it the caller acknowledges that endpoint. named is nil if the label is
// unknown.
func (f *flow) endOpening(named *selection.Member) HedgeResult {
	if named == nil {
		return NoHedge
	}
	o := f.opening
	f.opening = nil
	switch {
	case o.second == nil:
		return NoHedge
	case named == o.second:
		return HedgeWon
	case named == o.first:
		// The handshake began with the packet to the first endpoint.
		f.firstPacketAt = o.firstAt
	}
	return HedgeLost
}
