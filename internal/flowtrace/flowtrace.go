// Package flowtrace makes the spans of sampled flows. All instances sample the same
// flows and join their spans in one trace, because both follow from the flow hash.
package flowtrace

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
)

// tracedCacheSize bounds the flows that are remembered as traced.
const tracedCacheSize = 1024

// Tracer makes spans for the first packets of sampled flows. It is safe for
// concurrent use.
type Tracer struct {
	tracer trace.Tracer
	// threshold is compared with 32 hash bits; 0 traces nothing.
	threshold uint64
	// traced remembers the first packets that were traced: a repeated one may reach
	// another worker. One that another has displaced is traced again.
	traced [tracedCacheSize]atomic.Uint64
}

// New returns a tracer of a share of the flows, 0 to 1.
func New(tracer trace.Tracer, ratio float64) *Tracer {
	ratio = min(max(ratio, 0), 1)
	return &Tracer{tracer: tracer, threshold: uint64(ratio * (math.MaxUint32 + 1))}
}

// Sampled reports whether a flow is in the sample. It uses bits of the hash that
// select neither the slot nor the bucket, so that a sample covers all owners and
// endpoints.
func (t *Tracer) Sampled(hash common.FlowHash) bool {
	return uint64(uint32(hash>>16)) < t.threshold
}

// StartTrace reports whether the first packet with a key is to be traced: its flow is in
// the sample and it was not traced before. The context is the flow's remote parent.
func (t *Tracer) StartTrace(hash common.FlowHash, key uint64) (context.Context, bool) {
	if !t.Sampled(hash) || t.traced[key%tracedCacheSize].Swap(key) == key {
		return nil, false
	}
	return trace.ContextWithRemoteSpanContext(context.Background(), SpanContext(hash)), true
}

// RecordSpan records one span and returns the context for its children.
func (t *Tracer) RecordSpan(ctx context.Context, name string, started, ended time.Time, attributes ...attribute.KeyValue) context.Context {
	ctx, span := t.tracer.Start(ctx, name, trace.WithTimestamp(started), trace.WithAttributes(attributes...))
	span.End(trace.WithTimestamp(ended))
	return ctx
}

// SpanContext returns the remote parent that all spans of a flow share.
func SpanContext(hash common.FlowHash) trace.SpanContext {
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
