package continuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longRun returns a run of 10,000 prompt tokens and 20 s, whose copy takes 24 ms.
func longRun() Run {
	return Run{
		Service: "s", Hall: "h1", PromptTokens: 10_000, OutputTokens: 1000, EventTokens: 5, EventInterval: 100 * time.Millisecond, Events: 1,
		Remaining: time.Minute, BytesPerToken: 163_840, LinkMbps: 550_000,
	}
}

// TestLeaving checks what becomes of a run at a server that ends in 3 s.
func TestLeaving(t *testing.T) {
	near := []Server{{"a", "h2", 0, 64}, {"b", "h1", 20, 64}, {"c", "h1", 8, 64}}
	tests := []struct {
		name    string
		change  func(r *Run, p *Planner)
		servers []Server
		left    time.Duration
		want    Decision
	}{
		{"least loaded of its hall", nil, near, 3 * time.Second, Move{"c"}},
		{"other hall", nil, near[:1], 3 * time.Second, Move{"a"}},
		{"hall is full", nil, []Server{{"a", "h2", 63, 64}, {"b", "h1", 64, 64}}, 3 * time.Second, Move{"a"}},
		{"slots unknown", nil, []Server{{"a", "h2", 63, 0}}, 3 * time.Second, Move{"a"}},
		{"target has a move in progress", func(_ *Run, p *Planner) { p.incoming["c"] = 20 }, near, 3 * time.Second, Move{"b"}},
		{"last slot is promised", func(_ *Run, p *Planner) { p.incoming["a"] = 1 }, []Server{{"a", "h1", 63, 64}}, 3 * time.Second, Wait{recheckInterval, NoTarget}},
		{"all full", nil, []Server{{"a", "h1", 64, 64}}, 3 * time.Second, Wait{recheckInterval, NoTarget}},
		{"no server", nil, nil, 3 * time.Second, Wait{recheckInterval, NoTarget}},
		{"ends long before", func(r *Run, _ *Planner) { r.OutputTokens = 50 }, near, 3 * time.Second, Wait{recheckInterval, EndsInTime}},
		{"ends just before", func(r *Run, _ *Planner) { r.OutputTokens = 110 }, near, 3 * time.Second, Wait{recheckInterval, EndsInTime}},
		{"ends within the margin", func(r *Run, _ *Planner) { r.OutputTokens = 140 }, near, 3 * time.Second, Move{"c"}},
		{"half of a short one done", func(r *Run, _ *Planner) { r.OutputTokens, r.Events = 140, 14 }, near, 3 * time.Second, Wait{recheckInterval, EndsInTime}},
		{"longer than expected", func(r *Run, _ *Planner) { r.OutputTokens, r.Events = 10, 200 }, near, 3 * time.Second, Move{"c"}},
		{"length unknown", func(r *Run, _ *Planner) { r.OutputTokens = 0 }, near, 3 * time.Second, Move{"c"}},
		{"pace unknown", func(r *Run, _ *Planner) { r.EventInterval = 0 }, near, 3 * time.Second, Move{"c"}},
		{"pace of the service", func(r *Run, p *Planner) {
			r.EventInterval, r.OutputTokens = 0, 100
			p.RecordPace("s", 10*time.Millisecond)
		}, near, 3 * time.Second, Wait{recheckInterval, EndsInTime}},
		{"first event is late", func(r *Run, _ *Planner) { r.Events, r.OutputTokens, r.FirstEvent = 0, 50, 2*time.Second }, near, 3 * time.Second, Move{"c"}},
		{"caller stops waiting before", func(r *Run, _ *Planner) { r.Remaining = time.Second }, near, 3 * time.Second, Wait{recheckInterval, EndsInTime}},
		{"too late", nil, near, 550 * time.Millisecond, Stay{NoTime}},
		{"copy takes too long", func(r *Run, _ *Planner) { r.PromptTokens = 1_100_000 }, near, 3 * time.Second, Stay{NoTime}},
		{"eight moves in progress", func(_ *Run, p *Planner) { p.moves = 8 }, near, 3 * time.Second, Wait{retryInterval, TooManyMoves}},
		{"link time used up", func(_ *Run, p *Planner) { p.linkTime = 0.02 }, near, 3 * time.Second, Wait{retryInterval, LinksBusy}},
		{"link time is short for another hall", func(_ *Run, p *Planner) { p.linkTime = 0.03 }, near[:1], 3 * time.Second, Wait{retryInterval, LinksBusy}},
		{"link time is enough for its hall", func(_ *Run, p *Planner) { p.linkTime = 0.03 }, near, 3 * time.Second, Move{"c"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, now, r := NewPlanner(DefaultLimits()), time.Unix(1e9, 0), longRun()
			p.SetFleet(now, 40, 20)
			if test.change != nil {
				test.change(&r, p)
			}
			require.Equal(t, test.want, p.Leaving(now, r, test.left, test.servers))
		})
	}
}

// TestTargetsSpread: gateways that move runs off a server at the same time choose targets of similar load
// evenly, and none with much more load.
func TestTargetsSpread(t *testing.T) {
	var targets []Server
	for i := range 10 {
		targets = append(targets, Server{fmt.Sprint("s", i), "h1", i / 8 * 30, 64})
	}
	moved := map[string]int{}
	for i := range 800 {
		p, now, r := NewPlanner(DefaultLimits()), time.Unix(1e9, 0), longRun()
		p.SetFleet(now, 40, 20)
		r.TieBreak = uint64(i) * 0x9e3779b97f4a7c15
		m, ok := p.Leaving(now, r, 3*time.Second, targets).(Move)
		require.True(t, ok)
		moved[m.Target]++
	}
	require.Len(t, moved, 8)
	for id, n := range moved {
		require.InDelta(t, 100, n, 40, id)
	}
}

