package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// This file decides which connections of callers are served, and turns the others away
// before they cost much: a connection that the HTTP server handles costs a small host
// 0.15 ms of processor even if its request is refused, so that a host of a seventh of a
// core could refuse 950 a second and do nothing else; it ran out of descriptors and
// memory on the way. Here one goroutine answers them all, without parsing, a goroutine
// or a buffer of their own.

const (
	// Connections that wait to be turned away; with more, no more are accepted until some
	// are gone. The kernel's queue holds the next ones, and then callers look elsewhere.
	mostTurning = 256
	// A caller's request comes one round trip after its connection, so it is looked for
	// from then on, this often.
	turnEvery = 5 * time.Millisecond
	// Without a whole request by then the connection is closed.
	turnPatience = 300 * time.Millisecond
	// A head of a request is looked at up to this length.
	longestTurnedHead = 16 << 10
	turnBuffer        = 32 << 10
	// Turned away requests that one line of the log names.
	turnedALine = 64
	// A line is written at the latest after this time.
	turnedLineEvery = 250 * time.Millisecond
	// Connections of which nothing has been heard yet, while the process is short of
	// processor: with more, the next ones are turned away. On a host of a seventh of a core
	// they are 25 ms of work. Without this they waited for a second and more, and requests
	// reached their servers after their callers had left.
	mostStarting = 24
	// A connection that says nothing for this long waits for its caller, not for us.
	startingFor = 250 * time.Millisecond
)

// turnedAnswer is what they get: as not run, and with another connection at once, which
// goes to another gateway.
var turnedAnswer = []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Retry-After: " + strconv.FormatFloat(overloadRetryAfter.Seconds(), 'f', 3, 64) + "\r\nContent-Length: " + strconv.Itoa(len(turnedReason)) + "\r\n\r\n" + turnedReason)

const turnedReason = "gateway short of processor or connections\n"

// room is what a process can hold of its callers.
type room struct {
	connections int64 // accepted ones
	requests    int64 // in hand at once
}

// Sizes that room is reckoned from.
const (
	// Descriptors for files, the listeners, the store and other gateways.
	reservedDescriptors = 300
	// Memory of a request in hand: its goroutines, buffers, body, and bytes in sockets.
	requestMemory = 60 << 10
	// Of the memory, requests may take this share. The rest is the process's own, and
	// garbage.
	requestShare = 0.4
	// Memory of a connection that rests.
	restingMemory = 16 << 10
)

// roomFor returns what a process with so much memory (bytes) and so many descriptors can
// hold; 0 stands for no limit.
func roomFor(memory int64, descriptors int) room {
	r := room{connections: 1 << 20, requests: mostActive}
	if memory > 0 {
		r.requests = min(r.requests, int64(requestShare*float64(memory))/requestMemory)
		r.connections = int64(requestShare*float64(memory)) / restingMemory
	}
	if descriptors > 0 {
		// Each request in hand has a connection to a server as well.
		free := int64(max(descriptors-reservedDescriptors, 2))
		r.connections = min(r.connections, free*2/3)
		r.requests = min(r.requests, free/3)
	}
	return r
}

// admission is a listener for callers that turns connections away while the process has
// no room for them.
type admission struct {
	net.Listener
	room     room
	overload *overload
	pass     func(*callerConn) bool // passes a connection on to another gateway, if there is one
	turner   *turner
	open     atomic.Int64 // connections that were handed out and are not closed
	starting starting
}

// starting are the connections of which nothing has been heard yet.
type starting struct {
	mutex sync.Mutex
	since map[*callerConn]time.Time
}

func (s *starting) add(c *callerConn, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.since[c] = now
}

func (s *starting) remove(c *callerConn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.since, c)
}

// full tells whether more than enough are starting. It forgets those that wait for their
// callers.
func (s *starting) full(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.since) < mostStarting {
		return false
	}
	for c, since := range s.since {
		if now.Sub(since) > startingFor {
			delete(s.since, c)
		}
	}
	return len(s.since) >= mostStarting
}

func newAdmission(g *Gateway) *admission {
	return &admission{Listener: g.options.Front, room: g.room, overload: &g.overload, pass: func(*callerConn) bool { return false }, turner: newTurner(g), starting: starting{since: map[*callerConn]time.Time{}}}
}

