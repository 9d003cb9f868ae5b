// Package gateway is the process on entry hosts that takes callers' requests and
// carries them to backend servers directly. Every gateway decides for itself; they
// tell each other what they send (package peer), so that each sees nearly the whole
// load. Nothing is kept on the host: configuration and servers come from a [Source],
// and from other gateways when the source is out of reach.
//
// # Usage
//
//	g, err := gateway.New(gateway.Options{Front: l, Source: source, Codec: codec, …})
//	err = g.Run(ctx) // until ctx ends and the requests in flight are answered
//
// A request goes through these steps, each in a file of its own: admission.go decides by
// what overload.go measures whether its connection is served here, is passed on to another
// gateway (pass.go) or is turned away (turn.go), ingress.go reads and checks it, call.go brings it to a
// server and decides what to do when that fails, wait.go keeps what no server should get
// now, relay.go passes the answer on, returned.go knows who has come back. desk.go owns the
// decisions of package placement, desk_cold.go its part in sparing cold servers, desk_rollout.go its part in
// moving a service to a new version. view.go
// follows the source, lifetimes.go keeps which servers there are, warmth.go what the source
// tells of cold servers and evacuated halls;
// handover.go asks other gateways for their view, of which changelog.go tells what has
// changed. callers.go looks after callers' connections, suspects.go keeps requests that
// end servers from the next ones, suspects_store.go what the store has of them, crashes.go finds out which have ended, signals.go keeps to what
// servers say of themselves in answers. stop.go ends it all.
package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/duty"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/upstream"
	"opalbridge.dev/gateway/warmup"
)

// Options set up a Gateway.
type Options struct {
	CallerListener net.Listener // callers
	ReadyListener  net.Listener // the balancer's questions
	ReadyPath      string
	PeerListener   net.Listener // views for other gateways, on the address of Peer
	Peer           peer.Options // State and Failed are set by New
	Source         Source
	Caches         Caches       // nil: servers don't tell what their caches hold
	Claims         ClaimStore   // nil: cold servers get nothing
	Rollouts       RolloutStore // nil: operators are not told how far roll-outs are
	Suspects       SuspectStore // nil: what requests have done to servers is forgotten with the gateways
	Codec          protocol.Codec
	Dispatcher     DispatcherOptions
	MilliCPU       int           // thousandths of a core that the process may use
	MemoryLimit    int64         // bytes that it may use; 0: no limit
	FileLimit      int           // descriptors that it may open; 0: no limit
	ShutdownGrace  time.Duration // a planned stop ends after this time at the latest
	Log            zerolog.Logger
	Metrics        Metrics
}

// Metrics hears how requests end. Its methods must not block.
type Metrics interface {
	// RequestEnded tells of a request's end: its route's kind, outcome and times.
	RequestEnded(o Outcome)
}

// Outcome is how a request ended.
type Outcome struct {
	Service   string
	Account   string
	Kind      string // "stream", "repeatable", "one-shot"
	Result    string // "served", "late", "refused", "barred", "failed", "left", "cut", "denied"
	FirstByte time.Duration
	Total     time.Duration
	Attempts  int
}

// Gateway is one gateway of a fleet.
type Gateway struct {
	options Options
	log     zerolog.Logger
	started time.Time
	view    atomic.Pointer[View]
	// When the view was last known to be the store's latest, as time since started:
	// the steady clock, not the time of day.
	confirmed        atomic.Int64
	watchesStore     atomic.Bool // this gateway watches the store for its hall
	storeUnreachable atomic.Bool // own calls to the store fail
	// Other gateways of the hall whose calls fail as well.
	hallPeersWithoutStore atomic.Int64
	dispatcher            *dispatcher
	pool                  *upstream.Pool
	peers                 *peer.Node
	storeWatcher          *storeWatcher
	whole                 wholeView
	claims                chan warmup.Claim       // to be written
	statusWrites          chan rolloutStatusWrite // to be told to the operators
	crashes               *crashDetector
	suspects              *suspectTracker
	activeCalls           *activeCalls
	signals               *serverSignals
	returned              returned
	stopping              atomic.Bool
	active                atomic.Int64 // requests being served
	room                  room
	helpers               *helpers
	passer                *passer         // set by serve
	duties                context.Context // of what runs beside requests; set by serve
	overload              overload
}

