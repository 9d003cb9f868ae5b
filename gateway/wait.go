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
	waitEvery = 10 * time.Millisecond
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
	message placeMessage
	since   time.Time
	ask     placement.Ask // as it arrived
	hold    placement.Hold
	ahead   float64 // of its account, as of the latest look
}

func (q *waitQueue) add(w *waiter) {
	if len(q.list) == 0 {
		q.timer.Reset(waitEvery)
	}
	q.list = append(q.list, w)
	q.reading += w.hold.Reading
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
	q.reading -= w.hold.Reading
}

// gone tells whether nobody waits for the decision any more.
func (w *waiter) gone() bool {
	select {
	case <-w.message.ended:
		return true
	default:
		return false
	}
}

// age brings the waiter's request up to date.
func (w *waiter) age(now time.Time) {
	waited := now.Sub(w.since)
	a := w.message.ask
	*a = w.ask
	a.Held, a.Waited = w.hold.Reason, waited
	a.Objective = objectiveLeft(a.Objective, waited)
	a.Remaining -= waited
	a.Patience -= waited
}

// place answers a request, or lets it wait.
func (d *desk) place(now time.Time, m placeMessage) {
	decision := d.decide(now, m)
	hold, ok := decision.(placement.Hold)
	if !ok {
		m.reply <- decision
		return
	}
	w := &waiter{message: m, since: now, ask: *m.ask, hold: hold, ahead: m.ask.Ahead}
	if !d.crowded(w) {
		d.waits.add(w)
		return
	}
	// The account that is furthest ahead makes room.
	if f := d.waits.furthest(); f != nil && f.ahead > w.ahead {
		d.waits.remove(f)
		d.turnAway(f)
		d.waits.add(w)
		return
	}
	d.turnAway(w)
}

// turnAway refuses a request for which the queue has no place.
func (d *desk) turnAway(w *waiter) {
	after := d.settings.Policy.LeastRetryAfter
	if w.hold.Reason == placement.Resting {
		after = max(after, w.hold.Predicted)
	}
	w.message.reply <- placement.Refuse{RetryAfter: after, Predicted: w.hold.Predicted, Reason: w.hold.Reason}
}

// crowded tells whether so many wait already that a request would come too late: it is
// refused at once then. The other gateways are taken to hold as much as this one, and half
// of the servers' time to be left by requests that pass.
func (d *desk) crowded(w *waiter) bool {
	if len(d.waits.list) >= mostWaiting {
		return true
	}
	if w.hold.Reason == placement.Resting {
		return false // nobody reads meanwhile
	}
	servers := max(d.board.Servers(w.ask.Service), 1)
	wait := 2 * d.waits.reading * time.Duration(d.fleetSize()) / time.Duration(servers)
	if w.hold.Reason == placement.OverShare {
		return wait > d.settings.Policy.SpareMoment(&w.ask)
	}
	return wait+w.hold.Reading > w.ask.Patience/2
}

// look finds servers that have room for those that wait: accounts that got least go first,
// and of each the request that came first.
func (d *desk) look(now time.Time) {
	for _, w := range d.waits.list {
		w.ahead = d.book.Standing(w.ask.Account).Ahead
	}
	slices.SortStableFunc(d.waits.list, func(x, y *waiter) int { return cmp.Compare(x.ahead, y.ahead) })
	placed, sent := 0, 0
	left := d.waits.list[:0]
	for _, w := range d.waits.list {
		if w.gone() {
			d.waits.reading -= w.hold.Reading
			w.message.reply <- placement.None{} // nobody reads it
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
			if w.hold.Reason == placement.Resting {
				d.waits.reading += h.Reading - w.hold.Reading
				w.hold = h // why it waits now
			}
			left = append(left, w)
			continue
		}
		if _, ok := decision.(placement.Assign); ok {
			sent++
		}
		d.waits.reading -= w.hold.Reading
		w.message.reply <- decision
	}
	clear(d.waits.list[len(left):])
	d.waits.list = left
	if len(left) > 0 {
		d.waits.timer.Reset(waitEvery)
	}
}
