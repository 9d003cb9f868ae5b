// Package telemetry sets up a process's metrics and traces by OpenTelemetry.
//
// # Usage
//
//	t, err := telemetry.New(ctx, telemetry.Options{Service: "router", Node: "router-1"})
//	defer t.Shutdown(ctx)
//	mux.Handle("/metrics", t.Metrics())
//	mux.Handle("/traces/{request}", t.Traces())
//
// Metrics are served for Prometheus. Spans go to an OTLP/HTTP endpoint when one is
// configured; the latest are kept in memory too, so that a request's trace can be
// looked at without one.
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

// Options set up a Telemetry.
type Options struct {
	Service  string
	Node     string
	OTLP     string // URL of an OTLP/HTTP endpoint for traces; empty: none
	MaxSpans int    // latest spans kept in memory; 0: none
}

// Telemetry holds a process's providers.
type Telemetry struct {
	registry *prometheus.Registry
	meters   *sdkmetric.MeterProvider
	tracers  *sdktrace.TracerProvider
	spans    *spanRing
}

// New returns the providers; Shutdown ends them.
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
		spans:    &spanRing{most: o.MaxSpans},
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

// Shutdown sends what is left and ends the providers.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	return errors.Join(t.tracers.Shutdown(ctx), t.meters.Shutdown(ctx))
}

// Tracer returns the tracer of that name.
func (t *Telemetry) Tracer(name string) trace.Tracer { return t.tracers.Tracer(name) }

// Meter returns the meter of that name.
func (t *Telemetry) Meter(name string) metric.Meter { return t.meters.Meter(name) }

// Metrics serves the metrics for Prometheus.
func (t *Telemetry) Metrics() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Traces serves the spans kept in memory that belong to a request.
func (t *Telemetry) Traces() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(t.spans.request(r.PathValue("request")))
	})
}

// Span is a finished span as Traces shows it.
type Span struct {
	Trace    string        `json:"trace"`
	Span     string        `json:"span"`
	Parent   string        `json:"parent"`
	Name     string        `json:"name"`
	Start    time.Time     `json:"start"`
	Duration time.Duration `json:"duration_ns"`
	Request  string        `json:"request,omitempty"`
}

// spanRing keeps the latest finished spans.
type spanRing struct {
	most  int
	mutex sync.Mutex
	spans []Span
	next  int
}

// ExportSpans implements sdktrace.SpanExporter.
func (s *spanRing) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, o := range spans {
		k := Span{
			Trace: o.SpanContext().TraceID().String(), Span: o.SpanContext().SpanID().String(),
			Parent: o.Parent().SpanID().String(), Name: o.Name(), Start: o.StartTime(), Duration: o.EndTime().Sub(o.StartTime()),
		}
		for _, a := range o.Attributes() {
			if a.Key == "request" {
				k.Request = a.Value.AsString()
			}
		}
		if len(s.spans) < s.most {
			s.spans = append(s.spans, k)
			continue
		}
		s.spans[s.next] = k
		s.next = (s.next + 1) % s.most
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter.
func (s *spanRing) Shutdown(context.Context) error { return nil }

// request returns the spans of the traces in which the request occurs.
func (s *spanRing) request(id string) []Span {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	traces := map[string]bool{}
	for _, k := range s.spans {
		if k.Request == id {
			traces[k.Trace] = true
		}
	}
	found := []Span{}
	for _, k := range s.spans {
		if traces[k.Trace] {
			found = append(found, k)
		}
	}
	return found
}
