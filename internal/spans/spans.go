// Package spans creates a trace span for each hop of a request: caller, host, peer, backend server
// or worker.
package spans

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "pollencroft"

var propagator = propagation.TraceContext{}

// Start starts the span of one hop. The returned function ends it.
func Start(ctx context.Context, hop, id string) (context.Context, func()) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, hop, trace.WithAttributes(attribute.String("id", id)))
	return ctx, func() { span.End() }
}

// TraceParent returns the W3C trace context of the current span for the next hop.
func TraceParent(ctx context.Context) string {
	c := propagation.MapCarrier{}
	propagator.Inject(ctx, c)
	return c["traceparent"]
}

// ContinueTrace continues the trace of the previous hop.
func ContinueTrace(ctx context.Context, parent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
}
