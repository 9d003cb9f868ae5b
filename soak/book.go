package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"opalbridge.dev/platform"
)

// book holds what callers saw, and what was broken.
type recorder struct {
	mutex      sync.Mutex
	sent       map[string]string          // kind of each request
	refused    map[string]bool            // requests that were answered as not run
	stopping   map[string]bool            // fronts of gateways in a planned stop without other trouble
	highest    map[string]acceptedVersion // newest key accepted, by gateway and incarnation
	violations []string
	served     int
	fatal      map[string]*fatalHistory // by body
	signals    serverSignals
}

// seen is when a gateway was first seen to accept a version's key.
type acceptedVersion struct {
	version int
	at      time.Time
}

func newRecorder() *recorder {
	return &recorder{sent: map[string]string{}, refused: map[string]bool{}, stopping: map[string]bool{}, highest: map[string]acceptedVersion{}, fatal: map[string]*fatalHistory{}, signals: serverSignals{leaving: map[sender]time.Time{}}}
}

func (b *recorder) violationf(format string, a ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.violations = append(b.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

func (b *recorder) report() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.violations = append(b.violations, b.signals.check()...)
	if b.served == 0 {
		return append(b.violations, "nothing was served")
	}
	return slices.Clone(b.violations)
}

func (b *recorder) setStopping(front string, begins bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopping[front] = begins
}

// answered takes down an answer and checks what it says by itself.
func (b *recorder) recordAnswer(id, kind, front string, status int, body string, broken error, planned bool) {
	want := expected(kind, id)
	switch {
	case broken != nil && planned:
		b.violationf("planned stop of %s cut %s request %s: %v", front, kind, id, broken)
	case broken != nil && !strings.HasPrefix(want, body):
		b.violationf("%s request %s got other bytes before it was cut: %q", kind, id, body)
	case broken == nil && status == http.StatusOK && body != want:
		b.violationf("%s request %s got another body: %q", kind, id, body)
	case status == http.StatusUnauthorized || status == http.StatusNotFound:
		b.violationf("%s request %s with the steady key got %d", kind, id, status)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if broken == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		b.refused[id] = true
	}
	if broken == nil && status == http.StatusOK {
		b.served++
	}
}

// accepted takes down that a gateway accepted a version's key in a request sent at a
// time, and checks that it has not stepped back.
func (b *recorder) recordAccepted(gateway string, version int, sent time.Time) {
	b.mutex.Lock()
	high := b.highest[gateway]
	if version > high.version {
		b.highest[gateway] = acceptedVersion{version, time.Now()}
	}
	b.mutex.Unlock()
	if version < high.version && sent.Sub(high.at) > inFlightWindow {
		b.violationf("%s accepted version %d, and %s later version %d", gateway, high.version, sent.Sub(high.at), version)
	}
}

// checkRuns compares what ran with what callers were told.
func (b *recorder) checkRuns(servers []*backend) {
	runs := map[string]int{}
	for _, s := range servers {
		for _, r := range s.Runs() {
			runs[r.ID]++
			if r.Account != "t1" {
				b.violationf("request %s ran for account %q", r.ID, r.Account)
			}
		}
	}
	for id, n := range runs {
		kind, known := b.sent[id]
		once := kind == "once" || kind == "stream"
		switch {
		case !known:
			b.violationf("request %s ran and nobody sent it", id)
		case once && n > 1:
			b.violationf("%s request %s ran %d times", kind, id, n)
		case once && b.refused[id]:
			b.violationf("%s request %s ran and was answered as not run", kind, id)
		}
	}
}

var kinds = []string{"once", "many", "stream", "resume"}

// expected is the whole body of a request's answer.
func expected(kind, id string) string {
	if kind != "stream" && kind != "resume" {
		return id
	}
	var b strings.Builder
	for n := range streamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d%s\n\n", n+1, n+1, id)
	}
	return b.String()
}

// call sends requests until ctx ends, on connections that are kept.
func (r *Run) runCaller(ctx context.Context, caller int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(caller)+100))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		kind := kinds[random.IntN(len(kinds))]
		p := r.gateways[random.IntN(len(r.gateways))]
		r.sendSteady(client, p, fmt.Sprintf("c%d-%d", caller, n), kind)
		if n%10 == 0 {
			r.probeVersion(client, p, fmt.Sprintf("l%d-%d", caller, n), random)
		}
		time.Sleep(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
	}
}

// one sends a request with the steady key and takes its answer down.
func (r *Run) sendSteady(client *http.Client, p *process, id, kind string) {
	r.recorder.mutex.Lock()
	r.recorder.sent[id] = kind
	planned := r.recorder.stopping[p.front]
	r.recorder.mutex.Unlock()
	status, body, err := r.send(client, p, "/"+kind+"/", id, "steady", defaultBody)
	if status == 0 {
		return // no answer: nothing is promised
	}
	r.recorder.mutex.Lock()
	planned = planned || r.recorder.stopping[p.front]
	r.recorder.mutex.Unlock()
	r.recorder.recordAnswer(id, kind, p.front, status, body, err, planned)
}

// look asks with the key of one of the latest versions.
func (r *Run) probeVersion(client *http.Client, p *process, id string, random *rand.Rand) {
	r.recorder.mutex.Lock()
	r.recorder.sent[id] = "many"
	version := r.recorder.newestVersion() - random.IntN(3) + 1
	r.recorder.mutex.Unlock()
	gateway, sent := fmt.Sprintf("%s/%d", p.name, p.currentIncarnation()), time.Now()
	status, _, err := r.send(client, p, "/many/", id, fmt.Sprintf("key-%d", version), defaultBody)
	if err == nil && status == http.StatusOK && gateway == fmt.Sprintf("%s/%d", p.name, p.currentIncarnation()) {
		r.recorder.recordAccepted(gateway, version, sent)
	}
}

// callerDeadline is shorter than the routes' longest timeout.
const callerDeadline = 3500 * time.Millisecond

// newest is the newest version that any gateway was seen to accept.
func (b *recorder) newestVersion() int {
	n := 0
	for _, s := range b.highest {
		n = max(n, s.version)
	}
	return n
}

// ask sends a request that may repeat with a key and returns its status.
func (r *Run) probe(p *process, key string) int {
	id := fmt.Sprintf("ask-%s-%d", p.name, time.Now().UnixNano())
	r.recorder.mutex.Lock()
	r.recorder.sent[id] = "many"
	r.recorder.mutex.Unlock()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	status, _, _ := r.send(client, p, "/many/", id, key, defaultBody)
	return status
}

// usualBody is what callers ask.
const defaultBody = "hello"

// send sends one request; status 0: no answer came, an error beside a status: it broke
// off.
func (r *Run) send(client *http.Client, p *process, path, id, key, question string) (status int, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.front+path, strings.NewReader(question))
	if err != nil {
		return 0, "", err
	}
	request.GetBody = nil // it must not be sent again by itself
	request.Host = "h"
	platform.SetCaller(request.Header, id, key, callerDeadline)
	from := p.epoch()
	request.Header.Set(gatewayMark, from)
	request.Header.Set(sentMark, time.Now().Format(time.RFC3339Nano))
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	if response.Header.Get("Server-Leaving") != "" && from == p.epoch() {
		r.recorder.mutex.Lock()
		r.recorder.signals.recordLeaving(sender{from, response.Header.Get(lifetimeMark)})
		r.recorder.mutex.Unlock()
	}
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}
