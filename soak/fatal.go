package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// This file generates fatal requests: each server that executes one crashes. They are sent
// repeatedly, each on a route of its own, while all other faults go on. A crashed server
// restarts after a short time with the same ID, at another address and with a new start time.

const (
	// Once three servers have crashed and quarantineDelay has passed for the gateways to learn
	// of it, a fatal request reaches servers at most maxLateFatal more times.
	quarantineDelay = 3 * time.Second
	maxLateFatal    = 3
	fatalInterval   = 120 * time.Millisecond // between two sends, plus a random delay of up to as much
)

// fatalBodies are the bodies of fatal requests, one for each kind of route.
var fatalBodies = []string{"fatal once", "fatal many", "fatal stream", "fatal resume"}

// fatalHistory records the arrivals and crashes of one fatal request, or of a fatal part.
type fatalHistory struct {
	arrived []time.Time // arrivals at servers
	crashes []time.Time // crashes of servers
}

// historyOf returns the history of a fatal request; the caller holds b.mutex.
func (b *recorder) historyOf(body string) *fatalHistory {
	f := b.fatal[body]
	if f == nil {
		f = &fatalHistory{}
		b.fatal[body] = f
	}
	return f
}

// recordRequests wraps a server and records the requests that arrive and the backoffs that it
// asks for.
func (b *recorder) recordRequests(server *platformtest.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := sender{r.Header.Get(gatewayMark), lifetimeOf(server.ID, server.Born())}
		w.Header().Set(lifetimeMark, s.lifetime)
		b.mutex.Lock()
		b.signals.recordArrival(s, r)
		b.mutex.Unlock()
		w = &backoffRecorder{ResponseWriter: w, recorder: b, sender: s}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if cause := fatalCause(r, string(body)); cause != "" {
			b.mutex.Lock()
			f := b.historyOf(cause)
			f.arrived = append(f.arrived, time.Now())
			b.mutex.Unlock()
		}
		server.ServeHTTP(w, r)
	})
}

// backoffRecorder records refusals with a Retry-After header.
type backoffRecorder struct {
	http.ResponseWriter
	recorder *recorder
	sender   sender
}

// WriteHeader implements http.ResponseWriter.
func (w *backoffRecorder) WriteHeader(status int) {
	if after := w.Header().Get("Retry-After"); after != "" {
		w.recorder.mutex.Lock()
		w.recorder.signals.recordBackoff(w.sender, status, after)
		w.recorder.mutex.Unlock()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer whose connection can be taken over.
func (w *backoffRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush implements http.Flusher.
func (w *backoffRecorder) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

// runFatalCaller sends one of the fatal requests until ctx ends.
func (r *Run) runFatalCaller(ctx context.Context, i int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)+500))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(fatalInterval + time.Duration(random.Int64N(int64(fatalInterval))))
		if r.fatalPaused.Load() {
			continue // an answer cut by a server crash must not count against a planned stop
		}
		id := fmt.Sprintf("f%d-%d", i, n)
		r.recorder.mutex.Lock()
		r.recorder.sent[id] = kinds[i]
		r.recorder.mutex.Unlock()
		p := r.gateways[random.IntN(len(r.gateways))]
		status, _, err := r.send(client, p, "/"+kinds[i]+"/", id, "steady", fatalBodies[i])
		if err == nil && status == http.StatusServiceUnavailable {
			r.recorder.mutex.Lock()
			r.recorder.refused[id] = true
			r.recorder.mutex.Unlock()
		}
	}
}

// crashServer crashes a server, because it executes a fatal request unless body is empty, and schedules
// its restart.
func (r *Run) crashServer(b *backend, body string) {
	b.mutex.Lock()
	down := b.down
	b.down = true
	b.mutex.Unlock()
	if down {
		return
	}
	b.proxy.Refuse()
	b.StopRuns() // before its connections break: a crashed server works on nothing
	b.proxy.Reset()
	r.recorder.mutex.Lock()
	f := r.recorder.historyOf(crashCause(body))
	f.crashes = append(f.crashes, time.Now())
	r.recorder.mutex.Unlock()
	time.AfterFunc(maxFaultDuration/3, func() { r.recoverServer(b) })
}

// recoverServer restarts a server that has crashed.
func (r *Run) recoverServer(b *backend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err := b.proxy.Reopen(); err != nil {
		r.recorder.violationf("server %s failed to restart: %v", b.ID, err)
		return
	}
	b.down = false
	if r.options.copiesRuns() {
		r.network.Readdress(b.Server, b.proxy.Address())
	}
	b.Restart(time.Now().UnixMilli())
	r.announce(b, "ready")
}

// checkFatal checks that each fatal request was stopped in time and that no other request is
// quarantined.
func (r *Run) checkFatal() {
	fatal := map[string]bool{}
	for i, body := range fatalBodies[:r.options.Fatal] {
		key := quarantine.KeyOf(quarantine.Request{Account: "t1", Method: http.MethodPost, Host: "h", Target: "/" + kinds[i] + "/", Body: []byte(body)})
		fatal[key.String()] = true
		if crashes, late := r.recorder.lateArrivals(body); late > maxLateFatal {
			r.recorder.violationf("%q reached servers %d times later than %s after it had crashed three; it crashed %d in all", body, late, quarantineDelay, crashes)
		}
	}
	suspects := platform.SuspectStore{Store: &platform.Store{Address: r.storeAddress}}
	records, err := suspects.List(context.Background())
	if err != nil {
		r.recorder.violationf("failed to read the stored suspects: %v", err)
	}
	for key, k := range records {
		if k.Part == nil && k.Quarantined() && !fatal[key.String()] {
			r.recorder.violationf("%s is quarantined but crashed no server: %s", key, k.Summary)
		}
	}
}

// lateArrivals returns how many servers a fatal request has crashed, and how often it arrived at
// servers later than quarantineDelay after the third crash.
func (b *recorder) lateArrivals(body string) (crashes, late int) {
	return b.lateArrivalsAfter(body, quarantine.CrashThreshold)
}

// lateArrivalsAfter is lateArrivals for another number of crashes.
func (b *recorder) lateArrivalsAfter(cause string, threshold int) (crashes, late int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	f := b.historyOf(cause)
	if len(f.crashes) < threshold {
		return len(f.crashes), 0
	}
	known := f.crashes[threshold-1].Add(quarantineDelay)
	for _, at := range f.arrived {
		if at.After(known) {
			late++
		}
	}
	return len(f.crashes), late
}
