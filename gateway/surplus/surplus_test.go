package surplus_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/surplus"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const objective = 800 * time.Millisecond

// idleServer is idle and would send the first event after 100 ms; no tokens are to spare.
var idleServer = surplus.Server{Predicted: 100 * time.Millisecond, Running: 10, Slots: 64, Slowness: 1}

// newTable returns a table with given share ratios.
func newTable(ratios map[string]float64) *surplus.Table {
	return surplus.NewTable(func(account string) float64 { return ratios[account] })
}

func request(account string, priority int, ratio float64) surplus.Request {
	return surplus.Request{
		Account: account, Tokens: 1000, Objective: objective,
		Position: surplus.Position{Priority: priority, ShareRatio: ratio, FirstAttempt: start},
	}
}

// TestServers guards against requests beyond their account's share that are refused beside servers
// that could serve them soon, and against those that others would have to wait behind.
func TestServers(t *testing.T) {
	tests := []struct {
		name   string
		server surplus.Server
		waited time.Duration
		capped bool
		want   surplus.Decision
	}{
		{"idle", idleServer, 0, false, surplus.Decision{Action: surplus.Grant, Reason: surplus.ServerIdle}},
		{"a quarter of the objective", surplus.Server{Predicted: 200 * time.Millisecond, Slots: 64}, 0, false, surplus.Decision{Action: surplus.Grant, Reason: surplus.ServerIdle}},
		{"prompt too long for the server", surplus.Server{Predicted: 201 * time.Millisecond, Slots: 64}, 0, false, surplus.Decision{Action: surplus.Refuse, Reason: surplus.NoneIdle}},
		{"half of the slots in use", surplus.Server{Predicted: 100 * time.Millisecond, Running: 32, Slots: 64}, 0, false, surplus.Decision{Action: surplus.Grant, Reason: surplus.ServerIdle}},
		{"more slots in use", surplus.Server{Predicted: 100 * time.Millisecond, Running: 33, Slots: 64}, 0, false, surplus.Decision{Action: surplus.Wait, Reason: surplus.NoneIdle}},
		{"one of two slots in use", surplus.Server{Predicted: 100 * time.Millisecond, Running: 1, Slots: 2}, 0, false, surplus.Decision{Action: surplus.Wait, Reason: surplus.NoneIdle}},
		{"none of two slots in use", surplus.Server{Predicted: 100 * time.Millisecond, Slots: 2}, 0, false, surplus.Decision{Action: surplus.Grant, Reason: surplus.ServerIdle}},
		{"the only slot", surplus.Server{Predicted: 100 * time.Millisecond, Slots: 1}, 0, false, surplus.Decision{Action: surplus.Grant, Reason: surplus.ServerIdle}},
		{"the only slot in use", surplus.Server{Predicted: 100 * time.Millisecond, Running: 1, Slots: 1}, 0, false, surplus.Decision{Action: surplus.Wait, Reason: surplus.NoneIdle}},
		{"no slots known", surplus.Server{Predicted: 100 * time.Millisecond}, 0, false, surplus.Decision{Action: surplus.Wait, Reason: surplus.NoneIdle}},
		{"a prompt is queued", surplus.Server{Predicted: 110 * time.Millisecond, QueueTime: 10 * time.Millisecond, Slots: 64}, 0, false, surplus.Decision{Action: surplus.Wait, Reason: surplus.NoneIdle}},
		{"still queued", surplus.Server{Predicted: 300 * time.Millisecond, QueueTime: 200 * time.Millisecond, Slots: 64}, 199 * time.Millisecond, false, surplus.Decision{Action: surplus.Wait, Reason: surplus.NoneIdle}},
		{"queued for long", surplus.Server{Predicted: 300 * time.Millisecond, QueueTime: 200 * time.Millisecond, Slots: 64}, 200 * time.Millisecond, false, surplus.Decision{Action: surplus.Refuse, Reason: surplus.NoneIdle}},
		{"far ahead of a backlogged account", idleServer, 0, true, surplus.Decision{Action: surplus.Refuse, Reason: surplus.Capped}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := request("a", 0, 2)
			r.Waited, r.Capped = test.waited, test.capped
			require.Equal(t, test.want, newTable(nil).Decide(start, r, test.server))
		})
	}
}

