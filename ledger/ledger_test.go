package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"opalbridge.dev/fair"
	"opalbridge.dev/ledger"
)

func total(a fair.Account, service float64) []fair.Total {
	return []fair.Total{{Account: a, Service: service, Slots: 8}}
}

func serviceOf(totals []fair.Total, a fair.Account) float64 {
	for _, t := range totals {
		if t.Account == a {
			return t.Service
		}
	}
	return 0
}

func TestAgentRestartKeepsService(t *testing.T) {
	h := ledger.NewHall()
	require.True(t, h.Report("agent-1", "first", 1, total(1, 100)))
	require.True(t, h.Report("agent-1", "second", 1, total(1, 7)))
	require.InDelta(t, 107, serviceOf(h.Sum(), 1), 0.001)
	require.False(t, h.Report("agent-1", "first", 2, total(1, 120)), "a late report of an earlier incarnation")
	require.InDelta(t, 107, serviceOf(h.Sum(), 1), 0.001)
}

func TestRaiseToAfterRouterRestart(t *testing.T) {
	h := ledger.NewHall()
	h.Report("agent-1", "second", 1, total(1, 7))
	h.RaiseTo([]fair.Total{{Account: 1, Service: 107}})
	require.InDelta(t, 107, serviceOf(h.Sum(), 1), 0.001)
	h.Report("agent-1", "second", 2, total(1, 10))
	require.InDelta(t, 110, serviceOf(h.Sum(), 1), 0.001)
}

func TestSilentAgentLosesSlots(t *testing.T) {
	h := ledger.NewHall()
	h.Report("agent-1", "a", 1, total(1, 7))
	for range 5 {
		h.Tick()
	}
	require.Zero(t, h.Sum()[0].Slots)
	require.Equal(t, []string{"agent-1"}, h.SilentAgents())
}

// TestFleetMergeAnyDelivery delivers the sums of two summing routers lost, duplicated
// and in any order, and compares the result with the largest sum delivered.
func TestFleetMergeAnyDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []ledger.HallSum
		service := 0.0
		for i := range 20 {
			service += float64(rapid.IntRange(0, 50).Draw(t, "served"))
			source := rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "source")
			sent = append(sent, ledger.HallSum{Hall: "h", Source: source, Sequence: uint64(i + 1), Totals: total(1, service)})
		}
		f := ledger.NewFleet()
		highest := 0.0
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(sent)-1)).Draw(t, "deliveries") {
			f.Merge(sent[i])
			highest = max(highest, serviceOf(sent[i].Totals, 1))
			require.InDelta(t, highest, serviceOf(f.Sum(), 1), 0.001)
		}
	})
}

func TestExcludingOneAgent(t *testing.T) {
	h := ledger.NewHall()
	h.Report("agent-1", "a", 1, total(1, 30))
	h.Report("agent-2", "b", 1, total(1, 12))
	f := ledger.NewFleet()
	f.Merge(ledger.HallSum{Hall: "x", Source: "r", Sequence: 1, Totals: h.Sum()})
	f.Merge(ledger.HallSum{Hall: "y", Source: "s", Sequence: 1, Totals: total(1, 100)})
	require.InDelta(t, 112, serviceOf(f.Excluding(h.LastReport("agent-1")), 1), 0.001)
	require.InDelta(t, 24, f.Sum()[0].Slots, 0.001)
}

// TestExcludingMatchesOtherAgents updates a fleet report by report and checks after
// each that the totals sent to an agent equal what the others reported. Totals older
// than the agent's own report would understate the others.
func TestExcludingMatchesOtherAgents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, f := ledger.NewHall(), ledger.NewFleet()
		f.Merge(ledger.HallSum{Hall: "far", Source: "s", Sequence: 1, Totals: total(1, 1000)})
		served := map[string]float64{}
		for i := range uint64(30) {
			agent := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "agent")
			served[agent] += float64(rapid.IntRange(0, 9).Draw(t, "served"))
			var listed []fair.Total
			if rapid.Bool().Draw(t, "waits") {
				listed = total(1, served[agent])
			} else {
				listed = []fair.Total{{Account: 1, Service: served[agent]}}
			}
			require.True(t, h.Report(agent, "x", i+1, listed))
			f.Update(ledger.HallSum{Hall: "near", Source: "r", Sequence: i + 1, Totals: h.Changed()})
			others := 1000.0
			for name, v := range served {
				if name != agent {
					others += v
				}
			}
			require.InDelta(t, others, serviceOf(f.Excluding(h.LastReport(agent)), 1), 0.001)
			require.InDelta(t, f.Sum()[0].Slots, h.Sum()[0].Slots+8, 0.001)
		}
	})
}
