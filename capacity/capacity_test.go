package capacity_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/bubbletest"
	"opalbridge.dev/capacity"
	"opalbridge.dev/config"
	"opalbridge.dev/experiment"
	"opalbridge.dev/fair"
	"opalbridge.dev/ledger"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

var (
	measure = flag.Bool("measure", false, "measure the slopes and write figures.json")
	update  = flag.Bool("update", false, "rewrite the generated part of docs/CAPACITY.md")
)

const (
	figuresPath = "figures.json"
	pagePath    = "../docs/CAPACITY.md"
	begin       = "<!-- generated: go test ./capacity -update -->\n"
	end         = "<!-- end of the generated part -->\n"
)

func TestFitLine(t *testing.T) {
	s := capacity.Fit("s", "x", "y", []capacity.Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 3, Y: 9}, {X: 4, Y: 11}})
	require.InDelta(t, 2, s.Value, 1e-9)
	require.InDelta(t, 3, s.Base, 1e-9)
	require.InDelta(t, 0, s.Error, 1e-9)
}

// TestPageMatchesFigures checks that the tables of docs/CAPACITY.md are those that
// figures.json gives.
func TestPageMatchesFigures(t *testing.T) {
	f, err := capacity.Read(figuresPath)
	require.NoError(t, err)
	for _, s := range f.Slopes {
		require.GreaterOrEqual(t, len(s.Points), 4, s.Name)
		fitted := capacity.Fit(s.Name, s.Per, s.Unit, s.Points)
		require.InEpsilon(t, fitted.Value, s.Value, 1e-6, s.Name)
	}
	page, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	before, rest, found := strings.Cut(string(page), begin)
	require.True(t, found, "docs/CAPACITY.md lacks the begin marker")
	old, after, found := strings.Cut(rest, end)
	require.True(t, found, "docs/CAPACITY.md lacks the end marker")
	generated := capacity.Page(f, capacity.TwoYears) + "\n"
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(before+begin+generated+end+after), 0o644))
		return
	}
	require.Equal(t, generated, old, "docs/CAPACITY.md does not match figures.json; run with -update")
}

// TestMeasure measures the slopes if -measure is set. It takes minutes and needs an idle
// machine.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Log("slopes are measured with -measure only")
		return
	}
	f := capacity.Figures{
		Machine: fmt.Sprintf("%d processors, %s %s/%s, one machine for everything", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH),
		Date:    time.Now().UTC().Format(time.DateOnly),
		Slopes: []capacity.Slope{
			slope("report bytes", "backlogged account", "B a report", []int{5, 10, 20, 40}, reportBytes),
			capacity.Fit("want and grant bytes", "request", "B, counted at both ends", wantPoints(t)),
			slope("gossip bytes", "neighbour", "B/s", []int{3, 5, 9, 17}, func(n int) float64 { return gossipBytes(t, n) }),
			slope("control by accounts", "backlogged account", "B/s a node", []int{4, 8, 16, 32}, func(n int) float64 { return controlBytes(t, n, 3, 9) }),
			slope("control by routers", "router", "B/s a node", []int{3, 6, 12, 24}, func(n int) float64 { return controlBytes(t, 16, n, 9) }),
			slope("control by servers", "server", "B/s a node", []int{6, 12, 24, 48}, func(n int) float64 { return controlBytes(t, 16, 3, n) }),
			slope("pick", "account that waits", "ns", []int{10, 20, 40, 80}, pickTime),
			slope("merge", "account", "ns", []int{50, 100, 200, 400}, mergeTime),
			slope("answer", "account", "ns a report", []int{50, 100, 200, 400}, answerTime),
			slope("hall memory", "agent of the hall", "B", []int{50, 100, 200, 400}, hallMemory),
			slope("connection memory", "connection", "B, both ends", []int{50, 100, 200, 400}, func(n int) float64 { return connectionMemory(t, n) }),
			slope("document bytes", "account or server", "B", []int{100, 400, 1600, 6400}, documentBytes),
		},
	}
	b, err := json.MarshalIndent(f, "", "  ")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(figuresPath, append(b, '\n'), 0o644))
	for _, s := range f.Slopes {
		require.NoError(t, capacity.Plot("../docs/capacity", s))
		fmt.Printf("figure slope %q %.4g ± %.2g %s for each %s\n", s.Name, s.Value, s.Error, s.Unit, s.Per)
	}
}

func slope(name, per, unit string, xs []int, y func(int) float64) capacity.Slope {
	var points []capacity.Point
	for _, x := range xs {
		points = append(points, capacity.Point{X: float64(x), Y: y(x)})
	}
	return capacity.Fit(name, per, unit, points)
}

// reportBytes returns the size of a report with the given number of accounts, whose counters
// are those of a server after a day of full load.
func reportBytes(accounts int) float64 {
	var totals []fair.Total
	for a := range accounts {
		totals = append(totals, fair.Total{Account: fair.Account(a + 1), Service: 4e8 / float64(accounts), Pending: 3000, Slots: 64})
	}
	m := wire.NewControl(900_000, &wirepb.Control_Report{Report: &wirepb.Report{Sequence: 40_000, Counters: wire.EncodeTotals(totals)}})
	return float64(proto.Size(m))
}

// wantPoints returns the control bytes of a backlogged fleet against the requests it
// served, for servers with rising numbers of slots.
func wantPoints(t *testing.T) []capacity.Point {
	var points []capacity.Point
	for _, slots := range []int{2, 4, 8, 16} {
		var r *experiment.Result
		bubbletest.Run(t, func(t *testing.T) {
			s := experiment.Even(experiment.Design, experiment.Size{Routers: 3, Models: 9, Duration: time.Minute})
			s.Slots = slots
			r = experiment.Run(t, s)
		})
		const nodes = 12
		points = append(points, capacity.Point{X: float64(r.Requests), Y: r.ControlRate * nodes * time.Minute.Seconds()})
	}
	return points
}

