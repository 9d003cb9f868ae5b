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
func (a *Agent) watchServer(ctx context.Context) {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		a.readLoad(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) readLoad(ctx context.Context) {
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
