package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"opalbridge.dev/platform"
)

// This file generates the callers of planned work. They write requests to connections of their own, so that
// they know when a request had arrived and when its connection ended.

const (
	// A request that was sent this long before its connection ends must have an answer (lost_slack_ms).
	lostSlack = 200 * time.Millisecond
	// A request has an answer, or its connection has ended, by then. It is longer than all routes' timeouts.
	answerTimeout = 6 * time.Second
	// Most requests on a connection.
	connectionRequests = 40
	dialTimeout        = 2 * time.Second
)

// habit is how a caller uses a connection.
type habit struct {
	name             string
	minOpen, maxOpen time.Duration // before the first request
	minRest, maxRest time.Duration // between two requests
	pieces           int           // in which a request is sent, at most
}

var habits = []habit{
	{"busy", 0, time.Millisecond, 0, 30 * time.Millisecond, 1},
	{"resting", 0, time.Millisecond, 300 * time.Millisecond, 4 * time.Second, 1},
	{"late", 0, 3 * time.Second, 50 * time.Millisecond, time.Second, 1},
	{"in pieces", 0, 100 * time.Millisecond, 0, 300 * time.Millisecond, 5},
}

// piecePause is the longest pause between two pieces of a request.
const piecePause = 120 * time.Millisecond

// plannedKinds are the kinds of requests; each has a route of its own.
var plannedKinds = slices.Concat(kinds, []string{"moved", "extra"})

// request is a request of a caller.
type request struct {
	id, kind, key string
	gateway       string
	habit         string
	number        int // on its connection, from 0
	began, sent   time.Time
	ended         time.Time // of the answer or the connection
	status        int       // 0: there was no answer
	body          string
	retryAfter    string
	err           error // the answer is not whole
}

// String describes a request for a violation.
func (q *request) String() string {
	return fmt.Sprintf("%s request %s to %s (%s, %d. on its connection, sent at %s)", q.kind, q.id, q.gateway, q.habit, q.number+1, q.sent.Format("15:04:05.000"))
}

// answers counts what callers got.
type answers struct {
	mutex       sync.Mutex
	statuses    map[int]int
	cuts        int // streams that were cut as a stop may
	cutEarly    []*request
	early       int // connections that ended within lostSlack without an answer
	connections int
	refused     int // connections
	unanswered  []*request
	moved       []*request // of the kind "moved"
}

// runConnections opens connections and uses them until ctx ends.
func (r *Run) runConnections(ctx context.Context, caller int) {
	defer r.callers.Done()
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(caller)+2000))
	for n := 0; ctx.Err() == nil; n++ {
		p := r.chooseGateway(random)
		c, err := net.DialTimeout("tcp4", p.front, dialTimeout)
		if err != nil {
			r.answers.mutex.Lock()
			r.answers.refused++
			r.answers.mutex.Unlock()
			rest(ctx, 20*time.Millisecond, 100*time.Millisecond, random)
			continue
		}
		u := &connectionUse{run: r, conn: c, reader: bufio.NewReader(c), gateway: p.name, habit: habits[random.IntN(len(habits))], random: random}
		u.use(ctx, fmt.Sprintf("c%d-%d", caller, n))
		c.Close()
	}
}

// chooseGateway chooses a gateway, often one that is stopping.
func (r *Run) chooseGateway(random *rand.Rand) *process {
	p := r.randomGateway(random)
	if random.IntN(2) == 0 && !r.planned.isBusy(p.name) {
		p = r.randomGateway(random)
	}
	return p
}

// rest waits for a random time, or until ctx ends.
func rest(ctx context.Context, from, to time.Duration, random *rand.Rand) {
	select {
	case <-ctx.Done():
	case <-time.After(from + time.Duration(random.Int64N(int64(to-from)+1))):
	}
}

// connectionUse is the use of a connection by a caller.
type connectionUse struct {
	run     *Run
	conn    net.Conn
	reader  *bufio.Reader
	gateway string
	habit   habit
	random  *rand.Rand
}

