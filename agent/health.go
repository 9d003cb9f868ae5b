package agent

import (
	"context"
	"time"
)

const (
	// loadInterval is the time between two reads of the server's load.
	loadInterval = time.Second
	loadTimeout  = 2 * time.Second
)

// pollServerLoad reads the server's load reports until ctx is done.
func (a *Agent) pollServerLoad(ctx context.Context) {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		a.readServerLoad(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// readServerLoad reads one report; after an error the previous one stays in use.
func (a *Agent) readServerLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := a.options.Engine.Load(ctx)
	if err != nil {
		return
	}
	select {
	case a.events <- loadEvent{slots: l.Slots, waiting: l.Waiting}:
	case <-ctx.Done():
	}
}
