package gateway

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"opalbridge.dev/gateway/memory"
	"opalbridge.dev/gateway/reject"
)

// This file decides which connections of callers are served, which are offloaded to another
// gateway (offload.go) and which are rejected (package reject), so that a small host runs out of
// neither file descriptors nor memory, however many callers connect.

const (
	// Upper bound on connections without a byte read while the process is overloaded; at the
	// bound, new connections are rejected before their callers time out.
	maxUnreadConns = 24
	// A connection without a byte read after this time is waiting for its caller, not for this
	// process.
	unreadTimeout = 250 * time.Millisecond
	// Connections that an overloaded process rejects in a window while there are gateways to
	// offload others to. Rejecting them takes a third of a small host's processor, which
	// leaves time for offloading.
	rejectWindow        = 25 * time.Millisecond
	maxRejectsPerWindow = 32
	// A connection that is neither served, offloaded nor rejected stays in the kernel's accept
	// queue, which costs the process nothing; the queue is checked again after this time.
	deferInterval = 5 * time.Millisecond
)

// capacity is the number of connections and requests that a process can hold.
type capacity struct {
	connections int64 // accepted connections
	requests    int64 // concurrent requests
}

// Sizes from which the capacity is computed.
const (
	// File descriptors for files, the listeners, the store and other gateways.
	reservedDescriptors = 300
	// Memory of a request in flight: goroutines, buffers, a short body, and socket buffers.
	memoryPerRequest = 60 << 10
	// Bytes of a request's body that belong to memoryPerRequest. Longer bodies are counted besides.
	coveredBody = 16 << 10
	// Share of the memory available to requests. The rest is for the process itself and for
	// garbage.
	requestMemoryShare = 0.4
	// Memory of an idle connection.
	memoryPerIdleConn = 16 << 10
)

// NewMemory returns the memory that requests may hold in a process with a memory limit in bytes; nil if
// there is none, as a limit of 0 says.
func NewMemory(limit int64) *memory.Budget {
	if limit <= 0 {
		return nil
	}
	return memory.NewBudget(int64(requestMemoryShare * float64(limit)))
}

// capacityFor returns the capacity of a process with a memory limit in bytes and a limit on
// file descriptors; 0 means no limit.
func capacityFor(memory int64, descriptors int) capacity {
	r := capacity{connections: 1 << 20, requests: maxActiveRequests}
	if memory > 0 {
		r.requests = min(r.requests, int64(requestMemoryShare*float64(memory))/memoryPerRequest)
		r.connections = int64(requestMemoryShare*float64(memory)) / memoryPerIdleConn
	}
	if descriptors > 0 {
		// Each request in flight also has a connection to a server.
		free := int64(max(descriptors-reservedDescriptors, 2))
		r.connections = min(r.connections, free*2/3)
		r.requests = min(r.requests, free/3)
	}
	return r
}

// admissionListener is a listener for callers that rejects connections while the process has
// no capacity for them.
type admissionListener struct {
	net.Listener
	capacity  capacity
	memory    *memory.Budget // for long heads of requests
	overload  *overload
	offload   func(*callerConn) bool                           // offloads a connection; false: no gateway takes it
	onDropped func(*callerConn, DroppedRequest, time.Duration) // records a request that gets no answer, and for how long it was read; nil: it is not recorded
	// Records that a request was refused for want of memory for its head; nil: it is not recorded.
	onHeadRefused func(*callerConn)
	rejecter      *reject.Rejecter
	openConns     atomic.Int64 // accepted connections that are not closed
	open          openCallerConns
	unread        unreadConns
	closed        atomic.Bool
	ended         atomic.Bool   // it is closed, and Accept returns no more connections
	spare         io.Closer     // a file descriptor for stop to accept with when no other is left; nil: none
	rejects       rejectLimiter // used only by the goroutine that calls Accept
}

// rejectLimiter limits the rejected connections per window of time.
type rejectLimiter struct {
	since time.Time
	count int
}

// allow reports whether one more connection may be rejected, and counts it.
func (l *rejectLimiter) allow(now time.Time) bool {
	if now.Sub(l.since) >= rejectWindow {
		l.since, l.count = now, 0
	}
	if l.count >= maxRejectsPerWindow {
		return false
	}
	l.count++
	return true
}

// unreadConns holds the connections from which nothing has been read yet.
type unreadConns struct {
	mutex sync.Mutex
	since map[*callerConn]time.Time
}

