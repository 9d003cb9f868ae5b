package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// GatewayMetrics holds the request metrics of a gateway.
type GatewayMetrics struct {
	requests     metric.Int64Counter
	attempts     metric.Int64Counter
	first        metric.Float64Histogram
	whole        metric.Float64Histogram
	retries      metric.Int64Counter
	acknowledged metric.Float64Histogram
	resumed      metric.Int64Counter
	slots        metric.Int64Counter
	refusals     metric.Int64Counter
	continued    metric.Int64Counter
	offloaded    metric.Int64Counter
	invalid      metric.Int64Counter
	dropped      metric.Int64Counter
}

// NewGatewayMetrics creates the instruments of a gateway.
func NewGatewayMetrics(m metric.Meter) (*GatewayMetrics, error) {
	var c GatewayMetrics
	var errs [13]error
	c.requests, errs[0] = m.Int64Counter("opalbridge.gateway.requests", metric.WithDescription("requests that ended, by service, kind and result"))
	c.attempts, errs[1] = m.Int64Counter("opalbridge.gateway.attempts", metric.WithDescription("sends to servers, by service; over opalbridge.gateway.requests"))
	c.first, errs[2] = m.Float64Histogram("opalbridge.gateway.first", metric.WithUnit("s"), metric.WithDescription("time from arrival to the first byte passed on"))
	c.whole, errs[3] = m.Float64Histogram("opalbridge.gateway.whole", metric.WithUnit("s"), metric.WithDescription("time from arrival to the end"))
	c.retries, errs[4] = m.Int64Counter("opalbridge.gateway.retries", metric.WithDescription("retries that the budget granted or refused, by service and decision"))
	c.acknowledged, errs[5] = m.Float64Histogram("opalbridge.gateway.retry_acknowledged", metric.WithUnit("s"), metric.WithDescription("time from the decision on a retry to its server's first sign of life"))
	c.resumed, errs[6] = m.Int64Counter("opalbridge.gateway.streams_resumed", metric.WithDescription("streams that callers took up, by service and outcome"))
	c.slots, errs[7] = m.Int64Counter("opalbridge.gateway.slot_decisions", metric.WithDescription("requests to plain services that were held or refused for want of a slot, by service and decision"))
	c.refusals, errs[8] = m.Int64Counter("opalbridge.gateway.refusals", metric.WithDescription("requests refused, by service, by why they got no capacity beyond their account's share, and by whether an idle server could have served them within a quarter of their objective"))
	c.continued, errs[9] = m.Int64Counter("opalbridge.gateway.streams_continued", metric.WithDescription("steps by which streams continue at other servers: move, backup, resume; by service and outcome"))
	c.offloaded, errs[10] = m.Int64Counter("opalbridge.gateway.connections_offloaded", metric.WithDescription("connections for which the gateway lacked CPU time, by outcome: own_hall and other_hall (a gateway there took it), none (no gateway could take it), failed (those that could were not reached)"))
	c.invalid, errs[11] = m.Int64Counter("opalbridge.gateway.invalid_answers", metric.WithDescription("times that a server has sent bytes that are no answer, by service and kind"))
	c.dropped, errs[12] = m.Int64Counter("opalbridge.gateway.requests_dropped", metric.WithDescription("connections that the gateway closed without an answer to a request that had arrived, by arrived: unread, read"))
	return &c, errors.Wrap(errors.Join(errs[:]...), "telemetry: gateway")
}

// RecordRequest records a finished request. The times first and whole, to the first byte
// and to the end of the response, count from the arrival of the request; first is 0 if
// no byte was sent to the caller.
func (c *GatewayMetrics) RecordRequest(service, kind, result string, attempts int, first, whole time.Duration) {
	ctx := context.Background()
	byService := attribute.String("service", service)
	c.requests.Add(ctx, 1, metric.WithAttributes(byService, attribute.String("kind", kind), attribute.String("result", result)))
	c.attempts.Add(ctx, int64(attempts), metric.WithAttributes(byService))
	if first > 0 {
		c.first.Record(ctx, first.Seconds(), metric.WithAttributes(byService))
	}
	c.whole.Record(ctx, whole.Seconds(), metric.WithAttributes(byService))
}

// RecordRetry records whether the retry budget granted a retry.
func (c *GatewayMetrics) RecordRetry(service string, granted bool) {
	decision := "refused"
	if granted {
		decision = "granted"
	}
	c.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("decision", decision)))
}

// RecordRefusal records a refused request. surplus says why it got no capacity beyond its account's
// share; besideIdle reports whether an idle server could have served it soon.
func (c *GatewayMetrics) RecordRefusal(service, surplus string, besideIdle bool) {
	c.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("surplus", surplus), attribute.Bool("beside_idle", besideIdle)))
}

// RecordStreamResumed records what became of a caller's attempt to take up a stream.
func (c *GatewayMetrics) RecordStreamResumed(service, outcome string) {
	c.resumed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome)))
}

// RecordSlotDecision records that a request to a plain service was held or refused for want of a
// slot.
func (c *GatewayMetrics) RecordSlotDecision(service, decision string) {
	c.slots.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("decision", decision)))
}

// RecordStreamContinued records what became of a step by which a stream continues at another server.
func (c *GatewayMetrics) RecordStreamContinued(service, step, outcome string) {
	c.continued.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("step", step), attribute.String("outcome", outcome)))
}

// RecordConnectionOffloaded records what became of a connection for which the gateway lacked CPU time.
func (c *GatewayMetrics) RecordConnectionOffloaded(outcome string) {
	c.offloaded.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// RecordDropped records that a connection was closed without an answer to a request that had arrived on it.
func (c *GatewayMetrics) RecordDropped(arrived string) {
	c.dropped.Add(context.Background(), 1, metric.WithAttributes(attribute.String("arrived", arrived)))
}

// RecordInvalid records that a server has sent bytes that are no answer.
func (c *GatewayMetrics) RecordInvalid(service, kind string) {
	c.invalid.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("kind", kind)))
}

// RecordRetryAcknowledged records the time from the decision on a retry to its server's first sign of
// life.
func (c *GatewayMetrics) RecordRetryAcknowledged(service string, delay time.Duration) {
	c.acknowledged.Record(context.Background(), delay.Seconds(), metric.WithAttributes(attribute.String("service", service)))
}
