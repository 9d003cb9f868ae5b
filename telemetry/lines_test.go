package telemetry_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/telemetry"
)

// sink is a writer that can be stuck.
type sink struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (s *sink) Write(p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Buffer.Write(p)
}

func (s *sink) text() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.String()
}

func TestLinesAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out sink
		l := telemetry.NewLines(&out)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		_, _ = io.WriteString(l, "one\n")
		time.Sleep(time.Second)
		require.Equal(t, "one\n", out.text())
		_, _ = io.WriteString(l, "two\n")
		cancel()
		synctest.Wait()
		require.Equal(t, "one\ntwo\n", out.text(), "what waits at the end is written")
	})
}

// TestLinesAreBounded: a flood neither blocks nor is written whole, and what was
// dropped is counted and told.
func TestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out sink
		l := telemetry.NewLines(&out)
		ctx, cancel := context.WithCancel(t.Context())
		line := strings.Repeat("x", 999) + "\n"
		for range 5000 { // nobody reads yet
			_, _ = io.WriteString(l, line)
		}
		go l.Run(ctx)
		time.Sleep(500 * time.Millisecond)
		written := len(out.text())
		require.Less(t, written, 300<<10, "bytes of the first second")
		time.Sleep(5 * time.Second)
		require.Contains(t, out.text(), `"event":"log.dropped"`)
		require.Positive(t, l.Dropped())
		cancel()
		synctest.Wait()
	})
}

func BenchmarkLine(b *testing.B) {
	l := telemetry.NewLines(io.Discard)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go l.Run(ctx)
	line := []byte(strings.Repeat("x", 250) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = l.Write(line)
	}
}