// use sends requests until the connection ends.
func (u *connectionUse) use(ctx context.Context, name string) {
	a := &u.run.answers
	a.mutex.Lock()
	a.connections++
	a.mutex.Unlock()
	rest(ctx, u.habit.minOpen, u.habit.maxOpen, u.random)
	for n := range connectionRequests {
		if ctx.Err() != nil {
			return
		}
		q := &request{
			id: fmt.Sprintf("%s-%d", name, n), kind: plannedKinds[u.random.IntN(len(plannedKinds))], key: "steady",
			gateway: u.gateway, habit: u.habit.name, number: n,
		}
		if q.kind == "many" && u.random.IntN(2) == 0 {
			q.key = "passing"
		}
		if u.ended() || !u.send(q) {
			return
		}
		u.receive(q)
		u.run.checkAnswer(q)
		if q.err != nil || q.status == 0 {
			return
		}
		rest(ctx, u.habit.minRest, u.habit.maxRest, u.random)
	}
}

// ended reports whether the connection has ended while no request was under way. Nothing may arrive then.
func (u *connectionUse) ended() bool {
	raw, err := u.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var one [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if n > 0 || u.reader.Buffered() > 0 {
		u.run.recorder.violationf("%s sent something without a request (%s)", u.gateway, u.habit.name)
		return true
	}
	return controlErr != nil || err != syscall.EAGAIN
}

// send sends a request, and reports whether it was sent whole.
func (u *connectionUse) send(q *request) bool {
	u.run.recorder.mutex.Lock()
	u.run.recorder.sent[q.id] = q.kind
	u.run.recorder.mutex.Unlock()
	q.began = time.Now()
	h := http.Header{}
	platform.SetCallerHeaders(h, q.id, q.key, callerDeadline)
	var text strings.Builder
	fmt.Fprintf(&text, "POST /%s/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", q.kind, len(defaultBody))
	_ = h.Write(&text) // it can't fail
	text.WriteString("\r\n" + defaultBody)
	pieces := cutIntoPieces(text.String(), 1+u.random.IntN(u.habit.pieces), u.random)
	for i, piece := range pieces {
		if i > 0 {
			rest(context.Background(), 0, piecePause, u.random)
		}
		if _, err := io.WriteString(u.conn, piece); err != nil {
			return false
		}
	}
	q.sent = time.Now()
	return true
}

// cutIntoPieces cuts a text at random places.
func cutIntoPieces(text string, count int, random *rand.Rand) []string {
	cuts := []int{0, len(text)}
	for range count - 1 {
		cuts = append(cuts, random.IntN(len(text)))
	}
	slices.Sort(cuts)
	var pieces []string
	for i := range len(cuts) - 1 {
		pieces = append(pieces, text[cuts[i]:cuts[i+1]])
	}
	return pieces
}

// receive receives the answer to a request. An answer after which the connection ends leaves an error of
// errConnectionEnds.
func (u *connectionUse) receive(q *request) {
	defer func() { q.ended = time.Now() }()
	_ = u.conn.SetReadDeadline(time.Now().Add(answerTimeout)) // if it fails, so does the read
	response, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		q.err = err
		return
	}
	q.status, q.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	body, err := io.ReadAll(response.Body)
	q.body, q.err = string(body), err
	if err == nil && response.Close {
		q.err = errConnectionEnds
	}
}

// errConnectionEnds says that an answer is whole and that no other request may follow it.
var errConnectionEnds = errors.New("the connection ends after its answer")

// whole reports whether a request got a whole answer.
func (q *request) whole() bool {
	return q.status != 0 && (q.err == nil || q.err == errConnectionEnds)
}

// checkAnswer checks what a request got.
func (r *Run) checkAnswer(q *request) {
	r.answers.record(q)
	switch {
	case errors.Is(q.err, os.ErrDeadlineExceeded):
		r.recorder.violationf("%s: neither answered nor closed after %s", q, answerTimeout)
	case q.status == 0: // checkPlanned checks it: how late this process was is known a moment later only
	case !q.whole():
		r.checkCut(q)
	case q.status == http.StatusOK:
		r.checkServed(q)
	case q.status == http.StatusUnauthorized || q.status == http.StatusNotFound:
		r.checkDenied(q)
	case q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests:
		r.checkRefused(q)
	}
}

