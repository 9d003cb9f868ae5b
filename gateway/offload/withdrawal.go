package offload

import "time"

// Conditions of a withdrawal.
const (
	// A gateway is overloaded if it admits less than this share of connections over the window. Above
	// it, other gateways can take over the rest: handing a connection off costs a third of serving it.
	minAdmitted = 0.3
	// Longer than a burst of a few hundred connections or a pause of the process lasts.
	admittedWindow = time.Second
	// A gateway that is to take the callers has at least this many times the CPU. A host of the same
	// size would soon be overloaded by them.
	minCPURatio = 2
	// The load balancer gives each gateway that is not larger as many of the moved callers as a larger one,
	// and overloaded ones lose more callers than the withdrawn one gains. So those that are not larger must
	// admit this share on average. In the simulated hall they admit 80 to 98 % at the rate that it can
	// carry, and 50 to 70 % at twice this rate.
	minSimilarAdmitted = 0.75
	similarWindow      = 2 * time.Second
	// A withdrawn gateway becomes ready again if they, or the larger ones, admit less than this share over the
	// settle time: nobody can take its callers then. In the simulated hall, those that are not larger admit 15 to
	// 45 % with its callers at the rate that the hall can carry, and 2 to 12 % at twice this rate.
	minAdmittedAfter = 0.05
	// Gateways of earlier releases tell only whether they are short of CPU time. They may be so for this
	// part of the window.
	maxSimilarShort = 0.7
	shortWindow     = 3 * time.Second
	// Larger gateways of earlier releases may be short of CPU time for less than this part of the settle time.
	minLargerShort = 0.5
	// Minimum time between records of the hall's state that reports cause.
	recordInterval = 100 * time.Millisecond
	// The load balancer uses all gateways of a hall if fewer than half are ready. The rest is a margin
	// for one that dies.
	minReadyNumerator, minReadyDenominator = 3, 5
	// Part of the fleet that may be withdrawn; one gateway always may.
	maxWithdrawnDivisor = 8
	// The load balancer needs two failed checks, one second apart, and then moves callers together.
	settleTime = 3 * time.Second
)

// Times until a withdrawn gateway becomes ready again.
const (
	// The load balancer brings the same callers back, so a return costs a second or two of overload.
	firstDuration = time.Minute
	// Callers change from one part of a day to the next.
	maxDuration = 10 * time.Minute
)

// Reason says why a gateway withdraws or becomes ready again.
type Reason string

// Reasons.
const (
	Overloaded   Reason = "too few connections admitted"
	TimeIsOver   Reason = "time is over"
	HallShort    Reason = "the hall is short of CPU time"
	FewReady     Reason = "too few gateways of the hall are ready"
	ManyInFleet  Reason = "too many gateways of the fleet are withdrawn"
	AloneInHall  Reason = "no other gateway of the hall is heard of"
	NotCalledFor Reason = "the configuration does not call for it"
)

// Sample is a measurement of this gateway.
type Sample struct {
	At        time.Time
	Admitted  float64 // share of connections that the gateway admits from now on
	CalledFor bool    // the settings and the configuration call for withdrawing
}

// Status is the current decision.
type Status struct {
	Withdrawn bool
	Reason    Reason // of the latest change; empty: there was none
	// Of a gateway that has withdrawn:
	Admitted  float64       // share of connections that it had admitted over the last second
	Duration  time.Duration // until it becomes ready again
	HallReady int           // ready gateways of the hall when it changed, including this one if it is ready
	Hall      int           // gateways of the hall, including this one
}

