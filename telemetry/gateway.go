package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// GatewayMetrics records a gateway's requests.
type GatewayMetrics struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	first    metric.Float64Histogram
	whole    metric.Float64Histogram
}

// NewGatewayMetrics returns the instruments of a gateway.
func NewGatewayMetrics(m metric.Meter) (*GatewayMetrics, error) {
	var c GatewayMetrics
	var faults [4]error
	c.requests, faults[0] = m.Int64Counter("opalbridge.gateway.requests", metric.WithDescription("requests that ended, by service, kind and result"))
	c.attempts, faults[1] = m.Int64Counter("opalbridge.gateway.attempts", metric.WithDescription("sends to servers, by service; over opalbridge.gateway.requests"))
	c.first, faults[2] = m.Float64Histogram("opalbridge.gateway.first", metric.WithUnit("s"), metric.WithDescription("time from arrival to the first byte passed on"))
	c.whole, faults[3] = m.Float64Histogram("opalbridge.gateway.whole", metric.WithUnit("s"), metric.WithDescription("time from arrival to the end"))
	return &c, errors.Wrap(errors.Join(faults[:]...), "telemetry: gateway")
}

// RecordRequest counts a request that has ended; first is 0 when no byte was passed on.
func (c *GatewayMetrics) RecordRequest(service, kind, result string, attempts int, first, whole time.Duration) {
	ctx := context.Background()
	by := attribute.String("service", service)
	c.requests.Add(ctx, 1, metric.WithAttributes(by, attribute.String("kind", kind), attribute.String("result", result)))
	c.attempts.Add(ctx, int64(attempts), metric.WithAttributes(by))
	if first > 0 {
		c.first.Record(ctx, first.Seconds(), metric.WithAttributes(by))
	}
	c.whole.Record(ctx, whole.Seconds(), metric.WithAttributes(by))
}
