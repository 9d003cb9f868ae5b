// Package placement decides which backend server serves a request, or that none can
// serve it in time. It keeps a small model of each server: how much prompt it has
// still to read, what runs there, which parts of prompts it holds in its cache, and
// how often it failed lately.
//
// # Usage
//
//	b := placement.NewBoard(placement.DefaultPolicy())
//	b.SetServers(now, servers)
//	switch d := b.Place(now, ask).(type) {
//	case placement.Assign: // send it to d.Server, then b.Sent(now, d.Load)
//	case placement.Refuse: // tell the caller to come back after d.RetryAfter
//	case placement.None:   // no server of the service is known
//	}
//
// What other gateways send is told by [Balancer.RecordSent] too, so that all see the same
// load a few milliseconds apart. A wrong model costs time, never a promise.
//
// The package takes no lock, does no input or output and reads no clock: every call
// says what time it is. A Board belongs to one goroutine.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"opalbridge.dev/gateway/catalog"
)

// Part is a piece of a prompt that requests may share, named by a hash of its ID.
type Part struct {
	Hash   uint64
	Tokens int
}

// Request describes a request to place.
type Request struct {
	Service       string
	Account       string
	Parts         []Part          // of the prompt, in order; the last one is the caller's own
	PromptTokens  int             // tokens of the whole prompt
	OutputTokens  int             // tokens the answer is expected to have
	Objective     time.Duration   // what is left, since the caller's first try, of the time in which the first event is in time; below 0: it is late; 0: none
	CallerTimeout time.Duration   // what is left of the time in which the caller waits for the first event
	Remaining     time.Duration   // what is left of the time in which an answer is of use at all
	HoldReason    Reason          // why it was held so far
	Waited        time.Duration   // for how long
	OverShare     bool            // the account has got its share of the fleet
	Capped        bool            // it got so much more than others that press that it gets no more
	ShareRatio    float64         // what it got over an even share of all that was given; 0: unknown
	Exclude       []string        // servers that have been tried
	Withheld      map[string]bool // servers that get none of its kind now; shared, not changed
	Regions       catalog.Regions // in which it may be served
	Hall          string          // of the gateway
	TieBreak      uint64          // random, to choose among servers that are as good
}

// Decision is what [Balancer.Place] decides.
type Decision interface{ decision() }

// Assign gives the request to a server.
type Assign struct {
	Server           catalog.Server
	Load             Load
	Predicted        time.Duration // until the first event
	QueueTime        time.Duration // of that, until the server comes to it
	PrefillTime      time.Duration // of that, to read what its cache does not hold
	NominalLatency   time.Duration // from when the server comes to it until the first event, at a server of the usual pace
	SharedMissTokens int           // tokens of shared parts that its cache does not hold
	CopyFrom         string        // address of a server whose cache holds more of the prompt; empty: none
	ID               uint64        // names the request to whoever keeps the board
	SendBefore       time.Time     // the request must not leave later than this; zero: whenever it can
}

// Refuse means that no server can serve the request in time.
type Refuse struct {
	RetryAfter time.Duration
	Predicted  time.Duration // until the first event, at the best server
	Reason     Reason
}

// Hold means that the request is kept until servers have room for it, and others go
// first: ask again soon.
type Hold struct {
	Predicted   time.Duration // until the first event, at the best server now
	PrefillTime time.Duration // of that, to read what its cache does not hold
	Reason      Reason
}

// NoServer means that no server of the service takes work.
type NoServer struct{}

func (Assign) decision()   {}
func (Refuse) decision()   {}
func (Hold) decision()     {}
func (NoServer) decision() {}

// Load is what a request puts on a server.
type Load struct {
	Server      string        // incarnation
	Work        time.Duration // to read the part of the prompt that is not cached there
	Parts       []uint64      // parts of the prompt, in order
	CacheTokens int           // that its cache takes up for the request: what it does not hold yet, and the answer
}

