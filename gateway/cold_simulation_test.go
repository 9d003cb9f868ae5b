package gateway

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/suspect"
	"opalbridge.dev/gateway/warmup"
)

// This file simulates small fleets in which gateways learn of changes late, restart and
// have different views, and servers become cold at any time. It checks how many requests
// cold servers get.

const (
	simGateways = 3
	simServers  = 2
	simStep     = 250 * time.Millisecond
	simColdFor  = 3 * time.Second
	// simEntrySteps is the number of steps between two writes of a server's entry.
	simEntrySteps = 5
	// simRequests is the number of requests of a gateway in a step. It exceeds what a cold
	// server may get.
	simRequests = 12
)

var simLimits = warmup.Limits{PerSecond: 7, Factor: 1.5, Extra: 5}

// coldSpan is a period in which a server is cold.
type coldSpan struct {
	server      int
	from, until time.Time
	announced   catalog.Revision // store revision that announces it to gateways; 0: none yet
	inEntry     bool             // the server's entry reports it
}

// simSend is a request that was sent to a server.
type simSend struct {
	server, gateway int
	at              time.Time
	known           map[int]bool // cold spans known to the gateway
}

// simWorld is a simulated fleet: the store, the servers and the gateways.
type simWorld struct {
	t             *testing.T
	node          *peer.Node
	now           time.Time
	revision      catalog.Revision
	history       []Change // by revision, from 1
	servers       [simServers]catalog.Server
	entries       [simServers]catalog.Server // servers as in the entries
	entrySpans    [simServers][]int          // cold spans that the entries report
	entryCold     [simServers]time.Duration  // cold periods in the entries
	present       [simServers]bool           // whether there is an entry
	evacuated     map[string]catalog.Revision
	claims        map[warmup.Claim]string
	spans         []coldSpan
	born          [simServers]int64
	gateways      [simGateways]*simGateway
	sends         []simSend
	starts        int
	handedServers int // number of servers in handovers
	steps         int
	backups       []storeBackup // backups of the store, one per step
	rewriteAt     int           // step at which operators and servers have written again what a restored backup lacked; 0: none pending
	beforeRestore storeBackup   // store contents before the restore, kept up to date until that step
}

// storeBackup is the contents of the store at some step.
type storeBackup struct {
	revision   catalog.Revision
	history    []Change
	entries    [simServers]catalog.Server
	entrySpans [simServers][]int
	entryCold  [simServers]time.Duration
	present    [simServers]bool
	evacuated  map[string]catalog.Revision
	claims     map[warmup.Claim]string
}

func (w *simWorld) backup() storeBackup {
	return storeBackup{
		revision: w.revision, history: slices.Clone(w.history), entries: w.entries, entrySpans: w.entrySpans, entryCold: w.entryCold, present: w.present,
		evacuated: maps.Clone(w.evacuated), claims: maps.Clone(w.claims),
	}
}

// simRewriteSteps is the number of steps after a restore until operators and servers have
// written again.
const simRewriteSteps = 8

// restoreStore restores the store from a backup that is some steps old. Until operators and
// servers have written again, the store lacks live servers that are not in the backup.
func (w *simWorld) restoreStore(steps int) {
	if w.rewriteAt == 0 {
		w.beforeRestore = w.backup()
	}
	c := w.backups[max(0, len(w.backups)-steps)]
	w.rewriteAt = w.steps + simRewriteSteps
	w.revision = catalog.NewRevision(w.revision.Era()+1, c.revision.Number())
	w.history, w.evacuated, w.claims = slices.Clone(c.history), maps.Clone(c.evacuated), maps.Clone(c.claims)
	w.entries, w.entrySpans, w.entryCold, w.present = c.entries, c.entrySpans, c.entryCold, c.present
	for n := range w.spans {
		s := &w.spans[n]
		s.inEntry = slices.Contains(c.entrySpans[s.server], n)
		if s.announced > c.revision {
			s.announced = 0 // it will be announced again
		}
	}
	w.backups = nil
}

