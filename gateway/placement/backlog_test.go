package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// wait returns the queue time of a minimal request at the only server.
func wait(b *placement.Balancer, now time.Time) time.Duration {
	policy := placement.DefaultPolicy()
	a := b.Place(now, &placement.Request{Service: "s", Hall: "h", PromptTokens: 1}).(placement.Assign)
	return a.Predicted - policy.FirstEventDelay
}

// TestFirstEventCorrectsBacklog: a server that is further behind than modeled is corrected by
// a single first event, whichever gateway sent the request.
func TestFirstEventCorrectsBacklog(t *testing.T) {
	const work = 100 * time.Millisecond
	firstEventDelay := placement.DefaultPolicy().FirstEventDelay
	b := newBalancer(1)
	var positions []time.Duration
	for range 10 {
		positions = append(positions, b.RecordSent(start, placement.Load{Server: "i-00", Work: work}, true))
	}
	require.InDelta(t, 10*work, wait(b, start), float64(time.Millisecond))
	// The server stalls for a second, then the third request gets its first event.
	now := start.Add(time.Second + 300*time.Millisecond + firstEventDelay)
	require.Less(t, wait(b, now), time.Millisecond, "by RecordSent alone the backlog would be empty")
	remaining, modelError := b.RecordFirstEvent(now, "i-00", positions[2])
	require.Equal(t, 7*work, remaining)
	require.Positive(t, modelError)
	require.InDelta(t, 7*work-firstEventDelay, wait(b, now), float64(time.Millisecond))
	// Recording the same backlog again changes nothing.
	b.RecordBacklog(now, "i-00", remaining)
	require.InDelta(t, 7*work-firstEventDelay, wait(b, now), float64(time.Millisecond))
}

// TestOverdueRequestRaisesBacklog: a first event that does not come also shows a backlog.
func TestOverdueRequestRaisesBacklog(t *testing.T) {
	const work = 100 * time.Millisecond
	b := newBalancer(1)
	first := b.RecordSent(start, placement.Load{Server: "i-00", Work: work}, true)
	b.RecordSent(start, placement.Load{Server: "i-00", Work: 5 * work}, false)
	now := start.Add(2 * time.Second)
	require.Less(t, wait(b, now), time.Millisecond)
	remaining, modelError := b.RecordOverdue(now, "i-00", first)
	require.Equal(t, 5*work, remaining)
	require.Positive(t, modelError)
	require.InDelta(t, 5*work, wait(b, now), float64(time.Millisecond))
	_, modelError = b.RecordOverdue(now, "i-00", first)
	require.Zero(t, modelError, "already known")
}

// TestSlowdownIsLearned: a server that takes four times as long gets predictions to match, and
// recovers once it is as fast as the others again.
func TestSlowdownIsLearned(t *testing.T) {
	const slowdown = 4
	b := newBalancer(1)
	now := start
	var positions []time.Duration
	for range 40 { // all are queued from the start, so that the server is never idle
		positions = append(positions, b.RecordSent(start, placement.Load{Server: "i-00", Work: 50 * time.Millisecond}, false))
	}
	for _, p := range positions {
		now = now.Add(slowdown * 50 * time.Millisecond)
		b.RecordFirstEvent(now, "i-00", p)
	}
	req := &placement.Request{Service: "s", Hall: "h", PromptTokens: 17000}
	normal := newBalancer(1).Place(now, req).(placement.Assign).Predicted
	require.Greater(t, b.Place(now, req).(placement.Assign).Predicted, 3*normal)

	positions = positions[:0]
	for range 200 {
		positions = append(positions, b.RecordSent(now, placement.Load{Server: "i-00", Work: 50 * time.Millisecond}, false))
	}
	for _, p := range positions {
		now = now.Add(50 * time.Millisecond)
		b.RecordFirstEvent(now, "i-00", p)
	}
	require.InDelta(t, normal, b.Place(now, req).(placement.Assign).Predicted, float64(60*time.Millisecond))
}

