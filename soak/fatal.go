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
	fatalNews  = 3 * time.Second
	fatalLeft  = 3
	fatalEvery = 120 * time.Millisecond // and a draw of as much, between two tries
)

// fatalBodies are the questions of such requests, one for each kind of route.
var fatalBodies = []string{"fatal once", "fatal many", "fatal stream", "fatal resume"}

// fatalities is what one of them has done.
type fatalities struct {
	arrived []time.Time // at servers
	ends    []time.Time // of servers
}

func (b *book) fatalOf(body string) *fatalities {
	f := b.fatal[body]
	if f == nil {
		f = &fatalities{}
		b.fatal[body] = f
	}
	return f
}

// watched takes down which requests arrive at a server, and when it asks for rest.
func (b *book) watched(server *platformtest.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := sender{r.Header.Get(gatewayMark), lifetimeOf(server.ID, server.Born())}
		w.Header().Set(lifetimeMark, s.lifetime)
		b.mutex.Lock()
		b.words.arrived(s, r)
		b.mutex.Unlock()
		w = &restWatcher{ResponseWriter: w, book: b, sender: s}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if slices.Contains(fatalBodies, string(body)) {
			b.mutex.Lock()
			f := b.fatalOf(string(body))
			f.arrived = append(f.arrived, time.Now())
			b.mutex.Unlock()
		}
		server.ServeHTTP(w, r)
	})
}

// restWatcher takes down the refusals that ask for rest.
type restWatcher struct {
	http.ResponseWriter
	book   *book
	sender sender
}

// WriteHeader implements http.ResponseWriter.
func (w *restWatcher) WriteHeader(status int) {
	if after := w.Header().Get("Retry-After"); after != "" {
		w.book.mutex.Lock()
		w.book.words.turnedAway(w.sender, status, after)
		w.book.mutex.Unlock()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (w *restWatcher) Flush() { w.ResponseWriter.(http.Flusher).Flush() }

// callFatal sends one of the fatal requests until ctx ends.
func (r *Run) callFatal(ctx context.Context, i int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)+500))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(fatalEvery + time.Duration(random.Int64N(int64(fatalEvery))))
		if r.quiet.Load() {
			continue // what ends with a server is not cut by a planned stop
		}
		id := fmt.Sprintf("f%d-%d", i, n)
		r.book.mutex.Lock()
		r.book.sent[id] = kinds[i]
		r.book.mutex.Unlock()
		p := r.gateways[random.IntN(len(r.gateways))]
		status, _, err := r.send(client, p, "/"+kinds[i]+"/", id, "steady", fatalBodies[i])
		if err == nil && status == http.StatusServiceUnavailable {
			r.book.mutex.Lock()
			r.book.refused[id] = true
			r.book.mutex.Unlock()
		}
	}
}

// endUnder ends a server under a request; it starts again after a while.
func (r *Run) endUnder(b *backend, body string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.proxy.Refuse()
	r.book.mutex.Lock()
	f := r.book.fatalOf(body)
	f.ends = append(f.ends, time.Now())
	r.book.mutex.Unlock()
	time.AfterFunc(longest/3, func() { r.startAfterEnd(b) })
}

func (r *Run) startAfterEnd(b *backend) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err := b.proxy.Reopen(); err != nil {
		r.book.breaks("server %s does not start again: %v", b.ID, err)
		return
	}
	b.ended = false
	b.Restart(time.Now().UnixMilli())
	r.announce(b, "ready")
}

// checkFatal checks the bound on each of them, and that nothing else is barred.
func (r *Run) checkFatal() {
	fatal := map[string]bool{}
	for i, body := range fatalBodies[:r.options.Fatal] {
		key := quarantine.KeyOf(quarantine.Request{Account: "t1", Method: http.MethodPost, Host: "h", Target: "/" + kinds[i] + "/", Body: []byte(body)})
		fatal[key.String()] = true
		if ends, late := r.book.late(body); late > fatalLeft {
			r.book.breaks("%q reached servers %d times, %s after three had ended under it; %d in all", body, late, fatalNews, ends)
		}
	}
	suspects := platform.SuspectStore{Store: &platform.Store{Address: r.storeAddress}}
	kept, err := suspects.List(context.Background())
	if err != nil {
		r.book.breaks("what is kept of suspects can't be read: %v", err)
	}
	for key, k := range kept {
		if len(k.Servers) >= quarantine.CrashThreshold && !fatal[key.String()] {
			r.book.breaks("%s is barred and ended no server: %s", key, k.Summary)
		}
	}
}

// late returns how many servers have ended under a request, and how often it arrived at
// servers when the news of the third end had been told.
func (b *book) late(body string) (ends, late int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	f := b.fatalOf(body)
	if len(f.ends) < quarantine.CrashThreshold {
		return len(f.ends), 0
	}
	known := f.ends[quarantine.CrashThreshold-1].Add(fatalNews)
	for _, at := range f.arrived {
		if at.After(known) {
			late++
		}
	}
	return len(f.ends), late
}
