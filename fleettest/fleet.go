package fleettest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/agent"
	"opalbridge.dev/attempt"
	"opalbridge.dev/config"
	"opalbridge.dev/engine"
	"opalbridge.dev/engine/enginetest"
	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/kv"
	"opalbridge.dev/kv/kvtest"
	"opalbridge.dev/router"
	"opalbridge.dev/wire/wirepb"
)

// Names of the pools of a fleet.
const (
	ModelPool   = "small"
	ServicePool = "booking"
	// AccountHeader carries the account to the fake servers.
	AccountHeader = "X-Account"
)

// Options configure a fleet. Zero values mean the defaults given.
type Options struct {
	Routers  int              // 3
	Models   int              // 3
	Services int              // 0
	Halls    int              // 3
	Slots    int              // 8, of each server
	Accounts []config.Account // one account named solo
	Model    enginetest.ModelOptions
	Limits   config.Limits
	Latency  time.Duration // 500 µs one way
	Degree   int
	Policy   fair.Policy
	Queueing router.Queueing
	Interval time.Duration // 2 s
	// Pools gives the pools of each model server; nil: all are in ModelPool.
	Pools   func(server int) []string
	Log     zerolog.Logger // zero: no logging
	Metrics router.Metrics
}

func (o Options) withDefaults() Options {
	set := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	set(&o.Routers, 3)
	set(&o.Models, 3)
	set(&o.Halls, 3)
	set(&o.Slots, 8)
	if o.Accounts == nil {
		o.Accounts = []config.Account{{Name: "solo", Share: 1}}
	}
	if o.Latency == 0 {
		o.Latency = 500 * time.Microsecond
	}
	if o.Pools == nil {
		o.Pools = func(int) []string { return []string{ModelPool} }
	}
	return o
}

// Fleet is a fleet of real routers and agents with a fake network, platform and servers.
type Fleet struct {
	Options  Options
	Network  *Network
	Platform *kvtest.Service
	Routers  []*Router
	Agents   []*Agent

	test   testing.TB
	ctx    context.Context
	cancel context.CancelFunc
}

// Router is a router of the fleet; Node is nil while it is stopped.
type Router struct {
	Name, Hall string
	Node       *router.Router
	mutex      sync.Mutex // guards Node against concurrent faults and calls
	stop       context.CancelFunc
	done       <-chan error
}

// Agent is an agent of the fleet with its server; Node is nil while it is stopped.
type Agent struct {
	Name, Hall string
	Node       *agent.Agent
	mutex      sync.Mutex          // guards Node against concurrent faults and calls
	Model      *enginetest.Model   // nil for a plain service
	Service    *enginetest.Service // nil for a model
	Server     engine.Server
	stop       context.CancelFunc
	done       <-chan error
}

// Start starts a fleet and waits until its routers are connected to the agents
// that they need. The fleet is stopped at the end of the test.
func Start(t testing.TB, o Options) *Fleet {
	o = o.withDefaults()
	ctx, end := context.WithCancel(context.Background())
	f := &Fleet{Options: o, Network: NewNetwork(o.Latency), Platform: &kvtest.Service{}, test: t, ctx: ctx, cancel: end}
	f.configure()
	for i := range o.Models + o.Services {
		f.addAgent(i)
	}
	for i := range o.Routers {
		name := fmt.Sprintf("router-%02d", i)
		r := &Router{Name: name, Hall: f.hall(i)}
		f.Network.SetHall(name, r.Hall)
		f.Routers = append(f.Routers, r)
		f.Platform.SetHost(kv.Host{Name: name, Role: kv.Router, Hall: r.Hall, Address: name})
	}
	for _, r := range f.Routers {
		f.StartRouter(r)
	}
	t.Cleanup(f.Stop)
	f.WaitReady()
	return f
}

func (f *Fleet) hall(i int) string { return fmt.Sprintf("hall-%d", i%f.Options.Halls+1) }

