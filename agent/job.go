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
	// keptBytes of an answer's latest pieces are kept so that a router can resume
	// after a lost connection. It is twice what one stream may have under way.
	maxRetainedBytes = 512 << 10
	// aheadBytes is how far the server may be read ahead of the router.
	maxReadAhead = 256 << 10
	// endedTime is how long an answer is kept after its end.
	endedRetention = 30 * time.Second
	// endedKept is how many ended answers are kept at most.
	maxEndedJobs = 256
)

// job is one attempt that was admitted: its answer's pieces as they come, for the
// one stream that passes them on, or the next one after a lost connection.
type job struct {
	id     attempt.ID
	cancel context.CancelCauseFunc

	mutex       sync.Mutex
	head        *wirepb.Head
	chunks      [][]byte // from number first on
	firstChunk  uint64
	nextChunk   uint64 // number of the next chunk to come
	retained    int    // bytes in chunks
	delivered   uint64 // chunks before this one went to a stream
	undelivered int    // bytes from chunk read on
	last        *wirepb.Piece
	readers     int
	idleSince   time.Time // since when nobody reads
	ended       time.Time
	progress    chan struct{} // closed and replaced at every change
}

func newJob(id attempt.ID, cancel context.CancelCauseFunc) *job {
	return &job{id: id, cancel: cancel, progress: make(chan struct{}), idleSince: now()}
}

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

// add appends a chunk and drops the oldest that are no longer needed.
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

// end closes the answer with its last piece.
func (j *job) end(last *wirepb.Piece) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.last = last
	j.ended = now()
	j.notify()
}

// room waits until the stream has taken enough of what was read.
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

// piece is what comes next for a reader that has seen so much.
type piece struct {
	head    *wirepb.Head
	chunk   []byte
	last    *wirepb.Piece
	dropped bool // the chunk is no longer kept
	waiting <-chan struct{}
}

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

// took notes that chunks before the given number went to a stream.
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

// jobs are an agent's admitted attempts, running and lately ended.
type jobs struct {
	mutex sync.Mutex
	all   map[attempt.ID]*job
	grace time.Duration
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

// expire stops answers that nobody has read for the grace time and forgets those
// that ended long ago, or the oldest when there are too many.
func (s *jobs) expire(at time.Time) {
	type old struct {
		job   *job
		ended time.Time
	}
	var ended []old
	for _, j := range s.list() {
		j.mutex.Lock()
		abandoned := j.readers == 0 && j.last == nil && at.Sub(j.idleSince) > s.grace
		if j.last != nil && j.readers == 0 {
			ended = append(ended, old{job: j, ended: j.ended})
		}
		j.mutex.Unlock()
		if abandoned {
			j.cancel(errAbandoned)
		}
	}
	slices.SortFunc(ended, func(a, b old) int { return a.ended.Compare(b.ended) })
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, o := range ended {
		if at.Sub(o.ended) > endedRetention || len(ended)-i > maxEndedJobs {
			delete(s.all, o.job.id)
		}
	}
}
