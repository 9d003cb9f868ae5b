package engine_test

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

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/engine"
)

// breakingServer answers the first request of each connection and closes the
// connection after it has read the second. It counts the requests that it has read.
func breakingServer(t *testing.T) (url string, reads *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	reads = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for i := range 2 {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					reads.Add(1)
					if i == 0 {
						fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), reads
}

// TestTransportDoesNotRetry closes reused connections during every kind of
// request that net/http would retry by itself; each must arrive once.
func TestTransportDoesNotRetry(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		content string
		header  http.Header
	}{
		{"GET", http.MethodGet, "", http.Header{}},
		{"PUT with a body", http.MethodPut, "x", http.Header{}},
		{"POST", http.MethodPost, "x", http.Header{}},
		{"POST with an idempotency key", http.MethodPost, "x", http.Header{"Idempotency-Key": {"k"}}},
		{"empty POST with an idempotency key", http.MethodPost, "", http.Header{"Idempotency-Key": {"k"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			url, reads := breakingServer(t)
			c := engine.NewClient(url)
			call := &engine.Call{RequestID: "r", Method: test.method, Path: "/", Header: test.header, Body: []byte(test.content)}
			first, err := c.Do(context.Background(), call)
			require.NoError(t, err)
			_, err = io.ReadAll(first.Body)
			require.NoError(t, err)
			first.Body.Close()
			_, err = c.Do(context.Background(), call)
			require.Error(t, err)
			require.False(t, errors.Is(err, engine.ErrNotSent), "the server has received the call")
			require.Equal(t, int64(2), reads.Load(), "the second call was retried")
		})
	}
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestEndlessHeadIsNotKept guards against a client that keeps a head without end until it runs out of memory.
func TestEndlessHeadIsNotKept(t *testing.T) {
	const (
		sent = 8 << 20
		most = 128 << 10
	)
	tests := []struct{ name, start, piece string }{
		{"field", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4096)},
		{"fields", "HTTP/1.1 200 OK\r\n", strings.Repeat("Name: value\r\n", 300)},
		{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 4096)},
		{"interim heads", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n", 100)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var read atomic.Int64
			ended := make(chan struct{})
			dial := func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					defer close(ended)
					defer server.Close()
					_, _ = http.ReadRequest(bufio.NewReader(server)) // what follows does not depend on it
					_, err := io.WriteString(server, test.start)
					for n := 0; n < sent && err == nil; n += len(test.piece) {
						_, err = io.WriteString(server, test.piece)
					}
				}()
				return countingConn{client, &read}, nil
			}
			_, err := engine.NewClientWithDialer("http://server", dial).Do(t.Context(), &engine.Call{Method: http.MethodGet, Path: "/"})
			require.Error(t, err)
			<-ended
			require.Less(t, read.Load(), int64(most), "bytes read")
		})
	}
}

// TestUnreachableServerReturnsErrNotSent checks that a refused connection is reported
// as ErrNotSent, so that the call may be retried.
func TestUnreachableServerReturnsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	url := "http://" + l.Addr().String()
	l.Close()
	_, err = engine.NewClient(url).Do(context.Background(), &engine.Call{Method: http.MethodGet, Path: "/"})
	require.True(t, errors.Is(err, engine.ErrNotSent), err)
}

func TestMeter(t *testing.T) {
	weights := engine.Weights{Input: 0.25, Output: 1, Cached: 0.025}
	tests := []struct {
		name     string
		response string
		want     float64
	}{
		{"events without usage", "data: {}\n\ndata: {}\n\n", 10*0.25 + 2},
		{"usage of a stream", "data: {}\n\ndata: {\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":7,\"prompt_tokens_details\":{\"cached_tokens\":40}}}\n\n", 60*0.25 + 40*0.025 + 7},
		{"usage of a whole response", `data:{"usage":{"prompt_tokens":8,"completion_tokens":2}}`, 8*0.25 + 2},
		{"a line that is too long", "data: " + strings.Repeat("x", 100_000) + "\n", 10*0.25 + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := engine.NewMeter(weights, make([]byte, 40))
			for _, b := range []byte(test.response) {
				_, _ = m.Write([]byte{b})
			}
			require.InDelta(t, test.want, m.Finish(), 0.001)
		})
	}
}

// FuzzMeter checks that no response makes the meter panic or its cost negative.
func FuzzMeter(f *testing.F) {
	f.Add([]byte("data: {\"usage\":{}}\n\n"))
	f.Add([]byte("data: [DONE]\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		m := engine.NewMeter(engine.Weights{Input: 1, Output: 1}, nil)
		for len(response) > 0 {
			n := min(7, len(response))
			_, _ = m.Write(response[:n])
			response = response[n:]
		}
		require.GreaterOrEqual(t, m.Finish(), 0.0)
	})
}