// controlBytes returns the bytes a second that a node of a backlogged fleet sends and receives.
func controlBytes(t *testing.T, accounts, routers, servers int) float64 {
	var r *experiment.Result
	bubbletest.Run(t, func(t *testing.T) {
		z := experiment.Size{Routers: routers, Models: servers, Duration: time.Minute}
		s := experiment.Even(experiment.Design, z)
		s.Clients = nil
		var all []int
		for i := range routers {
			all = append(all, i)
		}
		for a := range accounts {
			s.Clients = append(s.Clients, experiment.Client{Account: fmt.Sprintf("a-%02d", a), Routers: all,
				Callers: max(1, 24*servers/accounts/routers), MinTokens: 50, MaxTokens: 800, PromptBytes: 2000, HintError: 3})
		}
		r = experiment.Run(t, s)
	})
	return r.ControlRate
}

// gossipBytes returns the bytes a second that a router of an idle fleet sends and receives.
func gossipBytes(t *testing.T, routers int) float64 {
	var r *experiment.Result
	bubbletest.Run(t, func(t *testing.T) {
		s := experiment.Scenario{Name: "gossip", Strategy: experiment.Design, Routers: routers, Models: 1, Slots: 1,
			Clients: []experiment.Client{{Account: "idle", Routers: []int{0}, Callers: 1, MinTokens: 1, MaxTokens: 1, Think: time.Hour}},
			Warmup:  10 * time.Second, Duration: time.Minute}
		r = experiment.Run(t, s)
	})
	return r.ControlRate
}

// newTracker returns a tracker of accounts of which the first waiting ones have requests
// queued, with the totals and the candidates of these.
func newTracker(accounts, waiting int) (*fair.Tracker, []fair.Total, []fair.Candidate) {
	b := fair.NewTracker(fair.Options{Slots: 64, DebtCap: 60000})
	var totals []fair.Total
	var candidates []fair.Candidate
	for a := range accounts {
		id := fair.Account(a)
		b.SetShare(id, 1)
		if a < waiting {
			b.StartWaiting(id)
			candidates = append(candidates, fair.Candidate{Account: id})
			totals = append(totals, fair.Total{Account: id, Service: float64(a), Slots: 640})
		}
	}
	return b, totals, candidates
}

func nsPerOp(f func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(r.T.Nanoseconds()) / float64(r.N)
}

func pickTime(waiting int) float64 {
	b, _, candidates := newTracker(400, waiting)
	return nsPerOp(func() {
		at := b.Pick(candidates)
		b.Reserve(candidates[at].Account, 100)
		b.Charge(candidates[at].Account, 100, 100)
	})
}

func mergeTime(accounts int) float64 {
	b, totals, _ := newTracker(accounts, 40)
	return nsPerOp(func() {
		sequence, _ := b.Report(false)
		b.Merge(sequence, totals)
		b.CapDebts()
	})
}

func newHall(agents int) *ledger.Hall {
	h := ledger.NewHall()
	for a := range agents {
		h.Report(fmt.Sprintf("agent-%d", a), "x", 1, hallReport(400))
	}
	return h
}

func hallReport(accounts int) []fair.Total {
	var totals []fair.Total
	for i := range accounts {
		totals = append(totals, fair.Total{Account: fair.Account(i), Service: 1e6, Slots: 64})
	}
	return totals
}

// answerTime returns the time a summing router takes to count a report of 40 accounts and
// to compute the answer, with the given number of accounts in each of 15 halls.
func answerTime(accounts int) float64 {
	f := ledger.NewFleet()
	h := ledger.NewHall()
	for i := range 15 {
		f.Merge(ledger.HallSum{Hall: fmt.Sprint(i), Source: "r", Sequence: 1, Totals: hallReport(accounts)})
	}
	report := hallReport(40)
	sequence := uint64(1)
	return nsPerOp(func() {
		sequence++
		h.Report("agent-0", "x", sequence, report)
		f.Update(ledger.HallSum{Hall: "0", Source: "r", Sequence: sequence, Totals: h.Changed()})
		f.Excluding(h.LastReport("agent-0"))
	})
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func hallMemory(agents int) float64 {
	before := memoryInUse()
	h := newHall(agents)
	after := memoryInUse()
	runtime.KeepAlive(h)
	return after - before
}

func connectionMemory(t *testing.T, connections int) float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	before := memoryInUse()
	var kept []*wire.Peer
	for range connections {
		accepted := make(chan *wire.Peer, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p, _ := wire.Accept(ctx, c, &wirepb.Hello{Node: "agent"})
			accepted <- p
		}()
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		p, err := wire.Connect(ctx, c, &wirepb.Hello{Node: "router"})
		require.NoError(t, err)
		kept = append(kept, p, <-accepted)
	}
	after := memoryInUse()
	for _, p := range kept {
		p.Close(nil)
	}
	return after - before
}

func documentBytes(n int) float64 {
	d := &config.Document{Revision: 900_000}
	for i := range n / 2 {
		d.Accounts = append(d.Accounts, config.Account{ID: uint32(i), Name: fmt.Sprintf("account-%05d", i), Share: 10, Keys: []config.Key{{Hash: config.HashKey("k")}}})
		d.Servers = append(d.Servers, config.Server{Name: fmt.Sprintf("hall-07-model-%05d", i), Hall: "hall-07", Pools: []string{"model-12", "model-30"}})
	}
	b, err := d.Encode()
	if err != nil {
		return 0
	}
	return float64(len(b))
}
