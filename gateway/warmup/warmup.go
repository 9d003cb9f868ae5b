// Package warmup bounds how many requests a cold server gets. A server that has just
// started, or comes back after its hall was evacuated, bears a few requests a second and
// falls over at well above that, with every stream on it. An idle server looks best to
// every gateway at the same moment, so the bound has to hold over the fleet.
//
// One gateway holds a cold server: it alone sends there, at most [Limits.Allowance]
// requests in any [Window]. Who that is the platform's store decides: a gateway writes a
// key that nobody has written before, named by the server and the [Episode] of coldness
// in which it is (a [Claim]). So at most one process holds a server in an episode,
// whatever any gateway believes of the others. Who does not hold it sends nothing there
// until it is warm; when the holder ends, nobody does.
//
// # Usage
//
//	g := warmup.NewGuard()
//	g.Set(now, servers)                            // those that are cold
//	for _, c := range g.Due(now, rank) { … }       // write the claim, then:
//	g.Settle(now, c, warmup.Won)
//	if at := g.OpenAt(now, id); !at.After(now) {   // the server may get a request
//		g.Sent(now, id)                        // it leaves within SendWithin
//	}
//
// What the bound rests on: a claim is written once; what is sent leaves within
// [MaxSendDelay] of its decision; an episode's claims are used only when nobody sends by
// those of the one before ([Server.Clear]). What it does not cover: a gateway that has
// not heard that a server is cold sends it what it would send a warm one. Limits.Extra is
// left for that.
//
// The package takes no lock, does no input or output and reads no clock. A Guard belongs
// to one goroutine.
package warmup

import (
	"maps"
	"slices"
	"time"

	"opalbridge.dev/gateway/catalog"
)

const (
	// MaxSendDelay is the time in which a request leaves after it was decided on. A process
	// that was stopped between the two must not send it later, together with others.
	MaxSendDelay = 200 * time.Millisecond
	// Window is the span in which decisions are counted, so that what leaves in any second
	// is bounded.
	Window = time.Second + MaxSendDelay
	// Gateways hear within this time that a server is cold or that its hall is evacuated;
	// a holder of a server that was warm before sends nothing until then.
	settleFor = time.Second
	// The gateway that ranks first for a server claims it at once, the next one after this
	// time, and so on: long enough to hear of the first one's claim.
	rankDelay = 250 * time.Millisecond
	// A claim of which nobody knows whether it was written is tried again after this time.
	retryAfter = 300 * time.Millisecond
	// And so often at most.
	mostTries = 3
)

// Limits bound what a cold server gets from all gateways in a second.
type Limits struct {
	PerSecond float64 // that it bears; 0: its service has no cold servers
	Factor    float64 // the fleet must not send more than PerSecond × Factor + Extra
	Extra     float64
}

// Allowance returns how many requests the holder of a server sends in any Window.
func (l Limits) Allowance() int {
	if n := int(l.PerSecond * l.Factor); n > 0 {
		return n
	}
	return min(int(l.PerSecond*l.Factor+l.Extra), 1)
}

// Episode is a span in which a server is cold, the same for all gateways: the revision of the
// store at which its hall was evacuated last, or that of number 0 in the era in which it started.
// So a claim of it is made in that era only: what a store that has come back from a copy says of
// earlier episodes doesn't count, since it may have lost who holds the server.
type Episode = catalog.Revision

// Claim names what a gateway claims.
type Claim struct {
	Server  string
	Episode Episode
}

// Server is a cold server.
type Server struct {
	Claim
	Hall      string
	Limits    Limits
	ColdUntil time.Time // it is warm from then on
	IdleSince time.Time // since then it gets nothing from gateways that know that it is cold, or evacuated; zero: it never got anything
	// StartObserved is true if the episode's beginning was seen. Who has not seen it may name
	// the episode wrongly, and claims nothing.
	StartObserved bool
	Claimed       bool // by some gateway
}

