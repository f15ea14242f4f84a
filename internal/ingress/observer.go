package ingress

import (
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/silence"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/flowtrace"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// decisionsPerSecond and decisionsBurst limit the rate of log lines for decisions
	// on flows. Suppressed lines are counted and reported in a later line.
	decisionsPerSecond = 500
	decisionsBurst     = 1000
)

// Observer logs the decisions on flows, records packets, flows and response times in
// metrics, and creates traces. Its methods are safe for concurrent use.
type Observer struct {
	logger  *zap.Logger
	limiter *rate.Limiter
	// onSuspect is called with each endpoint whose health must be checked.
	onSuspect func(*selection.Member)
	// onVerdict is called with each endpoint that has fallen silent, nil if verdicts are not
	// reported.
	onVerdict func(silence.EndpointID)
	tracer    *flowtrace.Tracer

	mu         sync.Mutex
	suppressed uint64

	packets   *prometheus.CounterVec
	events    *prometheus.CounterVec
	responses *prometheus.HistogramVec
	silence   silenceMetrics
	hedges    *prometheus.CounterVec
	overflows *prometheus.CounterVec
	byCode    sync.Map // resultcode.Code to prometheus.Counter
	byService sync.Map // service name to prometheus.Observer
}

// responseBuckets are the upper bounds of the buckets of response times, in seconds.
var responseBuckets = []float64{0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5, 5}

// NewObserver returns an observer and registers its metrics. It calls onSuspect with each
// endpoint that is suspect or may have fallen silent; onSuspect must not block.
func NewObserver(logger *zap.Logger, registry prometheus.Registerer, tracer *flowtrace.Tracer, onSuspect func(*selection.Member)) *Observer {
	o := &Observer{
		tracer:    tracer,
		logger:    logger,
		limiter:   rate.NewLimiter(decisionsPerSecond, decisionsBurst),
		onSuspect: onSuspect,
		packets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_packets_total", Help: "Packets of callers by result code.",
		}, []string{"code"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_flow_events_total", Help: "Decisions on flows by event.",
		}, []string{"event"}),
		responses: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "burdock_response_seconds", Help: "Time from a request to the start of its response.",
			Buckets: responseBuckets,
		}, []string{"service"}),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_hedges_total", Help: "First packets sent to a second endpoint, by result.",
		}, []string{"service", "result"}),
		overflows: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_overflow_total", Help: "New flows that a service took because another target of their rule could not.",
		}, []string{"service"}),
	}
	registry.MustRegister(o.packets, o.events, o.responses, o.hedges, o.overflows)
	o.silence.register(registry)
	return o
}

func (o *Observer) dropped(code resultcode.Code) {
	o.count(code)
}

// paused records a pause of the process and the freshness of the view after it.
func (o *Observer) paused(length time.Duration, fresh steering.Freshness) {
	o.logger.Warn("process_paused", zap.Duration("length", length), zap.Int64("age_ms", fresh.Age.Milliseconds()))
}

func (o *Observer) receiveFailed(err error) {
	o.count(resultcode.PacketReceiveFailed)
	if o.allowLog() {
		o.logger.Error("receive_failed", zap.Error(err))
	}
}

func (o *Observer) count(code resultcode.Code) {
	counter, found := o.byCode.Load(code)
	if !found {
		counter, _ = o.byCode.LoadOrStore(code, o.packets.WithLabelValues(strconv.Itoa(int(code))))
	}
	counter.(prometheus.Counter).Inc()
}

func (o *Observer) response(service string, took time.Duration) {
	histogram, found := o.byService.Load(service)
	if !found {
		histogram, _ = o.byService.LoadOrStore(service, o.responses.WithLabelValues(service))
	}
	histogram.(prometheus.Observer).Observe(took.Seconds())
}

// handled records the decision on a packet.
func (o *Observer) handled(p *steering.Packet, action *steering.Action, view *steering.View, fresh steering.Freshness) {
	o.countHandled(action)
	for _, m := range action.Suspected {
		o.onSuspect(m)
	}
	if action.Questioned {
		o.onSuspect(action.Member)
	}
	if action.Event != steering.Continued && o.allowLog() {
		o.logger.Info(action.Event.String(), handledFields(p, action, view, fresh)...)
	}
}

