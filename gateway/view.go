package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/quarantine"
)

// Intervals and timeouts of following the store.
const (
	// watchWait is how long one watch waits for changes. A watch that the store has
	// silently dropped is noticed only after this time, which must be well within the
	// two seconds in which a new configuration takes effect and a leaving server stops
	// getting work.
	watchWait = 1500 * time.Millisecond
	// watchSlack is how much later than the requested wait a watch may be answered.
	watchSlack = 400 * time.Millisecond
	// listTimeout bounds a list call.
	listTimeout = time.Second
	// sourceRetryInterval is the time between calls after a failure.
	sourceRetryInterval = 200 * time.Millisecond
	// maxSourceRetryInterval bounds the retry interval. It grows with the number of
	// gateways of the hall that have lost the store too, so that together they make two
	// calls per sourceRetryInterval: the first one to reach the store tells the others.
	// The bound lets a configuration take effect soon after the store is back.
	maxSourceRetryInterval = 2 * time.Second
	// changeBatchDelay is the pause before the next watch after changes, so that
	// changes that come together cost one call.
	changeBatchDelay = 100 * time.Millisecond
	// confirmationTimeout is how long a gateway that does not watch for its hall goes
	// without a confirmation of its view before it queries the store itself. By then
	// four beacons, or the store's answers, have been lost.
	confirmationTimeout = watchWait + time.Second
	// electionDelay is how long a starting gateway waits before it queries the store, so
	// that it has heard whether another gateway of its hall watches.
	electionDelay = 150 * time.Millisecond
	// initialViewTimeout is when a starting gateway queries the store although another
	// gateway of its hall watches: by then that one should have handed over its view. A
	// list takes one call per fifty servers.
	initialViewTimeout = time.Second
	// reregistrationGrace is how long, after the store is back, a server is kept whose
	// entry expired during the outage. Live servers write their entry again within about
	// two seconds.
	reregistrationGrace = 2500 * time.Millisecond
)

// View is a gateway's state of the configuration and the servers. It is immutable once
// published.
type View struct {
	Configuration    *catalog.Configuration // nil if unknown
	RawConfiguration []byte                 // the configuration as published
	Servers          []catalog.Server
	MissingUntil     map[string]time.Time     // servers kept until then although their entry is gone
	Revision         catalog.Revision         // of the store; all changes up to it are included
	Evacuated        map[string]evacuation    // by hall
	Cold             map[string]coldState     // by server; nothing is known of the others
	Rollouts         map[string]rolloutRecord // by service
	Suspects         map[quarantine.Key]quarantine.StoredRecord
	ReportedLeaving  []string         // lifetimes that have reported that they are leaving, whatever their entries say
	ReconcileUntil   time.Time        // until then the restored store may lack earlier writes; zero: it is complete
	Unverified       []catalog.Server // withheld servers that the restored store lists
	serverChanges    changeLog        // of servers, by ID
	suspectChanges   changeLog        // of suspects, by key
}

// storeWatcher follows the store and publishes the view.
type storeWatcher struct {
	gateway       *Gateway
	servers       map[string]catalog.Server
	currentIDs    map[string]string     // ID of the server's current lifetime, by server name
	missingUntil  map[string]time.Time  // servers kept until then although their entry is gone
	evacuations   map[string]evacuation // by hall
	cold          map[string]coldState  // by server
	serverChanges changeLog
	// Rollouts by service. Copied on write, since views share the map.
	rollouts map[string]rolloutRecord
	// Suspects kept in the store. Copied on write, since views share the map.
	suspects        map[quarantine.Key]quarantine.StoredRecord
	suspectsChanged bool // since the last view
	suspectChanges  changeLog
	tombstones      tombstones
	reconcileUntil  time.Time                 // until then the restored store may lack earlier writes; zero: it is complete
	unverified      map[string]catalog.Server // withheld servers that the restored store lists, by name
	applyTime       time.Time                 // time at which the current update is applied
	changeRevision  catalog.Revision          // revision under which changes are logged
	sortedIDs       []string                  // IDs of the servers; nil: to be rebuilt
	lastFailure     time.Time
	lastQuery       time.Time // start of the last call
	unreachable     bool
	peerViews       chan peerView
	leavingSignal   chan struct{} // a server has reported that it is leaving
}

