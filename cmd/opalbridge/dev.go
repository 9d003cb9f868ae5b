package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"opalbridge.dev/agent"
	"opalbridge.dev/config"
	"opalbridge.dev/engine/enginetest"
	"opalbridge.dev/kv"
	"opalbridge.dev/operator"
	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
	"opalbridge.dev/settings"
	"opalbridge.dev/telemetry"
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:        "dev",
		Usage:       "run a whole fleet of stand-ins in this process, to try it",
		Description: "Example:\n  opalbridge dev --listen 127.0.0.1:8080\n\nTwo routers, three model servers and a booking service, each behind its agent, over loopback connections.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "IP and port for callers of the first router", Value: "127.0.0.1:8080"},
			&cli.StringFlag{Name: "log-level", Usage: "least level that is logged", Value: "warn"},
		},
		Action: dev,
	}
}

// Halls and accounts of the dev fleet.
var (
	devHalls    = []string{"hall-1", "hall-2"}
	devAccounts = []config.Account{{Name: "quito", Share: 2}, {Name: "cuenca", Share: 1}}
)

const (
	devModel       = "small"
	devService     = "booking"
	devSlots       = 8
	devRouters     = 2
	devModels      = 3
	devStopTimeout = 10 * time.Second
	// devReadyTimeout limits the time until all routers are connected to all agents.
	devReadyTimeout = 20 * time.Second
)

// devFleet is a fleet in one process, with simulated model servers and platform.
type devFleet struct {
	ctx       context.Context
	log       zerolog.Logger
	telemetry *telemetry.Telemetry
	store     platform.KV
	url       string // of the platform's store
	token     string
	keys      []string
	routers   []*runningRouter
	agents    []*agent.Agent
	done      []<-chan error
	callers   []string
	admin     string
	slots     int                 // of each server; 0 means devSlots
	model     func() http.Handler // makes a model server; nil means enginetest.Model
}

func dev(ctx context.Context, c *cli.Command) error {
	level, err := zerolog.ParseLevel(c.String("log-level"))
	if err != nil {
		return usageError(errors.Wrap(err, "dev: --log-level"))
	}
	fleetCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	f := &devFleet{ctx: fleetCtx, log: zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()}
	if err := f.start(c.String("listen")); err != nil {
		return err
	}
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	f.print(c)
	<-ctx.Done()
	f.stop(cancel)
	fmt.Fprintln(c.Root().Writer, "stopped")
	return nil
}

func (f *devFleet) start(listen string) error {
	var err error
	f.telemetry, err = telemetry.New(f.ctx, telemetry.Options{Service: "opalbridge-dev", Node: "dev", MaxSpans: maxSpans})
	if err != nil {
		return err
	}
	if f.url, err = f.serve("127.0.0.1:0", &platformtest.Store{}); err != nil {
		return err
	}
	if f.store, err = openKV(f.url, f.log); err != nil {
		return err
	}
	if f.admin, err = f.serve("127.0.0.1:0", adminHandler(f.telemetry)); err != nil {
		return err
	}
	if err := f.configure(); err != nil {
		return err
	}
	if err := f.startAgents(); err != nil {
		return err
	}
	return f.startRouters(listen)
}