// TestOrder guards against capacity that goes to an account while one that comes first, by
// priority, share and age, has been refused it.
func TestOrder(t *testing.T) {
	earlier, later := start.Add(-time.Second), start.Add(time.Second)
	tests := []struct {
		name  string
		other surplus.Demand // of account "b", whose ratio is 1.5; the request's is 2
		ratio float64        // of account "b"
		waits bool
	}{
		{"less of the surplus", surplus.Demand{Priority: 1, FirstAttempt: later}, 1.5, true},
		{"more of the surplus", surplus.Demand{Priority: 1, FirstAttempt: earlier}, 2.5, false},
		{"as much, older", surplus.Demand{Priority: 1, FirstAttempt: earlier}, 2, true},
		{"as much, newer", surplus.Demand{Priority: 1, FirstAttempt: later}, 2, false},
		{"a difference within the counts' age, newer", surplus.Demand{Priority: 1, FirstAttempt: later}, 2.05, false},
		{"more urgent", surplus.Demand{Priority: 0, FirstAttempt: later}, 3, true},
		{"less urgent", surplus.Demand{Priority: 2, FirstAttempt: earlier}, 0.5, false},
		{"far less urgent", surplus.Demand{Priority: math.MaxInt32, FirstAttempt: earlier}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(map[string]float64{"a": 2, "b": test.ratio})
			d := test.other
			d.Account, d.Tokens, d.Need = "b", 1000, 0.5
			table.RecordUnmet(start, d)
			want := surplus.Decision{Action: surplus.Grant, Reason: surplus.ServerIdle}
			if test.waits {
				want = surplus.Decision{Action: surplus.Wait, Reason: surplus.Behind, Ahead: "b"}
			}
			require.Equal(t, want, table.Decide(start, request("a", 1, 2), idleServer))
			require.Equal(t, surplus.Grant, table.Decide(start, request("b", d.Priority, test.ratio), idleServer).Action, "no account waits for itself")
		})
	}
}

// TestProtectionEnds guards against servers that stay idle for demand that no longer exists, that
// no server can serve, or that others can be served beside.
func TestProtectionEnds(t *testing.T) {
	const n = 1000
	tests := []struct {
		name   string
		record func(table *surplus.Table)
		after  time.Duration
		server func(s *surplus.Server)
		waited time.Duration
		want   surplus.Reason
	}{
		{"recent", nil, 499 * time.Millisecond, nil, 0, surplus.Behind},
		{"half a second old", nil, 500 * time.Millisecond, nil, 0, surplus.ServerIdle},
		{"it was served", func(table *surplus.Table) { table.RecordServed(start, "b", 0, n) }, 0, nil, 0, surplus.ServerIdle},
		{"half of it was served", func(table *surplus.Table) { table.RecordServed(start, "b", 0, n/2) }, 0, nil, 0, surplus.Behind},
		{"the server is too slow for it, but it has just begun", nil, 499 * time.Millisecond, func(s *surplus.Server) { s.Slowness = 3 }, 0, surplus.Behind},
		{"the server is too slow for it, for more than half a second", func(table *surplus.Table) {
			for age := 100 * time.Millisecond; age <= 600*time.Millisecond; age += 100 * time.Millisecond {
				table.RecordUnmet(start.Add(age), demand("b", n))
			}
		}, 600 * time.Millisecond, func(s *surplus.Server) { s.Slowness = 3 }, 0, surplus.ServerIdle},
		{"a server that is fast enough", func(table *surplus.Table) {
			for age := 100 * time.Millisecond; age <= 600*time.Millisecond; age += 100 * time.Millisecond {
				table.RecordUnmet(start.Add(age), demand("b", n))
			}
		}, 600 * time.Millisecond, nil, 0, surplus.Behind},
		{"enough servers for both", nil, 0, func(s *surplus.Server) { s.Spare = 1000 + n/5 }, 0, surplus.EnoughIdle}, // 100 ms of 500
		{"not enough servers for both", nil, 0, func(s *surplus.Server) { s.Spare = 1000 + n/5 - 1 }, 0, surplus.Behind},
		{"the request has waited for it", nil, 0, nil, 400 * time.Millisecond, surplus.WaitedEnough},
		{"the request has not waited long enough", nil, 0, nil, 399 * time.Millisecond, surplus.Behind},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(map[string]float64{"a": 2, "b": 1})
			table.RecordUnmet(start, demand("b", n))
			if test.record != nil {
				test.record(table)
			}
			s := idleServer
			if test.server != nil {
				test.server(&s)
			}
			r := request("a", 0, 2)
			r.Waited = test.waited
			require.Equal(t, test.want, table.Decide(start.Add(test.after), r, s).Reason)
		})
	}
}

