package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

// This file keeps a gateway that has too little processor for its callers from being
// late with everything: the balancer deals callers out unevenly, and a small host may get
// most of a hall's. What is passed on is served by another gateway, and who is turned away at
// once can come back; what waits for the processor is lost, and so is the news that a server
// leaves.

const (
	// The process's own lateness is measured this often: how much later than asked for a
	// timer's goroutine runs.
	latenessEvery = 25 * time.Millisecond
	// Above this lateness less is admitted. It is a tenth of the shortest objective of
	// streams (300 ms), and more than one collection of garbage takes. A request waits for
	// the processor some five times on its way.
	latenessHigh = 30 * time.Millisecond
	// Above this one nothing is admitted until it has fallen: what the process believes of
	// servers is old then, and it must not send to one that has said that it leaves.
	latenessFar = 250 * time.Millisecond
	// Above this one fewer connections are passed on to others as well. Who is turned away
	// comes back and costs as much once more, so it is the last resort.
	latenessPass = 40 * time.Millisecond
	// Below this one more is admitted.
	latenessLow = 15 * time.Millisecond
	// Each measurement lowers the share that is admitted by this factor, or raises it by
	// this step: a third in 0.2 s, and back in a second.
	admitLess = 0.85
	admitMore = 0.02
	// Otherwise so much is always admitted by a gateway that can't pass connections on, so
	// that it still serves. One that can serves none by itself.
	admitLeast = 0.05
	// When to come back: a balancer may bring the caller back to this gateway, which needs
	// a moment; most objectives leave time for it.
	overloadRetryAfter = 150 * time.Millisecond
)

// throttle decides what share of the requests is admitted, and what share of the others
// is passed on to other gateways; the rest is turned away. Passing on costs a third of
// serving, and turning away a third of that, so what can't be served is passed on first.
type throttle struct {
	share  float64
	passed float64
	least  float64 // of share: 0 if there are gateways to pass on to
}

// measure takes over how late the process is.
func (t *throttle) measure(late time.Duration) {
	switch {
	case late > latenessFar:
		t.share = 0
		t.passed = max(t.passed*admitLess, admitLeast)
	case late > latenessPass:
		t.share = max(t.share*admitLess, t.least)
		t.passed = max(t.passed*admitLess, admitLeast)
	case late > latenessHigh:
		t.share = max(t.share*admitLess, t.least)
	case late < latenessLow && t.passed < 1:
		t.share = max(t.share, t.least)
		t.passed = min(t.passed+admitMore, 1)
	case late < latenessLow:
		t.share = min(max(t.share, t.least)+admitMore, 1)
	default:
		t.share = max(t.share, t.least)
	}
}

// overload follows the process's lateness. Its zero value admits everything.
type overload struct {
	turnedAway atomic.Uint64 // share of requests that are not admitted, in parts of partsOfShare
	notPassed  atomic.Uint64 // share of these that are not passed on either
	lateness   atomic.Int64  // latest measurement
	pressed    atomic.Bool   // since the latest measurement connections came that could be neither served nor passed on
	left       atomic.Int64  // times that connections were left in the kernel's queue, since the last line
	alone      atomic.Bool   // there is no gateway to pass connections on to
	history    history
}

// history remembers how late the process was.
type history struct {
	mutex sync.Mutex
	due   time.Time // of the measurement that is to come
	past  [historySize]measurement
	next  int
}

// A history of 25 ms a measurement goes back by 3.2 s, which is longer than requests wait
// for their first event.
const historySize = 128

type measurement struct {
	at   time.Time
	late time.Duration
}

// note adds a measurement; due is when the next one will be made.
func (h *history) note(now time.Time, late time.Duration, due time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.past[h.next%historySize] = measurement{now, late}
	h.next++
	h.due = due
}

// overdue returns by how much the next measurement is overdue.
func (h *history) overdue(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.due.IsZero() {
		return 0
	}
	return max(now.Sub(h.due), 0)
}

// worst returns how late the process was at worst since a time, the measurement that is
// overdue now included.
func (h *history) worst(since, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	worst := time.Duration(0)
	if !h.due.IsZero() {
		worst = max(now.Sub(h.due), 0)
	}
	for n := range min(h.next, historySize) {
		m := h.past[(h.next-1-n)%historySize]
		if m.at.Before(since) {
			break
		}
		worst = max(worst, m.late)
	}
	return worst
}

// worst returns how late the process was at worst since a time.
func (o *overload) worst(since, now time.Time) time.Duration { return o.history.worst(since, now) }

const partsOfShare = 1 << 20

// run measures until ctx ends.
func (o *overload) run(ctx context.Context, g *Gateway) {
	t := throttle{share: 1, passed: 1}
	timer := time.NewTimer(latenessEvery)
	defer timer.Stop()
	due := time.Now().Add(latenessEvery)
	o.begin(due)
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
		t.least = admitLeast
		if g.mayPass() {
			t.least = 0
		}
		before := t.share
		o.measured(&t, due, now)
		if before == 1 && t.share < 1 || before < 1 && t.share == 1 {
			g.log.Warn().Str("event", "gateway.overload").Bool("overloaded", t.share < 1).Dur("late", now.Sub(due)).
				Int64("requests", g.active.Load()).Msg("short of processor")
		}
		due = now.Add(latenessEvery)
		timer.Reset(latenessEvery)
	}
}

// begin says when the first measurement is due. Without it a process that starts while
// callers press takes them all in until then, and measures after it has served them.
func (o *overload) begin(due time.Time) { o.history.note(due.Add(-latenessEvery), 0, due) }

// measured takes over a measurement that was due a while ago.
func (o *overload) measured(t *throttle, due, now time.Time) {
	late := now.Sub(due)
	share := t.share
	t.measure(late)
	if o.pressed.Swap(false) {
		// Own service takes four times the processor that passing on takes, so it gives way
		// while connections wait that could be passed on.
		t.share = min(t.share, max(share*admitLess, t.least))
	}
	o.lateness.Store(int64(late))
	o.history.note(now, late, now.Add(latenessEvery))
	o.turnedAway.Store(uint64((1 - t.share) * partsOfShare))
	o.notPassed.Store(uint64((1 - t.passed) * partsOfShare))
	o.alone.Store(t.least > 0)
}

// admits draws whether a request is admitted.
func (o *overload) admits() bool {
	away := o.turnedAway.Load()
	return away == 0 || rand.Uint64N(partsOfShare) >= away
}

// lags tells whether the next measurement is overdue by more than so much. It shows at
// once what a measurement shows later: between two of them a small host took in 200
// requests of a burst, which is half a second of its processor.
func (o *overload) lags(now time.Time, than time.Duration) bool {
	return o.history.overdue(now) > than
}

// passes draws whether a connection that is not admitted is passed on.
func (o *overload) passes() bool { return rand.Uint64N(partsOfShare) >= o.notPassed.Load() }

// share returns the share of requests that is admitted.
func (o *overload) share() float64 { return 1 - float64(o.turnedAway.Load())/partsOfShare }

// short tells whether the process has too little processor now: what it sees of others
// is late then, and what it passes on is.
func (o *overload) short(now time.Time) bool {
	return o.turnedAway.Load() > 0 || time.Duration(o.lateness.Load()) > latenessHigh || o.lags(now, latenessHigh)
}

// turnAway answers a request that this gateway has no processor for.
func (g *Gateway) turnAway(w http.ResponseWriter, r *http.Request) {
	g.deny(w, r, denial{http.StatusServiceUnavailable, "gateway short of processor", overloadRetryAfter})
}
