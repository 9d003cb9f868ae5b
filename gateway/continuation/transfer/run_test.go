package transfer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/placement"
)

// slowCopies makes copies that take a while and counts them.
type slowCopies struct {
	mutex   sync.Mutex
	running int
	most    int             // that ran at once
	targets map[string]bool // addresses
	stops   map[string]int  // by run
}

// Copy implements Copies.
func (c *slowCopies) Copy(_ context.Context, r Request) (Result, error) {
	c.mutex.Lock()
	c.running++
	c.most = max(c.most, c.running)
	c.targets[r.Target] = true
	if r.Stop {
		c.stops[r.RunID]++
	}
	c.mutex.Unlock()
	time.Sleep(20 * time.Millisecond)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running--
	return Copied{Handle: r.RunID, Events: 1}, nil
}

// Free implements Copies.
func (*slowCopies) Free(context.Context, catalog.Server, string) error { return nil }

// testPlanner plans moves among servers, as a gateway's dispatcher does.
type testPlanner struct {
	mutex    sync.Mutex
	balancer *placement.Balancer
	planner  *continuation.Planner
}

// PlanMove implements Planner.
func (p *testPlanner) PlanMove(r continuation.Run, request *placement.Request, left time.Duration) (continuation.Decision, catalog.Server, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	targets := map[string]catalog.Server{}
	var list []continuation.Server
	for _, t := range p.balancer.Targets(time.Now(), request) {
		targets[t.Server.ID] = t.Server
		list = append(list, continuation.Server{ID: t.Server.ID, Hall: t.Server.Hall, Running: t.Running, Slots: t.Server.Capacity})
	}
	d := p.planner.Leaving(time.Now(), r, left, list)
	if m, ok := d.(continuation.Move); ok {
		return d, targets[m.Target], true
	}
	return d, catalog.Server{}, true
}

// MoveEnded implements Planner.
func (p *testPlanner) MoveEnded(target string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.planner.MoveEnded(target)
}

// knownLifetimes are those of servers that have another ID after each start.
type knownLifetimes struct{}

// InDoubt implements Lifetimes.
func (knownLifetimes) InDoubt(catalog.Server) bool { return false }

// Confirm implements Lifetimes.
func (knownLifetimes) Confirm(context.Context, catalog.Server) error { return nil }

// testRuns are runs at the first of some servers.
type testRuns struct {
	*Runs
	engine  *catalog.Engine
	servers []catalog.Server
}

// newTestRuns returns runs and servers, of which one is of another version, one leaves, one is evacuated and
// one is in a region that runs may not go to.
func newTestRuns(copies Copies) *testRuns {
	server := func(id, hall, version string) catalog.Server {
		return catalog.Server{ID: id, Service: "s", Hall: hall, Version: version, Address: id, Capacity: 64}
	}
	f := &testRuns{
		engine: &catalog.Engine{Slots: 64, KVTokens: 500_000, MaxEventTokens: 5, BytesPerToken: 163_840, LinkMbps: 550_000, Moves: true},
		servers: []catalog.Server{
			server("a", "h", "v1"), server("b", "h", "v1"), server("c", "g", "v1"), server("d", "h", "v2"),
			server("e", "h", "v1"), server("f", "f", "v1"), server("g", "h", "v1"),
		},
	}
	f.servers[4].Leaving = true
	f.servers[6].Evacuated = true
	p := &testPlanner{balancer: placement.NewBalancer(placement.DefaultPolicy()), planner: continuation.NewPlanner(continuation.DefaultLimits())}
	p.balancer.SetRegions(map[string]string{"h": "near", "g": "near", "f": "far"})
	p.balancer.SetServers(time.Now(), f.servers, func(string) *catalog.Engine { return f.engine })
	p.planner.SetFleet(time.Now(), len(f.servers), 1)
	f.Runs = NewRuns(Options{Copies: copies, Planner: p, Lifetimes: knownLifetimes{}})
	return f
}

// begin begins a run of so many expected tokens at server a; its pace is five tokens in 100 ms.
func (f *testRuns) begin(id string, tokens int) (run *Run, stream context.Context) {
	now := time.Now()
	stream, cancel := context.WithCancelCause(context.Background())
	run = &Run{
		Movable: true, ID: id, Server: f.servers[0], Service: "s", Engine: f.engine, Sent: now, Deadline: now.Add(time.Minute), Joinable: true,
		Request: placement.Request{Service: "s", Hall: "h", PromptTokens: 10_000, OutputTokens: tokens, Pinned: true, Version: "v1", Exclude: []string{"a"}, Regions: catalog.Regions{"near"}},
		Stream:  stream, Cancel: cancel,
		progress: runProgress{events: 3, firstEvent: now.Add(-200 * time.Millisecond), lastEvent: now},
	}
	context.AfterFunc(stream, f.AddID(id))
	f.Begin(run)
	return run, stream
}

