package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Answer is how a server answered a request.
type Answer struct {
	Failed bool // by the server itself
	// RelativeLatency is the time to the first byte, or the whole time of an answer that is no stream,
	// over what it should have taken; 0: not known.
	RelativeLatency float64
	// EventInterval is the mean time between a stream's events; 0: it is no stream, or too short.
	EventInterval time.Duration
}

// Count is how many answers there were, and how many of them were bad.
type Count struct {
	Answers uint32
	Failed  uint32
	Slow    uint32 // and did not fail
}

func (c Count) bad() uint32 { return c.Failed + c.Slow }

// less returns the count without what was counted before; a gateway that starts again counts
// from 0.
func (c Count) less(before Count) Count {
	if c.Answers < before.Answers {
		return c
	}
	return Count{c.Answers - before.Answers, c.Failed - min(before.Failed, c.Failed), c.Slow - min(before.Slow, c.Slow)}
}

func (c Count) plus(d Count) Count {
	return Count{c.Answers + d.Answers, c.Failed + d.Failed, c.Slow + d.Slow}
}

// CountKey names whose answers are counted.
type CountKey struct {
	Target bool   // by servers of the target; else of the baseline
	Route  uint32 // hash of its name
	Server uint32 // hash of its ID; only of the target's
}

// Report is what a gateway has counted so far, by cell.
type Report map[CountKey]Count

// A value beyond this many times the usual one of its route is slow.
const slowFactor = 2.5

// counter counts what a gateway sees itself.
type counter struct {
	counts Report
	first  map[uint32]*usual // by route
	pause  map[uint32]*usual
}

func newCounter() *counter {
	return &counter{counts: Report{}, first: map[uint32]*usual{}, pause: map[uint32]*usual{}}
}

// RecordAnswer counts an answer of a server.
func (r *Rollout) RecordAnswer(route, server uint32, fromTarget bool, a Answer) {
	r.seen.add(route, server, fromTarget, a)
}

// Report returns what this gateway has counted. It is not to be changed.
func (r *Rollout) Report() Report { return r.seen.counts }

func (c *counter) add(route, server uint32, fromTarget bool, a Answer) {
	cell := CountKey{Target: fromTarget, Route: route}
	if fromTarget {
		cell.Server = server
	}
	first, pause := usualOf(c.first, route), usualOf(c.pause, route)
	n := c.counts[cell]
	n.Answers++
	switch {
	case a.Failed:
		n.Failed++
	case first.slow(a.RelativeLatency), pause.slow(a.EventInterval.Seconds()):
		n.Slow++
	}
	c.counts[cell] = n
	if !fromTarget && !a.Failed {
		first.add(a.RelativeLatency)
		pause.add(a.EventInterval.Seconds())
	}
}

// usual knows what is usual of a value: the median of the latest ones.
type usual struct {
	latest []float64
	next   int
	median float64 // 0: too few are known
}

// Values that usual keeps, and how many it needs.
const (
	usualOfLatest = 33
	usualLeast    = 7
)

func usualOf(m map[uint32]*usual, route uint32) *usual {
	u := m[route]
	if u == nil {
		u = &usual{}
		m[route] = u
	}
	return u
}

func (u *usual) slow(v float64) bool { return u.median > 0 && v > slowFactor*u.median }

func (u *usual) add(v float64) {
	if v <= 0 {
		return
	}
	if len(u.latest) < usualOfLatest {
		u.latest = append(u.latest, v)
	} else {
		u.latest[u.next] = v
		u.next = (u.next + 1) % usualOfLatest
	}
	if len(u.latest) >= usualLeast {
		sorted := slices.Clone(u.latest)
		slices.SortFunc(sorted, cmp.Compare[float64])
		u.median = sorted[len(sorted)/2]
	}
}
