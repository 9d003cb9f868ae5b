package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Sizes and times of a process's log.
const (
	// Lines that wait to be written; more are dropped and counted.
	lineQueue = 2048
	// Waiting lines are written together this often.
	lineEvery = 100 * time.Millisecond
	// Bytes written a second at most, so that a flood costs neither the host's
	// processor nor its disk; what is beyond is dropped and counted.
	mostLineBytes = 256 << 10
	// Bytes handed to the system at once. A pipe takes so many whole or not at all
	// (PIPE_BUF of POSIX on Linux); of longer writes, a reader got a part when its buffer
	// was full or the process was killed: 500 of 27,000 lines were broken.
	mostPiece = 4 << 10
)

// LogWriter is a writer for log lines that never blocks: lines are queued and written by
// Run. It is safe for use by several goroutines.
type LogWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	out     io.Writer
}

// NewLogWriter returns a writer of lines to out.
func NewLogWriter(out io.Writer) *LogWriter {
	return &LogWriter{queue: make(chan []byte, lineQueue), out: out}
}

// Write queues one line. It never fails: what finds no room is counted.
func (l *LogWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...) // the caller uses its buffer again
	select {
	case l.queue <- kept:
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Run writes queued lines until ctx ends, then those that are left.
func (l *LogWriter) Run(ctx context.Context) {
	tick := time.NewTicker(lineEvery)
	defer tick.Stop()
	budget := mostLineBytes
	second := time.Now()
	told := int64(0)
	for {
		ended := false
		select {
		case <-ctx.Done():
			ended = true
		case now := <-tick.C:
			if now.Sub(second) >= time.Second {
				budget, second = mostLineBytes, now
			}
		}
		batch := l.batch(&budget)
		if d := l.dropped.Load(); d > told && budget > 0 {
			told = d
			batch = fmt.Appendf(batch, `{"level":"warn","event":"log.dropped","lines":%d,"message":"lines since the start that were not written"}`+"\n", d)
		}
		l.write(batch)
		if ended {
			return
		}
	}
}

// write hands lines over in pieces that hold whole lines only. A line that is longer than
// a piece goes alone.
func (l *LogWriter) write(batch []byte) {
	for len(batch) > 0 {
		piece := len(batch)
		if piece > mostPiece {
			piece = bytes.LastIndexByte(batch[:mostPiece], '\n') + 1
		}
		if piece == 0 {
			piece = bytes.IndexByte(batch, '\n') + 1
		}
		// Nobody can be told of a log that can't be written.
		_, _ = l.out.Write(batch[:piece])
		batch = batch[piece:]
	}
}

// batch takes the queued lines, as far as the budget goes.
func (l *LogWriter) batch(budget *int) []byte {
	var batch []byte
	for {
		select {
		case line := <-l.queue:
			if len(line) > *budget {
				l.dropped.Add(1)
				continue
			}
			*budget -= len(line)
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}
