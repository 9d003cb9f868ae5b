package gateway

import (
	"bytes"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/handoff"
	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/reject"
)

// This file offloads callers' connections to other gateways of the hall, and of other halls of the region if the
// settings say so, when this one lacks processor time for them. Package offload decides which one takes a
// connection. The load balancer picks a gateway by a hash of the caller, and picks the same one for a retry, so
// all connections of an account with few callers may reach one host, whatever its capacity: rejected callers
// would come back to it.

// offloadTargets decides which gateway takes a connection. It is safe for concurrent use.
type offloadTargets struct {
	otherHalls func() bool // whether gateways of other halls may take connections
	mutex      sync.Mutex
	decision   *offload.Handoff
}

func newOffloadTargets(hall string, regions map[string]string, otherHalls func() bool) *offloadTargets {
	return &offloadTargets{otherHalls: otherHalls, decision: offload.NewHandoff(hall, regions, peer.Timeout)}
}

// offloadsToOtherHalls reports whether the settings and the configuration have connections handed off to other halls.
func (g *Gateway) offloadsToOtherHalls() bool {
	return g.options.Dispatcher.Features.Offload.applies(g.dispatcher.tolerantStreams.Load())
}

// update applies an update from another gateway.
func (t *offloadTargets) update(now time.Time, u peer.Update) {
	if !u.Full && u.Alive {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !u.Alive {
		t.decision.Lost(u.From)
		return
	}
	t.decision.Report(now, offload.Gateway{
		Address: u.From, Hall: u.Hall, MilliCPU: u.Weight, NotAdmitted: u.NotAdmitted, Readiness: u.Readiness,
		Spare: u.Spare, TellsSpare: u.TellsSpare,
	})
}

// obstacle returns why no gateway can take a connection; empty: one can.
func (t *offloadTargets) obstacle(now time.Time) offload.Obstacle {
	o := offload.ChoiceOptions{Now: now, OtherHalls: t.otherHalls()}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.decision.Obstacle(o)
}

// choose chooses a gateway at random, except one that could not be reached.
func (t *offloadTargets) choose(now time.Time, except string) offload.Choice {
	o := offload.ChoiceOptions{Now: now, Random: rand.Float64(), OtherHalls: t.otherHalls(), Except: except}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.decision.Choose(o)
}

// failed records that a gateway could not be reached.
func (t *offloadTargets) failed(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.decision.Failed(address)
}

// offloadObstacle returns why no connection may be offloaded; empty: connections may. The requests on an
// offloaded connection are not read here, so the region constraints of their accounts are not known: the
// load balancer may have brought callers of another region here. Therefore nothing is
// offloaded while some requests must not be read in this region.
func (g *Gateway) offloadObstacle() offload.Obstacle {
	c := g.view.Load().Configuration
	region := g.options.Dispatcher.Regions[g.options.Dispatcher.Hall]
	if c != nil && !c.Unrestricted(region) {
		return offload.Restricted
	}
	return g.offloadTargets.obstacle(time.Now())
}

// canOffload reports whether connections may be offloaded.
func (g *Gateway) canOffload() bool { return g.offloadObstacle() == "" }

// mayOffload reports whether a connection may be offloaded, and records if not.
func (g *Gateway) mayOffload() bool {
	obstacle := g.offloadObstacle()
	if obstacle != "" {
		g.offloader.record(offload.Choice{Outcome: offload.None, Obstacle: obstacle})
	}
	return obstacle == ""
}

// offloadConn offloads a connection from which nothing has been read; false: nothing was done.
func (g *Gateway) offloadConn(c *callerConn) bool {
	return g.mayOffload() && g.offloader.offload(g.background, c)
}

// offloader offloads connections.
type offloader struct {
	log       zerolog.Logger
	port      string
	targets   *offloadTargets
	forwarder *handoff.Forwarder
	overload  *overload
	metrics   Metrics
	reject    func(reject.Conn) // takes a connection that could not be offloaded
	active    atomic.Int64
	started   atomic.Int64 // since the last log line
	outcomes  offloadOutcomes
	tunnels   tunnels
	ended     chan struct{}
}

// offloadCounts counts what became of connections.
type offloadCounts struct {
	halls    map[string]int // connections handed off, by hall
	none     int
	failed   int
	obstacle offload.Obstacle // of the latest connection that no gateway could take
}

// offloadOutcomes counts what became of connections since the last log line. It is safe for concurrent use.
type offloadOutcomes struct {
	mutex  sync.Mutex
	counts offloadCounts
}

// add counts a connection.
func (o *offloadOutcomes) add(c offload.Choice) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch c.Outcome {
	case offload.None:
		o.counts.none++
		o.counts.obstacle = c.Obstacle
	case offload.Failed:
		o.counts.failed++
	default:
		if o.counts.halls == nil {
			o.counts.halls = map[string]int{}
		}
		o.counts.halls[c.Hall]++
	}
}

