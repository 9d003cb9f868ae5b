package gateway

import (
	"context"
	"time"

	"opalbridge.dev/gateway/catalog"
)

// CachedPart is a part of a prompt that a server holds in its cache.
type CachedPart struct {
	Model  string
	ID     string
	Tokens int
}

// Caches tells what servers hold in their caches. What it tells may be incomplete: it
// saves reading, and no promise rests on it.
type Caches interface {
	Held(ctx context.Context, address string) ([]CachedPart, error)
}

// Times and sizes of asking servers for their caches.
const (
	// A server that does not answer in this time is passed over. They answer within
	// milliseconds; requests do not wait for it.
	cachesTimeout = time.Second
	// Servers asked at the same time.
	cachesAtOnce = 8
)

// askCaches asks the servers that are there when the gateway starts what they hold: a
// gateway that has just started would have shared parts read again at other servers.
// Servers that come later start with empty caches, and what others send is told.
func (g *Gateway) askCaches(ctx context.Context) {
	if g.options.Caches == nil {
		return
	}
	servers := g.firstEngines(ctx)
	places := make(chan struct{}, cachesAtOnce)
	for _, s := range servers {
		places <- struct{}{}
		go func() {
			g.askCache(ctx, s)
			<-places
		}()
	}
	for range cachesAtOnce {
		places <- struct{}{} // all have ended
	}
}

// firstEngines waits for the first view with servers and returns its model servers.
func (g *Gateway) firstEngines(ctx context.Context) []catalog.Server {
	tick := time.NewTicker(viewPoll)
	defer tick.Stop()
	for !g.known() {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
	var list []catalog.Server
	v := g.view.Load()
	for _, s := range v.Servers {
		service, ok := v.Configuration.Service(s.Service)
		if ok && service.Engine != nil && !s.Leaving {
			list = append(list, s)
		}
	}
	return list
}

// viewPoll is how often a starting gateway looks whether it knows servers.
const viewPoll = 20 * time.Millisecond

func (g *Gateway) askCache(ctx context.Context, s catalog.Server) {
	ctx, cancel := context.WithTimeout(ctx, cachesTimeout)
	defer cancel()
	asked := time.Now()
	held, err := g.options.Caches.Held(ctx, s.Address)
	if err != nil {
		g.log.Info().Str("event", "cache.unknown").Str("server", s.ID).Err(err).Msg("its cache counts as empty")
		return
	}
	parts := make([]uint64, len(held))
	for i, p := range held {
		parts[i] = partHash(p.Model, p.ID)
	}
	g.log.Info().Str("event", "cache.known").Str("server", s.ID).Int("parts", len(parts)).Dur("took", time.Since(asked)).Msg("asked at the start")
	g.desk.tell(cacheMessage{server: s.ID, parts: parts})
}
