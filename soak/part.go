package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/platform"
)

// This file generates requests with a part in their prompts that crashes each server which executes
// them. No two are alike; the other parts and the account are those of all other requests.

const (
	// fatalPart is the part that crashes servers.
	fatalPart = "fa7a1"
	// fatalPartBody begins the body of a request with the part, which differs from request to request.
	fatalPartBody = "part "
	// promptPartTokens is the number of tokens of each part.
	promptPartTokens = 100
	// conversations is the number of parts of which each request has one.
	conversations = 6
	// Once partCrashes servers have crashed and quarantineDelay has passed for the gateways to learn
	// of it, requests with the part reach servers at most maxLateFatal more times.
	partCrashes = 5
)

// soundPrompt returns the parts of a prompt that crashes no server; nil if requests have none.
func (r *Run) soundPrompt(id string) []string {
	if !r.options.Part {
		return nil
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	return []string{"5y5", fmt.Sprintf("c0%d", h.Sum32()%conversations), "own" + id}
}

// fatalCause returns what makes a request fatal: its body, or a part of its prompt; empty if it is
// not.
func fatalCause(r *http.Request, body string) string {
	if slices.Contains(fatalBodies, body) {
		return body
	}
	decoded, err := platform.Codec{}.Request(r.Header)
	if err != nil {
		return ""
	}
	for _, p := range decoded.Parts[:max(len(decoded.Parts)-1, 0)] {
		if p.ID == fatalPart {
			return fatalPart
		}
	}
	return ""
}

// crashCause returns what crashed a server that executed a request with this body.
func crashCause(body string) string {
	if strings.HasPrefix(body, fatalPartBody) {
		return fatalPart
	}
	return body
}

// runPartCaller sends requests with the fatal part until ctx ends.
func (r *Run) runPartCaller(ctx context.Context) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, 700))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(fatalInterval + time.Duration(random.Int64N(int64(fatalInterval))))
		if r.fatalPaused.Load() {
			continue
		}
		id, kind := fmt.Sprintf("p%d", n), kinds[random.IntN(len(kinds))]
		r.recorder.mutex.Lock()
		r.recorder.sent[id] = kind
		r.recorder.mutex.Unlock()
		prompt := slices.Insert(r.soundPrompt(id), random.IntN(3), fatalPart)
		p := r.gateways[random.IntN(len(r.gateways))]
		status, _, err := r.sendPrompt(client, p, "/"+kind+"/", id, "steady", fatalPartBody+id, prompt)
		if err == nil && status == http.StatusServiceUnavailable {
			r.recorder.mutex.Lock()
			r.recorder.refused[id] = true
			r.recorder.mutex.Unlock()
		}
	}
}

// checkPart checks that the fatal part was stopped in time and that no other part is quarantined.
func (r *Run) checkPart() {
	if !r.options.Part {
		return
	}
	if crashes, late := r.recorder.lateArrivalsAfter(fatalPart, partCrashes); late > maxLateFatal {
		r.recorder.violationf("requests with the fatal part reached servers %d times later than %s after it had crashed %d; it crashed %d in all", late, quarantineDelay, partCrashes, crashes)
	}
	suspects := platform.SuspectStore{Store: &platform.Store{Address: r.storeAddress}}
	records, err := suspects.List(context.Background())
	if err != nil {
		r.recorder.violationf("failed to read the stored suspects: %v", err)
	}
	fatal := quarantine.KeyOfPart(quarantine.Part{Service: "s", ID: fatalPart})
	for key, k := range records {
		if k.Part != nil && k.Quarantined() && key != fatal {
			r.recorder.violationf("%s is quarantined but crashed no server: %s", key, k.Summary)
		}
	}
}
