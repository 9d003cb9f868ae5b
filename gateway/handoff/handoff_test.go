package handoff_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/handoff"
)

// fleet is a gateway that callers connect to, and another one that serves them.
type fleet struct {
	t          *testing.T
	forwarder  *handoff.Forwarder
	peer       string // address of the serving gateway
	front      net.Listener
	results    chan error // result of each forwarded connection
	breakLinks context.CancelFunc

	callerDeadline atomic.Int64 // for reading from callers, a time.Duration; 0: none
}

// connKey is the context key of a request's connection.
type connKey struct{}

// start starts a fleet whose second gateway serves with the given handler.
func start(t *testing.T, serve http.HandlerFunc) *fleet {
	t.Helper()
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, breakLinks := context.WithCancel(context.Background())
	accepted := handoff.NewListener(peers.Addr())
	links := &http.Server{Handler: serveLinks(ctx, accepted)}
	server := &http.Server{Handler: serve, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	errs := make(chan error, 2)
	go func() { errs <- links.Serve(peers) }()
	go func() { errs <- server.Serve(accepted) }()
	f := &fleet{t: t, forwarder: handoff.NewForwarder(), peer: peers.Addr().String(), front: front, results: make(chan error, 100), breakLinks: breakLinks}
	go f.accept()
	t.Cleanup(func() {
		front.Close()
		f.forwarder.Close()
		breakLinks()
		links.Close()
		server.Close()
		<-errs
		<-errs
	})
	return f
}

// serveLinks opens links.
func serveLinks(ctx context.Context, l *handoff.Listener) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n\r\n"); err != nil {
			return
		}
		_ = l.ServeLink(ctx, conn) // ends with the test
	}
}

func (f *fleet) accept() {
	for {
		c, err := f.front.Accept()
		if err != nil {
			return
		}
		if d := time.Duration(f.callerDeadline.Load()); d > 0 {
			_ = c.SetReadDeadline(time.Now().Add(d))
		}
		go func() {
			_, err := f.forwarder.Forward(context.Background(), f.peer, c)
			f.results <- err
		}()
	}
}

// dial connects a caller.
func (f *fleet) dial() net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp4", f.front.Addr().String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	require.NoError(f.t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c
}

// TestForward checks that requests and responses pass complete, several on one connection and
// over many connections at once.
func TestForward(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(body), body[max(len(body)-1, 0):])
	})
	const callers, requests = 20, 3
	errs := make(chan error, callers)
	for n := range callers {
		c := f.dial()
		go func() {
			reader := bufio.NewReader(c)
			for i := range requests {
				size := 1 + (n*requests+i)*1000
				fmt.Fprintf(c, "POST /%d/%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%sx", n, i, size, strings.Repeat("y", size-1))
				answer, err := http.ReadResponse(reader, nil)
				if err != nil {
					errs <- err
					return
				}
				body, err := io.ReadAll(answer.Body)
				if want := fmt.Sprintf("/%d/%d %d x", n, i, size); err != nil || string(body) != want {
					errs <- fmt.Errorf("got %q, %v, want %q", body, err, want)
					return
				}
			}
			errs <- nil
		}()
	}
	for range callers {
		require.NoError(t, <-errs)
	}
}

// TestEventsPassImmediately checks that events are forwarded as they come, not when their stream
// ends.
func TestEventsPassImmediately(t *testing.T) {
	next := make(chan struct{})
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		for n := range 3 {
			fmt.Fprintf(w, "id: %d\n\n", n)
			_ = http.NewResponseController(w).Flush()
			<-next
		}
	})
	c := f.dial()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	events := bufio.NewReader(answer.Body)
	for n := range 3 {
		line, err := events.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("id: %d\n", n), line)
		_, err = events.ReadString('\n')
		require.NoError(t, err)
		next <- struct{}{}
	}
}

// TestCallerCloses checks that the serving gateway notices when a caller closes its connection.
func TestCallerCloses(t *testing.T) {
	began, closed := make(chan struct{}), make(chan struct{})
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(closed)
	})
	c := f.dial()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	c.Close()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		require.Fail(t, "the serving gateway has not noticed that its caller closed the connection")
	}
	require.NoError(t, <-f.results)
}