func (u *unreadConns) add(c *callerConn, now time.Time) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.since[c] = now
}

func (u *unreadConns) remove(c *callerConn) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.since, c)
}

// full reports whether the bound is reached. It drops connections that wait for their callers.
func (u *unreadConns) full(now time.Time) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if len(u.since) < maxUnreadConns {
		return false
	}
	for c, since := range u.since {
		if now.Sub(since) > unreadTimeout {
			delete(u.since, c)
		}
	}
	return len(u.since) >= maxUnreadConns
}

func newAdmission(g *Gateway) *admissionListener {
	return &admissionListener{
		Listener: g.options.CallerListener, capacity: g.capacity, memory: g.options.Memory, overload: &g.overload, rejecter: newRejecter(g),
		offload:   func(*callerConn) bool { return false },
		unread:    unreadConns{since: map[*callerConn]time.Time{}},
		onDropped: g.recordDropped, onHeadRefused: g.recordHeadRefused, spare: openSpare(),
	}
}

// openSpare holds a file descriptor; nil: none is left.
func openSpare() io.Closer {
	f, err := os.Open(os.DevNull)
	if err != nil {
		return nil
	}
	return f
}

// recordHeadRefused records that a request was refused for want of memory for its head.
func (g *Gateway) recordHeadRefused(c *callerConn) {
	g.options.Metrics.RequestEnded(Outcome{Result: "denied"})
	g.log.Info().Str("event", "request.denied").Str("caller", c.RemoteAddr().String()).Int("status", http.StatusServiceUnavailable).
		Str("reason", "gateway short of memory for heads").Dur("retry_after", fullRetryAfter).Msg("request denied")
}

// recordDropped records that a connection was closed although a request had arrived on it.
func (g *Gateway) recordDropped(c *callerConn, d DroppedRequest, readFor time.Duration) {
	g.options.Metrics.RequestDropped(d)
	g.log.Warn().Str("event", "request.dropped").Str("caller", c.RemoteAddr().String()).Str("arrived", string(d)).
		Dur("read_for", readFor).Bool("stopping", g.stopping.Load()).Dur("late", time.Duration(g.overload.delay.Load())).
		Msg("connection closed without an answer to a request that had arrived")
}

// rejectReason is the reason of rejections of connections.
const rejectReason = "gateway short of processor or connections"

func newRejecter(g *Gateway) *reject.Rejecter {
	return reject.New(reject.Options{
		Reason: rejectReason, RetryAfter: overloadRetryAfter, IDHeader: g.options.Codec.RequestIDHeader(), Log: g.log,
		OnRejected: func() { g.options.Metrics.RequestEnded(Outcome{Result: "denied"}) },
	})
}

// Accept implements net.Listener. The decision on the next connection is made before it is
// accepted, since a connection to be rejected is accepted with fewer system calls.
func (a *admissionListener) Accept() (net.Conn, error) {
	for {
		began := time.Now()
		action := a.nextAction(began)
		if action == deferConn {
			if a.closed.Load() {
				return nil, a.end()
			}
			time.Sleep(deferInterval)
			continue
		}
		if action == rejectConn {
			if s, ok := a.acceptSocket(); ok {
				a.reject(s)
				continue
			}
		}
		c, err := a.Listener.Accept()
		if err != nil && a.closed.Load() {
			return nil, a.end()
		}
		if err != nil {
			return nil, err
		}
		if now := time.Now(); now.Sub(began) > delaySampleInterval {
			action = a.nextAction(now) // the connection took long to arrive
		}
		if action == deferConn {
			action = rejectConn // it has been accepted already
		}
		caller := &callerConn{Conn: c, admission: a, accepted: time.Now(), held: a.memory.NewReservation(headOwner, coveredCallerHead)}
		if action == rejectConn {
			a.reject(caller) // it does not count against the capacity
			continue
		}
		a.openConns.Add(1)
		caller.counted = true
		a.open.add(caller)
		a.unread.add(caller, caller.accepted)
		if action == serveConn {
			return caller, nil
		}
		caller.headRead.Store(true) // it is not read here
		if !a.offload(caller) {
			a.reject(caller)
		}
	}
}

// end records that Accept returns no more connections. It returns Accept's error.
func (a *admissionListener) end() error {
	a.ended.Store(true)
	return http.ErrServerClosed
}