// record counts an answer.
func (a *answers) record(q *request) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.statuses == nil {
		a.statuses = map[int]int{}
	}
	if q.whole() {
		a.statuses[q.status]++
	}
	if q.status == 0 && !errors.Is(q.err, os.ErrDeadlineExceeded) {
		a.unanswered = append(a.unanswered, q)
	}
	if q.kind == "moved" {
		a.moved = append(a.moved, q)
	}
}

// checkUnanswered checks that a request whose connection ended had just been sent. The caller's own lateness
// counts for the gateway.
func (r *Run) checkUnanswered(q *request) {
	after := q.ended.Sub(q.sent)
	if late := r.lateness.most(q.sent, q.ended); after-late >= lostSlack {
		r.recorder.violationf("%s: its connection ended at %s without an answer, %s later, %s, callers up to %s late: %v",
			q, q.ended.Format("15:04:05.000"), after.Round(time.Millisecond), r.planned.sinceStop(q.gateway, q.ended), late.Round(time.Millisecond), q.err)
		return
	}
	r.planned.logf("%s: its connection ended at %s without an answer, %s later, %s: %v", q, q.ended.Format("15:04:05.000"), after, r.planned.sinceStop(q.gateway, q.ended), q.err)
	r.answers.early++
}

// checkCut checks that an answer that was cut is that of a stream, at the end of a grace period or of the
// stream's own time.
func (r *Run) checkCut(q *request) {
	isStream := q.kind == "stream" || q.kind == "resume"
	r.answers.mutex.Lock()
	defer r.answers.mutex.Unlock()
	if !isStream || !q.outOfTime() && !r.planned.mayCut(q.gateway, q.sent, q.ended) {
		r.answers.cutEarly = append(r.answers.cutEarly, q)
		return
	}
	r.answers.cuts++
}

// checkCutEarly checks an answer that was cut although its gateway was not at the end of a grace period. A gateway
// to which the connection was handed off may have been, if it was not stopping yet when the request was sent.
func (r *Run) checkCutEarly(q *request) {
	server := r.servedBy(q.id)
	isStream := q.kind == "stream" || q.kind == "resume"
	if isStream && r.planned.mayCutForwarded(server, q.sent, q.ended) {
		r.answers.cuts++
		return
	}
	r.recorder.violationf("%s: its answer (%d) was cut at %s, %s later, %s; served by %q, %s: %v", q, q.status, q.ended.Format("15:04:05.000"), q.ended.Sub(q.sent).Round(time.Millisecond),
		r.planned.sinceStop(q.gateway, q.ended), server, r.planned.sinceStop(server, q.ended), q.err)
}

// servedBy returns the gateway that ended a request, by the gateways' logs; empty: none tells it.
func (r *Run) servedBy(id string) string {
	for _, p := range r.gateways {
		log, err := os.ReadFile(p.log.Name())
		if err == nil && bytes.Contains(log, []byte(`"event":"request.ended","request":"`+id+`"`)) {
			return p.name
		}
	}
	return ""
}

// outOfTime reports whether the time that its caller gives a request was over when it ended.
func (q *request) outOfTime() bool { return q.ended.Sub(q.began) >= callerDeadline }

// checkServed checks the body of a success, and that a configuration allowed it.
func (r *Run) checkServed(q *request) {
	if want := expected(q.kind, q.id); q.body != want {
		r.recorder.violationf("%s: unexpected body %q", q, q.body)
	}
	if !slices.ContainsFunc(r.planned.inForce(q.began, q.ended), q.allowedBy) {
		r.recorder.violationf("%s: served although no configuration allows it", q)
	}
	r.recorder.mutex.Lock()
	defer r.recorder.mutex.Unlock()
	r.recorder.served++
}

