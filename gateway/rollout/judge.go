package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// own names this gateway among those that report.
const own = ""

// Evidence is what has shown that the target is worse than the baseline.
type Evidence struct {
	Route    uint32 // hash of its name; 0: all together
	Slow     bool   // its answers are slow; else they fail
	Target   Count
	Baseline Count
	Servers  int // of the target that gave some
	Window   time.Duration
}

// Margins and odds of a verdict.
const (
	// A version that is worse by less is not told from chance in the answers of a canary.
	failedMargin = 0.03
	slowMargin   = 0.08
	// Once nearly all has moved, the baseline's answers are of another moment: what was slow then
	// tells nothing of now, and what failed tells less.
	failedMarginLater = 0.1
	// Least logarithm of how much likelier both versions' answers are at a rate each than at
	// one rate of both: for all servers, and for the better half of them, which tells a bad
	// version from servers that fail by themselves. Chance reaches the first once in 10,000
	// independent looks.
	leastOdds       = 10
	leastOddsOfHalf = 5
	leastBad        = 4
	leastOfServer   = 4 // answers of a server for it to count
	leastServers    = 4 // that count, while more may do so soon
)

// Spans over which answers are compared: a version that turns bad shows in the latest ones.
var windows = []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, time.Hour}

// sums are the totals over all gateways at a moment.
type sums struct {
	at    time.Time
	cells Report
}

// judge compares the versions by what all gateways report.
type judge struct {
	reports map[string]Report // by gateway; of those that have gone, the last one
	ended   Report            // of gateways that have started again, what they had counted before
	history []sums            // oldest first
	answers int               // of the target that are known
}

const (
	// Reports are summed up this often: it takes as long as there are gateways and cells.
	lookEvery = 250 * time.Millisecond
	// Sums are kept this often, and for the second longest window.
	sumsEvery = 500 * time.Millisecond
)

func newJudge() judge { return judge{reports: map[string]Report{}, ended: Report{}} }

// MergeReport takes over what another gateway has counted so far, its stage, and since when it knows of
// the order: who has just started learns from the others how old it is. What another one has
// taken back this one takes back, too. If it is further, this one needs no more evidence to
// follow.
func (r *Rollout) MergeReport(from string, report Report, stage Stage, since time.Time) {
	if since.Before(r.OrderedAt) {
		r.OrderedAt = since
	}
	r.judge.hear(from, report)
	if stage == Reverted {
		r.Revert()
		return
	}
	r.furthest = max(r.furthest, stage)
}

func (j *judge) hear(from string, report Report) {
	if before := j.reports[from]; before.answers() > report.answers() {
		for cell, n := range before { // it has started again
			j.ended[cell] = j.ended[cell].plus(n)
		}
	}
	j.reports[from] = report
}

func (r Report) answers() (sum uint32) {
	for _, n := range r {
		sum += n.Answers
	}
	return sum
}

// due tells whether it is time to sum up again.
func (j *judge) due(now time.Time) bool {
	n := len(j.history)
	return n == 0 || now.Sub(j.history[n-1].at) >= lookEvery
}

// look sums up what is known now.
func (j *judge) look(now time.Time) {
	j.answers = 0
	s := sums{at: now, cells: Report{}}
	add := func(report Report) {
		for cell, n := range report {
			s.cells[cell] = s.cells[cell].plus(n)
			if cell.Target {
				j.answers += int(n.Answers)
			}
		}
	}
	add(j.ended)
	for _, report := range j.reports {
		add(report)
	}
	// The newest entry is replaced until it is old enough to be kept.
	if n := len(j.history); n > 1 && now.Sub(j.history[n-2].at) < sumsEvery {
		j.history = j.history[:n-1]
	}
	j.history = append(j.history, s)
	longest := windows[len(windows)-2]
	for len(j.history) > 2 && now.Sub(j.history[1].at) >= longest {
		j.history = j.history[1:]
	}
}

// verdict returns evidence that the target is worse; nil: there is none. early tells that some
// of its servers may have given no answer yet.
func (j *judge) verdict(stage Stage, early bool) *Evidence {
	if len(j.history) == 0 {
		return nil
	}
	latest := j.history[len(j.history)-1]
	for _, window := range windows {
		if e := compare(latest.cells, j.before(latest.at.Add(-window)), stage, early); e != nil {
			e.Window = window
			return e
		}
	}
	return nil
}

