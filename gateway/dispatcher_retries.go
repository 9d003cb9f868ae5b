package gateway

import (
	"time"

	"opalbridge.dev/gateway/placement"
)

// This file spends the fleet's retry budget and reports how it was spent.

// retryBudgetSpent is the reason of a refusal when the fleet's retry budget is used up.
const retryBudgetSpent placement.Reason = "budget of repeats spent"

// retryLogInterval is the minimum time between two log lines about a service's retry budget.
const retryLogInterval = time.Second

// mayRetry reports whether the retry budget has a retry left for a service.
func (d *dispatcher) mayRetry(now time.Time, service string) bool {
	if d.retryBudget.Remaining(now, service, d.fleetSize()) >= 1 {
		return true
	}
	d.metrics.RetryDecided(service, false)
	d.logBudgetSpent(now, service)
	return false
}

// takeRetry takes a retry from the budget.
func (d *dispatcher) takeRetry(now time.Time, service string) {
	d.retryBudget.Take(now, service, d.fleetSize())
	d.metrics.RetryDecided(service, true)
}

// acknowledgeRetry records that a server has shown a sign of life after a retry was sent to
// it, or that the retry has ended without one.
func (d *dispatcher) acknowledgeRetry(now time.Time, p *pendingAttempt) {
	if p != nil && p.retry {
		d.metrics.RetryAcknowledged(p.service, now.Sub(p.sentAt))
	}
}

// logBudgetSpent logs what a service's budget has been spent on, at most once in
// retryLogInterval.
func (d *dispatcher) logBudgetSpent(now time.Time, service string) {
	if now.Sub(d.budgetLoggedAt[service]) < retryLogInterval {
		return
	}
	d.budgetLoggedAt[service] = now
	u := d.retryBudget.Usage(now, service, d.fleetSize())
	d.log.Warn().Str("event", "retries.spent").Str("service", service).Int("requests", u.Requests).Int("retries", u.Retries).
		Float64("remaining", u.Remaining).Int("gateways", d.fleetSize()).Dur("age", now.Sub(d.started)).
		Dur("late", d.lateness(now.Add(-retryLogInterval), now)).Msg("no retries left for this service")
}

// discardMetrics implements Metrics.
type discardMetrics struct{}

func (discardMetrics) RequestEnded(Outcome)                    {}
func (discardMetrics) RetryDecided(string, bool)               {}
func (discardMetrics) RetryAcknowledged(string, time.Duration) {}
