package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/placement"
)

const (
	quietInterval = eventTokens * decodeStep
	chunkTime     = 93_818 * time.Microsecond // of 4,096 tokens by the policy's figures
	busyInterval  = eventTokens * (chunkTime + decodeStep)
	roomyMemory   = 1 << 30
)

// prefillOf returns the time of a prompt by the policy's figures.
func prefillOf(tokens int) time.Duration {
	n := float64(tokens)
	return time.Duration((n/45 + n*n/2/3e6) * float64(time.Millisecond))
}

// predictedPause returns the pause that the only server's streams are expected to have if a prompt is
// sent there.
func predictedPause(t *testing.T, b *placement.Balancer, now time.Time, tokens int) time.Duration {
	t.Helper()
	a, ok := b.Place(now, &placement.Request{Service: "m", Hall: "h", PromptTokens: tokens}).(placement.Assign)
	require.True(t, ok)
	return a.Pause
}

// TestStartsFromPolicy guards against a gateway that has just started and predicts other pauses than
// by the policy's figures, and against other chunks and steps than those that the figures of the page
// are for.
func TestStartsFromPolicy(t *testing.T) {
	b := memoryBalancer(1, roomyMemory, longestPause)
	require.InDelta(t, quietInterval, predictedPause(t, b, start, 0), float64(time.Microsecond))
	require.InDelta(t, quietInterval+prefillOf(5000), predictedPause(t, b, start, 5000), float64(time.Millisecond))
	require.InDelta(t, quietInterval+busyInterval, predictedPause(t, b, start, 1_000_000), float64(time.Millisecond))
}

// TestRegardsPausesFrom guards against a longest pause that counts as reachable although prefill makes
// no stream late at an engine of nominal speed, or the reverse.
func TestRegardsPausesFrom(t *testing.T) {
	for _, test := range []struct {
		longest  time.Duration
		regarded bool
	}{
		{quietInterval, false},
		{quietInterval + time.Millisecond, true},
		{quietInterval + busyInterval - time.Millisecond, true},
		{quietInterval + busyInterval + time.Millisecond, false},
	} {
		b := memoryBalancer(1, roomyMemory, test.longest)
		require.Equal(t, test.regarded, b.RegardsPauses("m"), test.longest)
		require.Equal(t, test.regarded, predictedPause(t, b, start, 5000) > 0, test.longest)
	}
}

// TestBusyPeriod guards against a pause that is predicted from a part of the busy period only, or from
// the time before it, when the server had nothing to prefill.
func TestBusyPeriod(t *testing.T) {
	const work = 100 * time.Millisecond
	b := memoryBalancer(1, roomyMemory, longestPause)
	at := func(d time.Duration) time.Time { return start.Add(time.Minute + d) }
	send := func(d time.Duration) { b.RecordSent(at(d), placement.Load{Server: "i-00", Work: work}, false) }
	requirePause := func(d, period time.Duration) {
		t.Helper()
		require.InDelta(t, quietInterval+period, predictedPause(t, b, at(d), 2000), float64(time.Millisecond))
	}
	requirePause(0, prefillOf(2000))
	send(0)
	requirePause(50*time.Millisecond, work+prefillOf(2000))
	send(80 * time.Millisecond) // before the first one is done
	requirePause(150*time.Millisecond, 2*work+prefillOf(2000))
	requirePause(time.Second, prefillOf(2000))
	send(time.Second) // another period
	requirePause(time.Second+10*time.Millisecond, work+prefillOf(2000))
}

