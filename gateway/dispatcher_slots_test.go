package gateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/budget"
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/rollout"
	"opalbridge.dev/gateway/upstream"
)

// slotFixture is a dispatcher before one plain server with two slots.
type slotFixture struct {
	*dispatcher
	t         *testing.T
	now       time.Time
	log       bytes.Buffer
	decisions map[SlotDecision]int
}

func newSlotFixture(t *testing.T) *slotFixture {
	f := &slotFixture{t: t, now: time.Now(), decisions: map[SlotDecision]int{}}
	f.dispatcher = newDispatcher(zerolog.New(&f.log), DispatcherOptions{
		ShareWindow: 4 * time.Second, Hall: "h", Policy: placement.DefaultPolicy(), Features: Features{QueuePlainWork: On},
		Retries: budget.Limits{Ratio: 0.2, FixedRetries: 50, Window: 10 * time.Second},
	}, f.now.Add(-time.Minute))
	f.metrics = f
	f.queue.timer = time.NewTimer(time.Hour)
	f.setView(f.now, &View{Servers: []catalog.Server{{ID: "i-0", Service: "s", Hall: "h", Capacity: 2}}})
	return f
}

func (f *slotFixture) RequestEnded(Outcome)                             {}
func (f *slotFixture) RetryDecided(string, bool)                        {}
func (f *slotFixture) RetryAcknowledged(string, time.Duration)          {}
func (f *slotFixture) StreamResumed(string, ResumeOutcome)              {}
func (f *slotFixture) InvalidReceived(string, upstream.Invalid)         {}
func (f *slotFixture) StreamContinued(string, ContinuationStep, string) {}
func (f *slotFixture) ConnectionOffloaded(offload.Outcome)              {}
func (f *slotFixture) RequestDropped(DroppedRequest)                    {}

// SlotDecided implements Metrics.
func (f *slotFixture) SlotDecided(_ string, d SlotDecision) { f.decisions[d]++ }

// ask asks for a placement; change may be nil.
func (f *slotFixture) ask(priority int, change func(m *placementRequest)) (reply chan placement.Decision) {
	reply = make(chan placement.Decision, 1)
	m := placementRequest{request: &placement.Request{
		Service: "s", Hall: "h", Priority: priority, Objective: 300 * time.Millisecond, Remaining: time.Second, CallerTimeout: time.Second,
	}, done: make(chan struct{}), reply: reply}
	if change != nil {
		change(&m)
	}
	f.handle(f.now, m)
	return reply
}

// sent requires that a request was sent and returns its attempt.
func (f *slotFixture) sent(reply chan placement.Decision) attemptEnded {
	f.t.Helper()
	require.Len(f.t, reply, 1)
	a, ok := (<-reply).(placement.Assign)
	require.True(f.t, ok)
	return attemptEnded{attemptID: a.ID, server: a.Server.ID, end: placement.Served, status: 200}
}

// end ends an attempt after an answer time.
func (f *slotFixture) end(m attemptEnded, o placement.Outcome) {
	f.now = f.now.Add(15 * time.Millisecond)
	m.end = o
	f.handle(f.now, m)
}

// TestSlotOrder checks that requests that wait for a slot get it by priority and age, that one that
// a server has rejected goes before those that have not been sent, and that a slot that becomes
// free is used at once.
func TestSlotOrder(t *testing.T) {
	f := newSlotFixture(t)
	first, second := f.sent(f.ask(1, nil)), f.sent(f.ask(1, nil))
	low := f.ask(2, nil)
	middle, next := f.ask(1, nil), f.ask(1, nil)
	var held *placement.Request
	retry := f.ask(1, func(m *placementRequest) { m.retry, held = true, m.request })
	urgent := f.ask(0, nil)
	require.Equal(t, 5, f.queue.length())
	require.Equal(t, map[SlotDecision]int{SlotHeld: 5}, f.decisions)
	f.end(first, placement.Served)
	f.sent(urgent)
	f.end(second, placement.Failed)
	require.Equal(t, placement.NoSlot, held.HoldReason)
	require.Positive(t, held.Waited)
	a := f.sent(retry)
	require.Empty(t, middle)
	f.end(a, placement.Rejected)
	b := f.sent(middle)
	f.end(b, placement.Served)
	f.sent(next)
	again := f.ask(1, func(m *placementRequest) { *m.request, held = *held, m.request })
	require.Empty(t, again)
	ahead, _ := f.queue.slots.Ahead("s", 1)
	require.Equal(t, 1, ahead, "it has not been held for this attempt")
	require.Zero(t, held.Waited)
	require.Empty(t, low)
	require.Empty(t, f.queue.waiters)
}

