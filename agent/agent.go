// Package agent is the process in the slot beside a backend server, and the only
// way to it. It admits attempts, decides with the fair package whom to grant a
// place when it is full, meters what answers really cost, and remembers attempts
// so that a router can revoke or find one it lost sight of.
//
// # Usage
//
//	a, err := agent.New(agent.Options{Name: "model-1", Hall: "quito-1", Engine: client, Listener: l})
//	done := a.Start(ctx)
//	a.Drain()            // a planned stop: no new work, what runs goes on
//	err = <-done
//
// One goroutine, the admission duty, owns all counters and places; connections
// and running attempts talk to it through one bounded channel. The agent keeps
// nothing on its host: a restarted one is a new incarnation that knows nothing.
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
	// KeyWindow is how long a caller's idempotency key is remembered.
	KeyWindow = 10 * time.Minute
)

// Options set up an Agent. Zero values mean the defaults named.
type Options struct {
	Name     string // of the agent and of its server in the configuration
	Hall     string
	Engine   engine.Server
	Listener net.Listener  // for routers; the agent closes it
	Slots    int           // requests the server takes at once at most; 8
	Interval time.Duration // between reports to summing routers; 2 s
	Policy   fair.Policy   // how to pick; fair.Fleet
	Grace    time.Duration // an answer nobody reads is kept running so long; 10 s
	Log      zerolog.Logger
	Tracer   trace.Tracer // nil: none
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

// Agent is a running or ready agent.
type Agent struct {
	options     Options
	incarnation string
	holder      config.Holder
	events      chan event // full: senders wait; the admission duty never waits for them
	admission   *admission
	jobs        jobs
	draining    atomic.Bool
	violations  atomic.Int64
	drained     chan struct{}
	stopped     chan struct{} // closed when the admission duty has ended
	goroutines  *duty.Group
	lifetime    context.Context // of the agent: an attempt outlives its connection
	control     wire.ControlCount
	startedAt   time.Time
}

// New returns an agent that Start has yet to start.
func New(o Options) (*Agent, error) {
	if o.Name == "" || o.Engine == nil || o.Listener == nil {
		return nil, errors.New("agent: new: name, engine and listener must be set")
	}
	a := &Agent{
		options:     o.withDefaults(),
		incarnation: rand.Text(),
		events:      make(chan event, eventQueueSize),
		drained:     make(chan struct{}),
		stopped:     make(chan struct{}),
		goroutines:  duty.NewGroup(),
		startedAt:   time.Now(),
	}
	a.jobs.grace = a.options.Grace
	a.admission = newAdmission(a)
	return a, nil
}

// Incarnation returns the id of this start of the agent.
func (a *Agent) Incarnation() string { return a.incarnation }

// Revision returns the configuration revision in force here.
func (a *Agent) Revision() uint64 { return a.holder.Revision() }

// Start runs the agent until ctx ends. The channel gets one value, the reason of
// the end, when everything has stopped.
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

// tell passes an event to the admission duty; it reports false when that has
// ended.
func (a *Agent) send(e event) bool {
	select {
	case a.events <- e:
		return true
	case <-a.stopped:
		return false
	}
}

// Drain begins a planned stop: no new work is taken, what runs goes on. The
// channel is closed when nothing runs any more.
func (a *Agent) Drain() <-chan struct{} {
	if a.draining.CompareAndSwap(false, true) {
		a.send(drainEvent{})
	}
	return a.drained
}

// Running returns the number of attempts that run.
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

// record adds a decision to the agent's record.
func (a *Agent) record(e explain.Event) {
	e.Revision = a.holder.Revision()
	a.options.Records.Add(e)
}

// ControlBytes returns the bytes of control messages sent and received so far.
func (a *Agent) ControlBytes() uint64 { return a.control.Total() }

// Violations returns how often the fairness bound was seen broken here.
func (a *Agent) Violations() int { return int(a.violations.Load()) }
