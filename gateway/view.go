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
	// minEntryTime is the shortest time between the first and the last moment at which a server has an
	// entry: it says two seconds before that it leaves. A list tells nothing of servers that came
	// and went since the view was confirmed.
	minEntryTime = 2 * time.Second
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
	lastOutage      time.Time // when the store was last known to be away
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
	return &storeWatcher{
		gateway:       g,
		servers:       map[string]catalog.Server{},
		currentIDs:    map[string]string{},
		missingUntil:  map[string]time.Time{},
		evacuations:   map[string]evacuation{},
		cold:          map[string]coldState{},
		tombstones:    newTombstones(),
		unverified:    map[string]catalog.Server{},
		peerViews:     make(chan peerView, 1),
		leavingSignal: make(chan struct{}, 1),
	}
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
func (w *storeWatcher) run(ctx context.Context) {
	results := make(chan sourceResult, 1)
	call := func(listed bool) {
		revision := w.gateway.view.Load().Revision
		go func() { results <- w.query(ctx, listed, revision) }()
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
		if next == nil || !w.shouldQuery(now) {
			return
		}
		list := *next
		next, called = nil, true
		w.lastQuery = now
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
			list, wait := w.applyResult(time.Now(), r)
			next = &list
			if !wait {
				callTimer.Reset(changeBatchDelay)
			}
		case p := <-w.peerViews:
			w.applyPeerView(time.Now(), p)
			if !called {
				list = false // a watch can continue from the peer's view
			}
		case <-w.leavingSignal:
			w.republish()
		case now := <-callTimer.C:
			startCall(now)
		case now := <-ticker.C:
			w.expireMissing(now)
			w.gateway.suspects.QueueDueRewrites(now)
			startCall(now)
		}
	}
}

