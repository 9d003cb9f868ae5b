package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/upstream"
)

// codec reads the headers used by these tests.
type codec struct{ protocol.Codec }

func (codec) Response(status int, h http.Header) protocol.Response {
	a := protocol.Response{
		RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotExecuted: h.Get("Not-Run") != "",
		Server: h.Get("Server"), Leaving: h.Get("Leaving") != "",
	}
	if h.Get("Rest") != "" {
		a.Backoff = time.Second
	}
	return a
}

// scriptedServer is a server that responds to each request of each connection by a script.
type scriptedServer struct {
	listener net.Listener
	requests chan string // request lines received
}

// serve starts a server. The function answer writes the response to the n-th request overall and
// reports whether to read another request from the connection.
func serve(t *testing.T, answer func(c net.Conn, n int, r *http.Request) bool) (*scriptedServer, catalog.Server) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &scriptedServer{listener: l, requests: make(chan string, 100)}
	counts := make(chan int, 1)
	counts <- 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c, counts, answer)
		}
	}()
	return s, catalog.Server{ID: "i-1", Address: l.Addr().String()}
}

func (s *scriptedServer) serveConn(c net.Conn, counts chan int, answer func(net.Conn, int, *http.Request) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.requests <- request.Method + " " + request.RequestURI
		n := <-counts
		counts <- n + 1
		if !answer(c, n, request) {
			return
		}
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody"

func newRequest() *upstream.Request {
	return &upstream.Request{ID: "a", Method: http.MethodPost, Target: "/x/1?q=%2f", Host: "h.example", Header: http.Header{"Id": {"a"}}, Body: []byte("hello")}
}

// sendAndDescribe sends a request and describes the result.
func sendAndDescribe(ctx context.Context, p *upstream.Pool, s catalog.Server, r *upstream.Request) string {
	switch result := p.Send(ctx, s, r).(type) {
	case upstream.Unsent:
		return "unsent"
	case upstream.NotExecuted:
		return fmt.Sprintf("not run %d", result.Status)
	case upstream.Indeterminate:
		return "indeterminate"
	case upstream.Responded:
		defer result.Response.Close()
		body, err := io.ReadAll(result.Response.Body)
		if err != nil {
			return "broken body " + string(body)
		}
		return fmt.Sprintf("%d %s", result.Response.Status, body)
	default:
		return "another result"
	}
}

// TestBeforeSend checks that a request which is rejected once its connection is available is not
// sent, and that the connection is kept.
func TestBeforeSend(t *testing.T) {
	server, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
		fmt.Fprint(c, completeResponse)
		return true
	})
	p := upstream.NewPool(codec{})
	rejected := newRequest()
	rejected.BeforeSend = func() error { return errors.New("rejected") }
	for range 3 {
		unsent, ok := p.Send(t.Context(), s, rejected).(upstream.Unsent)
		require.True(t, ok)
		require.EqualError(t, unsent.Err, "rejected")
	}
	require.Empty(t, server.requests)
	accepted := newRequest()
	accepted.BeforeSend = func() error { return nil }
	require.Equal(t, "200 body", sendAndDescribe(t.Context(), p, s, accepted))
	require.EqualValues(t, 1, p.Dials())
}

// TestOnSignal checks that what a response says about its server counts only if it certainly
// comes from that server.
func TestOnSignal(t *testing.T) {
	leavingSignal, backoffSignal := upstream.Signal{Status: 200, Leaving: true}, upstream.Signal{Status: 503, Backoff: time.Second}
	tests := []struct {
		name string
		head string
		want []upstream.Signal
	}{
		{"response", "200 OK\r\nId: a\r\nSeal: s\r\nLeaving: 1", []upstream.Signal{leavingSignal}},
		{"response that names its server", "200 OK\r\nId: a\r\nSeal: s\r\nLeaving: 1\r\nServer: i-1", []upstream.Signal{leavingSignal}},
		{"response of another server", "200 OK\r\nId: a\r\nSeal: s\r\nLeaving: 1\r\nServer: i-2", nil},
		{"response to another request", "200 OK\r\nId: b\r\nSeal: s\r\nLeaving: 1", nil},
		{"response without request ID", "200 OK\r\nSeal: s\r\nLeaving: 1", nil},
		{"response without seal", "200 OK\r\nId: a\r\nLeaving: 1", nil},
		{"error response", "500 Oh\r\nId: a\r\nLeaving: 1", []upstream.Signal{{Status: 500, Leaving: true}}},
		{"misdirected: server that has the address now", "421 Other\r\nId: a\r\nLeaving: 1\r\nRest: 1", nil},
		{"refusal", "503 Full\r\nId: a\r\nNot-Run: 1\r\nRest: 1", []upstream.Signal{backoffSignal}},
		{"refusal of another request", "503 Full\r\nId: b\r\nNot-Run: 1\r\nRest: 1", nil},
		{"no signal", "200 OK\r\nId: a\r\nSeal: s", nil},
		{"signal in an interim response", "103 Hints\r\nId: a\r\nLeaving: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nSeal: s", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
				fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 4\r\n\r\nbody", test.head)
				return true
			})
			var got []upstream.Signal
			p := upstream.NewPool(codec{})
			p.OnSignal = func(from catalog.Server, sig upstream.Signal) {
				require.Equal(t, s.ID, from.ID)
				got = append(got, sig)
			}
			sendAndDescribe(t.Context(), p, s, newRequest())
			require.Equal(t, test.want, got)
		})
	}
}

