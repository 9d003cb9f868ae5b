package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/surplus"
)

// beyondShare returns a short request of account "a", beyond its share and the even share.
func beyondShare() *placement.Request {
	return &placement.Request{
		Service: "s", Account: "a", Hall: "h", PromptTokens: 1460, OutputTokens: 100,
		Objective: 600 * time.Millisecond, FullObjective: 600 * time.Millisecond, Remaining: 15 * time.Second, CallerTimeout: 5 * time.Second,
		Parts: []placement.Part{{Hash: 1, Tokens: 350}, {Hash: 3, Tokens: 1110}}, OverShare: true, ShareRatio: 1.5, FirstAttempt: start,
	}
}

// TestSurplusServers guards against requests beyond their share that are refused although a server
// other than the cheapest is idle, and against those that have shared parts prefilled again while
// a server that caches them is about to be idle.
func TestSurplusServers(t *testing.T) {
	const busy, long = 40 * time.Millisecond, 400 * time.Millisecond // little enough that the server that caches the parts is still the cheapest
	tests := []struct {
		name   string
		work   []time.Duration // queued at each server
		cached []string        // servers that cache the shared part
		change func(r *placement.Request)
		want   placement.Decision
		server string
		reason surplus.Reason
		off    placement.Decision // without the table
	}{
		{"cheapest is busy, another one caches the parts", []time.Duration{busy, 0, long}, []string{"i-00", "i-01"}, nil, placement.Assign{}, "i-01", surplus.ServerIdle, placement.Assign{}},
		{"no idle server caches the parts", []time.Duration{busy, long, 0}, []string{"i-00"}, nil, placement.Hold{}, "", surplus.NoneCached, placement.Hold{}},
		{"the same, after a while", []time.Duration{busy, long, 0}, []string{"i-00"}, func(r *placement.Request) { r.Objective, r.Waited = 525*time.Millisecond, 75*time.Millisecond }, placement.Assign{}, "i-02", surplus.ServerIdle, placement.Refuse{}},
		{"none is idle", []time.Duration{busy, long, long}, []string{"i-00"}, nil, placement.Hold{}, "", surplus.NoneIdle, placement.Hold{}},
		{"none was idle for long", []time.Duration{busy, long, long}, []string{"i-00"}, func(r *placement.Request) { r.Objective, r.Waited = 450*time.Millisecond, 150*time.Millisecond }, placement.Refuse{}, "", surplus.NoneIdle, placement.Refuse{}},
		{"less than an even share", []time.Duration{busy, long, long}, []string{"i-00"}, func(r *placement.Request) { r.ShareRatio = 0.4 }, placement.Assign{}, "i-00", surplus.ByShare, placement.Assign{}},
		{"far ahead of a backlogged account", []time.Duration{0, 0, 0}, []string{"i-00"}, func(r *placement.Request) { r.Capped = true }, placement.Refuse{}, "", surplus.Capped, placement.Refuse{}},
		{"within its share", []time.Duration{busy, long, long}, []string{"i-00"}, func(r *placement.Request) { r.OverShare = false }, placement.Assign{}, "i-00", "", placement.Assign{}},
		{"late, idle", []time.Duration{busy, 0, long}, []string{"i-00", "i-01"}, func(r *placement.Request) { r.Objective = -time.Second }, placement.Assign{}, "i-01", surplus.ServerIdle, placement.Assign{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, on := range []bool{true, false} {
				b := newBalancer(3)
				if on {
					b.SetSurplus(surplus.NewTable(func(string) float64 { return 1.5 }), nil)
				}
				for _, s := range test.cached {
					b.RecordCached(start, s, []uint64{1})
				}
				for i, work := range test.work {
					b.RecordSent(start, placement.Load{Server: servers(3)[i].ID, Work: work}, false)
				}
				r := beyondShare()
				if test.change != nil {
					test.change(r)
				}
				d := b.Place(start, r)
				if !on {
					require.IsType(t, test.off, d, "without the table")
					continue
				}
				require.IsType(t, test.want, d)
				switch d := d.(type) {
				case placement.Assign:
					require.Equal(t, test.server, d.Server.ID)
					require.Equal(t, test.reason, d.Surplus.Reason)
				case placement.Hold:
					require.Equal(t, test.reason, d.Surplus.Reason)
					require.Equal(t, placement.OverShare, d.Reason)
				case placement.Refuse:
					require.Equal(t, test.reason, d.Surplus.Reason)
				}
			}
		})
	}
}