// Accept implements net.Listener. What becomes of the next connection is decided before
// it is there, since one that is turned away is taken from the kernel in a cheaper way.
func (a *admission) Accept() (net.Conn, error) {
	for {
		began := time.Now()
		f := a.fate(began)
		if f == turnAway {
			if s, ok := a.acceptSocket(); ok {
				a.turn(s)
				continue
			}
		}
		c, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if now := time.Now(); now.Sub(began) > latenessEvery {
			f = a.fate(now) // it was long in coming
		}
		caller := &callerConn{Conn: c, admission: a}
		if f == turnAway {
			a.turn(caller) // it takes no room of those that are served
			continue
		}
		a.open.Add(1)
		caller.counts = true
		a.starting.add(caller, time.Now())
		if f == serve {
			return caller, nil
		}
		if !a.pass(caller) {
			a.turn(caller)
		}
	}
}

// fate is what becomes of a connection.
type fate int

const (
	serve fate = iota
	passOn
	turnAway
)

// fate decides what becomes of the next connection.
func (a *admission) fate(now time.Time) fate {
	switch {
	case a.open.Load() >= a.room.connections:
		return turnAway
	case a.overload.short() && a.starting.full(now):
		return turnAway
	case a.overload.admits() && !a.overload.lags(now, latenessHigh):
		return serve
	case a.overload.passes() && !a.overload.lags(now, latenessPass):
		return passOn
	default:
		return turnAway
	}
}

// acceptSocket takes a connection that is there already without what the runtime does for
// one: three system calls less, of some nine that it takes to turn one away. ok is false
// if none is there.
func (a *admission) acceptSocket() (s socket, ok bool) {
	listening, is := a.Listener.(syscall.Conn)
	if !is {
		return 0, false
	}
	raw, err := listening.SyscallConn()
	if err != nil {
		return 0, false // closed: Accept says so
	}
	fd := -1
	err = raw.Control(func(listener uintptr) {
		fd, _, err = unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		ok = err == nil
	})
	return socket(fd), ok && err == nil
}

// socket is a connection that is turned away, by its descriptor.
type socket int

// ReadNow implements turnable.
func (s socket) ReadNow(b []byte) (int, error) { return unix.Read(int(s), b) }

// Write implements io.Writer.
func (s socket) Write(b []byte) (int, error) { return unix.Write(int(s), b) }

// Close implements io.Closer.
func (s socket) Close() error { return unix.Close(int(s)) }

// turnable is a connection that can be turned away.
type turnable interface {
	io.WriteCloser
	ReadNow(b []byte) (int, error) // without waiting; EAGAIN: nothing is there
}

// turn turns a connection away.
func (a *admission) turn(c turnable) {
	a.turner.conns <- c // it is read until the listener has been closed
}

// callerConn is a caller's connection that counts until it is closed.
type callerConn struct {
	net.Conn
	admission *admission
	counts    bool // it takes room until it is closed
	once      sync.Once
	heard     bool // something was read; of whoever reads
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		if c.counts {
			c.admission.open.Add(-1)
			c.admission.starting.remove(c)
		}
	})
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.heard {
		c.heard = true
		c.admission.starting.remove(c)
	}
	return n, err
}

// Left implements handoff.Leaver.
func (c *callerConn) Left() bool { return c.gone() }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn lets handlers find the connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerGone tells whether the caller of a request has closed its connection.
func callerGone(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && c.gone()
}

// gone tells whether the caller has closed the connection, without waiting for the
// goroutine that would notice it.
func (c *callerConn) gone() bool {
	n, err := peek(c.Conn)
	return n == 0 && err == nil || err == unix.ECONNRESET
}

// peek looks for a byte without taking it; it does not wait.
func peek(c net.Conn) (n int, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, err
	}
	var one [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// rawConn returns the socket of a caller's connection.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("gateway: a %T has no socket", c)
	}
	return socket.SyscallConn()
}

// turner answers connections that are turned away.
type turner struct {
	conns   chan turnable
	log     zerolog.Logger
	metrics Metrics
	id      string // header that names a request
	buffer  []byte
	waiting []*turned
	ids     []string // of those answered since the last line
	line    time.Time
}

func newTurner(g *Gateway) *turner {
	return &turner{
		conns: make(chan turnable, mostTurning), log: g.log, metrics: g.options.Metrics,
		id: g.options.Codec.RequestIDHeader(), buffer: make([]byte, turnBuffer),
	}
}

// turned is a connection that is turned away.
type turned struct {
	turnable
	since   time.Time
	head    []byte // until it is whole
	whole   bool
	left    int64 // of the body
	chunked bool
	gone    bool
}

