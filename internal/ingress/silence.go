package ingress

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// DetectSilence makes the server notice repeated packets of flows that it did not open. It
// must be called before Start.
func (s *Server) DetectSilence() { s.flows.TrackUnrecorded() }

// lagThreshold is the time without a heartbeat from which on the evidence of silent endpoints
// is discarded. A process that runs too rarely reads packets so late that callers repeat them,
// and answers to its health checks after their timeout.
const lagThreshold = 250 * time.Millisecond

// discardSilence discards the evidence and the verdicts of silent endpoints.
func (s *Server) discardSilence(now time.Duration) {
	view, _ := s.views.Current(now)
	view.DiscardSilence(now)
}

// CloseSilent marks the endpoints that have fallen silent and resets their open flows. It
// discards the evidence first if the process was paused. It is called regularly and whenever
// there is new evidence, and is safe for concurrent use.
func (s *Server) CloseSilent() {
	now := s.views.Now()
	s.detectPause(now)
	view, fresh := s.views.Current(now)
	verdicts := view.MarkSilent(fresh, now)
	if len(verdicts) == 0 {
		return
	}
	silent := make([]*selection.Member, len(verdicts))
	for i := range verdicts {
		silent[i] = verdicts[i].Member
		s.observer.endpointSilent(&verdicts[i])
	}
	closed := s.flows.CloseSilent(silent, now)
	for i := range closed {
		s.refuse(&closed[i].Packet)
		s.observer.closedSilent(&closed[i])
	}
}

// silenceMetrics counts silent and stalled endpoints and the flows closed because of them.
type silenceMetrics struct {
	endpoints prometheus.Counter
	stalled   prometheus.Counter
	flows     *prometheus.CounterVec
}

func (m *silenceMetrics) register(registry prometheus.Registerer) {
	m.endpoints = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "burdock_endpoints_silent_total", Help: "Verdicts that an endpoint has fallen silent.",
	})
	m.stalled = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "burdock_endpoints_stalled_total", Help: "Verdicts that an endpoint accepts requests and answers none.",
	})
	m.flows = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "burdock_flows_closed_total", Help: "Open flows that were reset because their endpoint has fallen silent or stalled.",
	}, []string{"service", "reason"})
	registry.MustRegister(m.endpoints, m.stalled, m.flows)
}

// endpointSilent records a verdict and has the endpoint's health checked until it answers.
func (o *Observer) endpointSilent(v *selection.SilenceVerdict) {
	o.silence.endpoints.Inc()
	o.onSuspect(v.Member)
	o.reportVerdict(v.Member)
	if !o.allowLog() {
		return
	}
	endpoint := v.Member.Endpoint()
	o.logger.Warn("endpoint_silent", zap.String("endpoint", endpoint.Name), zap.String("service", endpoint.Service),
		zap.String("data_centre", endpoint.DataCentre), zap.Stringer("reason", v.Reason),
		zap.Int("repeated_packets", v.Repeated), zap.Int("failed_checks", v.Checks), zap.Int64("silent_ms", v.SilentFor.Milliseconds()))
}

// countClosed counts a flow that was reset because of a verdict on its endpoint.
func (o *Observer) countClosed(m *selection.Member, reason string) {
	o.silence.flows.WithLabelValues(m.Pool().Service(), reason).Inc()
}

// closedSilent records a flow that was reset without a packet of its caller, because its
// endpoint has fallen silent.
func (o *Observer) closedSilent(c *steering.ClosedFlow) {
	o.closed(c, c.Sequence != 0, resultcode.RouteEndpointSilent, c.Member.SilenceReason().String())
}

// closed records a flow that was reset without a packet of its caller. sequenceKnown is false
// if the flow has no record.
func (o *Observer) closed(c *steering.ClosedFlow, sequenceKnown bool, code resultcode.Code, reason string) {
	o.countClosed(c.Member, reason)
	o.events.WithLabelValues(steering.Closed.String()).Inc()
	if !o.allowLog() {
		return
	}
	endpoint := c.Member.Endpoint()
	o.logger.Info(steering.Closed.String(), zap.String("flow", flowID(&c.Packet.Tuple, c.Sequence, sequenceKnown)),
		zap.Stringer("to", destination(&c.Packet.Tuple)), zap.Uint32("result_code", uint32(code)),
		zap.String("endpoint", endpoint.Name), zap.String("service", endpoint.Service), zap.String("data_centre", endpoint.DataCentre),
		zap.Uint32("label", uint32(c.Packet.Label)), zap.String("reason", reason), zap.Int64("open_ms", c.OpenFor.Milliseconds()))
}
