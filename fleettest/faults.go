package fleettest

import (
	"context"
	"time"

	"opalbridge.dev/config"
	"opalbridge.dev/engine/enginetest"
	"opalbridge.dev/kv"
	"opalbridge.dev/kv/kvtest"
)

// Fault is something that goes wrong with a fleet of at least two routers and two
// models, and how it ends. It strikes the first router, the first agent and what
// is between them.
type Fault struct {
	Name    string
	Strike  func(*Fleet)
	Recover func(*Fleet) // nil: it ends by itself
	// Lasts is how long it lasts before Recover.
	Lasts time.Duration
	// Router says that the caller's own router is struck: the caller may see
	// nothing at all.
	Router bool
}

const (
	short = 3 * time.Second
	long  = time.Minute
)

// Faults are the faults of the matrix, in the order of its page.
var Faults = []Fault{
	{Name: "agent crashes and restarts with no state", Strike: restartFirstAgent},
	{Name: "agent crashes and stays down", Strike: crashFirstAgent, Recover: startFirstAgent, Lasts: long},
	{Name: "agent paused shortly", Strike: freeze("model-000"), Recover: thaw("model-000"), Lasts: short},
	{Name: "agent paused long", Strike: freeze("model-000"), Recover: thaw("model-000"), Lasts: long},
	{Name: "router paused shortly", Strike: freeze("router-00"), Recover: thaw("router-00"), Lasts: short},
	{Name: "router paused long", Strike: freeze("router-00"), Recover: thaw("router-00"), Lasts: long},
	{Name: "router crashes and restarts with no state", Strike: restartFirstRouter, Router: true},
	{Name: "connection between router and agent broken", Strike: func(f *Fleet) { f.Network.Break("router-00", "model-000") }},
	{Name: "router and agent cut off both ways, shortly", Strike: cut("router-00", "model-000"), Recover: heal, Lasts: short},
	{Name: "router and agent cut off both ways, long", Strike: cut("router-00", "model-000"), Recover: heal, Lasts: long},
	{Name: "router cut off towards the agent", Strike: cutOneWay("router-00", "model-000"), Recover: heal, Lasts: long},
	{Name: "agent cut off towards the router", Strike: cutOneWay("model-000", "router-00"), Recover: heal, Lasts: long},
	{Name: "halls cut off from each other", Strike: cut("hall-1", "hall-2"), Recover: heal, Lasts: long},
	{Name: "server refuses connections", Strike: serverDown(true), Recover: serverDown(false), Lasts: short},
	{Name: "server answers with errors", Strike: model(enginetest.ModelFaults{ReturnErrors: true}), Recover: model(enginetest.ModelFaults{}), Lasts: short},
	{Name: "server breaks off its answers", Strike: model(enginetest.ModelFaults{AbortAfter: 1}), Recover: model(enginetest.ModelFaults{}), Lasts: short},
	{Name: "server takes calls and never answers", Strike: model(enginetest.ModelFaults{Hang: true}), Recover: model(enginetest.ModelFaults{}), Lasts: short},
	{Name: "server is ten times slower", Strike: model(enginetest.ModelFaults{Slowdown: 10}), Recover: model(enginetest.ModelFaults{}), Lasts: short},
	{Name: "platform's service is down long", Strike: service(kvtest.Faults{Down: true}), Recover: service(kvtest.Faults{}), Lasts: long},
	{Name: "platform's service is slow", Strike: service(kvtest.Faults{Delay: time.Second}), Recover: service(kvtest.Faults{}), Lasts: long},
	{Name: "live list drops the agent", Strike: func(f *Fleet) { f.Platform.RemoveHost("model-000") }, Recover: listFirstAgent, Lasts: long},
	{Name: "live list drops the other routers", Strike: func(f *Fleet) { f.Platform.RemoveHost("router-01") }, Recover: listSecondRouter, Lasts: long},
	{Name: "operator marks the server leaving", Strike: leaving(true), Recover: leaving(false), Lasts: short},
	{Name: "operators race each other", Strike: race},
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

func model(m enginetest.ModelFaults) func(*Fleet) {
	return func(f *Fleet) { f.Agents[0].Model.SetFaults(m) }
}

func service(s kvtest.Faults) func(*Fleet) {
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

func leaving(on bool) func(*Fleet) {
	return func(f *Fleet) {
		f.Propose(func(d *config.Document) error {
			d.Servers[0].Leaving = on
			return nil
		})
	}
}

// race has four operators change the same account at once.
func race(f *Fleet) {
	for i := range 4 {
		go f.Propose(func(d *config.Document) error {
			d.Accounts[0].Share = uint32(i + 1)
			return nil
		})
	}
}

// Propose makes a change of configuration as an operator would.
func (f *Fleet) Propose(change func(*config.Document) error) config.Outcome {
	store := config.Store{KV: f.Platform}
	ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	return store.Propose(ctx, 0, change)
}

// Run strikes with a fault and recovers from it; it returns when it is over.
func (x Fault) Run(ctx context.Context, f *Fleet) {
	x.Strike(f)
	if x.Recover == nil {
		return
	}
	select {
	case <-time.After(x.Lasts):
	case <-ctx.Done():
	}
	x.Recover(f)
}
