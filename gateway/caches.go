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

// Caches reads what servers hold in their caches. The answers may be incomplete: they save
// prompt processing, and no guarantee depends on them.
type Caches interface {
	Contents(ctx context.Context, address string) (CacheContent, error)
}

// CacheContent is a server's report of its cache.
type CacheContent struct {
	Born    int64  // start of the server that answered, see [catalog.Server]; 0: unknown
	Server  string // name of the server that answered; empty: unknown
	Leaving bool   // the server has reported that it is leaving
	Parts   []CachedPart
}

// isFrom reports whether the answer may come from that lifetime of a server.
func (c CacheContent) isFrom(s catalog.Server) bool {
	return c.Born == 0 || s.Born == 0 || c.Born == s.Born
}

// Limits of querying servers for their caches.
const (
	// cacheQueryTimeout bounds one query; a server that exceeds it is skipped. Servers answer
	// within milliseconds, and requests do not wait for it.
	cacheQueryTimeout = time.Second
	// maxConcurrentCacheQueries is the number of queries in flight at a time.
	maxConcurrentCacheQueries = 8
	// maxCacheQueries bounds the queries in all. A part that none of the queried servers holds
	// goes to one of the two servers that process it, which mostly hold it. Querying thousands
	// would keep a starting gateway from serving for seconds.
	maxCacheQueries = 64
)

// queryCaches asks the servers that exist when the gateway starts what they hold. Otherwise a
// gateway that has just started would send cached parts to other servers, which would process
// them again. Servers that appear later start with empty caches, and peers report what they send.
func (g *Gateway) queryCaches(ctx context.Context) {
	if g.options.Caches == nil {
		return
	}
	servers := cacheQueryTargets(g.waitForEngines(ctx), g.options.Dispatcher.Hall, g.options.Peer.Address)
	slots := make(chan struct{}, maxConcurrentCacheQueries)
	for _, s := range servers {
		slots <- struct{}{}
		go func() {
			g.queryCache(ctx, s)
			<-slots
		}()
	}
	for range maxConcurrentCacheQueries {
		slots <- struct{}{} // wait for the query that holds the slot
	}
}

// cacheQueryTargets returns the servers to query: first those of the gateway's hall, then others
// in an order of its own, so that gateways that start together query different ones.
func cacheQueryTargets(servers []catalog.Server, hall, gateway string) []catalog.Server {
	if len(servers) <= maxCacheQueries {
		return servers
	}
	hallRank := func(s catalog.Server) int {
		if s.Hall == hall {
			return 0
		}
		return 1
	}
	slices.SortFunc(servers, func(x, y catalog.Server) int {
		return cmp.Or(cmp.Compare(hallRank(x), hallRank(y)), cmp.Compare(hashString(gateway+x.ID), hashString(gateway+y.ID)))
	})
	return servers[:maxCacheQueries]
}

// waitForEngines waits for the first view with servers and returns its model servers.
func (g *Gateway) waitForEngines(ctx context.Context) []catalog.Server {
	tick := time.NewTicker(viewPollInterval)
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
		cold := time.Now().Before(v.Cold[s.ID].until()) // its cache is empty
		if ok && service.Engine != nil && !s.Leaving && !s.Evacuated && !cold {
			list = append(list, s)
		}
	}
	return list
}

// viewPollInterval is how often a starting gateway checks whether it knows servers.
const viewPollInterval = 20 * time.Millisecond

func (g *Gateway) queryCache(ctx context.Context, s catalog.Server) {
	ctx, cancel := context.WithTimeout(ctx, cacheQueryTimeout)
	defer cancel()
	start := time.Now()
	content, err := g.options.Caches.Contents(ctx, s.Address)
	if err != nil {
		g.recordInvalidCall(s, err)
		g.log.Info().Str("event", "cache.unknown").Str("server", s.ID).Err(err).Msg("cache query failed; assuming an empty cache")
		return
	}
	if !content.isFrom(s) {
		g.log.Info().Str("event", "cache.unknown").Str("server", s.ID).Int64("born", content.Born).Msg("cache content is of another lifetime; ignored")
		return
	}
	// The query names no server, so the answer counts for this one only if it names it.
	if content.Leaving && content.Server == s.Name() {
		g.handleSignal(s, upstream.Signal{Status: http.StatusOK, Leaving: true})
	}
	parts := make([]uint64, len(content.Parts))
	for i, p := range content.Parts {
		parts[i] = partHash(p.Model, p.ID)
	}
	g.log.Info().Str("event", "cache.known").Str("server", s.ID).Int("parts", len(parts)).Dur("took", time.Since(start)).Msg("queried at startup")
	g.dispatcher.send(cacheReported{server: s.ID, parts: parts})
}