func demand(account string, tokens float64) surplus.Demand {
	return surplus.Demand{Account: account, FirstAttempt: start, Tokens: tokens, Need: 0.5, Recent: start}
}

// TestWithinShareKeepsAll guards against requests within their share that lose servers to others
// because only a part of their demand counted.
func TestWithinShareKeepsAll(t *testing.T) {
	table := newTable(map[string]float64{"a": 2})
	d := demand("b", 1000)
	d.Need = 0
	table.RecordUnmet(start, d)
	s := idleServer
	s.Spare = 1999
	require.Equal(t, surplus.Behind, table.Decide(start, request("a", 0, 2), s).Reason)
	s.Spare = 2000
	require.Equal(t, surplus.EnoughIdle, table.Decide(start, request("a", 0, 2), s).Reason)
}

// TestRemoteDemand guards against demand of a gateway that is lost, late or gone, which must expire
// by itself, and against reports that make no sense.
func TestRemoteDemand(t *testing.T) {
	tests := []struct {
		name   string
		recent time.Duration // relative to the report
		after  time.Duration // of the decision, after the report
		want   surplus.Reason
	}{
		{"fresh", 0, 0, surplus.Behind},
		{"its gateway is silent", 0, 499 * time.Millisecond, surplus.Behind},
		{"its gateway has died", 0, 500 * time.Millisecond, surplus.ServerIdle},
		{"late", -400 * time.Millisecond, 100 * time.Millisecond, surplus.ServerIdle},
		{"too late", -time.Hour, 0, surplus.ServerIdle},
		{"from the future", time.Hour, 499 * time.Millisecond, surplus.Behind},
		{"from the future, its gateway has died", time.Hour, 500 * time.Millisecond, surplus.ServerIdle},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(map[string]float64{"a": 2, "b": 1})
			d := demand("b", 1000)
			d.Recent = start.Add(test.recent)
			table.RecordRemote(start, []surplus.Demand{d})
			require.Empty(t, table.OwnDemands(start), "it is not passed on")
			require.Equal(t, test.want, table.Decide(start.Add(test.after), request("a", 0, 2), idleServer).Reason)
		})
	}
}

// TestOwnDemands checks what other gateways are told: by account, with the most urgent priority, the
// oldest caller and the least need.
func TestOwnDemands(t *testing.T) {
	table := newTable(nil)
	older := start.Add(-3 * time.Second)
	table.RecordUnmet(start, surplus.Demand{Account: "a", Priority: 2, FirstAttempt: older, Tokens: 100, Need: 2})
	at := start.Add(300 * time.Millisecond)
	table.RecordUnmet(at, surplus.Demand{Account: "a", Priority: 1, FirstAttempt: start, Tokens: 50, Need: 0.5})
	want := map[string]surplus.Demand{"a": {Account: "a", Priority: 1, FirstAttempt: older, Tokens: 150, Need: 0.5, Recent: at}}
	require.Equal(t, want, table.OwnDemands(at))
	later := start.Add(600 * time.Millisecond)
	want["a"] = surplus.Demand{Account: "a", Priority: 1, FirstAttempt: start, Tokens: 50, Need: 0.5, Recent: at}
	require.Equal(t, want, table.OwnDemands(later), "the older demand has expired")
	require.Empty(t, table.OwnDemands(at.Add(500*time.Millisecond)))
}

