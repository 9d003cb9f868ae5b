package placement

import (
	"slices"
	"time"

	"opalbridge.dev/gateway/surplus"
)

// Surplus says whether and why a request beyond its account's share got capacity that was idle.
type Surplus struct {
	Reason surplus.Reason // empty: the request was within its account's share, or package surplus is not used
	Ahead  string         // account that is ahead in order and has unmet demand; empty: none
	Need   float64        // see [surplus.Need]; only of requests that are not sent
}

// SetSurplus lets a table decide on requests to some services beyond their account's share; nil: to
// all services. Without a table the policy decides by itself, from how far the account is ahead.
func (b *Balancer) SetSurplus(t *surplus.Table, services map[string]bool) {
	b.surplus, b.surplusServices = t, services
}

// decidesSurplus reports whether the table decides on a request.
func (b *Balancer) decidesSurplus(now time.Time, req *Request) bool {
	return b.concernsSurplus(req) && !b.surplus.StreamsLate(now, req.Service)
}

// concernsSurplus reports whether a request is beyond its account's share, at a service to which surplus
// applies.
func (b *Balancer) concernsSurplus(req *Request) bool {
	if b.surplus == nil || b.surplusServices != nil && !b.surplusServices[req.Service] {
		return false
	}
	return req.Objective != 0 && req.OverShare && req.HoldReason != TooLate
}

// fullObjective returns the objective of the request's route.
func (req *Request) fullObjective() time.Duration {
	if req.FullObjective > 0 {
		return req.FullObjective
	}
	return req.Objective + req.Waited
}

// position returns the request's place in the order in which requests get capacity.
func (req *Request) position() surplus.Position {
	return surplus.Position{Priority: req.Priority, ShareRatio: req.ShareRatio, FirstAttempt: req.FirstAttempt}
}

// firstSurplusMiss is how many tokens of shared parts a server may prefill again for a request beyond
// its account's share, if another server holds them, until the request has waited for a while for
// one that does. With Policy.MaxSurplusMissTokens from the start, 3.0 million tokens of a day were
// prefilled again rather than 2.2 million.
const firstSurplusMiss = 100

// maxSurplusMiss returns how many tokens of shared parts a server may prefill again for a request
// now: rather than refuse it, an idle server does.
func (b *Balancer) maxSurplusMiss(req *Request) int {
	if req.Waited < surplus.LongestIdleWait(req.fullObjective())/2 {
		return firstSurplusMiss
	}
	return b.policy.MaxSurplusMissTokens
}

// maxSuitable is how many suitable servers are compared: finding the cheapest of all takes three
// times as long.
const maxSuitable = 12

// placeSurplus decides on a request beyond its account's share. best is its cheapest candidate and
// r why it should not go there by the policy. What the policy grants to accounts with less than an
// even share, it grants at once, whoever is ahead.
func (b *Balancer) placeSurplus(now time.Time, req *Request, servers []*server, best candidate, r Reason) (candidate, Reason, surplus.Decision) {
	granted := surplus.Decision{Action: surplus.Grant, Reason: surplus.ByShare}
	if r == InTime && req.ShareRatio <= b.policy.MaxIdleShareRatio {
		return best, r, granted
	}
	objective := req.fullObjective()
	state := b.surplusState(now, best)
	uncached := false
	if !req.Capped && (!state.Suits(objective) || best.sharedMissTokens > b.maxSurplusMiss(req) && b.isCached(req, servers)) {
		c, ok := candidate{}, false
		c, ok, uncached = b.cheapestSuitable(now, req, servers)
		switch {
		case ok:
			best, state = c, b.surplusState(now, c)
		case r == InTime:
			return best, r, granted // many servers are idle, though not this one
		default:
			if r == OverShare && req.ShareRatio <= b.policy.MaxIdleShareRatio {
				if c, ok := b.cheapestIdle(now, req, servers); ok {
					return c, InTime, granted
				}
			}
			uncached = uncached || state.Suits(objective)
			state.Slots = 0 // no server suits
		}
	}
	state.Spare = b.spareTokens(now, req, servers)
	d := b.surplus.Decide(now, surplus.Request{
		Position: req.position(), Account: req.Account, Tokens: float64(req.PromptTokens), Capped: req.Capped, Objective: objective, Waited: req.Waited,
	}, state)
	if d.Reason == surplus.NoneIdle && uncached {
		d.Reason = surplus.NoneCached
	}
	switch d.Action {
	case surplus.Grant:
		return best, InTime, d
	case surplus.Wait:
		return best, OverShare, d // a request held as late would be exempt from its account's share
	}
	return best, r, d
}