// before returns the sums at a time, or none if they are not known that far back.
func (j *judge) before(at time.Time) Report {
	var found Report
	for _, s := range j.history {
		if s.at.After(at) {
			break
		}
		found = s.cells
	}
	return found
}

// compare compares the versions by what was counted between two moments, for each route and
// for all together (0).
func compare(now, before Report, stage Stage, early bool) *Evidence {
	target := map[uint32]map[uint32]Count{0: {}} // by route and server
	window, always := map[uint32]Count{}, map[uint32]Count{}
	for cell, n := range now {
		d := n.less(before[cell])
		if !cell.Target {
			window[cell.Route], always[cell.Route] = d, n
			window[0], always[0] = window[0].plus(d), always[0].plus(n)
			continue
		}
		if target[cell.Route] == nil {
			target[cell.Route] = map[uint32]Count{}
		}
		target[cell.Route][cell.Server] = d
		target[0][cell.Server] = target[0][cell.Server].plus(d)
	}
	for route, servers := range target {
		b, sameTime := window[route], stage != Full && window[route].Answers >= leastAnswers
		if !sameTime {
			b = always[route]
		}
		if e := worse(b, sameTime, servers, early); e != nil {
			e.Route = route
			return e
		}
	}
	return nil
}

// worse returns evidence that servers answer badly more often than the baseline; nil: there
// is none. sameTime tells that the baseline's answers are of the same moments.
func worse(baseline Count, sameTime bool, servers map[uint32]Count, early bool) *Evidence {
	least := 2 // one alone may fail by itself
	if early {
		least = leastServers
	}
	failed := func(c Count) uint32 { return c.Failed }
	if !sameTime {
		return worseBy(baseline, servers, least, failed, failedMarginLater)
	}
	if e := worseBy(baseline, servers, least, failed, failedMargin); e != nil {
		return e
	}
	e := worseBy(baseline, servers, least, Count.bad, slowMargin)
	if e != nil {
		e.Slow = true
	}
	return e
}

// worseBy compares by one kind of bad answers. All servers together have to be worse, and the
// better half of them as well, if not as surely. least is how many have to count, besides most
// of those that gave any answer.
func worseBy(baseline Count, servers map[uint32]Count, least int, bad func(Count) uint32, margin float64) *Evidence {
	list, known := make([]Count, 0, len(servers)), 0
	for _, n := range servers {
		if n.Answers > 0 {
			known++
		}
		if n.Answers >= leastOfServer {
			list = append(list, n)
		}
	}
	if len(list) < max(least, known/2+1) {
		return nil
	}
	slices.SortFunc(list, func(x, y Count) int { return cmp.Compare(rate(bad(y), y.Answers), rate(bad(x), x.Answers)) })
	var all, half Count
	for i, n := range list {
		all = all.plus(n)
		if i >= (len(list)+1)/2 {
			half = half.plus(n)
		}
	}
	exceeds := func(c Count, odds, margin float64) bool {
		k, n, k0, n0 := bad(c), c.Answers, bad(baseline), baseline.Answers
		return rate(k, n) >= rate(k0, n0)+margin && logOdds(k, n, k0, n0) >= odds
	}
	if bad(all) < leastBad || !exceeds(all, leastOdds, margin) || !exceeds(half, leastOddsOfHalf, margin/2) {
		return nil
	}
	return &Evidence{Target: all, Baseline: baseline, Servers: len(list)}
}

func rate(k, n uint32) float64 { return float64(k) / max(float64(n), 1) }

// logOdds returns the logarithm of how much likelier k of n and k0 of n0 are at a rate each than
// at one rate of both.
func logOdds(k, n, k0, n0 uint32) float64 {
	both := rate(k+k0, n+n0)
	part := func(count uint32, p, q float64) float64 {
		if count == 0 {
			return 0
		}
		return float64(count) * math.Log(p/q)
	}
	of := func(k, n uint32) float64 {
		return part(k, rate(k, n), both) + part(n-k, 1-rate(k, n), 1-both)
	}
	return of(k, n) + of(k0, n0)
}
