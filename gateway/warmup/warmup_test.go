package warmup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/warmup"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var limits = warmup.Limits{PerSecond: 7, Factor: 1.5, Extra: 5}

func cold(change func(*warmup.Server)) warmup.Server {
	s := warmup.Server{Claim: warmup.Claim{Server: "i-1"}, Limits: limits, ColdUntil: start.Add(3 * time.Second), StartObserved: true}
	if change != nil {
		change(&s)
	}
	return s
}

func always(string) bool { return true }

func first(warmup.Server) int { return 0 }

func TestAllowance(t *testing.T) {
	tests := []struct {
		name   string
		limits warmup.Limits
		want   int
	}{
		{"sustained rate and a half", limits, 10},
		{"below one a second: one if the fleet may send one", warmup.Limits{PerSecond: 0.5, Factor: 1.5, Extra: 1}, 1},
		{"the fleet must not send one in a second", warmup.Limits{PerSecond: 0.5, Factor: 1.5}, 0},
		{"no extra", warmup.Limits{PerSecond: 7, Factor: 1}, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { require.Equal(t, test.want, test.limits.Allowance()) })
	}
}

// TestNextSendAt tests when a gateway may send the next request to a cold server.
func TestNextSendAt(t *testing.T) {
	tests := []struct {
		name   string
		server warmup.Server
		won    bool
		sent   int
		after  time.Duration // since start
		want   time.Duration // time until then; 0: now
	}{
		{"not held", cold(nil), false, 0, 0, 3 * time.Second},
		{"held", cold(nil), true, 0, 0, 0},
		{"one less than the allowance sent", cold(nil), true, 9, 0, 0},
		{"the allowance sent", cold(nil), true, 10, 0, warmup.Window},
		{"a window later", cold(nil), true, 10, warmup.Window, 0},
		{"warm", cold(nil), false, 0, 3 * time.Second, 0},
		{"got requests until now", cold(func(s *warmup.Server) { s.IdleSince = start }), true, 0, 0, time.Second + warmup.Window},
		{"got requests until its hall was evacuated", cold(func(s *warmup.Server) { s.IdleSince = start.Add(-3 * time.Second) }), true, 0, 0, 0},
		{"beginning of the episode not observed", cold(func(s *warmup.Server) { s.StartObserved = false }), true, 0, 0, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := warmup.NewLimiter()
			l.SetServers(start, []warmup.Server{test.server})
			if test.won {
				l.ResolveClaim(start, test.server.Claim, warmup.Won)
			}
			for range test.sent {
				l.RecordSend(start, "i-1")
			}
			now := start.Add(test.after)
			require.Equal(t, test.want, max(l.NextSendAt(now, "i-1").Sub(now), 0))
		})
	}
}

// TestDueClaims tests which claims are written, and when.
func TestDueClaims(t *testing.T) {
	tests := []struct {
		name   string
		server warmup.Server
		rank   int
		wanted bool
		after  time.Duration
		due    bool
	}{
		{"first in rank", cold(nil), 0, true, 0, true},
		{"second in rank, at once", cold(nil), 1, true, 0, false},
		{"second in rank, after the first one's turn", cold(nil), 1, true, 250 * time.Millisecond, true},
		{"no requests for it", cold(nil), 0, false, 0, false},
		{"claimed by another gateway", cold(func(s *warmup.Server) { s.Claimed = true }), 0, true, 0, false},
		{"beginning of the episode not observed", cold(func(s *warmup.Server) { s.StartObserved = false }), 0, true, 0, false},
		{"warm", cold(func(s *warmup.Server) { s.ColdUntil = start }), 0, true, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := warmup.NewLimiter()
			l.SetServers(start, []warmup.Server{test.server})
			rank := func(warmup.Server) int { return test.rank }
			wanted := func(string) bool { return test.wanted }
			list := l.DueClaims(start, wanted, rank)
			if test.after > 0 {
				require.Empty(t, list)
				list = l.DueClaims(start.Add(test.after), wanted, rank)
			}
			require.Equal(t, test.due, len(list) == 1)
			require.Empty(t, l.DueClaims(start.Add(test.after), wanted, rank), "one claim at a time")
		})
	}
}

// TestUnknownOutcomesAreRetried: a claim of unknown outcome is retried, also when a watch reports
// meanwhile that the server is held, since the holder may be this process.
func TestUnknownOutcomesAreRetried(t *testing.T) {
	l := warmup.NewLimiter()
	s := cold(nil)
	l.SetServers(start, []warmup.Server{s})
	now := start
	attempts := 0
	for now.Before(s.ColdUntil) {
		for _, c := range l.DueClaims(now, always, first) {
			attempts++
			l.ResolveClaim(now, c, warmup.Unknown)
			s.Claimed = true
			l.SetServers(now, []warmup.Server{s})
		}
		now = now.Add(50 * time.Millisecond)
	}
	require.Equal(t, 3, attempts)
}

// TestEpisodes: a server is held only in the episode of the claim.
func TestEpisodes(t *testing.T) {
	l := warmup.NewLimiter()
	s := cold(nil)
	l.SetServers(start, []warmup.Server{s})
	l.ResolveClaim(start, s.Claim, warmup.Won)
	s.ColdUntil = s.ColdUntil.Add(time.Second)
	l.SetServers(start, []warmup.Server{s})
	require.False(t, l.NextSendAt(start, "i-1").After(start), "update within the episode")
	s.Episode = 7
	l.SetServers(start, []warmup.Server{s})
	require.Equal(t, s.ColdUntil, l.NextSendAt(start, "i-1"))
	l.ResolveClaim(start, warmup.Claim{Server: "i-1"}, warmup.Won)
	require.Equal(t, s.ColdUntil, l.NextSendAt(start, "i-1"), "late outcome of a claim in the previous episode")
}

// TestHolderKeepsLimit: whenever a holder is asked, its decisions in any Window are bounded, and so is
// what it sends in any second.
func TestHolderKeepsLimit(t *testing.T) {
	l := warmup.NewLimiter()
	s := cold(func(s *warmup.Server) { s.ColdUntil = start.Add(10 * time.Second) })
	l.SetServers(start, []warmup.Server{s})
	l.ResolveClaim(start, s.Claim, warmup.Won)
	var sent []time.Time
	for now := start; now.Before(s.ColdUntil); now = now.Add(7 * time.Millisecond) {
		for range 3 {
			if !l.NextSendAt(now, "i-1").After(now) {
				l.RecordSend(now, "i-1")
				sent = append(sent, now)
			}
		}
	}
	for i, at := range sent {
		n := 0
		for _, later := range sent[i:] {
			if later.Sub(at) < warmup.Window {
				n++
			}
		}
		require.LessOrEqual(t, n, limits.Allowance())
	}
	require.Greater(t, len(sent), 8*limits.Allowance(), "the allowance is used")
}