// checkDenied checks that a configuration denied a request.
func (r *Run) checkDenied(q *request) {
	denied := func(c plannedConfig) bool { return !q.allowedBy(c) }
	if !slices.ContainsFunc(r.planned.inForce(q.began, q.ended), denied) {
		r.recorder.violationf("%s: status %d although all configurations allow it", q, q.status)
	}
}

// allowedBy reports whether a configuration allows a request.
func (q *request) allowedBy(c plannedConfig) bool {
	return (q.kind != "extra" || c.extra) && (q.key != "passing" || c.key)
}

// checkRefused records that a request was refused, so that it must not have run.
func (r *Run) checkRefused(q *request) {
	if after, err := strconv.ParseFloat(q.retryAfter, 64); err != nil || after <= 0 {
		r.recorder.violationf("%s: refused with the retry time %q", q, q.retryAfter)
	}
	r.recorder.mutex.Lock()
	defer r.recorder.mutex.Unlock()
	r.recorder.refused[q.id] = true
}

// checkPlanned checks, after all callers have ended, that no request was passed on to a server and not
// answered, and that a route that moved was served by the service of a configuration.
func (r *Run) checkPlanned() {
	if !r.options.Stops {
		return
	}
	type arrived struct {
		service string
		at      time.Time
	}
	ran := map[string]arrived{}
	for _, s := range r.allServers() {
		for _, run := range s.Runs() {
			ran[run.ID] = arrived{s.Service, run.Began}
		}
	}
	for _, q := range r.answers.unanswered {
		r.checkUnanswered(q)
		if at, ok := ran[q.id]; ok {
			r.recorder.violationf("%s: passed on after %s, and its connection ended without an answer %s later, %s",
				q, at.at.Sub(q.sent), q.ended.Sub(q.sent), r.planned.sinceStop(q.gateway, q.ended))
		}
	}
	for _, q := range r.answers.cutEarly {
		r.checkCutEarly(q)
	}
	for _, q := range r.answers.moved {
		at, ok := ran[q.id]
		serves := func(c plannedConfig) bool { return (at.service == "p") == c.moved }
		if ok && !slices.ContainsFunc(r.planned.inForce(q.began, at.at), serves) {
			r.recorder.violationf("%s: ran at service %s, to which no configuration sends it", q, at.service)
		}
	}
	r.planned.log.Close()
}

// Planned describes what planned work was done and what callers got.
func (r *Run) Planned() string {
	a, w := &r.answers, r.planned
	return fmt.Sprintf("%d stops, %d suspensions, %d SIGHUPs, %d configurations, %d servers left; %d connections, %d refused ones, answers by status %v, "+
		"%d streams cut as allowed, %d requests whose connection ended within %s, callers up to %s late",
		len(w.stops), w.count.suspensions, w.count.hangups, len(w.configs), w.count.leavings,
		a.connections, a.refused, a.statuses, a.cuts, a.early, lostSlack, r.lateness.most(time.Time{}, time.Now()).Round(time.Millisecond))
}

// lateness measures how late this process runs what is ready. Its zero value has measured nothing.
type lateness struct {
	mutex   sync.Mutex
	samples []lateSample
}

type lateSample struct {
	at   time.Time
	late time.Duration
}

// Interval and least value of samples of lateness.
const (
	lateInterval = 5 * time.Millisecond
	lateMin      = 5 * time.Millisecond
)

// run measures until ctx ends.
func (l *lateness) run(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(lateInterval)
		time.Sleep(lateInterval)
		if late := time.Since(due); late >= lateMin {
			l.mutex.Lock()
			l.samples = append(l.samples, lateSample{due, late})
			l.mutex.Unlock()
		}
	}
}

// most returns the greatest lateness in a time.
func (l *lateness) most(from, to time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	late := lateMin
	for _, s := range l.samples {
		if s.at.Add(s.late).After(from) && s.at.Before(to) {
			late = max(late, s.late)
		}
	}
	return late
}
