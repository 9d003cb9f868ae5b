// Package budget bounds how often the fleet sends requests again. A service may get,
// in any window, a share of its requests and a fixed number more as repeats, over all
// gateways together. Each gateway spends only what its own requests earn and an even
// part of the fixed number, so nothing has to be agreed.
//
// # Usage
//
//	b := budget.New(budget.Limits{Ratio: 0.2, Extra: 58, Window: 10 * time.Second})
//	b.Request(now, service)
//	if b.Take(now, service, gateways) { … send again … }
//
// A gateway that has just started spends nothing of the fixed number for one window:
// the process before it may have spent it all. The package takes no lock and reads no
// clock; a Budget belongs to one goroutine.
package budget

import "time"

// Limits are the bounds over the fleet.
type Limits struct {
	Ratio        float64       // repeats for each request of the window
	FixedRetries float64       // repeats in a window besides
	Window       time.Duration // any span of this length
}

// Reserves keep the sum over the fleet below the bound although gateways count
// windows that differ a little and may not know of each other yet.
const (
	ratioUse = 0.8
	extraUse = 0.5
)

// Budget counts requests and repeats by service.
type Budget struct {
	limits   Limits
	started  time.Time
	services map[string]*history
}

// New returns a budget of a process that started at that time.
func New(l Limits, started time.Time) *Budget {
	return &Budget{limits: l, started: started, services: map[string]*history{}}
}

// history holds the times of a service's requests and repeats of the last window.
type history struct {
	requests []time.Time
	repeats  []time.Time
}

func (h *history) trim(since time.Time) {
	h.requests = after(h.requests, since)
	h.repeats = after(h.repeats, since)
}

func after(times []time.Time, since time.Time) []time.Time {
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

// Take takes one repeat from the budget, or tells that none is left. gateways is how
// many share it, this one included.
func (b *Budget) Take(now time.Time, service string, gateways int) bool {
	h := b.history(now, service)
	if float64(len(h.repeats)+1) > b.allowed(now, h, gateways) {
		return false
	}
	h.repeats = append(h.repeats, now)
	return true
}

// Remaining returns how many repeats are left for a service.
func (b *Budget) Remaining(now time.Time, service string, gateways int) float64 {
	h := b.history(now, service)
	return b.allowed(now, h, gateways) - float64(len(h.repeats))
}

func (b *Budget) allowed(now time.Time, h *history, gateways int) float64 {
	earned := ratioUse * b.limits.Ratio * float64(len(h.requests))
	part := extraUse * b.limits.FixedRetries / float64(max(gateways, 1))
	if age := now.Sub(b.started); age < b.limits.Window {
		part *= float64(age) / float64(b.limits.Window)
	}
	return earned + part
}
