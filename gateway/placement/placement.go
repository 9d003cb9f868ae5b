// Package placement decides which backend server serves a request, or that no server can
// serve it in time. It keeps a model of each server: its prefill backlog, the requests in
// flight there, the prompt prefixes in its cache, and its recent failure rate.
//
// # Usage
//
//	b := placement.NewBalancer(placement.DefaultPolicy())
//	b.SetServers(now, servers, engineOf)
//	switch d := b.Place(now, request).(type) {
//	case placement.Assign:   // send it to d.Server, then call b.RecordSent(now, d.Load, true)
//	case placement.Hold:     // queue it and ask again soon
//	case placement.Refuse:   // tell the caller to retry after d.RetryAfter
//	case placement.NoServer: // no server of the service takes work
//	}
//
// Requests that other gateways send are reported through [Balancer.RecordSent] as well, so
// that all gateways see the same load within a few milliseconds. An error in the model costs
// latency, never correctness.
//
// The package does no locking and no I/O and does not read the clock: every call passes the
// current time. A Balancer must be used by one goroutine only.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/slots"
	"opalbridge.dev/gateway/surplus"
)

// Part is a segment of a prompt that requests may share, identified by a hash of its ID.
type Part struct {
	Hash   uint64
	Tokens int
}

// Request describes a request to place.
type Request struct {
	Service        string
	Account        string
	Parts          []Part          // of the prompt, in order; the last one belongs to this request alone
	PromptTokens   int             // length of the whole prompt
	OutputTokens   int             // expected length of the answer
	Objective      time.Duration   // time left until the first event is late, counted from the caller's first attempt; negative: already late; 0: no objective
	CallerTimeout  time.Duration   // time left until the caller stops waiting for the first event
	Remaining      time.Duration   // time left until an answer is of no use to the caller
	HoldReason     Reason          // why it has been held so far
	Waited         time.Duration   // time it has been held
	OverShare      bool            // the account has used up its fair share of the fleet
	Capped         bool            // the account is so far ahead of a backlogged account that it gets no surplus capacity
	ShareRatio     float64         // tokens admitted for the account over an even share of all admitted tokens; 0: unknown
	Exclude        []string        // servers already tried
	Withheld       map[string]bool // servers withheld from requests of this kind; shared, must not be modified
	Regions        catalog.Regions // regions in which it may be served
	Pinned         bool            // it continues a stream, so only servers of Version may run it
	Version        string          // software version that began the stream, if Pinned; empty: unknown, so no server may run it
	Hall           string          // hall of the gateway
	Priority       int             // 0 is the most urgent
	Ahead          int             // requests that wait for a slot of the service at this gateway and go before it
	Behind         int             // requests to its plain service that wait at this gateway and go later
	MaxEventGap    time.Duration   // longest interval between events within the objective; 0: none
	Route          string          // name of its route
	ExpectedOutput int             // OutputTokens as corrected by earlier answers; 0: not corrected
	FullObjective  time.Duration   // the whole objective of its route; 0: Objective and Waited together
	FirstAttempt   time.Time       // when its caller first tried
	TieBreak       uint64          // random; chooses among servers of similar cost
	MayBackUp      bool            // its run may be backed up at another server
}

// Decision is the result of [Balancer.Place].
type Decision interface{ decision() }

// Assign sends the request to a server.
type Assign struct {
	Server           catalog.Server
	Load             Load
	Predicted        time.Duration // time until the first event
	QueueTime        time.Duration // of Predicted: until the server begins to process the prompt
	PrefillTime      time.Duration // of Predicted: prefill of the part of the prompt that is not cached
	NominalLatency   time.Duration // prefill and first event at a server of median speed, without queueing
	SharedMissTokens int           // tokens of shared parts that are not in the server's cache
	CopyFrom         string        // address of a server that caches more of the prompt; empty: none
	ID               uint64        // set by the caller of Place to identify the assignment
	SendBefore       time.Time     // the request must not be sent later than this; zero: no limit
	Pause            time.Duration // longest pause of the streams there after it; 0: unknown
	LateShare        float64       // share of these streams that is expected to be late because of it
	Avoided          Avoided
	Surplus          Surplus
	Backup           catalog.Server // set by the caller of Place: where the run is backed up; zero: nowhere
}

