package telemetry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// RouterMetrics holds the request and retry metrics of a router.
type RouterMetrics struct {
	requests metric.Int64Counter
	retries  metric.Int64Counter
	wait     metric.Float64Histogram
	total    metric.Float64Histogram
}

// NewRouterMetrics creates the instruments of a router.
func NewRouterMetrics(m metric.Meter) (*RouterMetrics, error) {
	var r RouterMetrics
	var errs [4]error
	r.requests, errs[0] = m.Int64Counter("opalbridge.requests", metric.WithDescription("requests that got their outcome, by account, pool, outcome and cause"))
	r.retries, errs[1] = m.Int64Counter("opalbridge.retries", metric.WithDescription("attempts after the first; over opalbridge.requests"))
	r.wait, errs[2] = m.Float64Histogram("opalbridge.wait", metric.WithUnit("s"), metric.WithDescription("time from arrival to the placement at an agent"))
	r.total, errs[3] = m.Float64Histogram("opalbridge.total", metric.WithUnit("s"), metric.WithDescription("time from arrival to the outcome"))
	if err := errors.Join(errs[:]...); err != nil {
		return nil, errors.Wrap(err, "telemetry: requests")
	}
	return &r, nil
}

// Request records the outcome of a request, its time until placement and its total
// time.
func (r *RouterMetrics) Request(account, pool, outcome, cause string, urgent bool, wait, total time.Duration) {
	attributes := metric.WithAttributes(attribute.String("account", account), attribute.String("pool", pool), attribute.String("outcome", outcome), attribute.String("cause", cause))
	ctx := context.Background()
	r.requests.Add(ctx, 1, attributes)
	poolAttributes := metric.WithAttributes(attribute.String("pool", pool), attribute.Bool("urgent", urgent))
	r.wait.Record(ctx, wait.Seconds(), poolAttributes)
	r.total.Record(ctx, total.Seconds(), poolAttributes)
}

// Retry counts an attempt after the first.
func (r *RouterMetrics) Retry(reason string) {
	r.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}

// Gauge is a metric whose value is read at collection time.
type Gauge struct {
	Name, Description, Unit string
	Read                    func() float64
}

// RegisterGauges registers the gauges with the meter.
func RegisterGauges(m metric.Meter, gauges []Gauge) error {
	for _, g := range gauges {
		_, err := m.Float64ObservableGauge(g.Name, metric.WithDescription(g.Description), metric.WithUnit(g.Unit),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				o.Observe(g.Read())
				return nil
			}))
		if err != nil {
			return errors.Wrapf(err, "telemetry: gauge %s", g.Name)
		}
	}
	return nil
}
