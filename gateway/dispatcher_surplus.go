package gateway

import (
	"cmp"
	"math"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer/peerpb"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/surplus"
)

// This file connects the dispatcher with package surplus, which decides on requests beyond their
// account's share if the settings ask for it and the configuration has a token rate.

// minRetryAge is the age from which a request counts as a retry of one that was refused: a new one is
// decided on within some milliseconds, and refused ones return after 200 ms or more.
const minRetryAge = 100 * time.Millisecond

// usesSurplus reports whether package surplus decides.
func (d *dispatcher) usesSurplus() bool {
	return d.settings.Features.IdleSurplus != Off && d.view.Configuration != nil && d.view.Configuration.Limits.TokensPerSecond > 0
}

// setSurplus adds the table to the decisions, or removes it, as the configuration says.
func (d *dispatcher) setSurplus() {
	var services map[string]bool
	used := d.usesSurplus()
	if used && d.settings.Features.IdleSurplus == Auto {
		services = d.surplusServices(d.view.Configuration)
		used = len(services) > 0
	}
	switch {
	case used && d.surplus == nil:
		d.surplus = surplus.NewTable(func(account string) float64 { return d.shares.Status(account).ShareRatio })
	case !used:
		d.surplus = nil
	}
	d.balancer.SetSurplus(d.surplus, services)
	d.tolerantStreams.Store(d.allStreamsTolerant(d.view.Configuration))
}

// surplusServices returns the services whose configuration calls for package surplus. What is served
// beyond the shares lengthens other streams, so pauses of streams have to be regarded; and a caller
// that is refused must be able to come back in time.
func (d *dispatcher) surplusServices(c *catalog.Configuration) map[string]bool {
	services := map[string]bool{}
	for service, objective := range shortestObjectives(c, func(r *catalog.Route) bool { return r.Kind == catalog.Stream }) {
		if objective >= surplus.MinObjective && d.balancer.RegardsPauses(service) {
			services[service] = true
		}
	}
	return services
}

// allStreamsTolerant reports whether every service with streams is one of surplusServices: a hop more, or
// another gateway, costs such callers little.
func (d *dispatcher) allStreamsTolerant(c *catalog.Configuration) bool {
	if c == nil {
		return false
	}
	services := d.surplusServices(c)
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			if r.Kind == catalog.Stream && !services[t.Service] {
				return false
			}
		}
	}
	return len(services) > 0
}

// shortestObjectives returns the shortest objective of the routes that are included, by service.
// Routes without one do not count.
func shortestObjectives(c *catalog.Configuration, included func(r *catalog.Route) bool) map[string]time.Duration {
	shortest := map[string]time.Duration{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Objective <= 0 || !included(r) {
			continue
		}
		for _, t := range r.Targets {
			if known, ok := shortest[t.Service]; !ok || r.Objective < known {
				shortest[t.Service] = r.Objective
			}
		}
	}
	return shortest
}

// recordDecision records unmet demand of the request's account, or that it was met, and schedules
// the retry of a refused request. queued reports whether the request was waiting before.
func (d *dispatcher) recordDecision(now time.Time, m placementRequest, decision placement.Decision, queued bool) placement.Decision {
	switch decided := decision.(type) {
	case placement.Refuse:
		if d.surplus != nil { // it takes as long as a decision
			decided.BesideIdle = d.balancer.HasSuitable(now, m.request)
		}
		if decided.Reason == placement.OverShare && d.surplus != nil {
			rate := d.shares.LocalRate(now, m.request.Account)
			decided.RetryAfter = d.surplus.RetryAfter(now, surplus.Retry{
				Account: m.request.Account, Tokens: m.tokens, Remaining: m.request.Remaining, Objective: m.request.Objective,
			}, rate)
		}
		d.recordUnmet(now, m, decided.Reason, decided.Surplus, queued)
		return decided
	case placement.Hold:
		d.recordUnmet(now, m, decided.Reason, decided.Surplus, queued)
	case placement.Assign:
		if d.surplus != nil && (queued || now.Sub(m.request.FirstAttempt) >= minRetryAge) {
			d.surplus.RecordServed(now, m.request.Account, m.request.Priority, m.tokens)
		}
	}
	return decision
}

// recordStreamEnd records whether a stream within its account's share paused for too long. While this
// process runs late, that says nothing about the servers.
func (d *dispatcher) recordStreamEnd(now time.Time, m attemptEnded) {
	if d.surplus == nil || !m.withinShare || m.events == 0 || m.end != placement.Served || d.unreliable(now, now.Add(-catchUpTime)) {
		return
	}
	d.surplus.RecordStream(now, m.service, m.paused)
}

// recordUnmet records a request that was refused or waits, unless no server would be given to it
// even if accounts behind it got none.
func (d *dispatcher) recordUnmet(now time.Time, m placementRequest, r placement.Reason, s placement.Surplus, queued bool) {
	if d.surplus == nil || m.request.Account == "" || m.request.Capped || r != placement.OverShare && r != placement.TooLate {
		return
	}
	u := surplus.Demand{
		Account: m.request.Account, Priority: m.request.Priority, FirstAttempt: m.request.FirstAttempt, Tokens: m.tokens,
		Need: s.Need,
	}
	if r == placement.TooLate && !d.balancer.HasIdle(now, m.request) {
		u.Need = 0 // within its share it takes any server that becomes idle
	}
	if queued {
		u.Tokens = 0 // they were counted when it was queued
	}
	d.surplus.RecordUnmet(now, u)
}

