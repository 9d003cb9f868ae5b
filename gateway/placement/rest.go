package placement

import (
	"time"
)

// This file keeps work from servers that have turned it away. One that asked for rest gets
// none until its end: a server that turns everything away at once looks idle, and would come
// first (platform: TestServersAskForRest).

const (
	// MaxBackoff is the longest rest that a server is given, whatever it asked for. Who wants
	// more leaves, or is taken out by operators; a figure that was meant otherwise costs one
	// try an hour.
	MaxBackoff = time.Hour
	// So many requests are sent when a rest has ended, until the server is known to take work
	// again: the fleet's gateways do so at the same time.
	firstAfterRest = 2
	// Who has turned none of them away in this time takes work: refusals come within
	// milliseconds. As many again are sent then, and twice as many in each such time, until
	// as many as the server has places have been sent.
	restStep = 100 * time.Millisecond
)

// pause is a server's rest, and the time after it in which few requests are sent. Its zero
// value is none.
type pause struct {
	until   time.Time // no work before then: the server has asked for rest
	allowed int       // requests that may be sent in this step; 0: no rest, or all is over
	sent    int       // in this step
	step    time.Time // when its first request was sent
}

// BackoffUntil keeps work from a server that has asked for rest, until a time or the longest rest is
// over. Of several rests the latest end holds.
func (b *Balancer) BackoffUntil(now time.Time, server string, until time.Time) {
	s := b.servers[server]
	if s == nil || !now.Before(until) {
		return
	}
	if most := now.Add(MaxBackoff); until.After(most) {
		until = most
	}
	s.pause = pause{until: latest(s.pause.until, until), allowed: firstAfterRest}
}

// opens returns when the server takes another request; a time that has passed: now.
func (p *pause) opens(now time.Time, places int) time.Time {
	if now.Before(p.until) {
		return p.until
	}
	if !p.step.IsZero() && now.Sub(p.step) >= restStep {
		p.proceed(places)
	}
	if p.allowed == 0 || p.sent < p.allowed {
		return time.Time{}
	}
	return p.step.Add(restStep)
}

// proceed begins the next step: none was turned away in this one.
func (p *pause) proceed(places int) {
	*p = pause{until: p.until, allowed: 2 * p.allowed}
	if p.allowed >= places {
		*p = pause{}
	}
}

// send notes a request to the server.
func (p *pause) send(now time.Time) {
	if p.allowed == 0 {
		return
	}
	if p.sent++; p.sent == 1 {
		p.step = now
	}
}

// refuse takes over that the server has turned a request away without asking for more rest.
func (p *pause) refuse(now time.Time) {
	if p.allowed != 0 && !now.Before(p.until) {
		*p = pause{until: now.Add(restStep), allowed: firstAfterRest}
	}
}

// places is how many requests the server works on at once.
func (s *server) places() int {
	if s.engine != nil {
		return max(s.engine.Slots, 1)
	}
	return max(s.Capacity, 1)
}

// RecordAccepting tells that a server has begun to answer a request of this gateway: it takes work.
func (b *Balancer) RecordAccepting(now time.Time, server string) {
	s := b.servers[server]
	if s == nil || s.pause.allowed == 0 || now.Before(s.pause.until) || s.pause.sent == 0 {
		return
	}
	s.pause.proceed(s.places())
}

// waitsFor tells whether a request waits so long for servers that rest: that is well within
// what its caller has, so that a server can still answer it after that. Who would get its
// answer later is told at once when to come back.
func (b *Balancer) waitsFor(a *Request, wait time.Duration) bool {
	if a.Objective > 0 {
		return wait <= b.limit(a)/2
	}
	return wait <= a.Remaining/4
}
