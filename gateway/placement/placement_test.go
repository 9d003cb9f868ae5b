package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engine(string) *catalog.Engine { return &catalog.Engine{Slots: 64, KVTokens: 500000} }

func plain(string) *catalog.Engine { return nil }

func servers(n int) []catalog.Server {
	list := make([]catalog.Server, n)
	for i := range list {
		list[i] = catalog.Server{ID: fmt.Sprintf("i-%02d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "s", Hall: "h", Capacity: 6}
	}
	return list
}

func newBalancer(n int) *placement.Balancer {
	b := placement.NewBalancer(placement.DefaultPolicy())
	b.SetServers(start, servers(n), engine)
	return b
}

// longRequest returns a request with a large shared part.
func longRequest(key uint64) *placement.Request {
	return &placement.Request{
		Service: "s", Hall: "h", PromptTokens: 17000, OutputTokens: 100, Objective: 800 * time.Millisecond, Remaining: 12 * time.Second, CallerTimeout: 3200 * time.Millisecond,
		Parts: []placement.Part{{Hash: key, Tokens: 13300}, {Hash: key ^ 0xffff, Tokens: 3700}},
	}
}

// place places a request and records it as sent.
func place(b *placement.Balancer, now time.Time, a *placement.Request) placement.Decision {
	d := b.Place(now, a)
	if assign, ok := d.(placement.Assign); ok {
		b.RecordSent(now, assign.Load, false) // not own, so that it takes no slot: these tests are about prefill
	}
	return d
}

func TestSharedPrefixAffinity(t *testing.T) {
	b := newBalancer(9)
	first := place(b, start, longRequest(7)).(placement.Assign)
	for i := range 5 {
		now := start.Add(time.Duration(i+1) * time.Second)
		next := place(b, now, longRequest(7)).(placement.Assign)
		require.Equal(t, first.Server.ID, next.Server.ID)
		require.Less(t, next.Load.Work, first.Load.Work/2, "the shared part must not be recomputed")
	}
}

func TestSharedPrefixUsesFewServers(t *testing.T) {
	b := newBalancer(9)
	used := map[string]bool{}
	for range 40 {
		if a, ok := place(b, start, longRequest(7)).(placement.Assign); ok {
			used[a.Server.ID] = true
		}
	}
	require.LessOrEqual(t, len(used), placement.DefaultPolicy().AffinityServers)
}

func TestAffinityIsStable(t *testing.T) {
	const keys = 200
	before, after := newBalancer(9), placement.NewBalancer(placement.DefaultPolicy())
	after.SetServers(start, servers(9)[:8], engine)
	moved := 0
	for k := range uint64(keys) {
		a := before.Place(start, longRequest(k*7919)).(placement.Assign)
		c := after.Place(start, longRequest(k*7919)).(placement.Assign)
		if a.Server.ID != c.Server.ID {
			moved++
			require.Equal(t, "i-08", a.Server.ID, "only the parts of the removed server may move")
		}
	}
	require.Positive(t, moved)
}

func TestShortPromptsUseIdleServers(t *testing.T) {
	b := newBalancer(2)
	for range 3 {
		place(b, start, longRequest(7))
	}
	busy := b.Place(start, longRequest(7))
	short := &placement.Request{Service: "s", Hall: "h", PromptTokens: 1000, Objective: 600 * time.Millisecond,
		Parts: []placement.Part{{Hash: 1, Tokens: 200}, {Hash: 2, Tokens: 800}}}
	a := b.Place(start, short).(placement.Assign)
	if assign, ok := busy.(placement.Assign); ok {
		require.LessOrEqual(t, a.Predicted, assign.Predicted)
	}
	require.Less(t, a.Predicted, 600*time.Millisecond)
}

func TestRefusals(t *testing.T) {
	fill := func(b *placement.Balancer, n int) {
		for range n {
			for _, s := range servers(9) {
				b.RecordSent(start, placement.Load{Server: s.ID, Work: 100 * time.Millisecond}, false)
			}
		}
	}
	tests := []struct {
		name   string
		load   int // units of 100 ms on every server
		change func(a *placement.Request)
		reason placement.Reason // "": assigned
		held   bool             // held rather than refused
	}{
		{"idle", 0, func(*placement.Request) {}, "", false},
		{"late everywhere", 8, func(*placement.Request) {}, placement.TooLate, true},
		{"later than the caller's timeout", 30, func(*placement.Request) {}, placement.TooLate, false},
		{"late already, idle", 0, func(a *placement.Request) { a.Objective = -time.Second }, "", false},
		{"late already, busy", 2, func(a *placement.Request) { a.Objective = -time.Second }, placement.TooLate, true},
		{"held as late, close to the caller's timeout", 8, func(a *placement.Request) {
			a.Objective, a.HoldReason, a.Waited, a.CallerTimeout = -time.Second, placement.TooLate, 2*time.Second, 1100*time.Millisecond
		}, "", false},
		{"no objective", 30, func(a *placement.Request) { a.Objective = 0 }, "", false},
		{"over its share, idle", 0, func(a *placement.Request) { a.OverShare, a.ShareRatio = true, 3 }, "", false},
		{"over its share, servers busy", 1, func(a *placement.Request) { a.OverShare, a.ShareRatio = true, 1 }, placement.OverShare, true},
		{"over its share, held briefly", 1, func(a *placement.Request) {
			a.OverShare, a.ShareRatio, a.HoldReason, a.Waited = true, 1, placement.OverShare, 200*time.Millisecond
		}, placement.OverShare, false},
		{"over its share, late everywhere", 8, func(a *placement.Request) { a.OverShare, a.ShareRatio = true, 1 }, placement.OverShare, false},
		{"over its share, behind the others, servers busy", 2, func(a *placement.Request) { a.OverShare, a.ShareRatio = true, 0.4 }, "", false},
		{"over its share, ahead of the others, servers busy", 2, func(a *placement.Request) { a.OverShare, a.ShareRatio = true, 1.6 }, placement.OverShare, true},
		{"within its share, servers busy", 2, func(*placement.Request) {}, "", false},
		{"too long to be in time, idle", 0, func(a *placement.Request) { a.PromptTokens = 90000 }, "", false},
		{"too long to be in time, busy", 8, func(a *placement.Request) { a.PromptTokens = 60000 }, placement.TooLate, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBalancer(9)
			fill(b, test.load)
			a := longRequest(7)
			test.change(a)
			switch d := b.Place(start, a).(type) {
			case placement.Assign:
				require.Empty(t, test.reason)
			case placement.Hold:
				require.Equal(t, test.reason, d.Reason)
				require.True(t, test.held)
			case placement.Refuse:
				require.False(t, test.held)
				require.Equal(t, test.reason, d.Reason)
				require.Positive(t, d.RetryAfter)
				require.LessOrEqual(t, d.RetryAfter, a.Remaining/3, "callers wait no longer")
			default:
				t.Fatalf("decision %T", d)
			}
		})
	}
}

// TestSurplusOccupancy: a request beyond its account's share gets no server with more than
// half of its slots in use, unless its account is far behind the others.
func TestSurplusOccupancy(t *testing.T) {
	tests := []struct {
		name    string
		running int // of 64 slots
		over    bool
		ahead   float64
		want    placement.Decision
	}{
		{"under half", 32, true, 1, placement.Assign{}},
		{"over half", 33, true, 1, placement.Hold{}},
		{"over half, far behind", 33, true, 0.3, placement.Assign{}},
		{"over half, within its share", 33, false, 1, placement.Assign{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBalancer(3)
			for _, s := range servers(3) {
				b.SetRemoteRunning(s.ID, test.running)
			}
			a := longRequest(7)
			a.OverShare, a.ShareRatio = test.over, test.ahead
			require.IsType(t, test.want, b.Place(start, a))
		})
	}
}

// TestIdleSurplusWait: while half of the servers are idle, a request beyond its account's
// share may wait briefly for the server that caches its shared part.
func TestIdleSurplusWait(t *testing.T) {
	tests := []struct {
		name   string
		holder time.Duration // work at the server that caches the part
		other  time.Duration // work at the other server
		want   placement.Decision
	}{
		{"both idle", 0, 0, placement.Assign{}},
		{"short queue at the holder", 15 * time.Millisecond, 0, placement.Assign{}},
		{"long queue at the holder", 40 * time.Millisecond, 0, placement.Hold{}},
		{"both busy", 15 * time.Millisecond, time.Millisecond, placement.Hold{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBalancer(2)
			a := longRequest(7)
			b.RecordCached(start, "i-00", []uint64{a.Parts[0].Hash})
			b.RecordSent(start, placement.Load{Server: "i-00", Work: test.holder}, false)
			b.RecordSent(start, placement.Load{Server: "i-01", Work: test.other}, false)
			a.OverShare, a.ShareRatio = true, 1.5
			d := b.Place(start, a)
			require.IsType(t, test.want, d)
			if assign, ok := d.(placement.Assign); ok {
				require.Equal(t, "i-00", assign.Server.ID)
			}
		})
	}
}

// TestNoRefusalWhileIdle: an idle service accepts any request.
func TestNoRefusalWhileIdle(t *testing.T) {
	for _, over := range []bool{false, true} {
		for _, prompt := range []int{10, 1000, 17000, 60000, 400000} {
			a := longRequest(uint64(prompt))
			a.PromptTokens, a.OverShare, a.ShareRatio = prompt, over, 1.5
			require.IsType(t, placement.Assign{}, newBalancer(9).Place(start, a))
		}
	}
}

// TestSurplusOnIdleServers: a request beyond its account's share goes to an idle server when
// its affinity server is busy, provided that it has little to recompute there and the account
// got no more than an even part of what was admitted.
func TestSurplusOnIdleServers(t *testing.T) {
	short := func() *placement.Request {
		return &placement.Request{
			Service: "s", Hall: "h", PromptTokens: 1460, OutputTokens: 100, Objective: 600 * time.Millisecond, Remaining: 15 * time.Second, CallerTimeout: 5 * time.Second,
			Parts: []placement.Part{{Hash: 1, Tokens: 210}, {Hash: 2, Tokens: 140}, {Hash: 3, Tokens: 1110}}, OverShare: true, ShareRatio: 0.9,
		}
	}
	tests := []struct {
		name string
		req  func() *placement.Request
		busy int // servers with a backlog, the request's affinity server first
		sent bool
	}{
		{"short, affinity server busy", short, 1, true},
		{"short, all busy", short, 9, false},
		{"short, account ahead of others", func() *placement.Request {
			a := short()
			a.ShareRatio = 1.2
			return a
		}, 1, false},
		{"long, affinity server busy", func() *placement.Request {
			a := longRequest(7)
			a.OverShare, a.ShareRatio = true, 0.9
			return a
		}, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBalancer(9)
			own := place(b, start, test.req()).(placement.Assign).Server.ID
			now := start.Add(2 * time.Second)
			// Little enough that the affinity server is still the cheapest.
			b.RecordSent(now, placement.Load{Server: own, Work: 40 * time.Millisecond}, false)
			for _, s := range servers(9)[:test.busy] {
				if s.ID != own && test.busy > 1 {
					b.RecordSent(now, placement.Load{Server: s.ID, Work: 200 * time.Millisecond}, false)
				}
			}
			assign, ok := b.Place(now, test.req()).(placement.Assign)
			require.Equal(t, test.sent, ok)
			if ok {
				require.NotEqual(t, own, assign.Server.ID)
				require.Zero(t, assign.QueueTime)
			}
		})
	}
}

