package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/budget"
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
)

// newTestDispatcher is a desk before model servers, whose duty does not run.
func newTestDispatcher(t testing.TB, now time.Time, servers int) *dispatcher {
	t.Helper()
	g, err := New(Options{
		Peer: peer.Options{Address: "127.0.0.1:0"}, Log: zerolog.Nop(),
		Dispatcher: DispatcherOptions{ShareWindow: 4 * time.Second, Hall: "h", Policy: placement.DefaultPolicy(), Retries: budget.Limits{Ratio: 0.2, FixedRetries: 50, Window: 10 * time.Second}},
	})
	require.NoError(t, err)
	c, err := catalog.NewConfiguration(catalog.Document{
		Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 64, KVTokens: 500000}}},
		Limits: catalog.Limits{TokensPerSecond: 1000},
	})
	require.NoError(t, err)
	v := &View{Configuration: c}
	for i := range servers {
		v.Servers = append(v.Servers, catalog.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", Hall: "h"})
	}
	d := g.dispatcher
	d.queue.timer = time.NewTimer(time.Hour)
	d.setView(now, v)
	return d
}

// busy gives every server so much to read.
func (d *dispatcher) busy(now time.Time, work time.Duration) {
	for id := range d.serverIDs {
		d.balancer.RecordSent(now, placement.Load{Server: d.serverIDs[id], Work: work}, false)
	}
}

// placeRequest asks for a place for a placeRequest of an account.
func (d *dispatcher) placeRequest(now time.Time, account string, change func(a *placement.Request)) (reply chan placement.Decision, leave func()) {
	a := &placement.Request{
		Service: "s", Account: account, Hall: "h", PromptTokens: 1000, Objective: 300 * time.Millisecond,
		CallerTimeout: 2400 * time.Millisecond, Remaining: 10 * time.Second,
	}
	if change != nil {
		change(a)
	}
	reply = make(chan placement.Decision, 1)
	ended := make(chan struct{})
	d.place(now, placementRequest{request: a, tokens: 1000, done: ended, reply: reply})
	return reply, func() { close(ended) }
}

// overdrawn is an account that has got more than its share.
func (d *dispatcher) overdrawn(now time.Time, account string, tokens float64) {
	d.shares.RecordAsked(now, account, 10*tokens)
	d.shares.RecordAdmitted(now, account, tokens)
	d.shares.Recompute(now, 1000)
}

// TestLateRequestsWait: what can't be in time any more is neither refused nor put before
// those that can be; it is sent when servers hardly wait.
func TestLateRequestsWait(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 2)
	d.busy(now, 600*time.Millisecond)
	reply, _ := d.placeRequest(now, "a", nil)
	require.Empty(t, reply)
	d.scanWaiting(now.Add(300 * time.Millisecond))
	require.Empty(t, reply, "servers have 300 ms to read")
	d.scanWaiting(now.Add(590 * time.Millisecond))
	require.IsType(t, placement.Assign{}, <-reply)
	require.Empty(t, d.queue.list)
	require.Zero(t, d.queue.reading)
}

// TestBeyondShareWaitsAMoment: one that can still be in time is held until a server runs
// dry, and refused soon if none does.
func TestBeyondShareWaitsAMoment(t *testing.T) {
	tests := []struct {
		name string
		work time.Duration // of every server
		look time.Duration // after the arrival
		want placement.Decision
	}{
		{"a server runs dry", 30 * time.Millisecond, 31 * time.Millisecond, placement.Assign{}},
		{"none does", 120 * time.Millisecond, 38 * time.Millisecond, placement.Refuse{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := newTestDispatcher(t, now, 3)
			d.overdrawn(now, "a", 9000)
			d.busy(now, test.work)
			reply, _ := d.placeRequest(now, "a", nil)
			require.Empty(t, reply)
			d.scanWaiting(now.Add(test.look))
			require.IsType(t, test.want, <-reply)
		})
	}
}

// TestFurthestAheadGoesLast: of accounts beyond their share, the one that got least is
// served first, and a full queue turns away the one that got most.
func TestFurthestAheadGoesLast(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.overdrawn(now, "much", 9000)
	d.overdrawn(now, "less", 6000)
	d.busy(now, 100*time.Millisecond)
	long := func(a *placement.Request) { a.PromptTokens = 1200 }
	much, _ := d.placeRequest(now, "much", long)
	require.Empty(t, much)
	less, _ := d.placeRequest(now, "less", long)
	require.Empty(t, less)
	require.IsType(t, placement.Refuse{}, <-much, "there is place for one")
	again, _ := d.placeRequest(now, "much", long)
	require.IsType(t, placement.Refuse{}, <-again, "refused at once: nobody is further ahead")
}

