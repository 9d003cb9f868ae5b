package suspect

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/quarantine"
)

// A partWorld plays a fleet of gateways whose trackers tell each other of crashes, servers that
// crash under a part of prompts, and sound requests that have all other parts of these prompts,
// without a network.
type partWorld struct {
	partScenario
	random   *rand.Rand
	began    time.Time
	gateways []*worldGateway
	servers  []*worldServer
	store    *sharedSuspects
	mail     []delivery
	requests int
	outcome  worldOutcome
}

// partScenario describes a world.
type partScenario struct {
	name        string
	gateways    int
	servers     int
	perSecond   int                                  // requests with fatal parts
	fatal       [][]string                           // parts of each kind of them, without the last; those that begin with "bad" crash servers
	at          func(n int) int                      // gateway of the n-th such request
	latecomer   string                               // a part that sound requests have only from a second after worldStart on
	repeat      bool                                 // lost requests are sent again at once
	spontaneous time.Duration                        // mean time between two servers that crash by themselves; 0: none do
	hallCrash   time.Duration                        // when a third of the servers crash at the same moment; 0: never
	hallShare   int                                  // one in so many servers crash then; 0: 3
	detection   time.Duration                        // time within which a gateway notices a crash; 0: at once
	wholeFatal  bool                                 // a request that crashes servers as a whole is sent as well
	do          func(w *partWorld, at time.Duration) // called at each step
	answered    bool                                 // requests with the fatal parts are answered until worldStart
	allowed     int                                  // servers that may crash under a part; 0: five
	sound       int                                  // sound requests per second; 0: worldSound
	wholeParts  []string                             // parts of the request that crashes servers whole; nil: those of others
	causes      int                                  // fatal parts in different requests; 0: one
	kills       int                                  // gateways that are killed before they could tell a crash; each may cost a server
}

const (
	worldStep     = 10 * time.Millisecond
	worldDuration = 20 * time.Second
	worldStart    = 2 * time.Second // of requests with fatal parts
	worldSound    = 120             // sound requests per second
	// worldPatience is when the counts of sound requests begin: twice the time in which gateways in
	// touch learn of something, after the fatal requests have begun.
	worldPatience = worldStart + 6*time.Second
)

// worldOutcome counts what happened.
type worldOutcome struct {
	crashes      []time.Duration // under fatal parts
	wholeCrashes int
	arrivals     []time.Duration // of requests with fatal parts at servers
	sound        int             // sound requests after worldPatience
	soundBarred  int             // of them, those that were barred
	barredEver   int             // sound requests that were barred at any time
}

// worldGateway is a gateway of a world.
type worldGateway struct {
	world   *partWorld
	index   int
	tracker *Tracker
	cut     bool // from the other gateways
	stop    context.CancelFunc
	stopped chan struct{}
	seen    map[quarantine.Key]quarantine.StoredRecord
}

// worldServer is a lifetime of a server.
type worldServer struct {
	index    int
	lifetime int
	running  []*worldRequest
	upAt     time.Time
}

func (s *worldServer) id() string { return fmt.Sprintf("i-%d@%d", s.index, s.lifetime) }

// worldRequest is a request at a server.
type worldRequest struct {
	Request
	subjects Subjects
	prompt   []protocol.Part
	gateway  *worldGateway
	begins   time.Time // when the server begins to answer
	ends     time.Time
	fatal    bool
	whole    bool // the request crashes servers as a whole
	repeated bool
}

// delivery is a report on its way to another gateway.
type delivery struct {
	at       time.Time
	from, to int
	update   peer.Update
	crashed  string    // or a server whose crash the gateway detects then
	lost     []Request // its own requests there
}

// PublishCrash implements Publisher.
func (g *worldGateway) PublishCrash(c peer.Crash) { g.publish(peer.Update{Crashes: []peer.Crash{c}}) }

// PublishCleared implements Publisher.
func (g *worldGateway) PublishCleared(c peer.Cleared) {
	g.publish(peer.Update{Cleared: []peer.Cleared{c}})
}

