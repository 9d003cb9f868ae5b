package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/protocol"
)

// newTestCall returns a caller's request that arrives with a remaining deadline.
func newTestCall(g *Gateway, arrived time.Time, remaining time.Duration, parts ...string) *call {
	c := &call{
		gateway: g, w: httptest.NewRecorder(), request: httptest.NewRequest("POST", "/chat", nil), arrived: arrived,
		meta: protocol.Request{Deadline: remaining, HasDeadline: true}, route: &catalog.Route{Name: "r"}, account: "a",
	}
	for _, p := range parts {
		c.meta.Parts = append(c.meta.Parts, protocol.Part{ID: p})
	}
	return c
}

// TestRetryRecognized checks that a retry is recognized by the gateway that refused the first
// attempt and by those that received its report, however callers' deadlines differ.
func TestRetryRecognized(t *testing.T) {
	now := time.Now()
	here, there := newIdleGateway(t), newIdleGateway(t)
	refused := newTestCall(here, now, 10*time.Second, "shared", "own")
	require.Zero(t, here.callerRetries.sinceFirstAttempt(refused))
	refused.deny(denial{status: 503, reason: "later"})
	refusal := peer.Refusal{Key: 0, Deadline: now.Add(10 * time.Second), FirstAttempt: now}
	key, ok := refused.retryKey()
	require.True(t, ok)
	refusal.Key = uint64(key)
	there.callerRetries.addRemote(now, []peer.Refusal{refusal})
	tests := []struct {
		name      string
		remaining time.Duration // a second after the first attempt
		parts     []string
		elapsed   time.Duration
	}{
		{"the same caller", 9 * time.Second, []string{"shared", "own"}, time.Second},
		{"a caller with an earlier deadline", 8 * time.Second, []string{"shared", "own"}, 0},
		{"another prompt", 9 * time.Second, []string{"shared", "other"}, 0},
		{"no prompt", 9 * time.Second, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, g := range []*Gateway{here, there} {
				require.Equal(t, test.elapsed, g.callerRetries.sinceFirstAttempt(newTestCall(g, now.Add(time.Second), test.remaining, test.parts...)))
			}
		})
	}
}
