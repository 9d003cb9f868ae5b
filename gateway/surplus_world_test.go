package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
)

// These tests guard against two faults: accounts beyond their share were refused although servers
// were idle, and accounts within their share must not be worse off when such servers are used.

// World parameters. The servers read 45 prompt tokens a millisecond each, twice as much as the
// configured rate says, so that half of them are idle when the shares are used up.
const (
	surplusServers   = 12
	surplusRate      = 320_000 // tokens per second
	surplusGreedy    = 2       // accounts that ask for ten times an even share
	surplusAccounts  = 30
	surplusObjective = time.Second
	surplusStep      = time.Millisecond
	surplusTime      = 14 * time.Second
	surplusWarmup    = 5 * time.Second // one share window and a little more
	loadDelay        = 3 * time.Millisecond
	demandDelay      = 250 * time.Millisecond
)

// surplusWorld simulates gateways, model servers and callers in steps.
type surplusWorld struct {
	rng      *rand.Rand
	now      time.Time
	started  time.Time
	gateways []*dispatcher
	dead     map[*dispatcher]bool
	lost     bool // news between gateways is lost
	events   map[time.Time][]func()
	servers  map[string]*surplusServer
	accounts []*surplusAccount
	waiting  []*surplusCall

	refused, besideIdle int
	samples, idle       int
	why                 map[string]int
}

// surplusServer is the true state of a model server.
type surplusServer struct {
	busyUntil time.Time
}

type surplusAccount struct {
	name      string
	prompt    func(*rand.Rand) int
	shared    int // tokens at the beginning of all its prompts
	perSecond func(at time.Duration) float64
	due       float64
	asked     float64         // tokens of distinct requests
	served    float64         // tokens
	first     []time.Duration // from the first attempt to the first event
	failed    int             // callers that gave up
}

type surplusCall struct {
	account *surplusAccount
	prompt  int
	tokens  float64
	first   time.Time
	gateway *dispatcher
	reply   chan placement.Decision
}

func newSurplusWorld(t testing.TB, gateways int, idle bool) *surplusWorld {
	t.Helper()
	w := &surplusWorld{
		rng: rand.New(rand.NewPCG(5, 6)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), events: map[time.Time][]func(){},
		servers: map[string]*surplusServer{}, dead: map[*dispatcher]bool{}, why: map[string]int{},
	}
	w.started = w.now
	c, err := catalog.NewConfiguration(catalog.Document{
		Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 128, KVTokens: 640_000}}},
		Limits: catalog.Limits{TokensPerSecond: surplusRate},
	})
	require.NoError(t, err)
	v := &View{Configuration: c}
	for i := range surplusServers {
		id := fmt.Sprintf("i-%02d", i)
		w.servers[id] = &surplusServer{}
		v.Servers = append(v.Servers, catalog.Server{ID: id, Service: "s", Hall: "h"})
	}
	for i := range gateways {
		d := newTestDispatcher(t, w.now, 0)
		d.settings.Features.IdleSurplus, d.settings.Address = idle, fmt.Sprintf("10.0.0.%d", i+1)
		d.setView(w.now, v)
		w.gateways = append(w.gateways, d)
		w.exchange(d, time.Duration(i)*demandDelay/time.Duration(gateways))
		w.scan(d)
	}
	const even = float64(surplusRate) / surplusAccounts
	for i := range surplusAccounts {
		a := &surplusAccount{name: fmt.Sprintf("a-%02d", i)}
		if i < surplusGreedy {
			a.prompt = func(*rand.Rand) int { return 1500 }
			a.shared = 400
			a.perSecond = func(time.Duration) float64 { return 10 * even / 1600 }
		} else {
			a.prompt = func(r *rand.Rand) int { return 4000 + r.IntN(12000) }
			a.perSecond = func(at time.Duration) float64 {
				if at/time.Second%2 == 0 {
					return 1.2 * even / 10_100
				}
				return 0.2 * even / 10_100
			}
		}
		w.accounts = append(w.accounts, a)
	}
	return w
}