// countHandled counts the decision on a packet in the metrics.
func (o *Observer) countHandled(action *steering.Action) {
	o.count(action.Code)
	if action.Response > 0 {
		o.response(action.Member.Pool().Service(), action.Response)
	}
	if action.Hedge != steering.NoHedge {
		o.hedgeEnded(action.Member.Pool().Service(), action.Hedge)
	}
	if action.Event == steering.Closed {
		o.countClosed(action.Member, action.Member.SilenceReason().String())
	}
	if action.Event == steering.Continued {
		return
	}
	o.events.WithLabelValues(action.Event.String()).Inc()
	if action.Overflowed {
		o.overflows.WithLabelValues(action.Member.Pool().Service()).Inc()
	}
}

// handledFields returns the fields of the log line on a packet.
func handledFields(p *steering.Packet, action *steering.Action, view *steering.View, fresh steering.Freshness) []zap.Field {
	fields := make([]zap.Field, 0, 12)
	fields = append(fields,
		zap.String("flow", flowID(&p.Tuple, p.Sequence, p.First)),
		zap.Stringer("to", destination(&p.Tuple)),
		zap.Uint32("result_code", uint32(action.Code)),
		zap.Uint64("version", view.Version()),
		zap.Int64("age_ms", fresh.Age.Milliseconds()),
	)
	if action.Member != nil {
		endpoint := action.Member.Endpoint()
		fields = append(fields, zap.String("endpoint", endpoint.Name), zap.String("service", endpoint.Service),
			zap.String("data_centre", endpoint.DataCentre), zap.Uint32("label", uint32(action.Label)))
	}
	if action.Event == steering.Closed {
		fields = append(fields, zap.Stringer("reason", action.Member.SilenceReason()))
	}
	if action.Overflowed {
		fields = append(fields, zap.Bool("overflow", true))
	}
	if action.Retransmits > 0 {
		fields = append(fields, zap.Uint8("copies", action.Retransmits))
	}
	if action.OpenFor > 0 {
		fields = append(fields, zap.Int64("open_ms", action.OpenFor.Milliseconds()))
	}
	return fields
}

// Names of the spans of a flow's first packet.
const (
	spanReceive  = "ingress.receive"
	spanEndpoint = "ingress.choose_endpoint"
)

// trace records the spans of a first packet if its flow is sampled.
func (o *Observer) trace(p *steering.Packet, action *steering.Action, started time.Time) {
	if !p.First {
		return
	}
	ctx, traced := o.tracer.StartTrace(p.Hash, uint64(p.Hash)^uint64(p.Sequence))
	if !traced {
		return
	}
	ended := time.Now()
	ctx = o.tracer.RecordSpan(ctx, spanReceive, started, ended,
		attribute.Int("result_code", int(action.Code)), attribute.String("to", destination(&p.Tuple).String()))
	if action.Kind == steering.Forward {
		endpoint := action.Member.Endpoint()
		o.tracer.RecordSpan(ctx, spanEndpoint, started, ended,
			attribute.String("endpoint", endpoint.Name), attribute.String("service", endpoint.Service))
	}
}

// expired records a flow that ended by timeout without a response.
func (o *Observer) expired(e *steering.ExpiredFlow) {
	o.events.WithLabelValues("flow_expired").Inc()
	if !o.allowLog() {
		return
	}
	endpoint := e.Member.Endpoint()
	o.logger.Info("flow_expired", zap.String("flow", flowID(&e.Tuple, e.Sequence, true)),
		zap.Stringer("to", destination(&e.Tuple)), zap.String("endpoint", endpoint.Name),
		zap.Bool("answered", e.Established), zap.Uint8("copies", e.Retransmits), zap.Int64("open_ms", e.OpenFor.Milliseconds()))
}

// allowLog reports whether the rate limit permits a log line now. If so, it first logs
// the number of lines suppressed before.
func (o *Observer) allowLog() bool {
	o.mu.Lock()
	if !o.limiter.Allow() {
		o.suppressed++
		o.mu.Unlock()
		return false
	}
	suppressed := o.suppressed
	o.suppressed = 0
	o.mu.Unlock()
	if suppressed > 0 {
		o.logger.Warn("decisions_not_logged", zap.Uint64("count", suppressed))
	}
	return true
}

// flowID returns the identifier of a flow in logs: the caller's address and port, and
// the sequence number of the first packet if it is known.
func flowID(t *common.FiveTuple, sequence uint32, first bool) string {
	id := netip.AddrPortFrom(netip.AddrFrom4(t.Source), t.SourcePort).String()
	if first {
		id += "/" + strconv.FormatUint(uint64(sequence), 10)
	}
	return id
}

func destination(t *common.FiveTuple) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.Destination), t.DestinationPort)
}
