package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"opalbridge.dev/platform/platformtest"
)

// This file plays servers that say in their answers that they leave, and servers that turn
// requests away and ask for rest, beside all other troubles. What reaches them afterwards is
// taken down by the gateway that sent it: its process, and how often that was paused.

const (
	// Once a gateway has passed on that a server leaves, requests that callers send it later
	// than this reach that server no more.
	leavingGrace = 2 * time.Second
	// Of a rest that a server has asked a gateway for, the first part is for requests on their
	// way; so many may reach it in the rest of the time.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// The headers by which requests and answers are told apart.
const (
	gatewayMark  = "Gateway-Mark"
	sentMark     = "Sent-Mark"
	lifetimeMark = "Lifetime-Mark"
)

// words is what servers have said, and what has reached them.
type serverSignals struct {
	arrivals []arrival
	leaving  map[sender]time.Time // when a gateway first passed on that a server leaves
	backoffs []backoffRequest
	links    []linkFaultPeriod
}

// sender is a gateway's process, without a pause since, and a server's lifetime.
type sender struct{ gateway, lifetime string }

type arrival struct {
	sender
	at   time.Time
	sent time.Time // by its caller
}

type backoffRequest struct {
	sender
	at    time.Time
	until time.Time
}

// linkTrouble is a time in which answers of a server may have been held back or lost.
type linkFaultPeriod struct {
	server   string
	from, to time.Time
}

// arrived takes down that a request has reached a server.
func (w *serverSignals) recordArrival(s sender, r *http.Request) {
	// A time that can't be read is that of no caller of these tests.
	sent, _ := time.Parse(time.RFC3339Nano, r.Header.Get(sentMark))
	w.arrivals = append(w.arrivals, arrival{s, time.Now(), sent})
}

// turnedAway takes down that a server has asked for rest.
func (w *serverSignals) recordBackoff(s sender, status int, after string) {
	seconds, err := strconv.ParseFloat(after, 64)
	if status != http.StatusServiceUnavailable || err != nil {
		return
	}
	now := time.Now()
	w.backoffs = append(w.backoffs, backoffRequest{s, now, now.Add(time.Duration(seconds * float64(time.Second)))})
}

// passedOn takes down that a gateway has passed on that a server leaves.
func (w *serverSignals) recordLeaving(s sender) {
	if w.leaving[s].IsZero() {
		w.leaving[s] = time.Now()
	}
}

// check returns what was broken.
func (w *serverSignals) check() []string {
	var faults []string
	late := map[sender]int{}
	for _, a := range w.arrivals {
		if said, known := w.leaving[a.sender]; known && a.sent.Sub(said) > leavingGrace {
			late[a.sender]++
		}
	}
	for s, n := range late {
		faults = append(faults, fmt.Sprintf("%s sent %d requests to %s, %s after it had passed on that it leaves", s.gateway, n, s.lifetime, leavingGrace))
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
			faults = append(faults, fmt.Sprintf("%s sent %d requests to %s, which had asked it for %s of rest", r.gateway, n, r.lifetime, r.until.Sub(r.at)))
		}
	}
	return faults
}

// troubled tells whether the answer that asked for a rest may not have arrived.
func (w *serverSignals) maybeLost(r backoffRequest) bool {
	for _, l := range w.links {
		if l.server == serverOf(r.lifetime) && r.at.Before(l.to.Add(backoffGrace)) && r.until.After(l.from) {
			return true
		}
	}
	return false
}

// lifetimeOf names a server's lifetime.
func lifetimeOf(server string, born int64) string { return fmt.Sprintf("%s@%d", server, born) }

func serverOf(lifetime string) string {
	for i := range lifetime {
		if lifetime[i] == '@' {
			return lifetime[:i]
		}
	}
	return lifetime
}

// linkTroubled takes down that a server's link is in trouble from now on; the returned function
// ends that.
func (b *recorder) recordLinkFault(server string) (ends func()) {
	from := time.Now()
	note := func(to time.Time) {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.signals.links = append(b.signals.links, linkFaultPeriod{server, from, to})
	}
	note(from)
	return func() { note(time.Now()) }
}

// speaking are the troubles of what servers say. They stand apart, so that a seed without them
// plays what it always did.
var signalFaults = []fault{
	{"server says that it leaves", func(r *Run, random *rand.Rand) func() {
		return r.announceLeaving(r.randomServer(random), randomStartTime(random))
	}},
	{"server says that it leaves while the store is down", func(r *Run, random *rand.Rand) func() {
		r.store.SetFaults(platformtest.Faults{Down: true})
		undo := r.announceLeaving(r.randomServer(random), randomStartTime(random))
		return func() {
			r.store.SetFaults(platformtest.Faults{})
			undo()
		}
	}},
	{"server asks for rest", func(r *Run, random *rand.Rand) func() {
		return requestBackoff(r.randomServer(random), random)
	}},
	{"server asks for rest as busy", func(r *Run, random *rand.Rand) func() {
		s, b := r.randomServer(random), healthy
		b.Full, b.Refusal, b.Rest = true, http.StatusTooManyRequests, "1"
		s.Set(b)
		return func() { s.Set(healthy) }
	}},
	{"all servers ask for rest", func(r *Run, random *rand.Rand) func() {
		var undo []func()
		for _, s := range r.servers {
			undo = append(undo, requestBackoff(s, random))
		}
		return func() {
			for _, u := range undo {
				u()
			}
		}
	}},
}

// sayLeaving lets a server say in its answers that it leaves, and then start again; before that
// it serves on for longer than the bound, so that what comes too late is seen.
func (r *Run) announceLeaving(s *backend, born int64) (undo func()) {
	b := healthy
	b.Leaving = true
	s.Set(b)
	return func() {
		time.Sleep(leavingGrace)
		s.Set(healthy)
		r.crashAndRestart(s, born)
	}
}

// askRest lets a server turn requests away and ask for rest.
func requestBackoff(s *backend, random *rand.Rand) (undo func()) {
	b := healthy
	b.Full, b.Rest = true, []string{"0.7", "1", "2"}[random.IntN(3)]
	s.Set(b)
	return func() { s.Set(healthy) }
}
