package fleettest

import (
	"context"
	"time"

	"opalbridge.dev/config"
	"opalbridge.dev/engine/enginetest"
	"opalbridge.dev/kv"
	"opalbridge.dev/kv/kvtest"
)

// Fault is a fault of a fleet of at least two routers and two models, and its
// recovery. It affects the first router, the first agent or the network between them.
type Fault struct {
	Name    string
	Inject  func(*Fleet)
	Recover func(*Fleet) // nil: the fault ends by itself
	// Duration is the time from Inject to Recover.
	Duration time.Duration
	// HitsCallerRouter reports whether the fault hits the caller's own router, so
	// that the caller may get no answer at all.
	HitsCallerRouter bool
}

const (
	shortFault = 3 * time.Second
	longFault  = time.Minute
)

// Faults are the faults of the fault matrix, in the order of docs/FAULTS.md.
var Faults = []Fault{
	{Name: "agent crashes and restarts with no state", Inject: restartFirstAgent},
	{Name: "agent crashes and stays down", Inject: crashFirstAgent, Recover: startFirstAgent, Duration: longFault},
	{Name: "agent paused shortly", Inject: freeze("model-000"), Recover: thaw("model-000"), Duration: shortFault},
	{Name: "agent paused long", Inject: freeze("model-000"), Recover: thaw("model-000"), Duration: longFault},
	{Name: "router paused shortly", Inject: freeze("router-00"), Recover: thaw("router-00"), Duration: shortFault},
	{Name: "router paused long", Inject: freeze("router-00"), Recover: thaw("router-00"), Duration: longFault},
	{Name: "router crashes and restarts with no state", Inject: restartFirstRouter, HitsCallerRouter: true},
	{Name: "connection between router and agent broken", Inject: func(f *Fleet) { f.Network.CloseConns("router-00", "model-000") }},
	{Name: "router and agent cut off both ways, shortly", Inject: cut("router-00", "model-000"), Recover: heal, Duration: shortFault},
	{Name: "router and agent cut off both ways, long", Inject: cut("router-00", "model-000"), Recover: heal, Duration: longFault},
	{Name: "router cut off towards the agent", Inject: cutOneWay("router-00", "model-000"), Recover: heal, Duration: longFault},
	{Name: "agent cut off towards the router", Inject: cutOneWay("model-000", "router-00"), Recover: heal, Duration: longFault},
	{Name: "halls cut off from each other", Inject: cut("hall-1", "hall-2"), Recover: heal, Duration: longFault},
	{Name: "server refuses connections", Inject: serverDown(true), Recover: serverDown(false), Duration: shortFault},
	{Name: "server answers with errors", Inject: modelFaults(enginetest.ModelFaults{ReturnErrors: true}), Recover: modelFaults(enginetest.ModelFaults{}), Duration: shortFault},
	{Name: "server breaks off its answers", Inject: modelFaults(enginetest.ModelFaults{AbortAfter: 1}), Recover: modelFaults(enginetest.ModelFaults{}), Duration: shortFault},
	{Name: "server takes calls and never answers", Inject: modelFaults(enginetest.ModelFaults{Hang: true}), Recover: modelFaults(enginetest.ModelFaults{}), Duration: shortFault},
	{Name: "server is ten times slower", Inject: modelFaults(enginetest.ModelFaults{Slowdown: 10}), Recover: modelFaults(enginetest.ModelFaults{}), Duration: shortFault},
	{Name: "platform's service is down long", Inject: platformFaults(kvtest.Faults{Down: true}), Recover: platformFaults(kvtest.Faults{}), Duration: longFault},
	{Name: "platform's service is slow", Inject: platformFaults(kvtest.Faults{Delay: time.Second}), Recover: platformFaults(kvtest.Faults{}), Duration: longFault},
	{Name: "live list drops the agent", Inject: func(f *Fleet) { f.Platform.RemoveHost("model-000") }, Recover: listFirstAgent, Duration: longFault},
	{Name: "live list drops the other routers", Inject: func(f *Fleet) { f.Platform.RemoveHost("router-01") }, Recover: listSecondRouter, Duration: longFault},
	{Name: "operator marks the server leaving", Inject: markLeaving(true), Recover: markLeaving(false), Duration: shortFault},
	{Name: "operators race each other", Inject: raceOperators},
}

func restartFirstAgent(f *Fleet) {
	crashFirstAgent(f)
	startFirstAgent(f)
}

func crashFirstAgent(f *Fleet) {
	if f.Agents[0].running() != nil {
		f.CrashAgent(f.Agents[0])
	}
}

func startFirstAgent(f *Fleet) {
	if f.Agents[0].running() == nil {
		f.StartAgent(f.Agents[0])
	}
}

func restartFirstRouter(f *Fleet) {
	f.CrashRouter(f.Routers[0])
	f.StartRouter(f.Routers[0])
}

func freeze(node string) func(*Fleet) { return func(f *Fleet) { f.Network.Freeze(node) } }

func thaw(node string) func(*Fleet) { return func(f *Fleet) { f.Network.Thaw(node) } }

func cut(a, b string) func(*Fleet) { return func(f *Fleet) { f.Network.Cut(a, b) } }

func cutOneWay(a, b string) func(*Fleet) { return func(f *Fleet) { f.Network.CutOneWay(a, b) } }

func heal(f *Fleet) { f.Network.Heal() }

func serverDown(down bool) func(*Fleet) {
	return func(f *Fleet) { f.Agents[0].Server.(*enginetest.Direct).SetDown(down) }
}

func modelFaults(m enginetest.ModelFaults) func(*Fleet) {
	return func(f *Fleet) { f.Agents[0].Model.SetFaults(m) }
}

func platformFaults(s kvtest.Faults) func(*Fleet) {
	return func(f *Fleet) { f.Platform.SetFaults(s) }
}

func listFirstAgent(f *Fleet) {
	a := f.Agents[0]
	f.Platform.SetHost(kv.Host{Name: a.Name, Role: kv.Agent, Hall: a.Hall, Address: a.Name})
}

func listSecondRouter(f *Fleet) {
	r := f.Routers[1]
	f.Platform.SetHost(kv.Host{Name: r.Name, Role: kv.Router, Hall: r.Hall, Address: r.Name})
}

func markLeaving(on bool) func(*Fleet) {
	return func(f *Fleet) {
		f.Propose(func(d *config.Document) error {
			d.Servers[0].Leaving = on
			return nil
		})
	}
}

// raceOperators has four operators change the same account at once.
func raceOperators(f *Fleet) {
	for i := range 4 {
		go f.Propose(func(d *config.Document) error {
			d.Accounts[0].Share = uint32(i + 1)
			return nil
		})
	}
}

// Propose proposes a change of the configuration, as an operator does.
func (f *Fleet) Propose(change func(*config.Document) error) config.Outcome {
	store := config.Store{KV: f.Platform}
	ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	return store.Propose(ctx, 0, change)
}

// Run injects the fault and returns after its recovery. It recovers early when ctx ends.
func (x Fault) Run(ctx context.Context, f *Fleet) {
	x.Inject(f)
	if x.Recover == nil {
		return
	}
	select {
	case <-time.After(x.Duration):
	case <-ctx.Done():
	}
	x.Recover(f)
}
