package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// localGateway is the key of this gateway's own report.
const localGateway = ""

// Evidence shows that the target version is worse than the baseline.
type Evidence struct {
	Route    uint32 // hash of the route's name; 0: all routes together
	Slow     bool   // its answers are slow; otherwise they fail
	Target   Count
	Baseline Count
	Servers  int // target servers that contributed answers
	Window   time.Duration
}

// Thresholds of the comparison.
const (
	// A smaller difference cannot be told from noise in the answers of a canary.
	failedMargin = 0.03
	slowMargin   = 0.08
	// Once nearly all traffic has moved, the baseline's answers come from an earlier time. Their
	// latency is then no reference any more, and their failure rate a weaker one.
	failedMarginFull = 0.1
	// Minimum log likelihood ratio of the versions having separate rates of bad answers rather
	// than a common one: for all servers, and for the better half of them, which tells a bad
	// version from single bad servers. Noise reaches the first threshold once in 10,000
	// independent evaluations.
	minLogRatio      = 10
	minHalfLogRatio  = 5
	minBadAnswers    = 4
	minServerAnswers = 4 // answers of a server for it to be included
	minServers       = 4 // servers included, while more may still answer
)

// Time spans over which answers are compared. A version that turns bad shows in the short ones
// first.
var windows = []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, time.Hour}

// snapshot holds the counts of all gateways at a moment.
type snapshot struct {
	at     time.Time
	counts Report
}

// analyzer compares the versions by the reports of all gateways.
type analyzer struct {
	reports       map[string]Report // by gateway; the last report of gateways that have gone is kept
	carried       Report            // counts of gateways from before they restarted
	snapshots     []snapshot        // oldest first
	targetAnswers int               // known answers of the target version
}

const (
	// Interval of evaluations, whose cost grows with the number of gateways and count keys.
	evaluationInterval = 250 * time.Millisecond
	// Interval of the snapshots kept, which go back for the second longest window.
	snapshotInterval = 500 * time.Millisecond
)

func newAnalyzer() analyzer { return analyzer{reports: map[string]Report{}, carried: Report{}} }

// MergeReport takes over another gateway's counts, its stage, and the time since when it knows
// the order, from which a restarted gateway learns the age of the order. A rollback at the
// other gateway applies here too. If the other gateway is at a later stage, this one may
// follow without evidence of its own.
func (r *Rollout) MergeReport(from string, report Report, stage Stage, since time.Time) {
	if since.Before(r.OrderedAt) {
		r.OrderedAt = since
	}
	r.analyzer.merge(from, report)
	if stage == Reverted {
		r.Revert()
		return
	}
	r.maxRemoteStage = max(r.maxRemoteStage, stage)
}

func (a *analyzer) merge(from string, report Report) {
	if before := a.reports[from]; before.answers() > report.answers() {
		for key, n := range before { // the gateway has restarted
			a.carried[key] = a.carried[key].plus(n)
		}
	}
	a.reports[from] = report
}

func (r Report) answers() (sum uint32) {
	for _, n := range r {
		sum += n.Answers
	}
	return sum
}

// due reports whether it is time for the next evaluation.
func (a *analyzer) due(now time.Time) bool {
	n := len(a.snapshots)
	return n == 0 || now.Sub(a.snapshots[n-1].at) >= evaluationInterval
}

// takeSnapshot sums up all reports.
func (a *analyzer) takeSnapshot(now time.Time) {
	a.targetAnswers = 0
	s := snapshot{at: now, counts: Report{}}
	add := func(report Report) {
		for key, n := range report {
			s.counts[key] = s.counts[key].plus(n)
			if key.Target {
				a.targetAnswers += int(n.Answers)
			}
		}
	}
	add(a.carried)
	for _, report := range a.reports {
		add(report)
	}
	// Replace the latest snapshot until the one before it is old enough for both to be kept.
	if n := len(a.snapshots); n > 1 && now.Sub(a.snapshots[n-2].at) < snapshotInterval {
		a.snapshots = a.snapshots[:n-1]
	}
	a.snapshots = append(a.snapshots, s)
	longest := windows[len(windows)-2]
	for len(a.snapshots) > 2 && now.Sub(a.snapshots[1].at) >= longest {
		a.snapshots = a.snapshots[1:]
	}
}

