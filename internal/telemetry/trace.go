package telemetry

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// TraceSettings selects the trace exporter.
type TraceSettings struct {
	// Exporter is "off", "stdout", "file" or "otlp".
	Exporter string `yaml:"exporter"`
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string `yaml:"endpoint"`
	// File is the path of the file that the exporter "file" appends spans to, as
	// JSON lines.
	File string `yaml:"file"`
	// SampleRatio is the share of flows whose first packet is traced, 0 to 1.
	SampleRatio float64 `yaml:"sample_ratio"`
}

// Tracer is a trace.Tracer that owns its exporter.
type Tracer struct {
	trace.Tracer
	shutdown func(context.Context) error
}

// NewTracer returns a tracer for the settings. With the exporter "off" it records
// nothing. It returns an error if the exporter is unknown or cannot be created.
func NewTracer(ctx context.Context, settings TraceSettings, program string) (*Tracer, error) {
	var exporter sdktrace.SpanExporter
	var err error
	closeFile := func() error { return nil }
	switch settings.Exporter {
	case "", "off":
		return &Tracer{
			Tracer:   noop.NewTracerProvider().Tracer(program),
			shutdown: func(context.Context) error { return nil },
		}, nil
	case "stdout":
		exporter, err = stdouttrace.New()
	case "file":
		file, openErr := os.OpenFile(settings.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if openErr != nil {
			return nil, fmt.Errorf("open trace file: %w", openErr)
		}
		closeFile = file.Close
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(file))
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(settings.Endpoint))
	default:
		return nil, fmt.Errorf("unknown trace exporter %q", settings.Exporter)
	}
	if err != nil {
		return nil, fmt.Errorf("create trace exporter %s: %w", settings.Exporter, err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		// The packet path does the sampling, by flow hash, so that all hops of a
		// flow are sampled alike.
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithResource(resource.NewSchemaless()),
	)
	shutdown := func(ctx context.Context) error {
		if err := provider.Shutdown(ctx); err != nil {
			return fmt.Errorf("flush traces: %w", err)
		}
		return closeFile()
	}
	return &Tracer{Tracer: provider.Tracer(program), shutdown: shutdown}, nil
}

// Shutdown exports the buffered spans and closes the exporter. It returns an error
// if spans may be lost.
func (t *Tracer) Shutdown(ctx context.Context) error {
	return t.shutdown(ctx)
}
