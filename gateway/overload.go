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

// This file sheds load from a gateway that lacks processor time for its callers. The load
// balancer spreads callers unevenly, and a small host may get most of a hall's. An offloaded
// connection is served by another gateway, and a caller that is rejected at once can retry; a
// request that waits for the processor is lost, and so is the notice that a server is leaving.

const (
	// Sampling interval of the scheduling delay: how much later than requested a timer's
	// goroutine runs.
	delaySampleInterval = 25 * time.Millisecond
	// Above this delay less is admitted. It is a tenth of the shortest objective of streams
	// (300 ms), and longer than a garbage collection takes. A request waits for the processor
	// some five times on its way.
	highDelay = 30 * time.Millisecond
	// Above this delay nothing is admitted until it has dropped: what the process knows of
	// servers is stale then, and it must not send to one that has announced that it is
	// leaving.
	severeDelay = 250 * time.Millisecond
	// Above this delay fewer connections are offloaded as well. A rejected caller retries and
	// costs as much again, so this is the last resort.
	offloadMaxDelay = 40 * time.Millisecond
	// Below this delay more is admitted.
	lowDelay = 15 * time.Millisecond
	// Each sample multiplies the admitted share by the factor or raises it by the step: it
	// drops to a third in 0.2 s and recovers in a second.
	admitDecreaseFactor = 0.85
	admitIncreaseStep   = 0.02
	// Minimum admitted share, except under severe delay, of a gateway that cannot offload
	// connections, so that it still serves. A gateway that can offload may admit none.
	minAdmittedShare = 0.05
	// Retry-After of an overloaded gateway. The load balancer may bring the caller back to
	// this gateway, which needs a moment to recover; most objectives leave time for it.
	overloadRetryAfter = 150 * time.Millisecond
)

// throttle computes the share of requests that is admitted and the share of the others that is
// offloaded to other gateways; the rest is rejected. Offloading costs a third of serving, and
// rejecting a third of that, so what cannot be served is offloaded first.
type throttle struct {
	admitted    float64
	offloaded   float64
	minAdmitted float64 // lower bound of admitted: 0 if there are gateways to offload to
}

// adjust updates the shares from a sample of the scheduling delay.
func (t *throttle) adjust(delay time.Duration) {
	switch {
	case delay > severeDelay:
		t.admitted = 0
		t.offloaded = max(t.offloaded*admitDecreaseFactor, minAdmittedShare)
	case delay > offloadMaxDelay:
		t.admitted = max(t.admitted*admitDecreaseFactor, t.minAdmitted)
		t.offloaded = max(t.offloaded*admitDecreaseFactor, minAdmittedShare)
	case delay > highDelay:
		t.admitted = max(t.admitted*admitDecreaseFactor, t.minAdmitted)
	case delay < lowDelay && t.offloaded < 1:
		t.admitted = max(t.admitted, t.minAdmitted)
		t.offloaded = min(t.offloaded+admitIncreaseStep, 1)
	case delay < lowDelay:
		t.admitted = min(max(t.admitted, t.minAdmitted)+admitIncreaseStep, 1)
	default:
		t.admitted = max(t.admitted, t.minAdmitted)
	}
}

// overload tracks the process's scheduling delay. Its zero value admits everything.
type overload struct {
	notAdmitted  atomic.Uint64 // share of requests that are not admitted, in units of 1/shareScale
	notOffloaded atomic.Uint64 // share of these that are not offloaded either, in units of 1/shareScale
	delay        atomic.Int64  // latest sample
	backlogged   atomic.Bool   // since the latest sample a connection came that could be neither served nor offloaded
	deferred     atomic.Int64  // connections left in the kernel's accept queue since the last log line
	noTargets    atomic.Bool   // there is no gateway to offload connections to
	delays       delayHistory
}

// delayHistory holds the latest samples of the scheduling delay.
type delayHistory struct {
	mutex   sync.Mutex
	due     time.Time // time of the next sample
	samples [historySize]delaySample
	next    int
}

// At 25 ms per sample the history covers 3.2 s, which is longer than requests wait for their
// first event.
const historySize = 128

type delaySample struct {
	at    time.Time
	delay time.Duration
}

// add adds a sample; due is when the next one will be taken.
func (h *delayHistory) add(now time.Time, delay time.Duration, due time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.samples[h.next%historySize] = delaySample{now, delay}
	h.next++
	h.due = due
}

// overdue returns by how much the next sample is overdue.
func (h *delayHistory) overdue(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.due.IsZero() {
		return 0
	}
	return max(now.Sub(h.due), 0)
}

