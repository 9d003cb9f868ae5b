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
		n++
	}
	return n
}

func TestTake(t *testing.T) {
	tests := []struct {
		name     string
		age      time.Duration // of the process
		requests int
		gateways int
		most     int
		least    int
	}{
		{"just started", 0, 0, 1, 0, 0},
		{"just started, with requests", 0, 100, 1, 20, 15},
		{"old, single gateway", time.Minute, 0, 1, 60, 20},
		{"old, one of six", time.Minute, 0, 6, 10, 4},
		{"old, one of six, with requests", time.Minute, 100, 6, 30, 18},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := budget.New(limits, start)
			now := start.Add(test.age)
			for range test.requests {
				b.RecordRequest(now, "s")
			}
			got := spend(b, now, test.gateways)
			require.LessOrEqual(t, got, test.most)
			require.GreaterOrEqual(t, got, test.least)
			require.Zero(t, spend(b, now, test.gateways))
			require.Positive(t, spend(b, now.Add(limits.Window+time.Second), test.gateways), "outside the window")
		})
	}
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
