package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"opalbridge.dev/dispatch"
	"opalbridge.dev/fair"
)

var class = dispatch.Class{Account: 1, Pool: "p"}

func TestQueueRejectsAboveLimit(t *testing.T) {
	var q dispatch.Queue
	for range 2 {
		require.IsType(t, dispatch.Queued{}, q.Enqueue(&dispatch.Request{Class: class}, 2, 0))
	}
	refused, ok := q.Enqueue(&dispatch.Request{Class: class}, 2, 5*time.Second).(dispatch.Rejected)
	require.True(t, ok)
	require.Equal(t, 5*time.Second, refused.RetryAfter)
	require.IsType(t, dispatch.Queued{}, q.Enqueue(&dispatch.Request{Class: dispatch.Class{Account: 2, Pool: "p"}}, 2, 0),
		"another account is not disturbed")
}

func TestDequeuePrefersCachedPrefix(t *testing.T) {
	var q dispatch.Queue
	first := &dispatch.Request{ID: "first", Class: class, Prefix: 1}
	second := &dispatch.Request{ID: "second", Class: class, Prefix: 2}
	q.Enqueue(first, 9, 0)
	q.Enqueue(second, 9, 0)
	require.Same(t, second, q.Dequeue(class, func(p uint64) bool { return p == 2 }))
	require.Same(t, first, q.Dequeue(class, func(uint64) bool { return false }))
	require.Nil(t, q.Dequeue(class, func(uint64) bool { return false }))
	require.Zero(t, q.Waiting(1))
}

func TestSchedulerGrantsInFairOrder(t *testing.T) {
	b := fair.NewTracker(fair.Options{Slots: 1})
	b.Charge(1, 50, 0)
	d := dispatch.NewScheduler(1)
	d.SetDemand("r1", class, 3, 10)
	d.SetDemand("r2", dispatch.Class{Account: 2, Pool: "p"}, 1, 10)
	require.False(t, d.TryStart(), "nobody passes those that wait")
	g, ok := d.Grant(b)
	require.True(t, ok)
	require.Equal(t, "r2", g.Router)
	_, ok = d.Grant(b)
	require.False(t, ok, "the only place is reserved")
	_, ok = d.StartGranted(g.ID)
	require.True(t, ok)
	_, ok = d.StartGranted(g.ID)
	require.False(t, ok, "a grant is used once")
}

func TestUnresponsiveRouterGetsNoGrants(t *testing.T) {
	b := fair.NewTracker(fair.Options{Slots: 2})
	d := dispatch.NewScheduler(2)
	d.SetDemand("r1", class, 2, 10)
	d.SetDemand("r2", class, 1, 10)
	require.True(t, d.SetUnresponsive("r1", true))
	require.Equal(t, 1, d.Waiting())
	d.SetDemand("r1", class, 3, 10)
	g, ok := d.Grant(b)
	require.True(t, ok)
	require.Equal(t, "r2", g.Router)
	_, ok = d.Grant(b)
	require.False(t, ok)
	require.True(t, d.SetUnresponsive("r1", false))
	require.Equal(t, 3, d.Waiting())
	g, ok = d.Grant(b)
	require.True(t, ok)
	require.Equal(t, "r1", g.Router)
}

// TestDeskNeverExceedsItsLimit drives a desk with random events.
func TestSchedulerNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 4).Draw(t, "limit")
		d := dispatch.NewScheduler(limit)
		b := fair.NewTracker(fair.Options{Slots: float64(limit)})
		var granted []uint64
		running := 0
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				k := dispatch.Class{Account: fair.Account(rapid.IntRange(1, 3).Draw(t, "account")), Pool: "p"}
				d.SetDemand(rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "router"), k, rapid.IntRange(0, 3).Draw(t, "count"), 5)
			},
			"grant": func(*rapid.T) {
				if g, ok := d.Grant(b); ok {
					granted = append(granted, g.ID)
				}
			},
			"use": func(t *rapid.T) {
				if len(granted) > 0 {
					if _, ok := d.StartGranted(granted[0]); ok {
						running++
					}
					granted = granted[1:]
				}
			},
			"take": func(*rapid.T) {
				if d.TryStart() {
					running++
				}
			},
			"done": func(*rapid.T) {
				if running > 0 {
					d.Done()
					running--
				}
			},
			"silent": func(t *rapid.T) { d.SetUnresponsive("r2", rapid.Bool().Draw(t, "silent")) },
			"drop":   func(*rapid.T) { d.DropRouter("r1") },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, d.Running()+d.Granted(), limit)
				require.Equal(t, running, d.Running())
				require.GreaterOrEqual(t, d.Waiting(), 0)
			},
		})
	})
}

// TestNewServerFillsUpUnderLongAnswers holds that a server whose first answers last
// is not kept at its slow start's limit.
func TestSlowStartGrowsWithTime(t *testing.T) {
	l := dispatch.NewConcurrencyLimit(64)
	require.Equal(t, 16, l.Current())
	for range 6 {
		l.Tick()
	}
	require.Equal(t, 64, l.Current())
	l.OnServerQueueing()
	l.Tick()
	require.Equal(t, 63, l.Current(), "time raises the limit only at the start")
}

func TestConcurrencyLimitHealth(t *testing.T) {
	l := dispatch.NewConcurrencyLimit(8)
	require.Equal(t, 2, l.Current(), "a new server starts slowly")
	for range 10 {
		l.Success()
	}
	require.Equal(t, 8, l.Current())
	l.OnServerQueueing()
	require.Equal(t, 7, l.Current())
	for range 3 {
		l.Failure()
	}
	require.Equal(t, dispatch.Unhealthy, l.Health())
	require.Zero(t, l.Current())
	l.Tick()
	require.Equal(t, dispatch.Probing, l.Health())
	require.Equal(t, 1, l.Current())
	l.Failure()
	require.Zero(t, l.Current(), "a failed probe makes the next pause longer")
	l.Tick()
	require.Equal(t, dispatch.Unhealthy, l.Health())
	l.Tick()
	l.Success()
	require.Equal(t, dispatch.Healthy, l.Health())
}
