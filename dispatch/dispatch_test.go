package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"opalbridge.dev/dispatch"
	"opalbridge.dev/fair"
)

var key = dispatch.Key{Account: 1, Pool: "p"}

func TestQueueRefusesBeyondItsBound(t *testing.T) {
	var q dispatch.Queue
	for range 2 {
		require.IsType(t, dispatch.Waiting{}, q.Offer(&dispatch.Request{Key: key}, 2, 0))
	}
	refused, ok := q.Offer(&dispatch.Request{Key: key}, 2, 5*time.Second).(dispatch.Refused)
	require.True(t, ok)
	require.Equal(t, 5*time.Second, refused.RetryAfter)
	require.IsType(t, dispatch.Waiting{}, q.Offer(&dispatch.Request{Key: dispatch.Key{Account: 2, Pool: "p"}}, 2, 0),
		"another account is not disturbed")
}

func TestBindPrefersASeenPrefixWithinTheLine(t *testing.T) {
	var q dispatch.Queue
	first := &dispatch.Request{ID: "first", Key: key, Prefix: 1}
	second := &dispatch.Request{ID: "second", Key: key, Prefix: 2}
	q.Offer(first, 9, 0)
	q.Offer(second, 9, 0)
	require.Same(t, second, q.Bind(key, func(p uint64) bool { return p == 2 }))
	require.Same(t, first, q.Bind(key, func(uint64) bool { return false }))
	require.Nil(t, q.Bind(key, func(uint64) bool { return false }))
	require.Zero(t, q.Waiting(1))
}

func TestDeskGrantsInFairOrder(t *testing.T) {
	b := fair.NewBook(fair.Options{Slots: 1})
	b.Charge(1, 50, 0)
	d := dispatch.NewDesk(1)
	d.SetWant("r1", key, 3, 10)
	d.SetWant("r2", dispatch.Key{Account: 2, Pool: "p"}, 1, 10)
	require.False(t, d.Take(), "nobody passes those that wait")
	g, ok := d.Grant(b)
	require.True(t, ok)
	require.Equal(t, "r2", g.Router)
	_, ok = d.Grant(b)
	require.False(t, ok, "the only place is reserved")
	_, ok = d.Use(g.ID)
	require.True(t, ok)
	_, ok = d.Use(g.ID)
	require.False(t, ok, "a grant is used once")
}

func TestSilentRouterGetsNoGrants(t *testing.T) {
	b := fair.NewBook(fair.Options{Slots: 2})
	d := dispatch.NewDesk(2)
	d.SetWant("r1", key, 2, 10)
	d.SetWant("r2", key, 1, 10)
	require.True(t, d.SetSilent("r1", true))
	require.Equal(t, 1, d.Waiting())
	d.SetWant("r1", key, 3, 10)
	g, ok := d.Grant(b)
	require.True(t, ok)
	require.Equal(t, "r2", g.Router)
	_, ok = d.Grant(b)
	require.False(t, ok)
	require.True(t, d.SetSilent("r1", false))
	require.Equal(t, 3, d.Waiting())
	g, ok = d.Grant(b)
	require.True(t, ok)
	require.Equal(t, "r1", g.Router)
}

// TestDeskNeverExceedsItsLimit drives a desk with random events.
func TestDeskNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 4).Draw(t, "limit")
		d := dispatch.NewDesk(limit)
		b := fair.NewBook(fair.Options{Slots: float64(limit)})
		var granted []uint64
		running := 0
		t.Repeat(map[string]func(*rapid.T){
			"want": func(t *rapid.T) {
				k := dispatch.Key{Account: fair.Account(rapid.IntRange(1, 3).Draw(t, "account")), Pool: "p"}
				d.SetWant(rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "router"), k, rapid.IntRange(0, 3).Draw(t, "count"), 5)
			},
			"grant": func(*rapid.T) {
				if g, ok := d.Grant(b); ok {
					granted = append(granted, g.ID)
				}
			},
			"use": func(t *rapid.T) {
				if len(granted) > 0 {
					if _, ok := d.Use(granted[0]); ok {
						running++
					}
					granted = granted[1:]
				}
			},
			"take": func(*rapid.T) {
				if d.Take() {
					running++
				}
			},
			"done": func(*rapid.T) {
				if running > 0 {
					d.Done()
					running--
				}
			},
			"silent": func(t *rapid.T) { d.SetSilent("r2", rapid.Bool().Draw(t, "silent")) },
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
func TestNewServerFillsUpUnderLongAnswers(t *testing.T) {
	l := dispatch.NewLimit(64)
	require.Equal(t, 16, l.Now())
	for range 6 {
		l.Tick()
	}
	require.Equal(t, 64, l.Now())
	l.Queued()
	l.Tick()
	require.Equal(t, 63, l.Now(), "time raises the limit only at the start")
}

func TestLimitHealth(t *testing.T) {
	l := dispatch.NewLimit(8)
	require.Equal(t, 2, l.Now(), "a new server starts slowly")
	for range 10 {
		l.Success()
	}
	require.Equal(t, 8, l.Now())
	l.Queued()
	require.Equal(t, 7, l.Now())
	for range 3 {
		l.Failure()
	}
	require.Equal(t, dispatch.Sick, l.Health())
	require.Zero(t, l.Now())
	l.Tick()
	require.Equal(t, dispatch.Probing, l.Health())
	require.Equal(t, 1, l.Now())
	l.Failure()
	require.Zero(t, l.Now(), "a failed probe makes the next pause longer")
	l.Tick()
	require.Equal(t, dispatch.Sick, l.Health())
	l.Tick()
	l.Success()
	require.Equal(t, dispatch.Healthy, l.Health())
}