func TestFailingServersGetLess(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	b.SetServers(start, servers(3), plain)
	req := &placement.Request{Service: "s", Hall: "h"}
	bad := b.Place(start, req).(placement.Assign).Server.ID
	for range 5 {
		b.RecordEnd(start, bad, false, placement.Failed)
	}
	require.NotEqual(t, bad, b.Place(start, req).(placement.Assign).Server.ID)
	later := start.Add(time.Minute)
	require.Equal(t, bad, b.Place(later, req).(placement.Assign).Server.ID, "it is tried again")
}

func TestUnreachableServersAreEjected(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	b.SetServers(start, servers(2), plain)
	req := &placement.Request{Service: "s", Hall: "h"}
	b.RecordEnd(start, "i-00", false, placement.Unreachable)
	require.Equal(t, "i-01", b.Place(start, req).(placement.Assign).Server.ID)
	b.RecordEnd(start, "i-01", false, placement.Unreachable)
	require.IsType(t, placement.Assign{}, b.Place(start, req), "if all are ejected, one is tried")
}

func TestIneligibleServers(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	list := servers(3)
	list[0].Leaving = true
	b.SetServers(start, list, plain)
	for range 10 {
		a := b.Place(start, &placement.Request{Service: "s", Exclude: []string{"i-01"}}).(placement.Assign)
		require.Equal(t, "i-02", a.Server.ID)
		b.RecordSent(start, a.Load, true)
	}
	require.Equal(t, placement.NoServer{}, b.Place(start, &placement.Request{Service: "s", Exclude: []string{"i-01", "i-02"}}))
	require.Equal(t, placement.NoServer{}, b.Place(start, &placement.Request{Service: "other"}))
}

