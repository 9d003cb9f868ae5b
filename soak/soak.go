// Package soak plays random trouble on a fleet of real processes and checks, from what
// callers and backend servers see, that the promises hold meanwhile.
//
// # Usage
//
//	r, err := soak.Start(soak.Options{Seed: 7, Binary: "target/opalbridge", Dir: dir})
//	faults := r.Play(10 * time.Second)
//
// The gateways are separate processes that are paused, killed, stopped and restarted by
// signals. The store and the backend servers are stand-ins in this process; what the
// gateways say to them passes proxies that delay, hold back one way and reset. Troubles
// come in series and overlap. The gateways' datagrams among themselves are not touched.
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

// Options set up a Run.
type Options struct {
	Seed     uint64
	Binary   string // the opalbridge command
	Dir      string // for settings and logs
	Gateways int    // 0: 3
	Servers  int    // 0: 4
	Callers  int    // 0: 12
	Restarts bool   // servers start again under their ID as well, and others write entries
	Fatal    int    // requests that end each server which runs them and come again and again; at most as many as there are kinds of routes
	Early    bool   // these begin with the gateways, not after the calm
	Copies   bool   // the store comes back from copies as well
	Words    bool   // servers say in answers that they leave, and ask for rest, as well
}

// Times of a run.
const (
	settleBefore      = 2 * time.Second        // before the first trouble
	settleAfter       = 4 * time.Second        // from the last trouble to the last checks
	configPropagation = 2 * time.Second        // a configuration is in force everywhere
	drainPropagation  = 2 * time.Second        // a leaving server gets no new work
	inFlightWindow    = 250 * time.Millisecond // answers under way when a configuration takes effect
	maxFaultDuration  = 1500 * time.Millisecond
	minFaultDuration  = 100 * time.Millisecond
)

// Run is one soak of one seed.
type Run struct {
	options      Options
	random       *rand.Rand // of the troubles; owned by Play
	store        *platformtest.Store
	storeAddress string
	writeMutex   sync.Mutex        // of truth, and of writes to the store by operators and servers
	written      map[string][]byte // what they have written, by key
	servers      []*backend
	gateways     []*process
	recorder     *recorder
	callers      sync.WaitGroup
	stop         context.CancelFunc
	version      int
	closers      []func()
	fatalPaused  atomic.Bool // fatal requests wait
}

// backend is a stand-in server behind its proxy.
type backend struct {
	*platformtest.Server
	proxy *Proxy
	mutex sync.Mutex
	down  bool // it takes no connections until it starts again
}

// calm is how a sound server behaves.
var healthy = platformtest.Behaviour{
	Work: 5 * time.Millisecond, Echo: true, Events: streamEvents, Pause: 10 * time.Millisecond, Streams: []string{"/stream/", "/resume/"},
	Fatal: fatalBodies,
}

// streamEvents is how many events a stream has.
const streamEvents = 8

