package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/peer/peerpb"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/surplus"
)

// newSurplusDispatcher returns a dispatcher with package surplus in use.
func newSurplusDispatcher(t testing.TB, now time.Time, servers int) *dispatcher {
	t.Helper()
	d := newTestDispatcher(t, now, servers)
	d.settings.Features.IdleSurplus = On
	d.setView(now, d.view)
	require.NotNil(t, d.surplus)
	return d
}

// TestSurplusSwitch checks that package surplus decides only if the setting and the configuration
// ask for it, also when the configuration changes.
func TestSurplusSwitch(t *testing.T) {
	tests := []struct {
		name string
		idle bool
		rate float64
		want bool
	}{
		{"off", false, 1000, false},
		{"on", true, 1000, true},
		{"no token rate", true, 0, false},
	}
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, err := catalog.NewConfiguration(catalog.Document{Limits: catalog.Limits{TokensPerSecond: test.rate}})
			require.NoError(t, err)
			d.settings.Features.IdleSurplus = onIf(test.idle)
			d.setView(now, &View{Configuration: c})
			require.Equal(t, test.want, d.surplus != nil)
		})
	}
	d.setView(now, &View{})
	require.Nil(t, d.surplus, "no configuration")
}

// TestStreamEndsCount guards against requests beyond the shares that are served although streams within the
// shares pause: only these count, and only while this process sees their events in time.
func TestStreamEndsCount(t *testing.T) {
	ended := attemptEnded{service: "s", end: placement.Served, withinShare: true, paused: true, events: 10}
	tests := []struct {
		name   string
		change func(d *dispatcher, m *attemptEnded)
		want   bool
	}{
		{"streams pause", func(*dispatcher, *attemptEnded) {}, true},
		{"streams do not pause", func(_ *dispatcher, m *attemptEnded) { m.paused = false }, false},
		{"streams beyond the shares pause", func(_ *dispatcher, m *attemptEnded) { m.withinShare = false }, false},
		{"not a whole stream", func(_ *dispatcher, m *attemptEnded) { m.events = 0 }, false},
		{"streams fail", func(_ *dispatcher, m *attemptEnded) { m.end = placement.Failed }, false},
		{"this process is late", func(d *dispatcher, _ *attemptEnded) {
			d.lateness = func(_, _ time.Time) time.Duration { return time.Second }
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := newSurplusDispatcher(t, now, 1)
			m := ended
			test.change(d, &m)
			for range 20 {
				d.recordStreamEnd(now, m)
			}
			require.Equal(t, test.want, d.surplus.StreamsLate(now, "s"))
		})
	}
}

// TestWaitersInOrder guards against waiting requests that are served out of order: those within
// their share come first, and then go priority, share and age.
func TestWaitersInOrder(t *testing.T) {
	now := time.Now()
	d := newSurplusDispatcher(t, now, 1)
	d.overdraw(now, "much", 60_000)
	d.overdraw(now, "less", 55_000)
	d.addWork(now, 60*time.Millisecond)
	type arrival struct {
		name, account string
		priority      int
		age           time.Duration
	}
	var order []string
	replies := map[string]chan placement.Decision{}
	for _, a := range []arrival{
		{"much", "much", 1, 0},
		{"much, older", "much", 1, 50 * time.Millisecond},
		{"less", "less", 1, 0},
		{"much, urgent", "much", 0, 0},
		{"within", "other", 2, 0},
	} {
		reply, _ := d.placeRequest(now, a.account, func(r *placement.Request) {
			r.Priority, r.FirstAttempt, r.PromptTokens = a.priority, now.Add(-a.age), 1000
			r.Objective, r.FullObjective = 2*time.Second, 2*time.Second
			if a.name == "within" {
				r.Objective = 50 * time.Millisecond // late, so that it waits
			}
		})
		require.Empty(t, reply, a.name)
		replies[a.name] = reply
	}
	for at := now.Add(60 * time.Millisecond); len(order) < len(replies) && at.Before(now.Add(500*time.Millisecond)); at = at.Add(90 * time.Millisecond) {
		d.scanWaiting(at) // the server is idle each time
		for _, name := range []string{"much", "much, older", "less", "much, urgent", "within"} {
			if len(replies[name]) > 0 {
				require.IsType(t, placement.Assign{}, <-replies[name])
				order = append(order, name)
			}
		}
	}
	require.Equal(t, []string{"within", "much, urgent", "less", "much, older", "much"}, order)
}

// TestUnmetDemandTravels checks that a gateway tells what it refused or has waiting, that the other one
// leaves a server to it, and that this ends when the first gateway is silent.
func TestUnmetDemandTravels(t *testing.T) {
	now := time.Now()
	first, second := newSurplusDispatcher(t, now, 1), newSurplusDispatcher(t, now, 1)
	for _, d := range []*dispatcher{first, second} {
		d.overdraw(now, "behind", 6000)
		d.overdraw(now, "ahead", 4500)
	}
	first.addWork(now, 80*time.Millisecond)
	short := func(r *placement.Request) {
		r.Objective, r.FullObjective, r.FirstAttempt = 600*time.Millisecond, 600*time.Millisecond, now
		r.Priority = 3
	}
	for range 3 {
		waiting, _ := first.placeRequest(now, "ahead", short)
		require.Empty(t, waiting)
	}
	first.publishDemands(now)
	told := first.peerState.Load().Demands
	require.Len(t, told, 2)
	for _, p := range told {
		if p.Account == "behind" {
			require.Zero(t, p.Unmet)
			continue
		}
		require.EqualValues(t, 3000, p.Unmet)
		require.EqualValues(t, 3, p.Priority)
		require.Positive(t, p.Need)
	}
	second.applyUpdate(now, peer.Update{From: "10.0.0.1", Alive: true, Full: true, HasDemands: true, Demands: told})
	second.shares.Recompute(now, 1000)
	long := func(r *placement.Request) { // it and the others' requests are more than the server can take
		short(r)
		r.PromptTokens = 4300
	}
	held, _ := second.placeRequest(now, "behind", long)
	require.Empty(t, held, "it waits for the other gateway's requests")
	require.Equal(t, placement.Surplus{Reason: surplus.Behind, Ahead: "ahead", Need: second.queue.waiters[0].hold.Surplus.Need}, second.queue.waiters[0].hold.Surplus)
	urgent, _ := second.placeRequest(now, "behind", func(r *placement.Request) {
		long(r)
		r.Priority = 0
	})
	require.IsType(t, placement.Assign{}, <-urgent)

	second.applyUpdate(now, peer.Update{From: "10.0.0.1"}) // it has died
	later := now.Add(500 * time.Millisecond)
	granted, _ := second.placeRequest(later, "behind", long)
	require.IsType(t, placement.Assign{}, <-granted)
}