// TestSlotWaitEnds checks that waiting ends when a request is late, when its time is over, and when
// its caller leaves, and that callers who have left get no slot.
func TestSlotWaitEnds(t *testing.T) {
	f := newSlotFixture(t)
	running := f.sent(f.ask(0, nil))
	f.sent(f.ask(0, nil))
	objective := f.ask(0, nil)
	none := f.ask(0, func(m *placementRequest) { m.request.Objective = 0 })
	done := make(chan struct{})
	left := f.ask(0, func(m *placementRequest) { m.request.Objective, m.request.Remaining, m.done = 0, time.Minute, done })
	stays := f.ask(0, func(m *placementRequest) { m.request.Objective, m.request.Remaining = 0, time.Minute })
	f.now = f.now.Add(301 * time.Millisecond)
	f.scanWaiting(f.now)
	refuse := (<-objective).(placement.Refuse)
	require.Equal(t, placement.NoSlot, refuse.Reason)
	require.Positive(t, refuse.RetryAfter)
	require.Empty(t, none)
	f.now = f.now.Add(700 * time.Millisecond)
	f.scanWaiting(f.now)
	require.IsType(t, placement.Refuse{}, <-none)
	close(done)
	f.end(running, placement.Served)
	require.IsType(t, placement.NoServer{}, <-left)
	f.sent(stays)
	require.Zero(t, f.queue.length())
	require.Equal(t, map[SlotDecision]int{SlotHeld: 4, SlotRefused: 2}, f.decisions)
}

// TestSlotQueueFull checks that a full queue refuses the request that would be sent last.
func TestSlotQueueFull(t *testing.T) {
	f := newSlotFixture(t)
	f.sent(f.ask(0, nil))
	f.sent(f.ask(0, nil))
	var replies []chan placement.Decision
	for range maxWaiting {
		replies = append(replies, f.ask(1, nil))
	}
	require.Empty(t, replies[maxWaiting-1])
	late := f.ask(1, nil)
	require.IsType(t, placement.Refuse{}, <-late)
	urgent := f.ask(0, nil)
	require.Empty(t, urgent)
	require.IsType(t, placement.Refuse{}, <-replies[maxWaiting-1])
	require.Equal(t, maxWaiting, f.queue.length())
}

// TestSlotBackoff checks that a request that waits for the end of a server's backoff waits for a
// slot next.
func TestSlotBackoff(t *testing.T) {
	f := newSlotFixture(t)
	f.sent(f.ask(0, nil))
	f.sent(f.ask(0, nil))
	f.handle(f.now, backoffRequested{server: "i-0", until: f.now.Add(50 * time.Millisecond)})
	reply := f.ask(0, nil)
	require.Len(t, f.queue.waiters, 1)
	f.now = f.now.Add(51 * time.Millisecond)
	f.scanWaiting(f.now)
	require.Empty(t, reply)
	require.Empty(t, f.queue.waiters)
	require.Equal(t, 1, f.queue.slots.Len())
	require.Zero(t, f.queue.prefillTime)
}

// TestSlotServerGone checks that requests that wait are answered when their service's servers have
// gone, and that ends of attempts at a server that has gone leave nothing behind.
func TestSlotServerGone(t *testing.T) {
	f := newSlotFixture(t)
	running := f.sent(f.ask(0, nil))
	f.sent(f.ask(0, nil))
	reply := f.ask(0, nil)
	f.setView(f.now, &View{})
	f.scanWaiting(f.now)
	require.IsType(t, placement.NoServer{}, <-reply)
	f.end(running, placement.Served)
	require.Zero(t, f.queue.length())
}

// TestReturnedServer checks that nothing is kept of a server that was stalled when its entry went.
func TestReturnedServer(t *testing.T) {
	f := newSlotFixture(t)
	for range 10 {
		f.end(f.sent(f.ask(0, nil)), placement.Served)
	}
	f.sent(f.ask(0, nil))
	f.now = f.now.Add(100 * time.Millisecond)
	require.Empty(t, f.ask(0, nil), "it has stalled")
	v := f.view
	f.setView(f.now, &View{})
	f.setView(f.now, v)
	f.sent(f.ask(0, func(m *placementRequest) { m.request.Priority = -1 }))
}

// TestLateGateway checks that a process that runs late takes no server for stalled: it may not have
// read the answers yet.
func TestLateGateway(t *testing.T) {
	f := newSlotFixture(t)
	for range 10 {
		f.end(f.sent(f.ask(0, nil)), placement.Served)
	}
	f.sent(f.ask(0, nil))
	f.lateness = func(_, _ time.Time) time.Duration { return 100 * time.Millisecond }
	f.now = f.now.Add(100 * time.Millisecond)
	f.sent(f.ask(0, nil))
	f.checkSlots(f.now)
	require.NotContains(t, f.log.String(), "server.stalled")
}

