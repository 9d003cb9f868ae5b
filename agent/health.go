package agent

import (
	"context"
	"time"
)

const (
	loadInterval = time.Second
	loadTimeout  = 2 * time.Second
)

// watchServer reads the server's own load reports.
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