func (f *Fleet) configure() {
	store := config.Store{KV: f.Platform}
	o := store.Propose(f.ctx, 0, func(d *config.Document) error {
		for _, a := range f.Options.Accounts {
			d.NextAccount++
			a.ID = d.NextAccount
			a.Keys = []config.Key{{Hash: config.HashKey(a.Name)}}
			d.Accounts = append(d.Accounts, a)
		}
		pools := map[string]bool{}
		for i := range f.Options.Models {
			s := config.Server{Name: f.agentName(i), Hall: f.hall(i), Pools: f.Options.Pools(i)}
			for _, p := range s.Pools {
				if !pools[p] {
					pools[p] = true
					d.Pools = append(d.Pools, config.Pool{Name: p, Kind: config.Model})
				}
			}
			d.Servers = append(d.Servers, s)
		}
		if f.Options.Services > 0 {
			d.Pools = append(d.Pools, config.Pool{Name: ServicePool, Kind: config.Service})
		}
		for i := range f.Options.Services {
			d.Servers = append(d.Servers, config.Server{Name: f.agentName(f.Options.Models + i), Hall: f.hall(i), Pools: []string{ServicePool}})
		}
		d.Limits = f.Options.Limits
		return nil
	})
	require.IsType(f.test, config.Accepted{}, o)
}

func (f *Fleet) agentName(i int) string {
	if i < f.Options.Models {
		return fmt.Sprintf("model-%03d", i)
	}
	return fmt.Sprintf("booking-%02d", i-f.Options.Models)
}

func (f *Fleet) addAgent(i int) {
	a := &Agent{Name: f.agentName(i), Hall: f.hall(i)}
	if i < f.Options.Models {
		m := f.Options.Model
		m.Models = f.Options.Pools(i)
		m.Slots = f.Options.Slots
		m.LabelHeader = AccountHeader
		a.Model = enginetest.NewModel(m)
		a.Server = &enginetest.Direct{Handler: a.Model}
	} else {
		a.Hall = f.hall(i - f.Options.Models)
		a.Service = &enginetest.Service{}
		a.Server = &enginetest.Direct{Handler: a.Service}
	}
	f.Network.SetHall(a.Name, a.Hall)
	f.Agents = append(f.Agents, a)
	f.StartAgent(a)
	f.Platform.SetHost(kv.Host{Name: a.Name, Role: kv.Agent, Hall: a.Hall, Address: a.Name})
}

const recordCapacity = 4096

// StartAgent starts an agent without any state.
func (f *Fleet) StartAgent(a *Agent) {
	node, err := agent.New(agent.Options{
		Name: a.Name, Hall: a.Hall, Engine: a.Server, Listener: f.Network.Listen(a.Name), Slots: f.Options.Slots,
		Interval: f.Options.Interval, Policy: f.Options.Policy, Log: f.Options.Log, Records: explain.NewLog(a.Name, recordCapacity),
	})
	require.NoError(f.test, err)
	ctx, stop := context.WithCancel(f.ctx)
	done := node.Start(ctx)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.Node, a.stop, a.done = node, stop, done
}

