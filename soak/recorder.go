package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// recorder records what callers and servers observe, and the violations found.
type recorder struct {
	mutex      sync.Mutex
	sent       map[string]string          // kind of each request
	accounts   map[string]string          // account of each request; none: t1
	answers    []answer                   // to regular requests
	unanswered []answer                   // regular requests without an answer
	refused    map[string]bool            // requests that were answered as not executed
	stopping   map[string]bool            // caller addresses of gateways in a planned stop with no other fault active
	highest    map[string]acceptedVersion // newest version accepted, by gateway and incarnation
	violations []string
	served     int
	fatal      map[string]*fatalHistory // by request body
	signals    serverSignals
}

// answer is an answer to a regular request.
type answer struct {
	at            time.Time
	kind, account string
	served        bool
	detail        string // duration, gateway, and status with the start of a refusal or the error
}

// acceptedVersion is the newest version whose key a gateway has accepted, and when that was
// first observed.
type acceptedVersion struct {
	version int
	at      time.Time
}

func newRecorder() *recorder {
	return &recorder{sent: map[string]string{}, accounts: map[string]string{}, refused: map[string]bool{}, stopping: map[string]bool{}, highest: map[string]acceptedVersion{}, fatal: map[string]*fatalHistory{}, signals: serverSignals{leaving: map[sender]time.Time{}}}
}

// violationf records a violation with the current time.
func (b *recorder) violationf(format string, a ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.violations = append(b.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, a...))
}

// report returns all violations, including those of the server signals.
func (b *recorder) report() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.violations = append(b.violations, b.signals.check()...)
	if b.served == 0 {
		return append(b.violations, "no request was answered with status 200")
	}
	return slices.Clone(b.violations)
}

// setStopping records whether the gateway at front is in a planned stop.
func (b *recorder) setStopping(front string, stopping bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopping[front] = stopping
}

// recordAnswer records an answer and checks it against what its request must return.
func (b *recorder) recordAnswer(id, kind, front string, status int, body string, readErr error, planned bool, detail string) {
	want := expected(kind, id)
	switch {
	case readErr != nil && planned:
		b.violationf("planned stop of %s cut %s request %s: %v", front, kind, id, readErr)
	case readErr != nil && !strings.HasPrefix(want, body):
		b.violationf("%s request %s got unexpected bytes before it was cut: %q", kind, id, body)
	case readErr == nil && status == http.StatusOK && body != want:
		b.violationf("%s request %s got an unexpected body: %q", kind, id, body)
	case status == http.StatusUnauthorized || status == http.StatusNotFound:
		b.violationf("%s request %s with the permanent key got status %d", kind, id, status)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if readErr == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		b.refused[id] = true
	}
	served := readErr == nil && status == http.StatusOK
	if served {
		b.served++
	}
	b.answers = append(b.answers, answer{time.Now(), kind, cmp.Or(b.accounts[id], "t1"), served, detail})
}

// recordUnanswered records a request to which no answer arrived.
func (b *recorder) recordUnanswered(kind, account, detail string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.unanswered = append(b.unanswered, answer{at: time.Now(), kind: kind, account: account, detail: detail})
}

// recordAccepted records that a gateway accepted a version's key in a request sent at the
// given time, and checks that the gateway has not reverted to an older version.
func (b *recorder) recordAccepted(gateway string, version int, sent time.Time) {
	b.mutex.Lock()
	high := b.highest[gateway]
	if version > high.version {
		b.highest[gateway] = acceptedVersion{version, time.Now()}
	}
	b.mutex.Unlock()
	if version < high.version && sent.Sub(high.at) > inFlightWindow {
		b.violationf("%s accepted version %d and, %s later, version %d", gateway, high.version, sent.Sub(high.at), version)
	}
}

// checkRuns compares the executions on the servers with what callers were told.
func (b *recorder) checkRuns(servers []*backend) {
	runs := map[string]int{}
	lasted := map[string][]platformtest.Run{}
	for _, s := range servers {
		for _, r := range s.Runs() {
			lasted[r.ID] = append(lasted[r.ID], r)
			if r.From != "" {
				continue // the same run
			}
			runs[r.ID]++
			if r.Account != cmp.Or(b.accounts[r.ID], "t1") {
				b.violationf("request %s ran for account %q", r.ID, r.Account)
			}
		}
	}
	for id, list := range lasted {
		b.checkOneAtATime(id, list)
	}
	for id, n := range runs {
		kind, known := b.sent[id]
		once := slices.Contains(onceKinds, kind)
		switch {
		case !known:
			b.violationf("request %s ran but was never sent", id)
		case once && n > 1:
			b.violationf("%s request %s ran %d times", kind, id, n)
		case b.refused[id]:
			b.violationf("%s request %s ran but was answered as not executed", kind, id)
		}
	}
}

// checkOneAtATime checks that a run that went on from a copy had ended elsewhere, that no copy served
// twice, and that the run went on from a backup at most once: under a second crash it ends.
func (b *recorder) checkOneAtATime(id string, runs []platformtest.Run) {
	slices.SortFunc(runs, func(x, y platformtest.Run) int { return x.Began.Compare(y.Began) })
	backups := 0
	for i, r := range runs {
		if r.From != "" && (i == 0 || runs[i-1].Ended.IsZero() || r.Began.Before(runs[i-1].Ended)) {
			b.violationf("request %s went on from %s while it ran elsewhere", id, r.From)
		}
		if slices.ContainsFunc(runs[:i], func(x platformtest.Run) bool { return r.From != "" && x.From == r.From }) {
			b.violationf("request %s went on from %s twice", id, r.From)
		}
		if strings.HasSuffix(r.From, "/"+id) {
			backups++
		}
	}
	if backups > 1 {
		b.violationf("request %s went on from %d backups", id, backups)
	}
}

