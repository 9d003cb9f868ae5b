package router

import (
	"context"
	"sync"
	"time"

	"opalbridge.dev/kv"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

const (
	dialTimeout       = 2 * time.Second
	minRedialInterval = 100 * time.Millisecond
	maxRedialInterval = 5 * time.Second
)

// link maintains a connection to one process until it is cancelled.
type link struct {
	host   kv.Host
	cancel context.CancelFunc

	mutex     sync.Mutex
	peer      *wire.Peer    // nil while disconnected
	connected chan struct{} // closed when peer becomes non-nil
	// unlistedSince is when the host left the live list; zero: it is listed.
	unlistedSince time.Time
	leavingSent   bool // last value sent to the agent on this connection
}

func newLink(h kv.Host, cancel context.CancelFunc) *link {
	return &link{host: h, cancel: cancel, connected: make(chan struct{})}
}

// current returns the connection, or nil and a channel that is closed once it is
// connected.
func (l *link) current() (*wire.Peer, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.peer, l.connected
}

func (l *link) set(p *wire.Peer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.peer = p
	l.leavingSent = false
	if p != nil {
		close(l.connected)
		return
	}
	l.connected = make(chan struct{})
}

// setListed records whether the live list contains the host.
func (l *link) setListed(listed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case listed:
		l.unlistedSince = time.Time{}
	case l.unlistedSince.IsZero():
		l.unlistedSince = time.Now()
	}
}

// markLeavingSent returns the connection if the agent must be sent a new value of
// leaving, and records the value as sent. It returns nil otherwise.
func (l *link) markLeavingSent(leaving bool) *wire.Peer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.peer == nil || l.leavingSent == leaving {
		return nil
	}
	l.leavingSent = leaving
	return l.peer
}

// shouldDrop reports whether to stop dialling the host: it has been missing from
// the live list for unlistedTimeout and is not connected. A working connection is
// never closed because of the list, which may be wrong.
func (l *link) shouldDrop() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.peer == nil && !l.unlistedSince.IsZero() && time.Since(l.unlistedSince) > unlistedTimeout
}

// unlistedTimeout is how long a host that left the live list is still dialled.
const unlistedTimeout = 30 * time.Second

// maintain dials a host with exponential backoff until ctx ends. It passes each
// connection to use, which returns when the connection has ended.
func (r *Router) maintain(ctx context.Context, l *link, use func(context.Context, *wire.Peer)) {
	backoff := minRedialInterval
	for ctx.Err() == nil {
		p, err := r.connect(ctx, l.host)
		if err != nil {
			r.options.Log.Debug().Err(err).Str("to", l.host.Name).Msg("failed to connect")
			if !sleep(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, maxRedialInterval)
			continue
		}
		backoff = minRedialInterval
		r.control.Add(p)
		l.set(p)
		use(ctx, p)
		l.set(nil)
		r.control.Remove(p)
		r.options.Log.Info().Str("from", l.host.Name).AnErr("reason", p.Reason()).Msg("disconnected")
		if !sleep(ctx, backoff) {
			return
		}
	}
}

func (r *Router) connect(ctx context.Context, h kv.Host) (*wire.Peer, error) {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := r.options.Dial(dial, h.Address)
	if err != nil {
		return nil, err
	}
	return wire.Connect(ctx, conn, r.hello())
}

func (r *Router) hello() *wirepb.Hello {
	return &wirepb.Hello{
		Node:        r.options.Name,
		Incarnation: r.incarnation,
		Role:        string(kv.Router),
		Hall:        r.options.Hall,
		Revision:    r.holder.Revision(),
	}
}

// controlMessage returns a control message that carries the revision in force.
func (r *Router) controlMessage(body any) *wirepb.Control {
	return wire.NewControl(r.holder.Revision(), body)
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
