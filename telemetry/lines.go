package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Limits of a LogWriter.
const (
	// Capacity of the queue in lines. Further lines are dropped and counted.
	queueSize = 2048
	// Interval at which queued lines are written, in one batch.
	flushInterval = 100 * time.Millisecond
	// Maximum bytes written per second, so that a flood of lines uses up neither the
	// host's processor nor its disk. Lines beyond it are dropped and counted.
	maxBytesPerSecond = 256 << 10
	// Part of it that is left to warnings and errors. A crash comes with a flood of lines on the
	// requests that it broke, which would displace the lines that name its cause.
	warningBytesPerSecond = 64 << 10
	// Maximum bytes per write, which is PIPE_BUF on Linux: writes to a pipe of up to
	// this size are atomic. With longer writes, a reader got partial lines if its buffer
	// was full or the process was killed: 500 of 27,000 lines were truncated.
	maxWriteSize = 4 << 10
)

// LogWriter is an io.Writer for log lines that never blocks: Write queues a line, and Run
// writes the queued lines. It is safe for concurrent use.
type LogWriter struct {
	queue   chan logLine
	dropped atomic.Int64
	out     io.Writer
}

// logLine is a queued line.
type logLine struct {
	text []byte
	info bool // neither a warning nor an error
}

// NewLogWriter returns a LogWriter that writes to out.
func NewLogWriter(out io.Writer) *LogWriter {
	return &LogWriter{queue: make(chan logLine, queueSize), out: out}
}

// Write queues one line. It never fails: if the queue is full, the line is dropped and
// counted.
func (l *LogWriter) Write(line []byte) (int, error) { return l.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It is Write for a line of a level.
func (l *LogWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	queued := append([]byte(nil), line...) // the caller reuses its buffer
	info := level < zerolog.WarnLevel
	select {
	case l.queue <- logLine{queued, info}:
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Run writes queued lines until ctx is done, then writes the remaining ones and returns.
func (l *LogWriter) Run(ctx context.Context) {
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	budget := maxBytesPerSecond
	windowStart := time.Now()
	reported := int64(0)
	for {
		done := false
		select {
		case <-ctx.Done():
			done = true
		case now := <-tick.C:
			if now.Sub(windowStart) >= time.Second {
				budget, windowStart = maxBytesPerSecond, now
			}
		}
		batch := l.batch(&budget)
		if d := l.dropped.Load(); d > reported && budget > 0 {
			reported = d
			batch = fmt.Appendf(batch, `{"level":"warn","event":"log.dropped","lines":%d,"message":"lines since the start that were not written"}`+"\n", d)
		}
		l.write(batch)
		if done {
			return
		}
	}
}

// write writes the lines of batch in chunks of at most maxWriteSize bytes that contain
// whole lines only. A longer line is written by itself.
func (l *LogWriter) write(batch []byte) {
	for len(batch) > 0 {
		size := len(batch)
		if size > maxWriteSize {
			size = bytes.LastIndexByte(batch[:maxWriteSize], '\n') + 1
		}
		if size == 0 {
			size = bytes.IndexByte(batch, '\n') + 1
		}
		// A failure to write the log can't be reported anywhere.
		_, _ = l.out.Write(batch[:size])
		batch = batch[size:]
	}
}

// batch returns the queued lines that fit into the budget of bytes. It reduces the budget
// by their size and drops and counts the others.
func (l *LogWriter) batch(budget *int) []byte {
	var batch []byte
	for {
		select {
		case line := <-l.queue:
			available := *budget
			if line.info {
				available -= warningBytesPerSecond
			}
			if len(line.text) > available {
				l.dropped.Add(1)
				continue
			}
			*budget -= len(line.text)
			batch = append(batch, line.text...)
		default:
			return batch
		}
	}
}
