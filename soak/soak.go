// Package soak injects random faults into a fleet of real processes and checks, from what
// callers and backend servers observe, that the guarantees hold meanwhile.
//
// # Usage
//
//	r, err := soak.Start(soak.Options{Seed: 7, Binary: "target/opalbridge", Dir: dir})
//	violations := r.Play(10 * time.Second)
//
// The gateways are separate processes that are paused, killed, stopped and restarted by
// signals. The store and the backend servers are fakes in this process; the gateways reach
// them through proxies that delay data, withhold it in one direction and reset connections.
// Faults follow each other and overlap. The datagrams between gateways are not disturbed.
// With Options.Stops, there is planned work instead of faults, and no request that has arrived may be lost.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// Options configure a Run.
type Options struct {
	Seed     uint64
	Binary   string // the opalbridge command
	Dir      string // for settings and logs
	Gateways int    // 0: 3
	Servers  int    // 0: 4
	Callers  int    // 0: 12
	Restarts bool   // also restart servers with the same ID and write entries of other writers
	Fatal    int    // fatal requests, each of which crashes every server that executes it and is sent repeatedly; at most one for each kind of route
	Part     bool   // all requests have prompts, and a part of some crashes every server that executes them
	Early    bool   // fatal requests start with the gateways, not after settleBefore
	Restores bool   // also restore the store from copies
	Signals  bool   // servers also announce in answers that they are leaving, and ask for backoff
	Moves    bool   // streams move off servers that leave, which happens often
	Backups  bool   // streams are backed up, and servers crash often
	Plain    bool   // also send requests to plain servers with few slots, which stall
	Surplus  bool   // three accounts share a token rate, and two of them ask for more than their shares
	Garbles  bool   // servers and other writers also send what is no part of the protocol, and gateways have little memory
	Cuts     bool   // the store also cuts waiting watches, beside servers whose entry goes
	Stops    bool   // planned work only, instead of faults, with callers of its own; it goes with no other option
	Versions bool   // also replace servers by servers of another software version, and have callers take up streams
}

// copiesRuns reports whether servers copy runs to each other.
func (o Options) copiesRuns() bool { return o.Moves || o.Backups }

// Times of a run.
const (
	settleBefore      = 2 * time.Second        // before the first fault
	settleAfter       = 4 * time.Second        // from the last fault to the final checks
	configPropagation = 2 * time.Second        // until a configuration is in force at every gateway
	drainPropagation  = 2 * time.Second        // until a draining server gets no new requests
	inFlightWindow    = 250 * time.Millisecond // for answers in flight when a configuration takes effect
	maxFaultDuration  = 1500 * time.Millisecond
	minFaultDuration  = 100 * time.Millisecond
)

// Run is a soak test run with one seed.
type Run struct {
	options      Options
	random       *rand.Rand // draws the faults; owned by Play
	injected     []string   // names of the faults, in order; owned by Play
	store        *platformtest.Store
	storeAddress string
	writeMutex   sync.Mutex        // guards written, and writes to the store by operators and servers
	written      map[string][]byte // what operators and servers have written, by key
	servers      []*backend
	plain        []*backend // servers of the plain service
	retired      []*backend // servers that were replaced
	gateways     []*process
	recorder     *recorder
	callers      sync.WaitGroup
	stop         context.CancelFunc
	version      int
	closers      []func()
	fatalPaused  atomic.Bool // no fatal requests are sent
	network      platformtest.Network
	healthy      platformtest.Behaviour
	planned      *plannedWork // with Stops
	answers      answers      // of the callers of planned work
	lateness     lateness     // of this process, with Stops
}

// backend is a fake server behind its proxy.
type backend struct {
	*platformtest.Server
	proxy   *Proxy
	healthy platformtest.Behaviour // without faults
	mutex   sync.Mutex
	down    bool // it refuses connections until it restarts
}

// healthy is the behaviour of a server without faults.
var healthy = platformtest.Behaviour{
	ServiceTime: 5 * time.Millisecond, EchoID: true, Events: streamEvents, EventInterval: 10 * time.Millisecond, StreamPaths: []string{"/stream/", "/resume/", versionsPath}, VersionPaths: []string{versionsPath},
	FatalBodies: fatalBodies, FatalParts: []string{fatalPart},
}

// streamEvents is the number of events of a stream.
const streamEvents = 8