// PublishPartAnswered implements Publisher.
func (g *worldGateway) PublishPartAnswered(k peer.Key) {
	g.publish(peer.Update{PartsAnswered: []peer.Key{k}})
}

func (g *worldGateway) publish(u peer.Update) {
	w := g.world
	for to := range w.gateways {
		if to == g.index || g.cut {
			continue
		}
		for range 2 { // each report is sent twice
			delay := time.Duration(10+w.random.IntN(20)) * time.Millisecond
			w.mail = append(w.mail, delivery{at: time.Now().Add(delay), from: g.index, to: to, update: u})
		}
	}
}

// sharedSuspects is a store of suspects that all gateways of a world use.
type sharedSuspects struct {
	mutex  sync.Mutex
	away   bool
	stored map[quarantine.Key]quarantine.StoredRecord
}

func (s *sharedSuspects) do(change func()) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return context.DeadlineExceeded
	}
	change()
	return nil
}

// Save implements Store.
func (s *sharedSuspects) Save(_ context.Context, k quarantine.Key, known Suspect) error {
	return s.do(func() {
		record := quarantine.StoredRecord{Servers: known.Servers, Simultaneous: known.Simultaneous, Trials: known.Trials, Part: known.Part}
		s.stored[k] = record.Merge(s.stored[k])
	})
}

// Delete implements Store.
func (s *sharedSuspects) Delete(_ context.Context, k quarantine.Key) error {
	return s.do(func() { delete(s.stored, k) })
}

// CountTrial implements Store.
func (s *sharedSuspects) CountTrial(_ context.Context, k quarantine.Key, trials int) (counted bool, err error) {
	err = s.do(func() {
		record, known := s.stored[k]
		if counted = known && record.Trials == trials; counted {
			record.Trials++
			s.stored[k] = record
		}
	})
	return counted, err
}

// snapshot returns what is stored; ok is false while the store is away.
func (s *sharedSuspects) snapshot() (stored map[quarantine.Key]quarantine.StoredRecord, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stored = make(map[quarantine.Key]quarantine.StoredRecord, len(s.stored))
	for k, record := range s.stored {
		stored[k] = record
	}
	return stored, !s.away
}

// startGateway starts a gateway that knows nothing but what the store holds.
func (w *partWorld) startGateway(index int) *worldGateway {
	ctx, stop := context.WithCancel(context.Background())
	g := &worldGateway{world: w, index: index, stop: stop, stopped: make(chan struct{}), seen: map[quarantine.Key]quarantine.StoredRecord{}}
	g.tracker = NewTracker(zerolog.Nop(), fmt.Sprintf("10.0.0.%d", index+1), func() int { return w.partScenario.gateways })
	g.tracker.Peers, g.tracker.Store = g, w.store
	for other := range w.partScenario.gateways {
		g.tracker.SetPeerLive(fmt.Sprintf("10.0.0.%d", other+1), other != index)
	}
	go func() {
		g.tracker.RunWriter(ctx)
		close(g.stopped)
	}()
	return g
}

// kill ends a gateway with the requests that it has sent, and starts another one in its place. With
// silent set, nothing that it has published reaches the others any more.
func (w *partWorld) kill(index int, silent bool) {
	old := w.gateways[index]
	old.stop()
	<-old.stopped
	for _, s := range w.servers {
		s.running = slices.DeleteFunc(s.running, func(r *worldRequest) bool { return r.gateway == old })
	}
	if silent {
		w.mail = slices.DeleteFunc(w.mail, func(d delivery) bool { return d.from == index })
	}
	w.gateways[index] = w.startGateway(index)
}

// killAll kills all gateways.
func (w *partWorld) killAll() {
	for i := range w.gateways {
		w.kill(i, true)
	}
}