// TestRunsMoveInTime: the runs at a server that leaves move before it ends, at most eight at once, to
// servers that may have them. Those that end before stay, and are not copied.
func TestRunsMoveInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const long, short = 60, 20
		copies := &slowCopies{targets: map[string]bool{}, stops: map[string]int{}}
		f := newTestRuns(copies)
		began := time.Now()
		outcomes := make(chan Outcome, long+short)
		for i := range long + short {
			tokens := 1000
			if i >= long {
				tokens = 75
			}
			run, stream := f.begin(fmt.Sprint("r", i), tokens)
			go func() {
				select {
				case <-stream.Done(): // its source has stopped it
				case <-time.After(time.Duration(tokens-15) * 20 * time.Millisecond):
				}
				f.End(run)
				run.Cancel(nil)
				outcomes <- run.Finish()
			}()
		}
		f.ServerLeaving(began, "a")
		kept := 0
		for range long + short {
			switch o := (<-outcomes).(type) {
			case Moved:
				require.Contains(t, []string{"b", "c"}, o.Target.ID)
				require.Less(t, time.Since(began), drainTime)
			default:
				require.Equal(t, Stayed{reasonEnded}, o)
				kept++
			}
		}
		synctest.Wait()
		require.Equal(t, short, kept)
		require.Len(t, copies.stops, long)
		require.LessOrEqual(t, copies.most, continuation.DefaultLimits().MaxMoves)
		require.Greater(t, copies.most, 1)
		require.Contains(t, copies.targets, "b")
		require.Empty(t, f.slots)
		require.Empty(t, f.runs)
		require.Empty(t, f.byID)
	})
}

// lateCopies knows runs from a time on.
type lateCopies struct {
	slowCopies
	from time.Time
}

// Copy implements Copies.
func (c *lateCopies) Copy(ctx context.Context, r Request) (Result, error) {
	if time.Now().Before(c.from) {
		return Unknown{}, nil
	}
	return c.slowCopies.Copy(ctx, r)
}

// TestRunMovesOnceBegun: a server does not know a run whose request is on its way to it when it leaves,
// so an answer that there is no such run does not mean that it has ended before its first event.
func TestRunMovesOnceBegun(t *testing.T) {
	for _, events := range []int{0, 3} {
		t.Run(fmt.Sprintf("%d events", events), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				copies := &lateCopies{slowCopies{targets: map[string]bool{}, stops: map[string]int{}}, time.Now().Add(300 * time.Millisecond)}
				f := newTestRuns(copies)
				run, _ := f.begin("r", 1000)
				run.progress.events = events
				f.ServerLeaving(time.Now(), "a")
				time.Sleep(drainTime)
				if events == 0 {
					require.IsType(t, Moved{}, run.Finish())
					return
				}
				require.Equal(t, Stayed{reasonEnded}, run.Finish())
			})
		})
	}
}

// hookedCopies calls a function within each call.
type hookedCopies struct {
	slowCopies
	hook func(Request)
}

// Copy implements Copies.
func (c *hookedCopies) Copy(ctx context.Context, r Request) (Result, error) {
	c.hook(r)
	return c.slowCopies.Copy(ctx, r)
}

// TestRunIsNotStoppedOnceItCannotMove: another request with the ID of a run, or an event without an ID,
// may come while the run is copied. Stopping it then could stop the other, or would cut the stream.
func TestRunIsNotStoppedOnceItCannotMove(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *testRuns, r *Run)
		want   Outcome
	}{
		{"another request gets its ID", func(f *testRuns, _ *Run) { f.AddID("r") }, Stayed{reasonSharedID}},
		{"an event has no ID", func(_ *testRuns, r *Run) { r.EventRelayed(time.Now(), false, true) }, Stayed{NoIDs}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				copies := &hookedCopies{slowCopies: slowCopies{targets: map[string]bool{}, stops: map[string]int{}}}
				f := newTestRuns(copies)
				var run *Run
				copies.hook = func(Request) { test.change(f, run) }
				run, _ = f.begin("r", 1000)
				f.ServerLeaving(time.Now(), "a")
				time.Sleep(drainTime)
				require.Equal(t, test.want, run.Finish())
				require.Empty(t, copies.stops)
			})
		})
	}
}

// TestRunThatCannotMove: pieces of two runs must not be joined, so a run stays whose events could not be
// told apart, or that its server could confuse with another.
func TestRunThatCannotMove(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *testRuns, r *Run)
		want   Outcome
	}{
		{"event IDs are no numbers", func(_ *testRuns, r *Run) { r.EventRelayed(time.Now(), false, true) }, Stayed{NoIDs}},
		{"another request has its ID", func(f *testRuns, _ *Run) { f.begin("r", 1000) }, Stayed{reasonSharedID}},
		{"no server has its version", func(_ *testRuns, r *Run) { r.Request.Version = "v3" }, Stayed{continuation.NoTarget}},
		{"no server in its regions", func(_ *testRuns, r *Run) { r.Request.Regions = catalog.Regions{} }, Stayed{continuation.NoTarget}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				copies := &slowCopies{targets: map[string]bool{}, stops: map[string]int{}}
				f := newTestRuns(copies)
				run, _ := f.begin("r", 1000)
				test.change(f, run)
				f.ServerLeaving(time.Now(), "a")
				time.Sleep(drainTime)
				require.Equal(t, test.want, run.Finish())
				require.Empty(t, copies.targets)
			})
		})
	}
}