// revisionFields logs a revision as its era and its number.
type revisionFields catalog.Revision

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a revisionFields) MarshalZerologObject(e *zerolog.Event) {
	r := catalog.Revision(a)
	e.Uint64("era", r.Era()).Uint64("revision", r.Number())
}

func newStoreWatcher(g *Gateway) *storeWatcher {
	return &storeWatcher{gateway: g, servers: map[string]catalog.Server{}, currentIDs: map[string]string{}, missingUntil: map[string]time.Time{}, evacuations: map[string]evacuation{}, cold: map[string]coldState{}, tombstones: newTombstones(), unverified: map[string]catalog.Server{}, peerViews: make(chan peerView, 1), leavingSignal: make(chan struct{}, 1)}
}

// sourceResult is the result of one call to the source.
type sourceResult struct {
	since    catalog.Revision // revision at which the watch started
	listed   bool
	snapshot Snapshot
	changes  []Change
	revision catalog.Revision
	err      error
}

// run follows the source until ctx is done. Calls run in their own goroutines, so that
// peer views are applied and grace periods end while a call waits.
func (f *storeWatcher) run(ctx context.Context) {
	results := make(chan sourceResult, 1)
	call := func(listed bool) {
		revision := f.gateway.view.Load().Revision
		go func() { results <- f.query(ctx, listed, revision) }()
	}
	ticker := time.NewTicker(sourceRetryInterval)
	defer ticker.Stop()
	callTimer := time.NewTimer(time.Hour)
	defer callTimer.Stop()
	list := true
	next := &list // whether the next call is a list; nil: a call is in flight
	callTimer.Reset(electionDelay)
	called := false
	startCall := func(now time.Time) {
		if next == nil || !f.shouldQuery(now) {
			return
		}
		list := *next
		next, called = nil, true
		f.lastQuery = now
		call(list)
	}
	for {
		select {
		case <-ctx.Done():
			if next == nil {
				<-results
			}
			return
		case r := <-results:
			list, wait := f.applyResult(time.Now(), r)
			next = &list
			if !wait {
				callTimer.Reset(changeBatchDelay)
			}
		case p := <-f.peerViews:
			f.applyPeerView(time.Now(), p)
			if !called {
				list = false // a watch can continue from the peer's view
			}
		case <-f.leavingSignal:
			f.republish()
		case now := <-callTimer.C:
			startCall(now)
		case now := <-ticker.C:
			f.expireMissing(now)
			f.gateway.suspects.queueDueRewrites(now)
			startCall(now)
		}
	}
}

// shouldQuery reports whether this gateway has to query the store: it watches for its
// hall, or no gateway that does has been heard.
func (f *storeWatcher) shouldQuery(now time.Time) bool {
	g := f.gateway
	age := now.Sub(g.started)
	switch {
	case age < electionDelay, f.unreachable && now.Sub(f.lastQuery) < f.retryInterval():
		return false
	case g.watchesStore.Load() || now.Sub(g.confirmedAt()) > confirmationTimeout:
		return true
	case g.options.Source.Era() > g.view.Load().Revision.Era():
		return true // the answer to another call has shown that the store was restored
	default:
		return g.view.Load().Configuration == nil && age > initialViewTimeout
	}
}

// retryInterval returns the time between calls while the store is unreachable.
func (f *storeWatcher) retryInterval() time.Duration {
	unreachable := time.Duration(f.gateway.hallPeersWithoutStore.Load()) + 1
	return min(max(unreachable/2, 1)*sourceRetryInterval, maxSourceRetryInterval)
}

