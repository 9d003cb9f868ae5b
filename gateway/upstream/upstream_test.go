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

// codec reads the headers of these tests.
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

// scripted is a server that answers each request of each connection by a script.
type scripted struct {
	listener net.Listener
	requests chan string // what arrived, line and headers
}

// serve starts a server; answer writes the answer to the n-th request of all and tells
// whether to read another one from the connection.
func serve(t *testing.T, answer func(c net.Conn, n int, r *http.Request) bool) (*scripted, catalog.Server) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &scripted{listener: l, requests: make(chan string, 100)}
	counts := make(chan int, 1)
	counts <- 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.converse(c, counts, answer)
		}
	}()
	return s, catalog.Server{ID: "i-1", Address: l.Addr().String()}
}

func (s *scripted) converse(c net.Conn, counts chan int, answer func(net.Conn, int, *http.Request) bool) {
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

const whole = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody"

func request() *upstream.Request {
	return &upstream.Request{ID: "a", Method: http.MethodPost, Target: "/x/1?q=%2f", Host: "h.example", Header: http.Header{"Id": {"a"}}, Body: []byte("hello")}
}

// read sends a request and describes what came of it.
func read(ctx context.Context, p *upstream.Pool, s catalog.Server, r *upstream.Request) string {
	switch result := p.Send(ctx, s, r).(type) {
	case upstream.Unsent:
		return "unsent"
	case upstream.NotExecuted:
		return fmt.Sprintf("not run %d", result.Status)
	case upstream.Indeterminate:
		return "lost"
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

// TestAllowed: a request that is not allowed any more when its connection is there is not
// sent, and the connection is kept.
func TestAllowed(t *testing.T) {
	script, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
		fmt.Fprint(c, whole)
		return true
	})
	p := upstream.NewPool(codec{})
	barred := request()
	barred.BeforeSend = func() error { return errors.New("not any more") }
	for range 3 {
		unsent, ok := p.Send(t.Context(), s, barred).(upstream.Unsent)
		require.True(t, ok)
		require.EqualError(t, unsent.Err, "not any more")
	}
	require.Empty(t, script.requests)
	free := request()
	free.BeforeSend = func() error { return nil }
	require.Equal(t, "200 body", read(t.Context(), p, s, free))
	require.EqualValues(t, 1, p.Dials())
}

// TestHeard: what an answer says of its server counts only if it surely is that server's.
func TestHeard(t *testing.T) {
	leaving, resting := upstream.Signal{Status: 200, Leaving: true}, upstream.Signal{Status: 503, Backoff: time.Second}
	tests := []struct {
		name string
		head string
		want []upstream.Signal
	}{
		{"an answer", "200 OK\r\nId: a\r\nSeal: s\r\nLeaving: 1", []upstream.Signal{leaving}},
		{"that names its server", "200 OK\r\nId: a\r\nSeal: s\r\nLeaving: 1\r\nServer: i-1", []upstream.Signal{leaving}},
		{"of another server", "200 OK\r\nId: a\r\nSeal: s\r\nLeaving: 1\r\nServer: i-2", nil},
		{"to another request", "200 OK\r\nId: b\r\nSeal: s\r\nLeaving: 1", nil},
		{"to no request", "200 OK\r\nSeal: s\r\nLeaving: 1", nil},
		{"without a seal", "200 OK\r\nId: a\r\nLeaving: 1", nil},
		{"a failure", "500 Oh\r\nId: a\r\nLeaving: 1", []upstream.Signal{{Status: 500, Leaving: true}}},
		{"of whoever has the address now", "421 Other\r\nId: a\r\nLeaving: 1\r\nRest: 1", nil},
		{"a refusal", "503 Full\r\nId: a\r\nNot-Run: 1\r\nRest: 1", []upstream.Signal{resting}},
		{"a refusal of another request", "503 Full\r\nId: b\r\nNot-Run: 1\r\nRest: 1", nil},
		{"nothing to say", "200 OK\r\nId: a\r\nSeal: s", nil},
		{"interim", "103 Hints\r\nId: a\r\nLeaving: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nSeal: s", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
				fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 4\r\n\r\nbody", test.head)
				return true
			})
			var heard []upstream.Signal
			p := upstream.NewPool(codec{})
			p.OnSignal = func(of catalog.Server, w upstream.Signal) {
				require.Equal(t, s.ID, of.ID)
				heard = append(heard, w)
			}
			read(t.Context(), p, s, request())
			require.Equal(t, test.want, heard)
		})
	}
}

