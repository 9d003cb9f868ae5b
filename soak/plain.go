package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"opalbridge.dev/platform/platformtest"
)

// This file generates a plain service whose servers have few slots, stall for moments and get bursts of
// requests, in addition to all other faults, which also befall these servers. Whenever the fleet has
// settled, all of them serve.

const (
	plainServers     = 2
	plainSlots       = 3
	plainServiceTime = 40 * time.Millisecond
	plainCallers     = 10 // more than there are slots
	// plainBurst requests at once, beside those of the callers, are more than two servers can answer
	// within the objective.
	plainBurst = 50
	// minPlainServed is the share of requests that are served while the fleet has settled.
	minPlainServed = 0.5
)

// plainKinds are the kinds of requests to the plain service; each has a route of its own.
var plainKinds = []string{"plain-once", "plain-many"}

// addPlainServer starts a server of the plain service.
func (r *Run) addPlainServer(i int) (*backend, error) {
	s := &platformtest.Server{ID: fmt.Sprintf("p-%d", i), Service: "p", Hall: "hall", Slots: plainSlots}
	return r.listen(s, platformtest.Behaviour{ServiceTime: plainServiceTime, EchoID: true})
}

// runPlainCaller sends requests to the plain service until ctx ends.
func (r *Run) runPlainCaller(ctx context.Context, caller int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(caller)+1100))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r.sendPlain(client, fmt.Sprintf("s%d-%d", caller, n), random)
	}
}

func (r *Run) sendPlain(client *http.Client, id string, random *rand.Rand) {
	p := r.gateways[random.IntN(len(r.gateways))]
	r.sendSteady(client, p, id, plainKinds[random.IntN(len(plainKinds))], "t1")
}

// plainFaults are the faults of the plain service. They are kept apart from baseFaults so that a seed
// without them draws the same faults as before.
var plainFaults = []fault{
	{"plain server stalls", func(r *Run, random *rand.Rand) func() {
		return r.plain[random.IntN(len(r.plain))].behave(func(b *platformtest.Behaviour) { b.Stall = true })
	}},
	{"plain service gets a burst", func(r *Run, random *rand.Rand) func() {
		var wait sync.WaitGroup
		name, seed := random.Uint32(), random.Uint64()
		for i := range plainBurst {
			wait.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 5 * time.Second}
				r.sendPlain(client, fmt.Sprintf("b%d-%d", name, i), rand.New(rand.NewPCG(seed, uint64(i))))
			})
		}
		return wait.Wait
	}},
}

// checkPlain checks that since a time, most requests to the plain service were served, and that each
// gateway has sent some to each of its servers.
func (r *Run) checkPlain(from time.Time) {
	if !r.options.Plain {
		return
	}
	r.recorder.mutex.Lock()
	all, served := 0, 0
	for _, a := range r.recorder.answers {
		if a.at.After(from) && (a.kind == "plain-once" || a.kind == "plain-many") {
			all++
			if a.served {
				served++
			}
		}
	}
	r.recorder.mutex.Unlock()
	if float64(served) < minPlainServed*float64(all) || served == 0 {
		r.recorder.violationf("the plain service served %d of %d requests in %s without faults", served, all, time.Since(from))
	}
	r.recorder.mutex.Lock()
	arrived := map[string]int{}
	for _, a := range r.recorder.signals.arrivals {
		if a.at.After(from) {
			gateway, _, _ := strings.Cut(a.gateway, "/")
			arrived[gateway+" "+serverOf(a.lifetime)]++
		}
	}
	r.recorder.mutex.Unlock()
	for _, p := range r.gateways {
		for _, s := range r.plain {
			if arrived[p.name+" "+s.ID] == 0 {
				r.recorder.violationf("plain server %s got no request of %s in %s without faults", s.ID, p.name, time.Since(from))
			}
		}
	}
}
