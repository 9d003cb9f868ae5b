// Package rollout moves a service's traffic to servers of a new version, or back. The new
// version first gets a small fraction of the requests (canary), and its answers are compared
// with those of the current version (baseline) in the same seconds. If the new version is
// worse, it gets no more requests; otherwise it gets a larger fraction, and then all.
//
// # Usage
//
//	r := rollout.New(order, since)
//	if r.TryTarget() { … }                            // try to send the next request to the new version
//	r.RecordSent(toTarget)                            // where it was sent
//	r.RecordAnswer(route, server, toTarget, a)        // how it was answered
//	r.MergeReport(from, report, stage, since)         // another gateway's report
//	r.Advance(now, fresh)                             // takes the next step; see r.Stage and r.Evidence
//
// # Exposure bound
//
// Gateways do not coordinate. Each sends at most a fraction of its own requests for the
// service to the new version. The fraction is the same at all gateways, so that it bounds the
// fleet's exposure for any number of them, even when some start, stop, are partitioned or do
// not know of each other. Reports of answers hold cumulative counts, so that a lost or
// repeated report does no harm. A gateway without fresh information sends nothing to the new
// version until that is in full use.
//
// # Verdicts
//
// Answers of the same seconds are compared, so that a problem that affects all servers counts
// against neither version.
//
// An answer is bad if it is a server error or takes several times as long as usual for its
// route. A version is worse if, on some route or over all routes, its rate of bad answers is
// higher by a margin and the difference is far beyond noise. Single bad servers are not held
// against their version: the better half of its servers has to be worse as well.
//
// The package does no locking and no I/O and does not read the clock. A Rollout must be used
// by one goroutine only.
package rollout

import (
	"time"

	"opalbridge.dev/gateway/catalog"
)

// Order is an operator's request to roll out a version.
type Order struct {
	Service  string
	Target   string // version that should get the traffic
	Duration time.Duration
	Revision catalog.Revision // of the store; identifies the order
}

// State is the state of a rollout as reported to operators.
type State int

// States of a rollout.
const (
	Unknown    State = iota // not reported yet
	InProgress              // both versions get requests
	Complete                // only the target gets requests; the other servers may be stopped
	RolledBack              // the target gets no requests
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"unknown", "in progress", "complete", "rolled back"}[s]
}

// Status is the reported state of an order.
type Status struct {
	State    State
	Target   string
	Revision catalog.Revision // of the store when it was written; 0: not written
}

// StateFor returns the state of the given order, or Unknown if the status belongs to an earlier
// one.
func (s Status) StateFor(o Order) State {
	if s.Target != o.Target || s.Revision < o.Revision {
		return Unknown
	}
	return s.State
}

// Stage is a step of a rollout.
type Stage int

// Stages of a rollout.
const (
	Canary   Stage = iota // few requests go to the target
	Expand                // a larger fraction goes to the target
	Full                  // all requests go to the target
	Reverted              // none do: the target is worse
)

// String implements fmt.Stringer.
func (s Stage) String() string { return [...]string{"canary", "expand", "move", "back"}[s] }

// Fractions of requests that the stages send to the target, and the times when the stages
// begin, as fractions of the order's duration. A version that turns bad just before Full has
// received 5% of all requests in the duration; the platform's limit is 10%. The rest of the
// duration is left for streams that still run at the old servers.
const (
	canaryShare = 0.05
	expandShare = 0.3
	expandAfter = 0.55
	fullAfter   = 0.62
)

// Observations required to leave a stage: minAnswers answers of the target, the first of them
// minObservation of the duration ago, or sufficientAnswers answers.
const (
	minAnswers        = 30
	minObservation    = 0.2
	sufficientAnswers = 200
)

// All target servers that take requests have answered some by this time after the first answer.
const earlyPeriod = 2 * time.Second

// Rollout is the execution of an order.
type Rollout struct {
	Order
	OrderedAt time.Time // time of the order, as far as known
	stage     Stage
	// Latest stage of any other gateway.
	maxRemoteStage Stage
	evidence       *Evidence
	fresh          bool
	// Number of requests that may be sent to the target, from -1 to 1. Each request adds the
	// stage's fraction.
	credit        float64
	counter       *counter
	analyzer      analyzer
	firstAnswerAt time.Time // when the first answer of the target was seen; zero: none yet
	fullSince     time.Time // since when all requests go to the target; zero: they do not
}

// New returns the rollout of an order that was given at the time since.
func New(o Order, since time.Time) *Rollout {
	return &Rollout{Order: o, OrderedAt: since, counter: newCounter(), analyzer: newAnalyzer()}
}

// Stage returns the current stage.
func (r *Rollout) Stage() Stage { return r.stage }

// FullSince returns since when all requests go to the target, or zero if they do not.
func (r *Rollout) FullSince() time.Time { return r.fullSince }

// Evidence returns what has shown this gateway that the target is worse, or nil.
func (r *Rollout) Evidence() *Evidence { return r.evidence }

// TargetShare returns the fraction of requests that goes to the target.
func (r *Rollout) TargetShare() float64 {
	switch {
	case r.stage == Full:
		return 1
	case r.stage == Reverted, !r.fresh:
		return 0
	case r.stage == Expand:
		return expandShare
	default:
		return canaryShare
	}
}

// TargetServers returns how many of all target servers take requests. Each gets as much load
// as it will in the end, since some versions fail only under load.
func (r *Rollout) TargetServers(total int) int {
	const minTargets = 4 // to tell a bad server from a bad version
	n := int(float64(total)*r.TargetShare() + 0.999)
	return min(max(n, minTargets), total)
}

// TryTarget reports whether the next request should try the target.
func (r *Rollout) TryTarget() bool {
	share := r.TargetShare()
	return share > 0 && r.credit+share >= 1
}

// RecordSent records whether a request was sent to the target.
func (r *Rollout) RecordSent(toTarget bool) {
	r.credit += r.TargetShare()
	if toTarget {
		r.credit--
	}
	r.credit = min(max(r.credit, -1), 1)
}

// Advance takes the next step. fresh reports whether this gateway has fresh information from
// the other gateways and the operators.
func (r *Rollout) Advance(now time.Time, fresh bool) {
	r.fresh = fresh
	if r.stage == Reverted {
		return
	}
	if !r.analyzer.due(now) {
		return
	}
	r.analyzer.merge(localGateway, r.Report())
	r.analyzer.takeSnapshot(now)
	answers := r.analyzer.targetAnswers
	if answers > 0 && r.firstAnswerAt.IsZero() {
		r.firstAnswerAt = now
	}
	if r.evidence = r.analyzer.evaluate(r.stage, now.Sub(r.firstAnswerAt) < earlyPeriod); r.evidence != nil {
		r.Revert()
		return
	}
	enough := r.maxRemoteStage > r.stage || answers >= sufficientAnswers || answers >= minAnswers && now.Sub(r.firstAnswerAt) >= r.durationPart(minObservation)
	age := now.Sub(r.OrderedAt)
	switch {
	case !enough || !fresh:
	case r.stage == Canary && age >= r.durationPart(expandAfter):
		r.stage = Expand
	case r.stage == Expand && age >= r.durationPart(fullAfter):
		r.stage, r.fullSince = Full, now
	}
}

// Revert ends all traffic to the target, after evidence here, at another gateway, or on
// an operator's decision.
func (r *Rollout) Revert() { r.stage, r.fullSince = Reverted, time.Time{} }

// durationPart returns a fraction of the order's duration.
func (r *Rollout) durationPart(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.Duration))
}