// TestBackup checks which runs are backed up and where.
func TestBackup(t *testing.T) {
	near := []Server{{"a", "h2", 0, 64}, {"b", "h1", 20, 64}, {"c", "h1", 8, 64}}
	crashes := func(n int) func(*Run, *Planner) {
		return func(_ *Run, p *Planner) {
			for i := range n {
				p.RecordCrash(time.Unix(1e9-29, 0), fmt.Sprint("x", i))
			}
		}
	}
	tests := []struct {
		name    string
		change  func(r *Run, p *Planner)
		servers []Server
		want    string // empty: none
	}{
		{"no crash", crashes(0), near, ""},
		{"one crash among many servers", crashes(1), near, ""},    // 0.00005 a second x 20 s x 10 s is 10 ms; a copy takes 26 ms
		{"a fifth of the servers at once", crashes(8), near, "c"}, // 0.0003 a second x 20 s x 10 s, unless the backup crashes as well, is 49 ms
		{"copy costs more", func(r *Run, p *Planner) { crashes(8)(r, p); r.PromptTokens = 100_000 }, near, ""},
		{"and again", func(r *Run, p *Planner) {
			crashes(8)(r, p)
			for i := range 8 {
				p.RecordCrash(time.Unix(1e9-10, 0), fmt.Sprint("y", i))
			}
			r.PromptTokens = 100_000
		}, near, "c"},
		{"crashes long ago", func(_ *Run, p *Planner) {
			for i := range 8 {
				p.RecordCrash(time.Unix(1e9-31, 0), fmt.Sprint("x", i))
			}
		}, near, ""},
		{"same crashes twice", func(r *Run, p *Planner) {
			crashes(8)(r, p)
			for i := range 8 {
				p.RecordCrash(time.Unix(1e9, 0), fmt.Sprint("x", i))
			}
			r.PromptTokens = 100_000
		}, near, ""},
		{"they had not crashed", func(r *Run, p *Planner) {
			crashes(8)(r, p)
			for i := range 8 {
				p.RecordBack(fmt.Sprint("x", i))
			}
		}, near, ""},
		{"length unknown", func(r *Run, p *Planner) { crashes(8)(r, p); r.OutputTokens = 0 }, near, ""},
		{"short run", func(r *Run, p *Planner) { crashes(40)(r, p); r.OutputTokens = 50 }, near, ""},
		{"no server in its hall", crashes(8), near[:1], ""},
		{"fewest copies", func(r *Run, p *Planner) { crashes(8)(r, p); p.backups["c"] = 1 }, near, "b"},
		{"no slot", crashes(8), []Server{{"b", "h1", 64, 64}}, ""},
		{"link time is kept for moves", func(r *Run, p *Planner) { crashes(8)(r, p); p.linkTime = 0.5*p.maxLinkTime() + 0.02 }, near, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, now, r := NewPlanner(DefaultLimits()), time.Unix(1e9, 0), longRun()
			r.Events = 0
			p.SetFleet(now, 40, 20)
			test.change(&r, p)
			target, ok := "", false
			if p.WorthBackup(now, r) {
				target, ok = p.Backup(r, test.servers)
			}
			require.Equal(t, test.want, target)
			require.Equal(t, test.want != "", ok)
		})
	}
}

// TestLinkTime: all gateways together use at most a tenth of the links' time in the long run, however
// many runs there are to move and to back up.
func TestLinkTime(t *testing.T) {
	const gateways, servers, seconds = 20, 40, 100
	p, now, r := NewPlanner(DefaultLimits()), time.Unix(1e9, 0), longRun()
	p.SetFleet(now, servers, gateways)
	targets := []Server{{"a", "h1", 0, 0}, {"b", "h2", 0, 0}}
	used := time.Duration(0)
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		p.RecordCrash(now, now.String())
		if m, ok := p.Leaving(now, r, 3*time.Second, targets).(Move); ok {
			used += r.copyTime(r.PromptTokens+r.answered(), "h1")
			p.MoveEnded(m.Target)
		}
		if !p.WorthBackup(now, r) {
			continue
		}
		if target, ok := p.Backup(r, targets); ok {
			used += r.copyTime(r.PromptTokens+r.OutputTokens, "h1")
			p.BackupEnded(target)
		}
	}
	limit := 0.1 * servers / gateways * (seconds + p.limits.LinkBurst.Seconds())
	require.LessOrEqual(t, used.Seconds(), limit)
	require.Greater(t, used.Seconds(), 0.9*limit, "the links' time is used")
	require.Empty(t, p.incoming)
	require.Empty(t, p.backups)
	require.Zero(t, p.moves)
}

// BenchmarkLeaving measures a decision among 180 servers.
func BenchmarkLeaving(b *testing.B) {
	p, now, r := NewPlanner(DefaultLimits()), time.Unix(1e9, 0), longRun()
	p.SetFleet(now, 180, 1)
	var targets []Server
	for i := range 180 {
		targets = append(targets, Server{fmt.Sprint("s", i), fmt.Sprint("h", i%3), i % 60, 64})
	}
	for b.Loop() {
		now = now.Add(time.Second)
		if m, ok := p.Leaving(now, r, 3*time.Second, targets).(Move); ok {
			p.MoveEnded(m.Target)
		}
	}
}
