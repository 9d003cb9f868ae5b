package placement

import (
	"time"

	"opalbridge.dev/gateway/decode"
)

// This file regards the pauses that a placement causes in the streams that run at a server.

const (
	// Prompt tokens that an engine prefills between two decoding steps; usual engines take 2,048 to
	// 8,192.
	prefillChunkTokens = 4096
	// Time of a decoding step of usual engines.
	decodeStep = 6 * time.Millisecond
	// Cost of each stream that is expected to be late because of a pause: a fifth of what a failed
	// request costs, since the caller gets the whole answer.
	lateStreamCost = 100 * time.Millisecond
)

// decoding is the part of a server's model that concerns its running streams.
type decoding struct {
	longestPause time.Duration // longest pause of its streams in time; 0: pauses are ignored
	engine       decode.Engine
	busySince    time.Time // when the server's prefill backlog was last empty
	heldTokens   int       // cache memory of this gateway's requests
}

// regarded reports whether pauses of the server's streams are regarded.
func (d *decoding) regarded() bool { return d.longestPause > 0 }

// SetPauseLimits sets the longest pause of streams in time, by service. Services without one, services
// whose engines do not report how many tokens an event has, and those where prefill delays no event for
// that long at an engine of nominal speed, are placed without regard to pauses and memory.
func (b *Balancer) SetPauseLimits(byService map[string]time.Duration) {
	b.pauseLimits = byService
	for _, s := range b.servers {
		b.applyPauseLimit(s)
	}
}

// applyPauseLimit sets the longest pause of a server's streams.
func (b *Balancer) applyPauseLimit(s *server) {
	s.decoding.longestPause = 0
	if s.engine == nil {
		return
	}
	e := decode.Engine{EventTokens: s.engine.MaxEventTokens, Step: decodeStep, Chunk: b.policy.prefillTime(prefillChunkTokens, prefillChunkTokens)}
	if limit := b.pauseLimits[s.Service]; limit > 0 && e.CanDelay(limit) {
		s.decoding.longestPause, s.decoding.engine = limit, e
	}
}

// RegardsPauses reports whether the placement of requests to a service regards pauses of its streams.
func (b *Balancer) RegardsPauses(service string) bool {
	group := b.services[service]
	return len(group) > 0 && group[0].decoding.regarded()
}

// beginPeriod records that a server is about to get work, before busyUntil is moved.
func (s *server) beginPeriod(now time.Time) {
	if s.busyUntil.Before(now) {
		s.decoding.busySince = now
	}
}

// pauseAfter predicts the longest pause of the streams at a server if a prompt is sent there that
// takes the given time to prefill, and the share of these streams that is late then.
func (s *server) pauseAfter(now time.Time, prefill time.Duration) (pause time.Duration, lateShare float64) {
	d := &s.decoding
	if !d.regarded() {
		return 0, 0
	}
	if s.busyUntil.After(now) {
		prefill += s.busyUntil.Sub(d.busySince)
	}
	pause = d.engine.Pause(prefill, s.slowdown(now))
	return pause, decode.LateShare(pause, d.longestPause)
}

// delaysStreams reports whether prefill without a break would make the server's streams late at its
// current speed.
func (s *server) delaysStreams(now time.Time) bool {
	d := &s.decoding
	return d.regarded() && d.engine.Pause(time.Hour, s.slowdown(now)) > d.longestPause
}

// pauseCost returns what the streams at a server lose if that share of them is late.
func (s *server) pauseCost(lateShare float64) time.Duration {
	return scale(lateStreamCost, lateShare*float64(s.localRunning+s.remoteRunning))
}
