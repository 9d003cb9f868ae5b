// Package gateway implements the reverse proxy that runs on entry hosts. It takes callers'
// requests and sends them to backend servers directly. Every gateway makes its own placement
// decisions; gateways report what they send to each other (package peer), so that each one
// sees nearly the whole load. A gateway keeps no state on its host: configuration and servers
// come from a [Source], and from other gateways when the source is unreachable.
//
// # Usage
//
//	g, err := gateway.New(gateway.Options{CallerListener: l, Source: source, Codec: codec, …})
//	err = g.Run(ctx) // until ctx ends and the requests in flight are answered
//
// The path of a request runs through these files: admission.go decides, from what overload.go
// measures, whether its connection is served here, offloaded to another gateway (offload.go)
// or rejected (package reject); ingress.go parses and validates it; call.go sends it to a server
// and decides on retries; wait_queue.go queues requests that no server should get yet;
// relay.go relays the response; caller_retries.go recognizes callers that retry.
//
// Placement: dispatcher.go makes all decisions with package placement, dispatcher_cold.go
// limits the load of cold servers, dispatcher_slots.go queues requests to plain services for slots,
// dispatcher_pauses.go regards pauses of running streams,
// dispatcher_rollout.go moves a service to a new version:
// dispatcher_rollout_answers.go counts the answers and dispatcher_rollout_status.go reports the
// progress.
//
// State: view.go follows the source, lifetimes.go keeps the list of servers, cold_servers.go
// keeps the state of cold servers and evacuated halls, handover.go fetches the views of other
// gateways, and changelog.go keeps what has changed for incremental views, view_document.go
// encodes them, and update_receiver.go decides when to fetch them.
//
// Protection: callers.go manages callers' connections, package suspect keeps requests and parts of
// prompts that crash servers away from other servers, and call_quarantine.go applies this to a
// request in progress. crashes.go detects crashed servers,
// and signals.go applies what servers announce in responses. origins.go and call_resume.go keep a
// stream at the software version that began it; call_continue.go and dispatcher_continuation.go have
// streams go on at other servers from copies of their runs, which package transfer asks for;
// server_lifetime.go tells a server's lifetimes apart. offload.go hands connections off to other gateways
// and spare_cpu.go measures what CPU time this one could give to theirs; withdrawal.go has an overloaded gateway withdraw
// from the load balancer (package offload). stop.go shuts the gateway down.
package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/duty"
	"opalbridge.dev/gateway/continuation/transfer"
	"opalbridge.dev/gateway/memory"
	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/suspect"
	"opalbridge.dev/gateway/upstream"
	"opalbridge.dev/gateway/warmup"
)

// Options configure a Gateway.
type Options struct {
	CallerListener net.Listener // connections of callers
	ReadyListener  net.Listener // health checks of the load balancer
	ReadyPath      string
	PeerListener   net.Listener // requests of other gateways, on the address of Peer
	Peer           peer.Options // Hall, State, Origins and OnError are set by New
	Source         Source
	Caches         Caches          // nil: servers do not report the contents of their caches
	Lifetimes      Lifetimes       // nil: servers are in the lifetimes that their entries tell
	Copies         transfer.Copies // nil: runs do not move
	Claims         ClaimStore      // nil: cold servers get no requests
	Rollouts       RolloutStore    // nil: the progress of rollouts is not reported to operators
	Suspects       suspect.Store   // nil: requests that crashed servers are not remembered once all gateways have restarted
	Codec          protocol.Codec
	Dispatcher     DispatcherOptions
	MilliCPU       int            // thousandths of a core that the process may use
	MemoryLimit    int64          // bytes that the process may use; 0: no limit
	Memory         *memory.Budget // of requests, see NewMemory; nil: no limit
	MaxHeadBytes   int            // limit of the head of a server's answer; 0: upstream.DefaultMaxHeadBytes
	FileLimit      int            // file descriptors that the process may open; 0: no limit
	ShutdownGrace  time.Duration  // upper bound on the time of a planned stop
	Log            zerolog.Logger
	Metrics        Metrics
}

