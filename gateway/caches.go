package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/upstream"
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
	Held(ctx context.Context, address string) (CacheContent, error)
}

// CacheContent is what a server says that its cache holds.
type CacheContent struct {
	Born    int64  // when the server started that answered, see [catalog.Server]; 0: not told
	Server  string // name of the server that answered; empty: not told
	Leaving bool   // it has said that it leaves
	Parts   []CachedPart
}

// of tells whether the answer may be of that lifetime of a server.
func (c CacheContent) isFrom(s catalog.Server) bool {
	return c.Born == 0 || s.Born == 0 || c.Born == s.Born
}

// Times and sizes of asking servers for their caches.
const (
	// A server that does not answer in this time is passed over. They answer within
	// milliseconds; requests do not wait for it.
	cachesTimeout = time.Second
	// Servers asked at the same time.
	cachesAtOnce = 8
	// Servers asked in all. A part that none of them holds goes to one of the two servers
	// that read it, which mostly hold it. Asking thousands would keep a gateway that starts
	// from serving for seconds.
	maxCacheQueries = 64
)

// queryCaches asks the servers that are there when the gateway starts what they hold: a
// gateway that has just started would have shared parts read again at other servers.
// Servers that come later start with empty caches, and what others send is told.
func (g *Gateway) queryCaches(ctx context.Context) {
	if g.options.Caches == nil {
		return
	}
	servers := cacheQueryTargets(g.firstEngines(ctx), g.options.Dispatcher.Hall, g.options.Peer.Address)
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

// asked returns the servers that a gateway asks: those of its hall first, then others in
// an order of its own, so that gateways that start together ask different ones.
func cacheQueryTargets(servers []catalog.Server, hall, gateway string) []catalog.Server {
	if len(servers) <= maxCacheQueries {
		return servers
	}
	other := func(s catalog.Server) int {
		if s.Hall == hall {
			return 0
		}
		return 1
	}
	slices.SortFunc(servers, func(x, y catalog.Server) int {
		return cmp.Or(cmp.Compare(other(x), other(y)), cmp.Compare(hashString(gateway+x.ID), hashString(gateway+y.ID)))
	})
	return servers[:maxCacheQueries]
}

// firstEngines waits for the first view with servers and returns its model servers.
func (g *Gateway) firstEngines(ctx context.Context) []catalog.Server {
	tick := time.NewTicker(viewPoll)
	defer tick.Stop()
	for !g.hasView() {
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
		cold := time.Now().Before(v.Cold[s.ID].until()) // and so its cache is empty
		if ok && service.Engine != nil && !s.Leaving && !s.Evacuated && !cold {
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
	if !held.isFrom(s) {
		g.log.Info().Str("event", "cache.unknown").Str("server", s.ID).Int64("born", held.Born).Msg("the server has started again")
		return
	}
	// The question names no server, so only an answer that does speaks for this one.
	if held.Leaving && held.Server == s.Name() {
		g.handleSignal(s, upstream.Signal{Status: http.StatusOK, Leaving: true})
	}
	parts := make([]uint64, len(held.Parts))
	for i, p := range held.Parts {
		parts[i] = partHash(p.Model, p.ID)
	}
	g.log.Info().Str("event", "cache.known").Str("server", s.ID).Int("parts", len(parts)).Dur("took", time.Since(asked)).Msg("asked at the start")
	g.dispatcher.send(cacheReported{server: s.ID, parts: parts})
}