// serve serves a handler on an address and returns its URL.
func (f *devFleet) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "dev: listen")
	}
	go func() { _ = newServer(h).Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// configure stores the initial configuration in the platform's store.
func (f *devFleet) configure() error {
	f.token = operator.NewKey()
	store := config.Store{KV: f.store}
	o := store.Propose(f.ctx, 0, func(d *config.Document) error {
		for _, a := range devAccounts {
			key := operator.NewKey()
			f.keys = append(f.keys, key)
			operator.AddAccount(d, a, key)
		}
		d.Pools = []config.Pool{{Name: devModel, Kind: config.Model}, {Name: devService, Kind: config.Service}}
		for i := range devModels {
			d.Servers = append(d.Servers, config.Server{Name: fmt.Sprintf("model-%d", i+1), Hall: devHall(i), Pools: []string{devModel}})
		}
		d.Servers = append(d.Servers, config.Server{Name: "booking-1", Hall: devHall(0), Pools: []string{devService}})
		return nil
	})
	if _, ok := o.(config.Accepted); !ok {
		return errors.Newf("dev: first configuration: %+v", o)
	}
	return nil
}

func devHall(i int) string { return devHalls[i%len(devHalls)] }

func (f *devFleet) startAgents() error {
	if f.slots == 0 {
		f.slots = devSlots
	}
	if f.model == nil {
		f.model = func() http.Handler {
			return enginetest.NewModel(enginetest.ModelOptions{Models: []string{devModel}, Slots: f.slots})
		}
	}
	for i := range devModels {
		if err := f.startAgent(fmt.Sprintf("model-%d", i+1), devHall(i), f.slots, f.model()); err != nil {
			return err
		}
	}
	return f.startAgent("booking-1", devHall(0), f.slots, &enginetest.Service{})
}

func (f *devFleet) startAgent(name, hall string, slots int, server http.Handler) error {
	url, err := f.serve("127.0.0.1:0", server)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "dev: listen")
	}
	s := &settings.Settings{Name: name, Hall: hall, ServerURL: url, Slots: slots, ReportInterval: reportInterval, Records: maxRecords}
	a, done, err := startAgent(f.ctx, s, f.telemetry, f.log.With().Str("node", name).Logger(), l)
	if err != nil {
		return err
	}
	f.agents = append(f.agents, a)
	f.done = append(f.done, done)
	if err := f.store.SetHost(f.ctx, kv.Host{Name: name, Role: kv.Agent, Hall: hall, Address: l.Addr().String()}); err != nil {
		return err
	}
	return nil
}

// Settings of the dev fleet's nodes. Defaults of settings files do not apply to them.
const (
	maxRecords     = 4096
	reportInterval = 2 * time.Second
)

func (f *devFleet) startRouters(listen string) error {
	for i := range devRouters {
		name := fmt.Sprintf("router-%d", i+1)
		front, err := listenForCallers(listen)
		if err != nil {
			return usageError(errors.Wrap(err, "dev: --listen"))
		}
		listen = "127.0.0.1:0"
		peers, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "dev: listen")
		}
		s := &settings.Settings{
			Name: name, Hall: devHall(i), PeerAddress: peers.Addr().String(), PlatformURL: f.url,
			OperatorTokenHash: config.HashKey(f.token), ReportInterval: reportInterval, Records: maxRecords,
		}
		if err := f.store.SetHost(f.ctx, kv.Host{Name: name, Role: kv.Router, Hall: devHall(i), Address: s.PeerAddress}); err != nil {
			return err
		}
		parts, err := startRouter(f.ctx, s, f.telemetry, f.log.With().Str("node", name).Logger(), front, peers)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, parts)
		f.done = append(f.done, parts.done)
		f.callers = append(f.callers, "http://"+front.Addr().String())
	}
	return nil
}

func (f *devFleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	for _, p := range f.routers {
		for {
			if p.router.AgentsConnected() == len(f.agents) && p.router.Revision() > 0 {
				break
			}
			if ctx.Err() != nil {
				_, reason := p.router.Ready()
				return errors.Newf("dev: not ready after %s: %s", devReadyTimeout, reason)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (f *devFleet) print(c *cli.Command) {
	w := c.Root().Writer
	fmt.Fprintf(w, "ready: callers at %s (and %s)\n", f.callers[0], f.callers[1])
	for i, a := range devAccounts {
		fmt.Fprintf(w, "account %s (share %d): key %s\n", a.Name, a.Share, f.keys[i])
	}
	fmt.Fprintf(w, "operators: export OPALBRIDGE_ROUTER=%s OPALBRIDGE_TOKEN=%s\n", f.callers[0], f.token)
	fmt.Fprintf(w, "metrics: %s/metrics   a request's trace: %s/traces/REQUEST\n", f.admin, f.admin)
	fmt.Fprintf(w, "try: curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"Why did district 4 lose pressure?\"}]}'\n",
		f.callers[0], f.keys[0], devModel)
}

func (f *devFleet) stop(cancel context.CancelFunc) {
	secondSignal, stop := untilSignal()
	defer stop()
	for _, p := range f.routers {
		p.stop(secondSignal, devStopTimeout, f.log)
	}
	agentsCtx, cancelAgents := context.WithTimeout(secondSignal, devStopTimeout)
	defer cancelAgents()
	for _, a := range f.agents {
		a.Drain()
	}
	for _, a := range f.agents {
		waitDrained(agentsCtx, a.Drain(), func() {})
	}
	cancel()
	for _, d := range f.done {
		<-d
	}
	_ = f.telemetry.Shutdown(context.WithoutCancel(f.ctx))
}
