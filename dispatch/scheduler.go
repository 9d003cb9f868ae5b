package dispatch

import (
	"slices"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/fair"
)

// Grant is a place reserved for a router's best request of one line.
type Grant struct {
	ID       uint64
	Router   string
	Class    Class
	Estimate float64
}

// Desk holds an agent's wants and the places of its server.
type Scheduler struct {
	limit            int
	running          int
	unresponsive     map[string]bool // routers that left a grant unused
	grants           map[uint64]Grant
	classes          []classDemand
	lastGrantID      uint64
	candidates       []fair.Candidate
	candidateClasses []int
}

// line is who wants what; its routers are served in turn.
type classDemand struct {
	class      Class
	demands    []demand
	lastServed int
	waiting    int
	estimate   float64
}

type demand struct {
	router       string
	count        int
	unresponsive bool // its count is not in the line's
}

// NewDesk returns a desk of so many places.
func NewScheduler(limit int) *Scheduler {
	return &Scheduler{limit: limit, grants: map[uint64]Grant{}, unresponsive: map[string]bool{}}
}

// SetLimit changes the number of places; what runs is not touched.
func (d *Scheduler) SetLimit(limit int) { d.limit = limit }

// Limit returns the number of places.
func (d *Scheduler) Limit() int { return d.limit }

// Running returns how many attempts run.
func (d *Scheduler) Running() int { return d.running }

// Granted returns how many places are reserved and not yet used.
func (d *Scheduler) Granted() int { return len(d.grants) }

// Waiting returns how many requests wait, as far as routers told.
func (d *Scheduler) Waiting() int {
	n := 0
	for i := range d.classes {
		n += d.classes[i].waiting
	}
	return n
}

// WaitsFor reports whether the account has a request waiting in any line.
func (d *Scheduler) HasWaiting(a fair.Account) bool {
	for i := range d.classes {
		if d.classes[i].class.Account == a && d.classes[i].waiting > 0 {
			return true
		}
	}
	return false
}

// Room reports whether a place is free.
func (d *Scheduler) HasFreeSlot() bool { return d.running+len(d.grants) < d.limit }

// SetWant replaces what a router wants in one line.
func (d *Scheduler) SetDemand(router string, k Class, count int, estimate float64) {
	i := slices.IndexFunc(d.classes, func(l classDemand) bool { return l.class == k })
	if i < 0 {
		if count == 0 {
			return
		}
		i = len(d.classes)
		d.classes = append(d.classes, classDemand{class: k})
	}
	l := &d.classes[i]
	if estimate > 0 {
		l.estimate = estimate
	}
	w := slices.IndexFunc(l.demands, func(w demand) bool { return w.router == router })
	switch {
	case w >= 0 && l.demands[w].unresponsive:
		l.demands[w].count = count
	case w >= 0:
		l.waiting += count - l.demands[w].count
		l.demands[w].count = count
	case count > 0:
		l.demands = append(l.demands, demand{router: router, count: count})
		l.waiting += count
	}
}

// DropRouter forgets a router's wants and unused grants, which it returns.
func (d *Scheduler) DropRouter(router string) []Grant {
	delete(d.unresponsive, router)
	for i := range d.classes {
		l := &d.classes[i]
		for w := range l.demands {
			if l.demands[w].router == router {
				l.setUnresponsive(w, false)
				l.waiting -= l.demands[w].count
				l.demands[w].count = 0
			}
		}
	}
	var dropped []Grant
	for id, g := range d.grants {
		if g.Router == router {
			dropped = append(dropped, g)
			delete(d.grants, id)
		}
	}
	return dropped
}

// SetSilent tells whether a router leaves its grants unused: it gets none until it
// is heard again, so that places do not wait for one that is cut off. It returns
// whether that changed.
func (d *Scheduler) SetUnresponsive(router string, silent bool) bool {
	if d.unresponsive[router] == silent {
		return false
	}
	d.unresponsive[router] = silent
	if !silent {
		delete(d.unresponsive, router)
	}
	for i := range d.classes {
		l := &d.classes[i]
		for w := range l.demands {
			if l.demands[w].router == router {
				l.setUnresponsive(w, silent)
			}
		}
	}
	return true
}

func (l *classDemand) setUnresponsive(w int, silent bool) {
	if l.demands[w].unresponsive == silent {
		return
	}
	l.demands[w].unresponsive = silent
	if silent {
		l.waiting -= l.demands[w].count
		return
	}
	l.waiting += l.demands[w].count
}

// Grant reserves a free place for the account that the book picks, or reports
// that there is no place or nobody who wants one. The book's reservation is made
// too; it is Release's caller, or the attempt, that takes it back.
func (d *Scheduler) Grant(b *fair.Tracker) (Grant, bool) {
	if !d.HasFreeSlot() {
		return Grant{}, false
	}
	d.candidates, d.candidateClasses = d.candidates[:0], d.candidateClasses[:0]
	for i := range d.classes {
		if l := &d.classes[i]; l.waiting > 0 {
			d.candidates = append(d.candidates, fair.Candidate{Account: l.class.Account, Urgent: l.class.Urgent})
			d.candidateClasses = append(d.candidateClasses, i)
		}
	}
	at := b.Pick(d.candidates)
	if at < 0 {
		return Grant{}, false
	}
	l := &d.classes[d.candidateClasses[at]]
	d.lastGrantID++
	g := Grant{ID: d.lastGrantID, Router: l.takeNext(), Class: l.class, Estimate: l.estimate}
	d.grants[g.ID] = g
	b.Reserve(g.Class.Account, g.Estimate)
	return g, true
}

// take returns the next router in turn that wants a place and counts one down.
func (l *classDemand) takeNext() string {
	for range l.demands {
		l.lastServed = (l.lastServed + 1) % len(l.demands)
		if w := &l.demands[l.lastServed]; w.count > 0 && !w.unresponsive {
			w.count--
			l.waiting--
			return w.router
		}
	}
	panic(errors.AssertionFailedf("dispatch: line %v counts %d waiting and has none", l.class, l.waiting))
}

// Use turns a grant into a running attempt and returns it. It reports false when
// there is no such grant: it was declined, dropped or never made.
func (d *Scheduler) StartGranted(id uint64) (Grant, bool) {
	g, ok := d.grants[id]
	if !ok {
		return Grant{}, false
	}
	delete(d.grants, id)
	d.running++
	return g, true
}

// Grantee returns the router that holds a grant.
func (d *Scheduler) GrantHolder(id uint64) (router string, ok bool) {
	g, ok := d.grants[id]
	return g.Router, ok
}

// Cancel gives a granted place back.
func (d *Scheduler) Cancel(id uint64) (Grant, bool) {
	g, ok := d.grants[id]
	delete(d.grants, id)
	return g, ok
}

// Take starts an attempt that came without a grant. It reports false when there
// is no place, or when others wait: they go first.
func (d *Scheduler) TryStart() bool {
	if !d.HasFreeSlot() || d.Waiting() > 0 {
		return false
	}
	d.running++
	return true
}

// Done counts the end of a running attempt.
func (d *Scheduler) Done() {
	if d.running == 0 {
		panic(errors.AssertionFailedf("dispatch: an attempt ended and none ran"))
	}
	d.running--
}
