package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/peer"
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

// Copy implements RunCopies.
func (c *slowCopies) Copy(_ context.Context, r RunCopyRequest) (RunCopyResult, error) {
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
	return RunCopied{Handle: r.RunID, Events: 1}, nil
}

// Free implements RunCopies.
func (*slowCopies) Free(context.Context, catalog.Server, string) error { return nil }

// newMovingGateway returns a gateway whose dispatcher runs until the test's end. Of its servers, one is
// of another version, one leaves, one is evacuated and one is in a region that runs may not go to.
func newMovingGateway(t *testing.T, copies RunCopies) *Gateway {
	g, err := New(Options{
		Peer: peer.Options{Address: "127.0.0.1:0"}, Log: zerolog.Nop(), Copies: copies,
		Dispatcher: DispatcherOptions{
			ShareWindow: 4 * time.Second, Hall: "h", Policy: placement.DefaultPolicy(), Features: Features{MoveStreams: true},
			Regions: map[string]string{"h": "near", "g": "near", "f": "far"},
		},
	})
	require.NoError(t, err)
	engine := &catalog.Engine{Slots: 64, KVTokens: 500_000, MaxEventTokens: 5, BytesPerToken: 163_840, LinkMbps: 550_000, Moves: true}
	c, err := catalog.NewConfiguration(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: engine}}})
	require.NoError(t, err)
	server := func(id, hall, version string) catalog.Server {
		return catalog.Server{ID: id, Service: "s", Hall: hall, Version: version, Address: id, Capacity: 64}
	}
	v := &View{Configuration: c, Servers: []catalog.Server{
		server("a", "h", "v1"), server("b", "h", "v1"), server("c", "g", "v1"), server("d", "h", "v2"),
		server("e", "h", "v1"), server("f", "f", "v1"), server("g", "h", "v1"),
	}}
	v.Servers[4].Leaving = true
	v.Servers[6].Evacuated = true
	g.view.Store(v)
	g.dispatcher.queue.timer = time.NewTimer(time.Hour)
	g.dispatcher.setView(time.Now(), v)
	ctx, cancel := context.WithCancel(context.Background())
	go g.dispatcher.run(ctx)
	t.Cleanup(func() {
		cancel()
		<-g.dispatcher.done
	})
	return g
}

// beginTestRun begins a run of so many expected tokens at server a; its pace is five tokens in 100 ms.
func (g *Gateway) beginTestRun(id string, tokens int) (run *streamRun, stream context.Context) {
	now := time.Now()
	stream, cancel := context.WithCancelCause(context.Background())
	v := g.view.Load()
	run = &streamRun{
		movable: true, gateway: g, id: id, server: v.Servers[0], service: "s", engine: v.engine("s"), sent: now, deadline: now.Add(time.Minute),
		request: placement.Request{Service: "s", Hall: "h", PromptTokens: 10_000, OutputTokens: tokens, Pinned: true, Version: "v1", Exclude: []string{"a"}, Regions: catalog.Regions{"near"}},
		stream:  stream, cancel: cancel,
		progress: runProgress{events: 3, firstEvent: now.Add(-200 * time.Millisecond), lastEvent: now},
	}
	context.AfterFunc(stream, g.runs.addID(id))
	g.runs.begin(run)
	return run, stream
}

// TestRunsMoveInTime: the runs at a server that leaves move before it ends, at most eight at once, to
// servers that may have them. Those that end before stay, and are not copied.
func TestRunsMoveInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const long, short = 60, 20
		copies := &slowCopies{targets: map[string]bool{}, stops: map[string]int{}}
		g := newMovingGateway(t, copies)
		began := time.Now()
		outcomes := make(chan moveOutcome, long+short)
		for i := range long + short {
			tokens := 1000
			if i >= long {
				tokens = 75
			}
			run, stream := g.beginTestRun(fmt.Sprint("r", i), tokens)
			go func() {
				select {
				case <-stream.Done(): // its source has stopped it
				case <-time.After(time.Duration(tokens-15) * 20 * time.Millisecond):
				}
				g.runs.end(run)
				run.cancel(nil)
				outcomes <- run.finish()
			}()
		}
		g.runs.serverLeaving(began, "a")
		kept := 0
		for range long + short {
			switch o := (<-outcomes).(type) {
			case moved:
				require.Contains(t, []string{"b", "c"}, o.target.ID)
				require.Less(t, time.Since(began), drainTime)
			default:
				require.Equal(t, stayed{reasonEnded}, o)
				kept++
			}
		}
		synctest.Wait()
		require.Equal(t, short, kept)
		require.Len(t, copies.stops, long)
		require.LessOrEqual(t, copies.most, continuation.DefaultLimits().MaxMoves)
		require.Greater(t, copies.most, 1)
		require.Contains(t, copies.targets, "b")
		require.Empty(t, g.runs.slots)
		require.Empty(t, g.runs.runs)
		require.Empty(t, g.runs.byID)
	})
}

