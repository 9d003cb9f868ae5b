package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"opalbridge.dev/platform/platformtest"
)

// This file generates servers that announce in their answers that they are leaving, and servers
// that refuse requests and ask for backoff, in addition to all other faults. The requests that
// reach them afterwards are recorded by the epoch of the gateway that sent them.

const (
	// Requests that callers send to a gateway more than leavingGrace after it has forwarded a
	// server's leaving announcement must not reach that server.
	leavingGrace = 2 * time.Second
	// The first backoffGrace of a backoff that a server has asked a gateway for is for requests in
	// flight. At most maxDuringBackoff requests may reach the server in the remaining time.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// Headers that identify the sender and the receiver of a request.
const (
	gatewayMark  = "Gateway-Mark"
	sentMark     = "Sent-Mark"
	lifetimeMark = "Lifetime-Mark"
)

// serverSignals records what servers have announced, and the requests that reached them.
type serverSignals struct {
	arrivals []arrival
	leaving  map[sender]time.Time // when a gateway first forwarded that a server is leaving
	backoffs []backoffRequest
	links    []linkFaultPeriod
}

// sender is the epoch of a gateway and the lifetime of a server that it sends to.
type sender struct{ gateway, lifetime string }

// arrival is a request that has reached a server.
type arrival struct {
	sender
	at   time.Time
	sent time.Time // by the caller
}

// backoffRequest is a backoff that a server has asked a gateway for.
type backoffRequest struct {
	sender
	at    time.Time
	until time.Time
}

// linkFaultPeriod is a period in which answers of a server may have been delayed or lost.
type linkFaultPeriod struct {
	server   string
	from, to time.Time
}

// recordArrival records that a request has reached a server.
func (w *serverSignals) recordArrival(s sender, r *http.Request) {
	// A request without a valid time was not sent by a caller of these tests.
	sent, _ := time.Parse(time.RFC3339Nano, r.Header.Get(sentMark))
	w.arrivals = append(w.arrivals, arrival{s, time.Now(), sent})
}

// recordBackoff records that a server has asked for backoff.
func (w *serverSignals) recordBackoff(s sender, status int, after string) {
	seconds, err := strconv.ParseFloat(after, 64)
	if status != http.StatusServiceUnavailable || err != nil {
		return
	}
	now := time.Now()
	w.backoffs = append(w.backoffs, backoffRequest{s, now, now.Add(time.Duration(seconds * float64(time.Second)))})
}

// recordLeaving records that a gateway has forwarded a server's leaving announcement.
func (w *serverSignals) recordLeaving(s sender) {
	if w.leaving[s].IsZero() {
		w.leaving[s] = time.Now()
	}
}

// check returns the violations.
func (w *serverSignals) check() []string {
	var violations []string
	late := map[sender]int{}
	for _, a := range w.arrivals {
		if announced, known := w.leaving[a.sender]; known && a.sent.Sub(announced) > leavingGrace {
			late[a.sender]++
		}
	}
	for s, n := range late {
		violations = append(violations, fmt.Sprintf("%s sent %d requests to %s more than %s after forwarding that it is leaving", s.gateway, n, s.lifetime, leavingGrace))
	}
	for _, r := range w.backoffs {
		if w.maybeLost(r) {
			continue
		}
		n := 0
		for _, a := range w.arrivals {
			if a.sender == r.sender && a.at.After(r.at.Add(backoffGrace)) && a.at.Before(r.until) {
				n++
			}
		}
		if n > maxDuringBackoff {
			violations = append(violations, fmt.Sprintf("%s sent %d requests to %s, which had asked it for a backoff of %s", r.gateway, n, r.lifetime, r.until.Sub(r.at)))
		}
	}
	return violations
}

// maybeLost reports whether the answer that asked for a backoff may not have arrived.
func (w *serverSignals) maybeLost(r backoffRequest) bool {
	for _, l := range w.links {
		if l.server == serverOf(r.lifetime) && r.at.Before(l.to.Add(backoffGrace)) && r.until.After(l.from) {
			return true
		}
	}
	return false
}

// lifetimeOf returns the identifier of a server's lifetime: its ID and start time.
func lifetimeOf(server string, born int64) string { return fmt.Sprintf("%s@%d", server, born) }

// serverOf returns the server ID of a lifetime.
func serverOf(lifetime string) string {
	for i := range lifetime {
		if lifetime[i] == '@' {
			return lifetime[:i]
		}
	}
	return lifetime
}

// recordLinkFault records that the link of a server is faulty from now on, until the returned
// function is called.
func (b *recorder) recordLinkFault(server string) (end func()) {
	from := time.Now()
	record := func(to time.Time) {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.signals.links = append(b.signals.links, linkFaultPeriod{server, from, to})
	}
	record(from)
	return func() { record(time.Now()) }
}

// signalFaults are the faults of what servers announce. They are kept apart from baseFaults so
// that a seed without them draws the same faults as before.
var signalFaults = []fault{
	{"server announces that it leaves", func(r *Run, random *rand.Rand) func() {
		return r.announceLeaving(r.randomServer(random), randomStartTime(random))
	}},
	{"server announces that it leaves while the store is down", func(r *Run, random *rand.Rand) func() {
		r.store.SetFaults(platformtest.Faults{Unavailable: true})
		undo := r.announceLeaving(r.randomServer(random), randomStartTime(random))
		return func() {
			r.store.SetFaults(platformtest.Faults{})
			undo()
		}
	}},
	{"server asks for backoff", func(r *Run, random *rand.Rand) func() {
		return r.requestBackoff(r.randomServer(random), random)
	}},
	{"server asks for backoff with status 429", func(r *Run, random *rand.Rand) func() {
		return r.randomServer(random).behave(func(b *platformtest.Behaviour) {
			b.Reject, b.RejectStatus, b.RetryAfter = true, http.StatusTooManyRequests, "1"
		})
	}},
	{"all servers ask for backoff", func(r *Run, random *rand.Rand) func() {
		var undo []func()
		for _, s := range r.servers {
			undo = append(undo, r.requestBackoff(s, random))
		}
		return func() {
			for _, u := range undo {
				u()
			}
		}
	}},
}

// announceLeaving has a server announce in its answers that it is leaving, and later restart.
// Before the restart it serves for longer than leavingGrace, so that late requests are recorded.
func (r *Run) announceLeaving(s *backend, born int64) (undo func()) {
	stay := s.behave(func(b *platformtest.Behaviour) { b.Leaving = true })
	return func() {
		time.Sleep(leavingGrace)
		stay()
		r.crashAndRestart(s, born)
	}
}

// requestBackoff has a server refuse requests and ask for backoff.
func (r *Run) requestBackoff(s *backend, random *rand.Rand) (undo func()) {
	after := []string{"0.7", "1", "2"}[random.IntN(3)]
	return s.behave(func(b *platformtest.Behaviour) { b.Reject, b.RetryAfter = true, after })
}
