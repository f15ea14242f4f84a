// Package flowtrace records trace spans for sampled flows. Sampling and the trace
// ID depend only on the flow hash, so all instances sample the same flows and
// their spans of a flow belong to one trace.
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

// tracedCacheSize is the number of entries of the cache of traced first packets.
const tracedCacheSize = 1024

// Tracer records spans for the first packets of sampled flows. It is safe for
// concurrent use.
type Tracer struct {
	tracer trace.Tracer
	// threshold is the exclusive upper bound of 32 hash bits of sampled flows; 0
	// samples none.
	threshold uint64
	// traced is a direct-mapped cache of the keys of traced first packets, shared
	// by all workers because a retransmission may reach another worker. If a key
	// was overwritten by another one, its retransmission is traced again.
	traced [tracedCacheSize]atomic.Uint64
}

// New returns a tracer that samples the given share of the flows. The ratio is
// clamped to 0 to 1.
func New(tracer trace.Tracer, ratio float64) *Tracer {
	ratio = min(max(ratio, 0), 1)
	return &Tracer{tracer: tracer, threshold: uint64(ratio * (math.MaxUint32 + 1))}
}

// Sampled reports whether a flow is sampled. It uses bits of the hash that select
// neither the slot nor the bucket, so that the sample covers all owners and
// endpoints.
func (t *Tracer) Sampled(hash common.FlowHash) bool {
	return uint64(uint32(hash>>16)) < t.threshold
}

// StartTrace reports whether to trace the first packet with the given key: its
// flow is sampled and the packet was not traced before. The returned context holds
// the remote parent of the flow's spans.
func (t *Tracer) StartTrace(hash common.FlowHash, key uint64) (context.Context, bool) {
	if !t.Sampled(hash) || t.traced[key%tracedCacheSize].Swap(key) == key {
		return nil, false
	}
	return trace.ContextWithRemoteSpanContext(context.Background(), SpanContext(hash)), true
}

// RecordSpan records one span and returns the context for child spans.
func (t *Tracer) RecordSpan(ctx context.Context, name string, started, ended time.Time, attributes ...attribute.KeyValue) context.Context {
	ctx, span := t.tracer.Start(ctx, name, trace.WithTimestamp(started), trace.WithAttributes(attributes...))
	span.End(trace.WithTimestamp(ended))
	return ctx
}

// SpanContext returns the remote parent of all spans of a flow.
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