// Balancer is the model of all servers.
type Balancer struct {
	policy   Policy
	servers  map[string]*server
	services map[string][]*server // sorted by ID
	speeds   map[string]*speed    // by service
	regions  map[string]string    // by hall
}

// NewBalancer returns a board without servers.
func NewBalancer(p Policy) *Balancer {
	return &Balancer{policy: p, servers: map[string]*server{}, services: map[string][]*server{}, speeds: map[string]*speed{}}
}

// server is the model of one server.
type server struct {
	catalog.Server
	hash      uint64 // of its ID
	engine    *catalog.Engine
	speed     *speed        // of its service's engines
	busyUntil time.Time     // when it will have read all prompts sent to it
	sent      time.Duration // work sent to it so far
	progress  progress      // when it was last seen how far it has got
	paceTook  float64       // seconds that it took for paceWork, which fades
	paceWork  float64       // seconds of work, which fades
	cache     cache         // parts of prompts
	running   int           // requests of this gateway, from sending to the end
	others    int           // requests of the other gateways
	failures  float64       // weight of recent failures, which fades
	successes float64       // weight of recent successes, which fades
	faded     time.Time
	resting   time.Time // no work before then: it can't be reached
	closed    time.Time // no work before then: it is cold
	rest      time.Duration
	pause     pause
	left      bool // it has said that it leaves, and no entry says so yet
}

// SetServers replaces the servers that exist; engines tells a service's engine, nil
// for a plain one. What is known of servers that stay is kept.
func (b *Balancer) SetServers(now time.Time, list []catalog.Server, engine func(service string) *catalog.Engine) {
	kept := map[string]*server{}
	b.services = map[string][]*server{}
	for _, s := range list {
		m := b.servers[s.ID]
		if m == nil {
			m = &server{hash: hashID(s.ID), cache: cache{parts: map[uint64]part{}}, busyUntil: now, faded: now}
		}
		m.Server, m.engine, m.speed = s, engine(s.Service), b.speedOf(s.Service)
		m.cache.size = b.policy.cacheSize(m.engine)
		kept[s.ID] = m
		b.services[s.Service] = append(b.services[s.Service], m)
	}
	b.servers = kept
	for _, group := range b.services {
		slices.SortFunc(group, func(a, c *server) int { return cmp.Compare(a.ID, c.ID) })
	}
}

// Place decides where a request goes. It changes nothing; tell [Balancer.RecordSent] when the
// request goes out.
func (b *Balancer) Place(now time.Time, a *Request) Decision {
	open, next := b.open(now, a)
	if len(open) == 0 {
		return b.placeLater(now, a, next)
	}
	if open[0].engine == nil {
		return b.placePlain(now, a, open)
	}
	return b.placeEngine(now, a, open)
}

// opening is when the first of the servers takes work that take none now, and why it
// doesn't. Its zero value: there are none.
type opening struct {
	at     time.Time
	reason Reason
}

// sooner takes over when a server takes work.
func (o *opening) sooner(at time.Time, r Reason) {
	if o.at.IsZero() || at.Before(o.at) {
		*o = opening{at, r}
	}
}

// placeLater decides on a request for which no server takes work now.
func (b *Balancer) placeLater(now time.Time, a *Request, next opening) Decision {
	if next.at.IsZero() {
		return NoServer{}
	}
	wait := next.at.Sub(now)
	if next.reason == BackingOff && b.waitsFor(a, wait) {
		return Hold{Predicted: wait, Reason: BackingOff}
	}
	return Refuse{RetryAfter: max(wait, b.policy.MinRetryAfter), Reason: next.reason}
}

