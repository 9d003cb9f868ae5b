package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
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
	// plainStall outlasts the requests that a server has when it stalls (their timeout is 1.5 s), so that
	// only probes can show that it answers again.
	plainStall = 2 * time.Second
	// minPlainPart is the least number of requests that a server gets from a gateway, in parts of the
	// number if all got the same: callers choose gateways at random. A server that stays stalled gets
	// one probe in 2 s.
	minPlainPart = 0.25
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

// stallPlainServers has each plain server in turn answer nothing for plainStall, while no other fault is
// active. The random faults of a seed may include no stall, or one that ends while a gateway is down.
func (r *Run) stallPlainServers() {
	for _, s := range r.plain {
		undo := s.behave(func(b *platformtest.Behaviour) { b.Stall = true })
		time.Sleep(plainStall)
		undo()
	}
}

// checkPlain checks that since a time, most requests to the plain service were served, and that each
// gateway has sent each of its servers a fair part of them. A server that a gateway takes for stalled
// gets a few probes, which must not pass for regular requests.
func (r *Run) checkPlain(from time.Time) {
	if !r.options.Plain {
		return
	}
	all, served := r.recorder.plainAnswers(from)
	if float64(served) < minPlainServed*float64(all) || served == 0 {
		r.recorder.violationf("the plain service served %d of %d requests in %s without faults", served, all, time.Since(from))
	}
	arrived := r.recorder.plainArrivals(from)
	sent := 0
	for _, p := range r.gateways {
		for _, s := range r.plain {
			sent += arrived[gatewayAndServer{p.name, s.ID}]
		}
	}
	even := float64(sent) / float64(len(r.gateways)*len(r.plain))
	for _, p := range r.gateways {
		for _, s := range r.plain {
			if n := arrived[gatewayAndServer{p.name, s.ID}]; n == 0 || float64(n) < minPlainPart*even {
				r.recorder.violationf("plain server %s got %d requests of %s in %s without faults; an even part is %.0f", s.ID, n, p.name, time.Since(from), even)
			}
		}
	}
}

// plainAnswers returns the number of answers to requests to the plain service since a time, and how many
// of the requests were served.
func (b *recorder) plainAnswers(from time.Time) (all, served int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, a := range b.answers {
		if !a.at.After(from) || !slices.Contains(plainKinds, a.kind) {
			continue
		}
		all++
		if a.served {
			served++
		}
	}
	return all, served
}

// gatewayAndServer names a gateway and a server.
type gatewayAndServer struct{ gateway, server string }

// plainArrivals returns the number of requests that have reached servers since a time.
func (b *recorder) plainArrivals(from time.Time) map[gatewayAndServer]int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	arrived := map[gatewayAndServer]int{}
	for _, a := range b.signals.arrivals {
		if a.at.After(from) {
			gateway, _, _ := strings.Cut(a.gateway, "/")
			arrived[gatewayAndServer{gateway, serverOf(a.lifetime)}]++
		}
	}
	return arrived
}

// Stalls returns how often the gateways have taken a server for stalled, by their logs.
func (r *Run) Stalls() (int, error) {
	n := 0
	for _, p := range r.gateways {
		log, err := os.ReadFile(p.log.Name())
		if err != nil {
			return 0, err
		}
		n += bytes.Count(log, []byte(`"event":"server.stalled"`))
	}
	return n, nil
}
