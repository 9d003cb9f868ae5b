package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/quarantine"
)

// forwardedConn stands for a connection that another gateway forwards.
type forwardedConn struct {
	net.Conn
	linkEnded bool
}

func (c forwardedConn) LinkEnded() bool { return c.linkEnded }

// connThatRead returns a caller's connection whose read has failed.
func connThatRead(err error) *callerConn {
	c := &callerConn{}
	c.readError.Store(&err)
	return c
}

// TestEndCauses guards against a request that the gateway, or the end of a link, has ended and that is told as if
// its caller had left, and the other way round.
func TestEndCauses(t *testing.T) {
	timeout := &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
	tests := []struct {
		name       string
		conn       net.Conn
		connEnded  bool // the HTTP server has noticed that the connection has ended
		err        error
		mayHaveRun bool
		headerSent bool
		result     string
		endedBy    endCause
		reason     string
		status     int // 0: the connection is closed without an answer
	}{
		{"caller closes", connThatRead(io.EOF), true, context.Canceled, true, false, "left", endedByCaller, "closed its connection", 0},
		{"caller closes within the answer", connThatRead(io.EOF), true, context.Canceled, true, true, "left", endedByCaller, "closed its connection", 0},
		{"caller resets", connThatRead(syscall.ECONNRESET), true, context.Canceled, true, true, "left", endedByCaller, "reset its connection", 0},
		{"caller closes while its server fails", connThatRead(io.EOF), true, errors.New("other"), true, true, "left", endedByCaller, "closed its connection", 0},
		{"caller closes after the grace period", connThatRead(io.EOF), true, errGraceExpired, true, true, "left", endedByCaller, "closed its connection", 0},
		{"caller answers no probes", connThatRead(timeout), true, context.Canceled, true, true, "left", endedByConnection, "broken while reading", 0},
		{"answer can't be written", &callerConn{}, true, connectionBroke(syscall.EPIPE, "writing"), true, true, "left", endedByConnection, "broken while writing", 0},
		{"forwarded caller closes", forwardedConn{}, true, context.Canceled, true, true, "left", endedByCaller, "closed its connection", 0},
		{"link ends", forwardedConn{linkEnded: true}, true, context.Canceled, true, false, "failed", endedByLink, "link", 0},
		{"link ends within the answer", forwardedConn{linkEnded: true}, true, context.Canceled, true, true, "cut", endedByLink, "link", 0},
		{"link ends after the grace period", forwardedConn{linkEnded: true}, true, errGraceExpired, true, true, "cut", endedByLink, "link", 0},
		{"grace period expires while it waits", &callerConn{}, false, errGraceExpired, false, false, "refused", endedByStop, "grace period", http.StatusServiceUnavailable},
		{"grace period expires while it runs", &callerConn{}, false, errGraceExpired, true, false, "failed", endedByStop, "grace period", http.StatusBadGateway},
		{"grace period expires within the answer", &callerConn{}, false, errGraceExpired, true, true, "cut", endedByStop, "grace period", 0},
		{"the process closes the connection before", connThatRead(net.ErrClosed), true, errGraceExpired, true, false, "failed", endedByStop, "grace period", 0},
		{"the process closes the connection within the answer", connThatRead(net.ErrClosed), true, errGraceExpired, true, true, "cut", endedByStop, "grace period", 0},
		{"the server's end closes the connection", connThatRead(net.ErrClosed), true, context.Canceled, true, true, "cut", endedByStop, "closed the caller's connection", 0},
		{"nobody decides any more", &callerConn{}, false, nil, false, false, "refused", endedByStop, "has ended", http.StatusServiceUnavailable},
		{"deadline", &callerConn{}, false, errDeadline, true, false, "failed", endedByDeadline, "deadline", http.StatusGatewayTimeout},
		{"server fails", &callerConn{}, false, errors.New("other"), true, true, "cut", "", "other", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(withConn(t.Context(), test.conn))
			defer cancel()
			if test.connEnded {
				cancel()
			}
			w := httptest.NewRecorder()
			c := &call{
				gateway: newIdleGateway(t), w: w, request: httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx), route: &catalog.Route{},
				arrived: time.Now(), mayHaveRun: test.mayHaveRun, headerSent: test.headerSent,
			}
			fail := func() { c.fail(ctx, failStep{err: test.err, deadlinePassed: test.endedBy == endedByDeadline}) }
			if test.status == 0 {
				require.PanicsWithValue(t, http.ErrAbortHandler, fail, "the connection must not be used for an answer")
			} else {
				fail()
				require.Equal(t, test.status, w.Code)
			}
			require.Equal(t, test.result, c.result)
			require.Equal(t, test.endedBy, c.endedBy)
			require.Contains(t, c.reason, test.reason)
		})
	}
}

// TestForwardedConnectionEnds guards against the end of a link that is taken for that of the caller.
func TestForwardedConnectionEnds(t *testing.T) {
	tests := []struct {
		name string
		end  func(s *overloadedGateway, caller net.Conn)
		want error
	}{
		{"caller closes", func(_ *overloadedGateway, caller net.Conn) { caller.Close() }, errCallerClosed},
		{"link ends", func(s *overloadedGateway, _ net.Conn) { s.offloader.forwarder.Close() }, errLinkEnded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			began, ended := make(chan struct{}), make(chan error, 1)
			s := startOverloaded(t, func(_ http.ResponseWriter, r *http.Request) {
				close(began)
				<-r.Context().Done()
				ended <- (&call{request: r}).failure(context.Cause(r.Context()))
			})
			caller, err := net.Dial("tcp4", s.address)
			require.NoError(t, err)
			defer caller.Close()
			_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			<-began
			test.end(s, caller)
			require.ErrorIs(t, <-ended, test.want)
		})
	}
}

// unansweringStore is a suspect.Store that answers nothing.
type unansweringStore struct{ recordingStore }

func (*unansweringStore) CountTrial(ctx context.Context, _ quarantine.Key, _ int) (bool, error) {
	<-ctx.Done()
	return false, ctx.Err()
}

// TestRequestEndsWithinTrial guards against a request that gets no answer, or is told as barred, because it ends
// while the store is asked whether it may be tried.
func TestRequestEndsWithinTrial(t *testing.T) {
	g := newIdleGateway(t)
	g.suspects.Store = &unansweringStore{}
	c := &call{gateway: g, request: httptest.NewRequest(http.MethodPost, "/", nil), route: &catalog.Route{}, arrived: time.Now()}
	stored := map[quarantine.Key]quarantine.StoredRecord{c.requestKey(): {Servers: []string{"a", "b", "c"}, Simultaneous: true}}
	g.suspects.ApplyStored(time.Now().Add(-time.Minute), nil, stored, false)
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(20*time.Millisecond, func() { cancel(errGraceExpired) })
	began := time.Now()
	require.Equal(t, failStep{err: errGraceExpired}, c.send(ctx, placement.Assign{Server: readyServer("i-1")}))
	require.Less(t, time.Since(began), 200*time.Millisecond)
}