// evaluate returns evidence that the target version is worse, or nil. early reports that some
// of its servers may not have answered yet.
func (a *analyzer) evaluate(stage Stage, early bool) *Evidence {
	if len(a.snapshots) == 0 {
		return nil
	}
	latest := a.snapshots[len(a.snapshots)-1]
	for _, window := range windows {
		if e := compareVersions(latest.counts, a.countsAt(latest.at.Add(-window)), stage, early); e != nil {
			e.Window = window
			return e
		}
	}
	return nil
}

// countsAt returns the counts at a time, or nil if the snapshots do not go back that far.
func (a *analyzer) countsAt(at time.Time) Report {
	var found Report
	for _, s := range a.snapshots {
		if s.at.After(at) {
			break
		}
		found = s.counts
	}
	return found
}

// compareVersions compares the versions by the answers counted between two moments, for each
// route and for all routes together (0).
func compareVersions(now, before Report, stage Stage, early bool) *Evidence {
	target := map[uint32]map[uint32]Count{0: {}} // by route and server
	window, overall := map[uint32]Count{}, map[uint32]Count{}
	for key, n := range now {
		d := n.minus(before[key])
		if !key.Target {
			window[key.Route], overall[key.Route] = d, n
			window[0], overall[0] = window[0].plus(d), overall[0].plus(n)
			continue
		}
		if target[key.Route] == nil {
			target[key.Route] = map[uint32]Count{}
		}
		target[key.Route][key.Server] = d
		target[0][key.Server] = target[0][key.Server].plus(d)
	}
	for route, servers := range target {
		b, sameTime := window[route], stage != Full && window[route].Answers >= minAnswers
		if !sameTime {
			b = overall[route]
		}
		if e := compareAnswers(b, sameTime, servers, early); e != nil {
			e.Route = route
			return e
		}
	}
	return nil
}

// compareAnswers returns evidence that the given servers give more bad answers than the
// baseline, or nil. sameTime reports that the baseline's answers are from the same time span.
func compareAnswers(baseline Count, sameTime bool, servers map[uint32]Count, early bool) *Evidence {
	required := 2 // a single server may fail for reasons of its own
	if early {
		required = minServers
	}
	failed := func(c Count) uint32 { return c.Failed }
	if !sameTime {
		return compareBad(baseline, servers, required, failed, failedMarginFull)
	}
	if e := compareBad(baseline, servers, required, failed, failedMargin); e != nil {
		return e
	}
	e := compareBad(baseline, servers, required, Count.bad, slowMargin)
	if e != nil {
		e.Slow = true
	}
	return e
}

// compareBad compares one kind of bad answers. The rate has to be higher for all servers
// together and, with lower thresholds, for the better half of them. At least required servers,
// and most of those that have answered, must have enough answers to be included.
func compareBad(baseline Count, servers map[uint32]Count, required int, bad func(Count) uint32, margin float64) *Evidence {
	included, answered := make([]Count, 0, len(servers)), 0
	for _, n := range servers {
		if n.Answers > 0 {
			answered++
		}
		if n.Answers >= minServerAnswers {
			included = append(included, n)
		}
	}
	if len(included) < max(required, answered/2+1) {
		return nil
	}
	slices.SortFunc(included, func(x, y Count) int { return cmp.Compare(rate(bad(y), y.Answers), rate(bad(x), x.Answers)) })
	var all, half Count
	for i, n := range included {
		all = all.plus(n)
		if i >= (len(included)+1)/2 {
			half = half.plus(n)
		}
	}
	exceeds := func(c Count, minRatio, margin float64) bool {
		k, n, k0, n0 := bad(c), c.Answers, bad(baseline), baseline.Answers
		return rate(k, n) >= rate(k0, n0)+margin && logLikelihoodRatio(k, n, k0, n0) >= minRatio
	}
	if bad(all) < minBadAnswers || !exceeds(all, minLogRatio, margin) || !exceeds(half, minHalfLogRatio, margin/2) {
		return nil
	}
	return &Evidence{Target: all, Baseline: baseline, Servers: len(included)}
}

func rate(k, n uint32) float64 { return float64(k) / max(float64(n), 1) }

// logLikelihoodRatio returns the log likelihood of k of n and k0 of n0 under separate rates,
// less that under a common rate.
func logLikelihoodRatio(k, n, k0, n0 uint32) float64 {
	common := rate(k+k0, n+n0)
	term := func(count uint32, p, q float64) float64 {
		if count == 0 {
			return 0
		}
		return float64(count) * math.Log(p/q)
	}
	gain := func(k, n uint32) float64 {
		return term(k, rate(k, n), common) + term(n-k, 1-rate(k, n), 1-common)
	}
	return gain(k, n) + gain(k0, n0)
}
