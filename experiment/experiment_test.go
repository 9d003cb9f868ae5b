package experiment_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/bubbletest"
	"opalbridge.dev/experiment"
)

var (
	full      = flag.Bool("full", false, "run every scenario and size for the full duration; takes minutes")
	sizeSeeds = flag.Int("size-seeds", 4, "number of seeds of each size in a full run")
	minutes   = flag.Int("minutes", 2, "duration of a full run's measurement in virtual minutes")
)

// duration returns the duration of a measurement.
func duration() time.Duration {
	if *full {
		return time.Duration(*minutes) * time.Minute
	}
	return 40 * time.Second
}

func measure(t *testing.T, s experiment.Scenario) *experiment.Result {
	t.Helper()
	var r *experiment.Result
	bubbletest.Run(t, func(t *testing.T) { r = experiment.Run(t, s) })
	r.Print(os.Stdout)
	return r
}

// comparisonDuration is the duration of runs whose utilisation is compared within 0.01. In runs of
// 40 s, the requests in flight at the start and the end change it by 0.02 either way (0.988 to
// 1.027 in seven runs of one strategy).
const comparisonDuration = 160 * time.Second

// TestUnevenAgainstBaselines checks the targets of the design with accounts that are spread
// unevenly: at most a fifth of the gap of per-router fairness, full utilisation, and the bound.
func TestUnevenAgainstBaselines(t *testing.T) {
	z := experiment.CurrentSize(max(duration(), comparisonDuration))
	design := measure(t, experiment.Uneven(experiment.Design, z))
	perRouter := measure(t, experiment.Uneven(experiment.RouterFair, z))
	firstCome := measure(t, experiment.Uneven(experiment.FirstCome, z))
	require.LessOrEqual(t, design.Gap, perRouter.Gap/5)
	require.LessOrEqual(t, design.Gap, design.Bound)
	require.Zero(t, design.Violations)
	require.Zero(t, design.Failed)
	require.GreaterOrEqual(t, design.Utilisation, 0.98)
	require.GreaterOrEqual(t, design.Utilisation, firstCome.Utilisation-0.01)
	require.LessOrEqual(t, design.OverheadRate, 2000.0)
}

// TestScenarios runs scenarios under the design and checks the bound of the gap. With -full it
// runs every scenario, also under the baselines.
func TestScenarios(t *testing.T) {
	if !*full {
		for _, s := range []experiment.Scenario{
			experiment.Restarts(experiment.Design, experiment.CurrentSize(duration())),
			experiment.Overlap(experiment.Design, experiment.CurrentSize(duration())),
		} {
			t.Run(s.Name, func(t *testing.T) {
				r := measure(t, s)
				require.LessOrEqual(t, r.Gap, r.Bound)
				require.Zero(t, r.Violations)
			})
		}
		return
	}
	for _, strategy := range []experiment.Strategy{experiment.Design, experiment.RouterFair, experiment.FirstCome} {
		for _, s := range experiment.All(strategy, experiment.CurrentSize(duration())) {
			t.Run(strategy.Name+"/"+s.Name, func(t *testing.T) {
				r := measure(t, s)
				printWaits(r)
				if strategy == experiment.Design {
					require.LessOrEqual(t, r.Gap, r.Bound)
					require.Zero(t, r.Violations)
				}
			})
		}
	}
}

func printWaits(r *experiment.Result) {
	var plain, urgent []time.Duration
	for account, waits := range r.Waits {
		if len(account) > len(experiment.UrgentSuffix) && account[len(account)-len(experiment.UrgentSuffix):] == experiment.UrgentSuffix {
			urgent = append(urgent, waits...)
			continue
		}
		if account != "flood" {
			plain = append(plain, waits...)
		}
	}
	const high = 99
	fmt.Printf("figure wait-p99 %q %.3f s\n", r.Scenario.Name+"/"+r.Scenario.Strategy.Name, experiment.Percentile(plain, high).Seconds())
	if len(urgent) > 0 {
		fmt.Printf("figure wait-p99-urgent %q %.3f s\n", r.Scenario.Name+"/"+r.Scenario.Strategy.Name, experiment.Percentile(urgent, high).Seconds())
	}
}

// TestSizes compares the gap with 3, 12 and 48 routers, with and without subsets.
func TestSizes(t *testing.T) {
	if !*full {
		t.Log("sizes are compared with -full only")
		return
	}
	for _, z := range []experiment.Size{
		{Routers: 3, Models: 18}, {Routers: 12, Models: 18}, {Routers: 48, Models: 18},
		{Routers: 12, Models: 18, Degree: 6}, {Routers: 48, Models: 18, Degree: 6},
	} {
		z.Duration = duration()
		t.Run(fmt.Sprintf("%d routers degree %d", z.Routers, z.Degree), func(t *testing.T) {
			sum := 0.0
			for seed := range uint64(*sizeSeeds) {
				s := experiment.Uneven(experiment.Design, z)
				s.Name = fmt.Sprintf("uneven, %d routers, degree %d, seed %d", z.Routers, z.Degree, seed)
				s.Seed = seed
				sum += measure(t, s).Gap
			}
			fmt.Printf("figure mean-gap \"%d routers, degree %d, %d seeds\" %.0f weighted-tokens\n", z.Routers, z.Degree, *sizeSeeds, sum/float64(*sizeSeeds))
		})
	}
}

// TestAllUrgentGainsOnlyItsCredit has one account mark all its requests urgent. It may be ahead of
// the mean of the others by the urgent credit and the requests in flight, not more.
func TestAllUrgentGainsOnlyItsCredit(t *testing.T) {
	s := experiment.AllUrgent(experiment.Design, experiment.CurrentSize(duration()))
	s.Warmup = time.Second // include the credit it uses at the start
	r := measure(t, s)
	mean, n := 0.0, 0.0
	marked := s.Clients[4].Account
	for account, service := range r.Service {
		if account != marked {
			mean += service
			n++
		}
	}
	mean /= n
	const credit, largest = 4000, 925
	fmt.Printf("figure all-urgent-gain %.0f weighted-tokens\n", r.Service[marked]-mean)
	require.LessOrEqual(t, r.Service[marked]-mean, float64(credit+4*largest))
}

var plots = flag.Bool("plots", false, "rewrite the plots in docs/experiments")

// TestPlots draws gap and utilisation over time under the design and the baselines.
func TestPlots(t *testing.T) {
	if !*plots {
		t.Log("plots are drawn with -plots only")
		return
	}
	z := experiment.CurrentSize(2 * time.Minute)
	for _, scenario := range []func(experiment.Strategy, experiment.Size) experiment.Scenario{experiment.Uneven, experiment.Partition} {
		var runs []*experiment.Result
		for _, strategy := range []experiment.Strategy{experiment.Design, experiment.RouterFair, experiment.FirstCome} {
			runs = append(runs, measure(t, scenario(strategy, z)))
		}
		name := runs[0].Scenario.Name
		require.NoError(t, experiment.Plot("../docs/experiments/"+name+"-gap.png", name+": gap between accounts", "weighted tokens for each share", runs,
			func(s experiment.Sample) float64 { return s.Gap }))
		require.NoError(t, experiment.Plot("../docs/experiments/"+name+"-utilisation.png", name+": utilisation", "part of all places", runs,
			func(s experiment.Sample) float64 { return min(s.Utilisation, 1.2) }))
	}
}
