package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"
)

// This file keeps a gateway that has too little processor for its callers from being
// late with everything: the balancer deals callers out unevenly, and a small host may get
// most of a hall's. What is turned away at once is served by another gateway; what waits
// for the processor is lost, and so is the news that a server leaves.

const (
	// The process's own lateness is measured this often: how much later than asked for a
	// timer's goroutine runs.
	latenessEvery = 25 * time.Millisecond
	// Above this lateness less is admitted. It is a seventh of the shortest objective of
	// streams (300 ms), and more than one collection of garbage takes.
	latenessHigh = 40 * time.Millisecond
	// Above this one nothing is admitted until it has fallen: what the process believes of
	// servers is old then, and it must not send to one that has said that it leaves.
	latenessFar = 250 * time.Millisecond
	// Below this one more is admitted.
	latenessLow = 15 * time.Millisecond
	// Each measurement lowers the share that is admitted by this factor, or raises it by
	// this step: a third in 0.2 s, and back in a second.
	admitLess = 0.85
	admitMore = 0.02
	// Otherwise so much is always admitted, so that a gateway without others still serves.
	admitLeast = 0.05
	// When to come back: at once, since that is to another gateway.
	overloadRetryAfter = 20 * time.Millisecond
)

// throttle decides what share of the requests is admitted.
type throttle struct{ share float64 }

// measure takes over how late the process is.
func (t *throttle) measure(late time.Duration) {
	switch {
	case late > latenessFar:
		t.share = 0
	case late > latenessHigh:
		t.share = max(t.share*admitLess, admitLeast)
	case late < latenessLow:
		t.share = min(max(t.share, admitLeast)+admitMore, 1)
	default:
		t.share = max(t.share, admitLeast)
	}
}

// overload follows the process's lateness. Its zero value admits everything.
type overload struct {
	turnedAway atomic.Uint64 // share of requests that are, in parts of partsOfShare
	lateness   atomic.Int64  // latest measurement
}

const partsOfShare = 1 << 20

// run measures until ctx ends.
func (o *overload) run(ctx context.Context, g *Gateway) {
	t := throttle{share: 1}
	timer := time.NewTimer(latenessEvery)
	defer timer.Stop()
	due := time.Now().Add(latenessEvery)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		// The timer's goroutine is run before others; its second turn comes after all
		// that are ready.
		runtime.Gosched()
		now := time.Now()
		before := t.share
		t.measure(now.Sub(due))
		o.lateness.Store(int64(now.Sub(due)))
		o.turnedAway.Store(uint64((1 - t.share) * partsOfShare))
		if before == 1 && t.share < 1 || before < 1 && t.share == 1 {
			g.log.Warn().Str("event", "gateway.overload").Bool("overloaded", t.share < 1).Dur("late", now.Sub(due)).
				Int64("requests", g.active.Load()).Msg("short of processor")
		}
		due = now.Add(latenessEvery)
		timer.Reset(latenessEvery)
	}
}

// admits draws whether a request is admitted.
func (o *overload) admits() bool {
	away := o.turnedAway.Load()
	return away == 0 || rand.Uint64N(partsOfShare) >= away
}

// share returns the share of requests that is admitted.
func (o *overload) share() float64 { return 1 - float64(o.turnedAway.Load())/partsOfShare }

// turnAway answers a request that this gateway has no processor for.
func (g *Gateway) turnAway(w http.ResponseWriter, r *http.Request) {
	g.deny(w, r, denial{http.StatusServiceUnavailable, "gateway short of processor", overloadRetryAfter})
}
