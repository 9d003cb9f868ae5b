// Package router is the process on an entry host: it takes callers' requests,
// holds those that must wait, binds each to a backend server as late as it can,
// and carries the answer back. Operators' calls are answered at every router.
//
// # Usage
//
//	r, err := router.New(router.Options{Name: "router-1", Hall: "quito-1", …})
//	done := r.Start(ctx)
//	http.Serve(callers, r.Handler())
//	r.Drain()            // a planned stop: refuse new requests, finish the rest
//	err = <-done
//
// One goroutine, the dispatcher, owns the queue and the view of the agents;
// another sums counters; others keep connections and the configuration. Nothing
// here must last: a restarted router is a new incarnation that knows nothing.
package router

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"opalbridge.dev/config"
	"opalbridge.dev/duty"
	"opalbridge.dev/explain"
	"opalbridge.dev/kv"
	"opalbridge.dev/wire"
)

const (
	defaultInterval = 2 * time.Second
	eventQueue      = 4096
)

// Dialer opens connections to other processes.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Options set up a Router. Zero values mean the defaults named.
type Options struct {
	Name      string
	Hall      string
	Address   string // of Listener, as the live list shows it
	KV        kv.KV
	Directory kv.Directory
	Dial      Dialer        // nil: TCP
	Listener  net.Listener  // for other routers; the router closes it
	Degree    int           // agents of a pool it connects to; 0: all
	Interval  time.Duration // between exchanges of counters; 2 s
	Queueing  Queueing      // how it dispatches; LateBinding
	Log       zerolog.Logger
	Tracer    trace.Tracer // nil: none
	Records   *explain.Log
	Metrics   Metrics // nil: none
}

// Queueing is a way to dispatch; all but LateBinding are baselines to compare
// with.
type Queueing int

// The ways to dispatch.
const (
	LateBinding Queueing = iota // wants and grants; the agents pick the account
	RouterFair                  // the router picks the account and the least loaded agent
	FirstCome                   // first come first served, at the least loaded agent
)

// Metrics is what a router tells of its work.
type Metrics interface {
	Request(account, pool, outcome, cause string, urgent bool, wait, total time.Duration)
	Retry(reason string)
}

func (o Options) withDefaults() Options {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if o.Tracer == nil {
		o.Tracer = noop.NewTracerProvider().Tracer("router")
	}
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	return o
}

type noMetrics struct{}

func (noMetrics) Request(_, _, _, _ string, _ bool, _, _ time.Duration) {}
func (noMetrics) Retry(string)                                          {}

// Router is a running or ready router.
type Router struct {
	options     Options
	incarnation string
	holder      config.Holder
	store       config.Store
	duties      *duty.Group
	dispatcher  *dispatcher
	members     *members
	agents      *agents
	neighbours  *neighbours
	summing     *summing
	retries     retryBudget
	control     wire.ControlCount
	counted     counted
	fresh       freshness
	draining    atomic.Bool
	open        atomic.Int64 // requests not yet answered
	drained     chan struct{}
	drainOnce   sync.Once
	begun       time.Time
}

// New returns a router that Start has yet to start.
func New(o Options) (*Router, error) {
	if o.Name == "" || o.KV == nil || o.Directory == nil || o.Listener == nil {
		return nil, errors.New("router: new: name, platform and listener must be set")
	}
	o = o.withDefaults()
	r := &Router{
		options:     o,
		incarnation: rand.Text(),
		store:       config.Store{KV: o.KV},
		duties:      duty.NewGroup(),
		drained:     make(chan struct{}),
		begun:       time.Now(),
	}
	r.store.Known = r.holder.Current
	r.dispatcher = newDispatcher(r)
	r.members = &members{router: r}
	r.agents = &agents{router: r, links: map[string]*link{}}
	r.neighbours = &neighbours{router: r, links: map[string]*link{}}
	r.summing = newSumming(r)
	return r, nil
}

// Start runs the router until ctx ends. The channel gets one value, the reason of
// the end, when everything has stopped.
func (r *Router) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	r.duties.Go(ctx, "dispatcher", r.dispatcher.run)
	r.duties.Go(ctx, "members", r.members.run)
	r.duties.Go(ctx, "agents", r.agents.run)
	r.duties.Go(ctx, "neighbours", r.neighbours.run)
	r.duties.Go(ctx, "summing", r.summing.run)
	r.duties.Go(ctx, "configuration", r.watchConfiguration)
	r.duties.Go(ctx, "accept", r.accept)
	go func() {
		stop := context.AfterFunc(ctx, func() { _ = r.options.Listener.Close() })
		defer stop()
		r.duties.Wait(ctx)
		done <- context.Cause(ctx)
	}()
	return done
}

// Drain begins a planned stop: new requests are refused as not run, the rest are
// answered. The channel is closed when none is open any more.
func (r *Router) Drain() <-chan struct{} {
	r.draining.Store(true)
	r.checkDrained()
	return r.drained
}

// Open returns the number of requests that are not yet answered.
func (r *Router) Open() int { return int(r.open.Load()) }

func (r *Router) checkDrained() {
	if r.draining.Load() && r.open.Load() == 0 {
		r.drainOnce.Do(func() { close(r.drained) })
	}
}

// Ready reports whether the router can serve, and if not why.
func (r *Router) Ready() (bool, string) {
	switch {
	case r.draining.Load():
		return false, "stopping"
	case r.holder.Revision() == 0:
		return false, "no configuration yet"
	case r.agents.connected() == 0:
		return false, "no agent connected yet"
	}
	return true, "ready"
}

// Revision returns the configuration revision in force here.
func (r *Router) Revision() uint64 { return r.holder.Revision() }

// Configuration returns the document in force; it has revision 0 when there is none.
func (r *Router) Configuration() *config.Document { return r.holder.Current() }

// record adds a decision to the router's record.
func (r *Router) record(e explain.Event) {
	e.Revision = r.holder.Revision()
	r.options.Records.Add(e)
}

// ControlBytes returns the bytes of control messages sent and received so far.
func (r *Router) ControlBytes() uint64 { return r.control.Total() + r.counted.total() }

// AgentsConnected returns the number of agents that are connected now.
func (r *Router) AgentsConnected() int { return r.agents.connected() }