// TestIdleTimeIsNotSlowdown: time during which a server had nothing to do does not count as
// slowness.
func TestIdleTimeIsNotSlowdown(t *testing.T) {
	b := newBalancer(1)
	now := start
	for range 20 {
		p := b.RecordSent(now, placement.Load{Server: "i-00", Work: 100 * time.Millisecond}, true)
		b.RecordFirstEvent(now.Add(150*time.Millisecond), "i-00", p)
		now = now.Add(2 * time.Second)
	}
	req := &placement.Request{Service: "s", Hall: "h", PromptTokens: 17000}
	require.Equal(t, newBalancer(1).Place(now, req).(placement.Assign).Predicted, b.Place(now, req).(placement.Assign).Predicted)
}

// copyEngine returns an engine whose servers copy cached parts of prompts from one another.
func copyEngine(string) *catalog.Engine {
	return &catalog.Engine{Slots: 64, KVTokens: 500000, BytesPerToken: 163840, LinkMbps: 550000}
}

// TestCacheCopy: a shared part that a server caches is copied rather than recomputed, and only
// when that server is busy.
func TestCacheCopy(t *testing.T) {
	type row struct {
		name   string
		load   time.Duration // on the server that caches the part
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
		{"holder has already failed the request", 0, func(_ []catalog.Server, a *placement.Request, holder string) {
			a.Exclude = []string{holder}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := placement.NewBalancer(placement.DefaultPolicy())
			list := servers(9)
			b.SetServers(start, list, copyEngine)
			first := place(b, start, longRequest(7)).(placement.Assign)
			require.Empty(t, first.CopyFrom, "no server caches it yet")
			now := start.Add(time.Second)
			b.RecordSent(now, placement.Load{Server: first.Server.ID, Work: test.load}, false)
			a := longRequest(7)
			if test.change != nil {
				test.change(list, a, first.Server.ID)
				b.SetServers(now, list, copyEngine)
			}
			second := b.Place(now, a).(placement.Assign)
			if !test.copies {
				require.Empty(t, second.CopyFrom)
				return
			}
			require.NotEqual(t, first.Server.ID, second.Server.ID)
			require.Equal(t, first.Server.Address, second.CopyFrom)
			require.Less(t, second.Load.Work, first.Load.Work/2, "the shared part is not recomputed")
		})
	}
}

// TestNoCopyFromEjectedServer: a copy from a server that cannot be reached would hang.
func TestNoCopyFromEjectedServer(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	b.SetServers(start, servers(9), copyEngine)
	first := place(b, start, longRequest(7)).(placement.Assign)
	b.RecordEnd(start, first.Server.ID, false, placement.Unreachable)
	second := b.Place(start, longRequest(7)).(placement.Assign)
	require.NotEqual(t, first.Server.ID, second.Server.ID)
	require.Empty(t, second.CopyFrom)
}

// TestSimilarServersShareLoad: gateways that decide concurrently and do not know of each other
// do not all choose the same idle server.
func TestSimilarServersShareLoad(t *testing.T) {
	chosen := map[string]int{}
	for tieBreak := range uint64(100) {
		a := &placement.Request{Service: "s", Hall: "h", PromptTokens: 500, Objective: time.Second, TieBreak: tieBreak * 0x9e3779b97f4a7c15}
		chosen[newBalancer(9).Place(start, a).(placement.Assign).Server.ID]++
	}
	require.Len(t, chosen, 9)
	for id, n := range chosen {
		require.Less(t, n, 30, id)
	}
}

// TestSlowdownDecays: a slow server that then gets no requests is tried again; otherwise it
// would stay idle forever.
func TestSlowdownDecays(t *testing.T) {
	b := newBalancer(1)
	now := start
	var positions []time.Duration
	for range 40 {
		positions = append(positions, b.RecordSent(start, placement.Load{Server: "i-00", Work: 50 * time.Millisecond}, false))
	}
	for _, p := range positions {
		now = now.Add(250 * time.Millisecond)
		b.RecordFirstEvent(now, "i-00", p)
	}
	req := &placement.Request{Service: "s", Hall: "h", PromptTokens: 17000}
	normal := newBalancer(1).Place(now, req).(placement.Assign).Predicted
	require.Greater(t, b.Place(now, req).(placement.Assign).Predicted, 3*normal)
	later := b.Place(now.Add(20*time.Second), req).(placement.Assign).Predicted
	require.InDelta(t, normal, later, float64(20*time.Millisecond))
}
