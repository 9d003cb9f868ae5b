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

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/telemetry"
)

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.Buffer.Write(p)
}

func (s *syncBuffer) text() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.String()
}

func TestLogWriterWritesLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		l := telemetry.NewLogWriter(&out)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		_, _ = io.WriteString(l, "one\n")
		time.Sleep(time.Second)
		require.Equal(t, "one\n", out.text())
		_, _ = io.WriteString(l, "two\n")
		cancel()
		synctest.Wait()
		require.Equal(t, "one\ntwo\n", out.text(), "lines queued at the end are written")
	})
}

// TestLogWriterLimitsRate checks that a flood of lines neither blocks the caller nor is
// written in full, and that dropped lines are counted and reported.
func TestLogWriterLimitsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		l := telemetry.NewLogWriter(&out)
		ctx, cancel := context.WithCancel(t.Context())
		line := strings.Repeat("x", 999) + "\n"
		for range 5000 { // Run is not started yet
			_, _ = io.WriteString(l, line)
		}
		go l.Run(ctx)
		time.Sleep(500 * time.Millisecond)
		written := len(out.text())
		require.Less(t, written, 300<<10, "bytes written in the first second")
		time.Sleep(5 * time.Second)
		require.Contains(t, out.text(), `"event":"log.dropped"`)
		require.Positive(t, l.Dropped())
		cancel()
		synctest.Wait()
	})
}

// TestLogWriterKeepsWarnings guards against warnings that are dropped because of a flood of other
// lines.
func TestLogWriterKeepsWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out syncBuffer
		l := telemetry.NewLogWriter(&out)
		ctx, cancel := context.WithCancel(t.Context())
		log := zerolog.New(l)
		for range 1500 { // Run is not started yet
			log.Info().Str("padding", strings.Repeat("x", 500)).Msg("")
		}
		log.Warn().Str("event", "part.barred").Str("padding", strings.Repeat("x", 1000)).Msg("")
		go l.Run(ctx)
		time.Sleep(500 * time.Millisecond)
		require.Positive(t, l.Dropped())
		require.Contains(t, out.text(), "part.barred")
		cancel()
		synctest.Wait()
	})
}

func BenchmarkLogWriter(b *testing.B) {
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

// writeRecorder is a writer that records the data of each call separately.
type writeRecorder struct {
	mutex  sync.Mutex
	writes []string
}

func (p *writeRecorder) Write(b []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.writes = append(p.writes, string(b))
	return len(b), nil
}

// TestLogWriterWritesWholeLines checks that every single write ends with a complete line,
// so that a reader gets no partial line if the process is killed or the reader's buffer
// is full after any of them.
func TestLogWriterWritesWholeLines(t *testing.T) {
	const pipeBuffer = 4096 // PIPE_BUF: larger writes to a pipe are not atomic
	lengths := []int{1, 2, 300, 4095, 4096, 4097, 9000}
	for _, length := range lengths {
		synctest.Test(t, func(t *testing.T) {
			var out writeRecorder
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
			for _, p := range out.writes {
				got += len(p)
				require.True(t, strings.HasSuffix(p, "\n"))
				if len(p) > pipeBuffer {
					require.Equal(t, 1, strings.Count(p, "\n"), "a longer line is written by itself")
				}
			}
			require.Equal(t, want, got)
		})
	}
}

// TestLogWriterThroughPipe checks that a reader with a small buffer of odd size gets whole
// lines from a pipe.
func TestLogWriterThroughPipe(t *testing.T) {
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