// send sends a request through a gateway.
func (w *partWorld) send(g *worldGateway, account string, shared []string, fatal, whole bool, repeats *worldRequest) {
	now := time.Now()
	w.requests++
	r := &worldRequest{gateway: g, fatal: fatal, whole: whole}
	if repeats != nil {
		r.Request, r.subjects, r.prompt, r.repeated = repeats.Request, repeats.subjects, repeats.prompt, true
	} else {
		body := fmt.Sprint("body", w.requests)
		if whole {
			body = "whole"
		}
		for _, p := range append(slices.Clone(shared), body) {
			r.prompt = append(r.prompt, protocol.Part{ID: p, Tokens: 100})
		}
		r.subjects = Subjects{
			Request: quarantine.KeyOf(quarantine.Request{Account: account, Body: []byte(body)}),
			Account: account,
			Parts:   PromptParts("s", "m", r.prompt),
		}
		r.Request = Request{Key: r.subjects.Request, ID: body, Account: account, Parts: r.subjects.Parts}
	}
	sound := !fatal && !whole
	late := sound && now.Sub(w.began) > worldPatience
	if late {
		w.outcome.sound++
	}
	if g.tracker.Bars(r.subjects) {
		if !g.tracker.TrialDue(now, r.subjects) || !g.tracker.ClaimTrial(context.Background(), r.subjects) {
			if sound {
				w.outcome.barredEver++
			}
			if late {
				w.outcome.soundBarred++
			}
			return
		}
	}
	up := slices.DeleteFunc(slices.Clone(w.servers), func(s *worldServer) bool { return now.Before(s.upAt) })
	if len(up) == 0 {
		return
	}
	s := up[w.random.IntN(len(up))]
	r.begins = now.Add(time.Duration(60+w.random.IntN(60)) * time.Millisecond)
	r.ends = r.begins.Add(time.Duration(300+w.random.IntN(1200)) * time.Millisecond)
	s.running = append(s.running, r)
	if fatal {
		w.outcome.arrivals = append(w.outcome.arrivals, now.Sub(w.began))
	}
}

// crash ends a server and reports it to the gateways that had requests there.
func (w *partWorld) crash(s *worldServer) {
	now := time.Now()
	server, lost := s.id(), s.running
	s.running, s.upAt = nil, now.Add(3*time.Second)
	s.lifetime++
	for i, g := range w.gateways {
		var mine []Request
		for _, r := range lost {
			if r.gateway == g {
				r.Responding = now.After(r.begins)
				r.LostAt = now
				mine = append(mine, r.Request)
			}
		}
		if len(mine) > 0 {
			detected := now.Add(time.Duration(w.random.Int64N(int64(max(w.detection, worldStep)))))
			w.mail = append(w.mail, delivery{at: detected, from: i, to: i, crashed: server, lost: mine})
		}
	}
	if !w.repeat {
		return
	}
	for _, r := range lost {
		if !r.repeated && w.random.IntN(2) == 0 {
			w.send(w.gateways[w.random.IntN(len(w.gateways))], r.Account, nil, r.fatal, r.whole, r)
		}
	}
}

// runServers answers requests, or crashes the servers.
func (w *partWorld) runServers() {
	now := time.Now()
	for _, s := range w.servers {
		for _, r := range slices.Clone(s.running) {
			switch {
			case !now.Before(r.begins) && (r.fatal || r.whole):
				if r.fatal {
					w.outcome.crashes = append(w.outcome.crashes, now.Sub(w.began))
				} else {
					w.outcome.wholeCrashes++
				}
				w.crash(s)
			case !now.Before(r.ends):
				s.running = slices.DeleteFunc(s.running, func(o *worldRequest) bool { return o == r })
				r.gateway.tracker.RequestAnswered(now, r.subjects.Request)
				r.gateway.tracker.PartsAnswered(now, "s", "m", r.prompt)
			}
			if len(s.running) == 0 {
				break
			}
		}
		// A gateway takes back what waits at a server once it is quarantined.
		s.running = slices.DeleteFunc(s.running, func(r *worldRequest) bool {
			return now.Before(r.begins) && r.fatal && r.gateway.tracker.Bars(r.subjects)
		})
	}
}

