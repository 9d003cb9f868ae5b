package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
)

// This file makes sure that the view holds all that the store held when a request came. How long ago the view
// was confirmed does not show that: a gateway that was cut off, or has stood still, learns only later
// what it has missed.

const (
	// currentViewTimeout bounds the wait for a current view. Other gateways of the hall pass changes on within
	// handoverDelay; a caller whose stream goes on waits for it.
	currentViewTimeout = 600 * time.Millisecond
	// currentViewInterval is the time between two looks at the view.
	currentViewInterval = 5 * time.Millisecond
)

// errViewBehind reports that it is not known in time whether the view is current.
var errViewBehind = errors.New("gateway: the view may lack changes of the store")

// revisionQuery asks the source for its revision on behalf of many requests: each gets the answer to a call
// that begins after it has asked. Its zero value is ready to use. It is safe for concurrent use.
type revisionQuery struct {
	turn  sync.Mutex // held during a call
	mutex sync.Mutex
	next  *revisionCall // the call that has not begun; nil: nobody waits for one
}

// revisionCall is a call for the source's revision. The results are valid once done is closed.
type revisionCall struct {
	done     chan struct{}
	revision catalog.Revision
	err      error
}

// get returns a revision that the source had after get was called.
func (q *revisionQuery) get(ctx context.Context, s Source) (catalog.Revision, error) {
	q.mutex.Lock()
	c := q.next
	if c == nil {
		c = &revisionCall{done: make(chan struct{})}
		q.next = c
		go q.run(context.WithoutCancel(ctx), s, c)
	}
	q.mutex.Unlock()
	select {
	case <-c.done:
		return c.revision, c.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// run makes a call once the one before has ended, and reports its end by closing c.done.
func (q *revisionQuery) run(ctx context.Context, s Source, c *revisionCall) {
	defer close(c.done)
	q.turn.Lock()
	defer q.turn.Unlock()
	q.mutex.Lock()
	q.next = nil
	q.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, currentViewTimeout)
	defer cancel()
	c.revision, c.err = s.Revision(ctx)
}

// awaitCurrentView returns nil once the view holds all changes that the store had when it was called. It
// leaves half of the time until the deadline of ctx to what follows.
func (g *Gateway) awaitCurrentView(ctx context.Context) error {
	timeout := currentViewTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	current, err := g.revisions.get(ctx, g.options.Source)
	if err != nil {
		return errors.Mark(err, errViewBehind)
	}
	ticker := time.NewTicker(currentViewInterval)
	defer ticker.Stop()
	for g.view.Load().Revision < current {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errViewBehind
		}
	}
	return nil
}
