package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/budget"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limits = budget.Limits{Ratio: 0.2, FixedRetries: 60, Window: 10 * time.Second}
)

// spend takes retries until none is left and returns their number.
func spend(b *budget.Budget, now time.Time, gateways int) int {
	n := 0
	for b.Take(now, "s", gateways) {
		b.Acknowledge("s")
		n++
	}
	return n
}

func TestTake(t *testing.T) {
	type bounds struct{ least, most int }
	tests := []struct {
		name     string
		age      time.Duration // of the process
		requests int           // in a window
		gateways int           // known
		certain  bool          // the fleet has just these
		atOnce   bounds        // without requests in the window before
		inWindow bounds        // while the requests come evenly
	}{
		{"just started", 0, 0, 1, true, bounds{0, 0}, bounds{20, 60}},
		{"just started, with requests", 0, 100, 1, true, bounds{0, 0}, bounds{35, 80}},
		{"old, single gateway", time.Minute, 0, 1, true, bounds{15, 60}, bounds{40, 60}},
		{"old, one of six", time.Minute, 0, 6, true, bounds{2, 10}, bounds{9, 10}},
		{"old, one of six, with requests", time.Minute, 100, 6, true, bounds{2, 10}, bounds{18, 30}},
		{"old, knows no other", time.Minute, 0, 1, false, bounds{1, 3}, bounds{2, 3}},
		{"old, knows no other, with requests", time.Minute, 100, 1, false, bounds{1, 3}, bounds{16, 23}},
		{"old, knows a hundred", time.Minute, 0, 100, false, bounds{0, 0}, bounds{0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const steps = 100
			l := limits
			if test.certain {
				l.Gateways = test.gateways
			}
			b := budget.New(l, start)
			now := start.Add(test.age)
			atOnce := spend(b, now, test.gateways)
			require.GreaterOrEqual(t, atOnce, test.atOnce.least)
			require.LessOrEqual(t, atOnce, test.atOnce.most)
			require.Zero(t, spend(b, now, test.gateways))
			inWindow := atOnce
			for range steps {
				now = now.Add(limits.Window / steps)
				for range test.requests / steps {
					b.RecordRequest(now, "s", 0)
				}
				inWindow += spend(b, now, test.gateways)
			}
			require.GreaterOrEqual(t, inWindow, test.inWindow.least)
			require.LessOrEqual(t, inWindow, test.inWindow.most)
			if test.inWindow.least > 0 {
				require.Positive(t, spend(b, now.Add(limits.Window+time.Second), test.gateways), "outside the window")
			}
		})
	}
}

func TestUsage(t *testing.T) {
	b := budget.New(limits, start)
	now := start.Add(time.Minute)
	b.RecordRequest(now, "s", 0)
	require.True(t, b.Take(now, "s", 6))
	got := b.Usage(now, "s", 6)
	require.Equal(t, 1, got.Requests)
	require.Equal(t, 1, got.Retries)
	require.Equal(t, 1, got.InFlight)
	b.Acknowledge("s")
	require.Zero(t, b.Usage(now, "s", 6).InFlight)
	require.InDelta(t, b.Remaining(now, "s", 6), got.Remaining, 1e-9)
	later := b.Usage(now.Add(limits.Window), "s", 6)
	require.Zero(t, later.Requests)
	require.Zero(t, later.Retries)
}

// TestRestartsStayWithinLimits: a fleet whose gateways all restart at once stays within its
// limit in every window, although each gateway has lost its history.
func TestRestartsStayWithinLimits(t *testing.T) {
	const gateways = 6
	var spent []time.Time
	fleet := make([]*budget.Budget, gateways)
	for i := range fleet {
		fleet[i] = budget.New(limits, start)
	}
	restart := start.Add(15 * time.Second)
	for tick := range 300 {
		now := start.Add(time.Duration(tick) * 100 * time.Millisecond)
		for i := range fleet {
			if now.Equal(restart) {
				fleet[i] = budget.New(limits, now)
			}
			known := gateways
			if now.Sub(restart) < time.Second && !now.Before(restart) {
				known = 1 // the other gateways are not known yet
			}
			for fleet[i].Take(now, "s", known) {
				fleet[i].Acknowledge("s")
				spent = append(spent, now)
			}
		}
	}
	for i, from := range spent {
		n := 0
		for _, at := range spent[i:] {
			if at.Sub(from) < limits.Window {
				n++
			}
		}
		require.LessOrEqual(t, n, int(limits.FixedRetries))
	}
}

func TestServicesAreSeparate(t *testing.T) {
	b := budget.New(limits, start)
	now := start.Add(time.Minute)
	spend(b, now, 1)
	require.True(t, b.Take(now, "other", 1))
}