// rewriteLost lets operators and servers write what the backup lacked.
func (w *simWorld) rewriteLost() {
	w.rewriteAt = 0
	for i := range w.servers {
		if w.beforeRestore.present[i] {
			w.writeEntry(i)
		}
	}
	for _, s := range w.servers {
		_, was := w.beforeRestore.evacuated[s.Hall]
		_, is := w.evacuated[s.Hall]
		switch {
		case was && !is:
			w.evacuated[s.Hall] = w.write(HallEvacuated{Hall: s.Hall, Revision: w.revision + 1})
		case is && !was:
			delete(w.evacuated, s.Hall)
			w.write(HallEvacuationEnded{Hall: s.Hall})
		}
	}
}

// simGateway is a gateway made of the real components, without network and goroutines.
type simGateway struct {
	*Gateway
	name  string
	known map[int]bool // cold spans it has learned of
}

func newSimWorld(t *testing.T, node *peer.Node) *simWorld {
	w := &simWorld{t: t, node: node, now: time.Now(), evacuated: map[string]catalog.Revision{}, claims: map[warmup.Claim]string{}}
	c, err := catalog.NewConfiguration(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", ColdFor: simColdFor, ColdPerSecond: simLimits.PerSecond}}})
	require.NoError(t, err)
	w.write(ConfigurationChanged{Configuration: c})
	for i := range w.gateways {
		w.gateways[i] = w.newGateway()
		w.watchStore(i)
	}
	for i := range w.servers {
		w.servers[i] = catalog.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", Hall: fmt.Sprintf("h%d", i), Capacity: 1000}
	}
	w.writeEntry(0) // the first server is warm; the second has not started yet
	return w
}

func (w *simWorld) newGateway() *simGateway {
	w.starts++
	g := &Gateway{log: zerolog.Nop(), peers: w.node, claims: make(chan warmup.Claim, claimQueueSize), started: w.now, origins: newOriginTracker(w.now)}
	g.view.Store(&View{})
	g.dispatcher = newDispatcher(zerolog.Nop(), DispatcherOptions{ShareWindow: time.Second, Policy: placement.DefaultPolicy(), ColdLimits: simLimits, Address: fmt.Sprint(w.starts)}, w.now)
	g.dispatcher.peers, g.dispatcher.claims = w.node, g.claims
	g.suspects = suspect.NewTracker(zerolog.Nop(), g.dispatcher.settings.Address, func() int { return simGateways })
	g.suspects.Peers = w.node
	g.signals = newServerSignals()
	g.crashes = newCrashDetector(zerolog.Nop(), g.suspects.ServerCrashed)
	g.storeWatcher = newStoreWatcher(g)
	return &simGateway{Gateway: g, name: fmt.Sprint(w.starts), known: map[int]bool{}}
}

func (w *simWorld) write(c Change) catalog.Revision {
	w.revision++
	w.history = append(w.history, c)
	return w.revision
}

// makeCold makes a server cold.
func (w *simWorld) makeCold(i int) {
	w.spans = append(w.spans, coldSpan{server: i, from: w.now, until: w.now.Add(simColdFor), announced: w.evacuated[w.servers[i].Hall]})
}

// restartServer restarts a server under the same name, whether or not its previous entry is
// still there. The new start time may be lower than the previous one. Requests to both
// lifetimes count against the limit.
func (w *simWorld) restartServer(i int) {
	w.born[i] = 1 + (w.born[i]+7)%10
	w.servers[i].ID, w.servers[i].Born = catalog.LifetimeID(w.servers[i].Name(), w.born[i]), w.born[i]
	w.makeCold(i)
	w.writeEntry(i)
}

// writeEntry lets a server write for how long it is still cold.
func (w *simWorld) writeEntry(i int) {
	remaining := time.Duration(0)
	var spans []int
	for n := range w.spans {
		s := &w.spans[n]
		if s.server != i || !w.now.Before(s.until) {
			continue
		}
		remaining = max(remaining, s.until.Sub(w.now))
		s.inEntry = true
		spans = append(spans, n)
		if s.announced == 0 {
			s.announced = w.revision + 1
		}
	}
	w.entries[i], w.entrySpans[i], w.entryCold[i], w.present[i] = w.servers[i], spans, remaining, true
	if w.rewriteAt > 0 {
		w.beforeRestore.present[i] = true
	}
	w.write(ServerChanged{Server: w.servers[i], Cold: remaining})
}

// evacuate evacuates a server's hall, which also announces a cold span of the server.
func (w *simWorld) evacuate(i int) {
	hall := w.servers[i].Hall
	w.evacuated[hall] = w.write(HallEvacuated{Hall: hall, Revision: w.revision + 1})
	if w.rewriteAt > 0 {
		w.beforeRestore.evacuated[hall] = w.evacuated[hall]
	}
}

// endEvacuation ends the evacuation of a server's hall just after the server has become
// cold.
func (w *simWorld) endEvacuation(i int) {
	hall := w.servers[i].Hall
	if w.rewriteAt > 0 {
		delete(w.beforeRestore.evacuated, hall)
	}
	if w.evacuated[hall] == 0 {
		return
	}
	w.makeCold(i)
	delete(w.evacuated, hall)
	w.write(HallEvacuationEnded{Hall: hall})
}

// recordKnown records which cold spans a gateway has learned of since a revision: they were
// announced in its changes, or the gateway knew that the server's hall was evacuated.
func (w *simWorld) recordKnown(g *simGateway, since catalog.Revision, halls map[string]evacuation) {
	for n, s := range w.spans {
		heard := s.announced > since && s.announced <= g.view.Load().Revision
		if heard || s.announced != 0 && s.announced == halls[w.servers[s.server].Hall].Revision {
			g.known[n] = true
		}
	}
}

// handleMessages lets the dispatcher handle all queued messages.
func (g *simGateway) handleMessages(now time.Time) {
	for {
		select {
		case m := <-g.dispatcher.messages:
			g.dispatcher.handle(now, m)
		default:
			return
		}
	}
}

// watchStore lets a gateway receive all changes in the store.
func (w *simWorld) watchStore(i int) {
	g := w.gateways[i]
	before := g.view.Load()
	since := before.Revision
	if since.Era() != w.revision.Era() {
		w.listStore(i) // the history it would continue from is gone
		return
	}
	g.storeWatcher.applyResult(w.now, sourceResult{since: since, revision: w.revision, changes: w.history[since.Number():]})
	g.handleMessages(w.now)
	w.recordKnown(g, since, before.Evacuated)
}

// listStore lets a gateway list the store. A list gives only the present state, so the
// gateway learns of a cold span only if the server's entry reports it now or its hall is
// evacuated.
func (w *simWorld) listStore(i int) {
	g := w.gateways[i]
	s := Snapshot{Configuration: w.history[0].(ConfigurationChanged).Configuration, Revision: w.revision, Evacuated: map[string]catalog.Revision{}, ColdFor: map[string]time.Duration{}}
	for hall, revision := range w.evacuated {
		s.Evacuated[hall] = revision
	}
	for n, server := range w.entries {
		if !w.present[n] {
			continue
		}
		s.Servers = append(s.Servers, server)
		if w.entryCold[n] > 0 {
			s.ColdFor[server.ID] = w.entryCold[n]
		}
	}
	g.storeWatcher.applyResult(w.now, sourceResult{listed: true, snapshot: s})
	g.handleMessages(w.now)
	for n, span := range w.spans {
		if span.inEntry || w.evacuated[w.servers[span.server].Hall] > 0 {
			g.known[n] = true
		}
	}
}

// handOver passes the encoded view of one gateway to another.
func (w *simWorld) handOver(from, to int) {
	f, g := w.gateways[from], w.gateways[to]
	raw, err := f.encodedView(w.now, g.viewQuery())
	require.NoError(w.t, err)
	var d viewDocument
	require.NoError(w.t, json.Unmarshal(raw, &d))
	if d.Revision <= g.view.Load().Revision {
		return
	}
	p := d.peerView(w.now)
	p.from = f.name
	p.snapshot.Configuration = f.view.Load().Configuration
	w.handedServers += len(d.Servers)
	g.storeWatcher.applyPeerView(w.now, p)
	g.handleMessages(w.now)
	for n := range w.spans {
		if f.known[n] {
			g.known[n] = true
		}
	}
}

// sendAll lets each gateway claim cold servers and send as many requests as it may.
func (w *simWorld) sendAll() {
	for i, g := range w.gateways {
		g.dispatcher.handle(w.now, requestArrived{service: "s"})
		for range 2 { // a second time for gateways that lost their first claim
			g.dispatcher.queueClaims(w.now)
			w.writeClaims(g)
		}
		for s := range w.servers {
			w.send(i, s)
		}
	}
}

// writeClaims writes the queued claims of a gateway. It reports a claim as lost if the
// store's era has changed.
func (w *simWorld) writeClaims(g *simGateway) {
	for {
		select {
		case c := <-g.claims:
			holder, taken := w.claims[c]
			if !taken {
				w.claims[c] = g.name
				holder = g.name
				w.write(ServerClaimed{Claim: c})
			}
			outcome := warmup.Lost
			if holder == g.name && c.Episode.Era() == w.revision.Era() {
				outcome = warmup.Won
			}
			g.dispatcher.handle(w.now, claimWritten{claim: c, outcome: outcome})
		default:
			return
		}
	}
}

// send lets a gateway send as many requests to a server as it may.
func (w *simWorld) send(gateway, server int) {
	g := w.gateways[gateway]
	a := placement.Request{Service: "s"}
	for _, s := range g.view.Load().Servers {
		if s.Name() != w.servers[server].Name() {
			a.Exclude = append(a.Exclude, s.ID)
		}
	}
	for range simRequests {
		if _, ok := g.dispatcher.decide(w.now, placementRequest{request: &a}).(placement.Assign); !ok {
			return
		}
		known := map[int]bool{}
		for n := range g.known {
			known[n] = true
		}
		w.sends = append(w.sends, simSend{server: server, gateway: gateway, at: w.now, known: known})
	}
}

// checkLimits checks, for each cold span, the requests in any second from gateways that
// knew of it.
func (w *simWorld) checkLimits(trace []string) {
	for n, span := range w.spans {
		for _, first := range w.sends {
			if first.server != span.server || first.at.Before(span.from) {
				continue
			}
			count := 0
			for _, s := range w.sends {
				if s.server == span.server && s.known[n] && s.at.Before(span.until) && !s.at.Before(first.at) && s.at.Sub(first.at) < time.Second {
					count++
				}
			}
			require.LessOrEqual(w.t, count, simLimits.Allowance(), "span %d of server %d after %v", n, span.server, trace)
		}
	}
}

// simAction is a step of a simulation.
type simAction struct {
	name string
	do   func(w *simWorld)
}

func simActions() []simAction {
	list := []simAction{{"no change", func(*simWorld) {}}}
	for i := range simGateways {
		list = append(list,
			simAction{fmt.Sprintf("gateway %d watches the store", i), func(w *simWorld) { w.watchStore(i) }},
			simAction{fmt.Sprintf("gateway %d gets the view of the next one", i), func(w *simWorld) { w.handOver((i+1)%simGateways, i) }},
			simAction{fmt.Sprintf("gateway %d restarts", i), func(w *simWorld) { w.gateways[i] = w.newGateway(); w.listStore(i) }},
			simAction{fmt.Sprintf("gateway %d lists the store", i), func(w *simWorld) { w.listStore(i) }},
		)
	}
	for i := range simServers {
		list = append(list,
			simAction{fmt.Sprintf("server %d becomes cold", i), func(w *simWorld) { w.makeCold(i); w.writeEntry(i) }},
			simAction{fmt.Sprintf("server %d restarts", i), func(w *simWorld) { w.restartServer(i) }},
			simAction{fmt.Sprintf("hall %d is evacuated", i), func(w *simWorld) { w.evacuate(i) }},
			simAction{fmt.Sprintf("hall %d is no longer evacuated", i), func(w *simWorld) { w.endEvacuation(i) }},
		)
	}
	return list
}

// restoreActions returns the actions that restore the store from a backup.
func restoreActions() []simAction {
	var list []simAction
	for _, steps := range []int{1, 4} {
		list = append(list, simAction{fmt.Sprintf("store is restored from a backup %d steps old", steps), func(w *simWorld) { w.restoreStore(steps) }})
	}
	return list
}

func (w *simWorld) run(actions []simAction) {
	var trace []string
	w.backups = append(w.backups, w.backup())
	for n, a := range actions {
		w.steps = n
		a.do(w)
		if w.rewriteAt > 0 && n >= w.rewriteAt {
			w.rewriteLost()
		}
		for _, g := range w.gateways {
			g.storeWatcher.expireMissing(w.now)
			g.handleMessages(w.now)
		}
		if server := n % simEntrySteps; server < simServers && w.present[server] {
			w.writeEntry(server)
		}
		w.backups = append(w.backups, w.backup())
		trace = append(trace, a.name)
		w.sendAll()
		w.now = w.now.Add(simStep)
	}
	w.checkLimits(trace)
}

func newPeerNode(t *testing.T) *peer.Node {
	t.Helper()
	n, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", State: func() peer.State { return peer.State{} }})
	require.NoError(t, err)
	return n
}

// TestColdLimitsInShortRuns runs all simulations of three steps.
func TestColdLimitsInShortRuns(t *testing.T) {
	t.Parallel()
	node, actions := newPeerNode(t), slices.Concat(simActions(), restoreActions())
	for _, a := range actions {
		for _, b := range actions {
			for _, c := range actions {
				newSimWorld(t, node).run([]simAction{a, b, c})
			}
		}
	}
}

// TestColdLimitsWithRestores runs long random simulations in which the store is restored
// from backups.
func TestColdLimitsWithRestores(t *testing.T) {
	t.Parallel()
	const worlds, steps = 2000, 30
	node, actions := newPeerNode(t), slices.Concat(simActions(), restoreActions(), restoreActions())
	used := 0
	for seed := range uint64(worlds) {
		r := rand.New(rand.NewPCG(seed, 7))
		list := make([]simAction, steps)
		for n := range list {
			list[n] = actions[r.IntN(len(actions))]
		}
		w := newSimWorld(t, node)
		w.run(list)
		for _, s := range w.sends {
			if len(s.known) > 0 {
				used++
			}
		}
	}
	require.Greater(t, used, worlds, "cold servers got requests")
}

// TestColdLimitsInLongRuns runs long random simulations with fixed seeds.
func TestColdLimitsInLongRuns(t *testing.T) {
	t.Parallel()
	const worlds, steps = 1000, 30
	node, actions := newPeerNode(t), simActions()
	cold, used := 0, 0
	for seed := range uint64(worlds) {
		r := rand.New(rand.NewPCG(seed, 0))
		list := make([]simAction, steps)
		for n := range list {
			list[n] = actions[r.IntN(len(actions))]
		}
		w := newSimWorld(t, node)
		w.run(list)
		cold += len(w.spans)
		for _, s := range w.sends {
			if len(s.known) > 0 {
				used++
			}
		}
	}
	require.Greater(t, cold, worlds, "servers were cold")
	require.Greater(t, used, worlds, "cold servers got requests")
}
