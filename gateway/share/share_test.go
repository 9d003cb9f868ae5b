package share_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/share"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMaxMinShare(t *testing.T) {
	tests := []struct {
		name     string
		demands  []float64
		capacity float64
		want     float64
	}{
		{"all fit", []float64{1, 2, 3}, 6, 0},
		{"one is large", []float64{1, 1, 100}, 12, 10},
		{"even", []float64{10, 10, 10, 10}, 20, 5},
		{"no demands", nil, 10, 0},
		{"no capacity", []float64{1, 2}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.InDelta(t, test.want, share.MaxMinShare(test.demands, test.capacity), 1e-9)
		})
	}
}

// TestMaxMinShareUsesCapacity: demands met up to the level use all of the capacity, and no
// account that gets less than it asked gets less than another.
func TestMaxMinShareUsesCapacity(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		demands := make([]float64, 1+r.IntN(20))
		sum := 0.0
		for i := range demands {
			demands[i] = r.ExpFloat64()
			sum += demands[i]
		}
		capacity := r.ExpFloat64() * 5
		level := share.MaxMinShare(demands, capacity)
		if level == 0 {
			require.LessOrEqual(t, sum, capacity+1e-9)
			continue
		}
		used := 0.0
		for _, d := range demands {
			used += min(d, level)
		}
		require.InDelta(t, capacity, used, 1e-6)
	}
}

// TestLocalRate checks that a gateway's part of the rate at which an account is served follows what
// the account asks for there, and that it is not below the account's share.
func TestLocalRate(t *testing.T) {
	newTracker := func(local, remote, admitted float64) *share.Tracker {
		tracker := share.NewTracker(4 * time.Second)
		if local > 0 {
			tracker.RecordAsked(start, "a", local)
		}
		tracker.RecordAdmitted(start, "b", 2000)
		tracker.RecordAsked(start, "b", 100_000)
		tracker.SetRemoteDemands("p", []share.Demand{{Account: "a", Asked: remote, Admitted: admitted}})
		tracker.Recompute(start, 1000)
		return tracker
	}
	tests := []struct {
		name                    string
		local, remote, admitted float64
		want                    float64 // tokens per second; the fair share is 2,000 tokens in 4 s
	}{
		{"all here", 10_000, 0, 0, 500},
		{"a quarter here", 10_000, 30_000, 1000, 125},
		{"nothing here", 0, 30_000, 1000, 0},
		{"served beyond its share", 10_000, 30_000, 8000, 500},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.InDelta(t, test.want, newTracker(test.local, test.remote, test.admitted).LocalRate(start, "a"), 1e-6)
		})
	}
	all := share.NewTracker(4 * time.Second)
	all.RecordAsked(start, "a", 100)
	all.Recompute(start, 1000)
	require.Zero(t, all.LocalRate(start, "a"), "all demands fit")
}

func TestStatus(t *testing.T) {
	tr := share.NewTracker(4 * time.Second)
	record := func(now time.Time, account string, tokens float64, admit bool) {
		tr.RecordAsked(now, account, tokens)
		if admit {
			tr.RecordAdmitted(now, account, tokens)
		}
	}
	record(start, "large", 9000, true)
	record(start, "large", 9000, false)
	record(start, "small", 500, true)
	tr.Recompute(start, 1000) // 4,000 tokens per window
	require.True(t, tr.Status("large").OverShare)
	require.GreaterOrEqual(t, tr.Status("large").ShareRatio, 1.0)
	require.False(t, tr.Status("small").OverShare)
	require.Less(t, tr.Status("small").ShareRatio, 1.0)
	require.False(t, tr.Status("unknown").OverShare)

	later := start.Add(5 * time.Second)
	tr.Recompute(later, 1000)
	require.False(t, tr.Status("large").OverShare, "outside the window")
}

