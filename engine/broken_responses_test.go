package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/engine"
)

// longRequest is longer than the buffers between a client and a server that does not read it, in bytes.
const longRequest = 16 << 20

// respondingServer is a server whose responses are written by a function, which gets each request of which
// the head has arrived, and of a short one the body. The connection is closed after it.
type respondingServer struct {
	url      string
	listener net.Listener
}

func startResponding(t *testing.T, respond func(s *respondingServer, c *net.TCPConn)) *respondingServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &respondingServer{url: "http://" + l.Addr().String(), listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.(*net.TCPConn).SetReadBuffer(64 << 10) // so that a long request stays on its way
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return // the connection was not used
				}
				if r.ContentLength < longRequest { // closing a connection with unread bytes resets it
					_, _ = io.Copy(io.Discard, r.Body)
				}
				respond(s, c.(*net.TCPConn))
			}()
		}
	}()
	return s
}

// call makes a call with a body and reads the whole response.
func (s *respondingServer) call(t *testing.T, body string) (status int, content string, err error) {
	c := engine.NewClient(s.url)
	defer c.HTTP.CloseIdleConnections()
	response, err := c.Do(t.Context(), &engine.Call{Method: http.MethodPost, Path: "/", Body: []byte(body)})
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.Status, string(data), err
}

// TestResponsesBesideRequests checks responses that come while their request is still being written: one that
// the server breaks off is never taken for complete, and a complete one stays so.
func TestResponsesBesideRequests(t *testing.T) {
	const plays = 10 // which goroutine meets the reset is chance
	request := strings.Repeat("x", longRequest)
	reset := func(c *net.TCPConn) {
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
		c.Close()
	}
	tests := []struct {
		name, response string
		end            func(c *net.TCPConn)
		whole          bool
	}{
		{"unframed, reset", "\r\nbody", reset, false},
		{"unframed, request read to its end", "\r\nbody", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
		{"length, reset", "Content-Length: 4\r\n\r\nbody", reset, true},
		{"chunks, reset", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", reset, true},
		{"length, broken off", "Content-Length: 5\r\n\r\nbody", reset, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startResponding(t, func(_ *respondingServer, c *net.TCPConn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+test.response)
				test.end(c)
			})
			for range plays {
				_, content, err := s.call(t, request)
				require.Equal(t, test.whole, err == nil, "%q, %v", content, err)
				require.True(t, err != nil || content == "body")
			}
		})
	}
}

// TestMalformedResponses checks that a response which is none, or is cut within its head or trailers, is an
// error, and that others which look alike are not.
func TestMalformedResponses(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	status := func(code string) string { return "HTTP/1.1 " + code + " Trouble\r\nContent-Length: 4\r\n\r\nbody" }
	field := func(line string) string { return "HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\n\r\nbody" }
	trailer := func(line string) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line
	}
	tests := []struct {
		name, response string
		want           string // status and content; empty: an error
	}{
		{"sound", sound, "200 body"},
		{"failure", status("503"), "503 body"},
		{"after an interim head", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + sound, "200 body"},
		{"status 000", status("000"), ""},
		{"status 099", status("099"), ""},
		{"status 600", status("600"), ""},
		{"status +20", status("+20"), ""},
		{"status 000, then a sound response", "HTTP/1.1 000 A\r\n\r\n" + sound, ""},
		{"blank before the colon", field("Content-Length : 4"), ""},
		{"blank in a name", field("Content Length: 4"), ""},
		{"line that begins with a blank", field(" Content-Length: 4"), ""},
		{"control byte in a name", field("Content-Length\x01: 4"), ""},
		{"blank before the colon in an interim head", "HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\n" + sound, ""},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ""},
		{"trailer", trailer("A: b\r\n\r\n"), "200 body"},
		{"blank before the colon in a trailer", trailer("A : b\r\n\r\n"), ""},
		{"cut within the status line", "HTTP/1.1 200 O", ""},
		{"cut after the status line", "HTTP/1.1 200 OK\r\n", ""},
		{"cut within a field", "HTTP/1.1 200 OK\r\nContent-Length: 4", ""},
		{"cut before the empty line", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", ""},
		{"cut within the empty line", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r", ""},
		{"cut after an interim head", "HTTP/1.1 103 Early Hints\r\n\r\n", ""},
		{"cut within a trailer", trailer("A: b\r\n"), ""},
		{"cut before the trailers", trailer(""), ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startResponding(t, func(_ *respondingServer, c *net.TCPConn) { _, _ = io.WriteString(c, test.response) })
			status, content, err := s.call(t, "x")
			if test.want == "" {
				require.Error(t, err, "%d %q", status, content)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.want, fmt.Sprintf("%d %s", status, content))
		})
	}
}

// TestUnframedResponseOfEndedServer checks that the end of a response without length and chunks, whose server has
// ended within it, is not taken for the end of the response.
func TestUnframedResponseOfEndedServer(t *testing.T) {
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprintf("ends %v", ends), func(t *testing.T) {
			s := startResponding(t, func(s *respondingServer, c *net.TCPConn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
				if ends {
					s.listener.Close()
				}
			})
			_, content, err := s.call(t, "x")
			require.Equal(t, "body", content)
			require.Equal(t, ends, err != nil, "%v", err)
		})
	}
}
