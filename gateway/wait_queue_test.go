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

// newTestDispatcher returns a dispatcher with model servers that is not running.
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

// addWork gives every server an amount of prompt work.
func (d *dispatcher) addWork(now time.Time, work time.Duration) {
	for id := range d.serverIDs {
		d.balancer.RecordSent(now, placement.Load{Server: d.serverIDs[id], Work: work}, false)
	}
}

// placeRequest asks for a placement of an account's request.
func (d *dispatcher) placeRequest(now time.Time, account string, modify func(a *placement.Request)) (reply chan placement.Decision, cancel func()) {
	a := &placement.Request{
		Service: "s", Account: account, Hall: "h", PromptTokens: 1000, Objective: 300 * time.Millisecond,
		CallerTimeout: 2400 * time.Millisecond, Remaining: 10 * time.Second,
	}
	if modify != nil {
		modify(a)
	}
	reply = make(chan placement.Decision, 1)
	ended := make(chan struct{})
	d.place(now, placementRequest{request: a, tokens: 1000, done: ended, reply: reply})
	return reply, func() { close(ended) }
}

// overdraw gives an account more than its share.
func (d *dispatcher) overdraw(now time.Time, account string, tokens float64) {
	d.shares.RecordAsked(now, account, 10*tokens)
	d.shares.RecordAdmitted(now, account, tokens)
	d.shares.Recompute(now, 1000)
}

// TestLateRequestsWait checks that a request that can no longer meet its objective is neither
// refused nor sent ahead of those that can; it is sent when servers are nearly idle.
func TestLateRequestsWait(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 2)
	d.addWork(now, 600*time.Millisecond)
	reply, _ := d.placeRequest(now, "a", nil)
	require.Empty(t, reply)
	d.scanWaiting(now.Add(300 * time.Millisecond))
	require.Empty(t, reply, "servers have 300 ms of prompts left")
	d.scanWaiting(now.Add(590 * time.Millisecond))
	require.IsType(t, placement.Assign{}, <-reply)
	require.Empty(t, d.queue.waiters)
	require.Zero(t, d.queue.prefillTime)
}

// TestBeyondShareWaitsBriefly checks that a request beyond its account's share that can still
// meet its objective is held until a server becomes idle, and refused soon if none does.
func TestBeyondShareWaitsBriefly(t *testing.T) {
	tests := []struct {
		name      string
		work      time.Duration // of every server
		scanAfter time.Duration // after the arrival
		want      placement.Decision
	}{
		{"a server becomes idle", 30 * time.Millisecond, 31 * time.Millisecond, placement.Assign{}},
		{"no server becomes idle", 120 * time.Millisecond, 38 * time.Millisecond, placement.Refuse{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := newTestDispatcher(t, now, 3)
			d.overdraw(now, "a", 9000)
			d.addWork(now, test.work)
			reply, _ := d.placeRequest(now, "a", nil)
			require.Empty(t, reply)
			d.scanWaiting(now.Add(test.scanAfter))
			require.IsType(t, test.want, <-reply)
		})
	}
}

// TestFurthestAheadGoesLast checks that of accounts beyond their share, the one that got least
// is served first, and that a full queue refuses the one that got most.
func TestFurthestAheadGoesLast(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.overdraw(now, "much", 9000)
	d.overdraw(now, "less", 6000)
	d.addWork(now, 100*time.Millisecond)
	longPrompt := func(a *placement.Request) { a.PromptTokens = 1200 }
	much, _ := d.placeRequest(now, "much", longPrompt)
	require.Empty(t, much)
	less, _ := d.placeRequest(now, "less", longPrompt)
	require.Empty(t, less)
	require.IsType(t, placement.Refuse{}, <-much, "the queue has room for one")
	again, _ := d.placeRequest(now, "much", longPrompt)
	require.IsType(t, placement.Refuse{}, <-again, "refused at once: no account is further ahead")
}

// TestGapIsBounded checks that an account that got much more than another one with demand is
// refused at once even if servers are idle, so that the other one gets them.
func TestGapIsBounded(t *testing.T) {
	tests := []struct {
		name  string
		usage float64
		want  placement.Decision
	}{
		{"far ahead", 6100, placement.Refuse{}},
		{"ahead", 5900, placement.Assign{}},
		{"behind", 4000, placement.Assign{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := newTestDispatcher(t, now, 2)
			d.overdraw(now, "other", 4000)
			d.overdraw(now, "a", test.usage)
			reply, _ := d.placeRequest(now, "a", nil)
			require.NotEmpty(t, reply, "no request is queued")
			require.IsType(t, test.want, <-reply)
		})
	}
}

// TestLongQueueRefuses checks that a request that would be served too late is refused at once.
func TestLongQueueRefuses(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.addWork(now, time.Second)
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
	require.Less(t, d.queue.prefillTime, 1200*time.Millisecond, "half of the callers' timeout")
}

// TestCancelledWaiter checks that a request whose caller is gone gets no server.
func TestCancelledWaiter(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.addWork(now, time.Second)
	reply, leave := d.placeRequest(now, "a", nil)
	require.Empty(t, reply)
	leave()
	d.scanWaiting(now.Add(2 * time.Second))
	require.IsType(t, placement.NoServer{}, <-reply)
	require.Empty(t, d.running)
}

// TestHeldServedEventually checks that a request that has waited for as long as its caller
// does is sent to a busy server rather than refused.
func TestHeldServedEventually(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	d.addWork(now, time.Second)
	reply, _ := d.placeRequest(now, "a", nil)
	for at := 100 * time.Millisecond; at < 2400*time.Millisecond && len(reply) == 0; at += 100 * time.Millisecond {
		d.addWork(now.Add(at), 100*time.Millisecond) // requests that can meet their objective keep arriving
		d.scanWaiting(now.Add(at))
	}
	require.IsType(t, placement.Assign{}, <-reply)
}

// TestSpeedsAdopted checks that a gateway that starts adopts the engine speeds that another
// one has learned, and that one that has learned speeds itself does not.
func TestSpeedsAdopted(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 3)
	require.Empty(t, d.learnedSpeeds(), "nothing is known yet")
	speed := peer.Speed{Service: hashString("s"), PrefillSlowdown: 0.4, FirstEventDelay: 20 * time.Millisecond}
	d.applyUpdate(now, peer.Update{From: "p", Alive: true, Full: true, Speeds: []peer.Speed{speed, {Service: 1, PrefillSlowdown: 9}}})
	require.Equal(t, placement.Speed{PrefillSlowdown: 0.4, FirstEventDelay: 20 * time.Millisecond, Learned: true}, d.balancer.Speed("s"))
	require.Equal(t, []peer.Speed{speed}, d.learnedSpeeds(), "it passes them on")
	d.applyUpdate(now, peer.Update{From: "q", Alive: true, Full: true, Speeds: []peer.Speed{{Service: hashString("s"), PrefillSlowdown: 5, FirstEventDelay: time.Second}}})
	require.Equal(t, []peer.Speed{speed}, d.learnedSpeeds())
}

// TestPeerRunning checks that the running requests of other gateways follow from full
// heartbeats and from incremental ones.
func TestPeerRunning(t *testing.T) {
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
	require.Equal(t, map[uint64]int{second: 4}, d.peerRunning["q"], "its full heartbeat was lost")
	require.EqualValues(t, 1, d.livePeers.Load())
}
