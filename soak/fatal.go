package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// This file plays requests that end each server which runs them. They come again and again,
// each on a route of its own, while all other troubles go on; the server is back after a
// moment, under its ID with another start, or as another one.

const (
	// Once three servers have ended and the news had this long, such a request reaches
	// servers so often more.
	quarantineDelay = 3 * time.Second
	maxLateFatal    = 3
	fatalInterval   = 120 * time.Millisecond // and a draw of as much, between two tries
)

// fatalBodies are the questions of such requests, one for each kind of route.
var fatalBodies = []string{"fatal once", "fatal many", "fatal stream", "fatal resume"}

// fatalities is what one of them has done.
type fatalHistory struct {
	arrived []time.Time // at servers
	ends    []time.Time // of servers
}

func (b *recorder) historyOf(body string) *fatalHistory {
	f := b.fatal[body]
	if f == nil {
		f = &fatalHistory{}
		b.fatal[body] = f
	}
	return f
}

// watched takes down which requests arrive at a server, and when it asks for rest.
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
		if slices.Contains(fatalBodies, string(body)) {
			b.mutex.Lock()
			f := b.historyOf(string(body))
			f.arrived = append(f.arrived, time.Now())
			b.mutex.Unlock()
		}
		server.ServeHTTP(w, r)
	})
}

// restWatcher takes down the refusals that ask for rest.
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

// Flush implements http.Flusher.
func (w *backoffRecorder) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

// callFatal sends one of the fatal requests until ctx ends.
func (r *Run) runFatalCaller(ctx context.Context, i int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)+500))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(fatalInterval + time.Duration(random.Int64N(int64(fatalInterval))))
		if r.fatalPaused.Load() {
			continue // what ends with a server is not cut by a planned stop
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

// endUnder ends a server under a request; it starts again after a while.
func (r *Run) crashServer(b *backend, body string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.down {
		return
	}
	b.down = true
	b.proxy.Refuse()
	r.recorder.mutex.Lock()
	f := r.recorder.historyOf(body)
	f.ends = append(f.ends, time.Now())
	r.recorder.mutex.Unlock()
	time.AfterFunc(maxFaultDuration/3, func() { r.recoverServer(b) })
}

func (r *Run) recoverServer(b *backend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err := b.proxy.Reopen(); err != nil {
		r.recorder.violationf("server %s does not start again: %v", b.ID, err)
		return
	}
	b.down = false
	b.StartAgain(time.Now().UnixMilli())
	r.announce(b, "ready")
}

// checkFatal checks the bound on each of them, and that nothing else is barred.
func (r *Run) checkFatal() {
	fatal := map[string]bool{}
	for i, body := range fatalBodies[:r.options.Fatal] {
		key := quarantine.KeyOf(quarantine.Request{Account: "t1", Method: http.MethodPost, Host: "h", Target: "/" + kinds[i] + "/", Body: []byte(body)})
		fatal[key.String()] = true
		if ends, late := r.recorder.lateArrivals(body); late > maxLateFatal {
			r.recorder.violationf("%q reached servers %d times, %s after three had ended under it; %d in all", body, late, quarantineDelay, ends)
		}
	}
	suspects := platform.Suspects{Store: &platform.Store{Address: r.storeAddress}}
	kept, err := suspects.List(context.Background())
	if err != nil {
		r.recorder.violationf("what is kept of suspects can't be read: %v", err)
	}
	for key, k := range kept {
		if len(k.Servers) >= quarantine.CrashThreshold && !fatal[key.String()] {
			r.recorder.violationf("%s is barred and ended no server: %s", key, k.Asks)
		}
	}
}

// late returns how many servers have ended under a request, and how often it arrived at
// servers when the news of the third end had been told.
func (b *recorder) lateArrivals(body string) (ends, late int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	f := b.historyOf(body)
	if len(f.ends) < quarantine.CrashThreshold {
		return len(f.ends), 0
	}
	known := f.ends[quarantine.CrashThreshold-1].Add(quarantineDelay)
	for _, at := range f.arrived {
		if at.After(known) {
			late++
		}
	}
	return len(f.ends), late
}
