// Package traces sets up OpenTelemetry tracing: one span for each hop of a
// request, written to a file as JSON lines. The trace context travels in the
// headers of W3C Trace Context.
package traces

import (
	"context"
	"net/http"
	"os"
	"path/filepath"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	directoryMode = 0o750
	fileMode      = 0o640
)

// Tracer starts the spans of a process. The zero value records nothing. It is
// safe for concurrent use.
type Tracer struct {
	provider trace.TracerProvider
	shutdown func(context.Context) error
}

// Open returns a tracer that appends spans to a file, or one that records nothing
// if file is empty. The spans name the program as their service and name as its
// instance.
func Open(file, program, name string) (*Tracer, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if file == "" {
		return &Tracer{}, nil
	}
	if err := os.MkdirAll(filepath.Dir(file), directoryMode); err != nil {
		return nil, errorx.Decorate(err, "create the directory of the trace file")
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errorx.Decorate(err, "open the trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, errorx.Decorate(err, "create the trace exporter")
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", program), attribute.String("service.instance.id", name))),
	)
	shutdown := func(ctx context.Context) error {
		defer func() { _ = f.Close() }()
		return p.Shutdown(ctx)
	}
	return &Tracer{provider: p, shutdown: shutdown}, nil
}

// Provider returns the provider of the tracer, which is never nil.
func (t *Tracer) Provider() trace.TracerProvider {
	if t.provider == nil {
		return noop.NewTracerProvider()
	}
	return t.provider
}

// Start begins a span. The caller must end it.
func (t *Tracer) Start(ctx context.Context, name string) (context.Context, trace.Span) {
	return t.Provider().Tracer("ebonyreel").Start(ctx, name)
}

// StartRequest begins the first span of a request in this process. Its parent is the
// span that the headers name, and the request ID is an attribute. The caller must
// end it.
func (t *Tracer) StartRequest(ctx context.Context, h http.Header, name, request string) (context.Context, trace.Span) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(h))
	ctx, span := t.Start(ctx, name)
	span.SetAttributes(attribute.String("Request", request))
	return ctx, span
}

// Inject writes the trace context into the headers of an outgoing call.
func Inject(ctx context.Context, h http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
}

// Interceptor returns an interceptor that propagates the trace context over RPCs
// and makes a span for each RPC.
func (t *Tracer) Interceptor() (connect.Interceptor, error) {
	return otelconnect.NewInterceptor(
		otelconnect.WithTracerProvider(t.Provider()),
		otelconnect.WithPropagator(propagation.TraceContext{}),
		otelconnect.WithoutMetrics(),
		otelconnect.WithTrustRemote(),
	)
}

// Close writes the spans that are still in memory and closes the file.
func (t *Tracer) Close(ctx context.Context) error {
	if t.shutdown == nil {
		return nil
	}
	return t.shutdown(ctx)
}
