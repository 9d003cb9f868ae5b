// Package budget limits how often the fleet retries requests. In any window a service may
// have retries for a fraction of its requests, plus a fixed number, over all gateways
// together. Each gateway spends only what its own requests earn and an even part of the
// fixed number, so that no coordination is needed.
//
// # Usage
//
//	b := budget.New(budget.Limits{Ratio: 0.2, FixedRetries: 58, Window: 10 * time.Second}, time.Now())
//	b.RecordRequest(now, service)
//	if b.Take(now, service, gateways) { … retry … }
//
// In its first window a gateway gets its part of the fixed number only gradually, since a
// previous process on the host may have spent it all. The package does no locking and does
// not read the clock; a Budget must be used by one goroutine only.
package budget

import "time"

// Limits are the limits for the whole fleet.
type Limits struct {
	Ratio        float64       // retries per request in the window
	FixedRetries float64       // additional retries per window
	Window       time.Duration // any time span of this length
}

// Fractions of the limits that are used. The rest keeps the fleet below its limits although
// the gateways' windows differ a little and gateways may not know of each other yet.
const (
	ratioFraction = 0.8
	fixedFraction = 0.5
)

// Budget counts requests and retries by service.
type Budget struct {
	limits   Limits
	started  time.Time
	services map[string]*history
}

// New returns the budget of a process that started at the given time.
func New(l Limits, started time.Time) *Budget {
	return &Budget{limits: l, started: started, services: map[string]*history{}}
}

// history holds the times of a service's requests and retries in the last window.
type history struct {
	requests []time.Time
	retries  []time.Time
}

func (h *history) trim(since time.Time) {
	h.requests = trimBefore(h.requests, since)
	h.retries = trimBefore(h.retries, since)
}

func trimBefore(times []time.Time, since time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(since) {
		n++
	}
	return times[n:]
}

func (b *Budget) history(now time.Time, service string) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	h.trim(now.Add(-b.limits.Window))
	return h
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	h := b.history(now, service)
	h.requests = append(h.requests, now)
}

// Take takes one retry from the budget and reports whether one was left. gateways is the
// number of gateways that share the budget, including this one.
func (b *Budget) Take(now time.Time, service string, gateways int) bool {
	h := b.history(now, service)
	if float64(len(h.retries)+1) > b.maxRetries(now, h, gateways) {
		return false
	}
	h.retries = append(h.retries, now)
	return true
}

// Remaining returns the number of retries left for a service.
func (b *Budget) Remaining(now time.Time, service string, gateways int) float64 {
	h := b.history(now, service)
	return b.maxRetries(now, h, gateways) - float64(len(h.retries))
}

// Usage is what a gateway has counted of a service in the last window.
type Usage struct {
	Requests int
	Retries  int
	Allowed  float64 // retries that may be taken, including those taken
}

// Usage returns what has been counted of a service.
func (b *Budget) Usage(now time.Time, service string, gateways int) Usage {
	h := b.history(now, service)
	return Usage{Requests: len(h.requests), Retries: len(h.retries), Allowed: b.maxRetries(now, h, gateways)}
}

func (b *Budget) maxRetries(now time.Time, h *history, gateways int) float64 {
	earned := ratioFraction * b.limits.Ratio * float64(len(h.requests))
	fixed := fixedFraction * b.limits.FixedRetries / float64(max(gateways, 1))
	if age := now.Sub(b.started); age < b.limits.Window {
		fixed *= float64(age) / float64(b.limits.Window)
	}
	return earned + fixed
}
