package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// wait is how long a tiny request would wait at the only server.
func wait(b *placement.Balancer, now time.Time) time.Duration {
	policy := placement.DefaultPolicy()
	a := b.Place(now, &placement.Request{Service: "s", Hall: "h", PromptTokens: 1}).(placement.Assign)
	return a.Predicted - policy.FirstStep
}

// TestBacklogIsSeen: a server that is far behind what was believed is known to be so
// after one event, whoever sent the request.
func TestBacklogIsSeen(t *testing.T) {
	const work = 100 * time.Millisecond
	firstStep := placement.DefaultPolicy().FirstStep
	b := engines(1)
	var positions []time.Duration
	for range 10 {
		positions = append(positions, b.RecordSent(start, placement.Load{Server: "i-00", Work: work}, true))
	}
	require.InDelta(t, 10*work, wait(b, start), float64(time.Millisecond))
	// The server stood still for a second; then the third request gets its first event.
	now := start.Add(time.Second + 300*time.Millisecond + firstStep)
	require.Less(t, wait(b, now), time.Millisecond, "by the sends alone all would be done")
	left, miss := b.RecordFirstEvent(now, "i-00", positions[2])
	require.Equal(t, 7*work, left)
	require.Positive(t, miss)
	require.InDelta(t, 7*work-firstStep, wait(b, now), float64(time.Millisecond))
	// Seeing the same again adds nothing.
	b.RecordBacklog(now, "i-00", left)
	require.InDelta(t, 7*work-firstStep, wait(b, now), float64(time.Millisecond))
}

// TestOverdueRequestsShowABacklog: a first event that does not come tells as well.
func TestOverdueRequestsShowABacklog(t *testing.T) {
	const work = 100 * time.Millisecond
	b := engines(1)
	first := b.RecordSent(start, placement.Load{Server: "i-00", Work: work}, true)
	b.RecordSent(start, placement.Load{Server: "i-00", Work: 5 * work}, false)
	now := start.Add(2 * time.Second)
	require.Less(t, wait(b, now), time.Millisecond)
	left, miss := b.RecordOverdue(now, "i-00", first)
	require.Equal(t, 5*work, left)
	require.Positive(t, miss)
	require.InDelta(t, 5*work, wait(b, now), float64(time.Millisecond))
	_, miss = b.RecordOverdue(now, "i-00", first)
	require.Zero(t, miss, "known already")
}

// TestPaceIsLearned: a server that takes four times as long gets predictions that say
// so, and is believed to be as fast as the others some time after.
func TestPaceIsLearned(t *testing.T) {
	const slower = 4
	b := engines(1)
	now := start
	var positions []time.Duration
	for range 40 { // all are there from the start, so that the server never rests
		positions = append(positions, b.RecordSent(start, placement.Load{Server: "i-00", Work: 50 * time.Millisecond}, false))
	}
	for _, p := range positions {
		now = now.Add(slower * 50 * time.Millisecond)
		b.RecordFirstEvent(now, "i-00", p)
	}
	ask := &placement.Request{Service: "s", Hall: "h", PromptTokens: 17000}
	usual := engines(1).Place(now, ask).(placement.Assign).Predicted
	require.Greater(t, b.Place(now, ask).(placement.Assign).Predicted, 3*usual)

	positions = positions[:0]
	for range 200 {
		positions = append(positions, b.RecordSent(now, placement.Load{Server: "i-00", Work: 50 * time.Millisecond}, false))
	}
	for _, p := range positions {
		now = now.Add(50 * time.Millisecond)
		b.RecordFirstEvent(now, "i-00", p)
	}
	require.InDelta(t, usual, b.Place(now, ask).(placement.Assign).Predicted, float64(60*time.Millisecond))
}

// TestIdleTimeIsNotSlowness: a server that had nothing to do for a while is not slow.
func TestIdleTimeIsNotSlowness(t *testing.T) {
	b := engines(1)
	now := start
	for range 20 {
		p := b.RecordSent(now, placement.Load{Server: "i-00", Work: 100 * time.Millisecond}, true)
		b.RecordFirstEvent(now.Add(150*time.Millisecond), "i-00", p)
		now = now.Add(2 * time.Second)
	}
	ask := &placement.Request{Service: "s", Hall: "h", PromptTokens: 17000}
	require.Equal(t, engines(1).Place(now, ask).(placement.Assign).Predicted, b.Place(now, ask).(placement.Assign).Predicted)
}

