package spans

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
)

// flushTimeout bounds how long exporting the last spans may take.
const flushTimeout = 2 * time.Second

// Export sends all spans of this process to a file or to an OTLP endpoint such as
// http://127.0.0.1:4318. With neither, spans are not recorded. The returned function flushes the
// remaining spans.
func Export(host, file, endpoint string) (func(), error) {
	exp, closeFile, err := exporter(file, endpoint)
	if err != nil {
		return nil, err
	}
	if exp == nil {
		return func() {}, nil
	}
	res := resource.NewSchemaless(attribute.String("service.name", "pollencroft"), attribute.String("host.name", host))
	p := sdk.NewTracerProvider(sdk.WithBatcher(exp), sdk.WithResource(res))
	otel.SetTracerProvider(p)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = p.Shutdown(ctx)
		closeFile()
	}, nil
}

func exporter(file, endpoint string) (sdk.SpanExporter, func(), error) {
	switch {
	case file != "":
		f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, errors.Wrap(err, "open trace file")
		}
		exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return exp, func() { _ = f.Close() }, errors.Wrap(err, "create trace exporter")
	case endpoint != "":
		exp, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(endpoint))
		return exp, func() {}, errors.Wrap(err, "create trace exporter")
	default:
		return nil, nil, nil
	}
}