// onceKinds are the kinds of requests that run once at most.
var onceKinds = []string{"once", "stream", "plain-once", "moved"}

// kinds are the kinds of requests; each has a route of its own.
var kinds = []string{"once", "many", "stream", "resume"}

// expected returns the complete body of a request's answer.
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

// runCaller sends requests over persistent connections until ctx ends.
func (r *Run) runCaller(ctx context.Context, caller int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(caller)+100))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		kind := kinds[random.IntN(len(kinds))]
		p := r.gateways[random.IntN(len(r.gateways))]
		r.sendSteady(client, p, fmt.Sprintf("c%d-%d", caller, n), kind, r.accountOf(caller))
		if n%10 == 0 {
			r.probeVersion(client, p, fmt.Sprintf("l%d-%d", caller, n), random)
		}
		time.Sleep(time.Duration(random.Int64N(int64(20 * time.Millisecond))))
	}
}

// sendSteady sends a request with an account's key of every version and records its answer. After a
// refusal it waits for a moment.
func (r *Run) sendSteady(client *http.Client, p *process, id, kind, account string) {
	r.recorder.mutex.Lock()
	r.recorder.sent[id], r.recorder.accounts[id] = kind, account
	planned := r.recorder.stopping[p.front]
	r.recorder.mutex.Unlock()
	began := time.Now()
	status, body, err := r.send(client, p, "/"+kind+"/", id, steadyKeys[account], defaultBody)
	detail := fmt.Sprintf("%s after %s by %s: %d", id, time.Since(began).Round(time.Millisecond), p.name, status)
	if status != http.StatusOK || err != nil {
		detail += fmt.Sprintf(" %.60q %v", body, err)
	}
	if status == 0 {
		r.recorder.recordUnanswered(kind, account, detail)
		return // nothing is guaranteed without an answer
	}
	r.recorder.mutex.Lock()
	planned = planned || r.recorder.stopping[p.front]
	r.recorder.mutex.Unlock()
	r.recorder.recordAnswer(id, kind, p.front, status, body, err, planned, detail)
	if status == http.StatusServiceUnavailable && (r.options.Surplus || r.options.Plain) {
		time.Sleep(refusedPause)
	}
}

// refusedPause is the pause of a caller that was refused; gateways ask for 0.2 s or more.
const refusedPause = 100 * time.Millisecond

// probeVersion sends a request with the key of one of the latest versions.
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

// newestVersion returns the newest version that any gateway has accepted.
func (b *recorder) newestVersion() int {
	n := 0
	for _, s := range b.highest {
		n = max(n, s.version)
	}
	return n
}

// probe sends an idempotent request with the given key and returns its status. While the gateway is
// short of processor time, which is no fault of what is probed, it sends again as the gateway asks; also
// after other refusals if callers keep all slots taken.
func (r *Run) probe(p *process, key string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	for began := time.Now(); ; time.Sleep(refusedPause) {
		id := fmt.Sprintf("ask-%s-%d", p.name, time.Now().UnixNano())
		r.recorder.mutex.Lock()
		r.recorder.sent[id] = "many"
		r.recorder.mutex.Unlock()
		status, body, _ := r.send(client, p, "/many/", id, key, defaultBody)
		busy := r.options.Surplus && status == http.StatusServiceUnavailable || isOverloaded(status, body)
		if !busy || time.Since(began) > maxOverload {
			return status
		}
	}
}

// isOverloaded reports whether a gateway that is short of processor time rejected a request.
func isOverloaded(status int, body string) bool {
	return status == http.StatusServiceUnavailable && strings.HasPrefix(body, "gateway short of processor")
}

// maxOverload is the time for which a gateway may refuse probes because the machine or the servers are
// busy.
const maxOverload = 5 * time.Second

// defaultBody is the request body of regular callers.
const defaultBody = "hello"

// longAnswer is the length in tokens of answers that would outlast servers that leave.
const longAnswer = 100_000

// send sends one request. Status 0 means that no answer arrived; an error beside a nonzero
// status means that the body was cut.
func (r *Run) send(client *http.Client, p *process, path, id, key, payload string) (status int, body string, err error) {
	return r.sendPrompt(client, p, path, id, key, payload, r.soundPrompt(id))
}

// sendPrompt sends a request with these parts of a prompt; nil: it has none.
func (r *Run) sendPrompt(client *http.Client, p *process, path, id, key, payload string, prompt []string) (status int, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.front+path, strings.NewReader(payload))
	if err != nil {
		return 0, "", err
	}
	request.GetBody = nil // the transport must not retry by itself
	request.Host = "h"
	platform.SetCallerHeaders(request.Header, id, key, callerDeadline)
	if r.options.copiesRuns() {
		platform.SetLengthHeader(request.Header, longAnswer)
	}
	if r.options.Surplus {
		platform.SetTokenHeader(request.Header, surplusPrompt, 1)
	}
	if len(prompt) > 0 {
		platform.SetPromptHeader(request.Header, promptPartTokens, prompt...)
	}
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
	if refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests; refused {
		if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err != nil || after <= 0 {
			r.recorder.violationf("request %s was refused with the retry time %q", id, response.Header.Get("Retry-After"))
		}
	}
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}