// Metrics records finished requests. Its methods must not block.
type Metrics interface {
	// RequestEnded records the end of a request.
	RequestEnded(o Outcome)
	// RetryDecided records whether the retry budget had a retry left for a request.
	RetryDecided(service string, granted bool)
	// RetryAcknowledged records how long after its decision a retry got a sign of life from its
	// server.
	RetryAcknowledged(service string, delay time.Duration)
	// StreamResumed records what became of a caller's attempt to take up a stream.
	StreamResumed(service string, outcome ResumeOutcome)
	// SlotDecided records that a request to a plain service was held or refused for want of a slot.
	SlotDecided(service string, decision SlotDecision)
	// StreamContinued records what became of a step by which a stream continues at another server.
	StreamContinued(service string, s ContinuationStep, outcome string)
	// InvalidReceived records that a server has sent bytes that are no answer.
	InvalidReceived(service string, kind upstream.Invalid)
	// ConnectionOffloaded records what became of a connection that the gateway had no CPU time to serve.
	ConnectionOffloaded(outcome offload.Outcome)
	// RequestDropped records that the gateway closed a connection on which a request had arrived, without an answer.
	RequestDropped(d DroppedRequest)
}

// Outcome describes a finished request.
type Outcome struct {
	Service   string
	Account   string
	Kind      string // "stream", "repeatable", "one-shot"
	Result    string // "served", "late", "refused", "barred", "failed", "left", "cut", "denied"
	FirstByte time.Duration
	Total     time.Duration
	Attempts  int
	// Of refused requests:
	BesideIdle bool   // an idle server could have sent the first event within a quarter of the objective
	Surplus    string // why it got no surplus capacity; empty: it was within its account's share, or package surplus is not used
}

// Gateway is one gateway of a fleet.
type Gateway struct {
	options Options
	log     zerolog.Logger
	started time.Time
	view    atomic.Pointer[View]
	// When the view was last known to match the store, as an offset from started: the
	// monotonic clock, not the wall clock.
	confirmed        atomic.Int64
	watchesStore     atomic.Bool // this gateway watches the store on behalf of its hall
	storeUnreachable atomic.Bool // this gateway's own calls to the store fail
	// Number of other gateways of the hall that cannot reach the store either.
	hallPeersWithoutStore atomic.Int64
	dispatcher            *dispatcher
	pool                  *upstream.Pool
	peers                 *peer.Node
	storeWatcher          *storeWatcher
	viewCache             viewCache
	claims                chan warmup.Claim       // claims to be written to the store
	statusWrites          chan rolloutStatusWrite // rollout statuses to be reported to the operators
	crashes               *crashDetector
	suspects              *suspect.Tracker
	activeCalls           *activeCalls
	signals               *serverSignals
	origins               *originTracker
	revisions             revisionQuery
	runs                  *transfer.Runs    // nil: streams neither move nor are backed up
	copyCleaner           *transfer.Cleaner // nil: runs do not move
	callerRetries         callerRetryTracker
	stopping              atomic.Bool
	stopBegan             atomic.Pointer[time.Time] // when a shutdown was requested; nil: it was not
	stopPlanned           atomic.Pointer[time.Time] // when a requested shutdown ends what is left; nil: it was not requested
	stopEnd               atomic.Pointer[time.Time] // when the gateway ends what is left; nil: connections are not ended yet
	expired               context.Context           // ends when the grace period of the shutdown has expired
	expire                context.CancelFunc
	active                atomic.Int64 // requests being served
	capacity              capacity
	offloadTargets        *offloadTargets
	spare                 *spareCPU       // nil: it is not told to other gateways
	withdrawal            *withdrawal     // nil: it never withdraws from the load balancer
	offloader             *offloader      // set by serve
	background            context.Context // context of background tasks; set by serve
	overload              overload
}