// open returns the servers of the service that take work; those that could not be reached
// are left out unless all could not. Cold ones and those that asked for rest are left out
// always; next tells when the first of them takes work.
func (b *Balancer) open(now time.Time, a *Request) (open []*server, next opening) {
	var awake, resting []*server
	for _, s := range b.services[a.Service] {
		if !b.may(a, s) {
			continue
		}
		if now.Before(s.closed) {
			next.sooner(s.closed, Cold)
			continue
		}
		if s.pause.allowed != 0 {
			if opens := s.pause.opens(now, s.places()); now.Before(opens) {
				next.sooner(opens, BackingOff)
				continue
			}
		}
		if now.Before(s.resting) {
			resting = append(resting, s)
			continue
		}
		awake = append(awake, s)
	}
	if len(awake) > 0 {
		return awake, next
	}
	return resting, next
}

// MarkLeaving tells that a server has said that it leaves. It holds until the server's entry has
// gone; who replaces the servers knows of it by then.
func (b *Balancer) MarkLeaving(server string) {
	if s := b.servers[server]; s != nil {
		s.left = true
	}
}

// may tells whether a request may go to a server, now or later.
func (b *Balancer) may(a *Request, s *server) bool {
	return !s.Leaving && !s.left && !s.Evacuated && !a.Withheld[s.ID] && b.allowed(a, s) && !slices.Contains(a.Exclude, s.ID)
}

// allowed tells whether a request may be served where a server is.
func (b *Balancer) allowed(a *Request, s *server) bool {
	return a.Regions == nil || a.Regions.Allows(b.regions[s.Hall])
}

// SetRegions tells in which region each hall is.
func (b *Balancer) SetRegions(byHall map[string]string) { b.regions = byHall }

// CloseUntil keeps work from a server until a time. It replaces what was said before; a time
// that has passed opens it.
func (b *Balancer) CloseUntil(server string, until time.Time) {
	if s := b.servers[server]; s != nil {
		s.closed = until
	}
}

// placePlain takes the server with the most room, the own hall first.
func (b *Balancer) placePlain(now time.Time, a *Request, open []*server) Decision {
	cost := func(s *server) float64 {
		c := float64(s.running+s.others) / float64(max(s.Capacity, 1))
		c += b.policy.PlainFailureCost * s.failureRate(now)
		if s.Hall != a.Hall {
			c += b.policy.OtherHallCost
		}
		return c
	}
	best := slices.MinFunc(open, func(x, y *server) int { return cmp.Compare(cost(x), cost(y)) })
	return Assign{Server: best.Server, Load: Load{Server: best.ID}}
}

func (b *Balancer) placeEngine(now time.Time, a *Request, open []*server) Decision {
	best := b.best(now, a, open)
	r := b.reason(now, a, best)
	if r == OverShare && a.ShareRatio <= b.policy.IdleAhead {
		if o, ok := b.idle(now, a, open); ok {
			best, r = o, InTime
		}
	}
	if r != InTime {
		if b.holds(a, best, r) {
			return Hold{Predicted: best.predicted, PrefillTime: best.reading, Reason: r}
		}
		return Refuse{RetryAfter: b.comeBack(a, best, r), Predicted: best.predicted, Reason: r}
	}
	load := Load{Server: best.server.ID, Work: best.work, Parts: hashes(a.Parts), CacheTokens: best.added + a.OutputTokens}
	assign := Assign{Server: best.server.Server, Load: load, Predicted: best.predicted, QueueTime: best.waiting, PrefillTime: best.reading, SharedMissTokens: best.reread}
	assign.NominalLatency = best.work + best.server.speed.first()
	if best.from != nil {
		assign.CopyFrom = best.from.Address
	}
	return assign
}

// InFlight returns how many requests of all gateways a server has.
func (b *Balancer) InFlight(server string) int {
	s := b.servers[server]
	if s == nil {
		return 0
	}
	return s.running + s.others
}

// Reason tells why a request should not be sent to its best server now.
type Reason string

// The reasons.
const (
	InTime     Reason = "" // it should be sent
	OverShare  Reason = "account over its share"
	TooLate    Reason = "no server in time"
	Cold       Reason = "all servers are cold"
	BackingOff Reason = "all servers have asked for rest"
)

