package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/protocol"
)

// TestUnfinishedOriginLookup guards against a caller that is told to begin its stream anew, although it can go on at
// another gateway, because its request ends while the version that began the stream is looked for.
func TestUnfinishedOriginLookup(t *testing.T) {
	w := httptest.NewRecorder()
	c := &call{
		gateway: newIdleGateway(t), w: w, request: httptest.NewRequest(http.MethodPost, "/", nil), route: &catalog.Route{Kind: catalog.Stream, Resumable: true},
		meta: protocol.Request{ID: "a", Resumes: "first", LastEventID: "3"}, arrived: time.Now(),
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(20*time.Millisecond, func() { cancel(errGraceExpired) })
	require.False(t, c.pinResumed(ctx))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Empty(t, w.Header().Get(beginAnewHeader))
	require.Equal(t, "refused", c.result)
	require.Equal(t, errGraceExpired.Error(), c.reason)
}

// TestOriginWaitEndsWithRequest guards against a request that waits, after its end, until the version that began its
// stream is certain.
func TestOriginWaitEndsWithRequest(t *testing.T) {
	c := &call{gateway: newIdleGateway(t), request: httptest.NewRequest(http.MethodPost, "/", nil), route: &catalog.Route{}, origin: make(chan string)}
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(20*time.Millisecond, func() { cancel(errGraceExpired) })
	ended := make(chan step, 1)
	go func() { ended <- c.attempt(ctx) }()
	select {
	case s := <-ended:
		require.Equal(t, failStep{err: errGraceExpired}, s)
	case <-time.After(2 * time.Second):
		require.Fail(t, "it waits on")
	}
}
