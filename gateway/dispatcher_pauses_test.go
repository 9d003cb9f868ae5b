package gateway

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/protocol"
)

const testMaxEventGap = 500 * time.Millisecond

// newPausesDispatcher returns a dispatcher whose only server runs ten streams.
func newPausesDispatcher(t testing.TB, now time.Time, avoid bool, gaps ...time.Duration) *dispatcher {
	t.Helper()
	return newStreamsDispatcher(t, now, 1, avoid, gaps...)
}

// newStreamsDispatcher returns a dispatcher whose servers run ten streams each.
func newStreamsDispatcher(t testing.TB, now time.Time, servers int, avoid bool, gaps ...time.Duration) *dispatcher {
	t.Helper()
	d := newTestDispatcher(t, now, servers)
	d.settings.Features.AvoidPauses = avoid
	c := *d.view.Configuration
	c.Services = []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 64, KVTokens: 500000, MaxEventTokens: 6}}}
	for _, gap := range gaps {
		c.Routes = append(c.Routes, catalog.Route{Name: "r", Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxEventGap: gap})
	}
	configuration, err := catalog.NewConfiguration(c.Document)
	require.NoError(t, err)
	d.setView(now, &View{Configuration: configuration, Servers: d.view.Servers})
	for _, s := range d.view.Servers {
		d.balancer.SetRemoteRunning(s.ID, 10)
	}
	return d
}

// TestPausesSwitch: pauses are predicted only if the setting, a route's longest pause and what is
// known of the engine all call for it.
func TestPausesSwitch(t *testing.T) {
	tests := []struct {
		name     string
		avoid    bool
		gaps     []time.Duration
		regarded bool
	}{
		{"on", true, []time.Duration{testMaxEventGap}, true},
		{"on, several routes", true, []time.Duration{0, 2 * time.Second, testMaxEventGap, -time.Second}, true},
		{"switched off", false, []time.Duration{testMaxEventGap}, false},
		{"no route", true, nil, false},
		{"longest pause that prefill does not reach", true, []time.Duration{time.Minute}, false},
		{"longest pause that decoding alone exceeds", true, []time.Duration{time.Nanosecond}, false},
		{"no longest pause", true, []time.Duration{0}, false},
		{"longest pause below 0", true, []time.Duration{-time.Second, math.MinInt64}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := newPausesDispatcher(t, now, test.avoid, test.gaps...)
			reply, _ := d.placeRequest(now, "a", func(a *placement.Request) {
				a.Objective, a.PromptTokens = 5*time.Second, 40_000
			})
			require.NotEmpty(t, reply)
			assign, ok := (<-reply).(placement.Assign)
			require.True(t, ok)
			require.Equal(t, test.regarded, assign.Pause > 0)
			require.Equal(t, test.regarded, assign.LateShare > 0)
			require.Equal(t, test.regarded, len(d.answers) == 1)
			require.Equal(t, test.regarded, d.pausesPredicted.Load() == 1, "no server can take it without delaying streams")
		})
	}
}

// TestAnswerLengths: memory is released when an attempt ends however it ends, and only complete
// answers correct the callers' guesses.
func TestAnswerLengths(t *testing.T) {
	now := time.Now()
	d := newPausesDispatcher(t, now, true, testMaxEventGap)
	answer := func(guess int, end placement.Outcome, events int) placement.Assign {
		reply, _ := d.placeRequest(now, "a", func(a *placement.Request) {
			a.Route, a.OutputTokens, a.PromptTokens, a.Objective = "r", guess, 1, 2*time.Second
		})
		require.NotEmpty(t, reply)
		assign, ok := (<-reply).(placement.Assign)
		require.True(t, ok)
		require.Len(t, d.answers, 1)
		d.recordEnd(now, attemptEnded{attemptID: assign.ID, server: assign.Server.ID, end: end, route: "r", events: events})
		require.Empty(t, d.answers)
		return assign
	}
	for _, end := range []placement.Outcome{placement.Failed, placement.Unreachable, placement.Rejected, placement.Abandoned, placement.NotSent} {
		answer(600, end, 1)
	}
	answer(600, placement.Served, 0) // resumed
	require.Equal(t, 600, d.lengths.Expect("r", 600))
	for range 200 {
		answer(600, placement.Served, 200)
	}
	require.InEpsilon(t, 1200, d.lengths.Expect("r", 600), 0.05)
	for _, guess := range []int{-1, math.MinInt, math.MaxInt} {
		a := answer(guess, placement.Served, 200)
		require.LessOrEqual(t, a.Load.HeldTokens, 4<<20)
	}
	require.InEpsilon(t, 1200, d.lengths.Expect("r", 600), 0.2, "an absurd guess counts little")
}

