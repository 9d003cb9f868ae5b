package agent

import (
	"context"
	"sync"
	"time"
)

const (
	// A drained agent ends when no call has been open for this long. Routers may bind requests to it until they
	// have learned of the drain, and the end of an answer may be on its way.
	drainQuietTime = 500 * time.Millisecond
	// Interval at which a drained agent looks for open calls.
	drainInterval = 20 * time.Millisecond
)

// openCalls counts the streams of routers that are open. Its zero value is ready for use. It is safe for concurrent
// use.
type openCalls struct {
	mutex   sync.Mutex
	open    int
	lastEnd time.Time
}

func (o *openCalls) begin() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.open++
}

func (o *openCalls) end() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.open--
	o.lastEnd = time.Now()
}

// quietSince reports whether no call has been open since a time.
func (o *openCalls) quietSince(t time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.open == 0 && !o.lastEnd.After(t)
}

// waitForCalls closes the drained channel when no attempt runs and no call has been open for drainQuietTime.
func (a *Agent) waitForCalls(ctx context.Context) {
	began := time.Now()
	select {
	case <-a.idle:
	case <-ctx.Done():
		return
	}
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for {
		quiet := time.Now().Add(-drainQuietTime)
		if !began.After(quiet) && a.calls.quietSince(quiet) {
			close(a.drained)
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
