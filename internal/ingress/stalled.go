package ingress

import (
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// reasonStalled is the reason in logs and metrics of a flow that was reset because its
// endpoint has stalled.
const reasonStalled = "stalled"

// StallChecker checks the health of an endpoint that answers no requests and passes the start
// and the result of each check to checked. It does not block.
type StallChecker func(m *selection.Member, checked func(m *selection.Member, startedAt time.Duration, passed bool))

// SetStallChecker sets how endpoints that may have stalled are checked. Without it none is
// found stalled. It must be called before Start.
func (s *Server) SetStallChecker(check StallChecker) { s.checkStalled = check }

// DetectStalled switches the detection of stalled endpoints on or off.
func (s *Server) DetectStalled(enabled bool) { s.flows.DetectStalled(enabled, s.views.Now()) }

// DetectsStalled reports whether stalled endpoints are detected.
func (s *Server) DetectsStalled() bool { return s.flows.DetectsStalled() }

// closeStalled has endpoints checked that may have stalled, and resets the flows of those that
// have. It is called regularly and after each check, and is safe for concurrent use.
func (s *Server) closeStalled() {
	now := s.views.Now()
	s.detectPause(now)
	view, _ := s.views.Current(now)
	review := s.flows.ReviewStalls(view, now)
	for _, m := range review.Check {
		if s.checkStalled != nil {
			s.checkStalled(m, s.stallChecked)
		}
	}
	for i := range review.Verdicts {
		s.observer.endpointStalled(&review.Verdicts[i])
	}
	for i := range review.Closed {
		s.refuse(&review.Closed[i].Packet)
		s.observer.closedStalled(&review.Closed[i])
	}
}

// stallChecked records the result of a health check of an endpoint that may have stalled.
func (s *Server) stallChecked(m *selection.Member, startedAt time.Duration, passed bool) {
	s.flows.StallChecked(m, startedAt, passed)
	if passed && s.tomb.Alive() {
		s.closeStalled()
	}
}

// endpointStalled records a verdict.
func (o *Observer) endpointStalled(v *steering.StallVerdict) {
	o.silence.stalled.Inc()
	if !o.allowLog() {
		return
	}
	endpoint := v.Member.Endpoint()
	o.logger.Warn("endpoint_stalled", zap.String("endpoint", endpoint.Name), zap.String("service", endpoint.Service),
		zap.String("data_centre", endpoint.DataCentre), zap.Int64("unanswered_ms", v.UnansweredFor.Milliseconds()),
		zap.Int64("min_age_ms", v.MinAge.Milliseconds()))
}

// closedStalled records a flow that was reset because its endpoint has stalled.
func (o *Observer) closedStalled(c *steering.ClosedFlow) {
	o.closed(c, true, resultcode.RouteEndpointStalled, reasonStalled)
}
