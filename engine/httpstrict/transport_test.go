package httpstrict_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/engine/httpstrict"
)

// respondWithTLS returns the address of a server that writes a response to each request and closes the
// connection, and a transport without HTTP/2 that trusts it.
func respondWithTLS(t *testing.T, response string, end func(c *tls.Conn)) (url string, base *http.Transport) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	config := &tls.Config{Certificates: certified.TLS.Certificates}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s := tls.Server(c, config)
				if _, err := http.ReadRequest(bufio.NewReader(s)); err != nil {
					return
				}
				_, _ = io.WriteString(s, response)
				end(s)
			}()
		}
	}()
	trusting := certified.Client().Transport.(*http.Transport).TLSClientConfig
	return "https://" + l.Addr().String(), &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusting.RootCAs, ServerName: "example.com"}}
}

// TestResponsesWithTLS checks that responses over TLS are held to the same.
func TestResponsesWithTLS(t *testing.T) {
	finish := func(c *tls.Conn) { _ = c.CloseWrite() }
	cut := func(*tls.Conn) {}
	tests := []struct {
		name, response string
		end            func(c *tls.Conn)
		whole          bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", finish, true},
		{"after an interim head", "HTTP/1.1 103 A\r\nB: c\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", finish, true},
		{"unframed", "HTTP/1.1 200 OK\r\n\r\nbody", finish, true},
		{"unframed, cut", "HTTP/1.1 200 OK\r\n\r\nbody", cut, false},
		{"status 000", "HTTP/1.1 000 A\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", finish, false},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nbody", finish, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nContent Length: 3\r\n\r\nbody", finish, false},
		{"line that begins with a blank", "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 3\r\n\r\nbody", finish, false},
		{"blank in an interim head", "HTTP/1.1 103 A\r\nB : c\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", finish, false},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", finish, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			url, base := respondWithTLS(t, test.response, test.end)
			client := &http.Client{Transport: httpstrict.NewTransport(base)}
			defer client.CloseIdleConnections()
			response, err := client.Get(url)
			if err == nil {
				var content []byte
				content, err = io.ReadAll(response.Body)
				response.Body.Close()
				require.True(t, err != nil || string(content) == "body", "%q", content)
			}
			require.Equal(t, test.whole, err == nil, "%v", err)
		})
	}
}

// TestHTTP2 checks that a transport which attempts HTTP/2 gets it from a server that has it, and else HTTP/1.
func TestHTTP2(t *testing.T) {
	for _, version := range []int{1, 2} {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") }))
		s.EnableHTTP2 = version == 2
		s.StartTLS()
		t.Cleanup(s.Close)
		base := s.Client().Transport.(*http.Transport)
		base.ForceAttemptHTTP2 = true
		client := &http.Client{Transport: httpstrict.NewTransport(base)}
		for range 2 { // the second one on the same connection
			response, err := client.Get(s.URL)
			require.NoError(t, err)
			content, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			response.Body.Close()
			require.Equal(t, "body", string(content))
			require.Equal(t, version, response.ProtoMajor)
		}
	}
}
