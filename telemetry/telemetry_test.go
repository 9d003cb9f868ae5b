package telemetry_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"opalbridge.dev/telemetry"
)

// TestTracesAreExported checks that spans are sent to the OTLP/HTTP endpoint.
func TestTracesAreExported(t *testing.T) {
	var posts atomic.Int64
	endpoint := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/traces" && r.Method == http.MethodPost {
			posts.Add(1)
		}
	}))
	defer endpoint.Close()
	ctx := context.Background()
	o, err := telemetry.New(ctx, telemetry.Options{Service: "s", Node: "n", OTLP: endpoint.URL + "/v1/traces"})
	require.NoError(t, err)
	_, span := o.Tracer("t").Start(ctx, "hop")
	span.End()
	require.NoError(t, o.Shutdown(ctx))
	require.Equal(t, int64(1), posts.Load())
}

func TestMetricsAndTracesAreServed(t *testing.T) {
	ctx := context.Background()
	o, err := telemetry.New(ctx, telemetry.Options{Service: "s", Node: "n", MaxSpans: 2})
	require.NoError(t, err)
	requests, err := telemetry.NewRouterMetrics(o.Meter("m"))
	require.NoError(t, err)
	requests.Request("quito", "small", "not-run", "deadline", true, time.Second, time.Second)
	requests.Retry("lost")
	require.NoError(t, telemetry.RegisterGauges(o.Meter("m"), []telemetry.Gauge{{Name: "g", Read: func() float64 { return 7 }}}))
	for range 3 { // more than MaxSpans
		_, span := o.Tracer("t").Start(ctx, "hop", trace.WithAttributes(attribute.String("request", "r")))
		span.End()
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", o.Metrics())
	mux.Handle("/traces/{request}", o.Traces())
	server := httptest.NewServer(mux)
	defer server.Close()
	text := get(t, server.URL+"/metrics")
	for _, want := range []string{`cause="deadline"`, `outcome="not-run"`, "opalbridge_retries_total", "g{", "} 7"} {
		require.Contains(t, text, want)
	}
	require.Contains(t, get(t, server.URL+"/traces/r"), `"name": "hop"`)
	require.NotContains(t, get(t, server.URL+"/traces/other"), "hop")
}

func get(t *testing.T, url string) string {
	response, err := http.Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(b)
}