// TestEvacuatedAndColdServers: evacuated and cold servers get no requests, and a request is
// refused as cold when they are the only ones.
func TestEvacuatedAndColdServers(t *testing.T) {
	soon := start.Add(700 * time.Millisecond)
	tests := []struct {
		name   string
		change func(list []catalog.Server)
		closed map[string]time.Time
		want   []string // servers that get requests
		refuse time.Duration
	}{
		{"all take work", nil, nil, []string{"i-00", "i-01", "i-02"}, 0},
		{"one is evacuated", func(l []catalog.Server) { l[0].Evacuated = true }, nil, []string{"i-01", "i-02"}, 0},
		{"one is cold", nil, map[string]time.Time{"i-01": soon}, []string{"i-00", "i-02"}, 0},
		{"one was cold", nil, map[string]time.Time{"i-01": start}, []string{"i-00", "i-01", "i-02"}, 0},
		{"the others are evacuated", func(l []catalog.Server) { l[0].Evacuated, l[2].Evacuated = true, true }, map[string]time.Time{"i-01": soon}, nil, soon.Sub(start)},
		{"all are cold", nil, map[string]time.Time{"i-00": soon.Add(time.Second), "i-01": soon, "i-02": soon.Add(time.Second)}, nil, soon.Sub(start)},
	}
	for _, test := range tests {
		for name, engine := range map[string]func(string) *catalog.Engine{"plain": plain, "engines": engine} {
			t.Run(test.name+", "+name, func(t *testing.T) {
				b := placement.NewBalancer(placement.DefaultPolicy())
				list := servers(3)
				if test.change != nil {
					test.change(list)
				}
				b.SetServers(start, list, engine)
				for id, until := range test.closed {
					b.CloseUntil(id, until)
				}
				got := map[string]bool{}
				for range 30 {
					switch d := b.Place(start, &placement.Request{Service: "s", PromptTokens: 100, TieBreak: uint64(len(got))}).(type) {
					case placement.Assign:
						got[d.Server.ID] = true
						b.RecordSent(start, d.Load, true)
					case placement.Refuse:
						require.Equal(t, placement.Cold, d.Reason)
						require.Equal(t, test.refuse, d.RetryAfter)
					}
				}
				require.Len(t, got, len(test.want))
				for _, id := range test.want {
					require.True(t, got[id], id)
				}
			})
		}
	}
}

