package httpstrict_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/engine/httpstrict"
)

// TestHeadError checks which heads that net/http takes have a fault, however their bytes arrive.
func TestHeadError(t *testing.T) {
	const status, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok"
	tests := []struct {
		name, response string
		fault          bool
	}{
		{"no field", status + "\r\n", false},
		{"fields", status + "A: b\r\nC-d!#$%&'*+.^_`|~9:\r\n" + end, false},
		{"line feeds alone", "HTTP/1.1 200 OK\nA: b\nContent-Length: 2\n\nok", false},
		{"blanks in the status line", "HTTP/1.1   200   O  K\r\nA: b\r\n" + end, false},
		{"no reason", "HTTP/1.1 200\r\nA: b\r\n" + end, false},
		{"colons and blanks in a value", status + "A:  b : c :\t\r\n" + end, false},
		{"body like a head", status + "Content-Length: 9\r\n\r\nA : b\r\n\r\n", false},
		{"after interim heads", "HTTP/1.1 103 A\r\nB: c\r\n\r\nHTTP/1.1  102\r\n\r\n" + status + end, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nA: b\r\n" + end, false},
		{"coding in HTTP/1.1", status + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"other coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\nTransfer-Encodin: a\r\n" + end, false},
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTRANSFER-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		{"coding in HTTP/1.0 after an interim head", "HTTP/1.1 103 A\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		{"blank before the colon", status + "A : b\r\n" + end, true},
		{"blank in the name", status + "A b: c\r\n" + end, true},
		{"line that begins with a blank", status + "A: b\r\n C: d\r\n" + end, true},
		{"line that begins with a tab", status + "A: b\r\n\tC: d\r\n" + end, true},
		{"line of a blank", status + "A: b\r\n \r\n" + end, true},
		{"in an interim head", "HTTP/1.1 103 A\r\nB : c\r\n\r\n" + status + end, true},
		{"after an interim head", "HTTP/1.1 103 A\r\n\r\n" + status + "B : c\r\n" + end, true},
		{"after an interim head without a reason", "HTTP/1.1  103\n\n" + status + "B : c\r\n" + end, true},
		{"after a head of 000, read as an interim one", "HTTP/1.1 000 A\r\nB : c\r\n\r\n", true},
	}
	pieces := []struct {
		name  string
		write func(w io.Writer, text string)
	}{
		{"at once", func(w io.Writer, text string) { _, _ = io.WriteString(w, text) }},
		{"by bytes", func(w io.Writer, text string) {
			for _, b := range []byte(text) {
				_, _ = w.Write([]byte{b})
			}
		}},
	}
	for _, test := range tests {
		for _, p := range pieces {
			t.Run(test.name+" "+p.name, func(t *testing.T) {
				c, s := net.Pipe()
				client := httpstrict.NewConn(c)
				client.BeginResponse()
				go func() {
					p.write(s, test.response)
					s.Close()
				}()
				reader := bufio.NewReader(client)
				for {
					response, err := http.ReadResponse(reader, nil)
					require.NoError(t, err, "net/http takes it")
					if response.StatusCode/100 != 1 {
						break
					}
				}
				require.Equal(t, test.fault, client.HeadError() != nil, "%v", client.HeadError())
				client.BeginResponse()
				require.NoError(t, client.HeadError())
			})
		}
	}
}

// TestCheckFields checks the names of trailers, which no head shows.
func TestCheckFields(t *testing.T) {
	require.NoError(t, httpstrict.CheckFields(nil))
	require.NoError(t, httpstrict.CheckFields(http.Header{"A-B": {"c"}}))
	for _, name := range []string{"A ", "A B", "", "A\x00", strings.Repeat("é", 2)} {
		require.Error(t, httpstrict.CheckFields(http.Header{name: {"c"}}), "%q", name)
	}
}
