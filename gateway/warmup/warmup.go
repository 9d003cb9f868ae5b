// Package warmup limits the request rate of cold servers. A server that has just started, or
// whose hall was evacuated until now, sustains a few requests a second and fails well above
// that, with every stream on it. An idle server looks best to every gateway at the same moment,
// so the limit has to hold over the fleet.
//
// One gateway holds a cold server: it alone sends to it, at most [Limits.Allowance] requests in
// any [Window]. The platform's store decides which one: a gateway creates a key, named by the
// server and its [Episode] of coldness (a [Claim]), which succeeds only if the key does not exist.
// So at most one process holds a server in an episode, whatever any gateway believes of the
// others. A gateway that does not hold the server sends nothing to it until it is warm; if the
// holder crashes, nobody does.
//
// # Usage
//
//	l := warmup.NewLimiter()
//	l.SetServers(now, servers)                             // the cold ones
//	for _, c := range l.DueClaims(now, wanted, rank) { … } // write the claim, then:
//	l.ResolveClaim(now, c, warmup.Won)
//	if at := l.NextSendAt(now, id); !at.After(now) {       // the server may get a request
//		l.RecordSend(now, id)                          // it is sent within MaxSendDelay
//	}
//
// The limit depends on three rules: a claim is written once; a request is sent within
// [MaxSendDelay] of its decision; and the claims of an episode are used only when nobody sends
// by those of the one before ([Server.IdleSince]). It does not cover a gateway that has not yet
// heard that a server is cold and sends to it as to a warm one. Limits.Extra leaves room for that.
//
// The package takes no locks, does no input or output and does not read the clock. A Limiter must
// be used by one goroutine only.
package warmup

import (
	"maps"
	"slices"
	"time"

	"opalbridge.dev/gateway/catalog"
)

const (
	// MaxSendDelay is the time in which a request must be sent after its decision. A process
	// that was suspended in between must not send it later, together with others.
	MaxSendDelay = 200 * time.Millisecond
	// Window is the span over which decisions are counted. It exceeds a second by MaxSendDelay,
	// so that the requests sent in any second are bounded.
	Window = time.Second + MaxSendDelay
	// propagationDelay is the time in which all gateways hear that a server is cold or its hall
	// evacuated. The holder of a server that was warm before sends nothing until then.
	propagationDelay = time.Second
	// rankDelay separates the claims of gateways for a server by their rank, long enough for the
	// next one to hear of an earlier claim.
	rankDelay = 250 * time.Millisecond
	// claimRetryInterval is the time before a claim of unknown outcome is retried.
	claimRetryInterval = 300 * time.Millisecond
	// maxClaimAttempts bounds the attempts to claim a server in an episode.
	maxClaimAttempts = 3
)

// Limits bounds the requests that a cold server gets from all gateways in a second.
type Limits struct {
	PerSecond float64 // that the server sustains; 0: the service has no cold servers
	Factor    float64 // the fleet must not send more than PerSecond × Factor + Extra
	Extra     float64
}

// Allowance returns how many requests the holder of a server may send in any Window.
func (l Limits) Allowance() int {
	if n := int(l.PerSecond * l.Factor); n > 0 {
		return n
	}
	return min(int(l.PerSecond*l.Factor+l.Extra), 1)
}

// Episode identifies a period in which a server is cold, equally at all gateways: it is the
// revision at which the server's hall was last evacuated, or else the revision with number 0 of
// the era in which the server started. So a claim is valid in that era only: what a restored
// store says of earlier episodes does not count, since it may have lost who holds the server.
type Episode = catalog.Revision

// Claim identifies a server and the episode for which it is claimed.
type Claim struct {
	Server  string
	Episode Episode
}

// Server is a cold server.
type Server struct {
	Claim
	Hall      string
	Limits    Limits
	ColdUntil time.Time // the server is warm from then on
	IdleSince time.Time // since when gateways that know it as cold or evacuated send it nothing; zero: it never got requests
	// StartObserved is true if this gateway observed the beginning of the episode. One that did
	// not may name the wrong episode, and so claims nothing.
	StartObserved bool
	Claimed       bool // by some gateway
}

