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

// tracerName is the name of the instrumentation scope.
const tracerName = "silverdeck"

var propagator = propagation.TraceContext{}

// Tracer starts a span for each hop and propagates the trace context to the next one.
type Tracer struct {
	tracer trace.Tracer
	close  func(context.Context) error
}

// NewTracer returns a Tracer with the exporters that t configures. Without any it records
// nothing.
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

// StartServerSpan starts the server span of a request received with header h, as a child of the
// span that h carries.
func (t *Tracer) StartServerSpan(ctx context.Context, h http.Header, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	ctx = propagator.Extract(ctx, propagation.HeaderCarrier(h))
	return t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(attrs...))
}

// StartClientSpan starts the client span of an outgoing request and writes its context to h.
func (t *Tracer) StartClientSpan(ctx context.Context, h http.Header, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	ctx, s := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attrs...))
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
	return ctx, s
}

// Close exports the remaining spans and shuts the exporters down.
func (t *Tracer) Close(ctx context.Context) error {
	return t.close(ctx)
}
