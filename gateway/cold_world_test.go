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
	"opalbridge.dev/gateway/warmup"
)

// This file plays small worlds of gateways that hear late, restart and know different
// things, with servers that become cold at any time, and checks after each step how many
// requests a cold server got.

const (
	worldGateways = 3
	simServers    = 2
	simStep       = 250 * time.Millisecond
	worldColdFor  = 3 * time.Second
	// Each server that has started writes its entry once in so many steps.
	worldBeat = 5
	// Each gateway has more requests in a step than a cold server may get.
	worldRequests = 12
)

var worldLimits = warmup.Limits{PerSecond: 7, Factor: 1.5, Extra: 5}

// coldSpan is a time in which a server is cold.
type coldSpan struct {
	server      int
	from, until time.Time
	told        catalog.Revision // revision of the store at which gateways are told; 0: not yet
	written     bool             // the server's entry says so
}

// worldSend is a request that went to a server.
type worldSend struct {
	server, gateway int
	at              time.Time
	knew            map[int]bool // cold spans that its gateway had heard of
}

// simWorld is the store, the servers and the gateways.
type simWorld struct {
	t         *testing.T
	node      *peer.Node
	now       time.Time
	revision  catalog.Revision
	history   []Change // by revision, from 1
	servers   [simServers]catalog.Server
	listed    [simServers]catalog.Server // lifetimes in the entries
	tells     [simServers][]int          // cold spans that the entries tell
	written   [simServers]time.Duration  // coldness in the entries
	present   [simServers]bool           // there is an entry
	evacuated map[string]catalog.Revision
	claims    map[warmup.Claim]string
	spans     []coldSpan
	born      [simServers]int64
	gateways  [worldGateways]*worldGateway
	sends     []worldSend
	starts    int
	parts     int // servers told in handovers
	steps     int
	copies    []worldCopy // of the store, one a step
	again     int         // step at which operators and servers have written again what a copy lacked
	truth     worldCopy   // what they had written when the store came back
}

// worldCopy is what the store holds at a moment.
type worldCopy struct {
	revision  catalog.Revision
	history   []Change
	listed    [simServers]catalog.Server
	tells     [simServers][]int
	written   [simServers]time.Duration
	present   [simServers]bool
	evacuated map[string]catalog.Revision
	claims    map[warmup.Claim]string
}

func (w *simWorld) copy() worldCopy {
	return worldCopy{
		revision: w.revision, history: slices.Clone(w.history), listed: w.listed, tells: w.tells, written: w.written, present: w.present,
		evacuated: maps.Clone(w.evacuated), claims: maps.Clone(w.claims),
	}
}

// Operators and servers have written again after so many steps.
const worldAgain = 8

// comeBack lets the store come back from a copy some steps old. Until operators and servers have
// written again, the copy tells nothing of the servers that live that is not in it.
func (w *simWorld) comeBackFrom(steps int) {
	if w.again == 0 {
		w.truth = w.copy()
	}
	c := w.copies[max(0, len(w.copies)-steps)]
	w.again = w.steps + worldAgain
	w.revision = catalog.NewRevision(w.revision.Era()+1, c.revision.Number())
	w.history, w.evacuated, w.claims = slices.Clone(c.history), maps.Clone(c.evacuated), maps.Clone(c.claims)
	w.listed, w.tells, w.written, w.present = c.listed, c.tells, c.written, c.present
	for n := range w.spans {
		s := &w.spans[n]
		s.written = slices.Contains(c.tells[s.server], n)
		if s.told > c.revision {
			s.told = 0 // it is told anew
		}
	}
	w.copies = nil
}