// Outcome is the outcome of a claim.
type Outcome int

// Outcomes of claims.
const (
	Won     Outcome = iota // this process holds the server
	Lost                   // another process holds it
	Unknown                // the claim may have been written
)

// state is a limiter's state of a server.
type state struct {
	Server
	held      bool
	claiming  bool // a claim is in flight
	uncertain bool // the outcome of the last claim is unknown
	ranked    bool
	attempts  int
	nextClaim time.Time   // earliest time of the next claim
	sent      []time.Time // times of the decisions in the last Window
}

// Limiter decides when a gateway may send to cold servers.
type Limiter struct{ servers map[string]*state }

// NewLimiter returns a limiter without cold servers.
func NewLimiter() *Limiter { return &Limiter{servers: map[string]*state{}} }

// SetServers replaces the cold servers. A held server stays held in the same episode.
func (l *Limiter) SetServers(now time.Time, list []Server) {
	servers := make(map[string]*state, len(list))
	for _, s := range list {
		st := l.servers[s.Server]
		if st == nil || st.Episode != s.Episode {
			st = &state{}
		}
		st.Server = s
		servers[s.Server] = st
	}
	l.servers = servers
}

// Servers returns the IDs of the servers given to SetServers.
func (l *Limiter) Servers() []string { return slices.Collect(maps.Keys(l.servers)) }

// IsCold reports whether a server is cold.
func (l *Limiter) IsCold(now time.Time, server string) bool {
	s := l.servers[server]
	return s != nil && now.Before(s.ColdUntil)
}

// NextSendAt returns when this gateway may send the next request to a server; a time in the past
// means now.
func (l *Limiter) NextSendAt(now time.Time, server string) time.Time {
	s := l.servers[server]
	if s == nil || !now.Before(s.ColdUntil) {
		return time.Time{}
	}
	allowance := s.Limits.Allowance()
	if !s.held || !s.StartObserved || allowance == 0 {
		return s.ColdUntil
	}
	var at time.Time
	if !s.IdleSince.IsZero() {
		at = s.IdleSince.Add(propagationDelay + Window)
	}
	s.trim(now)
	if n := len(s.sent); n >= allowance {
		at = latest(at, s.sent[n-allowance].Add(Window))
	}
	return earliest(at, s.ColdUntil)
}

// RecordSend records the decision to send a request to a server.
func (l *Limiter) RecordSend(now time.Time, server string) {
	if s := l.servers[server]; s != nil {
		s.trim(now)
		s.sent = append(s.sent, now)
	}
}

// trim removes decisions older than a Window.
func (s *state) trim(now time.Time) {
	n := 0
	for n < len(s.sent) && now.Sub(s.sent[n]) >= Window {
		n++
	}
	s.sent = s.sent[n:]
}

// DueClaims returns the claims to write now. wanted reports whether this gateway has requests for a
// server, and rank returns how many live gateways come before this one for it.
func (l *Limiter) DueClaims(now time.Time, wanted func(server string) bool, rank func(s Server) int) []Claim {
	var claims []Claim
	for id, s := range l.servers {
		if s.held || s.claiming || s.Claimed && !s.uncertain || !s.StartObserved || s.attempts >= maxClaimAttempts || !now.Before(s.ColdUntil) {
			continue
		}
		if !s.ranked {
			s.ranked = true
			s.nextClaim = now.Add(time.Duration(rank(s.Server)) * rankDelay)
		}
		if now.Before(s.nextClaim) || !wanted(id) {
			continue
		}
		s.claiming = true
		s.attempts++
		claims = append(claims, s.Claim)
	}
	return claims
}

// ResolveClaim records the outcome of a claim.
func (l *Limiter) ResolveClaim(now time.Time, c Claim, o Outcome) {
	s := l.servers[c.Server]
	if s == nil || s.Claim != c {
		return
	}
	s.claiming, s.uncertain = false, o == Unknown
	switch o {
	case Won:
		s.held = true
	case Lost:
		s.Claimed = true
	case Unknown:
		s.nextClaim = now.Add(claimRetryInterval)
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