// Withdrawal decides whether a gateway withdraws from the load balancer.
type Withdrawal struct {
	self     Gateway
	peers    map[string]*report
	similar  tally // of the hall's gateways that are not larger
	larger   tally // of those with at least minCPURatio times the CPU
	admitted window
	// Mean shares of connections that similar gateways admit.
	similarAdmitted      window
	similarAdmittedAfter window // over the settle time
	largerAdmitted       window // of the larger ones, over the settle time
	// Shares of gateways that are short of CPU time.
	similarShort window    // only those that do not tell what they admit
	largerShort  window    // the same; 1 if there is no larger gateway
	recordedAt   time.Time // when these windows were last added to
	status       Status
	changedAt    time.Time     // when it last withdrew or became ready again; zero: it never withdrew
	duration     time.Duration // of the latest withdrawal that has lasted for its time, or lasts; 0: none
	previous     time.Duration // duration before the latest withdrawal
	settlesAt    time.Time     // until then it does not withdraw
	crowdSince   time.Time     // since when more gateways are withdrawn than may be; zero: they are not
}

// report is the latest state of another gateway.
type report struct {
	Gateway
	size          int       // MilliCPU when it was not short of CPU time; 0: unknown
	notReadySince time.Time // when this gateway heard of it; zero if it is ready
}

// NewWithdrawal returns a Withdrawal for a gateway that is ready.
func NewWithdrawal(self Gateway) *Withdrawal {
	return &Withdrawal{
		self: self, peers: map[string]*report{}, admitted: window{length: admittedWindow},
		similarAdmitted: window{length: similarWindow}, similarAdmittedAfter: window{length: settleTime}, largerAdmitted: window{length: settleTime},
		similarShort: window{length: shortWindow}, largerShort: window{length: settleTime},
	}
}

// Report takes over another gateway's state.
func (w *Withdrawal) Report(now time.Time, g Gateway) {
	r := w.peers[g.Address]
	if r == nil {
		r = &report{}
		w.peers[g.Address] = r
	} else {
		w.count(r, -1)
	}
	if g.Readiness == Ready {
		r.notReadySince = time.Time{}
	} else if r.notReadySince.IsZero() {
		r.notReadySince = now
	}
	r.Gateway = g
	if g.MilliCPU > 0 {
		r.size = g.MilliCPU
	}
	w.count(r, 1)
	// An overloaded gateway takes its samples seconds late, and the mean shares must hold what it has
	// heard of meanwhile.
	if !w.recordedAt.IsZero() && now.Sub(w.recordedAt) >= recordInterval {
		w.recordHall(now)
	}
}

// recordHall records the state of the hall.
func (w *Withdrawal) recordHall(now time.Time) {
	w.recordedAt = now
	w.similarAdmitted.add(now, w.similar.admitted())
	w.similarAdmittedAfter.add(now, w.similar.admitted())
	w.similarShort.add(now, share(w.similar.untold, w.similar.ready, 0))
	w.largerShort.add(now, share(w.larger.untold, w.larger.ready, 1))
	w.largerAdmitted.add(now, w.larger.admitted())
}

// Lost records that another gateway has stopped or is not heard of any more.
func (w *Withdrawal) Lost(address string) {
	if r := w.peers[address]; r != nil {
		w.count(r, -1)
		delete(w.peers, address)
	}
}

// count adds n to the tally that another gateway belongs to.
func (w *Withdrawal) count(r *report, n int) {
	if r.Hall != w.self.Hall || r.Readiness != Ready {
		return
	}
	t := &w.similar
	if r.size > 0 && r.size >= minCPURatio*w.self.MilliCPU {
		t = &w.larger
	}
	t.ready += n
	t.notAdmitted += n * r.NotAdmitted
	if r.MilliCPU == 0 {
		t.short += n
		if r.NotAdmitted == 0 {
			t.untold += n
		}
	}
}

// tally counts ready gateways of the hall.
type tally struct {
	ready       int
	short       int // short of CPU time
	untold      int // of these, those that do not tell what they admit
	notAdmitted int // sum of the percentages that are not admitted
}

// admitted returns the mean share of connections that the gateways admit, 1 if there are none. Those that
// do not tell count as admitting all.
func (t tally) admitted() float64 { return 1 - share(t.notAdmitted, 100*t.ready, 0) }