// Start starts the fakes, the gateways and the callers.
func Start(o Options) (*Run, error) {
	if o.Surplus || o.Backups {
		o.Callers = orDefault(o.Callers, manyCallers)
	}
	if o.Stops {
		o.Gateways, o.Callers = orDefault(o.Gateways, stopGateways), orDefault(o.Callers, stopCallers*orDefault(o.Gateways, stopGateways))
	}
	o.Gateways, o.Servers, o.Callers = orDefault(o.Gateways, 3), orDefault(o.Servers, 4), orDefault(o.Callers, 12)
	r := &Run{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: &platformtest.Store{}, written: map[string][]byte{}, recorder: newRecorder(), healthy: healthy}
	if o.copiesRuns() {
		r.healthy.EventInterval = 60 * time.Millisecond // so that streams run while servers leave or crash
	}
	if o.Surplus {
		r.healthy.EventInterval = 30 * time.Millisecond // so that most servers have half of their slots taken
	}
	if o.Stops {
		if err := r.startPlannedWork(); err != nil {
			return r, err
		}
	}
	store := httptest.NewServer(r.store)
	r.closers = append(r.closers, store.Close)
	r.storeAddress = strings.TrimPrefix(store.URL, "http://")
	r.configure()
	if err := r.startServers(); err != nil {
		return r, err
	}
	if err := r.startGateways(); err != nil {
		return r, err
	}
	r.startCallers()
	return r, nil
}

// startServers starts the servers of both services.
func (r *Run) startServers() error {
	for i := range r.options.Servers {
		b, err := r.addServer(i, versionOf(i, r.options.Versions))
		if err != nil {
			return err
		}
		r.servers = append(r.servers, b)
	}
	if r.options.Stops {
		return r.addMovedServers()
	}
	if !r.options.Plain {
		return nil
	}
	for i := range plainServers {
		b, err := r.addPlainServer(i)
		if err != nil {
			return err
		}
		r.plain = append(r.plain, b)
	}
	return nil
}