// StartRouter starts a router without any state.
func (f *Fleet) StartRouter(r *Router) {
	node, err := router.New(router.Options{
		Name: r.Name, Hall: r.Hall, Address: r.Name, KV: f.Platform, Directory: f.Platform,
		Dial: f.Network.Dialer(r.Name), Listener: f.Network.Listen(r.Name), Degree: f.Options.Degree,
		Interval: f.Options.Interval, Queueing: f.Options.Queueing, Log: f.Options.Log, Records: explain.NewLog(r.Name, recordCapacity),
		Metrics: f.Options.Metrics,
	})
	require.NoError(f.test, err)
	ctx, stop := context.WithCancel(f.ctx)
	done := node.Start(ctx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Node, r.stop, r.done = node, stop, done
}

// CrashAgent crashes an agent.
func (f *Fleet) CrashAgent(a *Agent) {
	f.Network.Crash(a.Name)
	a.stop()
	<-a.done
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.Node = nil
}

// EndAgent ends an agent as its command does after a drain: what it has sent still arrives.
func (f *Fleet) EndAgent(a *Agent) {
	a.stop()
	<-a.done
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.Node = nil
}

// running returns the running agent, or nil.
func (a *Agent) running() *agent.Agent {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.Node
}

// CrashRouter crashes a router.
func (f *Fleet) CrashRouter(r *Router) {
	f.Network.Crash(r.Name)
	r.stop()
	<-r.done
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Node = nil
}

// running returns the running router, or nil.
func (r *Router) running() *router.Router {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.Node
}

// readyTimeout is the time within which a fleet must be connected.
const readyTimeout = time.Minute

// WaitReady waits until every running router is connected to its agents.
func (f *Fleet) WaitReady() {
	end := time.Now().Add(readyTimeout)
	for _, r := range f.Routers {
		for r.running() != nil && !f.ready(r.running()) {
			require.True(f.test, time.Now().Before(end), "%s is not ready", r.Name)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (f *Fleet) ready(r *router.Router) bool {
	want := len(f.Agents)
	if f.Options.Degree > 0 {
		want = min(want, f.Options.Degree)
	}
	return r.Revision() > 0 && r.AgentsConnected() >= want
}

// Stop stops all routers and agents.
func (f *Fleet) Stop() {
	f.cancel()
	for _, r := range f.Routers {
		if r.Node != nil {
			<-r.done
			r.Node = nil
		}
	}
	for _, a := range f.Agents {
		if a.Node != nil {
			<-a.done
			a.Node = nil
		}
	}
}

// Call describes one request.
type Call struct {
	Router         int
	Account        string
	Pool           string // ModelPool
	Urgent         bool
	NonRepeatable  bool
	IdempotencyKey string
	PromptBytes    int           // bytes of prompt
	Tokens         int           // actual length of the answer
	MaxTokens      int           // max_tokens of the request; 0: Tokens
	Deadline       time.Duration // 10 minutes
	ID             string
}

// Answer is what the caller of a request observed.
type Answer struct {
	ID           string
	Outcome      attempt.Outcome
	Status       int
	Body         []byte
	RequestBytes int           // size of the request's body
	FirstByte    time.Duration // time to the first byte
	Total        time.Duration
}

var idMutex sync.Mutex
var lastID int

func newID() string {
	idMutex.Lock()
	defer idMutex.Unlock()
	lastID++
	return fmt.Sprintf("req-%d", lastID)
}

// Do sends a request to a router, as its HTTP handler does, and waits for the
// answer.
func (f *Fleet) Do(ctx context.Context, c Call) Answer {
	node := f.Routers[c.Router].running()
	if node == nil {
		return Answer{Outcome: attempt.NotExecuted{Reason: "the router is down"}}
	}
	q := f.request(c)
	s := &sink{startedAt: time.Now()}
	a := Answer{ID: q.ID, RequestBytes: len(q.Content)}
	a.Outcome = node.Serve(ctx, q, s)
	a.Status, a.Body, a.FirstByte, a.Total = s.status, s.body, s.first, time.Since(s.startedAt)
	return a
}

func (f *Fleet) request(c Call) *router.Request {
	if c.Pool == "" {
		c.Pool = ModelPool
	}
	if c.Deadline == 0 {
		c.Deadline = 10 * time.Minute
	}
	if c.ID == "" {
		c.ID = newID()
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = c.Tokens
	}
	id := uint32(0)
	for i, a := range f.Options.Accounts {
		if a.Name == c.Account {
			id = uint32(i + 1)
		}
	}
	q := &router.Request{
		ID: c.ID, Account: c.Account, AccountID: id, Pool: c.Pool, Urgent: c.Urgent, Repeatable: !c.NonRepeatable, IdempotencyKey: c.IdempotencyKey,
		Deadline: time.Now().Add(c.Deadline), Method: http.MethodPost, Path: "/v1/chat/completions",
		Headers: []*wirepb.Header{{Name: AccountHeader, Value: c.Account}}, MaxWaiting: 1 << 20,
	}
	if c.Pool == ServicePool {
		q.Path = "/call"
		q.Estimate = 100
		return q
	}
	q.Content = fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"x_actual_tokens":%d,"stream_options":{"include_usage":true},"prompt":"%s"}`,
		c.Pool, c.MaxTokens, c.Tokens, padding(c.PromptBytes))
	q.Estimate = float64(len(q.Content))/16 + float64(c.MaxTokens)
	return q
}

func padding(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'x'
	}
	return string(b)
}

// sink collects an answer.
type sink struct {
	startedAt time.Time
	first     time.Duration
	status    int
	body      []byte
}

// Head implements router.Sink.
func (s *sink) Head(status int, _ []*wirepb.Header) {
	s.status = status
	s.first = time.Since(s.startedAt)
}

// Write implements router.Sink.
func (s *sink) Write(chunk []byte) error {
	s.body = append(s.body, chunk...)
	return nil
}

// Revisions returns the configuration revision in force at each running node.
func (f *Fleet) Revisions() map[any]uint64 {
	revisions := map[any]uint64{}
	for _, r := range f.Routers {
		if node := r.running(); node != nil {
			revisions[node] = node.Revision()
		}
	}
	for _, a := range f.Agents {
		if node := a.running(); node != nil {
			revisions[node] = node.Revision()
		}
	}
	return revisions
}

// SetHostLeaving marks an agent's host as leaving in the platform's live list.
func (f *Fleet) SetHostLeaving(a *Agent) {
	f.Platform.SetHost(kv.Host{Name: a.Name, Role: kv.Agent, Hall: a.Hall, Address: a.Name, Leaving: true})
}
