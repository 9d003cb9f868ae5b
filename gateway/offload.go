package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/handoff"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/reject"
)

// This file offloads callers' connections to other gateways of the hall when this one lacks
// processor time for them. The load balancer picks a gateway by a hash of the caller, and
// picks the same one for a retry, so all connections of an account with few callers may reach
// one host, whatever its capacity: rejected callers would come back to it.

// offloadTargets holds the gateways of the hall that may take connections. It is safe for
// concurrent use.
type offloadTargets struct {
	hall    string
	mutex   sync.Mutex
	weights map[string]int // weights by IP address
}

// update applies an update from another gateway.
func (t *offloadTargets) update(u peer.Update) {
	if !u.Full && u.Alive {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !u.Alive || u.Hall != t.hall || u.Weight <= 0 {
		delete(t.weights, u.From)
		return
	}
	t.weights[u.From] = u.Weight
}

// available reports whether there is a gateway that may take connections.
func (t *offloadTargets) available() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.weights) > 0
}

// pick draws a gateway at random, weighted by processor, or "" if there is none.
func (t *offloadTargets) pick() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sum := 0
	for _, w := range t.weights {
		sum += w
	}
	if sum == 0 {
		return ""
	}
	n := rand.IntN(sum)
	for address, w := range t.weights {
		if n -= w; n < 0 {
			return address
		}
	}
	return ""
}

// canOffload reports whether connections may be offloaded. The requests on an offloaded
// connection are not read here, so the region constraints of their accounts are not known: the
// load balancer may have brought callers of another region here. Therefore nothing is
// offloaded while some requests must not be read in this region.
func (g *Gateway) canOffload() bool {
	c := g.view.Load().Configuration
	region := g.options.Dispatcher.Regions[g.options.Dispatcher.Hall]
	return g.offloadTargets.available() && (c == nil || c.Unrestricted(region))
}

// offloader offloads connections.
type offloader struct {
	log       zerolog.Logger
	port      string
	targets   *offloadTargets
	forwarder *handoff.Forwarder
	overload  *overload
	reject    func(reject.Conn) // takes a connection that could not be offloaded
	active    atomic.Int64
	started   atomic.Int64 // since the last log line
	ended     chan struct{}
}

// Capacity of the channel of finished connections.
const endedQueueSize = 64

// drainPollInterval is how often a planned stop checks whether offloaded connections are left.
const drainPollInterval = 5 * time.Millisecond

// Maximum number of gateways tried per connection.
const maxOffloadAttempts = 2

func newOffloader(g *Gateway, reject func(reject.Conn)) (*offloader, error) {
	_, port, err := net.SplitHostPort(g.options.Peer.Address)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: own peer address")
	}
	return &offloader{
		log: g.log, port: port, targets: g.offloadTargets, forwarder: handoff.NewForwarder(), overload: &g.overload, reject: reject,
		ended: make(chan struct{}, endedQueueSize),
	}, nil
}

// offloadableConn is a connection that can be offloaded, or rejected if that fails.
type offloadableConn interface {
	net.Conn
	reject.Conn
}

// offload offloads a connection in the background; false: there is no gateway to take it.
func (o *offloader) offload(ctx context.Context, c offloadableConn) bool {
	to := o.targets.pick()
	if to == "" {
		return false
	}
	o.active.Add(1)
	o.started.Add(1)
	go func() {
		o.forward(ctx, to, c)
		o.ended <- struct{}{}
	}()
	return true
}

// forward relays a connection to another gateway until it ends.
func (o *offloader) forward(ctx context.Context, to string, c offloadableConn) {
	for range maxOffloadAttempts {
		if o.forwarder.Forward(ctx, net.JoinHostPort(to, o.port), c) == nil {
			return
		}
		if to = o.targets.pick(); to == "" {
			break
		}
	}
	o.reject(c)
}

// Interval of the log line on offloaded connections.
const offloadLogInterval = 250 * time.Millisecond