// take returns the counts and starts anew.
func (o *offloadOutcomes) take() offloadCounts {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	taken := o.counts
	o.counts = offloadCounts{}
	return taken
}

// Capacity of the channel of finished connections.
const endedQueueSize = 64

// Maximum number of gateways tried per connection.
const maxOffloadAttempts = 2

func newOffloader(g *Gateway, reject func(reject.Conn)) (*offloader, error) {
	_, port, err := net.SplitHostPort(g.options.Peer.Address)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: own peer address")
	}
	return &offloader{
		log: g.log, port: port, targets: g.offloadTargets, forwarder: handoff.NewForwarder(), overload: &g.overload, metrics: g.options.Metrics,
		reject: reject, ended: make(chan struct{}, endedQueueSize),
	}, nil
}

// offloadableConn is a connection that can be offloaded, or rejected if that fails.
type offloadableConn interface {
	net.Conn
	reject.Conn
	handoff.CloseChecker
	CloseWrite() error
}

// record records what became of a connection.
func (o *offloader) record(c offload.Choice) {
	o.outcomes.add(c)
	if o.metrics != nil {
		o.metrics.ConnectionOffloaded(c.Outcome)
	}
}

// offload offloads a connection in the background; false: there is no gateway to take it.
func (o *offloader) offload(ctx context.Context, c offloadableConn) bool {
	choice := o.targets.choose(time.Now(), "")
	if choice.Outcome == offload.None {
		o.record(choice)
		return false
	}
	o.active.Add(1)
	o.started.Add(1)
	go func() {
		o.forward(ctx, choice, c)
		o.ended <- struct{}{}
	}()
	return true
}

// forward relays a connection to another gateway until it ends. A connection of which nothing could be forwarded is
// rejected once its request has arrived.
func (o *offloader) forward(ctx context.Context, choice offload.Choice, c offloadableConn) {
	for attempt := range maxOffloadAttempts {
		if attempt > 0 {
			o.targets.failed(choice.Address)
			choice = o.targets.choose(time.Now(), choice.Address)
		}
		if choice.Outcome == offload.None {
			break
		}
		stream, err := o.forwarder.Open(ctx, net.JoinHostPort(choice.Address, o.port))
		if err == nil {
			o.record(choice)
			defer o.tunnels.add(&openTunnel{stream: stream, caller: c.RemoteAddr().String(), peer: choice.Address, began: time.Now()})()
			if read, err := stream.Forward(c); errors.Is(err, handoff.ErrNotForwarded) {
				o.reject(&replayConn{offloadableConn: c, read: read})
			}
			return
		}
	}
	o.targets.failed(choice.Address)
	o.record(offload.Choice{Outcome: offload.Failed})
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
			o.logCounts()
		case <-done:
			done = nil
			o.forwarder.Close()
		}
	}
}

// logCounts logs what became of connections since the last line. Outcomes are logged where connections may go to
// other halls.
func (o *offloader) logCounts() {
	started, deferred, outcomes := o.started.Swap(0), o.overload.deferred.Swap(0), o.outcomes.take()
	withOutcomes := o.targets.otherHalls()
	if started == 0 && deferred == 0 && (!withOutcomes || outcomes.none+outcomes.failed == 0) {
		return
	}
	line := o.log.Info().Str("event", "connection.passed_on").Int64("connections", started).Int64("open", o.active.Load()).
		Int64("left_in_queue", deferred)
	if withOutcomes {
		halls := zerolog.Dict()
		for _, hall := range slices.Sorted(maps.Keys(outcomes.halls)) {
			halls.Int(hall, outcomes.halls[hall])
		}
		line.Dict("halls", halls).Int("failed", outcomes.failed).Int("none", outcomes.none)
		if outcomes.none > 0 {
			line.Str("reason", string(outcomes.obstacle))
		}
	}
	line.Msg("connections offloaded")
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

// replayConn is a caller's connection from which a request has been read, all or in part, and which
// replays it from its start.
type replayConn struct {
	offloadableConn
	read []byte
}

// Read implements net.Conn.
func (r *replayConn) Read(b []byte) (int, error) {
	if len(r.read) > 0 {
		n := copy(b, r.read)
		r.read = r.read[n:]
		return n, nil
	}
	return r.offloadableConn.Read(b)
}

// ReadNow implements reject.Conn.
func (r *replayConn) ReadNow(b []byte) (int, error) {
	if len(r.read) > 0 {
		return r.Read(b)
	}
	return r.offloadableConn.ReadNow(b)
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
	if !g.overload.offloads() || g.overload.sampleOverdue(now, offloadMaxDelay) || !g.mayOffload() {
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
	replay := &replayConn{offloadableConn: c, read: append(requestHead(r), unread...)}
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