func TestSend(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		want   string
	}{
		{"whole", whole, "200 body"},
		{"chunked", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "200 body"},
		{"no length", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\nbody", "200 body"},
		{"interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole, "200 body"},
		{"server's own failure", "HTTP/1.1 500 Oops\r\nId: a\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", "500 "},
		{"full", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "not run 503"},
		{"full without saying so", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "503 "},
		{"answer to another request", "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody", "lost"},
		{"success without seal", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nbody", "lost"},
		{"success without id", "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody", "lost"},
		{"encoded", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody", "lost"},
		{"no answer", "", "lost"},
		{"no HTTP", "hello there\r\n\r\n", "lost"},
		{"half a head", "HTTP/1.1 200 OK\r\nId: a", "lost"},
		{"short body", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 9\r\n\r\nbody", "broken body body"},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", "broken body body"},
		{"two lengths", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody", "lost"},
		{"another protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", "lost"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			arrived, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(c, test.answer)
				return false
			})
			require.Equal(t, test.want, read(t.Context(), upstream.NewPool(codec{}), s, request()))
			require.Equal(t, "POST /x/1?q=%2f", <-arrived.requests)
			require.Empty(t, arrived.requests, "a request must never be sent again by itself")
		})
	}
}

func TestSendToNobody(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	got := read(t.Context(), upstream.NewPool(codec{}), catalog.Server{ID: "i-1", Address: address}, request())
	require.Equal(t, "unsent", got)
}

// TestConnectionsAreUsedAgain only if nothing speaks against it.
func TestConnectionsAreUsedAgain(t *testing.T) {
	tests := []struct {
		name  string
		first string
		open  bool // the server goes on reading
		dials int64
	}{
		{"whole answer", whole, true, 1},
		{"server closes", strings.Replace(whole, "Id: a", "Connection: close\r\nId: a", 1), true, 2},
		{"server has closed without a word", whole, false, 2},
		{"bytes nobody asked for", whole + "HTTP/1.1 200 OK\r\n", true, 2},
		{"short lifetime", strings.Replace(whole, "Id: a", "Keep-Alive: timeout=1\r\nId: a", 1), true, 2},
		{"no length", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\nbody", false, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, s := serve(t, func(c net.Conn, n int, _ *http.Request) bool {
				if n == 0 {
					_, _ = io.WriteString(c, test.first)
					return test.open
				}
				_, _ = io.WriteString(c, whole)
				return true
			})
			p := upstream.NewPool(codec{})
			require.Equal(t, "200 body", read(t.Context(), p, s, request()))
			require.Eventually(t, func() bool {
				return read(t.Context(), p, s, request()) == "200 body" && p.Dials() >= test.dials
			}, time.Second, 5*time.Millisecond)
			require.Equal(t, test.dials, p.Dials())
		})
	}
}

// TestEarlyAnswer lets a server answer while a long body is still on its way.
func TestEarlyAnswer(t *testing.T) {
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
	r := request()
	r.Body = make([]byte, 64<<20)
	p := upstream.NewPool(codec{})
	s := catalog.Server{ID: "i-1", Address: l.Addr().String()}
	require.Equal(t, "413 ", read(t.Context(), p, s, r))
}

// TestCancelClosesConnection makes the server notice that its caller has gone.
func TestCancelClosesConnection(t *testing.T) {
	noticed := make(chan struct{})
	_, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
		close(noticed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	result := upstream.NewPool(codec{}).Send(ctx, s, request())
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

func TestRemoveHopHeaders(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "Kept": {"1"}}
	upstream.RemoveHopByHopHeaders(h)
	require.Equal(t, http.Header{"Kept": {"1"}}, h)
}

// TestSilencedConnectionsAreDropped: when one open connection turns out to have gone
// silent for good, the others that were open beside it are not tried.
func TestSilencedConnectionsAreDropped(t *testing.T) {
	silent := make(chan struct{})
	var mutex sync.Mutex
	used := map[net.Conn]int{}
	_, server := serve(t, func(c net.Conn, n int, _ *http.Request) bool {
		mutex.Lock()
		used[c]++
		again := used[c] > 1
		mutex.Unlock()
		if again {
			<-silent // connections that have answered once say nothing more
			return false
		}
		_, err := io.WriteString(c, whole)
		return err == nil
	})
	t.Cleanup(func() { close(silent) })
	pool := upstream.NewPool(codec{})
	var open []*upstream.Response
	for range 3 {
		open = append(open, answered(t, pool.Send(t.Context(), server, request())))
	}
	for _, a := range open {
		_, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		a.Close()
	}
	soon, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.IsType(t, upstream.Indeterminate{}, pool.Send(soon, server, request()))
	next, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	answered(t, pool.Send(next, server, request())).Close()
}

func answered(t *testing.T, r upstream.Result) *upstream.Response {
	t.Helper()
	require.IsType(t, upstream.Responded{}, r)
	return r.(upstream.Responded).Response
}

// TestTooLateToBeSent: a request whose time to leave has passed reaches no server, and the
// connection serves the next one.
func TestTooLateToBeSent(t *testing.T) {
	server, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
		_, err := io.WriteString(c, whole)
		return err == nil
	})
	pool := upstream.NewPool(codec{})
	late := request()
	late.SendBefore = time.Now().Add(-time.Millisecond)
	unsent, ok := pool.Send(t.Context(), s, late).(upstream.Unsent)
	require.True(t, ok)
	require.ErrorIs(t, unsent.Err, upstream.ErrTooLate)
	require.Empty(t, server.requests)
	intime := request()
	intime.SendBefore = time.Now().Add(time.Minute)
	require.Equal(t, "200 body", read(t.Context(), pool, s, intime))
	require.Equal(t, int64(1), pool.Dials())
}
