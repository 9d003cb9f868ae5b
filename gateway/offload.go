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
)

// This file passes callers' connections on to other gateways of the hall when this one
// has no processor for them. The balancer picks a gateway by a hash of the caller, also
// when it comes back, so an account with few callers meets on one host, whatever that
// host can carry: turned away, they would come back to it.

// helpers are the gateways of the own hall that may take connections. It is safe for use
// by several goroutines.
type helpers struct {
	hall  string
	mutex sync.Mutex
	list  map[string]int // weight by IP address
}

// update takes over news of another gateway.
func (h *helpers) update(u peer.Update) {
	if !u.Full && u.Alive {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !u.Alive || u.Hall != h.hall || u.Weight <= 0 {
		delete(h.list, u.From)
		return
	}
	h.list[u.From] = u.Weight
}

// any tells whether there is a gateway that may take connections.
func (h *helpers) any() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.list) > 0
}

// choose draws a gateway, those with more processor more often; "" if there is none.
func (h *helpers) choose() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	sum := 0
	for _, w := range h.list {
		sum += w
	}
	if sum == 0 {
		return ""
	}
	draw := rand.IntN(sum)
	for address, w := range h.list {
		if draw -= w; draw < 0 {
			return address
		}
	}
	return ""
}

// mayPass tells whether connections may be passed on. What is passed on is not read here,
// so none is while some requests must not be read in this region: the balancer may have
// brought their callers here from another one.
func (g *Gateway) mayPass() bool {
	c := g.view.Load().Configuration
	region := g.options.Dispatcher.Regions[g.options.Dispatcher.Hall]
	return g.helpers.any() && (c == nil || c.Unrestricted(region))
}

// passer passes connections on.
type passer struct {
	log      zerolog.Logger
	port     string
	helpers  *helpers
	carrier  *handoff.Forwarder
	overload *overload
	failed   func(turnable) // takes a connection that could not be passed on
	active   atomic.Int64
	passed   atomic.Int64 // since the last line
	ended    chan struct{}
}

// Connections whose end has not been read yet.
const passQueue = 64

// Tries to find a gateway that takes a connection.
const passTries = 2

func newPasser(g *Gateway, failed func(turnable)) (*passer, error) {
	_, port, err := net.SplitHostPort(g.options.Peer.Address)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: own peer address")
	}
	return &passer{
		log: g.log, port: port, helpers: g.helpers, carrier: handoff.NewForwarder(), overload: &g.overload, failed: failed,
		ended: make(chan struct{}, passQueue),
	}, nil
}

// passable is a connection that can be passed on, or turned away if that fails.
type passable interface {
	net.Conn
	turnable
}

// pass passes a connection on, beside; false: there is nobody to pass it to.
func (p *passer) pass(ctx context.Context, c passable) bool {
	to := p.helpers.choose()
	if to == "" {
		return false
	}
	p.active.Add(1)
	p.passed.Add(1)
	go func() {
		p.carry(ctx, to, c)
		p.ended <- struct{}{}
	}()
	return true
}

// carry passes a connection on until it ends.
func (p *passer) carry(ctx context.Context, to string, c passable) {
	for range passTries {
		if p.carrier.Carry(ctx, net.JoinHostPort(to, p.port), c) == nil {
			return
		}
		if to = p.helpers.choose(); to == "" {
			break
		}
	}
	p.failed(c)
}

// A line tells how many were passed on, at most this often.
const passedLineEvery = 250 * time.Millisecond

// run reads the ends of connections until ctx ends and none is left.
func (p *passer) run(ctx context.Context) {
	tick := time.NewTicker(passedLineEvery)
	defer tick.Stop()
	done := ctx.Done()
	for done != nil || p.active.Load() > 0 {
		select {
		case <-p.ended:
			p.active.Add(-1)
		case <-tick.C:
			n, left := p.passed.Swap(0), p.overload.left.Swap(0)
			if n > 0 || left > 0 {
				p.log.Info().Str("event", "connection.passed_on").Int64("connections", n).Int64("open", p.active.Load()).
					Int64("left_in_queue", left).Msg("short of processor")
			}
		case <-done:
			done = nil
			p.carrier.Close()
		}
	}
}

// drain waits until no connection is being passed on, or ctx ends.
func (p *passer) drain(ctx context.Context) {
	tick := time.NewTicker(turnEvery)
	defer tick.Stop()
	for p.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// linkHandler opens links on which another gateway passes connections on.
func (g *Gateway) linkHandler(ctx context.Context, l *handoff.Listener) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upgrade") != handoff.Protocol || g.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			g.log.Warn().Str("event", "link.refused").Err(err).Msg("connection can't be taken over")
			return
		}
		answer := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + handoff.Protocol + "\r\n\r\n"
		if _, err := conn.Write([]byte(answer)); err != nil {
			conn.Close()
			return
		}
		g.log.Info().Str("event", "link.opened").Str("peer", r.RemoteAddr).Msg("takes connections for it")
		err = l.Link(ctx, conn)
		g.log.Info().Str("event", "link.ended").Str("peer", r.RemoteAddr).Err(err).Msg("takes none for it any more")
	}
}

// replayed is a caller's connection of which a request has been read, which is passed on
// from its start.
type replayed struct {
	*callerConn
	read []byte
}

// Read implements net.Conn.
func (r *replayed) Read(b []byte) (int, error) {
	if len(r.read) > 0 {
		n := copy(b, r.read)
		r.read = r.read[n:]
		return n, nil
	}
	return r.callerConn.Read(b)
}

// ReadNow implements turnable.
func (r *replayed) ReadNow(b []byte) (int, error) {
	if len(r.read) > 0 {
		return r.Read(b)
	}
	return r.callerConn.ReadNow(b)
}

// passRequest passes a request on whose connection this gateway serves: the connection
// goes along. Callers that keep their connections were refused here by the hundred, and an
// account within its share got less than half of what it asked. False: nothing was done.
func (g *Gateway) passRequest(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now()
	if g.passer == nil || passedOn(r.Context()) || r.Header.Get("Expect") != "" {
		return false
	}
	if !g.mayPass() || !g.overload.passes() || g.overload.lags(now, latenessPass) {
		return false
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	c, ok := conn.(*callerConn)
	if !ok {
		conn.Close() // no listener of ours hands out others
		return true
	}
	// A Peek of what is buffered does not fail.
	rest, _ := buffered.Reader.Peek(buffered.Reader.Buffered())
	whole := &replayed{callerConn: c, read: append(headOf(r), rest...)}
	if !g.passer.pass(g.duties, whole) {
		g.passer.failed(whole)
	}
	return true
}

// headOf writes a request's head as its caller has sent it, but for the order and case of
// its headers.
func headOf(r *http.Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " " + r.Proto + "\r\nHost: " + r.Host + "\r\n")
	// The errors of a bytes.Buffer are always nil.
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

// passedOn tells whether a request came on a connection that another gateway passes on.
func passedOn(ctx context.Context) bool {
	_, ok := ctx.Value(connKey{}).(*handoff.Conn)
	return ok
}
