package router

import (
	"time"

	"opalbridge.dev/fair"
)

// This file foresees how soon an account's waiting requests are served.

func (d *dispatcher) rate(a fair.Account) *drainRate {
	r := d.drain[a]
	if r == nil {
		r = &drainRate{}
		d.drain[a] = r
	}
	return r
}

// drainRate measures how fast an account's requests leave the queue.
type drainRate struct {
	last     time.Time
	interval time.Duration
}

// longestInterval is the longest time between two departures that counts; after
// a longer one the account was idle, not slow.
const longestInterval = 30 * time.Second

func (r *drainRate) left(at time.Time) {
	since := at.Sub(r.last)
	r.last = at
	if since > longestInterval {
		return
	}
	const part = 8
	r.interval += (since - r.interval) / part
}

// expect returns how long so many requests take to leave.
func (r *drainRate) expect(n int) time.Duration { return r.interval * time.Duration(n) }