// New returns a gateway that does not run yet.
func New(o Options) (*Gateway, error) {
	if host, _, err := net.SplitHostPort(o.Peer.Address); err == nil {
		o.Dispatcher.Address = host // peer.Listen says what is wrong with another one
	}
	g := &Gateway{options: o, log: o.Log, started: time.Now(), pool: upstream.NewPool(o.Codec)}
	g.view.Store(&View{})
	g.room = roomFor(o.MemoryLimit, o.FileLimit)
	g.helpers = &helpers{hall: o.Dispatcher.Hall, list: map[string]int{}}
	g.claims = make(chan warmup.Claim, claimQueueSize)
	g.dispatcher = newDispatcher(o.Log, o.Dispatcher, time.Now())
	g.dispatcher.claims = g.claims
	g.statusWrites = make(chan rolloutStatusWrite, statusQueueSize)
	g.dispatcher.statusWrites = g.statusWrites
	g.dispatcher.viewFresh = func(now time.Time) bool { return now.Sub(g.confirmedAt()) <= confirmationTimeout }
	g.dispatcher.lateness = g.overload.worst
	g.suspects = newSuspectTracker(o.Log, o.Dispatcher.Address, func() int { return int(g.dispatcher.livePeers.Load()) + 1 })
	g.suspects.store = o.Suspects
	g.crashes = newCrashDetector(o.Log, g.suspects.serverCrashed)
	g.activeCalls = newActiveCalls()
	g.signals = newServerSignals()
	g.pool.OnSignal = g.handleSignal
	o.Peer.Hall = o.Dispatcher.Hall
	o.Peer.State = g.tell
	g.watchesStore.Store(true) // until others are known
	o.Peer.OnError = func(err error) { g.log.Debug().Str("event", "peer.datagram").Err(err).Msg("passed over") }
	peers, err := peer.Listen(o.Peer)
	if err != nil {
		return nil, err
	}
	g.peers, g.dispatcher.peers, g.suspects.peers = peers, peers, peers
	g.storeWatcher = newStoreWatcher(g)
	return g, nil
}

// tell is what the others hear of this gateway.
func (g *Gateway) tell() peer.State {
	s := *g.dispatcher.peerState.Load()
	v := g.view.Load()
	s.StoreRevision, s.ConfirmedAt, s.StoreUnreachable = v.Revision, g.confirmedAt(), g.storeUnreachable.Load()
	if !g.overload.short(time.Now()) && !g.stopping.Load() {
		s.Weight = g.options.MilliCPU
	}
	if v.Configuration != nil {
		s.ConfigurationVersion = v.Configuration.Version
	}
	return s
}

// confirmedAt returns when the view was last known to be the store's latest; the
// process's start if it never was.
func (g *Gateway) confirmedAt() time.Time { return g.started.Add(time.Duration(g.confirmed.Load())) }

// confirm notes that the view was the store's latest at a time.
func (g *Gateway) confirm(at time.Time) {
	since := int64(at.Sub(g.started))
	for {
		old := g.confirmed.Load()
		if since <= old || g.confirmed.CompareAndSwap(old, since) {
			return
		}
	}
}

// Run serves until ctx ends, then stops in the order of stop.go.
func (g *Gateway) Run(ctx context.Context) error {
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group := duty.NewGroup()
	group.Go(duties, "peers", g.peers.Run)
	group.Go(duties, "desk", g.dispatcher.run)
	group.Go(duties, "follower", g.storeWatcher.run)
	group.Go(duties, "news", g.hear)
	group.Go(duties, "idle", g.closeIdle)
	group.Go(duties, "caches", g.queryCaches)
	group.Go(duties, "claims", g.writeClaims)
	group.Go(duties, "statements", g.writeRolloutStatuses)
	group.Go(duties, "suspects", g.suspects.runWriter)
	group.Go(duties, "barred", g.cancelQuarantinedCalls)
	for range probeWorkers {
		group.Go(duties, "probes", g.crashes.runProbes)
	}
	group.Go(duties, "overload", func(ctx context.Context) { g.overload.run(ctx, g) })
	g.log.Info().Str("event", "start").Str("front", g.options.CallerListener.Addr().String()).Msg("gateway")
	err := g.serve(ctx, duties)
	cancel()
	group.Collect(duties)
	g.log.Info().Str("event", "stopped").Msg("gateway")
	return err
}

// Status is what a gateway believes, for metrics.
type Status struct {
	ViewAge              time.Duration // since the view was last known to be the store's latest
	ConfigurationVersion uint64        // 0: none
	StoreEra             uint64        // how often the store has come back from a copy, as it counts itself
	Servers              int
	Peers                int
	Active               int           // requests in hand
	SchedulingDelay      time.Duration // of the process, as of the latest measurement
	AdmittedShare        float64       // share of requests that the process has time for
	Suspects             int           // requests that were at servers when these ended
	Quarantined          int           // of them, those that reach no server any more
	AnnouncedLeaving     int           // servers that have said in answers that they leave
	BackingOff           int           // servers that have asked this gateway for rest
}

// Status returns what the gateway believes now.
func (g *Gateway) Status() Status {
	v := g.view.Load()
	s := Status{StoreEra: v.Revision.Era(), ViewAge: time.Since(g.confirmedAt()), Servers: len(v.Servers), Peers: int(g.dispatcher.livePeers.Load()), Active: int(g.active.Load()), SchedulingDelay: time.Duration(g.overload.lateness.Load()), AdmittedShare: g.overload.share()}
	s.AnnouncedLeaving, s.BackingOff = g.signals.count(time.Now())
	s.Suspects, s.Quarantined = int(g.suspects.suspectCount.Load()), g.suspects.barredCount()
	if v.Configuration != nil {
		s.ConfigurationVersion = v.Configuration.Version
	}
	return s
}

// Idle connections to servers are looked through this often.
const idleEvery = time.Second

// closeIdle closes connections to servers that are old or whose server has gone.
func (g *Gateway) closeIdle(ctx context.Context) {
	tick := time.NewTicker(idleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		servers := map[string]bool{}
		for _, s := range g.view.Load().Servers {
			servers[s.ID] = true
		}
		g.pool.Retain(servers)
	}
}
