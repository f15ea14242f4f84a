package entry

import (
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/flowtrace"
)

// Names of the spans, one for each hop of a flow's first packet.
const (
	spanReceive  = "entry.receive"
	spanRelay    = "entry.relay"
	spanOwner    = "entry.owner"
	spanEndpoint = "entry.choose_endpoint"
)

// tracing makes a span for each hop of the first packets of sampled flows.
type tracing struct {
	tracer   *flowtrace.Tracer
	instance string
}

func newTracing(tracer trace.Tracer, ratio float64, instance string) *tracing {
	return &tracing{tracer: flowtrace.New(tracer, ratio), instance: instance}
}

// record makes the spans of a packet that went through the filter chain.
func (t *tracing) record(x *exchange, started time.Time) {
	if !x.flow.First {
		return
	}
	ctx, traced := t.tracer.StartTrace(x.flow.Hash, firstPacketKey(x.flow.Hash, x.flow.Sequence))
	if !traced {
		return
	}
	ended := time.Now()
	attributes := t.attributes(x)
	if x.decoded.Relay.HopCount == 0 {
		ctx = t.tracer.RecordSpan(ctx, spanReceive, started, ended, attributes...)
	}
	switch {
	case x.action.Kind == flow.Relay:
		t.tracer.RecordSpan(ctx, spanRelay, started, ended, append(attributes, attribute.String("peer", x.action.To.String()))...)
	case x.flow.Service != nil:
		ctx = t.tracer.RecordSpan(ctx, spanOwner, started, ended, attributes...)
	}
	if x.action.Kind == flow.Forward {
		t.tracer.RecordSpan(ctx, spanEndpoint, started, ended, append(attributes,
			attribute.Int64("endpoint", int64(x.action.Endpoint)),
			attribute.String("tunnel", x.action.To.String()))...)
	}
}

func (t *tracing) attributes(x *exchange) []attribute.KeyValue {
	attributes := []attribute.KeyValue{
		attribute.String("instance", t.instance),
		attribute.Int("result_code", int(x.action.Code)),
		attribute.Int("hop_count", int(x.decoded.Relay.HopCount)),
	}
	if x.flow.Service != nil {
		attributes = append(attributes, attribute.String("service", x.flow.Service.Service().Name))
	}
	// The full slice expression makes later appends copy.
	return attributes[:len(attributes):len(attributes)]
}