// run answers connections until ctx ends; then it closes those that are left.
func (t *turner) run(ctx context.Context) {
	tick := time.NewTicker(turnEvery)
	tick.Stop()
	defer tick.Stop()
	for {
		conns := t.conns
		if len(t.waiting) >= mostTurning {
			conns = nil
		}
		select {
		case <-ctx.Done():
			t.closeAll()
			return
		case c := <-conns:
			if len(t.waiting) == 0 {
				tick.Reset(turnEvery)
			}
			t.waiting = append(t.waiting, &turned{turnable: c, since: time.Now()})
		case now := <-tick.C:
			t.look(now)
			if len(t.waiting) == 0 {
				tick.Stop()
			}
		}
	}
}

func (t *turner) closeAll() {
	for _, c := range t.waiting {
		c.Close()
	}
	for {
		select {
		case c := <-t.conns:
			c.Close()
		default:
			return
		}
	}
}

// look answers those whose request has come.
func (t *turner) look(now time.Time) {
	kept := t.waiting[:0]
	for _, c := range t.waiting {
		late := now.Sub(c.since) > turnPatience
		if !c.take(t.buffer) && !late {
			kept = append(kept, c)
			continue
		}
		t.answer(c)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
	if len(t.ids) >= turnedALine || len(t.ids) > 0 && now.Sub(t.line) > turnedLineEvery {
		t.tell(now)
	}
}

// answer ends a connection. Who has sent no whole request gets no answer.
func (t *turner) answer(c *turned) {
	defer c.Close()
	if c.gone || !c.whole {
		return
	}
	// A caller that has gone has nobody to be told.
	_, _ = c.Write(turnedAnswer)
	t.ids = append(t.ids, string(headerValue(c.head, t.id)))
	t.metrics.Ended(Outcome{Result: "denied"})
}

// tell writes a line of those that were turned away.
func (t *turner) tell(now time.Time) {
	t.log.Info().Str("event", "request.denied").Strs("requests", t.ids).Int("status", 503).
		Str("reason", "gateway short of processor or connections").Dur("retry_after", overloadRetryAfter).Msg("answered")
	t.ids, t.line = t.ids[:0], now
}

// take takes what has arrived. It returns whether that is the whole request, or the
// caller has gone.
func (c *turned) take(buffer []byte) bool {
	for {
		n, err := c.ReadNow(buffer)
		if err == unix.EAGAIN {
			return false
		}
		if err != nil || n == 0 {
			c.gone = true
			return true
		}
		c.note(buffer[:n])
		if c.whole && c.left <= 0 {
			return true
		}
		if len(c.head) > longestTurnedHead {
			c.whole = true
			return true
		}
	}
}

// note counts bytes of the request.
func (c *turned) note(b []byte) {
	if c.whole {
		c.left -= int64(len(b))
		c.ends(b)
		return
	}
	c.head = append(c.head, b...)
	end := bytes.Index(c.head, []byte("\r\n\r\n"))
	if end < 0 {
		return
	}
	body := c.head[end+4:]
	c.head, c.whole = c.head[:end+2], true
	if length, err := strconv.ParseInt(string(headerValue(c.head, "Content-Length")), 10, 64); err == nil {
		c.left = length - int64(len(body))
	}
	if len(headerValue(c.head, "Transfer-Encoding")) > 0 {
		c.chunked, c.left = true, 1
		c.ends(body)
	}
	if len(headerValue(c.head, "Expect")) > 0 {
		c.left = 0 // the caller waits to be asked for its body
	}
}

// ends notes whether a body in chunks ends with these bytes.
func (c *turned) ends(b []byte) {
	if !c.chunked {
		return
	}
	c.left = 1
	if bytes.HasSuffix(b, []byte("0\r\n\r\n")) {
		c.left = 0
	}
}

// ReadNow implements turnable.
func (c *callerConn) ReadNow(buffer []byte) (n int, err error) {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return 0, err
	}
	readErr := raw.Read(func(fd uintptr) bool {
		n, err = unix.Read(int(fd), buffer)
		return true
	})
	if readErr != nil {
		return 0, readErr
	}
	return n, err
}

// headerValue returns the value of a header in the head of a request; nil: it has none.
func headerValue(head []byte, name string) []byte {
	for line := range bytes.Lines(head) {
		key, value, found := bytes.Cut(line, []byte(":"))
		if found && bytes.EqualFold(key, []byte(name)) {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}