// TestSurplusOrder checks that a request waits for an account that comes first, only for requests
// that the idle server can serve in time, and not for what the servers can take besides.
func TestSurplusOrder(t *testing.T) {
	tests := []struct {
		name string
		idle int // servers
		need float64
		age  time.Duration // of the other account's demand
		want placement.Decision
	}{
		{"one server for both", 1, 0.5, 0, placement.Hold{}},
		{"several servers", 4, 0.5, 0, placement.Assign{}},
		{"too long a prompt, at first", 1, 9, 400 * time.Millisecond, placement.Hold{}},
		{"too long a prompt", 1, 9, 600 * time.Millisecond, placement.Assign{}},
		{"not recent", 1, 0.5, 1200 * time.Millisecond, placement.Assign{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := surplus.NewTable(func(account string) float64 { return map[string]float64{"a": 1.5, "b": 1.2}[account] })
			b := newBalancer(5)
			b.SetSurplus(table, nil)
			for age := time.Duration(0); age <= min(test.age, 600*time.Millisecond); age += 100 * time.Millisecond {
				table.RecordUnmet(start.Add(age), surplus.Demand{Account: "b", FirstAttempt: start, Tokens: 40_000, Need: test.need})
			}
			now := start.Add(test.age)
			for i, s := range servers(5) {
				b.RecordCached(now, s.ID, []uint64{1})
				if i >= test.idle {
					b.RecordSent(now, placement.Load{Server: s.ID, Work: 300 * time.Millisecond}, false)
				}
			}
			require.IsType(t, test.want, b.Place(now, beyondShare()))
		})
	}
}

// TestSurplusWhileStreamsAreLate guards against requests beyond the shares that get idle servers while streams
// within the shares are late.
func TestSurplusWhileStreamsAreLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		b := newBalancer(3)
		table := surplus.NewTable(func(string) float64 { return 1.5 })
		b.SetSurplus(table, nil)
		for range 100 {
			table.RecordStream(start, "s", late)
		}
		b.RecordCached(start, "i-00", []uint64{1})
		for i, work := range []time.Duration{40 * time.Millisecond, 400 * time.Millisecond, 0} {
			b.RecordSent(start, placement.Load{Server: servers(3)[i].ID, Work: work}, false)
		}
		r := beyondShare()
		r.Objective, r.Waited = 525*time.Millisecond, 75*time.Millisecond
		want := placement.Decision(placement.Assign{})
		if late {
			want = placement.Refuse{}
		}
		d := b.Place(start, r)
		require.IsType(t, want, d, "late: %t", late)
		if d, ok := d.(placement.Refuse); ok {
			require.Equal(t, surplus.Closed, d.Surplus.Reason)
		}
	}
}

// TestHasSuitable checks which refusals count as made beside an idle server.
func TestHasSuitable(t *testing.T) {
	tests := []struct {
		name   string
		work   time.Duration // queued at the server
		prompt int
		own    int // requests running there
		want   bool
	}{
		{"idle", 0, 1000, 0, true},
		{"half of the slots free", 0, 1000, 32, true},
		{"more slots in use", 0, 1000, 33, false},
		{"a prompt is queued", time.Millisecond, 1000, 0, false},
		{"first event in more than a quarter of the objective", 0, 6000, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBalancer(1)
			for range test.own {
				b.RecordSent(start, placement.Load{Server: "i-00"}, true)
			}
			b.RecordSent(start, placement.Load{Server: "i-00", Work: test.work}, false)
			r := beyondShare()
			r.PromptTokens, r.Parts = test.prompt, nil
			require.Equal(t, test.want, b.HasSuitable(start, r))
			require.Equal(t, test.own <= 32 && test.work == 0, b.HasIdle(start, r))
		})
	}
}

// BenchmarkSurplus measures decisions on requests beyond their share among 180 servers, half of
// which are idle, with 30 accounts ahead: the whole decision, without the table, and the check that is made
// for each refusal.
func BenchmarkSurplus(b *testing.B) {
	newWorld := func(on bool) *placement.Balancer {
		balancer := newBalancer(180)
		if on {
			table := surplus.NewTable(func(string) float64 { return 1 })
			for i := range 30 {
				table.RecordUnmet(start, surplus.Demand{Account: string(rune('A' + i)), FirstAttempt: start, Tokens: 1e6, Need: 0.1})
			}
			balancer.SetSurplus(table, nil)
		}
		for i, s := range servers(180) {
			if i%2 == 0 {
				balancer.RecordSent(start, placement.Load{Server: s.ID, Work: 20 * time.Millisecond}, false)
				balancer.RecordCached(start, s.ID, []uint64{1}) // the servers that cache the shared part are busy
			}
		}
		return balancer
	}
	for _, on := range []bool{false, true} {
		b.Run(map[bool]string{false: "share", true: "idle"}[on], func(b *testing.B) {
			balancer := newWorld(on)
			r := beyondShare()
			for b.Loop() {
				balancer.Place(start, r)
			}
		})
	}
	b.Run("refusal", func(b *testing.B) {
		balancer := newWorld(true)
		r := beyondShare()
		r.PromptTokens = 100_000 // no server suits, so all idle ones are looked at
		for b.Loop() {
			balancer.HasSuitable(start, r)
		}
	})
}