// share returns n as a part of all, or none if all is 0.
func share(n, all int, none float64) float64 {
	if all == 0 {
		return none
	}
	return float64(n) / float64(all)
}

// Sample takes a measurement and returns the decision.
func (w *Withdrawal) Sample(s Sample) Status {
	w.admitted.add(s.At, s.Admitted)
	w.recordHall(s.At)
	switch {
	case w.status.Withdrawn:
		c := w.counts()
		if r := w.reasonToReturn(s, c); r != "" {
			w.setReady(s.At, r, c)
		}
	case s.CalledFor && s.Admitted < minAdmitted && !s.At.Before(w.settlesAt):
		// The latest share is compared as well: after a pause of the process, the shares are low
		// for half a second only.
		if admitted, ok := w.admitted.mean(s.At); ok && admitted < minAdmitted {
			if c := w.counts(); w.mayWithdraw(s.At, c) {
				w.withdraw(s.At, admitted, c)
			}
		}
	}
	return w.status
}

// counts are numbers of gateways, including this one unless they say otherwise.
type counts struct {
	fleet     int
	withdrawn int // of the fleet
	before    int // of these, those before this one; see isBefore
	hall      int
	notReady  int // of the hall
	// Of the other gateways of the hall:
	withdrawnBefore int // withdrawn before this one
	stopping        int // not ready without having withdrawn
	largest         int // most CPU of one that is ready and not short of CPU time
	latestNotReady  time.Time
}

// counts counts the gateways.
func (w *Withdrawal) counts() counts {
	c := counts{fleet: 1, hall: 1}
	if w.status.Withdrawn {
		c.withdrawn, c.notReady = 1, 1
	}
	for _, r := range w.peers {
		c.fleet++
		before := w.isBefore(r)
		if r.Readiness == Withdrawn {
			c.withdrawn++
		}
		if before {
			c.before++
		}
		if r.Hall != w.self.Hall {
			continue
		}
		c.hall++
		switch r.Readiness {
		case Ready:
			c.largest = max(c.largest, r.MilliCPU)
			continue
		case Withdrawn:
			if before {
				c.withdrawnBefore++
			}
		default:
			c.stopping++
		}
		c.notReady++
		if r.notReadySince.After(c.latestNotReady) {
			c.latestNotReady = r.notReadySince
		}
	}
	return c
}

// isBefore reports whether another gateway has withdrawn before this one. None withdraws that knows of
// another withdrawal within the settle time, so two within it did so at the same moment, and the lower
// address counts as first.
func (w *Withdrawal) isBefore(r *report) bool {
	if r.Readiness != Withdrawn {
		return false
	}
	later := r.notReadySince.Sub(w.changedAt)
	return later <= -settleTime || later < settleTime && r.Address < w.self.Address
}

// maxNotReady returns how many gateways of the hall may be not ready.
func (c counts) maxNotReady() int {
	return c.hall - (c.hall*minReadyNumerator+minReadyDenominator-1)/minReadyDenominator
}

// maxWithdrawn returns how many gateways of the fleet may be withdrawn.
func (c counts) maxWithdrawn() int { return max(c.fleet/maxWithdrawnDivisor, 1) }

// mayWithdraw reports whether the other gateways allow that this one withdraws.
func (w *Withdrawal) mayWithdraw(now time.Time, c counts) bool {
	admitted, _ := w.similarAdmitted.mean(now)
	short, ok := w.similarShort.mean(now)
	return ok && admitted >= minSimilarAdmitted && short < maxSimilarShort && c.largest >= minCPURatio*w.self.MilliCPU && c.largest > 0 &&
		c.notReady < c.maxNotReady() && c.withdrawn < c.maxWithdrawn() && now.Sub(c.latestNotReady) >= settleTime
}

