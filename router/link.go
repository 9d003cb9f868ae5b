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

// link keeps a connection to one process as long as it is wanted.
type link struct {
	host   kv.Host
	cancel context.CancelFunc

	mutex     sync.Mutex
	peer      *wire.Peer    // nil while it is not connected
	connected chan struct{} // closed when peer is set
	// unlisted is since when the live list lacks the host; zero: it names it.
	unlistedSince time.Time
	leavingSent   bool // the agent was told that its host is leaving
}

func newLink(h kv.Host, cancel context.CancelFunc) *link {
	return &link{host: h, cancel: cancel, connected: make(chan struct{})}
}

// current returns the connection, or nil and a channel that is closed when there
// is one.
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

// setListed notes whether the live list names the host.
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

// news returns the connection if its agent has not been told yet whether its host
// is leaving, and counts it as told.
func (l *link) markLeavingSent(leaving bool) *wire.Peer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.peer == nil || l.leavingSent == leaving {
		return nil
	}
	l.leavingSent = leaving
	return l.peer
}

// given reports whether to give the host up: the list has lacked it for long and
// it cannot be reached either. A connection that works is never ended because of
// the list, which may be wrong.
func (l *link) shouldDrop() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.peer == nil && !l.unlistedSince.IsZero() && time.Since(l.unlistedSince) > unlistedTimeout
}

// unlistedTime is how long a host that left the live list is still dialled.
const unlistedTimeout = 30 * time.Second

// keep dials again and again until ctx ends, and gives each connection to use,
// which returns when it has ended.
func (r *Router) maintain(ctx context.Context, l *link, use func(context.Context, *wire.Peer)) {
	backoff := minRedialInterval
	for ctx.Err() == nil {
		p, err := r.connect(ctx, l.host)
		if err != nil {
			r.options.Log.Debug().Err(err).Str("to", l.host.Name).Msg("not connected")
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

// message returns a control message that names the revision in force here.
func (r *Router) controlMessage(body any) *wirepb.Control {
	return wire.Control(r.holder.Revision(), body)
}

// sleep waits and reports false when ctx ended first.
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
