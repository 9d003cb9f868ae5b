// Package agent is the sidecar process of a backend server; all requests to the
// server go through it. It admits attempts, decides with package fair which account
// gets the next slot when the server is full, meters the actual cost of responses,
// and remembers attempts so that a router can revoke or resume one after a lost
// connection.
//
// # Usage
//
//	a, err := agent.New(agent.Options{Name: "model-1", Hall: "quito-1", Engine: client, Listener: l})
//	done := a.Start(ctx)
//	a.Drain()            // planned stop: no new attempts, running ones continue
//	err = <-done
//
// One goroutine, the admission loop, owns all counters and slots; connections and
// running attempts send it events through one bounded channel. The agent stores
// nothing on disk: after a restart it is a new incarnation without state.
package agent

import (
	"context"
	"crypto/rand"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"opalbridge.dev/config"
	"opalbridge.dev/duty"
	"opalbridge.dev/engine"
	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

const (
	defaultSlots    = 8
	defaultInterval = 2 * time.Second
	eventQueueSize  = 1024
	attemptWindow   = 2 * time.Minute
	maxAttempts     = 1 << 16
	maxKeys         = 1 << 16
	// KeyWindow is how long an idempotency key of a caller is remembered.
	KeyWindow = 10 * time.Minute
)

// Options configures an Agent. Zero values select the defaults given below.
type Options struct {
	Name     string // of the agent, and of its server in the configuration
	Hall     string
	Engine   engine.Server
	Listener net.Listener  // accepts connections of routers; closed by the agent
	Slots    int           // maximum concurrent requests of the server; 8
	Interval time.Duration // between reports of service counters to summing routers; 2 s
	Policy   fair.Policy   // how the next account is chosen; fair.Fleet
	Grace    time.Duration // how long a response without a reader continues; 10 s
	Log      zerolog.Logger
	Tracer   trace.Tracer // nil disables tracing
	Records  *explain.Log
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Grace == 0 {
		o.Grace = 10 * time.Second
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("agent")
	}
	return o
}

// Agent admits and runs the attempts of one backend server.
type Agent struct {
	options     Options
	incarnation string
	holder      config.Holder
	events      chan event // senders block when it is full; the admission loop never blocks on them
	admission   *admission
	jobs        jobs
	draining    atomic.Bool
	violations  atomic.Int64
	idle        chan struct{} // closed when a draining agent runs no attempt
	drained     chan struct{} // closed when a drain is complete
	calls       openCalls
	stopped     chan struct{} // closed when the admission loop has ended
	goroutines  *duty.Group
	lifetime    context.Context // the agent's context: an attempt outlives its connection
	control     wire.ControlByteCounter
	startedAt   time.Time
}

// New returns an agent. Start runs it.
func New(o Options) (*Agent, error) {
	if o.Name == "" || o.Engine == nil || o.Listener == nil {
		return nil, errors.New("agent: new: name, engine and listener must be set")
	}
	a := &Agent{
		options:     o.withDefaults(),
		incarnation: rand.Text(),
		events:      make(chan event, eventQueueSize),
		idle:        make(chan struct{}),
		drained:     make(chan struct{}),
		stopped:     make(chan struct{}),
		goroutines:  duty.NewGroup(),
		startedAt:   time.Now(),
	}
	a.jobs.grace = a.options.Grace
	a.admission = newAdmission(a)
	return a, nil
}

// Incarnation returns the random ID of this run of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// Revision returns the revision of the configuration in use.
func (a *Agent) Revision() uint64 { return a.holder.Revision() }

// Start runs the agent until ctx is done. The channel receives the cause once all
// goroutines have ended.
func (a *Agent) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	a.lifetime = ctx
	a.goroutines.Go(ctx, "admission", a.admission.run)
	a.goroutines.Go(ctx, "server watch", a.pollServerLoad)
	a.goroutines.Go(ctx, "accept", a.accept)
	go func() {
		stop := context.AfterFunc(ctx, func() { _ = a.options.Listener.Close() })
		defer stop()
		a.goroutines.Wait(ctx)
		done <- context.Cause(ctx)
	}()
	return done
}

// send passes an event to the admission loop. It reports false if the loop has
// ended.
func (a *Agent) send(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.stopped:
		return false
	}
}

// Drain begins a planned stop: no new attempts are admitted, running ones continue.
// The channel is closed when no attempt is running, and all calls of routers that
// have arrived are answered.
func (a *Agent) Drain() <-chan struct{} {
	if a.draining.CompareAndSwap(false, true) {
		a.send(drainEvent{})
		a.goroutines.Go(a.lifetime, "drain", a.waitForCalls)
	}
	return a.drained
}

// Running returns the number of running attempts.
func (a *Agent) Running() int { return a.jobs.running() }

func (a *Agent) accept(ctx context.Context) {
	for {
		conn, err := a.options.Listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				a.options.Log.Error().Err(err).Msg("listener closed")
			}
			return
		}
		a.goroutines.Go(ctx, "connection", func(ctx context.Context) { a.serveConn(ctx, conn) })
	}
}

func (a *Agent) hello() *wirepb.Hello {
	d := a.holder.Current()
	h := &wirepb.Hello{
		Node:        a.options.Name,
		Incarnation: a.incarnation,
		Role:        "agent",
		Hall:        a.options.Hall,
		Revision:    d.Revision,
		Slots:       uint32(a.options.Slots),
	}
	if s := d.Server(a.options.Name); s != nil {
		h.Pools = s.Pools
	}
	return h
}

// record adds a decision to the agent's decision log.
func (a *Agent) record(e explain.Event) {
	e.Revision = a.holder.Revision()
	a.options.Records.Add(e)
}

// ControlBytes returns the number of bytes of control messages sent and received.
func (a *Agent) ControlBytes() uint64 { return a.control.Total() }

// Violations returns how many checks found the fairness bound exceeded.
func (a *Agent) Violations() int { return int(a.violations.Load()) }