// max returns the maximum delay since a time, including the sample that is overdue now.
func (h *delayHistory) max(since, now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	longest := time.Duration(0)
	if !h.due.IsZero() {
		longest = max(now.Sub(h.due), 0)
	}
	for n := range min(h.next, historySize) {
		m := h.samples[(h.next-1-n)%historySize]
		if m.at.Before(since) {
			break
		}
		longest = max(longest, m.delay)
	}
	return longest
}

// maxDelay returns the maximum delay since a time.
func (o *overload) maxDelay(since, now time.Time) time.Duration { return o.delays.max(since, now) }

const shareScale = 1 << 20

// run takes samples until ctx ends.
func (o *overload) run(ctx context.Context, g *Gateway) {
	t := throttle{admitted: 1, offloaded: 1}
	timer := time.NewTimer(delaySampleInterval)
	defer timer.Stop()
	due := time.Now().Add(delaySampleInterval)
	o.start(due)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		// The timer's goroutine runs before others; after yielding it runs after all that are
		// ready.
		runtime.Gosched()
		now := time.Now()
		t.minAdmitted = minAdmittedShare
		if g.canOffload() {
			t.minAdmitted = 0
		}
		before := t.admitted
		o.record(&t, due, now)
		g.withdrawal.sample(now, t.admitted)
		if g.spare.sample(now, o.overloaded(now)) {
			g.peers.ReportSoon()
		}
		if before == 1 && t.admitted < 1 || before < 1 && t.admitted == 1 {
			g.log.Warn().Str("event", "gateway.overload").Bool("overloaded", t.admitted < 1).Dur("late", now.Sub(due)).
				Int64("requests", g.active.Load()).Msg("admission control")
		}
		due = now.Add(delaySampleInterval)
		timer.Reset(delaySampleInterval)
	}
}

// start sets when the first sample is due. Without it, a process that starts under load admits
// all callers until then, and takes the first sample only after it has served them.
func (o *overload) start(due time.Time) { o.delays.add(due.Add(-delaySampleInterval), 0, due) }

// record applies a sample that was due at a time.
func (o *overload) record(t *throttle, due, now time.Time) {
	delay := now.Sub(due)
	share := t.admitted
	t.adjust(delay)
	if o.backlogged.Swap(false) {
		// Serving takes four times the processor time of offloading, so it is reduced while
		// connections wait that could be offloaded.
		t.admitted = min(t.admitted, max(share*admitDecreaseFactor, t.minAdmitted))
	}
	o.delay.Store(int64(delay))
	o.delays.add(now, delay, now.Add(delaySampleInterval))
	o.notAdmitted.Store(uint64((1 - t.admitted) * shareScale))
	o.notOffloaded.Store(uint64((1 - t.offloaded) * shareScale))
	o.noTargets.Store(t.minAdmitted > 0)
}

// admits draws at random whether a request is admitted.
func (o *overload) admits() bool {
	threshold := o.notAdmitted.Load()
	return threshold == 0 || rand.Uint64N(shareScale) >= threshold
}

// sampleOverdue reports whether the next sample is overdue by more than a limit. It detects
// overload before the sample is taken: between two samples a small host accepted 200 requests
// of a burst, which is half a second of its processor time.
func (o *overload) sampleOverdue(now time.Time, limit time.Duration) bool {
	return o.delays.overdue(now) > limit
}

// offloads draws at random whether a connection that is not admitted is offloaded.
func (o *overload) offloads() bool { return rand.Uint64N(shareScale) >= o.notOffloaded.Load() }

// admittedShare returns the share of requests that is admitted.
func (o *overload) admittedShare() float64 { return 1 - float64(o.notAdmitted.Load())/shareScale }

// notAdmittedPercent returns the percentage of requests that is not admitted, rounded up. While the process
// lacks processor time, it is at least 1: 0 would tell the others that it runs an earlier release.
func (o *overload) notAdmittedPercent(now time.Time) int {
	percent := int((o.notAdmitted.Load()*100 + shareScale - 1) / shareScale)
	if percent == 0 && o.overloaded(now) {
		return 1
	}
	return percent
}

// overloaded reports whether the process lacks processor time now: what it learns from others
// and what it sends to them is late then.
func (o *overload) overloaded(now time.Time) bool {
	return o.notAdmitted.Load() > 0 || time.Duration(o.delay.Load()) > highDelay || o.sampleOverdue(now, highDelay)
}

// rejectOverloaded responds to a request for which this gateway lacks processor time.
func (g *Gateway) rejectOverloaded(w http.ResponseWriter, r *http.Request) {
	g.deny(w, r, denial{status: http.StatusServiceUnavailable, reason: "gateway short of processor", retryAfter: overloadRetryAfter})
}