// connAction is what is done with a connection.
type connAction int

const (
	serveConn connAction = iota
	offloadConn
	rejectConn
	deferConn // stays in the kernel's accept queue for now
)

// nextAction decides what to do with the next connection. A rejected caller retries at this
// host, which costs the host as much again, so rejections are limited as soon as connections
// can be offloaded instead. Connections in the kernel's accept queue are taken when there is
// processor time for them.
func (a *admissionListener) nextAction(now time.Time) connAction {
	switch {
	case a.openConns.Load() >= a.capacity.connections:
		return rejectConn
	case a.overload.overloaded(now) && a.unread.full(now):
		return a.rejectOrDefer(now)
	case a.overload.admits() && !a.overload.sampleOverdue(now, highDelay):
		return serveConn
	case a.overload.offloads() && !a.overload.sampleOverdue(now, offloadMaxDelay):
		return offloadConn
	default:
		return a.rejectOrDefer(now)
	}
}

// rejectOrDefer decides on a connection that can be neither served nor offloaded now.
func (a *admissionListener) rejectOrDefer(now time.Time) connAction {
	if a.overload.noTargets.Load() {
		return rejectConn
	}
	a.overload.backlogged.Store(true)
	if a.rejects.allow(now) {
		return rejectConn
	}
	a.overload.deferred.Add(1)
	return deferConn
}

// Close implements net.Listener.
func (a *admissionListener) Close() error {
	a.closed.Store(true)
	return a.Listener.Close()
}

// stop ends the listener. Connections that are waiting in the kernel's accept queue are rejected with a
// response, where closing the listener alone would reset them.
func (a *admissionListener) stop() error {
	a.closed.Store(true)
	if a.spare != nil {
		_ = a.spare.Close() // of no use any more
	}
	end := time.Now().Add(stopAcceptTime)
	for {
		waits := time.Now().Before(end)
		s, err := a.acceptOrShutDown(waits)
		switch {
		case err == nil:
			a.reject(s)
		case waits && lacksDescriptors(err):
			time.Sleep(stopAcceptInterval)
		default:
			return a.Listener.Close()
		}
	}
}

// Without file descriptors, connections are accepted in a stop as fast as others end.
const (
	stopAcceptTime     = 500 * time.Millisecond
	stopAcceptInterval = 2 * time.Millisecond
)

// lacksDescriptors reports whether a connection is pending that no file descriptor is left for.
func lacksDescriptors(err error) bool { return err == unix.EMFILE || err == unix.ENFILE }

// acceptOrShutDown accepts a pending connection. If none is pending, it ends the listening with the next system
// call: Close alone would first wait for the goroutine that calls Accept, and reset what arrives meanwhile. If waits is
// true, it does not end the listening for want of a file descriptor.
func (a *admissionListener) acceptOrShutDown(waits bool) (s reject.Socket, err error) {
	sysConn, isSysConn := a.Listener.(syscall.Conn)
	if !isSysConn {
		return 0, errors.Newf("gateway: listener type %T has no socket", a.Listener)
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0, err // closed
	}
	controlErr := raw.Control(func(listener uintptr) {
		s, err = acceptNow(listener)
		if err != nil && !(waits && lacksDescriptors(err)) {
			_ = unix.Shutdown(int(listener), unix.SHUT_RD) // the listener is closed next
		}
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return s, err
}

// acceptSocket accepts a pending connection without the setup that the runtime does for each
// connection: that saves three of the some nine system calls that a rejection takes. ok is
// false if no connection is pending.
func (a *admissionListener) acceptSocket() (s reject.Socket, ok bool) {
	sysConn, isSysConn := a.Listener.(syscall.Conn)
	if !isSysConn {
		return 0, false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0, false // closed: Accept returns the error
	}
	controlErr := raw.Control(func(listener uintptr) { s, err = acceptNow(listener) })
	return s, controlErr == nil && err == nil
}

// acceptNow accepts a pending connection. It does not block; EAGAIN: none is pending.
func acceptNow(listener uintptr) (reject.Socket, error) {
	for {
		fd, _, err := unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != unix.ECONNABORTED { // the caller has reset a connection that was pending
			return reject.Socket(fd), err
		}
	}
}

// reject passes a connection to the rejecter.
func (a *admissionListener) reject(c reject.Conn) {
	a.rejecter.Reject(c) // the rejecter receives until the listener is closed
}
