// Package router implements the router process of an entry host. It accepts
// callers' requests, queues those that must wait, binds each to the agent of a
// backend server as late as possible and relays the response. Every router answers
// operators' calls.
//
// # Usage
//
//	r, err := router.New(router.Options{Name: "router-1", Hall: "quito-1", …})
//	done := r.Start(ctx)
//	http.Serve(callers, r.Handler())
//	r.Drain()            // graceful shutdown: reject new requests, finish the rest
//	err = <-done
//
// One goroutine, the dispatcher, owns the queue and the state of the agents;
// another aggregates counters; others maintain connections and the configuration.
// A router persists nothing: after a restart it is a new incarnation without state.
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
	eventQueueSize  = 4096
)

// Dialer opens connections to other processes.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Options configures a Router. Zero values mean the defaults named.
type Options struct {
	Name      string
	Hall      string
	Address   string // of Listener, as published in the live list
	KV        kv.KV
	Directory kv.Directory
	Dial      Dialer        // nil: TCP
	Listener  net.Listener  // accepts other routers; the router closes it
	Degree    int           // agents per pool to connect to; 0: all
	Interval  time.Duration // between exchanges of counters; default 2 s
	Queueing  Queueing      // dispatch policy; default LateBinding
	Log       zerolog.Logger
	Tracer    trace.Tracer // nil: none
	Records   *explain.Log
	Metrics   Metrics // nil: none
}

// Queueing is a dispatch policy; all but LateBinding are baselines for
// comparison.
type Queueing int

// The dispatch policies.
const (
	LateBinding Queueing = iota // agents grant slots to the waiting requests; the agents pick the account
	RouterFair                  // the router picks the account by fair share, and the least loaded agent
	FirstCome                   // first come, first served, at the least loaded agent
)

// Metrics receives measurements of requests and retries.
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

// Router dispatches requests to agents; New creates one and Start runs it.
type Router struct {
	options       Options
	incarnation   string
	holder        config.Holder
	store         config.Store
	duties        *duty.Group
	dispatcher    *dispatcher
	members       *members
	agents        *agents
	neighbours    *neighbours
	aggregator    *aggregator
	retries       retryBudget
	control       wire.ControlByteCounter
	exchangeBytes byteCounter
	freshness     freshness
	draining      atomic.Bool
	openRequests  atomic.Int64 // requests without an outcome yet
	drained       chan struct{}
	drainOnce     sync.Once
	startedAt     time.Time
}

// New returns a router that is not started yet.
func New(o Options) (*Router, error) {
	if o.Name == "" || o.KV == nil || o.Directory == nil || o.Listener == nil {
		return nil, errors.New("router: Name, KV, Directory and Listener are required")
	}
	o = o.withDefaults()
	r := &Router{
		options:     o,
		incarnation: rand.Text(),
		store:       config.Store{KV: o.KV},
		duties:      duty.NewGroup(),
		drained:     make(chan struct{}),
		startedAt:   time.Now(),
	}
	r.store.Local = r.holder.Current
	r.dispatcher = newDispatcher(r)
	r.members = &members{router: r}
	r.agents = &agents{router: r, links: map[string]*link{}}
	r.neighbours = &neighbours{router: r, links: map[string]*link{}}
	r.aggregator = newAggregator(r)
	return r, nil
}

// Start runs the router until ctx ends. The channel receives one value, the cause
// of the end, after every goroutine has stopped.
func (r *Router) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	r.duties.Go(ctx, "dispatcher", r.dispatcher.run)
	r.duties.Go(ctx, "members", r.members.run)
	r.duties.Go(ctx, "agents", r.agents.run)
	r.duties.Go(ctx, "neighbours", r.neighbours.run)
	r.duties.Go(ctx, "summing", r.aggregator.run)
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

// Drain starts a graceful shutdown: new requests are rejected as not run, accepted
// ones are finished. The returned channel is closed when no request is open.
func (r *Router) Drain() <-chan struct{} {
	r.draining.Store(true)
	r.checkDrained()
	return r.drained
}

// OpenRequests returns the number of requests that are not yet answered.
func (r *Router) OpenRequests() int { return int(r.openRequests.Load()) }

func (r *Router) checkDrained() {
	if r.draining.Load() && r.openRequests.Load() == 0 {
		r.drainOnce.Do(func() { close(r.drained) })
	}
}

// Ready reports whether the router can serve requests, and if not, why.
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

// Revision returns the configuration revision in force at this router.
func (r *Router) Revision() uint64 { return r.holder.Revision() }

// Configuration returns the document in force, with revision 0 if there is none.
func (r *Router) Configuration() *config.Document { return r.holder.Current() }

// record adds an event to the decision log, with the revision in force.
func (r *Router) record(e explain.Event) {
	e.Revision = r.holder.Revision()
	r.options.Records.Add(e)
}

// ControlBytes returns the number of bytes of control messages sent and received.
func (r *Router) ControlBytes() uint64 { return r.control.Total() + r.exchangeBytes.total() }

// AgentsConnected returns the number of connected agents.
func (r *Router) AgentsConnected() int { return r.agents.connected() }