// reason tells whether and why a request should not be sent to its best server.
func (b *Balancer) reason(now time.Time, a *Request, best option) Reason {
	if a.Objective == 0 {
		return InTime
	}
	if a.OverShare && a.HoldReason != TooLate && (a.Capped || !b.spare(now, a, best)) {
		return OverShare
	}
	switch {
	case best.predicted <= b.limit(a), best.waiting <= b.policy.LateWait:
		return InTime // one that is late delays others by little
	case a.HoldReason == TooLate && best.predicted > a.CallerTimeout-b.policy.LastMoment:
		return InTime // having waited, it is served at the last moment rather than never
	}
	return TooLate
}

// holds tells whether a request is held. One beyond its account's share waits a moment
// for a server to run dry; one that is late waits as long as its caller does.
func (b *Balancer) holds(a *Request, best option, r Reason) bool {
	if a.Capped {
		return false // no server that runs dry is for it
	}
	if a.OverShare && a.HoldReason != TooLate {
		return r == OverShare && a.Waited < b.policy.SurplusHold(a) && best.predicted <= b.limit(a)
	}
	return best.predicted < a.CallerTimeout
}

// spare tells whether a server has room for a request beyond its account's share: it
// hardly waits, and has places to spare unless the account is far behind the others.
func (b *Balancer) spare(now time.Time, a *Request, best option) bool {
	return b.places(a, best.server) && best.waiting <= b.spareWait(now, a)
}

// places tells whether a server has places to spare for a request beyond its account's
// share.
func (b *Balancer) places(a *Request, s *server) bool {
	taken := float64(s.running+s.others) / float64(max(s.engine.Slots, 1))
	return a.ShareRatio <= b.policy.FarBehind || taken <= b.policy.SparePlaces
}

// spareWait is the longest wait at which an account that has got its share is served
// with what others leave. One that got less than an even part of that is served nearly
// as if it were within its share; the others get idle servers, or while many are idle such
// as hardly wait.
func (b *Balancer) spareWait(now time.Time, a *Request) time.Duration {
	wait := scale(b.policy.BehindWait, max(1-a.ShareRatio, 0))
	if wait < b.policy.IdleWait && b.idleShare(now, a.Service) >= b.policy.IdleShare {
		return b.policy.IdleWait
	}
	return wait
}

// idleShare returns the share of a service's servers that have nothing to read.
func (b *Balancer) idleShare(now time.Time, service string) float64 {
	idle := 0
	for _, s := range b.services[service] {
		if !s.busyUntil.After(now) {
			idle++
		}
	}
	return float64(idle) / float64(max(len(b.services[service]), 1))
}

// limit is the longest predicted time to the first event at which a request is sent.
func (b *Balancer) limit(a *Request) time.Duration {
	return scale(a.Objective, b.policy.LimitShare)
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// comeBack returns when a caller should ask again: when the wait will have gone down,
// or when the account's window will have moved on. Callers wait up to a third of the
// time they have left.
func (b *Balancer) comeBack(a *Request, best option, r Reason) time.Duration {
	after := max(best.predicted-b.limit(a), b.policy.MinRetryAfter)
	if r == OverShare {
		after = max(after, b.policy.ShareRetryAfter)
	}
	if a.Remaining > 0 {
		after = min(after, a.Remaining/4)
	}
	return max(after, 10*time.Millisecond)
}

// fade lets what was seen of failures lose weight.
func (s *server) fade(now time.Time) {
	age := now.Sub(s.faded)
	if age <= 0 {
		return
	}
	keep := math.Exp2(-float64(age) / float64(failureHalfLife))
	s.failures *= keep
	s.successes *= keep
	s.faded = now
}

// failureRate returns the share of recent requests that failed; a server of which
// little is known counts as sound.
func (s *server) failureRate(now time.Time) float64 {
	s.fade(now)
	rate := s.failures / (s.failures + s.successes + failurePrior)
	if rate < forgivenRate {
		return 0 // or an idle server with an old failure would never be tried again
	}
	return rate
}
