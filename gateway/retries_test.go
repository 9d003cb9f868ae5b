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

// asks is a caller's request that arrives with so much of its patience left.
func asks(g *Gateway, arrived time.Time, left time.Duration, parts ...string) *call {
	c := &call{
		gateway: g, w: httptest.NewRecorder(), request: httptest.NewRequest("POST", "/chat", nil), arrived: arrived,
		told: protocol.Request{Deadline: left, HasDeadline: true}, route: &catalog.Route{Name: "r"}, account: "a",
	}
	for _, p := range parts {
		c.told.Parts = append(c.told.Parts, protocol.Part{ID: p})
	}
	return c
}

// TestWhoComesBackIsKnown at the gateway that turned it away and at those that were told,
// however patience differs among callers.
func TestWhoComesBackIsKnown(t *testing.T) {
	now := time.Now()
	here, there := newIdleGateway(t), newIdleGateway(t)
	refused := asks(here, now, 10*time.Second, "shared", "own")
	require.Zero(t, here.returned.spent(refused))
	refused.write(denial{status: 503, reason: "later"})
	told := peer.Refusal{Key: 0, Deadline: now.Add(10 * time.Second), FirstAttempt: now}
	key, ok := refused.retryKey()
	require.True(t, ok)
	told.Key = uint64(key)
	there.returned.told(now, []peer.Refusal{told})
	tests := []struct {
		name  string
		left  time.Duration // at a second after the first try
		parts []string
		spent time.Duration
	}{
		{"the same caller", 9 * time.Second, []string{"shared", "own"}, time.Second},
		{"a caller with less patience", 8 * time.Second, []string{"shared", "own"}, 0},
		{"another prompt", 9 * time.Second, []string{"shared", "other"}, 0},
		{"no prompt", 9 * time.Second, nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, g := range []*Gateway{here, there} {
				require.Equal(t, test.spent, g.returned.spent(asks(g, now.Add(time.Second), test.left, test.parts...)))
			}
		})
	}
}