// TestStalledServerIsLogged checks the lines about a server that stalls and answers again, and that
// such a server is not ejected besides: it gets requests as soon as it answers.
func TestStalledServerIsLogged(t *testing.T) {
	f := newSlotFixture(t)
	for range 10 {
		f.end(f.sent(f.ask(0, nil)), placement.Served)
	}
	running := f.sent(f.ask(0, nil))
	f.now = f.now.Add(600 * time.Millisecond)
	f.checkSlots(f.now)
	f.detectSilent(f.now)
	require.Contains(t, f.log.String(), "server.stalled")
	require.NotContains(t, f.log.String(), "server.silent")
	f.end(running, placement.Served)
	f.checkSlots(f.now)
	require.Contains(t, f.log.String(), "server.answers_again")
	f.sent(f.ask(0, nil))
}

// TestSlotsUnknownAtOneServer checks that nothing waits for slots where a server does not report them,
// and that a silent server is ejected there as without the queue: no stall keeps requests from it.
func TestSlotsUnknownAtOneServer(t *testing.T) {
	for _, capacity := range []int{0, -1} {
		f := newSlotFixture(t)
		f.setView(f.now, &View{Servers: []catalog.Server{{ID: "i-0", Service: "s", Hall: "h", Capacity: 2}, {ID: "i-1", Service: "s", Hall: "h", Capacity: capacity}}})
		sent := map[string]int{}
		for range 10 {
			sent[f.sent(f.ask(0, nil)).server]++
		}
		require.Positive(t, sent["i-0"])
		f.now = f.now.Add(time.Second)
		f.detectSilent(f.now)
		require.Regexp(t, `"server.silent","server":"i-0"`, f.log.String())
		require.NotContains(t, f.log.String(), "server.stalled")
		require.Zero(t, f.queue.length())
	}
}

// TestActiveGateways checks that reports of other gateways count for their even part, and that a
// gateway that has died does not.
func TestActiveGateways(t *testing.T) {
	f := newSlotFixture(t)
	server := hashString("i-0")
	f.applyUpdate(f.now, peer.Update{From: "p", Alive: true, Full: true, Running: map[uint64]int{server: 2}})
	f.now = f.now.Add(20 * time.Millisecond)
	f.sent(f.ask(0, nil))
	waits := f.ask(0, nil)
	require.Empty(t, waits, "its half of two slots")
	f.applyUpdate(f.now, peer.Update{From: "p"})
	f.now = f.now.Add(20 * time.Millisecond)
	f.scanWaiting(f.now)
	f.sent(waits)
	require.Empty(t, f.reportedAt)
}

// TestSlotQueueOff checks that nothing waits for slots unless the feature is on.
func TestSlotQueueOff(t *testing.T) {
	f := newSlotFixture(t)
	f.dispatcher = newDispatcher(zerolog.New(&f.log), DispatcherOptions{Hall: "h", Policy: placement.DefaultPolicy(), ShareWindow: time.Second}, f.now)
	f.setView(f.now, &View{Servers: []catalog.Server{{ID: "i-0", Service: "s", Hall: "h", Capacity: 2}}})
	for range 50 {
		f.sent(f.ask(0, func(m *placementRequest) { m.request.Objective = -1 }))
	}
	f.checkSlots(f.now.Add(time.Minute))
	require.Zero(t, f.queue.length())
	require.Nil(t, f.slots)
	require.Empty(t, f.log.String())
}

// TestSlotsDuringRollout checks that a request that the new version has no slot for goes to the old
// one while the new one gets a part of the requests only, and waits or is refused later: else a
// burst would bring requests back to servers that are to be stopped.
func TestSlotsDuringRollout(t *testing.T) {
	now := time.Now()
	d := newRolloutDispatcher(t, now, rolloutRecord{Order: testOrder(7), Since: now, Status: rollout.Status{State: rollout.InProgress, Target: "v2", Revision: 8}})
	accepts := func() []bool {
		s := d.rollouts["s"]
		return []bool{s.targetAccepts(placement.Hold{Reason: placement.NoSlot}), s.targetAccepts(placement.Refuse{Reason: placement.NoSlot})}
	}
	require.Equal(t, []bool{false, false}, accepts())
	for at := now; at.Before(now.Add(9 * time.Second)); at = at.Add(50 * time.Millisecond) {
		d.countVersions(at, 20)
		d.advanceRollouts(at)
	}
	require.Equal(t, rollout.Full, d.rollouts["s"].rollout.Stage())
	require.Equal(t, []bool{true, true}, accepts())
}
