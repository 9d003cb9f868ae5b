// Package telemetry sets up the OpenTelemetry metrics and traces of a process.
//
// # Usage
//
//	t, err := telemetry.New(ctx, telemetry.Options{Service: "router", Node: "router-1"})
//	defer t.Shutdown(ctx)
//	mux.Handle("/metrics", t.Metrics())
//	mux.Handle("/traces/{request}", t.Traces())
//
// Metrics are served in the Prometheus format. Spans are exported to an OTLP/HTTP
// endpoint if one is configured. The most recent spans are also kept in memory, so that
// the trace of a request can be viewed without such an endpoint.
package telemetry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Options configures a Telemetry.
type Options struct {
	Service  string
	Node     string
	OTLP     string // URL of an OTLP/HTTP endpoint for traces; empty: none
	MaxSpans int    // most recent spans kept in memory; 0: none
}

// Telemetry holds the metric and trace providers of a process.
type Telemetry struct {
	registry *prometheus.Registry
	meters   *sdkmetric.MeterProvider
	tracers  *sdktrace.TracerProvider
	spans    *spanRing
}

// New creates the providers. The caller must call Shutdown when done.
func New(ctx context.Context, o Options) (*Telemetry, error) {
	r := resource.NewSchemaless(attribute.String("service.name", o.Service), attribute.String("service.instance.id", o.Node))
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: metrics")
	}
	t := &Telemetry{
		registry: registry,
		meters:   sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter), sdkmetric.WithResource(r)),
		spans:    &spanRing{capacity: o.MaxSpans},
	}
	options := []sdktrace.TracerProviderOption{sdktrace.WithResource(r)}
	if o.MaxSpans > 0 {
		options = append(options, sdktrace.WithSyncer(t.spans))
	}
	if o.OTLP != "" {
		out, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.OTLP))
		if err != nil {
			return nil, errors.Wrapf(err, "telemetry: traces to %s", o.OTLP)
		}
		options = append(options, sdktrace.WithBatcher(out))
	}
	if o.MaxSpans == 0 && o.OTLP == "" {
		options = append(options, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	t.tracers = sdktrace.NewTracerProvider(options...)
	return t, nil
}

// Shutdown flushes pending data and shuts down the providers.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	return errors.Join(t.tracers.Shutdown(ctx), t.meters.Shutdown(ctx))
}

// Tracer returns the tracer with the given name.
func (t *Telemetry) Tracer(name string) trace.Tracer { return t.tracers.Tracer(name) }

// Meter returns the meter with the given name.
func (t *Telemetry) Meter(name string) metric.Meter { return t.meters.Meter(name) }

// Metrics returns a handler that serves the metrics in the Prometheus format.
func (t *Telemetry) Metrics() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Traces returns a handler that serves the spans in memory of the traces in which the
// request occurs, as JSON. The request is the path value "request".
func (t *Telemetry) Traces() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(t.spans.byRequest(r.PathValue("request")))
	})
}

// Span is a finished span as served by Traces.
type Span struct {
	Trace    string        `json:"trace"`
	Span     string        `json:"span"`
	Parent   string        `json:"parent"`
	Name     string        `json:"name"`
	Start    time.Time     `json:"start"`
	Duration time.Duration `json:"duration_ns"`
	Request  string        `json:"request,omitempty"`
}

// spanRing is a ring buffer of the most recent finished spans.
type spanRing struct {
	capacity int
	mutex    sync.Mutex
	spans    []Span
	next     int
}

// ExportSpans implements sdktrace.SpanExporter.
func (s *spanRing) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, o := range spans {
		span := Span{
			Trace: o.SpanContext().TraceID().String(), Span: o.SpanContext().SpanID().String(),
			Parent: o.Parent().SpanID().String(), Name: o.Name(), Start: o.StartTime(), Duration: o.EndTime().Sub(o.StartTime()),
		}
		for _, a := range o.Attributes() {
			if a.Key == "request" {
				span.Request = a.Value.AsString()
			}
		}
		if len(s.spans) < s.capacity {
			s.spans = append(s.spans, span)
			continue
		}
		s.spans[s.next] = span
		s.next = (s.next + 1) % s.capacity
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (s *spanRing) Shutdown(context.Context) error { return nil }

// byRequest returns the spans of all traces in which the request occurs.
func (s *spanRing) byRequest(id string) []Span {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	traces := map[string]bool{}
	for _, span := range s.spans {
		if span.Request == id {
			traces[span.Trace] = true
		}
	}
	found := []Span{}
	for _, span := range s.spans {
		if traces[span.Trace] {
			found = append(found, span)
		}
	}
	return found
}