// TestCostOfPauses guards against streams that count for more or less than 100 ms each, or for other
// than the share of them that is expected to be late: a request goes past a server as long as the first
// event at another one comes earlier than that.
func TestCostOfPauses(t *testing.T) {
	tests := []struct {
		name          string
		tokens        int
		local, remote int
		cost          time.Duration
	}{
		{"late for certain, own streams", 45_000, 3, 0, 300 * time.Millisecond},
		{"late for certain, other gateways' streams", 45_000, 0, 3, 300 * time.Millisecond},
		{"late for certain, both", 45_000, 4, 2, 600 * time.Millisecond},
		{"late in slow moments", 11_000, 5, 5, 200 * time.Millisecond}, // a pause of 0.6 of the longest
		{"hardly ever late", 4000, 10, 10, 0},
		{"no streams", 45_000, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, shorter := range []bool{false, true} { // than the cost: the wait at the other server
				b := memoryBalancer(2, roomyMemory, longestPause)
				now := start.Add(time.Minute)
				for range test.local {
					b.RecordSent(start, placement.Load{Server: "i-00"}, true)
				}
				b.SetRemoteRunning("i-00", test.remote)
				wait, want := test.cost+15*time.Millisecond, "i-00" // costs differ by up to 10 ms at random
				if shorter {
					wait, want = test.cost-15*time.Millisecond, "i-01"
				}
				if wait <= 0 {
					continue
				}
				b.RecordSent(now, placement.Load{Server: "i-01", Work: wait}, false)
				a := b.Place(now, &placement.Request{Service: "m", Hall: "h", PromptTokens: test.tokens}).(placement.Assign)
				require.Equal(t, want, a.Server.ID, "wait %v", wait)
				avoided := placement.Avoided{}
				if shorter {
					avoided = placement.Avoided{Server: "i-00", Reason: placement.AvoidPauses, LateShare: float64(test.cost) / float64(100*time.Millisecond) / float64(test.local+test.remote)}
				}
				require.Equal(t, avoided.Server, a.Avoided.Server)
				require.Equal(t, avoided.Reason, a.Avoided.Reason)
				require.InDelta(t, avoided.LateShare, a.Avoided.LateShare, 0.01)
			}
		})
	}
}

// TestMemoryThatFits guards against runs whose prompt or expected answer does not count, in what is held
// and in what is asked for: a request takes a longer wait at another server exactly if it does not fit.
func TestMemoryThatFits(t *testing.T) {
	const memory, held = 100_000, 50_000
	tests := []struct {
		name                     string
		prompt, output, expected int
		cached                   int // tokens of the prompt in the first server's cache
		fits                     bool
	}{
		{"exactly", 30_000, 20_000, 0, 0, true},
		{"prompt too long", 30_001, 20_000, 0, 0, false},
		{"answer too long", 30_000, 20_001, 0, 0, false},
		{"answer longer than its caller says", 30_000, 10, 20_001, 0, false},
		{"answer shorter than its caller says", 30_000, 40_000, 20_000, 0, true},
		{"prompt cached", 60_000, 20_000, 0, 30_000, true},
		{"too little of the prompt cached", 60_000, 20_000, 0, 29_999, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := memoryBalancer(2, memory, longestPause)
			now := start.Add(time.Minute)
			r := &placement.Request{Service: "m", Hall: "h", PromptTokens: test.prompt, OutputTokens: test.output, ExpectedOutput: test.expected}
			r.Parts = []placement.Part{{Hash: 1, Tokens: test.cached}, {Hash: 2, Tokens: test.prompt - test.cached}}
			b.RecordCached(now, "i-00", []uint64{1})
			b.RecordSent(now, placement.Load{Server: "i-00", HeldTokens: held}, true)
			b.RecordSent(now, placement.Load{Server: "i-01", Work: 5 * time.Second}, false)
			a := b.Place(now, r).(placement.Assign)
			if test.fits {
				require.Equal(t, "i-00", a.Server.ID)
				require.Equal(t, placement.Avoided{}, a.Avoided)
				require.Equal(t, memory-held, a.Load.HeldTokens)
				return
			}
			require.Equal(t, "i-01", a.Server.ID)
			require.Equal(t, placement.Avoided{Server: "i-00", Reason: placement.AvoidMemory, FullServers: 1}, a.Avoided)
		})
	}
}

// TestMemoryExceeded guards against a request that is held or refused because it fits nowhere.
func TestMemoryExceeded(t *testing.T) {
	b := memoryBalancer(2, 100_000, longestPause)
	a, ok := b.Place(start, &placement.Request{Service: "m", Hall: "h", PromptTokens: 20_000, OutputTokens: 90_000, Objective: time.Second, CallerTimeout: time.Second}).(placement.Assign)
	require.True(t, ok)
	require.Equal(t, placement.Avoided{FullServers: 2, FitsNowhere: true}, a.Avoided)

	ignored := memoryBalancer(2, 100_000, 0)
	a, ok = ignored.Place(start, &placement.Request{Service: "m", Hall: "h", PromptTokens: 20_000, OutputTokens: 90_000}).(placement.Assign)
	require.True(t, ok)
	require.Equal(t, placement.Avoided{}, a.Avoided)
	require.Zero(t, a.Load.HeldTokens)
}

