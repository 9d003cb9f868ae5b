package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// fleet simulates servers that process prompts in order of arrival, each at its own speed.
type fleet struct {
	balancer   *placement.Balancer
	rate       float64       // prompt tokens per millisecond of a server without slowdown
	firstEvent time.Duration // from the end of prefill to the first event
	slowdown   map[string]float64
	busyUntil  map[string]time.Time
	events     []event
}

// event is a future first event.
type event struct {
	at       time.Time
	sent     time.Time
	server   string
	position time.Duration
	assign   placement.Assign
}

func newFleet(servers int, rate float64, firstEvent time.Duration) *fleet {
	return &fleet{balancer: newBalancer(servers), rate: rate, firstEvent: firstEvent, slowdown: map[string]float64{}, busyUntil: map[string]time.Time{}}
}

// send sends a prompt to a server whatever its load, and returns how much later than predicted
// the first event comes.
func (f *fleet) send(now time.Time, tokens int, tieBreak uint64) (lateness time.Duration) {
	f.deliver(now)
	a, ok := f.balancer.Place(now, &placement.Request{Service: "s", Hall: "h", PromptTokens: tokens, TieBreak: tieBreak}).(placement.Assign)
	if !ok {
		return 0
	}
	id := a.Server.ID
	prefill := time.Duration(float64(tokens) / f.rate * float64(time.Millisecond) * max(f.slowdown[id], 1))
	begins := f.busyUntil[id]
	if begins.Before(now) {
		begins = now
	}
	f.busyUntil[id] = begins.Add(prefill)
	at := begins.Add(prefill + f.firstEvent)
	f.events = append(f.events, event{at: at, sent: now, server: id, position: f.balancer.RecordSent(now, a.Load, false), assign: a})
	return at.Sub(now) - a.Predicted
}

// deliver reports the first events up to now to the balancer.
func (f *fleet) deliver(now time.Time) {
	slices.SortFunc(f.events, func(x, y event) int { return x.at.Compare(y.at) })
	for len(f.events) > 0 && !f.events[0].at.After(now) {
		e := f.events[0]
		f.events = f.events[1:]
		f.balancer.RecordLatency(e.server, e.at.Sub(e.sent), e.assign.QueueTime, e.assign.PrefillTime)
		f.balancer.RecordFirstEvent(e.at, e.server, e.position)
	}
}

// run sends prompts of mixed lengths that keep the fleet busy two thirds of the time. It
// returns the median error of each second, relative to the latency on an idle server.
func (f *fleet) run(servers, seconds int) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	const meanTokens = 3000
	every := time.Duration(meanTokens / f.rate * float64(time.Millisecond) / float64(servers) * 1.5)
	errors := make([][]float64, seconds)
	for now := start; now.Before(start.Add(time.Duration(seconds) * time.Second)); now = now.Add(every) {
		tokens := 500 + rng.IntN(2*(meanTokens-500))
		lateness := f.send(now, tokens, rng.Uint64())
		alone := float64(tokens)/f.rate*float64(time.Millisecond) + float64(f.firstEvent)
		n := int(now.Sub(start) / time.Second)
		errors[n] = append(errors[n], float64(lateness.Abs())/alone)
	}
	medians := make([]float64, seconds)
	for i, list := range errors {
		slices.Sort(list)
		medians[i] = list[len(list)/2]
	}
	return medians
}

// TestEngineSpeedIsLearned: predictions become accurate within seconds whatever the engines'
// speed, up to five times faster or slower than the policy says. Slow engines give fewer and
// later first events (18 requests per second here), so that they take longer.
func TestEngineSpeedIsLearned(t *testing.T) {
	policy := placement.DefaultPolicy()
	tests := []struct {
		name       string
		rate       float64 // tokens per millisecond
		firstEvent time.Duration
		after      int // seconds
	}{
		{"as the policy says", policy.PrefillTokensPerMS, policy.FirstEventDelay, 1},
		{"five times as fast", 5 * policy.PrefillTokensPerMS, policy.FirstEventDelay / 5, 1},
		{"five times as slow", policy.PrefillTokensPerMS / 5, 5 * policy.FirstEventDelay, 4},
		{"fast reading, slow first step", 5 * policy.PrefillTokensPerMS, 3 * policy.FirstEventDelay, 1},
		{"slow reading, fast first step", policy.PrefillTokensPerMS / 3, policy.FirstEventDelay / 3, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const servers, seconds = 9, 8
			medians := newFleet(servers, test.rate, test.firstEvent).run(servers, seconds)
			fmt.Printf("figure miss-%s %.2f %.2f %.2f share-of-time-alone-in-seconds-1-2-5\n", test.name, medians[0], medians[1], medians[4])
			for _, m := range medians[test.after:] {
				require.Less(t, m, 0.25)
			}
		})
	}
}

// TestOutlierDoesNotChangeServiceSpeed: one server that is ten times slower does not change
// the estimate for the others.
func TestOutlierDoesNotChangeServiceSpeed(t *testing.T) {
	const servers, seconds = 9, 4
	policy := placement.DefaultPolicy()
	normal, outlier := newFleet(servers, policy.PrefillTokensPerMS, policy.FirstEventDelay), newFleet(servers, policy.PrefillTokensPerMS, policy.FirstEventDelay)
	outlier.slowdown["i-03"] = 10
	normal.run(servers, seconds)
	outlier.run(servers, seconds)
	require.InEpsilon(t, normal.balancer.Speed("s").PrefillSlowdown, outlier.balancer.Speed("s").PrefillSlowdown, 0.2)
}

// TestEngineWithoutSlots guards against an engine whose slots are missing or negative in the
// configuration: its servers counted as crowded, and requests were refused as late. The slots of their
// entries count.
func TestEngineWithoutSlots(t *testing.T) {
	for _, slots := range []int{0, -1, -64, math.MinInt} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			assigned := map[int]placement.Assign{}
			for _, n := range []int{slots, 64} {
				b := placement.NewBalancer(placement.DefaultPolicy())
				b.SetServers(start, []catalog.Server{{ID: "i-1", Service: "m", Hall: "h", Capacity: 64}}, func(string) *catalog.Engine {
					return &catalog.Engine{Slots: n, KVTokens: 500_000}
				})
				b.SetRemoteRunning("i-1", 40)
				a, ok := b.Place(start, &placement.Request{Service: "m", Hall: "h", PromptTokens: 1000, Objective: time.Second, Remaining: time.Minute}).(placement.Assign)
				require.True(t, ok)
				assigned[n] = a
			}
			require.Equal(t, assigned[64].Predicted, assigned[slots].Predicted)
		})
	}
}

// TestNoSlotsAnywhere guards against a server of whose slots neither the configuration nor its entry
// tells, and that counts as full while it is idle: no slots in use of none are no share of them.
func TestNoSlotsAnywhere(t *testing.T) {
	for _, slots := range []int{0, -1, math.MinInt} {
		b := placement.NewBalancer(placement.DefaultPolicy())
		b.SetServers(start, []catalog.Server{{ID: "i-1", Service: "m", Hall: "h", Capacity: slots}}, func(string) *catalog.Engine {
			return &catalog.Engine{Slots: slots, KVTokens: 500_000}
		})
		for _, over := range []bool{false, true} {
			r := &placement.Request{Service: "m", Hall: "h", PromptTokens: 1000, Objective: time.Second, Remaining: time.Minute, OverShare: over, ShareRatio: 0.6}
			require.IsType(t, placement.Assign{}, b.Place(start, r), "%d slots, over share %v", slots, over)
		}
	}
}
