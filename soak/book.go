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
type book struct {
	mutex    sync.Mutex
	sent     map[string]string // kind of each request
	refused  map[string]bool   // requests that were answered as not run
	stopping map[string]bool   // fronts of gateways in a planned stop without other trouble
	highest  map[string]seen   // newest key accepted, by gateway and incarnation
	faults   []string
	served   int
	fatal    map[string]*fatalities // by body
	words    words
}

// seen is when a gateway was first seen to accept a version's key.
type seen struct {
	version int
	at      time.Time
}

func newBook() *book {
	return &book{sent: map[string]string{}, refused: map[string]bool{}, stopping: map[string]bool{}, highest: map[string]seen{}, fatal: map[string]*fatalities{}, words: words{leaving: map[sender]time.Time{}}}
}

func (b *book) breaks(format string, a ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = append(b.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

func (b *book) broken() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = append(b.faults, b.words.check()...)
	if b.served == 0 {
		return append(b.faults, "nothing was served")
	}
	return slices.Clone(b.faults)
}

func (b *book) planned(front string, begins bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopping[front] = begins
}

// answered takes down an answer and checks what it says by itself.
func (b *book) answered(id, kind, front string, status int, body string, broken error, planned bool) {
	want := expected(kind, id)
	switch {
	case broken != nil && planned:
		b.breaks("planned stop of %s cut %s request %s: %v", front, kind, id, broken)
	case broken != nil && !strings.HasPrefix(want, body):
		b.breaks("%s request %s got other bytes before it was cut: %q", kind, id, body)
	case broken == nil && status == http.StatusOK && body != want:
		b.breaks("%s request %s got another body: %q", kind, id, body)
	case status == http.StatusUnauthorized || status == http.StatusNotFound:
		b.breaks("%s request %s with the steady key got %d", kind, id, status)
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
func (b *book) accepted(gateway string, version int, sent time.Time) {
	b.mutex.Lock()
	high := b.highest[gateway]
	if version > high.version {
		b.highest[gateway] = seen{version, time.Now()}
	}
	b.mutex.Unlock()
	if version < high.version && sent.Sub(high.at) > goesBack {
		b.breaks("%s accepted version %d, and %s later version %d", gateway, high.version, sent.Sub(high.at), version)
	}
}

// checkRuns compares what ran with what callers were told.
func (b *book) checkRuns(servers []*backend) {
	runs := map[string]int{}
	for _, s := range servers {
		for _, r := range s.Runs() {
			runs[r.ID]++
			if r.Account != "t1" {
				b.breaks("request %s ran for account %q", r.ID, r.Account)
			}
		}
	}
	for id, n := range runs {
		kind, known := b.sent[id]
		once := kind == "once" || kind == "stream"
		switch {
		case !known:
			b.breaks("request %s ran and nobody sent it", id)
		case once && n > 1:
			b.breaks("%s request %s ran %d times", kind, id, n)
		case once && b.refused[id]:
			b.breaks("%s request %s ran and was answered as not run", kind, id)
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
func (r *Run) call(ctx context.Context, caller int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(caller)+100))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		kind := kinds[random.IntN(len(kinds))]
		p := r.gateways[random.IntN(len(r.gateways))]
		r.one(client, p, fmt.Sprintf("c%d-%d", caller, n), kind)
		if n%10 == 0 {
			r.look(client, p, fmt.Sprintf("l%d-%d", caller, n), random)
		}
		time.Sleep(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
	}
}

// one sends a request with the steady key and takes its answer down.
func (r *Run) one(client *http.Client, p *process, id, kind string) {
	r.book.mutex.Lock()
	r.book.sent[id] = kind
	planned := r.book.stopping[p.front]
	r.book.mutex.Unlock()
	status, body, err := r.send(client, p, "/"+kind+"/", id, "steady", usualBody)
	if status == 0 {
		return // no answer: nothing is promised
	}
	r.book.mutex.Lock()
	planned = planned || r.book.stopping[p.front]
	r.book.mutex.Unlock()
	r.book.answered(id, kind, p.front, status, body, err, planned)
}

// look asks with the key of one of the latest versions.
func (r *Run) look(client *http.Client, p *process, id string, random *rand.Rand) {
	r.book.mutex.Lock()
	r.book.sent[id] = "many"
	version := r.book.newest() - random.IntN(3) + 1
	r.book.mutex.Unlock()
	gateway, sent := fmt.Sprintf("%s/%d", p.name, p.lifetime()), time.Now()
	status, _, err := r.send(client, p, "/many/", id, fmt.Sprintf("key-%d", version), usualBody)
	if err == nil && status == http.StatusOK && gateway == fmt.Sprintf("%s/%d", p.name, p.lifetime()) {
		r.book.accepted(gateway, version, sent)
	}
}

// callerDeadline is shorter than the routes' longest timeout.
const callerDeadline = 3500 * time.Millisecond

// newest is the newest version that any gateway was seen to accept.
func (b *book) newest() int {
	n := 0
	for _, s := range b.highest {
		n = max(n, s.version)
	}
	return n
}

// ask sends a request that may repeat with a key and returns its status.
func (r *Run) ask(p *process, key string) int {
	id := fmt.Sprintf("ask-%s-%d", p.name, time.Now().UnixNano())
	r.book.mutex.Lock()
	r.book.sent[id] = "many"
	r.book.mutex.Unlock()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	status, _, _ := r.send(client, p, "/many/", id, key, usualBody)
	return status
}

// usualBody is what callers ask.
const usualBody = "hello"

// send sends one request; status 0: no answer came, an error beside a status: it broke
// off.
func (r *Run) send(client *http.Client, p *process, path, id, key, question string) (status int, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.front+path, strings.NewReader(question))
	if err != nil {
		return 0, "", err
	}
	request.GetBody = nil // it must not be sent again by itself
	request.Host = "h"
	platform.SetCallerHeaders(request.Header, id, key, callerDeadline)
	from := p.mark()
	request.Header.Set(gatewayMark, from)
	request.Header.Set(sentMark, time.Now().Format(time.RFC3339Nano))
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	if response.Header.Get("Server-Leaving") != "" && from == p.mark() {
		r.book.mutex.Lock()
		r.book.words.passedOn(sender{from, response.Header.Get(lifetimeMark)})
		r.book.mutex.Unlock()
	}
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}