// TestGapIsBounded: an account that got much more than another one that presses is refused at
// once, with servers idle; the other one gets them.
func TestGapIsBounded(t *testing.T) {
	tests := []struct {
		name string
		got  float64
		want placement.Decision
	}{
		{"far ahead", 6100, placement.Refuse{}},
		{"ahead", 5900, placement.Assign{}},
		{"behind", 4000, placement.Assign{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := newTestDispatcher(t, now, 2)
			d.overdrawn(now, "other", 4000)
			d.overdrawn(now, "a", test.got)
			reply, _ := d.placeRequest(now, "a", nil)
			require.NotEmpty(t, reply, "nobody is held in vain")
			require.IsType(t, test.want, <-reply)
		})
	}
}

// TestLongQueueRefuses: who would come too late is told so at once.
func TestLongQueueRefuses(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.busy(now, time.Second)
	waiting, refused := 0, 0
	for range 100 {
		reply, _ := d.placeRequest(now, "a", func(a *placement.Request) { a.PromptTokens = 4000 })
		if len(reply) == 0 {
			waiting++
			continue
		}
		require.IsType(t, placement.Refuse{}, <-reply)
		refused++
	}
	require.Positive(t, refused)
	require.Positive(t, waiting)
	require.Less(t, d.queue.reading, 1200*time.Millisecond, "half of what callers wait")
}

// TestWhoLeavesWaitsNoMore: a caller that has gone gets no server.
func TestWhoLeavesWaitsNoMore(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.busy(now, time.Second)
	reply, leave := d.placeRequest(now, "a", nil)
	require.Empty(t, reply)
	leave()
	d.scanWaiting(now.Add(2 * time.Second))
	require.IsType(t, placement.NoServer{}, <-reply)
	require.Empty(t, d.running)
}

// TestHeldAreServedAtLast: who has waited as long as its caller does is sent to a busy
// server rather than refused.
func TestHeldAreServedAtLast(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.busy(now, time.Second)
	reply, _ := d.placeRequest(now, "a", nil)
	for at := 100 * time.Millisecond; at < 2400*time.Millisecond && len(reply) == 0; at += 100 * time.Millisecond {
		d.busy(now.Add(at), 100*time.Millisecond) // those that are in time keep coming
		d.scanWaiting(now.Add(at))
	}
	require.IsType(t, placement.Assign{}, <-reply)
}

// TestSpeedsAreHandedOn: a gateway that starts takes over what another one has learned of
// engines; one that has learned itself doesn't.
func TestSpeedsAreHandedOn(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 3)
	require.Empty(t, d.learnedSpeeds(), "nothing is known yet")
	told := peer.Speed{Service: hashString("s"), PrefillSlowdown: 0.4, FirstEventDelay: 20 * time.Millisecond}
	d.applyUpdate(now, peer.Update{From: "p", Alive: true, Full: true, Speeds: []peer.Speed{told, {Service: 1, PrefillSlowdown: 9}}})
	require.Equal(t, placement.Speed{PrefillSlowdown: 0.4, FirstEventDelay: 20 * time.Millisecond, Learned: true}, d.balancer.Speed("s"))
	require.Equal(t, []peer.Speed{told}, d.learnedSpeeds(), "it hands them on")
	d.applyUpdate(now, peer.Update{From: "q", Alive: true, Full: true, Speeds: []peer.Speed{{Service: hashString("s"), PrefillSlowdown: 5, FirstEventDelay: time.Second}}})
	require.Equal(t, []peer.Speed{told}, d.learnedSpeeds())
}

// TestOthersRunning: what other gateways run is known from whole beacons and from those
// that tell changes only.
func TestOthersRunning(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 2)
	first, second := hashString("i-0"), hashString("i-1")
	steps := []struct {
		update peer.Update
		want   map[uint64]int
	}{
		{peer.Update{From: "p", Alive: true, Full: true, Running: map[uint64]int{first: 3}}, map[uint64]int{first: 3}},
		{peer.Update{From: "p", Alive: true, Running: map[uint64]int{second: 2}}, map[uint64]int{first: 3, second: 2}},
		{peer.Update{From: "p", Alive: true, Running: map[uint64]int{first: 0}}, map[uint64]int{second: 2}},
		{peer.Update{From: "p", Alive: true, Full: true, Running: map[uint64]int{first: 1}}, map[uint64]int{first: 1}},
		{peer.Update{From: "p"}, nil},
		{peer.Update{From: "q", Alive: true, Running: map[uint64]int{second: 4}}, nil},
	}
	for _, s := range steps {
		d.applyUpdate(now, s.update)
		require.Equal(t, s.want, d.peerRunning["p"])
	}
	require.Equal(t, map[uint64]int{second: 4}, d.peerRunning["q"], "its whole beacon was lost")
	require.EqualValues(t, 1, d.livePeers.Load())
}