// Refuse means that the request is not served now and the caller should retry later.
type Refuse struct {
	RetryAfter time.Duration
	Predicted  time.Duration // time until the first event at the best server
	Reason     Reason
	Surplus    Surplus
	Avoided    Avoided
	BesideIdle bool // set by the caller of Place; see [Balancer.HasSuitable]
}

// Hold means that the request should wait for capacity while other requests go first.
// The caller asks again soon.
type Hold struct {
	Predicted   time.Duration // time until the first event at the best server now
	PrefillTime time.Duration // of Predicted: prefill of the part of the prompt that is not cached
	Reason      Reason
	Surplus     Surplus
}

// NoServer means that no server of the service takes work.
type NoServer struct{}

func (Assign) decision()   {}
func (Refuse) decision()   {}
func (Hold) decision()     {}
func (NoServer) decision() {}

// Load is the load that a request puts on a server.
type Load struct {
	Server      string        // ID of the server's lifetime
	Work        time.Duration // prefill time of the part of the prompt that is not cached there
	Parts       []uint64      // hashes of the prompt's parts, in order
	CacheTokens int           // cache space taken: uncached prompt tokens and the answer
	HeldTokens  int           // the same with the corrected length of the answer; 0: not counted
}

// Balancer models all servers and places requests on them.
type Balancer struct {
	policy      Policy
	servers     map[string]*server
	services    map[string][]*server     // sorted by ID
	speeds      map[string]*speed        // by service
	regions     map[string]string        // by hall
	pauseLimits map[string]time.Duration // longest pause of streams, by service
	slots       *slots.Model             // nil: requests to plain servers do not wait for slots

	slotServers     []slots.Server  // of the latest decision, kept for its memory
	surplus         *surplus.Table  // decides on requests beyond their account's share; nil: the policy does
	surplusServices map[string]bool // to which surplus applies; nil: all
	slotServices    map[string]bool // plain services whose requests wait for slots; nil: all
}

// NewBalancer returns a Balancer without servers.
func NewBalancer(p Policy) *Balancer {
	return &Balancer{policy: p, servers: map[string]*server{}, services: map[string][]*server{}, speeds: map[string]*speed{}}
}

// server is the model of one server.
type server struct {
	catalog.Server
	idHash           uint64 // hash of its ID
	engine           *catalog.Engine
	speed            *speed        // shared by all servers of its service
	busyUntil        time.Time     // when its prefill backlog will be empty
	sentWork         time.Duration // total work sent to it
	progress         progress      // at the last update of its slowdown
	observedTime     float64       // decaying sum of the seconds taken for observedWork
	observedWork     float64       // decaying sum of seconds of nominal work
	cache            prefixCache   // prompt parts
	localRunning     int           // requests of this gateway in flight
	remoteRunning    int           // requests of the other gateways in flight
	failures         float64       // decaying count of failures
	successes        float64       // decaying count of successes
	decayedAt        time.Time
	ejectedUntil     time.Time // unreachable; gets no work before this time
	closedUntil      time.Time // cold; gets no work before this time
	ejection         time.Duration
	backoff          backoff
	announcedLeaving bool // it has announced that it leaves, but its entry does not say so yet
	decoding         decoding
}

