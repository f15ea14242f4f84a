package entry

import (
	"context"
	"encoding/binary"
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
)

// Names of the spans, one for each hop of a flow's first packet.
const (
	spanReceive  = "entry.receive"
	spanRelay    = "entry.relay"
	spanOwner    = "entry.owner"
	spanEndpoint = "entry.choose_endpoint"
)

// tracedSlots bounds the flows that are remembered as traced.
const tracedSlots = 1024

// tracing makes spans for the first packets of sampled flows. All instances
// sample the same flows and join their spans in one trace, because both follow
// from the flow hash.
type tracing struct {
	tracer trace.Tracer
	// threshold is compared with 32 hash bits; 0 traces nothing.
	threshold uint64
	instance  string
	traced    tracedFlows
}

func newTracing(tracer trace.Tracer, ratio float64, instance string) *tracing {
	ratio = min(max(ratio, 0), 1)
	return &tracing{tracer: tracer, threshold: uint64(ratio * (math.MaxUint32 + 1)), instance: instance}
}

// sampled uses bits that select neither the slot nor the bucket, so that a
// sample covers all owners and endpoints.
func (t *tracing) sampled(hash common.FlowHash) bool {
	return uint64(uint32(hash>>16)) < t.threshold
}

// flowContext returns the remote parent that all spans of the flow share.
func flowContext(hash common.FlowHash) trace.SpanContext {
	var traceID trace.TraceID
	binary.BigEndian.PutUint64(traceID[:8], uint64(hash))
	binary.BigEndian.PutUint64(traceID[8:], xxhash.Sum64(traceID[:8]))
	var spanID trace.SpanID
	binary.BigEndian.PutUint64(spanID[:], xxhash.Sum64(traceID[:])|1)
	return trace.NewSpanContext(trace.SpanContextConfig{
		TraceID:    traceID,
		SpanID:     spanID,
		TraceFlags: trace.FlagsSampled,
		Remote:     true,
	})
}

// tracedFlows remembers the flows that were traced. All workers share it,
// because a repeated first packet may reach another worker. A flow that another
// one displaced is traced again.
type tracedFlows [tracedSlots]atomic.Uint64

func (f *tracedFlows) add(key uint64) bool {
	return f[key%tracedSlots].Swap(key) != key
}

// record makes the spans of a packet that went through the filter chain.
func (t *tracing) record(x *exchange, started time.Time) {
	if !x.flow.First || !t.sampled(x.flow.Hash) {
		return
	}
	if !t.traced.add(firstPacketKey(x.flow.Hash, x.flow.Sequence)) {
		return
	}
	t.spans(x, started, time.Now())
}

func (t *tracing) spans(x *exchange, started, ended time.Time) {
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), flowContext(x.flow.Hash))
	attributes := t.attributes(x)
	if x.decoded.Relay.HopCount == 0 {
		ctx = t.span(ctx, spanReceive, started, ended, attributes)
	}
	switch {
	case x.action.Kind == flow.Relay:
		t.span(ctx, spanRelay, started, ended, append(attributes, attribute.String("peer", x.action.To.String())))
	case x.flow.Service != nil:
		ctx = t.span(ctx, spanOwner, started, ended, attributes)
	}
	if x.action.Kind == flow.Forward {
		t.span(ctx, spanEndpoint, started, ended, append(attributes,
			attribute.Int64("endpoint", int64(x.action.Endpoint)),
			attribute.String("tunnel", x.action.To.String())))
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

func (t *tracing) span(ctx context.Context, name string, started, ended time.Time, attributes []attribute.KeyValue) context.Context {
	ctx, span := t.tracer.Start(ctx, name, trace.WithTimestamp(started), trace.WithAttributes(attributes...))
	span.End(trace.WithTimestamp(ended))
	return ctx
}
