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

// Times of following the source.
const (
	// One watch waits this long. A watch that the store has silently forgotten is
	// noticed after it, which has to be well within the time in which a configuration
	// is in force and a leaving server gets no more work (two seconds).
	watchWait = 1500 * time.Millisecond
	// An answer may come so much later than the wait asked for.
	watchSlack = 400 * time.Millisecond
	// A list is given up after this time.
	listTimeout = time.Second
	// Tries after a failure are this far apart.
	sourceRetryInterval = 200 * time.Millisecond
	// While others of the hall have lost the store as well, tries are further apart, so that
	// two of the hall try in that time together: whoever reaches it first tells all. Up to
	// this time, so that a configuration is in force soon after the store's return.
	longestRetry = 2 * time.Second
	// After changes the next watch waits so long, so that changes that come together
	// cost one call.
	gatherChanges = 100 * time.Millisecond
	// A gateway that does not watch for its hall asks the store itself when nobody has
	// confirmed its view for this long: four beacons were lost, or the store's answers.
	confirmationTimeout = watchWait + time.Second
	// A gateway that starts asks the store only after this time, so that it has heard
	// whether another one of its hall does.
	electFirst = 150 * time.Millisecond
	// If another one does, it asks the store after this time at the latest: by then that
	// one has handed over its view. A list takes a call for each fifty servers.
	startPatience = time.Second
	// A server whose entry has gone while the store was away is kept for this long
	// after its return: servers that live write their entry again within about two
	// seconds (source: the users' second letter).
	reregistrationGrace = 2500 * time.Millisecond
)

// View is what a gateway believes of the configuration and the servers. It is not
// changed once it is published.
type View struct {
	Configuration    *catalog.Configuration // nil: none is known
	RawConfiguration []byte                 // the configuration as it was announced
	Servers          []catalog.Server
	MissingUntil     map[string]time.Time     // those of the servers that are kept until then although their entry has gone
	Revision         catalog.Revision         // of the store; complete up to it
	Evacuated        map[string]evacuation    // by hall
	Cold             map[string]coldState     // by server; of the others nothing is known
	Rollouts         map[string]rolloutRecord // by service
	Suspects         map[quarantine.Key]quarantine.StoredRecord
	ReportedLeaving  []string         // lifetimes that have said that they leave, whatever their entries say
	ReconcileUntil   time.Time        // until then the store may lack what it had; zero: it has all
	Unverified       []catalog.Server // that a copy names and that are kept back
	serverChanges    changeLog        // of servers
	suspectChanges   changeLog        // of suspects, by their keys' text
}

// storeWatcher is the duty that keeps the view.
type storeWatcher struct {
	gateway       *Gateway
	servers       map[string]catalog.Server
	currentIDs    map[string]string     // the lifetime that is in servers, by the server's name
	missingUntil  map[string]time.Time  // servers kept until then although their entry has gone
	evacuations   map[string]evacuation // that are evacuated
	cold          map[string]coldState  // by server
	serverChanges changeLog
	// What is known of roll-outs, by service; replaced, not changed, since views share it.
	rollouts map[string]rolloutRecord
	// What the store keeps of suspects; replaced, not changed, since views share it.
	suspects        map[quarantine.Key]quarantine.StoredRecord
	suspectsChanged bool // since the latest view
	suspectChanges  changeLog
	tombstones      tombstones
	reconcileUntil  time.Time                 // until then the store may lack what it had; zero: it has all
	unverified      map[string]catalog.Server // that a copy names and that are kept back, by name
	applyTime       time.Time                 // of what is being taken over
	changeRevision  catalog.Revision          // under which changes are logged
	sortedIDs       []string                  // ids of the servers, sorted; nil: to be made anew
	lastFailure     time.Time                 // last failure of the source
	lastQuery       time.Time                 // when the latest call began
	unreachable     bool
	peerViews       chan peerView
	leavingSignal   chan struct{} // a server has said that it leaves
}

// revisionFields writes a revision to the log: its era, and its number as the store calls it.
type revisionFields catalog.Revision

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a revisionFields) MarshalZerologObject(e *zerolog.Event) {
	r := catalog.Revision(a)
	e.Uint64("era", r.Era()).Uint64("revision", r.Number())
}

func newStoreWatcher(g *Gateway) *storeWatcher {
	return &storeWatcher{gateway: g, servers: map[string]catalog.Server{}, currentIDs: map[string]string{}, missingUntil: map[string]time.Time{}, evacuations: map[string]evacuation{}, cold: map[string]coldState{}, tombstones: newTombstones(), unverified: map[string]catalog.Server{}, peerViews: make(chan peerView, 1), leavingSignal: make(chan struct{}, 1)}
}

// sourceResult is the end of one call to the source.
type sourceResult struct {
	since    catalog.Revision // that a watch went on from
	listed   bool
	snapshot Snapshot
	changes  []Change
	revision catalog.Revision
	err      error
}

// run follows the source until ctx ends. Calls run beside it, so that handed-over
// views and ends of grace are taken up while a call waits.
func (f *storeWatcher) run(ctx context.Context) {
	answers := make(chan sourceResult, 1)
	call := func(listed bool) {
		revision := f.gateway.view.Load().Revision
		go func() { answers <- f.call(ctx, listed, revision) }()
	}
	sweep := time.NewTicker(sourceRetryInterval)
	defer sweep.Stop()
	soon := time.NewTimer(time.Hour)
	defer soon.Stop()
	list := true
	next := &list // the call to make, whether to list; nil: one is under way
	soon.Reset(electFirst)
	called := false
	proceed := func(now time.Time) {
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
				<-answers
			}
			return
		case a := <-answers:
			list, wait := f.applyResult(time.Now(), a)
			next = &list
			if !wait {
				soon.Reset(gatherChanges)
			}
		case h := <-f.peerViews:
			f.applyPeerView(time.Now(), h)
			if !called {
				list = false // what was handed over can be watched on from
			}
		case <-f.leavingSignal:
			f.republish()
		case now := <-soon.C:
			proceed(now)
		case now := <-sweep.C:
			f.expireMissing(now)
			f.gateway.suspects.queueDueRewrites(now)
			proceed(now)
		}
	}
}