// Outcome is how a claim ended.
type Outcome int

// The outcomes.
const (
	Won     Outcome = iota // this process holds the server
	Lost                   // another one does
	Unknown                // the claim may have been written
)

// state is what a guard knows of a server.
type state struct {
	Server
	held   bool
	asked  bool // a claim is under way
	unsure bool // the latest claim may have been written
	ranked bool
	tries  int
	next   time.Time   // when to claim
	sent   []time.Time // decisions of the last Window
}

// Limiter decides what a gateway sends to cold servers.
type Limiter struct{ servers map[string]*state }

// NewLimiter returns a guard that knows of no cold server.
func NewLimiter() *Limiter { return &Limiter{servers: map[string]*state{}} }

// Set replaces the servers that are cold. What is held stays held in the same episode.
func (g *Limiter) Set(now time.Time, list []Server) {
	kept := make(map[string]*state, len(list))
	for _, s := range list {
		old := g.servers[s.Server]
		if old == nil || old.Episode != s.Episode {
			old = &state{}
		}
		old.Server = s
		kept[s.Server] = old
	}
	g.servers = kept
}

// Servers returns the servers that Set has named.
func (g *Limiter) Servers() []string { return slices.Collect(maps.Keys(g.servers)) }

// Cold tells whether a server is cold.
func (g *Limiter) Cold(now time.Time, server string) bool {
	s := g.servers[server]
	return s != nil && now.Before(s.ColdUntil)
}

// NextSendAt returns when a server may get the next request from this gateway; that is in the
// past if it may get one now.
func (g *Limiter) NextSendAt(now time.Time, server string) time.Time {
	s := g.servers[server]
	if s == nil || !now.Before(s.ColdUntil) {
		return time.Time{}
	}
	allowance := s.Limits.Allowance()
	if !s.held || !s.StartObserved || allowance == 0 {
		return s.ColdUntil
	}
	var at time.Time
	if !s.IdleSince.IsZero() {
		at = s.IdleSince.Add(settleFor + Window)
	}
	s.trim(now)
	if n := len(s.sent); n >= allowance {
		at = latest(at, s.sent[n-allowance].Add(Window))
	}
	return earliest(at, s.ColdUntil)
}

// RecordSend notes that a request to a server was decided on.
func (g *Limiter) RecordSend(now time.Time, server string) {
	if s := g.servers[server]; s != nil {
		s.trim(now)
		s.sent = append(s.sent, now)
	}
}

// trim forgets decisions that are older than a Window.
func (s *state) trim(now time.Time) {
	n := 0
	for n < len(s.sent) && now.Sub(s.sent[n]) >= Window {
		n++
	}
	s.sent = s.sent[n:]
}

// DueClaims returns the claims to write now. rank tells how many live gateways come before this
// one for a server; wanted whether this gateway has requests for it.
func (g *Limiter) DueClaims(now time.Time, wanted func(server string) bool, rank func(s Server) int) []Claim {
	var list []Claim
	for id, s := range g.servers {
		if s.held || s.asked || s.Claimed && !s.unsure || !s.StartObserved || s.tries >= mostTries || !now.Before(s.ColdUntil) {
			continue
		}
		if !s.ranked {
			s.ranked = true
			s.next = now.Add(time.Duration(rank(s.Server)) * rankDelay)
		}
		if now.Before(s.next) || !wanted(id) {
			continue
		}
		s.asked = true
		s.tries++
		list = append(list, s.Claim)
	}
	return list
}

// ResolveClaim takes over how a claim ended.
func (g *Limiter) ResolveClaim(now time.Time, c Claim, o Outcome) {
	s := g.servers[c.Server]
	if s == nil || s.Claim != c {
		return
	}
	s.asked, s.unsure = false, o == Unknown
	switch o {
	case Won:
		s.held = true
	case Lost:
		s.Claimed = true
	case Unknown:
		s.next = now.Add(retryAfter)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