func TestSend(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		want   string
	}{
		{"complete", completeResponse, "200 body"},
		{"chunked", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "200 body"},
		{"no length", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\nbody", "200 body"},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse, "200 body"},
		{"server's own failure", "HTTP/1.1 500 Oops\r\nId: a\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "500 "},
		{"overloaded, not run", "HTTP/1.1 503 Busy\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "not run 503"},
		{"overloaded, without Not-Run", "HTTP/1.1 503 Busy\r\nId: a\r\nContent-Length: 0\r\n\r\n", "503 "},
		{"not run, without id", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "indeterminate"},
		{"failure without id", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "indeterminate"},
		{"not found, by another program", "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nbody", "indeterminate"},
		{"redirect, by another program", "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", "indeterminate"},
		{"response to another request", "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody", "indeterminate"},
		{"success without seal", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody", "indeterminate"},
		{"success without id", "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody", "indeterminate"},
		{"encoded", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody", "indeterminate"},
		{"no response", "", "indeterminate"},
		{"not HTTP", "hello there\r\n\r\n", "indeterminate"},
		{"truncated head", "HTTP/1.1 200 OK\r\nId: a", "indeterminate"},
		{"short body", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 9\r\n\r\nbody", "broken body body"},
		{"unterminated chunks", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "broken body body"},
		{"conflicting lengths", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody", "indeterminate"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "indeterminate"},
		{"switched protocols", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", "indeterminate"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(c, test.answer)
				return false
			})
			require.Equal(t, test.want, sendAndDescribe(t.Context(), upstream.NewPool(codec{}), s, newRequest()))
			require.Equal(t, "POST /x/1?q=%2f", <-server.requests)
			require.Empty(t, server.requests, "a request must never be retried automatically")
		})
	}
}

func TestSendConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	got := sendAndDescribe(t.Context(), upstream.NewPool(codec{}), catalog.Server{ID: "i-1", Address: address}, newRequest())
	require.Equal(t, "unsent", got)
}

// TestConnectionReuse checks that a connection is reused only if nothing prevents it.
func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name  string
		first string
		open  bool // the server goes on reading
		dials int64
	}{
		{"complete response", completeResponse, true, 1},
		{"server closes", strings.Replace(completeResponse, "Id: a", "Connection: close\r\nId: a", 1), true, 2},
		{"server closes without announcing it", completeResponse, false, 2},
		{"unsolicited bytes", completeResponse + "HTTP/1.1 200 OK\r\n", true, 2},
		{"short keep-alive timeout", strings.Replace(completeResponse, "Id: a", "Keep-Alive: timeout=1\r\nId: a", 1), true, 2},
		{"no length", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\nbody", false, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, s := serve(t, func(c net.Conn, n int, _ *http.Request) bool {
				if n == 0 {
					_, _ = io.WriteString(c, test.first)
					return test.open
				}
				_, _ = io.WriteString(c, completeResponse)
				return true
			})
			p := upstream.NewPool(codec{})
			require.Equal(t, "200 body", sendAndDescribe(t.Context(), p, s, newRequest()))
			require.Eventually(t, func() bool {
				return sendAndDescribe(t.Context(), p, s, newRequest()) == "200 body" && p.Dials() >= test.dials
			}, time.Second, 5*time.Millisecond)
			require.Equal(t, test.dials, p.Dials())
		})
	}
}

// TestEarlyResponse checks a response that arrives while a long body is still being sent.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = bufio.NewReaderSize(c, 16).ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Long\r\nId: a\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	}()
	r := newRequest()
	r.Body = make([]byte, 64<<20)
	p := upstream.NewPool(codec{})
	s := catalog.Server{ID: "i-1", Address: l.Addr().String()}
	require.Equal(t, "413 ", sendAndDescribe(t.Context(), p, s, r))
}