// TestRetryAfter guards against refused requests that return all at once, faster than the account
// is served, or after they have missed their objective.
func TestRetryAfter(t *testing.T) {
	tests := []struct {
		name      string
		rate      float64 // tokens per second; requests have 100 tokens
		objective time.Duration
		remaining time.Duration
		want      []time.Duration
	}{
		{"in order, one each 100 ms", 1000, 5 * time.Second, 10 * time.Second, []time.Duration{200e6, 300e6, 400e6, 500e6}},
		{"half of the objective at most", 1000, 700 * time.Millisecond, 10 * time.Second, []time.Duration{200e6, 300e6, 350e6, 350e6}},
		{"little of the objective left", 1000, 300 * time.Millisecond, 10 * time.Second, []time.Duration{200e6, 225e6, 225e6}},
		{"late already: a quarter of the remaining time at most", 1000, -time.Second, 1400 * time.Millisecond, []time.Duration{200e6, 300e6, 350e6, 350e6}},
		{"hardly any time remains", 1000, -time.Second, 400 * time.Millisecond, []time.Duration{100e6, 100e6}},
		{"no time remains", 1000, -time.Second, -time.Second, []time.Duration{10e6}},
		{"rate unknown", 0, time.Second, 10 * time.Second, []time.Duration{200e6, 200e6}},
		{"rate near 0", 1e-300, time.Second, 10 * time.Second, []time.Duration{200e6, 500e6, 500e6}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(nil)
			for _, want := range test.want {
				got := table.RetryAfter(start, surplus.Retry{Account: "a", Tokens: 100, Remaining: test.remaining, Objective: test.objective}, test.rate)
				require.Equal(t, want, got)
			}
		})
	}
}

// TestScheduleMovesOn checks that returns that are due free the schedule, and that accounts have one
// each.
func TestScheduleMovesOn(t *testing.T) {
	table := newTable(nil)
	r := surplus.Retry{Account: "a", Tokens: 100, Remaining: 10 * time.Second, Objective: 600 * time.Millisecond}
	for range 5 {
		table.RetryAfter(start, r, 1000)
	}
	require.Equal(t, 300*time.Millisecond, table.RetryAfter(start, r, 1000), "the schedule is full")
	other := r
	other.Account = "b"
	require.Equal(t, 200*time.Millisecond, table.RetryAfter(start, other, 1000))
	require.Equal(t, 200*time.Millisecond, table.RetryAfter(start.Add(time.Second), r, 1000))
}

// TestMemoryIsBounded guards against a table that grows with the names in reports.
func TestMemoryIsBounded(t *testing.T) {
	table := newTable(nil)
	for i := range 10_000 {
		account := fmt.Sprint("account-", i)
		table.RecordRemote(start, []surplus.Demand{demand(account, 10)})
		table.RetryAfter(start, surplus.Retry{Account: account, Tokens: 100, Remaining: 10 * time.Second}, 1000)
	}
	entries, due := table.Size()
	require.LessOrEqual(t, entries, 64)
	require.LessOrEqual(t, due, 4096)
	table.Sweep(start.Add(3 * time.Second))
	entries, due = table.Size()
	require.Zero(t, entries+due)
}

// BenchmarkDecide measures a decision with unmet demand of 30 accounts.
func BenchmarkDecide(b *testing.B) {
	table := newTable(nil)
	for i := range 30 {
		table.RecordUnmet(start, demand(fmt.Sprint("account-", i), 1000))
	}
	for b.Loop() {
		table.Decide(start, request("a", 0, 2), idleServer)
	}
}

// TestLateStreams: a request beyond its account's share must not be given a server where prefill makes
// the streams of others late, however idle the server is.
func TestLateStreams(t *testing.T) {
	const objective = time.Second
	s := surplus.Server{Predicted: 100 * time.Millisecond, Slots: 64}
	require.True(t, s.Suits(objective))
	s.DelaysStreams = true
	require.False(t, s.Suits(objective))
}