// shouldQuery tells whether this gateway has to ask the store: it watches for its hall, or
// nobody who does has been heard.
func (f *storeWatcher) shouldQuery(now time.Time) bool {
	g := f.gateway
	age := now.Sub(g.started)
	switch {
	case age < electFirst, f.unreachable && now.Sub(f.lastQuery) < f.retryInterval():
		return false
	case g.watchesStore.Load() || now.Sub(g.confirmedAt()) > confirmationTimeout:
		return true
	case g.options.Source.Era() > g.view.Load().Revision.Era():
		return true // an answer to another call has told that the store has come back from a copy
	default:
		return g.view.Load().Configuration == nil && age > startPatience
	}
}

// retryInterval is the time between tries while the store is out of reach.
func (f *storeWatcher) retryInterval() time.Duration {
	away := time.Duration(f.gateway.hallPeersWithoutStore.Load()) + 1
	return min(max(away/2, 1)*sourceRetryInterval, longestRetry)
}

func (f *storeWatcher) call(ctx context.Context, listed bool, revision catalog.Revision) sourceResult {
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

// applyResult takes an answer over. It returns whether to list next, and whether to wait
// before.
func (f *storeWatcher) applyResult(now time.Time, a sourceResult) (list, wait bool) {
	f.applyTime = now
	known := f.gateway.view.Load().Revision
	switch {
	case errors.Is(a.err, ErrHistoryGone):
		f.gateway.log.Warn().Str("event", "store.history_gone").EmbedObject(revisionFields(known)).Err(a.err).Msg("list again")
		return true, a.listed // a list that is late, or was made while the store came back
	case a.err != nil:
		f.recordFailure(now, a.err)
		return true, true // a watch may have been forgotten; a list tells what there is
	}
	f.recover(now)
	if a.listed {
		return f.takeList(now, known, a.snapshot)
	}
	if a.since.Era() == known.Era() {
		f.gateway.confirm(now)
	}
	// Another gateway may have handed over a newer view while the call was under way.
	if a.since != known {
		return false, false // its changes are older than what is known: watch on from there
	}
	f.applyChanges(now, a.changes, a.revision)
	return false, false
}

// takeList takes over a list, unless more is known.
func (f *storeWatcher) takeList(now time.Time, known catalog.Revision, s Snapshot) (list, wait bool) {
	if s.Revision.Era() == known.Era() {
		f.gateway.confirm(now)
	}
	if s.Revision < known {
		f.gateway.log.Warn().Str("event", "store.list_set_aside").EmbedObject(revisionFields(s.Revision)).Stringer("known", known).Msg("older than what is known: list again")
		return true, true
	}
	if s.Revision.Era() > known.Era() {
		f.enterEra(s.Revision, now.Add(reconcilePeriod))
		f.gateway.confirm(now)
	}
	f.changeRevision = s.Revision
	f.applyListedCold(now, s)
	f.applyListedRollouts(now, s)
	f.serverChanges.reset(s.Revision) // what was between is not known
	f.suspectChanges.reset(s.Revision)
	f.applySnapshot(s, func(id string) { f.removeServer(now, id) })
	return s.Configuration == nil, s.Configuration == nil
}

func (f *storeWatcher) recordFailure(now time.Time, err error) {
	f.lastFailure = now
	if f.reconciling(now) {
		f.reconcileUntil = now.Add(reconcilePeriod) // nobody can write again meanwhile
	}
	for id := range f.missingUntil {
		f.missingUntil[id] = now.Add(reregistrationGrace)
	}
	if !f.unreachable {
		f.unreachable = true
		f.gateway.storeUnreachable.Store(true)
		f.gateway.peers.SendSoon()
		f.gateway.log.Warn().Str("event", "store.lost").Err(err).EmbedObject(revisionFields(f.gateway.view.Load().Revision)).Msg("go on with what is known")
	}
}

func (f *storeWatcher) recover(now time.Time) {
	if f.unreachable {
		f.unreachable = false
		f.gateway.storeUnreachable.Store(false)
		f.gateway.log.Info().Str("event", "store.regained").Dur("away", now.Sub(f.lastFailure)).Msg("follow the store again")
	}
}

// grace tells whether entries that are missing may come back: the store was away a
// moment ago.
func (f *storeWatcher) grace(now time.Time) bool { return now.Sub(f.lastFailure) < reregistrationGrace }

// takeSnapshot takes over all there is; lacking hears of the servers that are no more.
func (f *storeWatcher) applySnapshot(s Snapshot, lacking func(id string)) {
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
			f.handleAbsent(id, lacking)
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
			f.setSuspect(c.Key, c.Kept)
		case SuspectRemoved:
			f.removeSuspect(c.Key)
		}
	}
	f.publish(configuration, raw, revision)
}

// republish makes a new view of what is known besides the store.
func (f *storeWatcher) republish() {
	v := f.gateway.view.Load()
	f.publish(v.Configuration, v.RawConfiguration, v.Revision)
}

// publish makes a new view known. A configuration never steps back.
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
