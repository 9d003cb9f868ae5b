package router

import (
	"time"

	"opalbridge.dev/fair"
)

// This file estimates how long an account's requests wait.

func (d *dispatcher) drainRate(a fair.Account) *drainRate {
	r := d.drainRates[a]
	if r == nil {
		r = &drainRate{}
		d.drainRates[a] = r
	}
	return r
}

// drainRate measures how fast an account's requests leave the queue, as a moving
// average of the time between departures.
type drainRate struct {
	lastDeparture   time.Time
	averageInterval time.Duration
}

// maxDepartureInterval is the longest time between two departures that enters the
// average; after a longer one the account was idle, not slow.
const maxDepartureInterval = 30 * time.Second

func (r *drainRate) recordDeparture(at time.Time) {
	since := at.Sub(r.lastDeparture)
	r.lastDeparture = at
	if since > maxDepartureInterval {
		return
	}
	const divisor = 8
	r.averageInterval += (since - r.averageInterval) / divisor
}

// estimateWait returns the expected time until n requests have left the queue.
func (r *drainRate) estimateWait(n int) time.Duration { return r.averageInterval * time.Duration(n) }
