package telemetry

import (
	"context"
	"net/http"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// tracerName names the spans' instrumentation.
const tracerName = "silverdeck"

var propagator = propagation.TraceContext{}

// Tracer opens a span for each hop and carries it to the next.
type Tracer struct {
	tracer trace.Tracer
	close  func(context.Context) error
}

// NewTracer returns a Tracer that exports as t says, or to nowhere.
func NewTracer(t Settings, process string, id Identity) (*Tracer, error) {
	var opts []sdktrace.TracerProviderOption
	if t.TraceFile != "" {
		f, err := os.OpenFile(t.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, err
		}
		opts = append(opts, sdktrace.WithBatcher(e))
	}
	if t.TraceEndpoint != "" {
		e, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(t.TraceEndpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, err
		}
		opts = append(opts, sdktrace.WithBatcher(e))
	}
	if len(opts) == 0 {
		return NoTracer(), nil
	}
	p := sdktrace.NewTracerProvider(opts...)
	scope := trace.WithInstrumentationAttributes(
		attribute.String("process", process),
		attribute.String("vm", id.VM),
		attribute.String("zone", id.Zone),
	)
	return &Tracer{tracer: p.Tracer(tracerName, scope), close: p.Shutdown}, nil
}

// NoTracer returns a Tracer that records nothing.
func NoTracer() *Tracer {
	return &Tracer{
		tracer: noop.NewTracerProvider().Tracer(tracerName),
		close:  func(context.Context) error { return nil },
	}
}

// Receive opens the span of a hop that arrived with header h.
func (t *Tracer) Receive(ctx context.Context, h http.Header, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	ctx = propagator.Extract(ctx, propagation.HeaderCarrier(h))
	return t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attrs...))
}

// Send opens the span of a hop that leaves with header h.
func (t *Tracer) Send(ctx context.Context, h http.Header, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	ctx, s := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attrs...))
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
	return ctx, s
}

// Close exports what is left.
func (t *Tracer) Close(ctx context.Context) error {
	return t.close(ctx)
}
