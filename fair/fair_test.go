package fair_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"opalbridge.dev/fair"
)

func ExampleTracker_Pick() {
	tr := fair.NewTracker(fair.Options{Slots: 8})
	tr.SetShare(1, 2)
	tr.SetShare(2, 1)
	tr.Charge(1, 100, 0) // normalized service 50 at a share of two
	tr.Charge(2, 80, 0)
	picked := tr.Pick([]fair.Candidate{{Account: 1}, {Account: 2}})
	fmt.Println("picked candidate", picked)
	// Output: picked candidate 0
}

func TestPickOrder(t *testing.T) {
	tests := []struct {
		name       string
		served     map[fair.Account]float64
		candidates []fair.Candidate
		want       int
	}{
		{"no candidate", nil, nil, -1},
		{"furthest behind", map[fair.Account]float64{1: 10, 2: 5}, []fair.Candidate{{Account: 1}, {Account: 2}}, 1},
		{"urgent within credit", map[fair.Account]float64{1: 10, 2: 5}, []fair.Candidate{{Account: 1, Urgent: true}, {Account: 2}}, 0},
		{"urgent beyond credit", map[fair.Account]float64{1: 100, 2: 5}, []fair.Candidate{{Account: 1, Urgent: true}, {Account: 2}}, 1},
		{"urgent before own", nil, []fair.Candidate{{Account: 1}, {Account: 1, Urgent: true}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tr := fair.NewTracker(fair.Options{Slots: 1, UrgentCredit: 20})
			sequence, _ := tr.Report(true)
			tr.Merge(sequence, []fair.Total{{Account: 9, Slots: 1}})
			for a, cost := range test.served {
				tr.Charge(a, cost, 0)
			}
			require.Equal(t, test.want, tr.Pick(test.candidates))
		})
	}
}

func TestPickRotatesEqualAccounts(t *testing.T) {
	tr := fair.NewTracker(fair.Options{Slots: 1})
	candidates := []fair.Candidate{{Account: 1}, {Account: 2}, {Account: 3}}
	seen := map[int]int{}
	for range 9 {
		seen[tr.Pick(candidates)]++
	}
	require.Equal(t, map[int]int{0: 3, 1: 3, 2: 3}, seen)
}

// TestUrgentCreditIsFleetWide guards against an account that starts to wait at all
// servers at once and borrows its whole credit at each of them.
func TestUrgentCreditIsFleetWide(t *testing.T) {
	tr := fair.NewTracker(fair.Options{Slots: 8, UrgentCredit: 4000})
	candidates := []fair.Candidate{{Account: 1, Urgent: true}, {Account: 2}}
	tr.Charge(1, 500, 0)
	require.Equal(t, 1, tr.Pick(candidates), "no credit before the first totals")
	sequence, _ := tr.Report(true)
	tr.Merge(sequence, []fair.Total{{Account: 3, Slots: 80}})
	require.Equal(t, 1, tr.Pick(candidates), "500 is more than a tenth of the credit")
	tr.Charge(2, 101, 0)
	require.Equal(t, 0, tr.Pick(candidates))
}

func TestIdleAccountGainsNoCredit(t *testing.T) {
	tr := fair.NewTracker(fair.Options{Slots: 1})
	tr.StartWaiting(1)
	tr.Charge(1, 1000, 0)
	tr.StartWaiting(2)
	require.InDelta(t, tr.VirtualTime(1), tr.VirtualTime(2), 0.001)
}

func TestAccountWaitingElsewhereIsNotAdjusted(t *testing.T) {
	tr := fair.NewTracker(fair.Options{Slots: 1})
	tr.StartWaiting(1)
	tr.Charge(1, 1000, 0)
	sequence, _ := tr.Report(true)
	require.True(t, tr.Merge(sequence, []fair.Total{{Account: 2, Service: 10, Slots: 4}}))
	tr.StartWaiting(2)
	require.InDelta(t, 10, tr.VirtualTime(2), 0.001)
}

func TestCapDebts(t *testing.T) {
	tr := fair.NewTracker(fair.Options{Slots: 1, DebtCap: 100})
	costs := []float64{0, 5000, 5010, 9000}
	for i := range costs {
		tr.StartWaiting(fair.Account(i + 1))
	}
	for i, cost := range costs {
		tr.Charge(fair.Account(i+1), cost, 0)
	}
	before := tr.VirtualTime(3) - tr.VirtualTime(2)
	require.Positive(t, tr.CapDebts())
	gap, waiting := tr.Gap()
	require.Equal(t, 4, waiting)
	require.LessOrEqual(t, gap, 100.0)
	require.InDelta(t, before, tr.VirtualTime(3)-tr.VirtualTime(2), 0.001, "accounts near the median keep their difference")
}

// TestMergeRejectsInvalidSequence checks that totals for an unknown or old report
// change nothing.
func TestMergeRejectsInvalidSequence(t *testing.T) {
	tr := fair.NewTracker(fair.Options{Slots: 1})
	sequence, _ := tr.Report(true)
	require.False(t, tr.Merge(sequence+1, nil), "totals for a report that was not made")
	for range 20 {
		tr.Report(true)
	}
	require.False(t, tr.Merge(sequence, []fair.Total{{Account: 1, Service: 5}}), "totals that are too old")
	require.Zero(t, tr.VirtualTime(1))
}

