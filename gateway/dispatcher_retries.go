package gateway

import (
	"time"

	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/upstream"
)

// This file spends the fleet's retry budget and reports how it was spent.

// retryBudgetSpent is the reason of a refusal when the fleet's retry budget is used up.
const retryBudgetSpent placement.Reason = "budget of repeats spent"

// retryLogInterval is the minimum time between two log lines about a service's retry budget.
const retryLogInterval = time.Second

// lateRequestWindow is how long after it ran late a process may still read requests that were
// sent meanwhile.
const lateRequestWindow = time.Second

// earnRetries counts a request, which earns a part of a retry.
func (d *dispatcher) earnRetries(now time.Time, service string) {
	d.retryBudget.RecordRequest(now, service, d.lateness(now.Add(-lateRequestWindow), now))
}

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

// arrivalTimeout is how long a request without any sign of its server may still be on its way
// after the gateway has given it up: the kernel gives up unacknowledged bytes after 1.5 s.
const arrivalTimeout = 2 * time.Second

// lateAcknowledgement is a retry that was given up and may still reach its server.
type lateAcknowledgement struct {
	service string
	due     time.Time
}

// acknowledgeRetry records that a server has shown a sign of life after a retry was sent to it.
func (d *dispatcher) acknowledgeRetry(now time.Time, p *pendingAttempt) {
	if p != nil && p.retry {
		d.retryBudget.Acknowledge(p.service)
		d.metrics.RetryAcknowledged(p.service, now.Sub(p.sentAt))
	}
}

// endRetry records that a retry has ended. Its server may still get it if it has given no sign of
// it.
func (d *dispatcher) endRetry(now time.Time, p *pendingAttempt, m attemptEnded) {
	switch {
	case p == nil || !p.retry:
	case m.end == placement.Unreachable || m.end == placement.NotSent:
		d.retryBudget.Acknowledge(p.service)
	case m.end == placement.Served || m.end == placement.Rejected || m.status != 0:
		d.acknowledgeRetry(now, p)
	default:
		d.lateAcknowledgements = append(d.lateAcknowledgements, lateAcknowledgement{service: p.service, due: now.Add(arrivalTimeout)})
	}
}

// acknowledgeLate acknowledges retries that cannot reach their servers any more.
func (d *dispatcher) acknowledgeLate(now time.Time) {
	for len(d.lateAcknowledgements) > 0 && !now.Before(d.lateAcknowledgements[0].due) {
		d.retryBudget.Acknowledge(d.lateAcknowledgements[0].service)
		d.lateAcknowledgements = d.lateAcknowledgements[1:]
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
	d.log.Warn().Str("event", "retries.spent").Str("service", service).Int("requests", u.Requests).Int("retries", u.Retries).Int("in_flight", u.InFlight).
		Float64("remaining", u.Remaining).Int("gateways", d.fleetSize()).Dur("age", now.Sub(d.started)).
		Dur("late", d.lateness(now.Add(-retryLogInterval), now)).Msg("no retries left for this service")
}

// discardMetrics implements Metrics.
type discardMetrics struct{}

func (discardMetrics) RequestEnded(Outcome)                             {}
func (discardMetrics) RetryDecided(string, bool)                        {}
func (discardMetrics) RetryAcknowledged(string, time.Duration)          {}
func (discardMetrics) StreamResumed(string, ResumeOutcome)              {}
func (discardMetrics) SlotDecided(string, SlotDecision)                 {}
func (discardMetrics) InvalidReceived(string, upstream.Invalid)         {}
func (discardMetrics) StreamContinued(string, ContinuationStep, string) {}
func (discardMetrics) ConnectionOffloaded(offload.Outcome)              {}
func (discardMetrics) RequestDropped(DroppedRequest)                    {}
