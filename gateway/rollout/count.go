package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Answer describes how a server answered a request.
type Answer struct {
	Failed bool // server error
	// RelativeLatency is the time to the first byte, or the total time if the answer is not a
	// stream, relative to the expected time; 0: unknown.
	RelativeLatency float64
	// EventInterval is the mean time between a stream's events; 0: not a stream, or too short.
	EventInterval time.Duration
}

// Count is the number of answers, and how many of them were bad.
type Count struct {
	Answers uint32
	Failed  uint32
	Slow    uint32 // excluding failed ones
}

func (c Count) bad() uint32 { return c.Failed + c.Slow }

// minus returns the count less an earlier one. A gateway that restarts counts from 0 again.
func (c Count) minus(earlier Count) Count {
	if c.Answers < earlier.Answers {
		return c
	}
	return Count{c.Answers - earlier.Answers, c.Failed - min(earlier.Failed, c.Failed), c.Slow - min(earlier.Slow, c.Slow)}
}

func (c Count) plus(d Count) Count {
	return Count{c.Answers + d.Answers, c.Failed + d.Failed, c.Slow + d.Slow}
}

// CountKey identifies a group of answers that are counted together.
type CountKey struct {
	Target bool   // by a server of the target version; otherwise of the baseline
	Route  uint32 // hash of the route's name
	Server uint32 // hash of the server's ID; set only for the target version
}

// Report holds all answers that a gateway has counted so far.
type Report map[CountKey]Count

// Values above this multiple of the route's median are slow.
const slowFactor = 2.5

// counter counts the answers that this gateway receives.
type counter struct {
	counts   Report
	latency  map[uint32]*runningMedian // by route
	interval map[uint32]*runningMedian
}

func newCounter() *counter {
	return &counter{counts: Report{}, latency: map[uint32]*runningMedian{}, interval: map[uint32]*runningMedian{}}
}

// RecordAnswer counts a server's answer.
func (r *Rollout) RecordAnswer(route, server uint32, fromTarget bool, a Answer) {
	r.counter.add(route, server, fromTarget, a)
}

// Report returns what this gateway has counted. The caller must not modify it.
func (r *Rollout) Report() Report { return r.counter.counts }

func (c *counter) add(route, server uint32, fromTarget bool, a Answer) {
	key := CountKey{Target: fromTarget, Route: route}
	if fromTarget {
		key.Server = server
	}
	latency, interval := medianFor(c.latency, route), medianFor(c.interval, route)
	n := c.counts[key]
	n.Answers++
	switch {
	case a.Failed:
		n.Failed++
	case latency.isSlow(a.RelativeLatency), interval.isSlow(a.EventInterval.Seconds()):
		n.Slow++
	}
	c.counts[key] = n
	if !fromTarget && !a.Failed {
		latency.add(a.RelativeLatency)
		interval.add(a.EventInterval.Seconds())
	}
}

// runningMedian is the median of the latest samples of a value.
type runningMedian struct {
	samples []float64
	next    int
	median  float64 // 0: too few samples
}

// Limits on the number of samples.
const (
	medianWindow     = 33
	minMedianSamples = 7
)

func medianFor(medians map[uint32]*runningMedian, route uint32) *runningMedian {
	m := medians[route]
	if m == nil {
		m = &runningMedian{}
		medians[route] = m
	}
	return m
}

func (m *runningMedian) isSlow(v float64) bool { return m.median > 0 && v > slowFactor*m.median }

func (m *runningMedian) add(v float64) {
	if v <= 0 {
		return
	}
	if len(m.samples) < medianWindow {
		m.samples = append(m.samples, v)
	} else {
		m.samples[m.next] = v
		m.next = (m.next + 1) % medianWindow
	}
	if len(m.samples) >= minMedianSamples {
		sorted := slices.Clone(m.samples)
		slices.SortFunc(sorted, cmp.Compare[float64])
		m.median = sorted[len(sorted)/2]
	}
}