// copying is an engine whose servers take cached parts of prompts from one another.
func copying(string) *catalog.Engine {
	return &catalog.Engine{Slots: 64, KVTokens: 500000, BytesPerToken: 163840, LinkMbps: 550000}
}

// TestCopies: a shared part that is held somewhere is copied rather than read again, and
// only when its server is busy.
func TestCopies(t *testing.T) {
	type row struct {
		name   string
		load   time.Duration // on the server that holds the part
		change func(list []catalog.Server, a *placement.Request, holder string)
		copies bool
	}
	tests := []row{
		{"holder idle", 0, nil, false},
		{"holder busy", time.Second, nil, true},
		{"holder leaves", 0, func(list []catalog.Server, _ *placement.Request, holder string) {
			for i := range list {
				list[i].Leaving = list[i].ID == holder
			}
		}, true},
		{"holder has failed this request", 0, func(_ []catalog.Server, a *placement.Request, holder string) {
			a.Exclude = []string{holder}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := placement.NewBalancer(placement.DefaultPolicy())
			list := servers(9)
			b.SetServers(start, list, copying)
			first := put(b, start, long(7)).(placement.Assign)
			require.Empty(t, first.CopyFrom, "nobody holds it yet")
			now := start.Add(time.Second)
			b.RecordSent(now, placement.Load{Server: first.Server.ID, Work: test.load}, false)
			a := long(7)
			if test.change != nil {
				test.change(list, a, first.Server.ID)
				b.SetServers(now, list, copying)
			}
			second := b.Place(now, a).(placement.Assign)
			if !test.copies {
				require.Empty(t, second.CopyFrom)
				return
			}
			require.NotEqual(t, first.Server.ID, second.Server.ID)
			require.Equal(t, first.Server.Address, second.CopyFrom)
			require.Less(t, second.Load.Work, first.Load.Work/2, "the shared part is not read")
		})
	}
}

// TestRestingServersAreNoSource: a copy from a server that can't be reached would hang.
func TestRestingServersAreNoSource(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	b.SetServers(start, servers(9), copying)
	first := put(b, start, long(7)).(placement.Assign)
	b.RecordEnd(start, first.Server.ID, false, placement.Unreachable)
	second := b.Place(start, long(7)).(placement.Assign)
	require.NotEqual(t, first.Server.ID, second.Server.ID)
	require.Empty(t, second.CopyFrom)
}

// TestAlikeServersShare: gateways that decide at the same moment, without knowing of
// each other, do not all choose the same idle server.
func TestAlikeServersShare(t *testing.T) {
	chosen := map[string]int{}
	for draw := range uint64(100) {
		a := &placement.Request{Service: "s", Hall: "h", PromptTokens: 500, Objective: time.Second, TieBreak: draw * 0x9e3779b97f4a7c15}
		chosen[engines(9).Place(start, a).(placement.Assign).Server.ID]++
	}
	require.Len(t, chosen, 9)
	for id, n := range chosen {
		require.Less(t, n, 30, id)
	}
}

// TestSlownessIsForgotten: a server that was slow and then got no requests is tried again,
// or it would idle for good.
func TestSlownessIsForgotten(t *testing.T) {
	b := engines(1)
	now := start
	var positions []time.Duration
	for range 40 {
		positions = append(positions, b.RecordSent(start, placement.Load{Server: "i-00", Work: 50 * time.Millisecond}, false))
	}
	for _, p := range positions {
		now = now.Add(250 * time.Millisecond)
		b.RecordFirstEvent(now, "i-00", p)
	}
	ask := &placement.Request{Service: "s", Hall: "h", PromptTokens: 17000}
	usual := engines(1).Place(now, ask).(placement.Assign).Predicted
	require.Greater(t, b.Place(now, ask).(placement.Assign).Predicted, 3*usual)
	later := b.Place(now.Add(20*time.Second), ask).(placement.Assign).Predicted
	require.InDelta(t, usual, later, float64(20*time.Millisecond))
}
