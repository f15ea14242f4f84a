package entry

import (
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/flowtrace"
)

// Span names. The first packet of a sampled flow gets one span per hop.
const (
	spanReceive  = "entry.receive"
	spanRelay    = "entry.relay"
	spanOwner    = "entry.owner"
	spanEndpoint = "entry.choose_endpoint"
)

// tracing records a span for each hop of the first packets of sampled flows.
type tracing struct {
	tracer   *flowtrace.Tracer
	instance string
}

func newTracing(tracer trace.Tracer, ratio float64, instance string) *tracing {
	return &tracing{tracer: flowtrace.New(tracer, ratio), instance: instance}
}

// record records the spans of a packet after the filter chain.
func (t *tracing) record(pc *packetContext, started time.Time) {
	if !pc.flow.First {
		return
	}
	ctx, traced := t.tracer.StartTrace(pc.flow.Hash, firstPacketKey(pc.flow.Hash, pc.flow.Sequence))
	if !traced {
		return
	}
	ended := time.Now()
	attributes := t.attributes(pc)
	if pc.decoded.Relay.HopCount == 0 {
		ctx = t.tracer.RecordSpan(ctx, spanReceive, started, ended, attributes...)
	}
	switch {
	case pc.action.Kind == flow.Relay:
		t.tracer.RecordSpan(ctx, spanRelay, started, ended, append(attributes, attribute.String("peer", pc.action.To.String()))...)
	case pc.flow.Service != nil:
		ctx = t.tracer.RecordSpan(ctx, spanOwner, started, ended, attributes...)
	}
	if pc.action.Kind == flow.Forward {
		t.tracer.RecordSpan(ctx, spanEndpoint, started, ended, append(attributes,
			attribute.Int64("endpoint", int64(pc.action.Endpoint)),
			attribute.String("tunnel", pc.action.To.String()))...)
	}
}

func (t *tracing) attributes(pc *packetContext) []attribute.KeyValue {
	attributes := []attribute.KeyValue{
		attribute.String("instance", t.instance),
		attribute.Int("result_code", int(pc.action.Code)),
		attribute.Int("hop_count", int(pc.decoded.Relay.HopCount)),
	}
	if pc.flow.Service != nil {
		attributes = append(attributes, attribute.String("service", pc.flow.Service.Service().Name))
	}
	// The full slice expression forces each append of a caller to copy.
	return attributes[:len(attributes):len(attributes)]
}
