package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawModel is a model server that answers each call with the bytes of its response, and closes the
// connection.
func rawModel(response string) func() http.Handler {
	return func() http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/load" {
				_, _ = io.WriteString(w, `{"slots":4}`)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err) // the servers of the dev fleet speak HTTP/1.1
			}
			defer c.Close()
			_, _ = io.WriteString(c, response)
		})
	}
}

// TestBrokenAnswersOfModels checks what callers of routers get for answers that are none, or are cut: never
// a complete one.
func TestBrokenAnswersOfModels(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	tests := []struct {
		name, response string
		status         int // of the caller's answer
	}{
		{"sound", sound, http.StatusOK},
		{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody", http.StatusBadGateway},
		{"status 000, then a sound answer", "HTTP/1.1 000 Trouble\r\n\r\n" + sound, http.StatusBadGateway},
		{"status 999", "HTTP/1.1 999 Trouble\r\nContent-Length: 4\r\n\r\nbody", http.StatusBadGateway},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", http.StatusBadGateway},
		{"blank before the name", "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 4\r\n\r\nbody", http.StatusBadGateway},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: b\r\nContent-Length: 4\r\n\r\nbody", http.StatusBadGateway},
		{"cut within the head", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFastFleet(t, 4, rawModel(test.response))
			for _, stream := range []bool{false, true} {
				r, err := http.NewRequest(http.MethodPost, f.callers[0]+"/v1/chat/completions", bytes.NewReader(body(5, stream)))
				require.NoError(t, err)
				r.Header.Set("Authorization", "Bearer "+f.keys[0])
				answer, err := http.DefaultClient.Do(r)
				require.NoError(t, err)
				content, err := io.ReadAll(answer.Body)
				require.NoError(t, err)
				answer.Body.Close()
				require.Equal(t, test.status, answer.StatusCode, "%q", content)
			}
		})
	}
}

// TestCutAnswersToHTTP10 checks that callers of HTTP/1.0, for whom the end of the connection is that of the answer, can
// tell a cut answer of a router from a whole one.
func TestCutAnswersToHTTP10(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\ndata:\n\n\r\n"
	tests := []struct {
		name, response string
		whole          bool
	}{
		{"whole", chunks + "0\r\n\r\n", true},
		{"cut", chunks, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startFastFleet(t, 4, rawModel(test.response))
			c, err := net.Dial("tcp4", strings.TrimPrefix(f.callers[0], "http://"))
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			content := body(5, true)
			fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", f.keys[0], len(content), content)
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, answer.StatusCode)
			got, err := io.ReadAll(answer.Body)
			require.Equal(t, "data:\n\n", string(got))
			require.Equal(t, test.whole, err == nil, "%v", err)
		})
	}
}
