package gateway

import (
	"cmp"
	"slices"
	"time"

	"opalbridge.dev/gateway/placement"
)

const (
	// Requests that wait are looked through this often: a server reads some hundred to a
	// thousand tokens meanwhile.
	waitScanInterval = 10 * time.Millisecond
	// Requests sent at one look. Other gateways see the same idle servers; they hear of
	// these within 2 ms and look themselves up to 10 ms later.
	mostSent = 4
	// Requests placed anew at one look. A decision among 60 servers takes some 20 µs, so
	// this bounds the cost at 2.5 % of a core.
	mostPlaced = 12
	// Requests that wait at once; more are refused. Each takes some 40 KB.
	mostWaiting = 400
)

// waitQueue holds requests that no server should get now: those that can't be in time any
// more until servers hardly wait, and those beyond their account's share for a moment. What
// can be in time passes them by, so that the order is made before the engines, which
// admit requests as they arrive.
type waitQueue struct {
	timer   *time.Timer // runs while somebody waits
	list    []*waiter
	reading time.Duration // of all that wait
}

// waiter is a request that waits.
type waiter struct {
	message placementRequest
	since   time.Time
	ask     placement.Request // as it arrived
	hold    placement.Hold
	ahead   float64 // of its account, as of the latest look
}

func (q *waitQueue) add(w *waiter) {
	if len(q.list) == 0 {
		q.timer.Reset(waitScanInterval)
	}
	q.list = append(q.list, w)
	q.reading += w.hold.PrefillTime
}

// furthest returns the waiter whose account is furthest ahead of its even share, among
// those that are beyond their share; nil: none is.
func (q *waitQueue) furthest() *waiter {
	var found *waiter
	for _, w := range q.list {
		if w.hold.Reason == placement.OverShare && (found == nil || w.ahead > found.ahead) {
			found = w
		}
	}
	return found
}

func (q *waitQueue) remove(w *waiter) {
	q.list = slices.DeleteFunc(q.list, func(x *waiter) bool { return x == w })
	q.reading -= w.hold.PrefillTime
}

// gone tells whether nobody waits for the decision any more.
func (w *waiter) gone() bool {
	select {
	case <-w.message.done:
		return true
	default:
		return false
	}
}

// age brings the waiter's request up to date.
func (w *waiter) age(now time.Time) {
	waited := now.Sub(w.since)
	a := w.message.request
	*a = w.ask
	a.HoldReason, a.Waited = w.hold.Reason, waited
	a.Objective = objectiveLeft(a.Objective, waited)
	a.Remaining -= waited
	a.CallerTimeout -= waited
}

// place answers a request, or lets it wait.
func (d *dispatcher) place(now time.Time, m placementRequest) {
	decision := d.decide(now, m)
	hold, ok := decision.(placement.Hold)
	if !ok {
		m.reply <- decision
		return
	}
	w := &waiter{message: m, since: now, ask: *m.request, hold: hold, ahead: m.request.ShareRatio}
	if !d.crowded(w) {
		d.queue.add(w)
		return
	}
	// The account that is furthest ahead makes room.
	if f := d.queue.furthest(); f != nil && f.ahead > w.ahead {
		d.queue.remove(f)
		d.turnAway(f)
		d.queue.add(w)
		return
	}
	d.turnAway(w)
}

// turnAway refuses a request for which the queue has no place.
func (d *dispatcher) turnAway(w *waiter) {
	after := d.settings.Policy.MinRetryAfter
	if w.hold.Reason == placement.BackingOff {
		after = max(after, w.hold.Predicted)
	}
	w.message.reply <- placement.Refuse{RetryAfter: after, Predicted: w.hold.Predicted, Reason: w.hold.Reason}
}

// crowded tells whether so many wait already that a request would come too late: it is
// refused at once then. The other gateways are taken to hold as much as this one, and half
// of the servers' time to be left by requests that pass.
func (d *dispatcher) crowded(w *waiter) bool {
	if len(d.queue.list) >= mostWaiting {
		return true
	}
	if w.hold.Reason == placement.BackingOff {
		return false // nobody reads meanwhile
	}
	servers := max(d.balancer.ServerCount(w.ask.Service), 1)
	wait := 2 * d.queue.reading * time.Duration(d.fleetSize()) / time.Duration(servers)
	if w.hold.Reason == placement.OverShare {
		return wait > d.settings.Policy.SurplusHold(&w.ask)
	}
	return wait+w.hold.PrefillTime > w.ask.CallerTimeout/2
}

// scanWaiting finds servers that have room for those that wait: accounts that got least go first,
// and of each the request that came first.
func (d *dispatcher) scanWaiting(now time.Time) {
	for _, w := range d.queue.list {
		w.ahead = d.shares.Status(w.ask.Account).ShareRatio
	}
	slices.SortStableFunc(d.queue.list, func(x, y *waiter) int { return cmp.Compare(x.ahead, y.ahead) })
	placed, sent := 0, 0
	left := d.queue.list[:0]
	for _, w := range d.queue.list {
		if w.gone() {
			d.queue.reading -= w.hold.PrefillTime
			w.message.reply <- placement.NoServer{} // nobody reads it
			continue
		}
		if placed >= mostPlaced || sent >= mostSent {
			left = append(left, w)
			continue
		}
		placed++
		w.age(now)
		decision := d.decide(now, w.message)
		if h, ok := decision.(placement.Hold); ok {
			if w.hold.Reason == placement.BackingOff {
				d.queue.reading += h.PrefillTime - w.hold.PrefillTime
				w.hold = h // why it waits now
			}
			left = append(left, w)
			continue
		}
		if _, ok := decision.(placement.Assign); ok {
			sent++
		}
		d.queue.reading -= w.hold.PrefillTime
		w.message.reply <- decision
	}
	clear(d.queue.list[len(left):])
	d.queue.list = left
	if len(left) > 0 {
		d.queue.timer.Reset(waitScanInterval)
	}
}