// shouldQuery reports whether this gateway has to query the store: it watches for its
// hall, or no gateway that does has been heard.
func (w *storeWatcher) shouldQuery(now time.Time) bool {
	g := w.gateway
	age := now.Sub(g.started)
	switch {
	case age < electionDelay, w.unreachable && now.Sub(w.lastQuery) < w.retryInterval():
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
func (w *storeWatcher) retryInterval() time.Duration {
	unreachable := time.Duration(w.gateway.hallPeersWithoutStore.Load()) + 1
	return min(max(unreachable/2, 1)*sourceRetryInterval, maxSourceRetryInterval)
}

func (w *storeWatcher) query(ctx context.Context, listed bool, revision catalog.Revision) sourceResult {
	if listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		s, err := w.gateway.options.Source.List(ctx)
		return sourceResult{listed: true, snapshot: s, err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	changes, now, err := w.gateway.options.Source.Watch(ctx, revision, watchWait)
	return sourceResult{since: revision, changes: changes, revision: now, err: err}
}

// applyResult applies the result of a call. It returns whether to list next, and whether
// to wait before that.
func (w *storeWatcher) applyResult(now time.Time, r sourceResult) (list, wait bool) {
	w.applyTime = now
	known := w.gateway.view.Load().Revision
	switch {
	case errors.Is(r.err, ErrHistoryGone):
		w.gateway.log.Warn().Str("event", "store.history_gone").EmbedObject(revisionFields(known)).Err(r.err).Msg("change history is gone; listing again")
		return true, r.listed // the list was late, or ran while the store was being restored
	case r.err != nil:
		w.recordFailure(now, r.listed, r.err)
		return true, true // the store may have dropped the watch; a list returns the current state
	}
	w.recordSuccess(now)
	if r.listed {
		return w.applyList(now, known, r.snapshot)
	}
	if r.since.Era() == known.Era() {
		w.gateway.confirm(now)
	}
	// A peer may have handed over a newer view while the call was in flight.
	if r.since != known {
		return false, false // its changes are already known: continue the watch from the newer revision
	}
	w.applyChanges(now, r.changes, r.revision)
	return false, false
}

// applyList applies a list, unless the view is newer.
func (w *storeWatcher) applyList(now time.Time, known catalog.Revision, s Snapshot) (list, wait bool) {
	if s.Revision > known && now.Sub(w.gateway.confirmedAt()) >= minEntryTime {
		w.gateway.origins.missed(now)
	}
	if s.Revision.Era() == known.Era() {
		w.gateway.confirm(now)
	}
	if s.Revision < known {
		w.gateway.log.Warn().Str("event", "store.list_set_aside").EmbedObject(revisionFields(s.Revision)).Stringer("known", known).Msg("list is older than the current view; listing again")
		return true, true
	}
	if s.Revision.Era() > known.Era() {
		w.enterEra(s.Revision, now.Add(reconcilePeriod))
		w.gateway.confirm(now)
	}
	w.changeRevision = s.Revision
	w.applyListedCold(now, s)
	w.applyListedRollouts(now, s)
	w.serverChanges.reset(s.Revision) // changes in between are unknown
	w.suspectChanges.reset(s.Revision)
	w.applySnapshot(s, func(id string) { w.removeServer(now, id) })
	return s.Configuration == nil, s.Configuration == nil
}

// recordFailure records that a call has failed. The list that follows a failed watch tells whether
// the store is away or has only cut the watch: the two look alike.
func (w *storeWatcher) recordFailure(now time.Time, listed bool, err error) {
	w.lastFailure = now
	if listed {
		w.recordOutage(now)
	}
	if !w.unreachable {
		w.unreachable = true
		w.gateway.storeUnreachable.Store(true)
		w.gateway.peers.SendSoon()
		w.gateway.log.Warn().Str("event", "store.lost").Err(err).EmbedObject(revisionFields(w.gateway.view.Load().Revision)).Msg("store is unreachable; continuing with the last view")
	}
}

// recordOutage records that the store is away. Servers and operators cannot write meanwhile, so what
// they have to write again gets more time.
func (w *storeWatcher) recordOutage(now time.Time) {
	w.lastOutage = now
	if w.reconciling(now) {
		w.reconcileUntil = now.Add(reconcilePeriod)
	}
	for id := range w.missingUntil {
		w.missingUntil[id] = now.Add(reregistrationGrace)
	}
}

func (w *storeWatcher) recordSuccess(now time.Time) {
	if w.unreachable {
		w.unreachable = false
		w.gateway.storeUnreachable.Store(false)
		w.gateway.log.Info().Str("event", "store.regained").Dur("away", now.Sub(w.lastFailure)).Msg("store is reachable again")
	}
}

// withinGrace reports whether missing entries may still be written again, since the store
// was away a moment ago.
func (w *storeWatcher) withinGrace(now time.Time) bool {
	return now.Sub(w.lastOutage) < reregistrationGrace
}

// applySnapshot replaces the state by a snapshot and calls remove for each server that the
// snapshot lacks.
func (w *storeWatcher) applySnapshot(s Snapshot, remove func(id string)) {
	for _, name := range s.Unreadable {
		w.dropServerByName(name)
	}
	present := map[string]bool{}
	for _, server := range s.Servers {
		present[server.ID] = true
		if w.withholdUnverified(server) {
			continue
		}
		server.Leaving = w.isLeaving(server)
		if _, missing := s.MissingUntil[server.ID]; missing {
			server.Evacuated = false
			w.putServer(server)
			continue
		}
		w.upsertServer(server)
	}
	for id := range w.servers {
		if !present[id] {
			w.handleAbsent(id, remove)
		}
	}
	if w.reconciling(w.applyTime) {
		s.Suspects = w.mergeSuspects(s.Suspects)
	}
	for k := range w.suspects {
		if _, still := s.Suspects[k]; !still {
			w.tombstones.addSuspect(w.applyTime, k)
		}
	}
	w.suspects, w.suspectsChanged = s.Suspects, true
	w.publish(s.Configuration, s.RawConfiguration, s.Revision)
}

func (w *storeWatcher) applyChanges(now time.Time, changes []Change, revision catalog.Revision) {
	v := w.gateway.view.Load()
	configuration, raw := v.Configuration, v.RawConfiguration
	w.changeRevision = revision
	for _, c := range changes {
		switch c := c.(type) {
		case ConfigurationChanged:
			configuration, raw = c.Configuration, c.Raw
		case ServerChanged:
			delete(w.unverified, c.Server.Name())
			w.updateColdState(now, c)
			w.upsertServer(c.Server)
		case ServerRemoved:
			delete(w.unverified, c.Name)
			w.removeServer(now, w.currentIDs[c.Name])
		case ServerUnreadable:
			delete(w.unverified, c.Name)
			w.dropServerByName(c.Name)
		case HallEvacuated:
			w.evacuate(now, c)
		case HallEvacuationEnded:
			w.endEvacuation(now, c.Hall)
		case RolloutOrdered:
			w.applyOrder(now, c.Order)
		case RolloutWithdrawn:
			w.withdrawOrder(c.Service)
		case RolloutStatusChanged:
			w.applyRolloutStatus(c.Service, c.Status)
		case ServerClaimed:
			w.markClaimed(c.Claim)
		case SuspectChanged:
			w.setSuspect(c.Key, c.Record)
		case SuspectRemoved:
			w.removeSuspect(c.Key)
		}
	}
	w.publish(configuration, raw, revision)
}

// republish publishes a new view after a change that did not come from the store.
func (w *storeWatcher) republish() {
	v := w.gateway.view.Load()
	w.publish(v.Configuration, v.RawConfiguration, v.Revision)
}

// publish publishes a new view. The version of the configuration never decreases.
func (w *storeWatcher) publish(c *catalog.Configuration, raw []byte, revision catalog.Revision) {
	old := w.gateway.view.Load()
	if old.Configuration != nil && (c == nil || c.Version < old.Configuration.Version) {
		c, raw = old.Configuration, old.RawConfiguration
	}
	if c != nil && (old.Configuration == nil || c.Version != old.Configuration.Version) {
		w.gateway.log.Info().Str("event", "configuration.in_force").Uint64("version", c.Version).
			EmbedObject(revisionFields(revision)).Int("routes", len(c.Routes)).Int("accounts", len(c.Accounts)).Msg("apply")
	}
	v := &View{
		Configuration: c, RawConfiguration: raw, Revision: max(revision, old.Revision), MissingUntil: maps.Clone(w.missingUntil),
		Evacuated: maps.Clone(w.evacuations), Cold: maps.Clone(w.cold), serverChanges: w.serverChanges,
		Rollouts: w.rollouts, Suspects: w.suspects, suspectChanges: w.suspectChanges,
		ReconcileUntil: w.reconcileUntil, Unverified: slices.Collect(maps.Values(w.unverified)),
	}
	if w.sortedIDs == nil {
		w.sortedIDs = slices.Sorted(maps.Keys(w.servers))
	}
	v.Servers = make([]catalog.Server, len(w.sortedIDs))
	for i, id := range w.sortedIDs {
		v.Servers[i] = w.servers[id]
		_, v.Servers[i].Evacuated = w.evacuations[v.Servers[i].Hall]
	}
	now := time.Now()
	v.ReportedLeaving = w.gateway.signals.applyTo(now, v.Servers)
	changed := c != old.Configuration || !slices.Equal(v.Servers, old.Servers) || !maps.Equal(v.Cold, old.Cold) || !maps.Equal(v.Rollouts, old.Rollouts)
	if changed {
		// Before the view is visible: a request that is validated against it is then placed
		// among its servers, and the gateway is not ready before its dispatcher knows servers.
		w.gateway.dispatcher.viewChanged(v)
	}
	w.gateway.view.Store(v)
	if !slices.Equal(v.Servers, old.Servers) {
		w.gateway.origins.observe(now, slices.Concat(old.Servers, v.Servers), now.Sub(w.gateway.confirmedAt()) <= freshViewAge)
	}
	w.gateway.crashes.viewChanged(now, old.Servers, v.Servers)
	if w.suspectsChanged {
		w.suspectsChanged = false
		w.gateway.suspects.ApplyStored(now, old.Suspects, v.Suspects, w.gateway.watchesStore.Load())
	}
	if changed {
		w.gateway.runs.ViewChanged(now, v.Servers)
		w.gateway.peers.SendSoon()
	}
}

// setSuspect applies a suspect's stored state.
func (w *storeWatcher) setSuspect(key quarantine.Key, stored quarantine.StoredRecord) {
	delete(w.tombstones.suspects, key)
	w.gateway.suspects.CancelRewriteIfStored(key, stored)
	w.suspectChanges.add(w.changeRevision, key.String())
	changed := make(map[quarantine.Key]quarantine.StoredRecord, len(w.suspects)+1)
	maps.Copy(changed, w.suspects)
	changed[key] = stored
	w.suspects, w.suspectsChanged = changed, true
}

// removeSuspect applies the removal of a suspect from the store.
func (w *storeWatcher) removeSuspect(key quarantine.Key) {
	w.tombstones.addSuspect(w.applyTime, key)
	w.gateway.suspects.CancelRewriteIfStored(key, quarantine.StoredRecord{})
	w.suspectChanges.add(w.changeRevision, key.String())
	changed := maps.Clone(w.suspects)
	delete(changed, key)
	w.suspects, w.suspectsChanged = changed, true
}