// writeAgain lets operators and servers write what the copy lacked.
func (w *simWorld) writeAgain() {
	w.again = 0
	for i := range w.servers {
		if w.truth.present[i] {
			w.beat(i)
		}
	}
	for _, s := range w.servers {
		_, was := w.truth.evacuated[s.Hall]
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

// worldGateway is a gateway of the real parts, without network and goroutines.
type worldGateway struct {
	*Gateway
	name  string
	knows map[int]bool // cold spans
}

func newSimWorld(t *testing.T, node *peer.Node) *simWorld {
	w := &simWorld{t: t, node: node, now: time.Now(), evacuated: map[string]catalog.Revision{}, claims: map[warmup.Claim]string{}}
	c, err := catalog.NewConfiguration(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", ColdFor: worldColdFor, ColdPerSecond: worldLimits.PerSecond}}})
	require.NoError(t, err)
	w.write(ConfigurationChanged{Configuration: c})
	for i := range w.gateways {
		w.gateways[i] = w.newGateway()
		w.watchStore(i)
	}
	for i := range w.servers {
		w.servers[i] = catalog.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", Hall: fmt.Sprintf("h%d", i), Capacity: 1000}
	}
	w.beat(0) // the first one is warm, the other one has not started yet
	return w
}

func (w *simWorld) newGateway() *worldGateway {
	w.starts++
	g := &Gateway{log: zerolog.Nop(), peers: w.node, claims: make(chan warmup.Claim, claimQueueSize), started: w.now}
	g.view.Store(&View{})
	g.dispatcher = newDispatcher(zerolog.Nop(), DispatcherOptions{ShareWindow: time.Second, Policy: placement.DefaultPolicy(), ColdLimits: worldLimits, Address: fmt.Sprint(w.starts)}, w.now)
	g.dispatcher.peers, g.dispatcher.claims = w.node, g.claims
	g.suspects = newSuspectTracker(zerolog.Nop(), g.dispatcher.settings.Address, func() int { return worldGateways })
	g.suspects.peers = w.node
	g.signals = newServerSignals()
	g.crashes = newCrashDetector(zerolog.Nop(), g.suspects.serverCrashed)
	g.storeWatcher = newStoreWatcher(g)
	return &worldGateway{Gateway: g, name: fmt.Sprint(w.starts), knows: map[int]bool{}}
}

func (w *simWorld) write(c Change) catalog.Revision {
	w.revision++
	w.history = append(w.history, c)
	return w.revision
}

// cool makes a server cold.
func (w *simWorld) cool(i int) {
	w.spans = append(w.spans, coldSpan{server: i, from: w.now, until: w.now.Add(worldColdFor), told: w.evacuated[w.servers[i].Hall]})
}

// startAgain lets a server start again under its name, while its entry of before is there or
// not. Its start may have a lower figure than the one before. What the lifetime before got
// counts beside what the later one gets.
func (w *simWorld) startAgain(i int) {
	w.born[i] = 1 + (w.born[i]+7)%10
	w.servers[i].ID, w.servers[i].Born = catalog.LifetimeID(w.servers[i].Name(), w.born[i]), w.born[i]
	w.cool(i)
	w.beat(i)
}

// beat lets a server write how long it is still cold.
func (w *simWorld) beat(i int) {
	left := time.Duration(0)
	var tells []int
	for n := range w.spans {
		s := &w.spans[n]
		if s.server != i || !w.now.Before(s.until) {
			continue
		}
		left = max(left, s.until.Sub(w.now))
		s.written = true
		tells = append(tells, n)
		if s.told == 0 {
			s.told = w.revision + 1
		}
	}
	w.listed[i], w.tells[i], w.written[i], w.present[i] = w.servers[i], tells, left, true
	if w.again > 0 {
		w.truth.present[i] = true
	}
	w.write(ServerChanged{Server: w.servers[i], Cold: left})
}

// evacuate evacuates a server's hall; a cold server's gateways hear of it so, too.
func (w *simWorld) evacuate(i int) {
	hall := w.servers[i].Hall
	w.evacuated[hall] = w.write(HallEvacuated{Hall: hall, Revision: w.revision + 1})
	if w.again > 0 {
		w.truth.evacuated[hall] = w.evacuated[hall]
	}
}

// comeBack takes an evacuation back; the server has become cold a moment before.
func (w *simWorld) comeBack(i int) {
	hall := w.servers[i].Hall
	if w.again > 0 {
		delete(w.truth.evacuated, hall)
	}
	if w.evacuated[hall] == 0 {
		return
	}
	w.cool(i)
	delete(w.evacuated, hall)
	w.write(HallEvacuationEnded{Hall: hall})
}

// learn notes which cold spans a gateway has heard of by the changes after a revision: it
// was told in them, or knew that the server's hall was evacuated.
func (w *simWorld) learn(g *worldGateway, since catalog.Revision, halls map[string]evacuation) {
	for n, s := range w.spans {
		heard := s.told > since && s.told <= g.view.Load().Revision
		if heard || s.told != 0 && s.told == halls[w.servers[s.server].Hall].Revision {
			g.knows[n] = true
		}
	}
}

// handleMessages lets the desk take what the follower has told it.
func (g *worldGateway) handleMessages(now time.Time) {
	for {
		select {
		case m := <-g.dispatcher.messages:
			g.dispatcher.handle(now, m)
		default:
			return
		}
	}
}

// watchStore lets a gateway watchStore all that has changed in the store.
func (w *simWorld) watchStore(i int) {
	g := w.gateways[i]
	before := g.view.Load()
	since := before.Revision
	if since.Era() != w.revision.Era() {
		w.list(i) // the history that it goes on from is gone
		return
	}
	g.storeWatcher.applyResult(w.now, sourceResult{since: since, revision: w.revision, changes: w.history[since.Number():]})
	g.handleMessages(w.now)
	w.learn(g, since, before.Evacuated)
}

// list lets a gateway list the store. A list tells of what is, so a gateway learns of a
// cold span only if its server says so now, or its hall is evacuated.
func (w *simWorld) list(i int) {
	g := w.gateways[i]
	s := Snapshot{Configuration: w.history[0].(ConfigurationChanged).Configuration, Revision: w.revision, Evacuated: map[string]catalog.Revision{}, ColdFor: map[string]time.Duration{}}
	for hall, revision := range w.evacuated {
		s.Evacuated[hall] = revision
	}
	for n, server := range w.listed {
		if !w.present[n] {
			continue
		}
		s.Servers = append(s.Servers, server)
		if w.written[n] > 0 {
			s.ColdFor[server.ID] = w.written[n]
		}
	}
	g.storeWatcher.applyResult(w.now, sourceResult{listed: true, snapshot: s})
	g.handleMessages(w.now)
	for n, span := range w.spans {
		if span.written || w.evacuated[w.servers[span.server].Hall] > 0 {
			g.knows[n] = true
		}
	}
}

// handOver gives one gateway the view of another, as it goes over the wire.
func (w *simWorld) handOver(from, to int) {
	f, g := w.gateways[from], w.gateways[to]
	raw, err := f.encodedView(w.now, g.viewQuery())
	require.NoError(w.t, err)
	var d viewDocument
	require.NoError(w.t, json.Unmarshal(raw, &d))
	if d.Revision <= g.view.Load().Revision {
		return
	}
	h := d.peerView(w.now)
	h.from = f.name
	h.snapshot.Configuration = f.view.Load().Configuration
	w.parts += len(d.Servers)
	g.storeWatcher.applyPeerView(w.now, h)
	g.handleMessages(w.now)
	for n := range w.spans {
		if f.knows[n] {
			g.knows[n] = true
		}
	}
}

// serve lets each gateway claim what it would, and send all that it may.
func (w *simWorld) serve() {
	for i, g := range w.gateways {
		g.dispatcher.handle(w.now, requestArrived{service: "s"})
		for range 2 { // the second time for those whose first claim was lost
			g.dispatcher.claim(w.now)
			w.settle(g)
		}
		for s := range w.servers {
			w.send(i, s)
		}
	}
}

// settle writes the claims of a gateway. The answers of some are lost.
func (w *simWorld) settle(g *worldGateway) {
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
			g.dispatcher.handle(w.now, claimMessage{claim: c, outcome: outcome})
		default:
			return
		}
	}
}

// send lets a gateway send as many requests to a server as it would.
func (w *simWorld) send(gateway, server int) {
	g := w.gateways[gateway]
	a := placement.Request{Service: "s"}
	for _, s := range g.view.Load().Servers {
		if s.Name() != w.servers[server].Name() {
			a.Exclude = append(a.Exclude, s.ID)
		}
	}
	for range worldRequests {
		if _, ok := g.dispatcher.decide(w.now, placementRequest{request: &a}).(placement.Assign); !ok {
			return
		}
		knew := map[int]bool{}
		for n := range g.knows {
			knew[n] = true
		}
		w.sends = append(w.sends, worldSend{server: server, gateway: gateway, at: w.now, knew: knew})
	}
}

// check counts what cold servers got in any second from gateways that had heard of it.
func (w *simWorld) check(trace []string) {
	for n, span := range w.spans {
		for _, first := range w.sends {
			if first.server != span.server || first.at.Before(span.from) {
				continue
			}
			count := 0
			for _, s := range w.sends {
				if s.server == span.server && s.knew[n] && s.at.Before(span.until) && !s.at.Before(first.at) && s.at.Sub(first.at) < time.Second {
					count++
				}
			}
			require.LessOrEqual(w.t, count, worldLimits.Allowance(), "span %d of server %d after %v", n, span.server, trace)
		}
	}
}

// simAction is something that may happen.
type simAction struct {
	name string
	do   func(w *simWorld)
}

func simActions() []simAction {
	list := []simAction{{"nothing", func(*simWorld) {}}}
	for i := range worldGateways {
		list = append(list,
			simAction{fmt.Sprintf("gateway %d hears", i), func(w *simWorld) { w.watchStore(i) }},
			simAction{fmt.Sprintf("gateway %d is handed the next one's view", i), func(w *simWorld) { w.handOver((i+1)%worldGateways, i) }},
			simAction{fmt.Sprintf("gateway %d starts again", i), func(w *simWorld) { w.gateways[i] = w.newGateway(); w.list(i) }},
			simAction{fmt.Sprintf("gateway %d lists", i), func(w *simWorld) { w.list(i) }},
		)
	}
	for i := range simServers {
		list = append(list,
			simAction{fmt.Sprintf("server %d becomes cold", i), func(w *simWorld) { w.cool(i); w.beat(i) }},
			simAction{fmt.Sprintf("server %d starts again", i), func(w *simWorld) { w.startAgain(i) }},
			simAction{fmt.Sprintf("hall %d is evacuated", i), func(w *simWorld) { w.evacuate(i) }},
			simAction{fmt.Sprintf("hall %d comes back", i), func(w *simWorld) { w.comeBack(i) }},
		)
	}
	return list
}

// returnActions are those of a store that comes back from a copy.
func returnActions() []simAction {
	var list []simAction
	for _, steps := range []int{1, 4} {
		list = append(list, simAction{fmt.Sprintf("the store comes back from a copy %d steps old", steps), func(w *simWorld) { w.comeBackFrom(steps) }})
	}
	return list
}

func (w *simWorld) play(actions []simAction) {
	var trace []string
	w.copies = append(w.copies, w.copy())
	for n, a := range actions {
		w.steps = n
		a.do(w)
		if w.again > 0 && n >= w.again {
			w.writeAgain()
		}
		for _, g := range w.gateways {
			g.storeWatcher.expireMissing(w.now)
			g.handleMessages(w.now)
		}
		if server := n % worldBeat; server < simServers && w.present[server] {
			w.beat(server)
		}
		w.copies = append(w.copies, w.copy())
		trace = append(trace, a.name)
		w.serve()
		w.now = w.now.Add(simStep)
	}
	w.check(trace)
}

func newPeerNode(t *testing.T) *peer.Node {
	t.Helper()
	n, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", State: func() peer.State { return peer.State{} }})
	require.NoError(t, err)
	return n
}

// TestAllShortWorlds plays all worlds of three steps.
func TestAllShortWorlds(t *testing.T) {
	node, actions := newPeerNode(t), slices.Concat(simActions(), returnActions())
	for _, a := range actions {
		for _, b := range actions {
			for _, c := range actions {
				newSimWorld(t, node).play([]simAction{a, b, c})
			}
		}
	}
}

// TestLongWorldsWithReturns plays worlds of some seconds in which the store comes back from copies.
func TestLongWorldsWithReturns(t *testing.T) {
	const worlds, steps = 2000, 30
	node, actions := newPeerNode(t), slices.Concat(simActions(), returnActions(), returnActions())
	used := 0
	for seed := range uint64(worlds) {
		r := rand.New(rand.NewPCG(seed, 7))
		list := make([]simAction, steps)
		for n := range list {
			list[n] = actions[r.IntN(len(actions))]
		}
		w := newSimWorld(t, node)
		w.play(list)
		for _, s := range w.sends {
			if len(s.knew) > 0 {
				used++
			}
		}
	}
	require.Greater(t, used, worlds, "cold servers got requests")
}

// TestLongWorlds plays worlds of some seconds, drawn by fixed seeds.
func TestLongWorlds(t *testing.T) {
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
		w.play(list)
		cold += len(w.spans)
		for _, s := range w.sends {
			if len(s.knew) > 0 {
				used++
			}
		}
	}
	require.Greater(t, cold, worlds, "servers were cold")
	require.Greater(t, used, worlds, "and got requests")
}