// Start starts the stand-ins, the gateways and the callers.
func Start(o Options) (*Run, error) {
	o.Gateways, o.Servers, o.Callers = orDefault(o.Gateways, 3), orDefault(o.Servers, 4), orDefault(o.Callers, 12)
	r := &Run{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: &platformtest.Store{}, written: map[string][]byte{}, recorder: newRecorder()}
	store := httptest.NewServer(r.store)
	r.closers = append(r.closers, store.Close)
	r.storeAddress = strings.TrimPrefix(store.URL, "http://")
	r.configure()
	for i := range o.Servers {
		if err := r.addServer(i); err != nil {
			return r, err
		}
	}
	port, err := platformtest.FreePort()
	if err != nil {
		return r, err
	}
	for i := range o.Gateways {
		p, err := newProcess(o, i, port, r.storeAddress)
		if err != nil {
			return r, err
		}
		r.gateways = append(r.gateways, p)
		if err := p.start(); err != nil {
			return r, err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	for i := range o.Callers {
		r.callers.Add(1)
		go r.runCaller(ctx, i)
	}
	r.fatalPaused.Store(!o.Early)
	for i := range o.Fatal {
		r.callers.Add(1)
		go r.runFatalCaller(ctx, i)
	}
	return r, nil
}

func orDefault(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

func (r *Run) addServer(i int) error {
	s := &platformtest.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", Hall: "hall"}
	s.Set(healthy)
	h := httptest.NewServer(r.recorder.recordRequests(s))
	r.closers = append(r.closers, h.Close)
	p, err := NewProxy(strings.TrimPrefix(h.URL, "http://"))
	if err != nil {
		return err
	}
	r.closers = append(r.closers, p.Close)
	b := &backend{Server: s, proxy: p}
	s.End = func(body string) { r.crashServer(b, body) }
	r.servers = append(r.servers, b)
	r.announce(b, "ready")
	return nil
}

func (r *Run) announce(b *backend, state string) {
	r.put(platform.ServersPrefix+b.ID, b.Entry(b.proxy.Address(), state))
}

// configure puts the next configuration: the key "steady" is in all of them, another
// one only in this version.
func (r *Run) configure() {
	r.version++
	r.put(platform.ConfigurationKey, fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"stream","host":"h","prefix":"/stream/","kind":"streaming","timeout_ms":4000,"goal_ms":800,"service":"s","max_attempts":1},
 {"name":"resume","host":"h","prefix":"/resume/","kind":"streaming","timeout_ms":4000,"goal_ms":800,"service":"s","max_attempts":2,"resumable":true},
 {"name":"once","host":"h","prefix":"/once/","kind":"non_idempotent","timeout_ms":1500,"goal_ms":300,"service":"s","max_attempts":1},
 {"name":"many","host":"h","prefix":"/many/","kind":"idempotent","timeout_ms":1500,"goal_ms":300,"service":"s","max_attempts":2}],
 "services":[{"name":"s","max_conns":500,"runtime":{"capacity":64,"kv_tokens":500000,"token_kv_bytes":163840,"link_mbps":550000}}],"limits":{"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["steady","key-%d"]}]}`, r.version, r.version))
}

// Play troubles the fleet for so long, then lets it rest and returns what was broken.
func (r *Run) Play(d time.Duration) []string {
	kinds := baseFaults
	if r.options.Restarts {
		kinds = slices.Concat(baseFaults, restartFaults)
	}
	if r.options.Copies {
		kinds = slices.Concat(kinds, restoreFaults, restoreFaults, restoreFaults)
	}
	if r.options.Words {
		kinds = slices.Concat(kinds, signalFaults, signalFaults, signalFaults, signalFaults)
	}
	defer r.close()
	time.Sleep(settleBefore)
	r.fatalPaused.Store(false)
	var under sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		if r.random.IntN(8) == 0 {
			under.Wait() // a planned stop is judged only without other trouble
			r.plannedStop()
			continue
		}
		t := kinds[r.random.IntN(len(kinds))]
		lasts := minFaultDuration + time.Duration(r.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		undo := t.inject(r, r.random)
		under.Add(1)
		go func() {
			defer under.Done()
			time.Sleep(lasts)
			undo()
		}()
		time.Sleep(time.Duration(r.random.Int64N(int64(maxFaultDuration / 3))))
	}
	under.Wait()
	time.Sleep(settleAfter)
	r.checkRecovery()
	r.stop()
	r.callers.Wait()
	r.recorder.checkRuns(r.servers)
	r.checkFatal()
	return r.recorder.report()
}

// plannedStop stops a gateway with nothing else going on: no request may be cut.
func (r *Run) plannedStop() {
	r.fatalPaused.Store(true)
	defer r.fatalPaused.Store(false)
	time.Sleep(settleAfter) // what earlier troubles broke has ended
	p := r.gateways[r.random.IntN(len(r.gateways))]
	r.recorder.setStopping(p.front, true)
	p.terminate()
	time.Sleep(time.Second)
	r.recorder.setStopping(p.front, false)
	if err := p.start(); err != nil {
		r.recorder.violationf("gateway %s does not start again: %v", p.name, err)
	}
}

// checkRecovery checks, after the trouble, that the fleet serves, takes a new
// configuration and lets a server leave.
func (r *Run) checkRecovery() {
	// A server that ends under a request starts again as another lifetime, which does not leave.
	r.fatalPaused.Store(true)
	for _, p := range r.gateways {
		if !p.ready() {
			r.recorder.violationf("gateway %s is not ready after the trouble", p.name)
		}
	}
	r.configure()
	key := fmt.Sprintf("key-%d", r.version)
	time.Sleep(configPropagation)
	for _, p := range r.gateways {
		if status := r.probe(p, key); status != http.StatusOK {
			r.recorder.violationf("gateway %s answers %d to a key %s after it was put", p.name, status, configPropagation)
		}
	}
	leaving := r.servers[0]
	r.announce(leaving, "draining")
	time.Sleep(drainPropagation)
	before := len(leaving.Runs())
	for range 5 {
		for _, p := range r.gateways {
			r.probe(p, "steady")
		}
	}
	if after := len(leaving.Runs()); after != before {
		r.recorder.violationf("a leaving server got %d requests", after-before)
	}
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
