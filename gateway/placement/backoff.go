package placement

import (
	"time"
)

// This file implements the backoff that servers ask for. Such a server gets no requests until
// the backoff ends, followed by a slow start: a server that rejects everything at once looks
// idle and would otherwise be preferred (platform: TestRetryAfterIsHonored).

const (
	// MaxBackoff bounds a server's backoff, whatever it asked for. A server that needs longer
	// should leave or be taken out by an operator; a value given in the wrong unit costs one
	// attempt per hour.
	MaxBackoff = time.Hour
	// Number of requests sent after a backoff until the server is known to accept work; each
	// gateway of the fleet sends as many at the same time.
	slowStartInitial = 2
	// A server that rejects no request within this interval accepts work, since rejections come
	// within milliseconds. The number of requests doubles with each interval until it reaches the
	// server's slots.
	slowStartInterval = 100 * time.Millisecond
)

// backoff is a server's backoff and the slow start after it. The zero value is neither.
type backoff struct {
	until     time.Time // end of the backoff
	allowed   int       // requests that may be sent in this slow start step; 0: neither backing off nor in slow start
	sent      int       // in this step
	stepStart time.Time // when the first request of the step was sent
}

// BackoffUntil keeps work from a server that has asked for a backoff, until the given time but
// for no longer than MaxBackoff. Of several backoffs the latest end applies.
func (b *Balancer) BackoffUntil(now time.Time, server string, until time.Time) {
	s := b.servers[server]
	if s == nil || !now.Before(until) {
		return
	}
	if end := now.Add(MaxBackoff); until.After(end) {
		until = end
	}
	s.backoff = backoff{until: latest(s.backoff.until, until), allowed: slowStartInitial}
}

// nextSend returns when the server may get another request; a time in the past means now.
func (b *backoff) nextSend(now time.Time, slots int) time.Time {
	if now.Before(b.until) {
		return b.until
	}
	if !b.stepStart.IsZero() && now.Sub(b.stepStart) >= slowStartInterval {
		b.advance(slots)
	}
	if b.allowed == 0 || b.sent < b.allowed {
		return time.Time{}
	}
	return b.stepStart.Add(slowStartInterval)
}

// advance begins the next slow start step after one without rejections.
func (b *backoff) advance(slots int) {
	*b = backoff{until: b.until, allowed: 2 * b.allowed}
	if b.allowed >= slots {
		*b = backoff{}
	}
}

// recordSent counts a request sent to the server.
func (b *backoff) recordSent(now time.Time) {
	if b.allowed == 0 {
		return
	}
	if b.sent++; b.sent == 1 {
		b.stepStart = now
	}
}

// recordRejected restarts the slow start after a rejection that asks for no new backoff.
func (b *backoff) recordRejected(now time.Time) {
	if b.allowed != 0 && !now.Before(b.until) {
		*b = backoff{until: now.Add(slowStartInterval), allowed: slowStartInitial}
	}
}

// slots returns how many requests the server processes at once: what the configuration says of its
// engine, or else what its entry says.
func (s *server) slots() int {
	if s.engine != nil && s.engine.Slots > 0 {
		return s.engine.Slots
	}
	return max(s.Capacity, 1)
}

// knowsSlots reports whether the configuration or the server's entry says how many slots it has.
func (s *server) knowsSlots() bool { return s.engine != nil && s.engine.Slots > 0 || s.Capacity > 0 }

// RecordAccepting records that a server has begun to answer a request of this gateway, which
// shows that it accepts work.
func (b *Balancer) RecordAccepting(now time.Time, server string) {
	s := b.servers[server]
	if s == nil || s.backoff.allowed == 0 || now.Before(s.backoff.until) || s.backoff.sent == 0 {
		return
	}
	s.backoff.advance(s.slots())
}

// canWait reports whether a request can wait this long for servers to end their backoff and
// still be answered in time. Otherwise its caller is told at once when to retry.
func (b *Balancer) canWait(req *Request, wait time.Duration) bool {
	if req.Objective > 0 {
		return wait <= b.latencyLimit(req)/2
	}
	return wait <= req.Remaining/4
}
