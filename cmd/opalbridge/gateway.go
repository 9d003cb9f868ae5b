package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"opalbridge.dev/engine/httpstrict"
	"opalbridge.dev/gateway"
	"opalbridge.dev/gateway/budget"
	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/upstream"
	"opalbridge.dev/gateway/warmup"
	"opalbridge.dev/platform"
	"opalbridge.dev/settings"
	"opalbridge.dev/telemetry"
)

const (
	// Log times need milliseconds: the lines of one request are milliseconds apart.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
	// The garbage collector's memory limit, as a share of the process's memory. The rest is
	// left for stacks and socket buffers.
	heapLimitRatio = 0.6
	// At most one call to the store waits for changes at a time; a list needs a second
	// connection.
	storeConnections = 2
	storeDialTimeout = time.Second
	// The head of an answer of the store.
	storeHeadBytes = 64 << 10
)

// gatewayName is the name of the gateway command; hangup_linux.go repeats it.
const gatewayName = "gateway"

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  gatewayName,
		Usage: "run a gateway on an entry host, before servers without agents",
		Description: "Example:\n  opalbridge gateway --settings gateway.yaml\n\n" +
			"Without --settings, the file is named by the platform's environment variable.\n" +
			"A first interrupt stops it when its requests are answered.",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE` (YAML)",
			Sources: cli.EnvVars(platform.SettingsVariable),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			file := c.String("settings")
			s, err := readSettings(settings.Gateway, file)
			if err != nil {
				return err
			}
			return runGateway(ctx, s, file)
		},
	}
}

// requestMetrics implements gateway.Metrics with the process's metrics.
type requestMetrics struct{ *telemetry.GatewayMetrics }

// RequestEnded implements gateway.Metrics.
func (c requestMetrics) RequestEnded(o gateway.Outcome) {
	c.RecordRequest(o.Service, o.Kind, o.Result, o.Attempts, o.FirstByte, o.Total)
	if o.Result == "refused" {
		c.RecordRefusal(o.Service, o.Surplus, o.BesideIdle)
	}
}

// RetryDecided implements gateway.Metrics.
func (c requestMetrics) RetryDecided(service string, granted bool) {
	c.RecordRetry(service, granted)
}

// RetryAcknowledged implements gateway.Metrics.
func (c requestMetrics) RetryAcknowledged(service string, delay time.Duration) {
	c.RecordRetryAcknowledged(service, delay)
}

// StreamResumed implements gateway.Metrics.
func (c requestMetrics) StreamResumed(service string, outcome gateway.ResumeOutcome) {
	c.RecordStreamResumed(service, string(outcome))
}

// SlotDecided implements gateway.Metrics.
func (c requestMetrics) SlotDecided(service string, decision gateway.SlotDecision) {
	c.RecordSlotDecision(service, string(decision))
}

// StreamContinued implements gateway.Metrics.
func (c requestMetrics) StreamContinued(service string, s gateway.ContinuationStep, outcome string) {
	c.RecordStreamContinued(service, string(s), outcome)
}

// InvalidReceived implements gateway.Metrics.
func (c requestMetrics) InvalidReceived(service string, kind upstream.Invalid) {
	c.RecordInvalid(service, string(kind))
}

// ConnectionOffloaded implements gateway.Metrics.
func (c requestMetrics) ConnectionOffloaded(outcome offload.Outcome) {
	c.RecordConnectionOffloaded(string(outcome))
}

// RequestDropped implements gateway.Metrics.
func (c requestMetrics) RequestDropped(d gateway.DroppedRequest) {
	c.RecordDropped(string(d))
}

func runGateway(ctx context.Context, s *settings.Settings, file string) error {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapLimitRatio * float64(s.MemoryMB) * (1 << 20)))
	}
	logWriter := telemetry.NewLogWriter(os.Stdout)
	logWritten := make(chan struct{})
	writeCtx, stopWriting := context.WithCancel(context.Background())
	go func() {
		logWriter.Run(writeCtx)
		close(logWritten)
	}()
	defer func() {
		stopWriting()
		<-logWritten
	}()
	zerolog.TimeFieldFormat = logTimeFormat
	log := zerolog.New(logWriter).Level(s.LogLevel).With().Timestamp().Str("node", s.Name).Str("hall", s.Hall).Logger()
	t, err := telemetry.New(ctx, telemetry.Options{Service: "gateway", Node: s.Name, OTLP: s.OTLPURL})
	if err != nil {
		return err
	}
	entries := &unreadableEntries{log: log}
	store := openStore(s)
	g, err := openGateway(s, store, t, log, entries)
	if err != nil {
		return err
	}
	if err := registerGauges(t, g, logWriter, entries); err != nil {
		return err
	}
	stopReload := (&reloader{file: file, inForce: *s, store: store, log: log}).watch()
	defer stopReload()
	if s.AdminAddress != "" {
		if err := serveMetrics(s.AdminAddress, t, log); err != nil {
			return err
		}
	}
	return errors.CombineErrors(g.Run(ctx), t.Shutdown(context.WithoutCancel(ctx)))
}

// registerGauges registers the gauges of the gateway's state.
func registerGauges(t *telemetry.Telemetry, g *gateway.Gateway, logWriter *telemetry.LogWriter, entries *unreadableEntries) error {
	return telemetry.RegisterGauges(t.Meter("gateway"), []telemetry.Gauge{
		{Name: "opalbridge.gateway.view_age", Unit: "s", Description: "since the view was last known to be the store's latest", Read: func() float64 { return g.Status().ViewAge.Seconds() }},
		{Name: "opalbridge.gateway.configuration_version", Description: "version in force; 0: none", Read: func() float64 { return float64(g.Status().ConfigurationVersion) }},
		{Name: "opalbridge.gateway.store_era", Description: "how often the platform's store has come back from a copy, as it counts itself", Read: func() float64 { return float64(g.Status().StoreEra) }},
		{Name: "opalbridge.gateway.servers", Description: "servers believed to exist", Read: func() float64 { return float64(g.Status().Servers) }},
		{Name: "opalbridge.gateway.peers", Description: "other gateways believed to live", Read: func() float64 { return float64(g.Status().Peers) }},
		{Name: "opalbridge.gateway.active_requests", Description: "requests in hand", Read: func() float64 { return float64(g.Status().Active) }},
		{Name: "opalbridge.gateway.held_memory", Unit: "By", Description: "memory that requests in hand have reserved, of four tenths of memory_mb", Read: func() float64 { return float64(g.Status().HeldMemory) }},
		{Name: "opalbridge.gateway.lateness", Unit: "s", Description: "of the process's own timers, as of the latest measurement", Read: func() float64 { return g.Status().SchedulingDelay.Seconds() }},
		{Name: "opalbridge.gateway.admitted", Description: "share of requests that the process has time for", Read: func() float64 { return g.Status().AdmittedShare }},
		{Name: "opalbridge.gateway.withdrawn", Description: "1 while the gateway fails the balancer's health checks, as it lacks processor time for its callers", Read: func() float64 { return withdrawnGauge(g.Status().Withdrawn) }},
		{Name: "opalbridge.gateway.suspects", Description: "requests, and parts of their prompts, that were at servers when these ended", Read: func() float64 { return float64(g.Status().Suspects) }},
		{Name: "opalbridge.gateway.said_leaving", Description: "servers that have said in answers that they leave", Read: func() float64 { return float64(g.Status().AnnouncedLeaving) }},
		{Name: "opalbridge.gateway.resting", Description: "servers that have asked this gateway for rest", Read: func() float64 { return float64(g.Status().BackingOff) }},
		{Name: "opalbridge.gateway.barred", Description: "requests and parts of prompts that reach no server any more, since servers ended under them", Read: func() float64 { return float64(g.Status().Quarantined) }},
		{Name: "opalbridge.gateway.barred_parts", Description: "of them, parts of prompts", Read: func() float64 { return float64(g.Status().QuarantinedParts) }},
		{Name: "opalbridge.gateway.pauses_predicted", Description: "requests sent although running streams were expected to be late because of them", Read: func() float64 { return float64(g.Status().PausesPredicted) }},
		{Name: "opalbridge.gateway.pauses_avoided", Description: "requests sent past a server because of the pauses of its streams", Read: func() float64 { return float64(g.Status().PausesAvoided) }},
		{Name: "opalbridge.gateway.memory_avoided", Description: "requests sent past a server into whose memory they did not fit", Read: func() float64 { return float64(g.Status().MemoryAvoided) }},
		{Name: "opalbridge.gateway.memory_exceeded", Description: "requests sent although they fitted into no server's memory", Read: func() float64 { return float64(g.Status().MemoryExceeded) }},
		{Name: "opalbridge.gateway.origins", Description: "attempts of callers whose streams' versions this gateway remembers, for itself and others", Read: func() float64 { return float64(g.Status().Origins) }},
		{Name: "opalbridge.gateway.log_lines_dropped", Description: "log lines that were not written", Read: func() float64 { return float64(logWriter.Dropped()) }},
		{Name: "opalbridge.gateway.unreadable_entries", Description: "entries in the platform's store that could not be read, each time that they were met", Read: func() float64 { return float64(entries.total()) }},
	})
}

// withdrawnGauge is the gauge's value.
func withdrawnGauge(withdrawn bool) float64 {
	if withdrawn {
		return 1
	}
	return 0
}

// openStore returns a client of the platform's store.
func openStore(s *settings.Settings) *platform.Store {
	return &platform.Store{Address: s.StoreAddress, HTTP: &http.Client{Transport: httpstrict.NewTransport(&http.Transport{
		DialContext:  (&net.Dialer{Timeout: storeDialTimeout}).DialContext,
		MaxIdleConns: storeConnections, MaxIdleConnsPerHost: storeConnections,
		DisableCompression: true, MaxResponseHeaderBytes: storeHeadBytes,
	}), CheckRedirect: platform.RefuseRedirect}}
}

// openGateway opens the gateway's sockets and builds the gateway from its settings.
func openGateway(s *settings.Settings, store *platform.Store, t *telemetry.Telemetry, log zerolog.Logger, entries *unreadableEntries) (*gateway.Gateway, error) {
	metrics, err := telemetry.NewGatewayMetrics(t.Meter("gateway"))
	if err != nil {
		return nil, err
	}
	callers, err := gateway.ListenCallers(s.FrontAddress)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: listen for callers")
	}
	ready, err := net.Listen("tcp4", s.ReadyAddress)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: listen for the balancer")
	}
	peers, err := net.Listen("tcp4", s.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: listen for other gateways")
	}
	held := gateway.NewMemory(int64(s.MemoryMB) << 20)
	return gateway.New(gateway.Options{
		CallerListener: callers, ReadyListener: ready, PeerListener: peers,
		ReadyPath: platform.ReadyPath,
		Peer:      peer.Options{Address: s.PeerAddress, Seeds: s.Seeds},
		Source:    &platform.Feed{Store: store, Halls: s.Regions, OnDecodeError: entries.record},
		Caches:    &platform.Caches{Memory: held},
		Lifetimes: &platform.Reports{Memory: held},
		Copies:    &platform.Copies{},
		Claims:    &platform.ClaimStore{Store: store, Holder: s.Name + "/" + strconv.FormatInt(time.Now().UnixNano(), 36)},
		Rollouts:  &platform.RolloutStore{Store: store},
		Suspects:  &platform.SuspectStore{Store: store},
		Codec:     platform.Codec{},
		Dispatcher: gateway.DispatcherOptions{
			Retries:     budget.Limits{Ratio: s.RetryRatio, FixedRetries: s.RetryExtra, Window: s.RetryWindow, Gateways: s.Gateways},
			ShareWindow: s.ShareWindow, Policy: placement.DefaultPolicy(), Hall: s.Hall,
			ColdLimits: warmup.Limits{Factor: s.ColdFactor, Extra: s.ColdExtra}, Regions: s.Regions,
			Features: gateway.Features{
				IdleSurplus: featureMode(s.IdleSurplus), QueuePlainWork: featureMode(s.QueuePlainWork), Withdraw: featureMode(s.Withdraw),
				MoveStreams: featureMode(s.MoveStreams), BackUpStreams: featureMode(s.BackUpStreams), Offload: featureMode(s.Offload), AvoidPauses: s.AvoidPauses,
			},
		},
		MilliCPU: int(s.CPULimit * 1000), MemoryLimit: int64(s.MemoryMB) << 20, Memory: held, MaxHeadBytes: s.ResponseHeadKB << 10, FileLimit: openFileLimit(s), ShutdownGrace: s.StopTimeout, Log: log, Metrics: requestMetrics{metrics},
	})
}

// featureMode translates the mode of an optional decision.
func featureMode(m settings.Mode) gateway.Mode {
	switch m {
	case settings.Auto:
		return gateway.Auto
	case settings.On:
		return gateway.On
	}
	return gateway.Off
}

// openFileLimit returns how many files and sockets the process may open. 0 means no limit.
func openFileLimit(s *settings.Settings) int {
	if s.FileLimit > 0 {
		return s.FileLimit
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxFileLimit {
		return 0
	}
	return int(limit.Cur)
}

// maxFileLimit is the largest limit that counts as one. Larger values mean no limit.
const maxFileLimit = 1 << 20

// serveMetrics serves the metrics page until the process ends.
func serveMetrics(address string, t *telemetry.Telemetry, log zerolog.Logger) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "gateway: metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", t.Metrics())
	go func() {
		err := newServer(mux).Serve(l)
		log.Error().Str("event", "metrics.ended").Err(err).Msg("metrics server stopped")
	}()
	return nil
}