// TestCancelClosesConnection checks that the server notices when its caller has gone.
func TestCancelClosesConnection(t *testing.T) {
	noticed := make(chan struct{})
	_, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
		close(noticed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	result := upstream.NewPool(codec{}).Send(ctx, s, newRequest())
	a := result.(upstream.Responded).Response
	cancel()
	_, err := io.ReadAll(a.Body)
	require.Error(t, err)
	a.Close()
	select {
	case <-noticed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

func TestRemoveHopByHopHeaders(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "Kept": {"1"}}
	upstream.RemoveHopByHopHeaders(h)
	require.Equal(t, http.Header{"Kept": {"1"}}, h)
}

// TestDeadConnectionsAreDropped checks that when one open connection turns out to be dead, the
// other idle connections to the same server are not tried.
func TestDeadConnectionsAreDropped(t *testing.T) {
	silent := make(chan struct{})
	var mutex sync.Mutex
	used := map[net.Conn]int{}
	_, server := serve(t, func(c net.Conn, n int, _ *http.Request) bool {
		mutex.Lock()
		used[c]++
		reused := used[c] > 1
		mutex.Unlock()
		if reused {
			<-silent // connections that have responded once stay silent
			return false
		}
		_, err := io.WriteString(c, completeResponse)
		return err == nil
	})
	t.Cleanup(func() { close(silent) })
	pool := upstream.NewPool(codec{})
	var responses []*upstream.Response
	for range 3 {
		responses = append(responses, requireResponse(t, pool.Send(t.Context(), server, newRequest())))
	}
	for _, a := range responses {
		_, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		a.Close()
	}
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.IsType(t, upstream.Indeterminate{}, pool.Send(short, server, newRequest()))
	next, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	requireResponse(t, pool.Send(next, server, newRequest())).Close()
}

func requireResponse(t *testing.T, r upstream.Result) *upstream.Response {
	t.Helper()
	require.IsType(t, upstream.Responded{}, r)
	return r.(upstream.Responded).Response
}

// TestSendBefore checks that a request whose SendBefore time has passed reaches no server, and
// that its connection serves the next request.
func TestSendBefore(t *testing.T) {
	server, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
		_, err := io.WriteString(c, completeResponse)
		return err == nil
	})
	pool := upstream.NewPool(codec{})
	expired := newRequest()
	expired.SendBefore = time.Now().Add(-time.Millisecond)
	unsent, ok := pool.Send(t.Context(), s, expired).(upstream.Unsent)
	require.True(t, ok)
	require.ErrorIs(t, unsent.Err, upstream.ErrTooLate)
	require.Empty(t, server.requests)
	onTime := newRequest()
	onTime.SendBefore = time.Now().Add(time.Minute)
	require.Equal(t, "200 body", sendAndDescribe(t.Context(), pool, s, onTime))
	require.Equal(t, int64(1), pool.Dials())
}

// TestKeptConnectionEndsBeforeWrite guards against a request that is written to a connection whose end, or surplus
// bytes, have arrived during the checks before it: it has not run, but that would count as unknown.
func TestKeptConnectionEndsBeforeWrite(t *testing.T) {
	tests := []struct {
		name    string
		surplus string // what the server sends; empty: it closes
		confirm bool   // during ConfirmLifetime, instead of BeforeSend
	}{
		{"closed during BeforeSend", "", false},
		{"surplus during BeforeSend", "x", false},
		{"closed during ConfirmLifetime", "", true},
		{"surplus during ConfirmLifetime", "x", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			checking := make(chan struct{})
			server, s := serve(t, func(c net.Conn, n int, _ *http.Request) bool {
				fmt.Fprint(c, completeResponse)
				if n > 0 {
					return true
				}
				<-checking
				fmt.Fprint(c, test.surplus)
				return test.surplus != ""
			})
			p := upstream.NewPool(codec{})
			require.Equal(t, "200 body", sendAndDescribe(t.Context(), p, s, newRequest()))
			check := sync.OnceFunc(func() {
				close(checking)
				time.Sleep(50 * time.Millisecond)
			})
			r := newRequest()
			if test.confirm {
				r.ConfirmLifetime = func(context.Context) error { check(); return nil }
			} else {
				r.BeforeSend = func() error { check(); return nil }
			}
			require.Equal(t, "200 body", sendAndDescribe(t.Context(), p, s, r))
			require.EqualValues(t, 2, p.Dials())
			require.Len(t, server.requests, 2)
		})
	}
}

// TestNewConnectionEndsBeforeWrite guards against a result that leaves open whether a request has run which was never
// written, as its server had closed the new connection during the checks.
func TestNewConnectionEndsBeforeWrite(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	r := newRequest()
	r.ConfirmLifetime = func(context.Context) error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		defer time.Sleep(50 * time.Millisecond)
		return c.Close()
	}
	unsent, ok := upstream.NewPool(codec{}).Send(t.Context(), catalog.Server{ID: "i-1", Address: l.Addr().String()}, r).(upstream.Unsent)
	require.True(t, ok)
	require.ErrorIs(t, unsent.Err, upstream.ErrConnectionEnded)
}