// SetServers replaces the set of servers. engine returns a service's engine, or nil for a
// plain service. The state of servers that remain is kept.
func (b *Balancer) SetServers(now time.Time, list []catalog.Server, engine func(service string) *catalog.Engine) {
	kept := map[string]*server{}
	b.services = map[string][]*server{}
	for _, s := range list {
		m := b.servers[s.ID]
		if m == nil {
			m = &server{idHash: hashID(s.ID), cache: prefixCache{parts: map[uint64]cachedPart{}}, busyUntil: now, decayedAt: now}
		}
		m.Server, m.engine, m.speed = s, engine(s.Service), b.speedOf(s.Service)
		m.cache.capacity = b.policy.cacheSize(m.engine)
		b.applyPauseLimit(m)
		kept[s.ID] = m
		b.services[s.Service] = append(b.services[s.Service], m)
	}
	b.servers = kept
	for _, group := range b.services {
		slices.SortFunc(group, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	}
}

// Place decides where a request goes. It changes no state; call [Balancer.RecordSent] when
// the request is sent.
func (b *Balancer) Place(now time.Time, req *Request) Decision {
	servers, next := b.available(now, req)
	if len(servers) == 0 {
		return b.placeUnavailable(now, req, next)
	}
	if servers[0].engine == nil {
		return b.placePlain(now, req, servers)
	}
	return b.placeEngine(now, req, servers)
}

// availability is the earliest time at which one of the servers that take no work now does
// so again, and why it takes none. The zero value means that there is no such server.
type availability struct {
	at     time.Time
	reason Reason
}

// earliest moves the availability to the given time if that is earlier.
func (c *availability) earliest(at time.Time, r Reason) {
	if c.at.IsZero() || at.Before(c.at) {
		*c = availability{at, r}
	}
}

// placeUnavailable decides on a request for which no server takes work now.
func (b *Balancer) placeUnavailable(now time.Time, req *Request, next availability) Decision {
	if next.at.IsZero() {
		return NoServer{}
	}
	wait := next.at.Sub(now)
	if next.reason == BackingOff && b.canWait(req, wait) {
		return Hold{Predicted: wait, Reason: BackingOff}
	}
	return Refuse{RetryAfter: max(wait, b.policy.MinRetryAfter), Reason: next.reason}
}

// available returns the servers of the service that take work. Ejected servers are left out
// unless all are ejected; cold servers and those that back off are always left out. next is
// when the first of these takes work again.
func (b *Balancer) available(now time.Time, req *Request) (available []*server, next availability) {
	var up, ejected []*server
	for _, s := range b.services[req.Service] {
		if !b.eligible(req, s) {
			continue
		}
		if now.Before(s.closedUntil) {
			next.earliest(s.closedUntil, Cold)
			continue
		}
		if s.backoff.allowed != 0 {
			if at := s.backoff.nextSend(now, s.slots()); now.Before(at) {
				next.earliest(at, BackingOff)
				continue
			}
		}
		if now.Before(s.ejectedUntil) {
			ejected = append(ejected, s)
			continue
		}
		up = append(up, s)
	}
	if len(up) > 0 {
		return up, next
	}
	return ejected, next
}

// MarkLeaving records that a server has announced that it leaves. It applies until the
// server's entry is removed; by then SetServers reflects it.
func (b *Balancer) MarkLeaving(server string) {
	if s := b.servers[server]; s != nil {
		s.announcedLeaving = true
	}
}

// eligible reports whether a request may go to a server, now or later.
func (b *Balancer) eligible(req *Request, s *server) bool {
	return !s.Leaving && !s.announcedLeaving && !s.Evacuated && !req.Withheld[s.ID] && req.allowsVersion(s) && b.inAllowedRegion(req, s) && !slices.Contains(req.Exclude, s.ID)
}

// allowsVersion reports whether a server's software version may run the request. Events of
// different versions must not be joined in one stream, and servers do not check that.
func (req *Request) allowsVersion(s *server) bool {
	return !req.Pinned || req.Version != "" && s.Version == req.Version
}

// inAllowedRegion reports whether a request may be served in a server's region.
func (b *Balancer) inAllowedRegion(req *Request, s *server) bool {
	return req.Regions == nil || req.Regions.Allows(b.regions[s.Hall])
}

// SetRegions sets the region of each hall.
func (b *Balancer) SetRegions(byHall map[string]string) { b.regions = byHall }

// CloseUntil keeps a cold server from getting work until the given time, replacing any
// earlier time. A time in the past opens the server.
func (b *Balancer) CloseUntil(server string, until time.Time) {
	if s := b.servers[server]; s != nil {
		s.closedUntil = until
	}
}

// placePlain chooses the server with the lowest relative load, preferring the gateway's
// hall.
func (b *Balancer) placePlain(now time.Time, req *Request, servers []*server) Decision {
	if b.slots != nil {
		if d, ok := b.placeInSlots(now, req, servers); ok {
			return d
		}
	}
	best := slices.MinFunc(servers, func(x, y *server) int { return cmp.Compare(b.plainCost(now, req, x), b.plainCost(now, req, y)) })
	return Assign{Server: best.Server, Load: Load{Server: best.ID}}
}

// plainCost returns the cost of a plain server: its load, recent failures and distance.
func (b *Balancer) plainCost(now time.Time, req *Request, s *server) float64 {
	c := float64(s.localRunning+s.remoteRunning) / float64(max(s.Capacity, 1))
	c += b.policy.PlainFailureCost * s.failureRate(now)
	if s.Hall != req.Hall {
		c += b.policy.PlainCrossHallCost
	}
	return c
}

func (b *Balancer) placeEngine(now time.Time, req *Request, servers []*server) Decision {
	all := servers
	servers, full := b.withMemory(req, all)
	best, avoided := b.cheapest(now, req, servers)
	cheapest := best.server
	r := b.deferReason(now, req, best)
	var granted surplus.Decision
	if b.decidesSurplus(now, req) {
		best, r, granted = b.placeSurplus(now, req, servers, best, r)
	} else if r == OverShare && req.ShareRatio <= b.policy.MaxIdleShareRatio {
		if c, ok := b.cheapestIdle(now, req, servers); ok {
			best, r = c, InTime
		}
	}
	if best.server != cheapest {
		avoided = Avoided{} // its account's share decided
	} else if len(servers) < len(all) {
		avoided = b.avoidedFull(now, req, all, best, avoided)
	}
	avoided.FullServers, avoided.FitsNowhere = full, full == len(all)
	why := Surplus{Reason: granted.Reason, Ahead: granted.Ahead}
	if r != InTime {
		if why.Reason == "" && b.concernsSurplus(req) {
			why.Reason = surplus.Closed
		}
		if b.surplus != nil {
			why.Need = surplus.Need(best.work, best.server.speed.firstEventTime(), req.fullObjective())
		}
		if granted.Action == surplus.Wait || b.shouldHold(req, best, r) {
			return Hold{Predicted: best.predicted, PrefillTime: best.prefillTime, Reason: r, Surplus: why}
		}
		return Refuse{RetryAfter: b.retryAfter(req, best, r), Predicted: best.predicted, Reason: r, Surplus: why, Avoided: avoided}
	}
	load := Load{Server: best.server.ID, Work: best.work, Parts: partHashes(req.Parts), CacheTokens: best.uncachedTokens + req.OutputTokens}
	if best.server.decoding.regarded() {
		load.HeldTokens = best.uncachedTokens + req.heldOutput()
	}
	assign := Assign{Surplus: why, Pause: best.pause, LateShare: best.lateShare, Avoided: avoided, Server: best.server.Server, Load: load, Predicted: best.predicted, QueueTime: best.queueTime, PrefillTime: best.prefillTime, SharedMissTokens: best.sharedMissTokens}
	assign.NominalLatency = best.work + best.server.speed.firstEventTime()
	if best.copyFrom != nil {
		assign.CopyFrom = best.copyFrom.Address
	}
	return assign
}

// InFlight returns the number of requests that all gateways have at a server.
func (b *Balancer) InFlight(server string) int {
	s := b.servers[server]
	if s == nil {
		return 0
	}
	return s.localRunning + s.remoteRunning
}

// Reason says why a request should not be sent to its best server now.
type Reason string

// Reasons for holding or refusing a request.
const (
	InTime     Reason = "" // it should be sent
	OverShare  Reason = "account over its share"
	TooLate    Reason = "no server in time"
	Cold       Reason = "all servers are cold"
	BackingOff Reason = "all servers have asked for rest"
	NoSlot     Reason = "no free slot in time"
)

// deferReason returns why a request should not be sent to its best server now, or InTime.
func (b *Balancer) deferReason(now time.Time, req *Request, best candidate) Reason {
	if req.Objective == 0 {
		return InTime
	}
	if req.OverShare && req.HoldReason != TooLate && (req.Capped || !b.hasSurplus(now, req, best)) {
		return OverShare
	}
	switch {
	case best.predicted <= b.latencyLimit(req), best.queueTime <= b.policy.MaxLateWait:
		return InTime // with so short a queue, a late request hardly delays others
	case req.HoldReason == TooLate && best.predicted > req.CallerTimeout-b.policy.TimeoutMargin:
		return InTime // after being held, serve it late rather than let the caller time out
	}
	return TooLate
}

// shouldHold reports whether a request is held rather than refused. A request beyond its
// account's share is held briefly for an idle server; a late one for as long as its caller
// waits.
func (b *Balancer) shouldHold(req *Request, best candidate, r Reason) bool {
	if req.Capped {
		return false // an idle server would not be given to it
	}
	if req.OverShare && req.HoldReason != TooLate {
		return r == OverShare && req.Waited < b.policy.SurplusHold(req) && best.predicted <= b.latencyLimit(req)
	}
	return best.predicted < req.CallerTimeout
}

// hasSurplus reports whether a server has surplus capacity for a request beyond its
// account's share: the queue is short, and enough slots are free unless the account is far
// behind the others.
func (b *Balancer) hasSurplus(now time.Time, req *Request, best candidate) bool {
	return b.hasSurplusSlots(req, best.server) && best.queueTime <= b.maxSurplusWait(now, req)
}

// hasSurplusSlots reports whether a server has enough free slots for a request beyond its
// account's share.
func (b *Balancer) hasSurplusSlots(req *Request, s *server) bool {
	occupancy := float64(s.localRunning+s.remoteRunning) / float64(s.slots())
	return req.ShareRatio <= b.policy.LowShareRatio || occupancy <= b.policy.MaxSurplusOccupancy
}

// maxSurplusWait returns the longest queue time at which an account that has used up its
// share gets surplus capacity. An account with less than an even part of the surplus is
// served almost as if it were within its share. Others get idle servers only, or, while
// many servers are idle, servers with a very short queue.
func (b *Balancer) maxSurplusWait(now time.Time, req *Request) time.Duration {
	wait := scale(b.policy.MaxSurplusWait, max(1-req.ShareRatio, 0))
	if wait < b.policy.MaxIdleSurplusWait && b.idleFraction(now, req.Service) >= b.policy.MinIdleFraction {
		return b.policy.MaxIdleSurplusWait
	}
	return wait
}

// idleFraction returns the fraction of a service's servers that have no prefill backlog.
func (b *Balancer) idleFraction(now time.Time, service string) float64 {
	idle := 0
	for _, s := range b.services[service] {
		if !s.busyUntil.After(now) {
			idle++
		}
	}
	return float64(idle) / float64(max(len(b.services[service]), 1))
}

// latencyLimit returns the longest predicted time to the first event at which a request is
// sent.
func (b *Balancer) latencyLimit(req *Request) time.Duration {
	return scale(req.Objective, b.policy.ObjectiveFraction)
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// retryAfter returns when the caller should retry: when the queue will have shortened or the
// account's share window will have moved on. Callers wait for at most a third of their
// remaining time, so it stays below that.
func (b *Balancer) retryAfter(req *Request, best candidate, r Reason) time.Duration {
	delay := max(best.predicted-b.latencyLimit(req), b.policy.MinRetryAfter)
	if r == OverShare {
		delay = max(delay, b.policy.MinShareRetryAfter)
	}
	if req.Remaining > 0 {
		delay = min(delay, req.Remaining/4)
	}
	return max(delay, 10*time.Millisecond)
}

// decayFailures applies the exponential decay of the failure and success counts.
func (s *server) decayFailures(now time.Time) {
	age := now.Sub(s.decayedAt)
	if age <= 0 {
		return
	}
	decay := math.Exp2(-float64(age) / float64(failureHalfLife))
	s.failures *= decay
	s.successes *= decay
	s.decayedAt = now
}

// failureRate returns the recent failure rate. A server with little history counts as
// healthy.
func (s *server) failureRate(now time.Time) float64 {
	s.decayFailures(now)
	rate := s.failures / (s.failures + s.successes + failurePrior)
	if rate < ignoredFailureRate {
		return 0 // otherwise an idle server with one old failure would never be tried again
	}
	return rate
}