// deliver delivers the reports that are due.
func (w *partWorld) deliver() {
	now := time.Now()
	var due []delivery
	w.mail = slices.DeleteFunc(w.mail, func(d delivery) bool {
		if d.at.After(now) {
			return false
		}
		due = append(due, d)
		return true
	})
	for _, d := range due {
		g := w.gateways[d.to]
		if d.crashed != "" {
			g.tracker.ServerCrashed(now, d.crashed, d.lost)
			continue
		}
		if !g.cut {
			g.tracker.ApplyPeerReports(now, d.update.Crashes, d.update.Cleared)
			g.tracker.ApplyPartsAnswered(d.update.PartsAnswered)
		}
	}
}

// readStore has all gateways apply what the store holds.
func (w *partWorld) readStore() {
	stored, ok := w.store.snapshot()
	if !ok {
		return
	}
	for i, g := range w.gateways {
		g.tracker.ApplyStored(time.Now(), g.seen, stored, i == 0)
		g.seen = stored
	}
}

// sendSound sends the sound requests of a step.
func (w *partWorld) sendSound(count int) {
	for range count {
		account := [...]string{"a", "a", "b"}[w.random.IntN(3)]
		shared := []string{"sys", "tools", fmt.Sprint("conversation", w.random.IntN(40))}
		if w.random.IntN(10) > 0 && len(w.fatal) > 0 {
			// Nine in ten have the other parts of a fatal request.
			shared = slices.DeleteFunc(slices.Clone(w.fatal[w.random.IntN(len(w.fatal))]), func(p string) bool {
				early := time.Since(w.began) < worldStart+time.Second
				return strings.HasPrefix(p, "bad") || early && p == w.latecomer
			})
		}
		if w.wholeParts != nil && time.Since(w.began) > worldPatience && w.random.IntN(20) == 0 {
			account, shared = "b", w.wholeParts
		}
		w.send(w.gateways[w.random.IntN(len(w.gateways))], account, shared, false, false, nil)
	}
}

// sendFatal sends the fatal requests that are due.
func (w *partWorld) sendFatal(at time.Duration, sent *int) {
	if at < worldStart {
		if w.answered && w.random.IntN(20) == 0 {
			w.send(w.gateways[w.random.IntN(len(w.gateways))], "a", w.fatal[0], false, false, nil)
		}
		return
	}
	for ; *sent < int((at-worldStart).Seconds()*float64(w.perSecond)); *sent++ {
		g := w.random.IntN(len(w.gateways))
		if w.at != nil {
			g = w.at(*sent) % len(w.gateways)
		}
		w.send(w.gateways[g], "a", w.fatal[*sent%len(w.fatal)], true, false, nil)
		if w.wholeFatal && *sent%2 == 0 {
			whole := w.wholeParts
			if whole == nil {
				whole = []string{"sys", "tools"}
			}
			w.send(w.gateways[g], "b", whole, false, true, nil)
		}
	}
}

// run plays the world for worldDuration.
func (w *partWorld) run() worldOutcome {
	w.began = time.Now()
	for i := range w.partScenario.servers {
		w.servers = append(w.servers, &worldServer{index: i, lifetime: 1})
	}
	for i := range w.partScenario.gateways {
		w.gateways = append(w.gateways, w.startGateway(i))
	}
	sent, soundSent := 0, 0
	nextCrash := worldStart
	for at := time.Duration(0); at < worldDuration; at = time.Since(w.began) {
		due := int(at.Seconds() * float64(cmp.Or(w.sound, worldSound)))
		w.sendSound(due - soundSent)
		soundSent = due
		w.sendFatal(at, &sent)
		if w.spontaneous > 0 && at > nextCrash {
			nextCrash = at + time.Duration((0.4+1.2*w.random.Float64())*float64(w.spontaneous))
			w.crash(w.servers[w.random.IntN(len(w.servers))])
		}
		if w.hallCrash > 0 && at >= w.hallCrash {
			w.hallCrash = 0
			for _, s := range w.servers[:len(w.servers)/cmp.Or(w.hallShare, 3)] {
				w.crash(s)
			}
		}
		if w.do != nil {
			w.do(w, at)
		}
		w.runServers()
		w.deliver()
		if (at/worldStep)%10 == 0 {
			w.readStore()
		}
		time.Sleep(worldStep)
		synctest.Wait()
	}
	for _, g := range w.gateways {
		g.stop()
		<-g.stopped
	}
	return w.outcome
}

