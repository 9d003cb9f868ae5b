package upstream_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/upstream"
)

// writeEndlessly writes a text again and again until the connection is closed, or maxEndless bytes, and
// sends how much was written.
func writeEndlessly(c net.Conn, text string, sent chan<- int) {
	chunk := []byte(strings.Repeat(text, max(1, 64<<10/len(text))))
	total := 0
	for total < maxEndless {
		n, err := c.Write(chunk)
		total += n
		if err != nil {
			break
		}
	}
	sent <- total
}

const (
	// maxEndless is where a test server stops that nobody stops.
	maxEndless = 256 << 20
	// acceptedEndless is what a server may have written when its connection is closed: what is read, and
	// the socket buffers of both sides.
	acceptedEndless = 16 << 20
)

// TestEndlessHeads checks that bytes without end, in the place of a head or within one, are given up
// after a bounded number of them. A gateway held them all, and ended for lack of memory.
func TestEndlessHeads(t *testing.T) {
	tests := []struct {
		name, start, endless string
		want                 upstream.Invalid
	}{
		{"zeros", "", "\x00", upstream.InvalidLongHead},
		{"status line", "HTTP/1.1 200 O", "K", upstream.InvalidLongHead},
		{"name", "HTTP/1.1 200 OK\r\n", "a", upstream.InvalidLongHead},
		{"value", "HTTP/1.1 200 OK\r\nId: ", "a", upstream.InvalidLongHead},
		{"continued value", "HTTP/1.1 200 OK\r\nId: a", "\r\n b", upstream.InvalidLongHead},
		{"headers", "HTTP/1.1 200 OK\r\n", "Id: a\r\n", upstream.InvalidLongHead},
		{"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n", upstream.InvalidHead},
		{"long interim heads", "", "HTTP/1.1 102 Processing\r\nA: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", upstream.InvalidLongHead},
		{"lines", "", "\r\n", upstream.InvalidHead},
		{"other protocol", "", "220 ready\r\n", upstream.InvalidHead},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sent := make(chan int, 1)
			_, s := serve(t, func(c net.Conn, _ int, _ *http.Request) bool {
				_, _ = io.WriteString(c, test.start) // the client's end shows an error
				writeEndlessly(c, test.endless, sent)
				return false
			})
			began := time.Now()
			result := upstream.NewPool(codec{}).Send(t.Context(), s, newRequest())
			require.Less(t, time.Since(began), 5*time.Second)
			require.Less(t, <-sent, acceptedEndless)
			require.IsType(t, upstream.Indeterminate{}, result)
			unusable := result.(upstream.Indeterminate)
			require.False(t, unusable.ConnectionFailed, "the connection did not fail")
			var invalid *upstream.InvalidError
			require.ErrorAs(t, unusable.Err, &invalid)
			require.Equal(t, test.want, invalid.Kind)
			require.Less(t, len(unusable.Err.Error()), 1000, "the server's bytes are not repeated in the error")
		})
	}
}