// startGateways starts the gateways.
func (r *Run) startGateways() error {
	port, err := platformtest.FreePort()
	if err != nil {
		return err
	}
	for i := range r.options.Gateways {
		p, err := newProcess(r.options, i, port, r.storeAddress)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// startCallers starts the callers of all kinds that the options ask for.
func (r *Run) startCallers() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	start := func(count int, run func(ctx context.Context, caller int)) {
		for i := range count {
			r.callers.Add(1)
			go run(ctx, i)
		}
	}
	if r.options.Stops {
		go r.lateness.run(ctx)
		start(r.options.Callers, r.runConnections)
		return
	}
	start(r.options.Callers, r.runCaller)
	if r.options.Plain {
		start(plainCallers, r.runPlainCaller)
	}
	if r.options.Versions {
		start(resumingCallers, r.runResumingCaller)
	}
	r.fatalPaused.Store(!r.options.Early)
	start(r.options.Fatal, r.runFatalCaller)
	if r.options.Part {
		r.callers.Add(1)
		go r.runPartCaller(ctx)
	}
}

// manyCallers is the number of callers if servers must be busy: accounts beyond their shares find none
// idle at times, and each crash ends several streams.
const manyCallers = 24

func orDefault(n, value int) int {
	if n == 0 {
		return value
	}
	return n
}

// addServer starts a server of a software version.
func (r *Run) addServer(i int, version string) (*backend, error) {
	s := &platformtest.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", Hall: "hall"}
	if r.options.Surplus {
		s.Slots = surplusSlots
	}
	s.SetVersion(version)
	if r.options.Versions {
		s.Restart(time.Now().UnixMilli()) // servers that start again under their ID tell when
	}
	return r.listen(s, r.healthyServer(i))
}

// healthyServer returns the behaviour of a server without faults.
func (r *Run) healthyServer(i int) platformtest.Behaviour {
	b := r.healthy
	if r.options.Stops {
		b.EventInterval = stopIntervals[i%len(stopIntervals)]
	}
	return b
}

// listen has a server listen behind a proxy, and announces it.
func (r *Run) listen(s *platformtest.Server, healthy platformtest.Behaviour) (*backend, error) {
	s.Set(healthy)
	h := httptest.NewServer(r.recorder.recordRequests(s))
	r.closers = append(r.closers, h.Close)
	p, err := NewProxy(strings.TrimPrefix(h.URL, "http://"))
	if err != nil {
		return nil, err
	}
	r.closers = append(r.closers, p.Close)
	if r.options.copiesRuns() {
		r.network.Add(p.Address(), s)
	}
	b := &backend{Server: s, proxy: p, healthy: healthy}
	s.OnCrash = func(body string) { r.crashServer(b, body) }
	r.announce(b, "ready")
	return b, nil
}

func (r *Run) announce(b *backend, state string) {
	r.put(platform.ServersPrefix+b.ID, b.Entry(b.proxy.Address(), state))
}

// configure writes the next version of the configuration. The key "steady" is in every
// version, and one other key is in this version only.
func (r *Run) configure() {
	r.version++
	slots, copiedBytes, rate := 64, 163840, 0
	if r.options.Backups {
		copiedBytes = 1000 // so that the links' time bounds no backups
	}
	if r.options.Surplus {
		slots, rate = surplusSlots, surplusRate
	}
	idle, routes, keys := 15*time.Second, "", ""
	if r.options.Stops {
		c := r.planned.current()
		idle = c.idle
		routes, keys = c.document()
	}
	r.put(platform.ConfigurationKey, fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"stream","host":"h","prefix":"/stream/","kind":"streaming","timeout_ms":4000,"goal_ms":800,"service":"s","max_attempts":1},
 {"name":"resume","host":"h","prefix":"/resume/","kind":"streaming","timeout_ms":4000,"goal_ms":800,"service":"s","max_attempts":2,"resumable":true},
 {"name":"versions","host":"h","prefix":"/versions/","kind":"streaming","timeout_ms":4000,"goal_ms":800,"service":"s","max_attempts":2,"resumable":true},
 {"name":"once","host":"h","prefix":"/once/","kind":"non_idempotent","timeout_ms":1500,"goal_ms":300,"service":"s","max_attempts":1},
 {"name":"many","host":"h","prefix":"/many/","kind":"idempotent","timeout_ms":1500,"goal_ms":300,"service":"s","max_attempts":2},
 {"name":"plain-once","host":"h","prefix":"/plain-once/","kind":"non_idempotent","timeout_ms":1500,"goal_ms":300,"service":"p","max_attempts":1},
 {"name":"plain-many","host":"h","prefix":"/plain-many/","kind":"idempotent","timeout_ms":1500,"goal_ms":300,"service":"p","max_attempts":2}%s],
 "services":[{"name":"s","max_conns":500,"runtime":{"capacity":%d,"kv_tokens":500000,"token_kv_bytes":%d,"link_mbps":550000,"stride":1,"moves":%t,"backups":%t}},
 {"name":"p","max_conns":500}],"limits":{"idle_timeout_ms":%d,"tokens_per_s":%d},
 "tenants":[{"name":"t1","api_keys":["steady","key-%d"%s]},{"name":"t2","api_keys":["steady-t2"]},{"name":"t3","api_keys":["steady-t3"]}]}`,
		r.version, routes, slots, copiedBytes, r.options.Moves, r.options.Backups, idle.Milliseconds(), rate, r.version, keys))
}

// Play injects faults for the duration d, lets the fleet settle, and returns the violations.
func (r *Run) Play(d time.Duration) []string {
	defer r.close()
	r.settle(r.settleBefore())
	r.fatalPaused.Store(false)
	if r.options.Stops {
		r.doPlannedWork(d)
	} else {
		r.injectFaults(d)
		r.stallPlainServers()
	}
	r.settle(settleAfter)
	r.checkRecovery()
	r.stop()
	r.callers.Wait()
	r.recorder.checkRuns(r.allServers())
	r.checkPlanned()
	r.checkFatal()
	r.checkMemory()
	r.checkPart()
	return r.recorder.report()
}

// injectFaults injects random faults, which overlap, and planned stops for the duration d, and returns once
// all of them have ended.
func (r *Run) injectFaults(d time.Duration) {
	faults := r.options.faults()
	var active sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		if r.random.IntN(8) == 0 {
			active.Wait() // a planned stop is checked only without other faults
			r.injected = append(r.injected, "planned stop of a gateway")
			r.plannedStop()
			continue
		}
		f := faults[r.random.IntN(len(faults))]
		r.injected = append(r.injected, f.name)
		length := minFaultDuration + time.Duration(r.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		undo := f.inject(r, r.random)
		active.Go(func() {
			time.Sleep(length)
			undo()
		})
		time.Sleep(time.Duration(r.random.Int64N(int64(maxFaultDuration / 3))))
	}
	active.Wait()
}

// faults returns the faults that are drawn from. Those that an option asks for are repeated, so that they
// are drawn more often.
func (o Options) faults() []fault {
	faults := baseFaults
	if o.Restarts {
		faults = slices.Concat(baseFaults, restartFaults)
	}
	if o.Garbles {
		faults = slices.Concat(faults, slices.Repeat(garbleFaults, 6))
	}
	if o.Cuts {
		faults = slices.Concat(faults, slices.Repeat(cutFaults, 4))
	}
	if o.Restores {
		faults = slices.Concat(faults, slices.Repeat(restoreFaults, 3))
	}
	if o.Signals {
		faults = slices.Concat(faults, slices.Repeat(signalFaults, 4))
	}
	if o.Versions {
		faults = slices.Concat(faults, slices.Repeat(versionFaults, 4))
	}
	if o.Moves {
		faults = slices.Concat(faults, slices.Repeat([]fault{leavingFault}, len(faults)))
	}
	if o.Backups {
		faults = slices.Concat(faults, slices.Repeat(backupFaults, len(faults)/len(backupFaults)))
	}
	if o.Plain {
		faults = slices.Concat(faults, slices.Repeat(plainFaults, len(faults)/len(plainFaults)))
	}
	return faults
}

// Injected returns the names of the faults that Play has injected, in order.
func (r *Run) Injected() []string { return r.injected }

// settle waits for d while no fault is active, and checks that callers are served in the second half.
func (r *Run) settle(d time.Duration) {
	time.Sleep(d / 2)
	started := !slices.ContainsFunc(r.gateways, func(p *process) bool { return !p.ready() })
	from := time.Now()
	time.Sleep(d / 2)
	if started {
		r.checkSurplus(from)
		r.checkPlain(from)
	}
}

// settleBefore returns how long the fleet settles before the first fault. What accounts have got is known
// only after some seconds: in the first two, the gateways have not learned how many requests servers
// take, have no retries left, and serve whoever comes when a slot becomes free.
func (r *Run) settleBefore() time.Duration {
	if r.options.Surplus {
		return settleAfter
	}
	return settleBefore
}

// allServers returns the servers of both services, with those that were replaced.
func (r *Run) allServers() []*backend { return slices.Concat(r.servers, r.plain, r.retired) }

// plannedStop stops and restarts a gateway with no other fault active: no request may be cut.
func (r *Run) plannedStop() {
	r.fatalPaused.Store(true)
	defer r.fatalPaused.Store(false)
	r.settle(settleAfter) // until requests that earlier faults broke have ended
	p := r.gateways[r.random.IntN(len(r.gateways))]
	r.recorder.setStopping(p.front, true)
	p.terminate()
	time.Sleep(time.Second)
	r.recorder.setStopping(p.front, false)
	if err := p.start(); err != nil {
		r.recorder.violationf("gateway %s failed to restart: %v", p.name, err)
	}
}

// checkRecovery checks, after the faults, that the fleet is ready, applies a new
// configuration and drains a server.
func (r *Run) checkRecovery() {
	// A server that crashes restarts with a new lifetime, which is not draining.
	r.fatalPaused.Store(true)
	for _, p := range r.gateways {
		if reason := p.notReady(); reason != "" {
			r.recorder.violationf("gateway %s is not ready after the faults: %s", p.name, reason)
		}
	}
	if r.options.Versions {
		r.checkResumption()
	}
	r.configure()
	key := fmt.Sprintf("key-%d", r.version)
	time.Sleep(configPropagation)
	for _, p := range r.gateways {
		if status := r.probe(p, key); status != http.StatusOK {
			r.recorder.violationf("gateway %s answers %d to a key %s after it was written", p.name, status, configPropagation)
		}
	}
	draining := r.servers[0]
	r.announce(draining, "draining")
	time.Sleep(drainPropagation)
	before := len(draining.Runs())
	for range 5 {
		for _, p := range r.gateways {
			r.probe(p, "steady")
		}
	}
	if after := len(draining.Runs()); after != before {
		r.recorder.violationf("a draining server got %d requests", after-before)
	}
}

// Refused returns the number of requests of regular callers that were refused.
func (r *Run) Refused() int {
	r.recorder.mutex.Lock()
	defer r.recorder.mutex.Unlock()
	return len(r.recorder.refused)
}

// Continued returns the number of runs that went on from copies.
func (r *Run) Continued() int {
	n := 0
	for _, s := range r.allServers() {
		for _, run := range s.Runs() {
			if run.From != "" {
				n++
			}
		}
	}
	return n
}

func (r *Run) close() {
	if r.stop != nil {
		r.stop()
	}
	r.callers.Wait()
	for _, p := range r.gateways {
		p.kill()
		p.proxy.Close()
	}
	for _, c := range r.closers {
		c()
	}
}