// TestMemoryUnknown guards against an engine that reports no memory, or a negative one, and whose servers
// count as full.
func TestMemoryUnknown(t *testing.T) {
	for _, tokens := range []int{0, -1, math.MinInt} {
		b := memoryBalancer(2, tokens, longestPause)
		a, ok := b.Place(start, &placement.Request{Service: "m", Hall: "h", PromptTokens: 20_000, OutputTokens: 100}).(placement.Assign)
		require.True(t, ok)
		require.Equal(t, placement.Avoided{}, a.Avoided, "%d tokens", tokens)
	}
}

// TestSlowServerIsTriedAgain guards against a server that was slow for a while and that no request
// reaches any more, since only first events there show that it is as fast as the others again. What
// was seen of it counts less and less, until the median of its service does. While it counts, the
// streams there are expected to pause for longer.
func TestSlowServerIsTriedAgain(t *testing.T) {
	const (
		count  = 5
		slow   = "i-00"
		round  = 2 * time.Second
		rounds = 3 // in which the server is slow
		after  = 16 * time.Second
	)
	for _, median := range []float64{0.5, 1, 2} { // slowness of the others
		t.Run(fmt.Sprint("median ", median), func(t *testing.T) {
			b := memoryBalancer(count, roomyMemory, longestPause)
			for i := range count {
				b.SetRemoteRunning(fmt.Sprintf("i-%02d", i), 10)
			}
			work := func(now time.Time, server string, slowness float64) {
				const each = 50 * time.Millisecond
				var positions []time.Duration
				for range 4 {
					positions = append(positions, b.RecordSent(now, placement.Load{Server: server, Work: each}, false))
				}
				for i, p := range positions {
					b.RecordFirstEvent(now.Add(time.Duration(float64(i+1)*slowness*float64(each))), server, p)
				}
			}
			others := func(now time.Time) {
				for i := 1; i < count; i++ {
					work(now, fmt.Sprintf("i-%02d", i), median)
				}
			}
			// sent returns the share of requests that the server gets.
			sent := func(now time.Time) float64 {
				const requests = 500
				n := 0
				for i := range uint64(requests) {
					r := &placement.Request{Service: "m", Hall: "h", PromptTokens: 4000, TieBreak: i * 0x9e3779b97f4a7c15, Objective: simObjective, CallerTimeout: simTimeout, Remaining: time.Minute}
					if b.Place(now, r).(placement.Assign).Server.ID == slow {
						n++
					}
				}
				return float64(n) / requests
			}
			// pause returns the pause of the streams there during prefill without a break.
			pause := func(now time.Time) time.Duration {
				r := &placement.Request{Service: "m", Hall: "h", PromptTokens: 1_000_000}
				for i := 1; i < count; i++ {
					r.Exclude = append(r.Exclude, fmt.Sprintf("i-%02d", i))
				}
				return b.Place(now, r).(placement.Assign).Pause
			}
			now := start
			for range rounds {
				others(now)
				work(now, slow, 4*median)
				now = now.Add(round)
			}
			require.Zero(t, sent(now))
			require.Greater(t, pause(now), quietInterval+busyInterval*3/2)
			for end := now.Add(after); now.Before(end); now = now.Add(round) {
				others(now)
			}
			require.InDelta(t, 1.0/count, sent(now), 0.15)
			require.InEpsilon(t, quietInterval+busyInterval, pause(now), 0.1)
		})
	}
}

// BenchmarkPlaceFullServers places prompts while half of the servers have no free memory: all servers are
// compared again, to record which of these was avoided.
func BenchmarkPlaceFullServers(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprint("half of the servers full=", full), func(b *testing.B) {
			balancer, now := pausingBalancer(300 * time.Millisecond)
			for i, s := range servers(180) {
				if full && i%2 == 0 {
					balancer.RecordSent(start, placement.Load{Server: s.ID, HeldTokens: streamEngine.KVTokens}, true)
				}
			}
			for i := 0; b.Loop(); i++ {
				r := longRequest(uint64(i) << 20)
				r.Parts = nil
				balancer.Place(now, r)
			}
		})
	}
}
