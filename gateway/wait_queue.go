package gateway

import (
	"cmp"
	"slices"
	"time"

	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/slots"
)

const (
	// Interval at which waiting requests are scanned: a server reads some hundred to a
	// thousand tokens in it.
	waitScanInterval = 10 * time.Millisecond
	// Requests sent per scan. Other gateways see the same idle servers; they hear of these
	// requests within 2 ms and scan up to 10 ms later.
	maxSentPerScan = 4
	// Requests placed again per scan. A decision among 60 servers takes some 20 µs, so this
	// bounds the cost at 2.5 % of a core.
	maxPlacedPerScan = 12
	// Maximum number of waiting requests; more are refused. Each takes some 40 KB.
	maxWaiting = 400
)

// waitQueue holds requests that no server should get yet: those that can no longer meet their
// objective, until servers are nearly idle, and, for a moment, those beyond their account's
// share. Requests that can meet their objective bypass the queue, so requests are ordered
// before they reach the engines, which admit them in order of arrival.
type waitQueue struct {
	timer       *time.Timer // runs while the queue is not empty
	waiters     []*waiter
	prefillTime time.Duration        // sum over all waiting requests
	slots       slots.Queue[*waiter] // requests to plain services that wait for a slot; the other fields do not count them
}

// waiter is a waiting request.
type waiter struct {
	message    placementRequest
	since      time.Time
	original   placement.Request // as it arrived
	hold       placement.Hold
	shareRatio float64 // share ratio of its account, as of the latest scan
}

func (q *waitQueue) add(w *waiter) {
	if q.length() == 0 {
		q.timer.Reset(waitScanInterval)
	}
	q.waiters = append(q.waiters, w)
	q.prefillTime += w.hold.PrefillTime
}

// lastBeyondShare returns the last waiter in an order among those beyond their account's share; nil
// if there is none.
func (q *waitQueue) lastBeyondShare(compare func(x, y *waiter) int) *waiter {
	var found *waiter
	for _, w := range q.waiters {
		if w.hold.Reason == placement.OverShare && (found == nil || compare(w, found) > 0) {
			found = w
		}
	}
	return found
}

// compareShareRatios orders waiters by how much their accounts have got in relation to an even
// share.
func compareShareRatios(x, y *waiter) int { return cmp.Compare(x.shareRatio, y.shareRatio) }

// waiterOrder returns the order in which waiting requests get capacity.
func (d *dispatcher) waiterOrder() func(x, y *waiter) int {
	if d.surplus != nil {
		return comparePositions
	}
	return compareShareRatios
}

func (q *waitQueue) remove(w *waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(x *waiter) bool { return x == w })
	q.prefillTime -= w.hold.PrefillTime
}

// cancelled reports whether the caller no longer waits for the decision.
func (w *waiter) cancelled() bool {
	select {
	case <-w.message.done:
		return true
	default:
		return false
	}
}

// refresh subtracts the time waited from the request's deadlines.
func (w *waiter) refresh(now time.Time) {
	waited := now.Sub(w.since)
	a := w.message.request
	*a = w.original
	a.HoldReason, a.Waited = w.hold.Reason, waited
	a.Objective = remainingObjective(a.Objective, waited)
	a.Remaining -= waited
	a.CallerTimeout -= waited
}

// place decides on a request or queues it.
func (d *dispatcher) place(now time.Time, m placementRequest) {
	resetSlotHold(m.request)
	decision := d.decide(now, m)
	decision = d.recordDecision(now, m, decision, false)
	hold, ok := decision.(placement.Hold)
	if !ok {
		d.countRefusedForSlot(m.request.Service, decision)
		m.reply <- decision
		return
	}
	if hold.Reason == placement.NoSlot {
		d.holdForSlot(now, &waiter{message: m, since: now, original: *m.request, hold: hold})
		return
	}
	w := &waiter{message: m, since: now, original: *m.request, hold: hold, shareRatio: m.request.ShareRatio}
	if !d.queueFull(w) {
		d.queue.add(w)
		return
	}
	if d.surplus != nil && d.sendFirstBlocked(now, w) {
		return
	}
	// The last in order makes room.
	order := d.waiterOrder()
	if f := d.queue.lastBeyondShare(order); f != nil && order(f, w) > 0 {
		d.queue.remove(f)
		d.refuse(now, f)
		d.queue.add(w)
		return
	}
	d.refuse(now, w)
}

// refuse refuses a request that does not fit into the queue.
func (d *dispatcher) refuse(now time.Time, w *waiter) {
	after := d.settings.Policy.MinRetryAfter
	if w.hold.Reason == placement.BackingOff {
		after = max(after, w.hold.Predicted)
	}
	w.message.reply <- d.recordDecision(now, w.message, placement.Refuse{RetryAfter: after, Predicted: w.hold.Predicted, Reason: w.hold.Reason, Surplus: w.hold.Surplus}, true)
}

// queueFull reports whether the queue is so long that a request would be served too late, in
// which case it is refused at once. It assumes that the other gateways hold as much as this
// one, and that requests that bypass the queue leave half of the servers' time.
func (d *dispatcher) queueFull(w *waiter) bool {
	if d.queue.length() >= maxWaiting {
		return true
	}
	if w.hold.Reason == placement.BackingOff {
		return false // servers read no prompts while they back off
	}
	servers := max(d.balancer.ServerCount(w.original.Service), 1)
	wait := 2 * d.queue.prefillTime * time.Duration(d.fleetSize()) / time.Duration(servers)
	if w.hold.Reason == placement.OverShare {
		return wait > d.longestSurplusHold(&w.original)
	}
	return wait+w.hold.PrefillTime > w.original.CallerTimeout/2
}

// scanWaiting finds servers with capacity for waiting requests: accounts that got least go
// first, and the oldest request of each account first. If package surplus is used, requests go by
// priority before that.
func (d *dispatcher) scanWaiting(now time.Time) {
	for _, w := range d.queue.waiters {
		w.shareRatio = d.shares.Status(w.original.Account).ShareRatio
	}
	slices.SortStableFunc(d.queue.waiters, d.waiterOrder())
	placed, sent := 0, 0
	remaining := d.queue.waiters[:0]
	for _, w := range d.queue.waiters {
		if w.cancelled() {
			d.queue.prefillTime -= w.hold.PrefillTime
			w.message.reply <- placement.NoServer{} // the reply is not read
			continue
		}
		if placed >= maxPlacedPerScan || sent >= maxSentPerScan || d.waitsForIdle(now, w) {
			remaining = append(remaining, w)
			continue
		}
		placed++
		w.refresh(now)
		decision := d.recordDecision(now, w.message, d.decide(now, w.message), true)
		if h, ok := decision.(placement.Hold); ok && h.Reason == placement.NoSlot {
			d.moveToSlots(w, h)
			continue
		}
		if h, ok := decision.(placement.Hold); ok {
			if w.hold.Reason == placement.BackingOff {
				d.queue.prefillTime += h.PrefillTime - w.hold.PrefillTime
				w.hold = h // current reason for waiting
			}
			w.hold.Surplus = h.Surplus
			remaining = append(remaining, w)
			continue
		}
		if _, ok := decision.(placement.Assign); ok {
			sent++
		}
		d.queue.prefillTime -= w.hold.PrefillTime
		w.message.reply <- decision
	}
	clear(d.queue.waiters[len(remaining):])
	d.queue.waiters = remaining
	d.scanSlots(now, false)
	if d.queue.length() > 0 {
		d.queue.timer.Reset(waitScanInterval)
	}
}