func (w *surplusWorld) after(d time.Duration, f func()) {
	at := w.now.Add(max(d.Round(surplusStep), surplusStep))
	w.events[at] = append(w.events[at], f)
}

// exchange lets a gateway recompute its shares and tell the others of its demands.
func (w *surplusWorld) exchange(d *dispatcher, in time.Duration) {
	w.after(in, func() {
		if w.dead[d] {
			return
		}
		d.updateShares(w.now)
		s := *d.peerState.Load()
		w.tell(d, demandDelay, peer.Update{Alive: true, Full: true, Running: s.Running, Demands: s.Demands, HasDemands: true})
		w.exchange(d, shareInterval)
	})
}

// tell delivers an update to the other gateways.
func (w *surplusWorld) tell(from *dispatcher, delay time.Duration, u peer.Update) {
	if w.lost {
		return
	}
	u.From = from.settings.Address
	w.after(delay, func() {
		for _, d := range w.gateways {
			if d != from && !w.dead[d] {
				d.applyUpdate(w.now, u)
			}
		}
	})
}

func (w *surplusWorld) scan(d *dispatcher) {
	w.after(waitScanInterval, func() {
		if !w.dead[d] {
			d.scanWaiting(w.now)
			w.scan(d)
		}
	})
}

func (w *surplusWorld) run(until time.Duration) {
	for w.now.Sub(w.started) < until {
		w.now = w.now.Add(surplusStep)
		for _, f := range w.events[w.now] {
			f()
		}
		delete(w.events, w.now)
		for _, a := range w.accounts {
			if w.rng.Float64() < a.perSecond(w.now.Sub(w.started))*surplusStep.Seconds() {
				c := &surplusCall{account: a, prompt: a.prompt(w.rng), first: w.now}
				c.tokens = float64(c.prompt + 100)
				if w.measured(c) {
					a.asked += c.tokens
				}
				w.ask(c)
			}
		}
		w.waiting = slices.DeleteFunc(w.waiting, w.settle)
	}
}

// measured reports whether a call counts: it began after the warm-up and has time to end.
func (w *surplusWorld) measured(c *surplusCall) bool {
	at := c.first.Sub(w.started)
	return at > surplusWarmup && at < surplusTime-3*time.Second
}

// ask sends a request to a gateway. Two thirds of the callers reach the first one.
func (w *surplusWorld) ask(c *surplusCall) {
	live := slices.DeleteFunc(slices.Clone(w.gateways), func(d *dispatcher) bool { return w.dead[d] })
	c.gateway = live[0]
	if w.rng.IntN(3) == 0 {
		c.gateway = live[w.rng.IntN(len(live))]
	}
	spent := w.now.Sub(c.first)
	r := &placement.Request{
		Service: "s", Account: c.account.name, Hall: "h", PromptTokens: c.prompt, OutputTokens: 50, TieBreak: w.rng.Uint64(),
		Objective: remainingObjective(surplusObjective, spent), FullObjective: surplusObjective, FirstAttempt: c.first,
		CallerTimeout: 4 * surplusObjective, Remaining: 10*time.Second - spent,
		Parts: []placement.Part{{Hash: hashString(c.account.name), Tokens: c.account.shared}, {Hash: w.rng.Uint64(), Tokens: c.prompt - c.account.shared}},
	}
	c.reply = make(chan placement.Decision, 1)
	c.gateway.handle(w.now, requestArrived{service: "s", account: c.account.name, tokens: c.tokens})
	c.gateway.place(w.now, placementRequest{request: r, tokens: c.tokens, reply: c.reply})
	w.waiting = append(w.waiting, c)
}

