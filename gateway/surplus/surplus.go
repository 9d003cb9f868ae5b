// Package surplus decides which requests beyond their account's fair share get capacity that is
// idle at the moment. Accounts with unmet demand that come first in order keep it for a moment; nobody is
// refused beside idle servers for the sake of demand that does not exist.
//
// # Usage
//
//	t := surplus.NewTable(shareRatio)
//	t.RecordUnmet(now, surplus.Demand{Account: account, Priority: p, FirstAttempt: first, Tokens: n})
//	t.RecordRemote(now, demands) // of another gateway
//	t.RecordStream(now, service, late) // a stream within its account's share has ended
//	switch d := t.Decide(now, surplus.Request{…}, surplus.Server{…}); d.Action {
//	case surplus.Grant:  // send it
//	case surplus.Wait:   // ask again soon
//	case surplus.Refuse: // tell the caller to retry after t.RetryAfter(…)
//	}
//
// The package does no locking and no I/O and does not read the clock. A Table must be used by one
// goroutine only.
package surplus

import (
	"cmp"
	"math"
	"time"
)

const (
	// MinObjective is the shortest objective of streams with which a caller that is refused can come
	// back after 225 ms, half of it, and be in time.
	MinObjective = 450 * time.Millisecond
	// ObjectiveFraction is the fraction of its route's objective within which the first event of a
	// request must be predicted for it to get surplus capacity: a request that arrives behind it
	// is delayed by less than that, and the rest of the objective covers errors of the prediction.
	ObjectiveFraction = 0.25
	// maxOccupancy is the fraction of a server's slots that may be in use. When prefill and
	// decoding both saturate a server, its streams take several times as long.
	maxOccupancy = 0.5
	// protection is how long unmet demand of one account keeps surplus capacity from accounts
	// behind it. Other gateways learn of it up to 250 ms late.
	protection = 500 * time.Millisecond
	// maxBehindFraction is the fraction of the objective for which a request waits at most for
	// accounts that are ahead. With ObjectiveFraction it is still in time after that.
	maxBehindFraction = 0.5
	// maxIdleWaitFraction is the fraction of the objective for which a request waits at most for
	// a server to become idle.
	maxIdleWaitFraction = 0.25
	// minPause is how long an account must be without unmet demand before demand that needs a faster
	// server is protected again. Without it, a steady flow of long prompts would keep servers
	// idle that cannot serve them.
	minPause = 2 * time.Second
	// ratioSteps is the number of steps of a share ratio that are told apart. Counts of other gateways
	// are up to 250 ms old, a sixteenth of the usual share window.
	ratioSteps = 16
	// maxEntries limits the accounts (by priority) whose unmet demand is known, since a decision
	// looks at all of them, at 0.15 µs each. Demand beyond it is not protected; the limit of
	// share.Status.Capped still holds for it.
	maxEntries = 64
)

// Position determines the order in which requests get capacity.
type Position struct {
	Priority     int       // 0 is the most urgent
	ShareRatio   float64   // tokens admitted for the account over an even share of all admitted tokens
	FirstAttempt time.Time // of the caller
}

// Compare returns a negative number if p is ahead of o, and a positive one if it is behind.
func (p Position) Compare(o Position) int {
	return cmp.Or(
		cmp.Compare(p.Priority, o.Priority),
		cmp.Compare(math.Floor(p.ShareRatio*ratioSteps), math.Floor(o.ShareRatio*ratioSteps)),
		p.FirstAttempt.Compare(o.FirstAttempt),
	)
}

// Request is a request beyond its account's fair share.
type Request struct {
	Position
	Account   string
	Tokens    float64
	Capped    bool          // the account is so far ahead of a backlogged account that it gets no surplus capacity
	Objective time.Duration // of its route
	Waited    time.Duration // time it has been held
}

// Server is the state of a server and what a request would get there.
type Server struct {
	Predicted     time.Duration // time until the first event
	QueueTime     time.Duration // of Predicted: until the server begins to process the prompt
	Running       int           // requests of all gateways
	DelaysStreams bool          // prefill without a break would make streams there late
	Slots         int
	Slowness      float64 // its prefill times over the nominal ones
	Spare         float64 // tokens that this server and all others that are idle could prefill within the part of the objective that ObjectiveFraction says
}

// Suits reports whether a server has surplus capacity for a request with an objective. Streams within the
// shares must not be late for the sake of requests beyond them.
func (s Server) Suits(objective time.Duration) bool {
	return s.IsIdle() && s.Predicted <= fraction(objective, ObjectiveFraction) && !s.DelaysStreams
}

// IsIdle reports whether nothing is queued at a server, at least half of its slots are free, and its last
// free slot is left to requests within their shares, unless it is the only slot.
func (s Server) IsIdle() bool {
	if s.Slots <= 0 || s.QueueTime > 0 || float64(s.Running) > maxOccupancy*float64(s.Slots) {
		return false
	}
	return s.Running == 0 || s.Running < s.Slots-1
}

// Action is what is done with a request.
type Action int

// Actions.
const (
	Refuse Action = iota
	Wait          // it is held, and asks again soon
	Grant
)

// Reason says why a request got surplus capacity or did not.
type Reason string

// Reasons.
const (
	ByShare      Reason = "less than an even share"            // granted by the share policy
	ServerIdle   Reason = "server idle"                        // granted
	EnoughIdle   Reason = "enough servers idle"                // granted although another account is ahead
	WaitedEnough Reason = "others did not take it"             // granted although another account is ahead
	Capped       Reason = "account far ahead"                  // refused
	Behind       Reason = "another account first"              // waits
	NoneIdle     Reason = "no server idle"                     // waits, or is refused
	NoneCached   Reason = "no idle server caches it"           // waits, or is refused
	Closed       Reason = "streams within the shares are late" // the share policy decides; see [Table.StreamsLate]
)

// Decision is the result of [Table.Decide].
type Decision struct {
	Action Action
	Reason Reason
	Ahead  string // account that is ahead and has unmet demand; empty: none
}

// Decide decides on a request for which s is the best server.
func (t *Table) Decide(now time.Time, r Request, s Server) Decision {
	if r.Capped {
		return Decision{Action: Refuse, Reason: Capped}
	}
	if !s.Suits(r.Objective) {
		d := Decision{Action: Refuse, Reason: NoneIdle}
		ownTime := s.Predicted - max(s.QueueTime, 0)
		if ownTime <= fraction(r.Objective, ObjectiveFraction) && r.Waited < LongestIdleWait(r.Objective) {
			d.Action = Wait
		}
		return d
	}
	ahead, tokens := t.ahead(now, r, s)
	switch {
	case ahead == "":
		return Decision{Action: Grant, Reason: ServerIdle}
	case tokens+r.Tokens <= s.Spare:
		return Decision{Action: Grant, Reason: EnoughIdle, Ahead: ahead}
	case r.Waited >= min(protection, fraction(r.Objective, maxBehindFraction)):
		return Decision{Action: Grant, Reason: WaitedEnough, Ahead: ahead}
	}
	return Decision{Action: Wait, Reason: Behind, Ahead: ahead}
}

// LongestIdleWait returns how long a request with an objective waits at most for a server to become
// idle.
func LongestIdleWait(objective time.Duration) time.Duration {
	return fraction(objective, maxIdleWaitFraction)
}

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }
