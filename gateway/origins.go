package gateway

import (
	"context"
	"sync"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/origin"
	"opalbridge.dev/gateway/peer"
)

// This file tracks at which software versions streams have begun, for callers that take a stream
// up at any gateway. The gateway that relays a stream's first event remembers it, and so do a few
// others, which are asked when another gateway gets the caller's next attempt. A stream whose
// origin nobody knows does not go on.

const (
	// originLookupTimeout bounds the search for an origin. The others answer within the time that
	// a datagram takes there and back, far less than a caller waits for an event.
	originLookupTimeout = 250 * time.Millisecond
	// conclusiveAsks is the number of times that all gateways asked have to answer that they know
	// nothing before the search ends early: the report may still be on its way to them.
	conclusiveAsks = 3
	// newPeersPeriod is how long a gateway that has started may not know of the others yet.
	newPeersPeriod = 3 * time.Second
	// historyInterval is how often the versions that serve are recorded.
	historyInterval = time.Second
)

// originAskDelays are the times between questions about an origin; the last one repeats.
var originAskDelays = []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond}

// originTracker knows at which versions streams have begun. It implements peer.OriginStore and is
// safe for concurrent use.
type originTracker struct {
	peers   *peer.Node
	started time.Time

	mutex    sync.Mutex
	registry *origin.Registry
	history  origin.History
	lookups  map[origin.Attempt]map[*originLookup]bool // in progress
}

// originLookup is a search for an origin that waits for other gateways.
type originLookup struct {
	found   chan struct{} // gets a value when something was reported of the attempt
	unknown chan string   // gets the addresses of gateways that know nothing
}

func newOriginTracker(now time.Time) *originTracker {
	return &originTracker{started: now, registry: origin.NewRegistry(), lookups: map[origin.Attempt]map[*originLookup]bool{}}
}

// begun records where a stream has begun, and reports it to other gateways.
func (t *originTracker) begun(now time.Time, o origin.Origin) {
	t.mutex.Lock()
	t.registry.Add(now, o)
	t.mutex.Unlock()
	t.peers.PublishOrigin(o)
}

// AddOrigin implements peer.OriginStore.
func (t *originTracker) AddOrigin(now time.Time, o origin.Origin) (contradicting []origin.Origin) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.registry.Add(now, o)
	for l := range t.lookups[o.Attempt] {
		select {
		case l.found <- struct{}{}:
		default: // it has been told already
		}
	}
	if known := origins(o.Attempt, t.registry.Find(now, o.Attempt)); len(known) > 1 {
		return known
	}
	return nil
}

// FindOrigins implements peer.OriginStore.
func (t *originTracker) FindOrigins(now time.Time, a origin.Attempt) []origin.Origin {
	return origins(a, t.find(now, a))
}

// OriginUnknown implements peer.OriginStore.
func (t *originTracker) OriginUnknown(from string, a origin.Attempt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for l := range t.lookups[a] {
		select {
		case l.unknown <- from:
		default: // the search then ends by its timeout
		}
	}
}

// origins returns what a finding says.
func origins(a origin.Attempt, f origin.Finding) []origin.Origin {
	switch f := f.(type) {
	case origin.Known:
		return []origin.Origin{{Attempt: a, Version: f.Version, Expires: f.Expires}}
	case origin.Ambiguous:
		return []origin.Origin{{Attempt: a, Version: f.Versions[0], Expires: f.Expires}, {Attempt: a, Version: f.Versions[1], Expires: f.Expires}}
	default:
		return nil
	}
}

func (t *originTracker) find(now time.Time, a origin.Attempt) origin.Finding {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.registry.Find(now, a)
}

// lookup returns what this gateway or others know of an attempt.
func (t *originTracker) lookup(ctx context.Context, a origin.Attempt) origin.Finding {
	if f := t.find(time.Now(), a); f != (origin.Unknown{}) {
		return f
	}
	l := &originLookup{found: make(chan struct{}, 1), unknown: make(chan string, 4*origin.AskedCount)}
	t.addLookup(a, l)
	defer t.removeLookup(a, l)
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	for round := 0; ; round++ {
		if !t.ask(ctx, a, l, round) {
			return t.find(time.Now(), a)
		}
	}
}

// ask asks other gateways once. It reports whether to ask again.
func (t *originTracker) ask(ctx context.Context, a origin.Attempt, l *originLookup, round int) (again bool) {
	asked := make(chan int, 1)
	t.peers.AskOrigin(a, asked)
	timer := time.NewTimer(originAskDelays[min(round, len(originAskDelays)-1)])
	defer timer.Stop()
	remaining := -1 // gateways that owe an answer; -1: not known yet
	unknown := map[string]bool{}
	conclusive := func() bool { return round >= conclusiveAsks-1 && remaining >= 0 && len(unknown) >= remaining }
	for {
		select {
		case <-ctx.Done():
			return false
		case <-l.found:
			return false
		case remaining = <-asked:
			if remaining == 0 && time.Since(t.started) > newPeersPeriod {
				return false // nobody is there to know it
			}
		case from := <-l.unknown:
			unknown[from] = true
		case <-timer.C:
			return !conclusive()
		}
	}
}

func (t *originTracker) addLookup(a origin.Attempt, l *originLookup) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.lookups[a] == nil {
		t.lookups[a] = map[*originLookup]bool{}
	}
	t.lookups[a][l] = true
}

func (t *originTracker) removeLookup(a origin.Attempt, l *originLookup) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.lookups[a], l)
	if len(t.lookups[a]) == 0 {
		delete(t.lookups, a)
	}
}

// count returns the number of attempts whose origin this gateway remembers.
func (t *originTracker) count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.registry.Len()
}

// observe records which versions serve; complete says whether the servers are all that there are.
func (t *originTracker) observe(now time.Time, servers []catalog.Server, complete bool) {
	distinct := map[origin.Serving]bool{}
	for _, s := range servers {
		distinct[origin.Serving{Service: s.Service, Version: s.Version}] = true
	}
	list := make([]origin.Serving, 0, len(distinct))
	for s := range distinct {
		list = append(list, s)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history.Observe(now, list, complete)
}

// observeServer records a version that has joined, of which the next view may know nothing any more.
func (t *originTracker) observeServer(now time.Time, s catalog.Server) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history.Sight(now, origin.Serving{Service: s.Service, Version: s.Version})
}

// missed records that changes of the servers were missed: which versions have served is not known.
func (t *originTracker) missed(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history.Observe(now, nil, false)
}

// versionRecord returns which versions have served, for another gateway.
func (t *originTracker) versionRecord(now time.Time) origin.Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.history.Record(now)
}

// versionSpan returns for how long it is known which versions have served.
func (t *originTracker) versionSpan(now time.Time) time.Duration {
	return time.Duration(t.versionRecord(now).CompleteMS) * time.Millisecond
}

// mergeVersions takes over which versions have served, from another gateway.
func (t *originTracker) mergeVersions(now time.Time, r origin.Record) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history.Merge(now, r)
}

// onlyVersion returns the version of a service that has been the only one for the given time.
func (t *originTracker) onlyVersion(now time.Time, service string, span time.Duration) (version string, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.history.Only(now, service, span)
}

// recordVersions records which versions serve, until ctx ends. One that comes or goes meanwhile is
// recorded when the view changes.
func (g *Gateway) recordVersions(ctx context.Context) {
	ticker := time.NewTicker(historyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.observeVersions(now)
		}
	}
}

// observeVersions records which versions serve now.
func (g *Gateway) observeVersions(now time.Time) {
	v := g.view.Load()
	g.origins.observe(now, v.Servers, v.Configuration != nil && now.Sub(g.confirmedAt()) <= freshViewAge)
}