// TestRegions: a request that is bound to regions goes nowhere else, and does not cause copies
// from elsewhere either.
func TestRegions(t *testing.T) {
	tests := []struct {
		name    string
		regions catalog.Regions
		want    []string
	}{
		{"bound to none", nil, []string{"i-00", "i-01", "i-02"}},
		{"one region", catalog.Regions{"north"}, []string{"i-00"}},
		{"two regions", catalog.Regions{"north", "south"}, []string{"i-00", "i-01"}},
		{"nowhere", catalog.Regions{}, nil},
	}
	copyEngine := func(string) *catalog.Engine {
		return &catalog.Engine{Slots: 64, KVTokens: 500000, BytesPerToken: 160000, LinkMbps: 500000}
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := placement.NewBalancer(placement.DefaultPolicy())
			b.SetRegions(map[string]string{"n": "north", "s": "south"})
			list := servers(3)
			list[0].Hall, list[1].Hall, list[2].Hall = "n", "s", "unknown"
			b.SetServers(start, list, copyEngine)
			b.RecordCached(start, "i-02", []uint64{1})
			got := map[string]bool{}
			for n := range 30 {
				a := &placement.Request{Service: "s", PromptTokens: 5100, Parts: []placement.Part{{Hash: 1, Tokens: 5000}, {Hash: uint64(n + 2), Tokens: 100}}, Regions: test.regions, TieBreak: uint64(n)}
				d, ok := b.Place(start, a).(placement.Assign)
				if !ok {
					continue
				}
				got[d.Server.ID] = true
				b.RecordSent(start, d.Load, true)
				if test.regions != nil {
					require.Empty(t, d.CopyFrom)
				}
			}
			require.LessOrEqual(t, len(got), len(test.want))
			require.Equal(t, len(test.want) > 0, len(got) > 0)
			for id := range got {
				require.Contains(t, test.want, id)
			}
		})
	}
}

// TestRecoveryAfterOverload: after a burst far beyond the servers' capacity, requests meet
// their objective again within seconds, and shared parts are still cached where they were.
func TestRecoveryAfterOverload(t *testing.T) {
	b := newBalancer(3)
	const parts = 12
	now := start
	for i := range 600 { // ten seconds at three times the sustainable rate
		now = now.Add(16 * time.Millisecond)
		place(b, now, longRequest(uint64(i%parts)*7919))
	}
	now = now.Add(time.Second)
	refused, work := 0, time.Duration(0)
	const calm = 60
	for i := range calm {
		now = now.Add(100 * time.Millisecond)
		a, ok := place(b, now, longRequest(uint64(i%parts)*7919)).(placement.Assign)
		if !ok {
			refused++
			continue
		}
		work += a.Load.Work
	}
	require.Zero(t, refused)
	require.Less(t, work/calm, 150*time.Millisecond, "shared parts must not be recomputed")
}

// BenchmarkPlace places requests whose shared parts are cached at some servers, with half of
// the servers busy.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{12, 60, 180, 10000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer := newBalancer(n)
			const parts = 3
			for i := range n * parts {
				d := balancer.Place(start, longRequest(uint64(i)<<20))
				if assign, ok := d.(placement.Assign); ok {
					balancer.RecordSent(start, assign.Load, false)
				}
			}
			now := start.Add(500 * time.Millisecond)
			for i := 0; b.Loop(); i++ {
				balancer.Place(now, longRequest(uint64(i%(n*parts))<<20))
			}
		})
	}
}