// TestAvoidedIsCounted guards against requests that go past a server because of pauses or memory, or to
// one without memory, and that no counter shows.
func TestAvoidedIsCounted(t *testing.T) {
	now := time.Now().Add(time.Minute)
	full := placement.Load{HeldTokens: 500_000}
	tests := []struct {
		name                    string
		avoid                   bool
		prepare                 func(b *placement.Balancer)
		pauses, memory, nowhere int64
	}{
		{"nothing avoided", true, func(*placement.Balancer) {}, 0, 0, 0},
		{"pauses", true, func(b *placement.Balancer) {
			b.SetRemoteRunning("i-1", 0)
			b.RecordSent(now, placement.Load{Server: "i-1", Work: 300 * time.Millisecond}, false)
		}, 1, 0, 0},
		{"memory", true, func(b *placement.Balancer) {
			full.Server = "i-0"
			b.RecordSent(now, full, true)
			b.RecordSent(now, placement.Load{Server: "i-1", Work: 2 * time.Second}, false)
		}, 0, 1, 0},
		{"memory of all servers", true, func(b *placement.Balancer) {
			for _, full.Server = range []string{"i-0", "i-1"} {
				b.RecordSent(now, full, true)
			}
		}, 0, 0, 1},
		{"pauses ignored", false, func(b *placement.Balancer) {
			b.SetRemoteRunning("i-1", 0)
			full.Server = "i-0"
			b.RecordSent(now, full, true)
			b.RecordSent(now, placement.Load{Server: "i-1", Work: 300 * time.Millisecond}, false)
		}, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newStreamsDispatcher(t, now, 2, test.avoid, testMaxEventGap)
			test.prepare(d.balancer)
			reply, _ := d.placeRequest(now, "a", func(a *placement.Request) {
				a.Objective, a.PromptTokens, a.OutputTokens = 5*time.Second, 40_000, 100
			})
			require.NotEmpty(t, reply)
			require.IsType(t, placement.Assign{}, <-reply)
			require.Equal(t, []int64{test.pauses, test.memory, test.nowhere}, []int64{d.avoided.pauses.Load(), d.avoided.memory.Load(), d.avoided.full.Load()})
		})
	}
}

// TestAvoidedIsLogged guards against lines from which an operator cannot tell why a request went past a
// server, or was refused although another server was free.
func TestAvoidedIsLogged(t *testing.T) {
	tests := []struct {
		name    string
		avoided placement.Avoided
		want    map[string]any // fields of the lines; nil: absent
	}{
		{"pauses", placement.Avoided{Server: "i-1", Reason: placement.AvoidPauses, LateShare: 0.25},
			map[string]any{"avoided": "i-1", "avoided_for": "pauses of its streams", "avoided_late_share": 0.25, "full_servers": nil, "fits_nowhere": nil}},
		{"memory", placement.Avoided{Server: "i-1", Reason: placement.AvoidMemory, FullServers: 3},
			map[string]any{"avoided": "i-1", "avoided_for": "no free memory", "avoided_late_share": nil, "full_servers": 3.0, "fits_nowhere": false}},
		{"memory of all servers", placement.Avoided{FullServers: 5, FitsNowhere: true},
			map[string]any{"avoided": nil, "avoided_for": nil, "avoided_late_share": nil, "full_servers": 5.0, "fits_nowhere": true}},
		{"nothing avoided", placement.Avoided{},
			map[string]any{"avoided": nil, "avoided_for": nil, "avoided_late_share": nil, "full_servers": nil, "fits_nowhere": nil}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var lines bytes.Buffer
			g, err := New(Options{Peer: peer.Options{Address: "127.0.0.1:0"}, Log: zerolog.New(&lines), Dispatcher: DispatcherOptions{ShareWindow: time.Second, Policy: placement.DefaultPolicy()}})
			require.NoError(t, err)
			c := &call{
				gateway: g, w: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/", nil),
				route: &catalog.Route{}, meta: protocol.Request{ID: "a1"},
			}
			lines.Reset()
			c.logSent(time.Now(), placement.Assign{Avoided: test.avoided})
			c.refuse(placement.Refuse{Avoided: test.avoided})
			decoder := json.NewDecoder(&lines)
			for _, event := range []string{"attempt.sent", "request.refused"} {
				var line map[string]any
				require.NoError(t, decoder.Decode(&line))
				require.Equal(t, event, line["event"])
				for field, value := range test.want {
					require.Equal(t, value, line[field], "%s of %s", field, event)
				}
			}
		})
	}
}
