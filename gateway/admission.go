package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// This file decides which connections of callers are served, which are passed on to
// another gateway (pass.go) and which are turned away (turn.go), so that a small host runs out
// of neither descriptors nor memory, however many callers come to it.

const (
	// Connections of which nothing has been heard yet, while the process is short of
	// processor: with more, the next ones are turned away, before their callers leave.
	mostStarting = 24
	// A connection that says nothing for this long waits for its caller, not for us.
	startingFor = 250 * time.Millisecond
	// Connections that a process which is short of processor turns away in this time, while
	// there are gateways to pass others on to: a third of the processor of a small host, so
	// that turning away leaves time for passing on.
	turnWindow = 25 * time.Millisecond
	mostTurned = 32
	// What is neither served, passed on nor turned away is left in the kernel's queue, which
	// costs the process nothing; the queue is looked at again after this time.
	leaveFor = 5 * time.Millisecond
)

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
	pass     func(*callerConn) bool // passes a connection on; false: nobody takes it
	turner   *turner
	open     atomic.Int64 // connections that were handed out and are not closed
	starting starting
	closed   atomic.Bool
	turned   turnCount // owned by whoever accepts
}

// turnCount counts the connections that were turned away in a window of time.
type turnCount struct {
	since time.Time
	count int
}

// take tells whether one more may be turned away, and counts it.
func (t *turnCount) take(now time.Time) bool {
	if now.Sub(t.since) >= turnWindow {
		t.since, t.count = now, 0
	}
	if t.count >= mostTurned {
		return false
	}
	t.count++
	return true
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
	return &admission{
		Listener: g.options.CallerListener, room: g.room, overload: &g.overload, turner: newTurner(g),
		pass:     func(*callerConn) bool { return false },
		starting: starting{since: map[*callerConn]time.Time{}},
	}
}

// Accept implements net.Listener. What becomes of the next connection is decided before
// it is there, since one that is turned away is taken from the kernel in a cheaper way.
func (a *admission) Accept() (net.Conn, error) {
	for {
		began := time.Now()
		f := a.fate(began)
		if f == leave {
			if a.closed.Load() {
				return nil, net.ErrClosed
			}
			time.Sleep(leaveFor)
			continue
		}
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
		if f == leave {
			f = turnAway // it is here already
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
	leave // in the kernel's queue, for now
)

// fate decides what becomes of the next connection. Who is turned away comes back to this
// host and costs it as much once more, so that is bounded as soon as others can be passed on
// instead; what lies in the kernel's queue is taken when there is processor for it.
func (a *admission) fate(now time.Time) fate {
	switch {
	case a.open.Load() >= a.room.connections:
		return turnAway
	case a.overload.short(now) && a.starting.full(now):
		return a.turnOrLeave(now)
	case a.overload.admits() && !a.overload.lags(now, latenessHigh):
		return serve
	case a.overload.passes() && !a.overload.lags(now, latenessPass):
		return passOn
	default:
		return a.turnOrLeave(now)
	}
}

// turnOrLeave decides on a connection that can neither be served nor passed on now.
func (a *admission) turnOrLeave(now time.Time) fate {
	if a.overload.alone.Load() {
		return turnAway
	}
	a.overload.pressed.Store(true)
	if a.turned.take(now) {
		return turnAway
	}
	a.overload.left.Add(1)
	return leave
}

// Close implements net.Listener.
func (a *admission) Close() error {
	a.closed.Store(true)
	return a.Listener.Close()
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
	controlErr := raw.Control(func(listener uintptr) {
		var fd int
		fd, _, err = unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		s = socket(fd)
	})
	return s, controlErr == nil && err == nil
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
