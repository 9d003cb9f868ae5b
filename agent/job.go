package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/wire/wirepb"
)

const (
	// maxRetainedBytes is how much of a response's latest content is retained, so that
	// a router can resume after a lost connection. It is twice the most that one
	// stream may have in flight.
	maxRetainedBytes = 512 << 10
	// maxReadAhead bounds the bytes that are read from the server and not yet written
	// to a router.
	maxReadAhead = 256 << 10
	// endedRetention is how long a response is retained after its end.
	endedRetention = 30 * time.Second
	// maxEndedJobs bounds the number of ended responses that are retained.
	maxEndedJobs = 256
)

// job is an admitted attempt. It buffers the response as it arrives, for the stream
// that delivers it and for another one after a lost connection.
type job struct {
	id     attempt.ID
	cancel context.CancelCauseFunc

	mutex       sync.Mutex
	head        *wirepb.Head
	chunks      [][]byte // retained chunks, starting with number firstChunk
	firstChunk  uint64
	nextChunk   uint64        // number of the next chunk to arrive
	retained    int           // bytes in chunks
	delivered   uint64        // chunks with lower numbers were written to a stream
	undelivered int           // bytes in chunks not yet delivered
	last        *wirepb.Piece // the end of the response; nil while the attempt runs
	readers     int           // attached streams
	idleSince   time.Time     // when the last reader detached
	ended       time.Time
	progress    chan struct{} // closed and replaced on every change
}

func newJob(id attempt.ID, cancel context.CancelCauseFunc) *job {
	return &job{id: id, cancel: cancel, progress: make(chan struct{}), idleSince: now()}
}

// notify wakes all goroutines that wait for a change. j.mutex must be held.
func (j *job) notify() {
	close(j.progress)
	j.progress = make(chan struct{})
}

func (j *job) setHead(h *wirepb.Head) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.head = h
	j.notify()
}

// addChunk appends a chunk and drops delivered chunks beyond maxRetainedBytes,
// oldest first.
func (j *job) addChunk(content []byte) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.chunks = append(j.chunks, slices.Clone(content))
	j.nextChunk++
	j.retained += len(content)
	j.undelivered += len(content)
	for j.retained > maxRetainedBytes && j.firstChunk < j.delivered {
		j.retained -= len(j.chunks[0])
		j.chunks[0] = nil
		j.chunks = j.chunks[1:]
		j.firstChunk++
	}
	j.notify()
}

// end ends the response with its last piece.
func (j *job) end(last *wirepb.Piece) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.last = last
	j.ended = now()
	j.notify()
}

// waitForReadAhead blocks while more than maxReadAhead bytes are undelivered.
func (j *job) waitForReadAhead(ctx context.Context) error {
	for {
		j.mutex.Lock()
		full := j.undelivered > maxReadAhead
		progress := j.progress
		j.mutex.Unlock()
		if !full {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// piece is the next part of a response for a reader. One field is set.
type piece struct {
	head    *wirepb.Head
	chunk   []byte
	last    *wirepb.Piece
	dropped bool            // the chunk is no longer retained
	waiting <-chan struct{} // nothing to read yet; closed on the next change
}

// nextPiece returns the next part for a reader that needs chunk next, and the head
// first unless it has seen it.
func (j *job) nextPiece(headSeen bool, next uint64) piece {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	switch {
	case !headSeen && j.head != nil:
		return piece{head: j.head}
	case next < j.firstChunk:
		return piece{dropped: true}
	case next < j.nextChunk:
		return piece{chunk: j.chunks[next-j.firstChunk]}
	case j.last != nil:
		return piece{last: j.last}
	}
	return piece{waiting: j.progress}
}

// markDelivered records that the chunks before next were written to a stream.
func (j *job) markDelivered(next uint64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for j.delivered < next {
		if j.delivered >= j.firstChunk {
			j.undelivered -= len(j.chunks[j.delivered-j.firstChunk])
		}
		j.delivered++
	}
	j.notify()
}

func (j *job) attach() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.readers++
}

func (j *job) detach() {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.readers--
	j.idleSince = now()
}

// jobs is the set of an agent's admitted attempts: running and recently ended ones.
type jobs struct {
	mutex sync.Mutex
	all   map[attempt.ID]*job
	grace time.Duration // how long an attempt may run without a reader
}

func (s *jobs) put(j *job) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.all == nil {
		s.all = map[attempt.ID]*job{}
	}
	s.all[j.id] = j
}

func (s *jobs) get(id attempt.ID) *job {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.all[id]
}

func (s *jobs) running() int {
	n := 0
	for _, j := range s.list() {
		j.mutex.Lock()
		if j.last == nil {
			n++
		}
		j.mutex.Unlock()
	}
	return n
}

func (s *jobs) list() []*job {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := make([]*job, 0, len(s.all))
	for _, j := range s.all {
		list = append(list, j)
	}
	return list
}

// expire cancels running attempts that had no reader for the grace time. It removes
// ended attempts without readers after endedRetention, and the oldest ones beyond
// maxEndedJobs.
func (s *jobs) expire(at time.Time) {
	type endedJob struct {
		job   *job
		ended time.Time
	}
	var ended []endedJob
	for _, j := range s.list() {
		j.mutex.Lock()
		abandoned := j.readers == 0 && j.last == nil && at.Sub(j.idleSince) > s.grace
		if j.last != nil && j.readers == 0 {
			ended = append(ended, endedJob{job: j, ended: j.ended})
		}
		j.mutex.Unlock()
		if abandoned {
			j.cancel(errAbandoned)
		}
	}
	slices.SortFunc(ended, func(a, b endedJob) int { return a.ended.Compare(b.ended) })
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, e := range ended {
		if at.Sub(e.ended) > endedRetention || len(ended)-i > maxEndedJobs {
			delete(s.all, e.job.id)
		}
	}
}