// reasonToReturn returns why a withdrawn gateway becomes ready again, or "" if it stays withdrawn.
func (w *Withdrawal) reasonToReturn(s Sample, c counts) Reason {
	short, _ := w.largerShort.mean(s.At)
	admitted, _ := w.similarAdmittedAfter.mean(s.At)
	largerAdmitted, _ := w.largerAdmitted.mean(s.At)
	few, many := c.notReady > c.maxNotReady(), c.withdrawn > c.maxWithdrawn()
	if !few && !many {
		w.crowdSince = time.Time{}
	} else if w.crowdSince.IsZero() {
		w.crowdSince = s.At
	}
	// Of several gateways that have withdrawn at the same moment, some stay withdrawn, or all would
	// return and withdraw again. If the others have not returned after a while, they cannot know of
	// this one.
	waited := !w.crowdSince.IsZero() && s.At.Sub(w.crowdSince) >= settleTime
	switch {
	case !s.CalledFor:
		return NotCalledFor
	case c.hall == 1:
		return AloneInHall
	case few && (waited || c.withdrawnBefore >= c.maxNotReady()-c.stopping):
		return FewReady
	case many && (waited || c.before >= c.maxWithdrawn()):
		return ManyInFleet
	case (short >= minLargerShort || admitted < minAdmittedAfter || largerAdmitted < minAdmittedAfter) && s.At.Sub(w.changedAt) >= settleTime:
		return HallShort
	case s.At.Sub(w.changedAt) >= w.duration:
		return TimeIsOver
	}
	return ""
}

// withdraw makes the gateway not ready.
func (w *Withdrawal) withdraw(now time.Time, admitted float64, c counts) {
	w.previous = w.duration
	switch {
	case w.duration == 0 || now.Sub(w.changedAt) >= maxDuration:
		w.duration = firstDuration
	default: // the callers that overloaded it have come back
		w.duration = min(2*w.duration, maxDuration)
	}
	w.changedAt, w.crowdSince = now, time.Time{}
	w.status = Status{
		Withdrawn: true, Reason: Overloaded, Admitted: admitted, Duration: w.duration, HallReady: c.hall - c.notReady - 1, Hall: c.hall,
	}
}

// setReady makes the gateway ready again.
func (w *Withdrawal) setReady(now time.Time, r Reason, c counts) {
	w.changedAt = now
	w.admitted.clear()
	if r != TimeIsOver {
		w.settlesAt = now.Add(settleTime) // gateways that come and go do not make this one change all the time
		w.duration = w.previous           // its callers need not have come back
	}
	if r == HallShort {
		w.settlesAt = now.Add(firstDuration)
	}
	w.status = Status{Reason: r, HallReady: c.hall - c.notReady + 1, Hall: c.hall}
}

// window holds the samples of a share over a time.
type window struct {
	length  time.Duration
	samples []shareSample // by time; the first one may be older
}

type shareSample struct {
	at    time.Time
	share float64 // until the next sample
}

func (w *window) clear() { w.samples = w.samples[:0] }

// add adds a share and drops those that have ended before the window.
func (w *window) add(now time.Time, share float64) {
	w.samples = append(w.samples, shareSample{now, share})
	begin := now.Add(-w.length)
	old := 0
	for old+1 < len(w.samples) && !w.samples[old+1].at.After(begin) {
		old++
	}
	w.samples = append(w.samples[:0], w.samples[old:]...)
}

// mean returns the mean share, weighted by time. ok is false if the samples do not cover the window.
func (w *window) mean(now time.Time) (share float64, ok bool) {
	begin := now.Add(-w.length)
	if len(w.samples) == 0 || w.samples[0].at.After(begin) {
		return 0, false
	}
	sum := 0.0
	for i, s := range w.samples {
		from, to := s.at, now
		if from.Before(begin) {
			from = begin
		}
		if i+1 < len(w.samples) {
			to = w.samples[i+1].at
		}
		sum += s.share * float64(to.Sub(from))
	}
	return sum / float64(w.length), true
}
