package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/upstream"
)

// TestFraming checks which responses end with their connection, and that one whose head is
// incomplete is none.
func TestFraming(t *testing.T) {
	const body = "id: 1\ndata: x\n\n"
	tests := []struct {
		name     string
		response string
		head     bool // the head is complete
		unframed bool
		broken   bool // the body is known to be incomplete
	}{
		{"length", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 15\r\n\r\n" + body, true, false, false},
		{"length, ended early", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 16\r\n\r\n" + body, true, false, true},
		{"chunks", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + body + "\r\n0\r\n\r\n", true, false, false},
		{"chunks, ended early", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + body + "\r\n", true, false, true},
		{"neither", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\n" + body, true, true, false},
		{"neither, with Connection: close", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nConnection: close\r\n\r\n" + body, true, true, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: a\r\nSeal: s\r\n\r\n" + body, true, true, false},
		{"ended within a field", "HTTP/1.1 200 OK\r\nId: a\r\nSe", false, false, false},
		{"ended within the head", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n", false, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(c, test.response) // the client's end shows an error
				return false
			})
			switch result := upstream.NewPool(codec{}).Send(t.Context(), s, newRequest()).(type) {
			case upstream.Responded:
				defer result.Response.Close()
				require.True(t, test.head)
				require.Equal(t, test.unframed, result.Response.Unframed)
				_, err := io.ReadAll(result.Response.Body)
				require.Equal(t, test.broken, err != nil, "%v", err)
			case upstream.Indeterminate:
				require.False(t, test.head)
				require.True(t, result.ConnectionFailed)
			default:
				require.Failf(t, "another result", "%T", result)
			}
		})
	}
}

// TestCutHeads checks that a head which ends anywhere before its empty line is none, however the connection ends.
func TestCutHeads(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	heads := []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 15\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"neither", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\n"},
		{"no body", "HTTP/1.1 204 No Content\r\nId: a\r\nSeal: s\r\n\r\n"},
		{"failure", "HTTP/1.1 404 Not Found\r\nId: a\r\nContent-Length: 0\r\n\r\n"},
		{"refusal", "HTTP/1.1 503 Busy\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"after an interim head", interim + "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\n"},
	}
	for _, test := range heads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", test.name, reset), func(t *testing.T) {
				for cut := range len(test.head) {
					_, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
						_, _ = io.WriteString(c, test.head[:cut]) // the client's end shows an error
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					result := upstream.NewPool(codec{}).Send(t.Context(), s, newRequest())
					require.IsType(t, upstream.Indeterminate{}, result, "%q", test.head[:cut])
				}
			})
		}
	}
}