// run collects finished connections until ctx ends and none is left.
func (o *offloader) run(ctx context.Context) {
	tick := time.NewTicker(offloadLogInterval)
	defer tick.Stop()
	done := ctx.Done()
	for done != nil || o.active.Load() > 0 {
		select {
		case <-o.ended:
			o.active.Add(-1)
		case <-tick.C:
			started, deferred := o.started.Swap(0), o.overload.deferred.Swap(0)
			if started > 0 || deferred > 0 {
				o.log.Info().Str("event", "connection.passed_on").Int64("connections", started).Int64("open", o.active.Load()).
					Int64("left_in_queue", deferred).Msg("connections offloaded")
			}
		case <-done:
			done = nil
			o.forwarder.Close()
		}
	}
}

// drain waits until no offloaded connection is left, or ctx ends.
func (o *offloader) drain(ctx context.Context) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for o.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// linkHandler opens links on which another gateway offloads connections to this one.
func (g *Gateway) linkHandler(ctx context.Context, l *handoff.Listener) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upgrade") != handoff.Protocol || g.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			g.log.Warn().Str("event", "link.refused").Err(err).Msg("cannot hijack connection")
			return
		}
		response := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + handoff.Protocol + "\r\n\r\n"
		if _, err := conn.Write([]byte(response)); err != nil {
			conn.Close()
			return
		}
		g.log.Info().Str("event", "link.opened").Str("peer", r.RemoteAddr).Msg("accepting offloaded connections")
		err = l.ServeLink(ctx, conn)
		g.log.Info().Str("event", "link.ended").Str("peer", r.RemoteAddr).Err(err).Msg("link closed")
	}
}

// replayConn is a caller's connection from which a request has been read, and which replays it
// from its start.
type replayConn struct {
	*callerConn
	read []byte
}

// Read implements net.Conn.
func (r *replayConn) Read(b []byte) (int, error) {
	if len(r.read) > 0 {
		n := copy(b, r.read)
		r.read = r.read[n:]
		return n, nil
	}
	return r.callerConn.Read(b)
}

// ReadNow implements reject.Conn.
func (r *replayConn) ReadNow(b []byte) (int, error) {
	if len(r.read) > 0 {
		return r.Read(b)
	}
	return r.callerConn.ReadNow(b)
}

// offloadRequest offloads a request together with its connection, which this gateway has been
// serving. Without it, callers with persistent connections are refused by the hundred, and an
// account within its share gets less than half of what it asks for. It returns false if
// nothing was done.
func (g *Gateway) offloadRequest(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	if g.offloader == nil || isOffloaded(r.Context()) || r.Header.Get("Expect") != "" {
		return false
	}
	if !g.canOffload() || !g.overload.offloads() || g.overload.sampleOverdue(now, offloadMaxDelay) {
		return false
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	c, ok := conn.(*callerConn)
	if !ok {
		conn.Close() // unreachable: the listeners hand out no other type
		return true
	}
	// Peek of buffered bytes does not fail.
	unread, _ := buffered.Reader.Peek(buffered.Reader.Buffered())
	replay := &replayConn{callerConn: c, read: append(requestHead(r), unread...)}
	if !g.offloader.offload(g.background, replay) {
		g.offloader.reject(replay)
	}
	return true
}

// requestHead encodes the request line and header as the caller sent them, but for the order
// and case of the header fields.
func requestHead(r *http.Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " " + r.Proto + "\r\nHost: " + r.Host + "\r\n")
	// A bytes.Buffer returns no errors.
	_ = r.Header.Write(&b)
	switch {
	case len(r.TransferEncoding) > 0:
		b.WriteString("Transfer-Encoding: " + strings.Join(r.TransferEncoding, ", ") + "\r\n")
	case r.ContentLength > 0 && r.Header.Get("Content-Length") == "":
		b.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// isOffloaded reports whether a request came on a connection that another gateway offloaded.
func isOffloaded(ctx context.Context) bool {
	_, ok := ctx.Value(connKey{}).(*handoff.Conn)
	return ok
}