// barredParts returns the parts that gateways quarantine at the end.
func (w *partWorld) barredParts(names ...string) []string {
	var barred []string
	for _, name := range names {
		k := quarantine.KeyOfPart(quarantine.Part{Service: "s", Model: "m", ID: name})
		if slices.ContainsFunc(w.gateways, func(g *worldGateway) bool { return g.tracker.registry.IsQuarantined(k) }) {
			barred = append(barred, name)
		}
	}
	return barred
}

// onceAfter returns a function that calls f once, as soon as so many servers have crashed under
// fatal parts.
func onceAfter(crashes int, f func(w *partWorld)) func(w *partWorld, at time.Duration) {
	done := map[*partWorld]bool{}
	return func(w *partWorld, _ time.Duration) {
		if !done[w] && len(w.outcome.crashes) >= crashes {
			done[w] = true
			f(w)
		}
	}
}

var worldParts = [][]string{{"sys", "bad", "tools"}}

// partScenarios are the worlds in which the rules on parts must hold.
func partScenarios() []partScenario {
	base := partScenario{gateways: 5, servers: 9, perSecond: 8, fatal: worldParts}
	with := func(name string, change func(s *partScenario)) partScenario {
		s := base
		s.name = name
		change(&s)
		return s
	}
	return []partScenario{
		with("eight a second", func(*partScenario) {}),
		with("four a second", func(s *partScenario) { s.perSecond = 4 }),
		with("forty a second", func(s *partScenario) { s.perSecond = 40 }),
		with("at one gateway", func(s *partScenario) { s.at = func(int) int { return 0 } }),
		with("moving from one gateway to the next", func(s *partScenario) { s.at = func(n int) int { return n / 8 } }),
		with("the part first", func(s *partScenario) { s.fatal = [][]string{{"bad", "sys", "tools"}} }),
		with("the part alone", func(s *partScenario) { s.fatal = [][]string{{"bad"}} }),
		with("the part of nine", func(s *partScenario) { s.fatal = [][]string{{"sys", "a", "b", "c", "bad", "d", "e", "f"}} }),
		with("two such parts in one request", func(s *partScenario) { s.fatal = [][]string{{"sys", "bad", "bad2", "tools"}} }),
		with("two such parts in different requests", func(s *partScenario) {
			s.fatal, s.causes = [][]string{{"sys", "bad", "tools"}, {"sys", "tools", "bad2"}}, 2
		}),
		with("a part that only requests with the fatal one have had", func(s *partScenario) { s.fatal, s.latecomer = [][]string{{"sys", "late", "bad"}}, "late" }),
		with("clients that repeat at once", func(s *partScenario) { s.repeat = true }),
		with("a request that crashes servers whole", func(s *partScenario) { s.wholeFatal = true }),
		with("a request that crashes servers whole, with a part that others have later", func(s *partScenario) {
			s.wholeFatal, s.wholeParts = true, []string{"sys", "own conversation"}
		}),
		with("few sound requests", func(s *partScenario) { s.sound = 5 }),
		with("few sound requests, forty fatal ones a second", func(s *partScenario) { s.sound, s.perSecond = 5, 40 }),
		with("servers that crash by themselves", func(s *partScenario) { s.spontaneous = time.Second }),
		with("servers that crash by themselves, clients that repeat", func(s *partScenario) { s.spontaneous, s.repeat = time.Second, true }),
		with("a hall at once", func(s *partScenario) { s.hallCrash = 5 * time.Second }),
		with("a hall at once, no fatal part", func(s *partScenario) { s.hallCrash, s.perSecond = 5*time.Second, 0 }),
		with("a hall at once, as a part is seen for the first time", func(s *partScenario) {
			s.fatal, s.latecomer = [][]string{{"sys", "tools", "late"}}, "late"
			s.hallCrash, s.perSecond = worldStart+time.Second+150*time.Millisecond, 0
		}),
		with("all servers at once, noticed late", func(s *partScenario) {
			s.hallCrash, s.hallShare, s.detection, s.perSecond = 5*time.Second, 1, 1500*time.Millisecond, 0
		}),
		with("a part that was answered before", func(s *partScenario) { s.answered, s.allowed = true, 15 }),
		with("no fatal part", func(s *partScenario) { s.spontaneous, s.perSecond, s.repeat = 500*time.Millisecond, 0, true }),
		with("the store is away", func(s *partScenario) { s.do = onceAfter(1, func(w *partWorld) { w.store.away = true }) }),
		with("gateways are cut from each other", func(s *partScenario) {
			s.do = onceAfter(1, func(w *partWorld) { w.gateways[0].cut, w.gateways[1].cut = true, true })
		}),
		with("all killed after the second crash", func(s *partScenario) { s.do, s.kills = onceAfter(2, (*partWorld).killAll), 2 }),
		with("all killed after the fourth crash", func(s *partScenario) { s.do = onceAfter(4, (*partWorld).killAll) }),
		with("gateways killed before they told", func(s *partScenario) {
			s.do = onceAfter(1, func(w *partWorld) { w.kill(0, true); w.kill(1, true) })
			s.kills = 2
		}),
		with("thirty gateways", func(s *partScenario) { s.gateways, s.servers = 30, 30 }),
	}
}