// lateCopies knows runs from a time on.
type lateCopies struct {
	slowCopies
	from time.Time
}

// Copy implements RunCopies.
func (c *lateCopies) Copy(ctx context.Context, r RunCopyRequest) (RunCopyResult, error) {
	if time.Now().Before(c.from) {
		return RunUnknown{}, nil
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
				g := newMovingGateway(t, copies)
				run, _ := g.beginTestRun("r", 1000)
				run.progress.events = events
				g.runs.serverLeaving(time.Now(), "a")
				time.Sleep(drainTime)
				if events == 0 {
					require.IsType(t, moved{}, run.finish())
					return
				}
				require.Equal(t, stayed{reasonEnded}, run.finish())
			})
		})
	}
}

// TestStoppedRunIsNotComplete: the end of an unframed stream looks the same whether the run has ended or
// was stopped. A run that was stopped and cannot go on must not be relayed as a complete answer.
func TestStoppedRunIsNotComplete(t *testing.T) {
	tests := []struct {
		name    string
		outcome moveOutcome
		change  func(c *call)
		want    step // nil: as without a move
	}{
		{"moved", moved{handle: "h"}, func(*call) {}, continueStep{}},
		{"moved, too late", moved{handle: "h"}, func(c *call) { c.deadline = time.Now() }, failStep{}},
		{"stopped, too late", stopped{handle: "h"}, func(c *call) { c.deadline = time.Now() }, failStep{}},
		{"perhaps stopped, too late", unanswered{handle: "h"}, func(c *call) { c.deadline = time.Now() }, failStep{}},
		{"moved, the last event has no ID", moved{handle: "h"}, func(c *call) { c.sequence.Add("", true) }, failStep{}},
		{"not stopped", stayed{reasonEnded}, func(c *call) { c.deadline = time.Now() }, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newMovingGateway(t, &slowCopies{})
				run, stream := g.beginTestRun("r", 1000)
				run.phase, run.outcome = moveStopping, make(chan moveOutcome, 1)
				run.outcome <- test.outcome
				c := &call{gateway: g, request: httptest.NewRequest("POST", "/", nil), route: &catalog.Route{Kind: catalog.Stream}, deadline: time.Now().Add(time.Minute)}
				c.sequence.Add("1", true)
				test.change(c)
				next, ok := c.movedAway(stream, run, false, io.EOF)
				require.Equal(t, test.want != nil, ok)
				require.IsType(t, test.want, next)
			})
		})
	}
}

// TestRunThatCannotMove: pieces of two runs must not be joined, so a run stays whose events could not be
// told apart, or that its server could confuse with another.
func TestRunThatCannotMove(t *testing.T) {
	tests := []struct {
		name   string
		change func(g *Gateway, r *streamRun)
		want   moveOutcome
	}{
		{"event IDs are no numbers", func(_ *Gateway, r *streamRun) { r.eventRelayed(time.Now(), false, true) }, stayed{reasonNoIDs}},
		{"another request has its ID", func(g *Gateway, _ *streamRun) { g.beginTestRun("r", 1000) }, stayed{reasonSharedID}},
		{"no server has its version", func(_ *Gateway, r *streamRun) { r.request.Version = "v3" }, stayed{continuation.NoTarget}},
		{"no server in its regions", func(_ *Gateway, r *streamRun) { r.request.Regions = catalog.Regions{} }, stayed{continuation.NoTarget}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				copies := &slowCopies{targets: map[string]bool{}, stops: map[string]int{}}
				g := newMovingGateway(t, copies)
				run, _ := g.beginTestRun("r", 1000)
				test.change(g, run)
				g.runs.serverLeaving(time.Now(), "a")
				time.Sleep(drainTime)
				require.Equal(t, test.want, run.finish())
				require.Empty(t, copies.targets)
			})
		})
	}
}