func (f *storeWatcher) query(ctx context.Context, listed bool, revision catalog.Revision) sourceResult {
	if listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		s, err := f.gateway.options.Source.List(ctx)
		return sourceResult{listed: true, snapshot: s, err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	changes, now, err := f.gateway.options.Source.Watch(ctx, revision, watchWait)
	return sourceResult{since: revision, changes: changes, revision: now, err: err}
}

// applyResult applies the result of a call. It returns whether to list next, and whether
// to wait before that.
func (f *storeWatcher) applyResult(now time.Time, r sourceResult) (list, wait bool) {
	f.applyTime = now
	known := f.gateway.view.Load().Revision
	switch {
	case errors.Is(r.err, ErrHistoryGone):
		f.gateway.log.Warn().Str("event", "store.history_gone").EmbedObject(revisionFields(known)).Err(r.err).Msg("change history is gone; listing again")
		return true, r.listed // the list was late, or ran while the store was being restored
	case r.err != nil:
		f.recordFailure(now, r.err)
		return true, true // the store may have dropped the watch; a list returns the current state
	}
	f.recordSuccess(now)
	if r.listed {
		return f.applyList(now, known, r.snapshot)
	}
	if r.since.Era() == known.Era() {
		f.gateway.confirm(now)
	}
	// A peer may have handed over a newer view while the call was in flight.
	if r.since != known {
		return false, false // its changes are already known: continue the watch from the newer revision
	}
	f.applyChanges(now, r.changes, r.revision)
	return false, false
}

// applyList applies a list, unless the view is newer.
func (f *storeWatcher) applyList(now time.Time, known catalog.Revision, s Snapshot) (list, wait bool) {
	if s.Revision.Era() == known.Era() {
		f.gateway.confirm(now)
	}
	if s.Revision < known {
		f.gateway.log.Warn().Str("event", "store.list_set_aside").EmbedObject(revisionFields(s.Revision)).Stringer("known", known).Msg("list is older than the current view; listing again")
		return true, true
	}
	if s.Revision.Era() > known.Era() {
		f.enterEra(s.Revision, now.Add(reconcilePeriod))
		f.gateway.confirm(now)
	}
	f.changeRevision = s.Revision
	f.applyListedCold(now, s)
	f.applyListedRollouts(now, s)
	f.serverChanges.reset(s.Revision) // changes in between are unknown
	f.suspectChanges.reset(s.Revision)
	f.applySnapshot(s, func(id string) { f.removeServer(now, id) })
	return s.Configuration == nil, s.Configuration == nil
}

func (f *storeWatcher) recordFailure(now time.Time, err error) {
	f.lastFailure = now
	if f.reconciling(now) {
		f.reconcileUntil = now.Add(reconcilePeriod) // servers and operators cannot write meanwhile
	}
	for id := range f.missingUntil {
		f.missingUntil[id] = now.Add(reregistrationGrace)
	}
	if !f.unreachable {
		f.unreachable = true
		f.gateway.storeUnreachable.Store(true)
		f.gateway.peers.SendSoon()
		f.gateway.log.Warn().Str("event", "store.lost").Err(err).EmbedObject(revisionFields(f.gateway.view.Load().Revision)).Msg("store is unreachable; continuing with the last view")
	}
}

func (f *storeWatcher) recordSuccess(now time.Time) {
	if f.unreachable {
		f.unreachable = false
		f.gateway.storeUnreachable.Store(false)
		f.gateway.log.Info().Str("event", "store.regained").Dur("away", now.Sub(f.lastFailure)).Msg("store is reachable again")
	}
}

// withinGrace reports whether missing entries may still be written again, since the store
// was unreachable a moment ago.
func (f *storeWatcher) withinGrace(now time.Time) bool {
	return now.Sub(f.lastFailure) < reregistrationGrace
}

// applySnapshot replaces the state by a snapshot and calls remove for each server that the
// snapshot lacks.
func (f *storeWatcher) applySnapshot(s Snapshot, remove func(id string)) {
	for _, name := range s.Unreadable {
		f.dropServerByName(name)
	}
	present := map[string]bool{}
	for _, server := range s.Servers {
		present[server.ID] = true
		if f.withholdUnverified(server) {
			continue
		}
		server.Leaving = f.isLeaving(server)
		if _, missing := s.MissingUntil[server.ID]; missing {
			server.Evacuated = false
			f.putServer(server)
			continue
		}
		f.upsertServer(server)
	}
	for id := range f.servers {
		if !present[id] {
			f.handleAbsent(id, remove)
		}
	}
	if f.reconciling(f.applyTime) {
		s.Suspects = f.mergeSuspects(s.Suspects)
	}
	for k := range f.suspects {
		if _, still := s.Suspects[k]; !still {
			f.tombstones.addSuspect(f.applyTime, k)
		}
	}
	f.suspects, f.suspectsChanged = s.Suspects, true
	f.publish(s.Configuration, s.RawConfiguration, s.Revision)
}

func (f *storeWatcher) applyChanges(now time.Time, changes []Change, revision catalog.Revision) {
	v := f.gateway.view.Load()
	configuration, raw := v.Configuration, v.RawConfiguration
	f.changeRevision = revision
	for _, c := range changes {
		switch c := c.(type) {
		case ConfigurationChanged:
			configuration, raw = c.Configuration, c.Raw
		case ServerChanged:
			delete(f.unverified, c.Server.Name())
			f.updateColdState(now, c)
			f.upsertServer(c.Server)
		case ServerRemoved:
			delete(f.unverified, c.Name)
			f.removeServer(now, f.currentIDs[c.Name])
		case ServerUnreadable:
			delete(f.unverified, c.Name)
			f.dropServerByName(c.Name)
		case HallEvacuated:
			f.evacuate(now, c)
		case HallEvacuationEnded:
			f.endEvacuation(now, c.Hall)
		case RolloutOrdered:
			f.applyOrder(now, c.Order)
		case RolloutWithdrawn:
			f.withdrawOrder(c.Service)
		case RolloutStatusChanged:
			f.applyRolloutStatus(c.Service, c.Status)
		case ServerClaimed:
			f.markClaimed(c.Claim)
		case SuspectChanged:
			f.setSuspect(c.Key, c.Record)
		case SuspectRemoved:
			f.removeSuspect(c.Key)
		}
	}
	f.publish(configuration, raw, revision)
}

// republish publishes a new view after a change that did not come from the store.
func (f *storeWatcher) republish() {
	v := f.gateway.view.Load()
	f.publish(v.Configuration, v.RawConfiguration, v.Revision)
}

// publish publishes a new view. The version of the configuration never decreases.
func (f *storeWatcher) publish(c *catalog.Configuration, raw []byte, revision catalog.Revision) {
	old := f.gateway.view.Load()
	if old.Configuration != nil && (c == nil || c.Version < old.Configuration.Version) {
		c, raw = old.Configuration, old.RawConfiguration
	}
	if c != nil && (old.Configuration == nil || c.Version != old.Configuration.Version) {
		f.gateway.log.Info().Str("event", "configuration.in_force").Uint64("version", c.Version).
			EmbedObject(revisionFields(revision)).Int("routes", len(c.Routes)).Int("accounts", len(c.Accounts)).Msg("apply")
	}
	v := &View{
		Configuration: c, RawConfiguration: raw, Revision: max(revision, old.Revision), MissingUntil: maps.Clone(f.missingUntil),
		Evacuated: maps.Clone(f.evacuations), Cold: maps.Clone(f.cold), serverChanges: f.serverChanges,
		Rollouts: f.rollouts, Suspects: f.suspects, suspectChanges: f.suspectChanges,
		ReconcileUntil: f.reconcileUntil, Unverified: slices.Collect(maps.Values(f.unverified)),
	}
	if f.sortedIDs == nil {
		f.sortedIDs = slices.Sorted(maps.Keys(f.servers))
	}
	v.Servers = make([]catalog.Server, len(f.sortedIDs))
	for i, id := range f.sortedIDs {
		v.Servers[i] = f.servers[id]
		_, v.Servers[i].Evacuated = f.evacuations[v.Servers[i].Hall]
	}
	now := time.Now()
	v.ReportedLeaving = f.gateway.signals.applyTo(now, v.Servers)
	changed := c != old.Configuration || !slices.Equal(v.Servers, old.Servers) || !maps.Equal(v.Cold, old.Cold) || !maps.Equal(v.Rollouts, old.Rollouts)
	f.gateway.view.Store(v)
	f.gateway.crashes.viewChanged(now, old.Servers, v.Servers)
	if f.suspectsChanged {
		f.suspectsChanged = false
		f.gateway.suspects.applyStored(now, old.Suspects, v.Suspects, f.gateway.watchesStore.Load())
	}
	if changed {
		f.gateway.dispatcher.viewChanged(v)
		f.gateway.peers.SendSoon()
	}
}