// New returns a gateway that is not running yet.
func New(o Options) (*Gateway, error) {
	if host, _, err := net.SplitHostPort(o.Peer.Address); err == nil {
		o.Dispatcher.Address = host // peer.Listen reports an invalid address
	}
	g := &Gateway{options: o, log: o.Log, started: time.Now(), pool: upstream.NewPool(o.Codec)}
	g.view.Store(&View{})
	g.expired, g.expire = context.WithCancel(context.Background())
	g.capacity = capacityFor(o.MemoryLimit, o.FileLimit)
	g.offloadTargets = newOffloadTargets(o.Dispatcher.Hall, o.Dispatcher.Regions, g.offloadsToOtherHalls)
	g.spare = newSpareCPU(g)
	g.claims = make(chan warmup.Claim, claimQueueSize)
	g.dispatcher = newDispatcher(o.Log, o.Dispatcher, time.Now())
	if o.Metrics != nil {
		g.dispatcher.metrics = o.Metrics
	}
	g.dispatcher.claims = g.claims
	g.statusWrites = make(chan rolloutStatusWrite, statusQueueSize)
	g.dispatcher.statusWrites = g.statusWrites
	g.dispatcher.viewFresh = func(now time.Time) bool { return now.Sub(g.confirmedAt()) <= confirmationTimeout }
	g.dispatcher.lateness = g.overload.maxDelay
	g.withdrawal = newWithdrawal(g)
	g.suspects = suspect.NewTracker(o.Log, o.Dispatcher.Address, func() int { return int(g.dispatcher.livePeers.Load()) + 1 })
	g.suspects.Store = o.Suspects
	g.crashes = newCrashDetector(o.Log, g.suspects.ServerCrashed)
	g.activeCalls = newActiveCalls()
	g.signals = newServerSignals()
	g.origins = newOriginTracker(g.started)
	if o.Copies != nil {
		o.Copies = recordedCopies{o.Copies, g}
		g.copyCleaner = transfer.NewCleaner(o.Copies, o.Log)
		if f := o.Dispatcher.Features; f.MoveStreams != Off || f.BackUpStreams != Off {
			g.runs = transfer.NewRuns(transfer.Options{Copies: o.Copies, Planner: g.dispatcher, Lifetimes: runLifetimes{g}, Cleaner: g.copyCleaner})
		}
	}
	g.pool.OnSignal, g.pool.OnSurplus = g.handleSignal, g.recordSurplus
	g.pool.Memory, g.pool.MaxHeadBytes = o.Memory, o.MaxHeadBytes
	o.Peer.Origins = g.origins
	o.Peer.Hall = o.Dispatcher.Hall
	o.Peer.State = g.peerState
	g.watchesStore.Store(true) // until other gateways are known
	o.Peer.OnError = func(err error) { g.log.Debug().Str("event", "peer.datagram").Err(err).Msg("datagram ignored") }
	peers, err := peer.Listen(o.Peer)
	if err != nil {
		return nil, err
	}
	g.peers, g.dispatcher.peers, g.suspects.Peers, g.origins.peers = peers, peers, peers, peers
	g.storeWatcher = newStoreWatcher(g)
	return g, nil
}

// peerState returns the state that is sent to the other gateways.
func (g *Gateway) peerState() peer.State {
	s := *g.dispatcher.peerState.Load()
	v := g.view.Load()
	s.StoreRevision, s.ConfirmedAt, s.StoreUnreachable = v.Revision, g.confirmedAt(), g.storeUnreachable.Load()
	now := time.Now()
	if !g.overload.overloaded(now) && !g.stopping.Load() {
		s.Weight = g.options.MilliCPU
	}
	s.NotAdmitted = g.overload.notAdmittedPercent(now)
	s.Spare, s.TellsSpare = g.spare.told()
	s.Readiness = g.readiness()
	if v.Configuration != nil {
		s.ConfigurationVersion = v.Configuration.Version
	}
	return s
}

// confirmedAt returns when the view was last known to match the store, or the process's start
// if it never was.
func (g *Gateway) confirmedAt() time.Time { return g.started.Add(time.Duration(g.confirmed.Load())) }

// confirm records that the view matched the store at a time.
func (g *Gateway) confirm(at time.Time) {
	since := int64(at.Sub(g.started))
	for {
		old := g.confirmed.Load()
		if since <= old || g.confirmed.CompareAndSwap(old, since) {
			return
		}
	}
}

