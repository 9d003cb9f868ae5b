package telemetry_test

import (
	"bytes"
	"context"
	"io"
	"os"
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
		l := telemetry.NewLogWriter(&out)
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
		l := telemetry.NewLogWriter(&out)
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
	l := telemetry.NewLogWriter(io.Discard)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go l.Run(ctx)
	line := []byte(strings.Repeat("x", 250) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = l.Write(line)
	}
}

// pieces is a writer that keeps what it gets in one call apart.
type pieces struct {
	mutex sync.Mutex
	list  []string
}

func (p *pieces) Write(b []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.list = append(p.list, string(b))
	return len(b), nil
}

// TestLinesLeaveWhole: whoever reads up to any piece, since the process was killed or its
// own buffer was full, has read whole lines.
func TestLinesLeaveWhole(t *testing.T) {
	const pipeBuffer = 4096 // what a pipe takes whole or not at all
	lengths := []int{1, 2, 300, 4095, 4096, 4097, 9000}
	for _, length := range lengths {
		synctest.Test(t, func(t *testing.T) {
			var out pieces
			l := telemetry.NewLogWriter(&out)
			ctx, cancel := context.WithCancel(t.Context())
			want := 0
			for n := range 20 {
				line := strings.Repeat("x", (length+n*37)%(length+1)) + "\n"
				want += len(line)
				_, _ = io.WriteString(l, line)
			}
			cancel()
			l.Run(ctx)
			got := 0
			for _, p := range out.list {
				got += len(p)
				require.True(t, strings.HasSuffix(p, "\n"))
				if len(p) > pipeBuffer {
					require.Equal(t, 1, strings.Count(p, "\n"), "only a line that is longer goes alone")
				}
			}
			require.Equal(t, want, got)
		})
	}
}

// TestLinesThroughAPipe: a reader that reads little at odd times gets whole lines.
func TestLinesThroughAPipe(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	l := telemetry.NewLogWriter(writer)
	const lines = 1000
	line := strings.Repeat("y", 200) + "\n"
	for range lines {
		_, _ = io.WriteString(l, line)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		l.Run(ctx)
		writer.Close()
	}()
	var text []byte
	buffer := make([]byte, 4093)
	for {
		n, err := reader.Read(buffer)
		text = append(text, buffer[:n]...)
		if err == io.EOF {
			break
		}
		require.NoError(t, err)
	}
	<-ended
	for _, got := range strings.SplitAfter(strings.TrimSuffix(string(text), "\n"), "\n") {
		require.Equal(t, len(line)-1, len(strings.TrimSuffix(got, "\n")))
	}
}
