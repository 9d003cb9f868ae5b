package main

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"opalbridge.dev/agent"
	"opalbridge.dev/config"
	"opalbridge.dev/engine"
	"opalbridge.dev/explain"
	"opalbridge.dev/operator"
	"opalbridge.dev/platform"
	"opalbridge.dev/router"
	"opalbridge.dev/router/callers"
	"opalbridge.dev/secure"
	"opalbridge.dev/settings"
	"opalbridge.dev/telemetry"
)

const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	maxSpans       = 8192
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE` (YAML)", Required: true}
}

func routerCommand() *cli.Command {
	return &cli.Command{
		Name:        "router",
		Usage:       "run a router on an entry host",
		Description: "Example:\n  opalbridge router --settings router.yaml\n\nA first interrupt stops it when its requests are answered, a second at once.",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := readSettings(settings.Router, c.String("settings"))
			if err != nil {
				return err
			}
			return runRouter(ctx, s, newLog(s, "router"))
		},
	}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "run an agent beside a backend server",
		Description: "Example:\n  opalbridge agent --settings agent.yaml\n\nA first interrupt stops it when nothing runs any more, a second at once.",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := readSettings(settings.Agent, c.String("settings"))
			if err != nil {
				return err
			}
			return runAgent(ctx, s, newLog(s, "agent"))
		},
	}
}

func newLog(s *settings.Settings, role string) zerolog.Logger {
	return zerolog.New(os.Stderr).Level(s.LogLevel).With().Timestamp().Str("role", role).Str("node", s.Name).Str("hall", s.Hall).Logger()
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// processTLS holds a process's TLS settings. It is nil if the settings name no certificate.
type processTLS struct {
	*secure.Credentials
	mutual bool
}

func openTLS(s *settings.Settings) (*processTLS, error) {
	if s.Certificate == "" {
		return nil, nil
	}
	k, err := secure.Open(s.Certificate, s.CertificateKey, s.PeerCA)
	if err != nil {
		return nil, usageError(err)
	}
	return &processTLS{Credentials: k, mutual: s.PeerCA != ""}, nil
}

// wrapPeerListener adds mutual TLS to a listener for processes of the fleet, if a peer CA is
// set.
func (k *processTLS) wrapPeerListener(l net.Listener) net.Listener {
	if k == nil || !k.mutual {
		return l
	}
	return tls.NewListener(l, k.PeerConfig())
}

// peerDialer returns the dialer for other processes of the fleet. nil means plain TCP.
func (k *processTLS) peerDialer() router.Dialer {
	if k == nil || !k.mutual {
		return nil
	}
	return k.Dial
}

// openKV returns a client of the platform's key-value store at a URL.
func openKV(address string, log zerolog.Logger) (platform.KV, error) {
	u, err := url.Parse(address)
	if err != nil || u.Host == "" {
		return platform.KV{}, usageError(errors.Newf("platform_url %q is not a valid URL", address))
	}
	entries := &unreadableEntries{log: log}
	return platform.KV{Store: &platform.Store{Address: u.Host, TLS: u.Scheme == "https"}, OnDecodeError: entries.record}, nil
}

// runningRouter is a started router with its server for callers.
type runningRouter struct {
	router  *router.Router
	done    <-chan error
	callers *callers.Server
}

// startRouter builds a router from its settings and starts it on the listeners.
func startRouter(ctx context.Context, s *settings.Settings, t *telemetry.Telemetry, log zerolog.Logger, front callers.Listener, peers net.Listener) (*runningRouter, error) {
	metrics, err := telemetry.NewRouterMetrics(t.Meter("router"))
	if err != nil {
		return nil, err
	}
	client, err := openKV(s.PlatformURL, log)
	if err != nil {
		return nil, err
	}
	k, err := openTLS(s)
	if err != nil {
		return nil, err
	}
	var callerTLS *tls.Config
	if k != nil {
		callerTLS = k.CallerConfig()
	}
	peers = k.wrapPeerListener(peers)
	r, err := router.New(router.Options{
		Dial: k.peerDialer(), Name: s.Name, Hall: s.Hall, Address: s.PeerAddress,
		KV: client, Directory: client, Listener: peers,
		Degree: s.Degree, Interval: s.ReportInterval,
		Log: log, Tracer: t.Tracer("router"), Records: explain.NewLog(s.Name, s.Records), Metrics: metrics,
	})
	if err != nil {
		return nil, err
	}
	service := &operator.Service{Store: &config.Store{KV: client, Local: r.Configuration}, Fleet: r, TokenHash: s.OperatorTokenHash}
	mux := http.NewServeMux()
	path, calls := service.Handler()
	mux.Handle(path, calls)
	mux.Handle("/", r.Handler())
	err = telemetry.RegisterGauges(t.Meter("router"), []telemetry.Gauge{
		{Name: "opalbridge.open", Description: "requests not yet answered", Read: func() float64 { return float64(r.OpenRequests()) }},
		{Name: "opalbridge.control", Unit: "By", Description: "control bytes sent and received since the start", Read: func() float64 { return float64(r.ControlBytes()) }},
		{Name: "opalbridge.revision", Description: "configuration revision in force", Read: func() float64 { return float64(r.Revision()) }},
	})
	if err != nil {
		return nil, err
	}
	parts := &runningRouter{router: r, done: r.Start(ctx), callers: callers.NewServer(newServer(mux))}
	go func() {
		if err := parts.callers.Serve(front, callerTLS); err != nil {
			log.Error().Err(err).Msg("caller server stopped")
		}
	}()
	return parts, nil
}

func runRouter(ctx context.Context, s *settings.Settings, log zerolog.Logger) error {
	t, err := telemetry.New(ctx, telemetry.Options{Service: "opalbridge-router", Node: s.Name, OTLP: s.OTLPURL, MaxSpans: maxSpans})
	if err != nil {
		return err
	}
	front, err := listenForCallers(s.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "router: listen for callers")
	}
	peers, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "router: listen for peers")
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	parts, err := startRouter(runCtx, s, t, log, front, peers)
	if err != nil {
		return err
	}
	if err := serveAdmin(s, t, log); err != nil {
		return err
	}
	log.Info().Str("callers", front.Addr().String()).Str("peers", peers.Addr().String()).Msg("router started")
	<-ctx.Done()
	log.Info().Int("open", parts.router.OpenRequests()).Msg("stopping: refusing new requests, completing open ones")
	secondSignal, stop := untilSignal()
	defer stop()
	parts.stop(secondSignal, s.StopTimeout, log)
	cancel()
	<-parts.done
	return t.Shutdown(context.WithoutCancel(ctx))
}

// listenForCallers listens on an IP and port.
func listenForCallers(address string) (callers.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// stop refuses new requests, and returns when all that have arrived are answered, the limit has passed or ctx ends.
func (p *runningRouter) stop(ctx context.Context, limit time.Duration, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p.callers.EndConnections()
	waitDrained(ctx, p.router.Drain(), func() { log.Info().Int("open", p.router.OpenRequests()).Msg("waiting for open requests") })
	if err := p.callers.Stop(ctx); err != nil {
		log.Warn().Err(err).Msg("callers' connections were cut")
	}
}

// untilSignal returns a context that ends with the next interrupt or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// stopLogInterval is the interval of progress messages during a shutdown.
const stopLogInterval = 5 * time.Second

// waitDrained waits until drained is closed or ctx ends. It calls logProgress at intervals.
func waitDrained(ctx context.Context, drained <-chan struct{}, logProgress func()) {
	t := time.NewTicker(stopLogInterval)
	defer t.Stop()
	for {
		select {
		case <-drained:
			return
		case <-ctx.Done():
			return
		case <-t.C:
			logProgress()
		}
	}
}

func serveAdmin(s *settings.Settings, t *telemetry.Telemetry, log zerolog.Logger) error {
	if s.AdminAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", s.AdminAddress)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	go func() { _ = newServer(adminHandler(t)).Serve(l) }()
	log.Info().Str("admin", l.Addr().String()).Msg("metrics and traces served")
	return nil
}

func adminHandler(t *telemetry.Telemetry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", t.Metrics())
	mux.Handle("GET /traces/{request}", t.Traces())
	return mux
}

// startAgent builds an agent from its settings and starts it.
func startAgent(ctx context.Context, s *settings.Settings, t *telemetry.Telemetry, log zerolog.Logger, peers net.Listener) (*agent.Agent, <-chan error, error) {
	k, err := openTLS(s)
	if err != nil {
		return nil, nil, err
	}
	peers = k.wrapPeerListener(peers)
	a, err := agent.New(agent.Options{
		Name: s.Name, Hall: s.Hall, Engine: engine.NewClient(s.ServerURL), Listener: peers, Slots: s.Slots, Interval: s.ReportInterval,
		Log: log, Tracer: t.Tracer("agent"), Records: explain.NewLog(s.Name, s.Records),
	})
	if err != nil {
		return nil, nil, err
	}
	err = telemetry.RegisterGauges(t.Meter("agent"), []telemetry.Gauge{
		{Name: "opalbridge.running", Description: "attempts that run", Read: func() float64 { return float64(a.Running()) }},
		{Name: "opalbridge.control", Unit: "By", Description: "control bytes sent and received since the start", Read: func() float64 { return float64(a.ControlBytes()) }},
		{Name: "opalbridge.revision", Description: "configuration revision in force", Read: func() float64 { return float64(a.Revision()) }},
	})
	if err != nil {
		return nil, nil, err
	}
	return a, a.Start(ctx), nil
}

func runAgent(ctx context.Context, s *settings.Settings, log zerolog.Logger) error {
	t, err := telemetry.New(ctx, telemetry.Options{Service: "opalbridge-agent", Node: s.Name, OTLP: s.OTLPURL, MaxSpans: maxSpans})
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "agent: listen for peers")
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a, done, err := startAgent(runCtx, s, t, log, peers)
	if err != nil {
		return err
	}
	if err := serveAdmin(s, t, log); err != nil {
		return err
	}
	log.Info().Str("peers", peers.Addr().String()).Str("server", s.ServerURL).Msg("agent started")
	<-ctx.Done()
	log.Info().Int("running", a.Running()).Msg("stopping: refusing new work, completing running attempts")
	secondSignal, stop := untilSignal()
	defer stop()
	stopCtx, cancelStop := context.WithTimeout(secondSignal, s.StopTimeout)
	defer cancelStop()
	waitDrained(stopCtx, a.Drain(), func() { log.Info().Int("running", a.Running()).Msg("waiting for running attempts") })
	cancel()
	<-done
	return t.Shutdown(context.WithoutCancel(ctx))
}