// TestBrokenLinks checks that a caller without any byte of its response gets a 502, and that a
// response that has begun appears truncated.
func TestBrokenLinks(t *testing.T) {
	tests := []struct {
		name   string
		begins bool
	}{{"before the response", false}, {"within the response", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			began := make(chan struct{})
			f := start(t, func(w http.ResponseWriter, r *http.Request) {
				if test.begins {
					fmt.Fprint(w, "id: 1\n\n")
					_ = http.NewResponseController(w).Flush()
				}
				close(began)
				<-r.Context().Done()
			})
			c := f.dial()
			fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			<-began
			if test.begins {
				time.Sleep(50 * time.Millisecond) // until the event has been sent
			}
			f.breakLinks()
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			if !test.begins {
				require.Equal(t, http.StatusBadGateway, answer.StatusCode)
				require.True(t, answer.Close)
				return
			}
			body, err := io.ReadAll(answer.Body)
			require.Equal(t, "id: 1\n\n", string(body))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// TestLinkBreaksAfterInterimResponse guards against a caller that gets no final response because an interim one has been
// sent before the link broke.
func TestLinkBreaksAfterInterimResponse(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // the caller sends none
	})
	c := f.dial()
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	reader := bufio.NewReader(c)
	answer, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, answer.StatusCode)
	f.breakLinks()
	answer, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, answer.StatusCode)
}

// TestNoLink checks that the connection is left untouched, and that the gateway is not contacted
// again at once.
func TestNoLink(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	l.Close()
	forwarder := handoff.NewForwarder()
	defer forwarder.Close()
	caller, conn := net.Pipe()
	defer caller.Close()
	for range 3 {
		_, err := forwarder.Forward(t.Context(), address, conn)
		require.ErrorIs(t, err, handoff.ErrNotForwarded)
	}
	go func() { _, _ = conn.Write([]byte("still open")) }()
	got := make([]byte, 10)
	_, err = io.ReadFull(caller, got)
	require.NoError(t, err)
}

// TestBrokenAnswerToLink checks that a connection is not forwarded if the answer to the request for a link is none.
func TestBrokenAnswerToLink(t *testing.T) {
	const upgrade = "Connection: Upgrade\r\nUpgrade: " + handoff.Protocol + "\r\n"
	tests := []struct {
		name, answer string
		opens        bool
	}{
		{"sound", "HTTP/1.1 101 Switching Protocols\r\n" + upgrade + "\r\n", true},
		{"status 000", "HTTP/1.1 000 Trouble\r\n" + upgrade + "\r\n", false},
		{"blank before the colon", "HTTP/1.1 101 Switching Protocols\r\nA : b\r\n" + upgrade + "\r\n", false},
		{"line that begins with a blank", "HTTP/1.1 101 Switching Protocols\r\n" + upgrade + " A: b\r\n\r\n", false},
		{"cut", "HTTP/1.1 101 Switching Protocols\r\n" + upgrade, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, test.answer)
				if test.opens {
					_, _ = io.Copy(io.Discard, c)
				}
			}()
			forwarder := handoff.NewForwarder()
			defer forwarder.Close()
			s, err := forwarder.Open(t.Context(), l.Addr().String())
			require.Equal(t, test.opens, err == nil, "%v, %v", s, err)
		})
	}
}

// TestDeadlineOfCaller guards against a tunnel that ends a request in progress because a deadline for reading from its
// caller, such as a connection that is being retired has, expires.
func TestDeadlineOfCaller(t *testing.T) {
	f := start(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(200 * time.Millisecond):
			w.Header().Set("Connection", "close")
		}
	})
	f.callerDeadline.Store(int64(50 * time.Millisecond))
	c := f.dial()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode)
}

// TestLinkEnded guards against a request that seems to have lost its caller when its link has ended, or the other way
// round.
func TestLinkEnded(t *testing.T) {
	tests := []struct {
		name  string
		end   func(f *fleet, caller net.Conn)
		ended bool
	}{
		{"the caller closes", func(_ *fleet, caller net.Conn) { caller.Close() }, false},
		{"the forwarding gateway ends", func(f *fleet, _ net.Conn) { f.forwarder.Close() }, true},
		{"the serving gateway ends the link", func(f *fleet, _ net.Conn) { f.breakLinks() }, true},
		{"the caller closes, then the link ends", func(f *fleet, caller net.Conn) {
			caller.Close()
			time.Sleep(50 * time.Millisecond)
			f.forwarder.Close()
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			began, during, after := make(chan struct{}), make(chan bool, 1), make(chan bool, 1)
			f := start(t, func(w http.ResponseWriter, r *http.Request) {
				c := r.Context().Value(connKey{}).(*handoff.Conn)
				during <- c.LinkEnded()
				close(began)
				<-r.Context().Done()
				time.Sleep(100 * time.Millisecond)
				after <- c.LinkEnded()
			})
			c := f.dial()
			fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			<-began
			test.end(f, c)
			require.False(t, <-during)
			require.Equal(t, test.ended, <-after)
		})
	}
}