// TestOldDemandsAreHarmless checks that reports of gateways that know nothing of unmet demand, and
// reports that make no sense, hold back nobody for longer than the protection.
func TestOldDemandsAreHarmless(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		demand *peerpb.Demand
		after  time.Duration
	}{
		{"old gateway", &peerpb.Demand{Account: "ahead", Asked: 9000, Admitted: 10}, 0},
		{"priority only", &peerpb.Demand{Account: "ahead", Asked: 9000, Admitted: 10, Priority: 0, OldestMs: 5000}, 0},
		{"largest values", &peerpb.Demand{Account: "ahead", Asked: 9000, Admitted: 4000, Unmet: 1<<32 - 1, OldestMs: 1<<32 - 1, Need: 1}, 500 * time.Millisecond},
		{"largest age", &peerpb.Demand{Account: "ahead", Asked: 9000, Admitted: 4000, Unmet: 1, RecentMs: 1<<32 - 1}, 0},
		{"largest priority", &peerpb.Demand{Account: "ahead", Asked: 9000, Admitted: 4000, Unmet: 1 << 20, Priority: 1<<32 - 1}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newSurplusDispatcher(t, now, 1)
			d.overdraw(now, "a", 5000)
			d.applyUpdate(now, peer.Update{From: "10.0.0.1", Alive: true, Full: true, HasDemands: true, Demands: []*peerpb.Demand{test.demand}})
			reply, _ := d.placeRequest(now.Add(test.after), "a", func(r *placement.Request) { r.FirstAttempt = now })
			require.IsType(t, placement.Assign{}, <-reply)
		})
	}
}

// TestRefusalsAreScheduled checks that requests beyond their account's share are refused with
// increasing delays, and that those beside an idle server are marked, if the setting is on.
func TestRefusalsAreScheduled(t *testing.T) {
	now := time.Now()
	for _, idle := range []bool{false, true} {
		d := newTestDispatcher(t, now, 1)
		d.settings.Features.IdleSurplus = onIf(idle)
		d.setView(now, d.view)
		d.overdraw(now, "other", 4000)
		d.overdraw(now, "a", 7000) // capped
		last := time.Duration(0)
		for range 3 {
			reply, _ := d.placeRequest(now, "a", func(r *placement.Request) {
				r.Objective, r.FullObjective, r.FirstAttempt = 4*time.Second, 4*time.Second, now
			})
			refused := (<-reply).(placement.Refuse)
			require.Equal(t, idle, refused.BesideIdle, "checked only if the setting is on")
			if !idle {
				require.Equal(t, 200*time.Millisecond, refused.RetryAfter, "as before")
				require.Empty(t, refused.Surplus)
				continue
			}
			require.Greater(t, refused.RetryAfter, last)
			require.Equal(t, surplus.Capped, refused.Surplus.Reason)
			last = refused.RetryAfter
		}
		if idle {
			require.Empty(t, d.surplus.OwnDemands(now), "a capped account keeps nothing from others")
		}
	}
}

// TestUnmetBytes measures what unmet demand adds to the beacons, for docs/CAPACITY.md: what a gateway
// sends, and what it reads from all others, must stay within 10 KB/s.
func TestUnmetBytes(t *testing.T) {
	const intervals = 2000
	now := time.Now()
	for _, accounts := range []int{2, 30} {
		for _, gateways := range []int{30, 300, 2400} {
			d := newSurplusDispatcher(t, now, 1)
			for i := range gateways - 1 {
				d.peerRunning[fmt.Sprint(i)] = nil
			}
			added := 0
			for range intervals {
				var list []*peerpb.Demand
				for i := range accounts {
					u := surplus.Demand{Account: fmt.Sprintf("account-%02d", i), Priority: 1, FirstAttempt: now.Add(-2 * time.Second), Tokens: 100_000, Need: 0.5}
					d.surplus.RecordUnmet(now, u)
					list = append(list, &peerpb.Demand{Account: u.Account, Asked: 1 << 20, Admitted: 1 << 19})
				}
				beacon := &peerpb.Beacon{Demands: list}
				before := proto.Size(beacon)
				d.addUnmet(now.Add(100*time.Millisecond), list)
				added += proto.Size(beacon) - before
				d.shareUpdates++
			}
			sent := float64(added) / intervals / shareInterval.Seconds()
			fmt.Printf("figure unmet-%d-accounts-%d %.1f B/s sent %.1f KB/s read\n", accounts, gateways, sent, sent*float64(gateways-1)/1000)
			require.LessOrEqual(t, sent*float64(gateways-1), 10_000.0)
		}
	}
}