// TestCapped: the tokens that an account gets beyond its share are bounded by those of the
// backlogged account that got least, however many servers run idle. An account that returned
// after a silence got 1.0, 0.7 and 0.5 million tokens in its first seconds, up to 2.4 times an
// even part, from servers that ran idle at gateways where it retried often. Meanwhile a
// backlogged account got 0.14 million tokens per second, 0.6 of an even part, and was refused
// 200 times a second at the busy servers that cached its prompts: 0.9 against 2.9 million
// tokens in six seconds.
func TestCapped(t *testing.T) {
	const rate = 1000 // 4,000 tokens per window
	tests := []struct {
		name    string
		demands []share.Demand // the first account is the one checked
		capped  bool
	}{
		{"far ahead", []share.Demand{{Account: "a", Asked: 60000, Admitted: 6100}, {Account: "b", Asked: 40000, Admitted: 4000}}, true},
		{"ahead", []share.Demand{{Account: "a", Asked: 60000, Admitted: 5900}, {Account: "b", Asked: 40000, Admitted: 4000}}, false},
		{"behind", []share.Demand{{Account: "a", Asked: 40000, Admitted: 4000}, {Account: "b", Asked: 60000, Admitted: 6100}}, false},
		{"the other one is not backlogged", []share.Demand{{Account: "a", Asked: 60000, Admitted: 6100}, {Account: "b", Asked: 4100, Admitted: 4000}}, false},
		{"the other one is new", []share.Demand{{Account: "a", Asked: 60000, Admitted: 6100}, {Account: "b", Asked: 1000}}, false},
		{"the other one is backlogged and below its share", []share.Demand{{Account: "a", Asked: 60000, Admitted: 2900}, {Account: "b", Asked: 40000}}, false},
		{"no other account", []share.Demand{{Account: "a", Asked: 60000, Admitted: 6100}}, false},
		{"all fits", []share.Demand{{Account: "a", Asked: 3000, Admitted: 3000}, {Account: "b", Asked: 900, Admitted: 300}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tr := share.NewTracker(4 * time.Second)
			tr.SetRemoteDemands("10.0.0.2", test.demands)
			tr.Recompute(start, rate)
			require.Equal(t, test.capped, tr.Status("a").Capped)
		})
	}
}

func TestRemoteDemands(t *testing.T) {
	tr := share.NewTracker(4 * time.Second)
	tr.RecordAsked(start, "a", 100)
	tr.RecordAdmitted(start, "a", 100)
	tr.SetRemoteDemands("10.0.0.2", []share.Demand{{Account: "a", Asked: 5000, Admitted: 4000}, {Account: "b", Asked: 3000, Admitted: 1000}})
	tr.Recompute(start, 1000)
	require.True(t, tr.Status("a").OverShare)
	require.False(t, tr.Status("b").OverShare)
	tr.SetRemoteDemands("10.0.0.2", nil)
	tr.Recompute(start, 1000)
	require.False(t, tr.Status("a").OverShare, "the other gateway has gone")
}

func TestUnknownRate(t *testing.T) {
	tr := share.NewTracker(4 * time.Second)
	tr.RecordAsked(start, "a", 1e9)
	tr.RecordAdmitted(start, "a", 1e9)
	tr.Recompute(start, 0)
	require.False(t, tr.Status("a").OverShare)
}

func TestLocalDemandsExpire(t *testing.T) {
	tr := share.NewTracker(4 * time.Second)
	tr.RecordAsked(start, "a", 10)
	require.Len(t, tr.LocalDemands(start), 1)
	require.Empty(t, tr.LocalDemands(start.Add(time.Minute)))
}

// TestRevertAdmitted: tokens of a request that did not run are subtracted in the bucket in
// which they were counted.
func TestRevertAdmitted(t *testing.T) {
	now := time.Now()
	tr := share.NewTracker(4 * time.Second)
	tr.RecordAsked(now, "a", 100)
	tr.RecordAdmitted(now, "a", 60)
	tr.RecordAdmitted(now.Add(time.Second), "a", 40)
	admitted := func(after time.Duration) float64 {
		list := tr.LocalDemands(now.Add(after))
		if len(list) == 0 {
			return 0
		}
		return list[0].Admitted
	}
	require.EqualValues(t, 100, admitted(time.Second))
	tr.RevertAdmitted(now.Add(1500*time.Millisecond), now, "a", 60)
	require.EqualValues(t, 40, admitted(1500*time.Millisecond))
	require.EqualValues(t, 40, admitted(4500*time.Millisecond))
	tr.RevertAdmitted(now.Add(6*time.Second), now.Add(time.Second), "a", 40)
	require.Zero(t, admitted(6*time.Second), "what has left the window is not reverted again")
}