// settle acts on a call's decision; it returns false if there is none yet.
func (w *surplusWorld) settle(c *surplusCall) bool {
	if w.dead[c.gateway] {
		w.after(50*time.Millisecond, func() { w.ask(c) }) // the connection breaks
		return true
	}
	select {
	case decision := <-c.reply:
		switch decided := decision.(type) {
		case placement.Assign:
			w.serve(c, decided)
		case placement.Refuse:
			w.refuse(c, decided)
		}
		return true
	default:
		return false
	}
}

func (w *surplusWorld) refuse(c *surplusCall, r placement.Refuse) {
	if w.measured(c) {
		w.refused++
		w.why[fmt.Sprint(r.Reason, "/", r.Surplus.Reason, "/", r.Surplus.Ahead, "/", r.BesideIdle, "/", c.account.name)]++
		if r.BesideIdle {
			w.besideIdle++
		}
	}
	if w.now.Add(r.RetryAfter).Sub(c.first) > 2*time.Second {
		if w.measured(c) {
			c.account.failed++
		}
		return
	}
	w.after(r.RetryAfter, func() { w.ask(c) })
}

// serve runs a request at a server.
func (w *surplusWorld) serve(c *surplusCall, a placement.Assign) {
	d := c.gateway
	w.tell(d, loadDelay, peer.Update{Alive: true, Loads: []peer.Load{{Server: hashString(a.Server.ID), Work: a.Load.Work, Parts: a.Load.Parts, Tokens: a.Load.CacheTokens}}, Running: map[uint64]int{hashString(a.Server.ID): d.running[a.Server.ID]}})
	s := w.servers[a.Server.ID]
	w.samples++
	for _, x := range w.servers {
		if x.busyUntil.Before(w.now) {
			w.idle++
		}
	}
	if s.busyUntil.Before(w.now) {
		s.busyUntil = w.now
	}
	s.busyUntil = s.busyUntil.Add(a.Load.Work)
	first := s.busyUntil.Add(50 * time.Millisecond)
	w.after(first.Sub(w.now), func() {
		if w.measured(c) {
			c.account.served += c.tokens
			c.account.first = append(c.account.first, w.now.Sub(c.first))
		}
		if !w.dead[d] {
			d.handle(w.now, firstEventReceived{attemptID: a.ID, server: a.Server.ID})
		}
	})
	w.after(first.Add(500*time.Millisecond).Sub(w.now), func() {
		if !w.dead[d] {
			d.handle(w.now, attemptEnded{attemptID: a.ID, server: a.Server.ID, end: placement.Served, status: 200})
			w.tell(d, loadDelay, peer.Update{Alive: true, Running: map[uint64]int{hashString(a.Server.ID): d.running[a.Server.ID]}})
		}
	})
}

func (w *surplusWorld) firstEvents(accounts []*surplusAccount, quantile float64) time.Duration {
	var all []time.Duration
	for _, a := range accounts {
		all = append(all, a.first...)
	}
	slices.Sort(all)
	return all[min(int(quantile*float64(len(all))), len(all)-1)]
}

func TestSurplusWorld(t *testing.T) {
	for _, idle := range []bool{false, true} {
		w := newSurplusWorld(t, 4, idle)
		w.run(surplusTime)
		greedy, others := w.accounts[:surplusGreedy], w.accounts[surplusGreedy:]
		var worst float64 = 1
		for _, a := range others {
			worst = min(worst, a.served/a.asked)
		}
		t.Log(w.why, float64(w.idle)/float64(w.samples)/surplusServers)
		t.Logf("idle %v: refused %d, beside idle %d; greedy %.2f %.2f; worst of others %.2f; first events %v %v; others %v %v", idle, w.refused, w.besideIdle,
			greedy[0].served/greedy[0].asked, greedy[1].served/greedy[1].asked, worst,
			w.firstEvents(greedy, 0.5), w.firstEvents(greedy, 0.95), w.firstEvents(others, 0.5), w.firstEvents(others, 0.95))
	}
}
