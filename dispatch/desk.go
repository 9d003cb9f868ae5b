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
	Key      Key
	Estimate float64
}

// Desk holds an agent's wants and the places of its server.
type Desk struct {
	limit    int
	running  int
	silent   map[string]bool // routers that left a grant unused
	grants   map[uint64]Grant
	lines    []line
	next     uint64
	spare    []fair.Candidate
	position []int
}

// line is who wants what; its routers are served in turn.
type line struct {
	key      Key
	wants    []want
	turn     int
	waiting  int
	estimate float64
}

type want struct {
	router string
	count  int
	silent bool // its count is not in the line's
}

// NewDesk returns a desk of so many places.
func NewDesk(limit int) *Desk {
	return &Desk{limit: limit, grants: map[uint64]Grant{}, silent: map[string]bool{}}
}

// SetLimit changes the number of places; what runs is not touched.
func (d *Desk) SetLimit(limit int) { d.limit = limit }

// Limit returns the number of places.
func (d *Desk) Limit() int { return d.limit }

// Running returns how many attempts run.
func (d *Desk) Running() int { return d.running }

// Granted returns how many places are reserved and not yet used.
func (d *Desk) Granted() int { return len(d.grants) }

// Waiting returns how many requests wait, as far as routers told.
func (d *Desk) Waiting() int {
	n := 0
	for i := range d.lines {
		n += d.lines[i].waiting
	}
	return n
}

// WaitsFor reports whether the account has a request waiting in any line.
func (d *Desk) WaitsFor(a fair.Account) bool {
	for i := range d.lines {
		if d.lines[i].key.Account == a && d.lines[i].waiting > 0 {
			return true
		}
	}
	return false
}

// Room reports whether a place is free.
func (d *Desk) Room() bool { return d.running+len(d.grants) < d.limit }

// SetWant replaces what a router wants in one line.
func (d *Desk) SetWant(router string, k Key, count int, estimate float64) {
	i := slices.IndexFunc(d.lines, func(l line) bool { return l.key == k })
	if i < 0 {
		if count == 0 {
			return
		}
		i = len(d.lines)
		d.lines = append(d.lines, line{key: k})
	}
	l := &d.lines[i]
	if estimate > 0 {
		l.estimate = estimate
	}
	w := slices.IndexFunc(l.wants, func(w want) bool { return w.router == router })
	switch {
	case w >= 0 && l.wants[w].silent:
		l.wants[w].count = count
	case w >= 0:
		l.waiting += count - l.wants[w].count
		l.wants[w].count = count
	case count > 0:
		l.wants = append(l.wants, want{router: router, count: count})
		l.waiting += count
	}
}

// DropRouter forgets a router's wants and unused grants, which it returns.
func (d *Desk) DropRouter(router string) []Grant {
	delete(d.silent, router)
	for i := range d.lines {
		l := &d.lines[i]
		for w := range l.wants {
			if l.wants[w].router == router {
				l.setSilent(w, false)
				l.waiting -= l.wants[w].count
				l.wants[w].count = 0
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
func (d *Desk) SetSilent(router string, silent bool) bool {
	if d.silent[router] == silent {
		return false
	}
	d.silent[router] = silent
	if !silent {
		delete(d.silent, router)
	}
	for i := range d.lines {
		l := &d.lines[i]
		for w := range l.wants {
			if l.wants[w].router == router {
				l.setSilent(w, silent)
			}
		}
	}
	return true
}

func (l *line) setSilent(w int, silent bool) {
	if l.wants[w].silent == silent {
		return
	}
	l.wants[w].silent = silent
	if silent {
		l.waiting -= l.wants[w].count
		return
	}
	l.waiting += l.wants[w].count
}

// Grant reserves a free place for the account that the book picks, or reports
// that there is no place or nobody who wants one. The book's reservation is made
// too; it is Release's caller, or the attempt, that takes it back.
func (d *Desk) Grant(b *fair.Book) (Grant, bool) {
	if !d.Room() {
		return Grant{}, false
	}
	d.spare, d.position = d.spare[:0], d.position[:0]
	for i := range d.lines {
		if l := &d.lines[i]; l.waiting > 0 {
			d.spare = append(d.spare, fair.Candidate{Account: l.key.Account, Urgent: l.key.Urgent})
			d.position = append(d.position, i)
		}
	}
	at := b.Pick(d.spare)
	if at < 0 {
		return Grant{}, false
	}
	l := &d.lines[d.position[at]]
	d.next++
	g := Grant{ID: d.next, Router: l.take(), Key: l.key, Estimate: l.estimate}
	d.grants[g.ID] = g
	b.Reserve(g.Key.Account, g.Estimate)
	return g, true
}

// take returns the next router in turn that wants a place and counts one down.
func (l *line) take() string {
	for range l.wants {
		l.turn = (l.turn + 1) % len(l.wants)
		if w := &l.wants[l.turn]; w.count > 0 && !w.silent {
			w.count--
			l.waiting--
			return w.router
		}
	}
	panic(errors.AssertionFailedf("dispatch: line %v counts %d waiting and has none", l.key, l.waiting))
}

// Use turns a grant into a running attempt and returns it. It reports false when
// there is no such grant: it was declined, dropped or never made.
func (d *Desk) Use(id uint64) (Grant, bool) {
	g, ok := d.grants[id]
	if !ok {
		return Grant{}, false
	}
	delete(d.grants, id)
	d.running++
	return g, true
}

// Grantee returns the router that holds a grant.
func (d *Desk) Grantee(id uint64) (router string, ok bool) {
	g, ok := d.grants[id]
	return g.Router, ok
}

// Cancel gives a granted place back.
func (d *Desk) Cancel(id uint64) (Grant, bool) {
	g, ok := d.grants[id]
	delete(d.grants, id)
	return g, ok
}

// Take starts an attempt that came without a grant. It reports false when there
// is no place, or when others wait: they go first.
func (d *Desk) Take() bool {
	if !d.Room() || d.Waiting() > 0 {
		return false
	}
	d.running++
	return true
}

// Done counts the end of a running attempt.
func (d *Desk) Done() {
	if d.running == 0 {
		panic(errors.AssertionFailedf("dispatch: an attempt ended and none ran"))
	}
	d.running--
}
