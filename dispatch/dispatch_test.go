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
		"another account is not affected")
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
	tr := fair.NewTracker(fair.Options{Slots: 1})
	tr.Charge(1, 50, 0)
	s := dispatch.NewScheduler(1)
	s.SetDemand("r1", class, 3, 10)
	s.SetDemand("r2", dispatch.Class{Account: 2, Pool: "p"}, 1, 10)
	require.False(t, s.TryStart(), "waiting requests go first")
	g, ok := s.Grant(tr)
	require.True(t, ok)
	require.Equal(t, "r2", g.Router)
	_, ok = s.Grant(tr)
	require.False(t, ok, "the only slot is reserved")
	_, ok = s.StartGranted(g.ID)
	require.True(t, ok)
	_, ok = s.StartGranted(g.ID)
	require.False(t, ok, "a grant is used once")
}

func TestUnresponsiveRouterGetsNoGrants(t *testing.T) {
	tr := fair.NewTracker(fair.Options{Slots: 2})
	s := dispatch.NewScheduler(2)
	s.SetDemand("r1", class, 2, 10)
	s.SetDemand("r2", class, 1, 10)
	require.True(t, s.SetUnresponsive("r1", true))
	require.Equal(t, 1, s.Waiting())
	s.SetDemand("r1", class, 3, 10)
	g, ok := s.Grant(tr)
	require.True(t, ok)
	require.Equal(t, "r2", g.Router)
	_, ok = s.Grant(tr)
	require.False(t, ok)
	require.True(t, s.SetUnresponsive("r1", false))
	require.Equal(t, 3, s.Waiting())
	g, ok = s.Grant(tr)
	require.True(t, ok)
	require.Equal(t, "r1", g.Router)
}

// TestSchedulerNeverExceedsLimit applies random events to a scheduler.
func TestSchedulerNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 4).Draw(t, "limit")
		s := dispatch.NewScheduler(limit)
		tr := fair.NewTracker(fair.Options{Slots: float64(limit)})
		var granted []uint64
		running := 0
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				k := dispatch.Class{Account: fair.Account(rapid.IntRange(1, 3).Draw(t, "account")), Pool: "p"}
				s.SetDemand(rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "router"), k, rapid.IntRange(0, 3).Draw(t, "count"), 5)
			},
			"grant": func(*rapid.T) {
				if g, ok := s.Grant(tr); ok {
					granted = append(granted, g.ID)
				}
			},
			"use": func(t *rapid.T) {
				if len(granted) > 0 {
					if _, ok := s.StartGranted(granted[0]); ok {
						running++
					}
					granted = granted[1:]
				}
			},
			"take": func(*rapid.T) {
				if s.TryStart() {
					running++
				}
			},
			"done": func(*rapid.T) {
				if running > 0 {
					s.Done()
					running--
				}
			},
			"silent": func(t *rapid.T) { s.SetUnresponsive("r2", rapid.Bool().Draw(t, "silent")) },
			"drop":   func(*rapid.T) { s.DropRouter("r1") },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, s.Running()+s.Granted(), limit)
				require.Equal(t, running, s.Running())
				require.GreaterOrEqual(t, s.Waiting(), 0)
			},
		})
	})
}

// TestSlowStartGrowsWithTime guards against a new server whose first responses take
// long and which stays at its initial limit because nothing succeeds.
func TestSlowStartGrowsWithTime(t *testing.T) {
	l := dispatch.NewConcurrencyLimit(64)
	require.Equal(t, 16, l.Current())
	for range 6 {
		l.Tick()
	}
	require.Equal(t, 64, l.Current())
	l.OnServerQueueing()
	l.Tick()
	require.Equal(t, 63, l.Current(), "time raises the limit only during slow start")
}

func TestConcurrencyLimitHealth(t *testing.T) {
	l := dispatch.NewConcurrencyLimit(8)
	require.Equal(t, 2, l.Current(), "a new server starts with a low limit")
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
	require.Zero(t, l.Current(), "a failed probe doubles the backoff")
	l.Tick()
	require.Equal(t, dispatch.Unhealthy, l.Health())
	l.Tick()
	l.Success()
	require.Equal(t, dispatch.Healthy, l.Health())
}