// Run serves until ctx ends, then shuts down in the order described in stop.go.
func (g *Gateway) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group := duty.NewGroup()
	group.Go(background, "peers", g.peers.Run)
	group.Go(background, "dispatcher", g.dispatcher.run)
	group.Go(background, "store watcher", g.storeWatcher.run)
	group.Go(background, "update receiver", g.receiveUpdates)
	group.Go(background, "idle connections", g.closeIdle)
	group.Go(background, "caches", g.queryCaches)
	group.Go(background, "claims", g.writeClaims)
	group.Go(background, "rollout statuses", g.writeRolloutStatuses)
	group.Go(background, "suspects", g.suspects.RunWriter)
	group.Go(background, "quarantine", g.cancelQuarantinedCalls)
	group.Go(background, "versions", g.recordVersions)
	group.Go(background, "unused copies", g.copyCleaner.Run)
	for range probeWorkers {
		group.Go(background, "probes", g.crashes.runProbes)
	}
	group.Go(background, "overload", func(ctx context.Context) { g.overload.run(ctx, g) })
	g.log.Info().Str("event", "start").Str("front", g.options.CallerListener.Addr().String()).Msg("gateway started")
	err := g.serve(ctx, background)
	cancel()
	group.Wait(background)
	g.log.Info().Str("event", "stopped").Msg("gateway stopped")
	return err
}

// Status is a snapshot of the gateway's state for metrics.
type Status struct {
	ViewAge              time.Duration // time since the view was last known to match the store
	ConfigurationVersion uint64        // 0: none
	StoreEra             uint64        // how often the store has been restored from a backup, by its own count
	Servers              int
	Peers                int
	Active               int           // requests in flight
	HeldMemory           int64         // bytes that they and connections have reserved
	SchedulingDelay      time.Duration // scheduling delay of the process, as of the latest sample
	AdmittedShare        float64       // share of requests that the overload control admits
	Suspects             int           // requests, and parts of their prompts, that were at servers when these crashed
	Quarantined          int           // of them, those that are sent to no server
	QuarantinedParts     int           // of these, parts of prompts
	AnnouncedLeaving     int           // servers that have announced in responses that they are leaving
	BackingOff           int           // servers that have asked this gateway to back off
	Origins              int           // attempts of callers whose streams' versions are remembered
	PausesPredicted      int64         // requests sent although running streams were expected to be late because of them
	PausesAvoided        int64         // requests sent past a server because of the pauses of its streams
	MemoryAvoided        int64         // requests sent past a server into whose memory they did not fit
	MemoryExceeded       int64         // requests sent although they fitted into no server's memory
	Withdrawn            bool          // the gateway fails the load balancer's health checks, as it is overloaded
}

// Status returns the gateway's current state.
func (g *Gateway) Status() Status {
	v := g.view.Load()
	s := Status{
		StoreEra:        v.Revision.Era(),
		ViewAge:         time.Since(g.confirmedAt()),
		Servers:         len(v.Servers),
		Peers:           int(g.dispatcher.livePeers.Load()),
		Active:          int(g.active.Load()),
		HeldMemory:      g.options.Memory.Used(),
		SchedulingDelay: time.Duration(g.overload.delay.Load()),
		AdmittedShare:   g.overload.admittedShare(),
		Withdrawn:       g.withdrawal.isWithdrawn(),
	}
	s.AnnouncedLeaving, s.BackingOff = g.signals.count(time.Now())
	s.Origins = g.origins.count()
	s.PausesPredicted = g.dispatcher.pausesPredicted.Load()
	s.PausesAvoided, s.MemoryAvoided, s.MemoryExceeded = g.dispatcher.avoided.pauses.Load(), g.dispatcher.avoided.memory.Load(), g.dispatcher.avoided.full.Load()
	s.Suspects = g.suspects.Count()
	s.Quarantined, s.QuarantinedParts = g.suspects.QuarantinedCount()
	if v.Configuration != nil {
		s.ConfigurationVersion = v.Configuration.Version
	}
	return s
}

// Interval at which idle connections to servers are checked.
const idleCheckInterval = time.Second

// closeIdle closes connections to servers that are too old or whose server is gone.
func (g *Gateway) closeIdle(ctx context.Context) {
	tick := time.NewTicker(idleCheckInterval)
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