// applyUnmet takes over the unmet demand that another gateway has reported.
func (d *dispatcher) applyUnmet(now time.Time, list []*peerpb.Demand) {
	if d.surplus == nil {
		return
	}
	var demands []surplus.Demand
	for _, p := range list {
		if p.Unmet == 0 {
			continue
		}
		demands = append(demands, surplus.Demand{
			Account: p.Account, Priority: int(p.Priority), Tokens: float64(p.Unmet), Need: float64(p.Need) / needUnit,
			FirstAttempt: now.Add(-time.Duration(p.OldestMs) * time.Millisecond),
			Recent:       now.Add(-time.Duration(p.RecentMs) * time.Millisecond),
		})
	}
	d.surplus.RecordRemote(now, demands)
}

// addUnmet adds this gateway's unmet demand to what it reports of its accounts.
func (d *dispatcher) addUnmet(now time.Time, list []*peerpb.Demand) {
	if d.surplus == nil {
		return
	}
	demands := d.surplus.OwnDemands(now)
	every := (d.fleetSize()*len(demands) + maxUnmetReports - 1) / maxUnmetReports
	if every > 1 && (uint64(d.shareUpdates)+hashString(d.settings.Address))%uint64(every) != 0 {
		return
	}
	for _, p := range list {
		u, ok := demands[p.Account]
		if !ok {
			continue
		}
		u.Tokens *= float64(max(every, 1)) // for the gateways that report at other times
		p.Unmet, p.Priority = uint32(min(max(u.Tokens, 1), maxReportedTokens)), uint32(u.Priority)
		p.Need = uint32(min(math.Ceil(u.Need*needUnit), maxReportedNeed))
		p.OldestMs, p.RecentMs = reportedMilliseconds(now.Sub(u.FirstAttempt)), reportedMilliseconds(now.Sub(u.Recent))
	}
}

// maxUnmetReports bounds the accounts whose unmet demand all gateways together report in a share
// interval, so that a gateway reads less than 10 KB/s of it, whatever the number of gateways. In a
// larger fleet each gateway reports only at every so many intervals: it matters that an account has
// unmet demand, not at how many gateways.
const maxUnmetReports = 144

// Limits of reported unmet demand: more tokens than any fleet processes in half a second, and an
// age beyond any caller's patience.
const (
	maxReportedTokens = 1 << 30
	maxReportedAge    = time.Hour
	// Needs are reported in hundredths; no server is a hundred times as fast as the nominal speed.
	needUnit        = 100
	maxReportedNeed = 100 * needUnit
)

func reportedMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxReportedAge).Milliseconds())
}

// comparePositions compares waiting requests by the order in which they get capacity: first those
// within their account's share, whatever the others' priority. Of requests that differ only in age, those
// that are late already come last: with too little capacity for all, serving the oldest first
// made nearly all late.
func comparePositions(x, y *waiter) int {
	p, q := x.position(), y.position()
	p.FirstAttempt, q.FirstAttempt = time.Time{}, time.Time{}
	return cmp.Or(
		compareBools(x.hold.Reason == placement.OverShare, y.hold.Reason == placement.OverShare),
		p.Compare(q),
		compareBools(x.message.request.Objective < 0, y.message.request.Objective < 0),
		x.original.FirstAttempt.Compare(y.original.FirstAttempt),
	)
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// position returns the waiter's place in the order.
func (w *waiter) position() surplus.Position {
	return surplus.Position{Priority: w.original.Priority, ShareRatio: w.shareRatio, FirstAttempt: w.original.FirstAttempt}
}

// longestSurplusHold returns how long a request beyond its account's share is held at most for a
// server to become idle.
func (d *dispatcher) longestSurplusHold(r *placement.Request) time.Duration {
	if d.surplus != nil {
		return surplus.LongestIdleWait(r.Objective + r.Waited)
	}
	return d.settings.Policy.SurplusHold(r)
}

// waitsForIdle reports whether a waiter gets no server in this scan whatever its place: it is beyond an
// even share, and no server is idle. Without this, an account with many such requests would use up
// the decisions of each scan, and others would not be looked at.
func (d *dispatcher) waitsForIdle(now time.Time, w *waiter) bool {
	return d.surplus != nil && w.hold.Reason == placement.OverShare && w.shareRatio > d.settings.Policy.MaxIdleShareRatio &&
		now.Sub(w.since) < d.longestSurplusHold(&w.original) && !d.balancer.HasIdle(now, &w.original)
}

// surplusFields are the log fields of a decision on surplus capacity.
type surplusFields placement.Surplus

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (f surplusFields) MarshalZerologObject(e *zerolog.Event) {
	if f.Reason != "" {
		e.Str("surplus", string(f.Reason))
	}
	if f.Ahead != "" {
		e.Str("account_ahead", f.Ahead)
	}
}

// sendFirstBlocked makes room in the full queue for a waiter: of the requests, including this one,
// that wait although servers are idle, because other accounts are ahead or for a server that caches
// more of the prompt, it sends the first in order. Otherwise a request would be refused beside an
// idle server. It reports whether the waiter was queued or sent.
func (d *dispatcher) sendFirstBlocked(now time.Time, w *waiter) bool {
	var first *waiter
	for _, x := range append(d.queue.waiters[:len(d.queue.waiters):len(d.queue.waiters)], w) {
		if r := x.hold.Surplus.Reason; r != surplus.Behind && r != surplus.NoneCached {
			continue
		}
		if !x.cancelled() && (first == nil || comparePositions(x, first) < 0) {
			first = x
		}
	}
	if first == nil {
		return false
	}
	first.refresh(now)
	request := first.message.request
	waited := request.Waited
	request.Waited = request.FullObjective + time.Hour // longer than any request waits for these reasons
	assign, ok := d.decide(now, first.message).(placement.Assign)
	request.Waited = waited
	if !ok {
		return false
	}
	first.message.reply <- d.recordDecision(now, first.message, assign, true)
	if first != w {
		d.queue.remove(first)
		d.queue.add(w)
	}
	return true
}
