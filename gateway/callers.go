package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"opalbridge.dev/gateway/upstream"
)

// This file holds what a gateway does about callers' connections between requests, and
// about those that have gone silent.

const (
	// Idle connections of callers are looked through this often.
	callerSweep = time.Second
	// A caller's idle connection is kept this much longer than the configuration says.
	idleSlack = time.Second
	// Callers' idle connections kept at most. It is a quarter of the descriptors of a small
	// host.
	mostIdleCallers = 1000
)

// callerSilence finds callers whose connections have gone silent without a reset: bytes
// that nobody acknowledges for four seconds, or three lost probes. Callers give a stream
// up after two seconds or more without an event, so nobody is cut who still listens; four
// losses in a row take three seconds.
var callerSilence = upstream.KeepAlive{
	UserTimeout: 4 * time.Second, Idle: 2 * time.Second, Interval: time.Second, Count: 3,
}

// ListenCallers listens for callers. The options are set once, on the listening socket,
// and connections have them from the start: set on each, they cost nine system calls a
// connection.
func ListenCallers(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: callerSilence.Control}
	l, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := boundQueue(l.(*net.TCPListener)); err != nil {
		l.Close()
		return nil, errors.Wrap(err, "gateway: listen for callers")
	}
	return l, nil
}

// Connections that the kernel holds for a process that is short of processor: a small host
// passes on some thousand a second, so the last one waits a quarter of a second, and its
// answer can still be in time. With more they were passed on too late to be of use.
const mostQueued = 256

// boundQueue shortens the queue of a listener, which the runtime makes as long as the kernel
// allows.
func boundQueue(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), mostQueued) })
	return errors.CombineErrors(err, listenErr)
}

// idleCallers closes callers' connections that rest longer than the configuration
// allows. The server's own limit can't follow a change of the configuration.
type idleCallers struct {
	mutex sync.Mutex
	since map[net.Conn]time.Time
	most  int // of more, those that rest longest are closed
}

func (i *idleCallers) observe(c net.Conn, s http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if s == http.StateIdle || s == http.StateNew {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

func (i *idleCallers) run(ctx context.Context, g *Gateway) {
	tick := time.NewTicker(callerSweep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			i.closeBeyond(i.most)
			if v := g.view.Load(); v.Configuration != nil && v.Configuration.Limits.IdleTimeout > 0 {
				i.closeOlder(now.Add(-v.Configuration.Limits.IdleTimeout - idleSlack))
			}
		}
	}
}

// closeBeyond closes those that rest longest, down to a number.
func (i *idleCallers) closeBeyond(most int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.since) <= most {
		return
	}
	conns := slices.SortedFunc(maps.Keys(i.since), func(a, b net.Conn) int { return i.since[a].Compare(i.since[b]) })
	for _, c := range conns[:len(conns)-most] {
		c.Close()
		delete(i.since, c)
	}
}

func (i *idleCallers) closeOlder(than time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c, since := range i.since {
		if since.Before(than) {
			c.Close()
			delete(i.since, c)
		}
	}
}