// TestFleetGapWithinBound runs the trackers of several agents with outdated totals
// and checks that the gap in actual service stays within GapBound.
func TestFleetGapWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 6).Draw(t, "agents")
		accounts := rapid.IntRange(2, 6).Draw(t, "accounts")
		age := rapid.IntRange(1, 10).Draw(t, "rounds between reports")
		m := newFleetModel(agents, accounts, rapid.Uint64().Draw(t, "seed"))
		for a := range accounts {
			m.share[a] = float64(rapid.IntRange(1, 4).Draw(t, "share"))
		}
		m.start()
		for round := range 200 {
			m.round()
			if round%age == 0 {
				m.exchange()
			}
			require.LessOrEqual(t, m.gap(), m.bound(age), "round %d", round)
		}
	})
}

// fleetModel is a fleet of trackers with one slot each, whose requests take one
// round.
type fleetModel struct {
	trackers []*fair.Tracker
	share    []float64
	service  []float64
	seed     uint64
}

const maxCost = 100

func newFleetModel(agents, accounts int, seed uint64) *fleetModel {
	m := &fleetModel{share: make([]float64, accounts), service: make([]float64, accounts), seed: seed}
	for range agents {
		m.trackers = append(m.trackers, fair.NewTracker(fair.Options{Slots: 1}))
	}
	return m
}

func (m *fleetModel) random(n uint64) uint64 {
	m.seed = m.seed*6364136223846793005 + 1442695040888963407
	return (m.seed >> 33) % n
}

func (m *fleetModel) start() {
	for _, tr := range m.trackers {
		for a, share := range m.share {
			tr.SetShare(fair.Account(a), share)
			tr.StartWaiting(fair.Account(a))
		}
	}
	m.exchange()
}

func (m *fleetModel) round() {
	candidates := make([]fair.Candidate, len(m.share))
	for a := range candidates {
		candidates[a].Account = fair.Account(a)
	}
	for _, tr := range m.trackers {
		a := tr.Pick(candidates)
		cost := 1 + float64(m.random(maxCost))
		tr.Reserve(fair.Account(a), maxCost/2)
		tr.Charge(fair.Account(a), cost, maxCost/2)
		m.service[a] += cost / m.share[a]
	}
}

func (m *fleetModel) exchange() {
	reports := make([]map[fair.Account]float64, len(m.trackers))
	sequences := make([]uint64, len(m.trackers))
	for i, tr := range m.trackers {
		sequence, totals := tr.Report(true)
		sequences[i] = sequence
		reports[i] = map[fair.Account]float64{}
		for _, total := range totals {
			reports[i][total.Account] = total.Service
		}
	}
	for i, tr := range m.trackers {
		var others []fair.Total
		for a := range m.share {
			sum := 0.0
			for j := range reports {
				if j != i {
					sum += reports[j][fair.Account(a)]
				}
			}
			others = append(others, fair.Total{Account: fair.Account(a), Service: sum, Slots: float64(len(m.trackers))})
		}
		tr.Merge(sequences[i], others)
	}
}

func (m *fleetModel) gap() float64 {
	lowest, highest := math.Inf(1), 0.0
	for _, s := range m.service {
		lowest, highest = math.Min(lowest, s), math.Max(highest, s)
	}
	return highest - lowest
}

func (m *fleetModel) bound(age int) float64 {
	minShare := math.Inf(1)
	for _, s := range m.share {
		minShare = math.Min(minShare, s)
	}
	n := float64(len(m.trackers))
	return fair.GapBound{MaxCost: maxCost, Slots: n, ServiceRate: n * maxCost, TotalsAge: float64(age), MinShare: minShare}.Value()
}

func BenchmarkPick(b *testing.B) {
	const accounts, backlogged = 400, 40
	tr := fair.NewTracker(fair.Options{Slots: 64, UrgentCredit: 4000})
	for a := range accounts {
		tr.SetShare(fair.Account(a), 1)
		tr.Charge(fair.Account(a), float64(a%backlogged), 0)
	}
	var candidates []fair.Candidate
	for a := range backlogged {
		candidates = append(candidates, fair.Candidate{Account: fair.Account(a * accounts / backlogged)})
	}
	b.ReportAllocs()
	for b.Loop() {
		picked := tr.Pick(candidates)
		tr.Reserve(candidates[picked].Account, 100)
		tr.Charge(candidates[picked].Account, 100, 100)
	}
}

func BenchmarkMerge(b *testing.B) {
	const accounts, backlogged = 400, 40
	tr := fair.NewTracker(fair.Options{Slots: 64, DebtCap: 60000})
	var totals []fair.Total
	for a := range accounts {
		tr.SetShare(fair.Account(a), 1)
		if a < backlogged {
			tr.StartWaiting(fair.Account(a))
			totals = append(totals, fair.Total{Account: fair.Account(a), Service: float64(a), Slots: 640})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		sequence, _ := tr.Report(false)
		tr.Merge(sequence, totals)
		tr.CapDebts()
	}
}
