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

	"opalbridge.dev/gateway/handoff"
	"opalbridge.dev/gateway/upstream"
)

// This file handles callers' idle connections and those whose caller no longer responds.

const (
	// Interval at which callers' idle connections are checked.
	idleCallersInterval = time.Second
	// A caller's idle connection is kept this much longer than the configured idle timeout.
	idleTimeoutMargin = time.Second
	// Maximum number of callers' idle connections: a quarter of the file descriptors of a
	// small host.
	maxIdleCallers = 1000
)

// callerKeepAlive detects connections whose caller is gone without a reset: data
// unacknowledged for four seconds, or three lost keepalive probes. Callers abandon a stream
// after two seconds or more without an event, so no caller that is still receiving is cut off;
// four losses in a row take three seconds.
var callerKeepAlive = upstream.KeepAlive{
	UserTimeout: 4 * time.Second, Idle: 2 * time.Second, Interval: time.Second, Count: 3,
}

// ListenCallers listens for callers. The socket options are set once, on the listening socket,
// and accepted connections inherit them: setting them on each connection costs nine system
// calls.
func ListenCallers(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: callerKeepAlive.Control}
	l, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	if err := setListenBacklog(l.(*net.TCPListener)); err != nil {
		l.Close()
		return nil, errors.Wrap(err, "gateway: listen for callers")
	}
	return l, nil
}

// Length of the accept queue of an overloaded process. A small host offloads some thousand
// connections a second, so the last one waits a quarter of a second, and its response can
// still be in time. With a longer queue, connections are offloaded too late to be of use.
const listenBacklog = 256

// setListenBacklog shortens the accept queue of a listener, which the runtime makes as long as
// the kernel allows.
func setListenBacklog(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), listenBacklog) })
	return errors.CombineErrors(err, listenErr)
}

// idleCallers closes callers' connections that are idle for longer than the configuration
// allows. The HTTP server's own timeout cannot follow a change of the configuration.
type idleCallers struct {
	mutex  sync.Mutex
	since  map[net.Conn]time.Time
	limit  int // of more, those idle for longest are closed
	served int // connections that the HTTP server has, idle or not

	timeout idleTimeout
}

func (i *idleCallers) observe(c net.Conn, s http.ConnState) {
	if caller, ok := c.(*callerConn); ok {
		caller.stateChanged(s)
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	switch s {
	case http.StateNew:
		i.served++
	case http.StateClosed, http.StateHijacked:
		i.served--
	}
	if s == http.StateIdle || s == http.StateNew {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// count returns the number of connections that the HTTP server has.
func (i *idleCallers) count() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.served
}

func (i *idleCallers) run(ctx context.Context, g *Gateway) {
	tick := time.NewTicker(idleCallersInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			i.trim(i.limit)
			if v := g.view.Load(); v.Configuration != nil {
				i.closeIdle(now, v.Configuration.Limits.IdleTimeout)
			}
		}
	}
}

// trim closes the connections that are idle for longest, down to a limit.
func (i *idleCallers) trim(limit int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.since) <= limit {
		return
	}
	conns := slices.SortedFunc(maps.Keys(i.since), func(a, b net.Conn) int { return i.since[a].Compare(i.since[b]) })
	for _, c := range conns[:len(conns)-limit] {
		endIdle(c)
		delete(i.since, c)
	}
}

// endIdle ends an idle connection, unless a request has arrived on it.
func endIdle(c net.Conn) {
	switch c := c.(type) {
	case *callerConn:
		c.retire()
	case *handoff.Conn:
		c.Retire()
	}
}

// closeIdle closes the connections that are idle for longer than the limit; 0: there is none.
func (i *idleCallers) closeIdle(now time.Time, limit time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.timeout.set(now, limit)
	for c, since := range i.since {
		if limit := i.timeout.at(since); limit > 0 && now.Sub(since) > limit+idleTimeoutMargin {
			endIdle(c)
			delete(i.since, c)
		}
	}
}

// idleTimeout is how long a connection may be idle. Callers expect of a connection what was allowed when it became
// idle, so a lower limit holds for those that become idle after it has come into force. The zero value has no limit.
type idleTimeout struct {
	current time.Duration
	changed time.Time     // when current came into force
	before  time.Duration // the least of connections that became idle before that
}

// set sets the limit that is in force from a time on.
func (t *idleTimeout) set(now time.Time, limit time.Duration) {
	if limit == t.current {
		return
	}
	before := t.current
	if now.Sub(t.changed) <= t.before+idleTimeoutMargin { // connections from before the last change may be left
		before = max(before, t.before)
	}
	t.before = before
	t.current, t.changed = limit, now
}

// at returns the limit of a connection that has been idle since a time; 0: it has none.
func (t *idleTimeout) at(since time.Time) time.Duration {
	if t.current == 0 || !since.Before(t.changed) {
		return t.current
	}
	return max(t.current, t.before)
}
