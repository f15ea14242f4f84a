package ingress

import (
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/hedge"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
)

// hedgeTimer fires when the next hedge may be due. It does not run while no opening waits
// for its hedge.
type hedgeTimer struct {
	timer *time.Timer
	mu    sync.Mutex
	// dueAt is the time on the clock of views at which the timer fires, 0 if it does not run.
	dueAt time.Duration
}

func newHedgeTimer() *hedgeTimer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &hedgeTimer{timer: timer}
}

// schedule makes the timer fire at a time, or earlier if it is already set to.
func (h *hedgeTimer) schedule(at, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dueAt != 0 && h.dueAt <= at {
		return
	}
	h.dueAt = at
	h.timer.Reset(max(at-now, 0))
}

// fired records that the timer has fired and no longer runs.
func (h *hedgeTimer) fired() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dueAt = 0
}

// SetHedging sets the limits of the hedges of each service.
func (s *Server) SetHedging(limits hedge.Limits) { s.flows.SetHedging(limits, s.views.Now()) }

// HedgeLimits returns the limits in force.
func (s *Server) HedgeLimits() hedge.Limits { return s.flows.HedgeLimits() }

// scheduleHedge keeps the first packet of a flow that was just opened if it may be sent to
// a second endpoint.
func (s *Server) scheduleHedge(view *steering.View, p *steering.Packet, data []byte, now time.Duration) {
	if dueAt, scheduled := s.flows.ScheduleHedge(view, p, data, now); scheduled {
		s.hedgeTimer.schedule(dueAt, now)
	}
}

// runHedges sends the hedges that are due until the server stops.
func (s *Server) runHedges() error {
	defer s.hedgeTimer.timer.Stop()
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.hedgeTimer.timer.C:
			s.hedgeTimer.fired()
			s.sendHedges()
		}
	}
}

// sendHedges sends the first packets that are due to their second endpoints.
func (s *Server) sendHedges() {
	started := time.Now()
	now := s.views.Now()
	s.detectPause(now)
	view, fresh := s.views.Current(now)
	s.markSuspects(view, now)
	due, next := s.flows.DueHedges(view, now)
	if next > 0 {
		s.hedgeTimer.schedule(next, s.views.Now())
	}
	for i := range due {
		s.observer.hedged(&due[i], view, fresh, started)
		if due[i].Result == steering.HedgeSent {
			s.sendHedge(&due[i])
		}
	}
}

// sendHedge sends the first packet of a flow to its second endpoint.
func (s *Server) sendHedge(h *steering.Hedge) {
	envelope := s.codec.EnvelopeSize()
	buffer := make([]byte, envelope, envelope+len(h.FirstPacket))
	buffer = append(buffer, h.FirstPacket...)
	s.forward(buffer, buffer[envelope:], steering.Action{Member: h.Member, Label: h.Label})
}

// spanHedge is the name of the span of a first packet that is sent to a second endpoint.
const spanHedge = "ingress.hedge"

// hedged records the decision on a hedge.
func (o *Observer) hedged(h *steering.Hedge, view *steering.View, fresh steering.Freshness, started time.Time) {
	first := h.First.Endpoint()
	o.hedges.WithLabelValues(first.Service, h.Result.String()).Inc()
	if h.Result != steering.HedgeSent {
		return
	}
	second := h.Member.Endpoint()
	o.traceHedge(h, first.Name, second.Name, started)
	if !o.allowLog() {
		return
	}
	o.logger.Info("flow_hedged", zap.String("flow", flowID(&h.Tuple, h.Sequence, true)), zap.Stringer("to", destination(&h.Tuple)),
		zap.Uint64("version", view.Version()), zap.Int64("age_ms", fresh.Age.Milliseconds()),
		zap.String("first_endpoint", first.Name), zap.String("endpoint", second.Name), zap.String("service", second.Service),
		zap.String("data_centre", second.DataCentre), zap.Uint32("label", uint32(h.Label)))
}

// traceHedge records the span of a hedge if its flow is sampled.
func (o *Observer) traceHedge(h *steering.Hedge, first, second string, started time.Time) {
	hash := h.Tuple.Hash()
	// The key differs from that of the first packet, which was traced before.
	ctx, traced := o.tracer.StartTrace(hash, ^(uint64(hash) ^ uint64(h.Sequence)))
	if traced {
		o.tracer.RecordSpan(ctx, spanHedge, started, time.Now(),
			attribute.String("first_endpoint", first), attribute.String("endpoint", second))
	}
}

// hedgeEnded counts which endpoint of a hedged flow its caller has acknowledged.
func (o *Observer) hedgeEnded(service string, result steering.HedgeResult) {
	o.hedges.WithLabelValues(service, result.String()).Inc()
}
