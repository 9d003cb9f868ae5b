package gateway

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/continuation/transfer"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
)

// newMovingGateway returns a gateway whose dispatcher runs until the test's end. Of its servers, one is
// of another version, one leaves, one is evacuated and one is in a region that runs may not go to.
func newMovingGateway(t *testing.T, copies transfer.Copies) *Gateway {
	g, err := New(Options{
		Peer: peer.Options{Address: "127.0.0.1:0"}, Log: zerolog.Nop(), Copies: copies,
		Dispatcher: DispatcherOptions{
			ShareWindow: 4 * time.Second, Hall: "h", Policy: placement.DefaultPolicy(), Features: Features{MoveStreams: On},
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

// fixedCopies answers calls for copies of runs that go on, and of those that are to be stopped.
type fixedCopies struct {
	copied, stopped transfer.Result
	freed           []string // handles
}

// Copy implements transfer.Copies.
func (c *fixedCopies) Copy(_ context.Context, r transfer.Request) (transfer.Result, error) {
	result := c.copied
	if r.Stop {
		result = c.stopped
	}
	if result == nil {
		return nil, errors.New("no answer")
	}
	return result, nil
}

// Free implements transfer.Copies.
func (c *fixedCopies) Free(_ context.Context, _ catalog.Server, handle string) error {
	c.freed = append(c.freed, handle)
	return nil
}

// TestStoppedRunIsNotComplete: the end of an unframed stream looks the same whether the run has ended or
// was stopped. A run that was stopped and cannot go on must not be relayed as a complete answer.
func TestStoppedRunIsNotComplete(t *testing.T) {
	copied := transfer.Copied{Handle: "h", Events: 1}
	late := func(c *call) { c.deadline = time.Now() }
	tests := []struct {
		name    string
		outcome fixedCopies
		change  func(c *call)
		want    step // nil: as without a move
		free    string
	}{
		{"moved", fixedCopies{copied: copied, stopped: copied}, func(*call) {}, continueStep{}, ""},
		{"moved, too late", fixedCopies{copied: copied, stopped: copied}, late, failStep{}, "h"},
		{"stopped, too late", fixedCopies{copied: copied, stopped: transfer.NotCopied{Handle: "h"}}, late, failStep{}, "h"},
		{"perhaps stopped, too late", fixedCopies{copied: copied}, late, failStep{}, "h"},
		{"moved, the last event has no ID", fixedCopies{copied: copied, stopped: copied}, func(c *call) { c.sequence.Add("", true) }, failStep{}, "h"},
		{"not stopped", fixedCopies{copied: transfer.Unknown{}}, late, nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				copies := test.outcome
				g := newMovingGateway(t, &copies)
				server := g.view.Load().Servers[0]
				stream, cancel := context.WithCancelCause(t.Context())
				run := &transfer.Run{
					Movable: true, ID: "r", Server: server, Service: "s", Engine: g.view.Load().engine("s"), Deadline: time.Now().Add(time.Minute), Joinable: true,
					Request: placement.Request{Service: "s", Hall: "h", PromptTokens: 1000, OutputTokens: 1000, Pinned: true, Version: "v1", Exclude: []string{"a"}},
					Stream:  stream, Cancel: cancel,
				}
				g.runs.Begin(run)
				run.EventRelayed(time.Now(), true, true)
				g.runs.ServerLeaving(time.Now(), server.ID)
				time.Sleep(time.Second)
				c := &call{gateway: g, request: httptest.NewRequest("POST", "/", nil), route: &catalog.Route{Kind: catalog.Stream}, deadline: time.Now().Add(time.Minute)}
				c.sequence.Add("1", true)
				test.change(c)
				next, ok := c.movedAway(stream, run, false, io.EOF)
				require.Equal(t, test.want != nil, ok)
				require.IsType(t, test.want, next)
				c.endRun(run)
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				g.copyCleaner.Run(ctx)
				if test.free == "" {
					require.Empty(t, copies.freed)
					return
				}
				require.Equal(t, []string{test.free}, copies.freed)
			})
		})
	}
}

// TestLapsedEntryIsNoCrash: servers whose entries lapse while the store is unreachable have not crashed, and
// servers that copy no runs say nothing of those that do.
func TestLapsedEntryIsNoCrash(t *testing.T) {
	engine := &catalog.Engine{Slots: 64, KVTokens: 500_000, MaxEventTokens: 5, BytesPerToken: 163_840, LinkMbps: 550_000, Backups: true}
	c, err := catalog.NewConfiguration(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: engine}, {Name: "plain"}, {Name: "other", Engine: &catalog.Engine{Slots: 64}}}})
	require.NoError(t, err)
	view := func(service string, ids ...string) *View {
		v := &View{Configuration: c}
		for _, id := range ids {
			v.Servers = append(v.Servers, catalog.Server{ID: id, Service: service, Hall: "h", Version: "v1", Address: id, Capacity: 64})
		}
		return v
	}
	tests := []struct {
		name  string
		views []*View
		worth bool
	}{
		{"crashed", []*View{view("s", "a", "b", "c", "d"), view("s", "a", "b")}, true},
		{"back again", []*View{view("s", "a", "b", "c", "d"), view("s", "a", "b"), view("s", "a", "b", "c", "d")}, false},
		{"other lifetimes", []*View{view("s", "a", "b", "c@1", "d@1"), view("s", "a", "b", "c@2", "d@2")}, true},
		{"plain servers", []*View{view("plain", "a", "b", "c", "d"), view("plain", "a", "b")}, false},
		{"engines that copy no runs", []*View{view("other", "a", "b", "c", "d"), view("other", "a", "b")}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := newDispatcher(zerolog.Nop(), DispatcherOptions{ShareWindow: 4 * time.Second, Hall: "h", Policy: placement.DefaultPolicy()}, now)
			d.queue.timer = time.NewTimer(time.Hour)
			for _, v := range test.views {
				d.setView(now, v)
			}
			run := continuation.Run{Service: "s", Hall: "h", PromptTokens: 1000, OutputTokens: 1000, EventTokens: 5, Remaining: time.Minute, BytesPerToken: engine.BytesPerToken, LinkMbps: engine.LinkMbps}
			d.planner.SetFleet(now, 4, 1)
			require.Equal(t, test.worth, d.planner.WorthBackup(now.Add(5*time.Second), run), "once link time has accumulated")
		})
	}
}
