package entry

import (
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/flowtrace"
)

// Guards against hops of one flow in different traces, and against a hop without
// a span.
func TestHopsJoinOneTrace(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder)).Tracer("test")
	all := func(s *Settings) { s.SampleRatio = 1 }
	a := startInstance(t, "entry-a", all, tracer)
	b := startInstance(t, "entry-b", all, tracer)
	e := openEndpoint(t)
	for _, i := range []*instance{a, b} {
		i.renew(t, 3*time.Second)
		i.apply(t, snapshot([]*endpoint{e}, a, b))
	}
	port := uint16(40000)
	for a.totals().relayed == 0 {
		port++
		a.send(t, syn(t, port))
		e.receive(t)
	}
	traceID := flowtrace.SpanContext(callerFlowHash(port)).TraceID()
	waitFor(t, "span of every hop", func() bool {
		names := spanNames(recorder, traceID)
		return names[spanReceive] == 1 && names[spanRelay] == 1 && names[spanOwner] == 1 && names[spanEndpoint] == 1
	})
	a.send(t, syn(t, port))
	e.receive(t)
	if names := spanNames(recorder, traceID); names[spanReceive] != 1 {
		t.Fatalf("a retransmitted first packet was traced again: %v", names)
	}
}

func callerFlowHash(port uint16) common.FlowHash {
	tuple := common.FiveTuple{
		Source: [4]byte{198, 51, 100, 7}, Destination: [4]byte{203, 0, 113, 10},
		SourcePort: port, DestinationPort: testServicePort, Protocol: common.ProtocolTCP,
	}
	return tuple.Hash()
}

func spanNames(recorder *tracetest.SpanRecorder, id trace.TraceID) map[string]int {
	names := make(map[string]int)
	for _, span := range recorder.Ended() {
		if span.SpanContext().TraceID() == id {
			names[span.Name()]++
		}
	}
	return names
}

// Guards against sampling another share of flows than configured.
func TestSampleRatio(t *testing.T) {
	const flows = 20_000
	for _, ratio := range []float64{0, 0.1, 1} {
		tracer := flowtrace.New(nil, ratio)
		sampled := 0
		for port := range uint16(flows) {
			if tracer.Sampled(callerFlowHash(port)) {
				sampled++
			}
		}
		// 0.02 is about nine standard deviations at ratio 0.1.
		if share := float64(sampled) / flows; share < ratio-0.02 || share > ratio+0.02 {
			t.Errorf("ratio %v: %v of the flows sampled", ratio, share)
		}
	}
}