var partSeeds = flag.Int("part-seeds", 4, "seeds of each world of TestPartWorlds")

// TestPartWorlds checks over many worlds what a fatal part costs: the servers that crash, requests
// that are sent after the news has spread, and sound requests that are barred.
func TestPartWorlds(t *testing.T) {
	for _, s := range partScenarios() {
		t.Run(s.name, func(t *testing.T) {
			worst, late, barred, barredEver, sound := 0, 0, 0, 0, 0
			var costs []int
			lateFrom, lateAllowed := time.Second, 0
			if s.answered {
				lateFrom, lateAllowed = 3*time.Second, 3 // the users' bound, in which gateways learn of something
			}
			for seed := range uint64(*partSeeds) {
				synctest.Test(t, func(t *testing.T) {
					w := &partWorld{partScenario: s, random: rand.New(rand.NewPCG(seed, 3)), store: &sharedSuspects{stored: map[quarantine.Key]quarantine.StoredRecord{}}}
					o := w.run()
					worst = max(worst, len(o.crashes))
					costs = append(costs, len(o.crashes))
					late = max(late, o.lateArrivals(lateFrom))
					barred += o.soundBarred
					barredEver += o.barredEver
					sound += o.sound
					require.Empty(t, w.barredParts("sys", "tools", "a", "b", "c", "d", "e", "f", "late", "own conversation", "conversation0", "conversation7"), "sound parts, seed %d", seed)
				})
			}
			t.Logf("servers crashed by seed: %v", costs)
			t.Logf("figure part-world %q: %d servers at most, %d requests late in one play, %d of %d sound ones barred, %d at any time", s.name, worst, late, barred, sound, barredEver)
			allowed := cmp.Or(s.allowed, 5)
			require.LessOrEqual(t, worst, allowed*max(s.causes, 1)+s.kills, "servers that crash under a part")
			require.LessOrEqual(t, late, lateAllowed, "requests with the part that reach servers after the news has spread")
			require.LessOrEqual(t, float64(barred), 0.05*float64(sound), "sound requests that are barred")
		})
	}
}

// lateArrivals counts the fatal requests that reached servers later than this after the fifth crash,
// or the last one if there were fewer.
func (o worldOutcome) lateArrivals(after time.Duration) int {
	if len(o.crashes) == 0 {
		return 0
	}
	known := o.crashes[min(len(o.crashes), 5)-1] + after
	n := 0
	for _, at := range o.arrivals {
		if at > known {
			n++
		}
	}
	return n
}