// isCached reports whether one of the servers holds nearly all shared parts of a request.
func (b *Balancer) isCached(req *Request, servers []*server) bool {
	return slices.ContainsFunc(servers, func(s *server) bool {
		_, missing := s.cache.match(req)
		return missing <= firstSurplusMiss
	})
}

// surplusState returns what package surplus needs to know of a candidate.
func (b *Balancer) surplusState(now time.Time, c candidate) surplus.Server {
	return surplus.Server{
		Predicted: c.predicted, QueueTime: c.server.busyUntil.Sub(now), // copies of cached parts do not count as queued
		Running: c.server.localRunning + c.server.remoteRunning, Slots: c.server.slots(), DelaysStreams: c.server.delaysStreams(now), Slowness: c.server.slowdown(now),
	}
}

// cheapestSuitable returns the cheapest server that has surplus capacity for a request and caches
// nearly all shared parts of it, so that no cache fills up with parts that other servers hold. ok
// is false if there is none, and uncached reports whether some are idle that cache less.
func (b *Balancer) cheapestSuitable(now time.Time, req *Request, servers []*server) (best candidate, ok, uncached bool) {
	most := b.maxSurplusMiss(req)
	found := 0
	from := int(req.TieBreak % uint64(len(servers)))
	for i := range servers {
		s := servers[(from+i)%len(servers)]
		if !s.isIdle(now) {
			continue
		}
		cached, missing := s.cache.match(req)
		if missing > most && (uncached || missing > b.policy.MaxSurplusMissTokens) || s.isTooSlow(req, cached, b.policy) {
			continue
		}
		if missing > most {
			uncached = true
			continue
		}
		c := b.evaluate(now, req, s, cacheHolder{})
		if !b.surplusState(now, c).Suits(req.fullObjective()) {
			continue
		}
		if !ok || c.cost < best.cost {
			best, ok = c, true
		}
		if found++; found == maxSuitable {
			break
		}
	}
	return best, ok, uncached
}

// isTooSlow reports whether a server that caches so much of a request could not send its first event
// within the part of the objective that is asked for even if it were as fast as any server.
func (s *server) isTooSlow(req *Request, cached int, p Policy) bool {
	fastest := scale(p.prefillTime(req.PromptTokens-cached, req.PromptTokens), s.speed.prefillSlowdown.value*minRelativeSlowdown)
	return fastest+s.speed.firstEventTime() > scale(req.fullObjective(), surplus.ObjectiveFraction)
}

// spareTokens returns how many prompt tokens the idle servers could prefill within the part of the
// objective in which surplus capacity must send a first event.
func (b *Balancer) spareTokens(now time.Time, req *Request, servers []*server) float64 {
	idle := 0
	for _, s := range servers {
		if s.isIdle(now) {
			idle++
		}
	}
	speed := servers[0].speed
	available := scale(req.fullObjective(), surplus.ObjectiveFraction) - speed.firstEventTime()
	return float64(idle) * max(available.Seconds(), 0) * 1000 * b.policy.PrefillTokensPerMS / speed.prefillSlowdown.value
}

// isIdle reports whether a server has no prefill backlog and at least half of its slots are free.
func (s *server) isIdle(now time.Time) bool {
	return surplus.Server{QueueTime: s.busyUntil.Sub(now), Running: s.localRunning + s.remoteRunning, Slots: s.slots()}.IsIdle()
}

// HasIdle reports whether a server that may get the request is idle: it has no prefill backlog and
// at least half of its slots are free.
func (b *Balancer) HasIdle(now time.Time, req *Request) bool {
	servers, _ := b.available(now, req)
	for _, s := range servers {
		if s.engine != nil && s.isIdle(now) {
			return true
		}
	}
	return false
}

// HasSuitable reports whether an idle server could send the first event of a request within the
// part of its objective that package surplus asks for. Refusals beside such servers are counted.
func (b *Balancer) HasSuitable(now time.Time, req *Request) bool {
	if req.Objective == 0 {
		return false
	}
	servers, _ := b.available(now, req)
	for _, s := range servers {
		if s.engine == nil || !s.isIdle(now) {
			continue
		}
		if cached, _ := s.cache.match(req); s.isTooSlow(req, cached, b.policy) {
			continue
		}
		if b.surplusState(now, b.evaluate(now, req, s, cacheHolder{})).Suits(req.fullObjective()) {
			return true
		}
	}
	return false
}
