package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/surplus"
)

// These tests guard against two faults: accounts beyond their share were refused although servers
// were idle, and accounts within their share must not be worse off when such servers are used.

// World parameters. The servers read 45 prompt tokens a millisecond each, twice as much as the
// configured rate says, so that half of them are idle when the shares are used up.
const (
	surplusRate      = 320_000 // tokens per second
	surplusGreedy    = 2       // accounts that ask for ten times an even share
	surplusAccounts  = 30
	surplusGateways  = 8
	surplusObjective = time.Second
	surplusStep      = time.Millisecond
	surplusTime      = 22 * time.Second
	surplusWarmup    = 5 * time.Second // one share window and a little more
	loadDelay        = 3 * time.Millisecond
	surplusFailures  = 0.04 // of requests, rejected by their server
	demandDelay      = 250 * time.Millisecond
)

// surplusWorld simulates gateways, model servers and callers in steps.
type surplusWorld struct {
	t        testing.TB
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

	refused       int // requests
	besideIdle    int // of these: beside an idle server, and not capped
	capped        int // of these: their account was far ahead
	samples, idle int // sends, and idle servers at their times
}

// surplusServer is the true state of a model server.
type surplusServer struct {
	busyUntil time.Time
	slowness  float64
}

type surplusAccount struct {
	name      string
	prompt    func(*rand.Rand) int
	shared    int // tokens at the beginning of all its prompts
	priority  int
	perSecond func(at time.Duration) float64
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
	request *placement.Request
	reply   chan placement.Decision
}

// worldOptions describes a world.
type worldOptions struct {
	seed    uint64
	servers int
	idle    bool // package surplus decides
	rate    float64
	long    bool // two more accounts ask for six times an even share, with long prompts
}

func newSurplusWorld(t testing.TB, o worldOptions) *surplusWorld {
	t.Helper()
	w := &surplusWorld{
		t: t, rng: rand.New(rand.NewPCG(o.seed, 6)), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), events: map[time.Time][]func(){},
		servers: map[string]*surplusServer{}, dead: map[*dispatcher]bool{},
	}
	w.started = w.now
	c, err := catalog.NewConfiguration(catalog.Document{
		Version: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 128, KVTokens: 640_000}}},
		Limits: catalog.Limits{TokensPerSecond: o.rate},
	})
	require.NoError(t, err)
	v := &View{Configuration: c}
	for i := range o.servers {
		id := fmt.Sprintf("i-%02d", i)
		w.servers[id] = &surplusServer{slowness: 1 + float64(i%3)*0.5}
		v.Servers = append(v.Servers, catalog.Server{ID: id, Service: "s", Hall: "h"})
	}
	for i := range surplusGateways {
		d := newTestDispatcher(t, w.now, 0)
		d.settings.Features.IdleSurplus, d.settings.Address = onIf(o.idle), fmt.Sprintf("10.0.0.%d", i+1)
		d.setView(w.now, v)
		w.gateways = append(w.gateways, d)
		w.exchange(d, time.Duration(i)*demandDelay/surplusGateways)
		w.scan(d)
	}
	const even = float64(surplusRate) / surplusAccounts
	for i := range surplusAccounts {
		a := &surplusAccount{name: fmt.Sprintf("a-%02d", i)}
		if i < surplusGreedy {
			a.prompt = func(*rand.Rand) int { return 1500 }
			a.shared = 480
			a.perSecond = func(time.Duration) float64 { return 10 * even / 1600 }
		} else if o.long && i < 2*surplusGreedy {
			a.prompt = func(r *rand.Rand) int { return 6000 + r.IntN(4000) }
			a.perSecond = func(time.Duration) float64 { return 6 * even / 8100 }
		} else {
			a.prompt = func(r *rand.Rand) int { return 2000 + r.IntN(8000) }
			a.perSecond = func(at time.Duration) float64 {
				if at/time.Second%2 == 0 {
					return 1.2 * even / 6100
				}
				return 0.2 * even / 6100
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
		Objective: remainingObjective(surplusObjective, spent), FullObjective: surplusObjective, FirstAttempt: c.first, Priority: c.account.priority,
		CallerTimeout: 4 * surplusObjective, Remaining: 10*time.Second - spent,
		Parts: []placement.Part{{Hash: hashString(c.account.name), Tokens: c.account.shared}, {Hash: w.rng.Uint64(), Tokens: c.prompt - c.account.shared}},
	}
	c.request, c.reply = r, make(chan placement.Decision, 1)
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
		switch {
		case r.Surplus.Reason == surplus.Capped:
			w.capped++
		case c.gateway.balancer.HasSuitable(w.now, c.request): // the refusal says so only if the setting is on
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
	if w.rng.Float64() < surplusFailures {
		w.after(20*time.Millisecond, func() {
			if !w.dead[d] {
				d.handle(w.now, attemptEnded{attemptID: a.ID, server: a.Server.ID, end: placement.Rejected})
			}
			w.ask(c)
		})
		return
	}
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
	s.busyUntil = s.busyUntil.Add(time.Duration(s.slowness * float64(a.Load.Work)))
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

// inTime returns the fraction of callers whose first event came within the objective.
func inTime(accounts []*surplusAccount) float64 {
	met, all := 0, 0
	for _, a := range accounts {
		all += len(a.first) + a.failed
		for _, f := range a.first {
			if f <= surplusObjective {
				met++
			}
		}
	}
	return float64(met) / float64(all)
}

// log prints what callers got.
func (w *surplusWorld) log(t *testing.T, name string) {
	groups := [][]*surplusAccount{w.accounts[:surplusGreedy], w.accounts[surplusGreedy : 2*surplusGreedy], w.accounts[2*surplusGreedy:]}
	t.Logf("%s: refused %d, beside idle servers %d, capped %d; idle %.2f; in time %.3f %.3f %.3f; first events of the others %v, %v",
		name, w.refused, w.besideIdle, w.capped, float64(w.idle)/float64(w.samples*len(w.servers)), inTime(groups[0]), inTime(groups[1]), inTime(groups[2]),
		w.firstEvents(groups[2], 0.5), w.firstEvents(groups[2], 0.95))
}

// requireFair checks that of the accounts that got less than they asked for, none got less than half
// of the best.
func (w *surplusWorld) requireFair(t *testing.T) {
	least, most := math.Inf(1), 0.0
	for _, a := range w.accounts {
		if a.served < 0.9*a.asked && a.asked > 0 {
			least, most = min(least, a.served), max(most, a.served)
		}
	}
	require.GreaterOrEqual(t, least, most/2)
}

// TestIdleServersAreUsed: half of the servers are idle and two accounts ask for ten times an even
// share. As soon as a few requests fail, less is admitted than asked for, the two count as ahead of an
// even share, and they were refused whenever their cheapest server was not idle.
func TestIdleServersAreUsed(t *testing.T) {
	t.Parallel()
	const worlds = 4
	type result struct {
		refused, besideIdle    int
		inTimeGreedy, inTime   float64       // means
		firstMedian, firstTail time.Duration // means, of the accounts within their share
	}
	play := func(idle bool) (r result) {
		for seed := range uint64(worlds) {
			w := newSurplusWorld(t, worldOptions{seed: seed, servers: 24, rate: surplusRate, idle: idle})
			w.run(surplusTime)
			w.log(t, fmt.Sprintf("idle %v", idle))
			others := w.accounts[surplusGreedy:]
			r.refused += w.refused
			r.besideIdle += w.besideIdle
			r.inTimeGreedy += inTime(w.accounts[:surplusGreedy]) / worlds
			r.inTime += inTime(others) / worlds
			r.firstMedian += w.firstEvents(others, 0.5) / worlds
			r.firstTail += w.firstEvents(others, 0.95) / worlds
		}
		return r
	}
	before, after := play(false), play(true)
	require.Greater(t, before.refused, 100, "the world must show the fault")
	require.Greater(t, before.besideIdle, before.refused*8/10)
	require.LessOrEqual(t, after.refused, before.refused/10)
	require.GreaterOrEqual(t, after.inTimeGreedy, before.inTimeGreedy)
	require.GreaterOrEqual(t, after.inTime, before.inTime-0.005)
	require.LessOrEqual(t, after.firstMedian, before.firstMedian*11/10)
	require.LessOrEqual(t, after.firstTail, before.firstTail*11/10)
}

// TestSurplusUnderPressure: four accounts ask for twice as much as the servers have left. Refusals beside
// idle servers must be rare, and no backlogged account may fall behind, also when gateways do not
// hear of each other for two seconds and when one dies with its unmet demand.
func TestSurplusUnderPressure(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		halted func(w *surplusWorld)
	}{
		{"nothing fails", func(*surplusWorld) {}},
		{"news is lost for two seconds", func(w *surplusWorld) {
			w.lost = true
			w.after(2*time.Second, func() { w.lost = false })
		}},
		{"a gateway dies", func(w *surplusWorld) {
			dead := w.gateways[1]
			require.NotEmpty(w.t, dead.surplus.OwnDemands(w.now), "it must have unmet demand")
			w.dead[dead] = true
			w.after(time.Second, func() { w.tell(dead, surplusStep, peer.Update{}) }) // the others notice
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newSurplusWorld(t, worldOptions{seed: 1, servers: 14, rate: surplusRate, idle: true, long: true})
			w.run(surplusTime / 2)
			test.halted(w)
			w.run(surplusTime)
			w.log(t, test.name)
			w.requireFair(t)
			require.Less(t, w.besideIdle, w.refused/100)
			require.GreaterOrEqual(t, inTime(w.accounts[2*surplusGreedy:]), 0.85)
			for _, d := range w.gateways {
				if !w.dead[d] {
					require.LessOrEqual(t, len(d.queue.waiters), maxWaiting)
				}
			}
		})
	}
}

// TestUrgentAccountsFirst checks that of two accounts that ask for as much, the one with the lower
// priority number gets more of the surplus, and that the other one is not starved.
func TestUrgentAccountsFirst(t *testing.T) {
	w := newSurplusWorld(t, worldOptions{servers: 10, rate: surplusRate, idle: true})
	for _, a := range w.accounts[1:] {
		a.priority = 1
	}
	w.run(surplusTime)
	w.log(t, "a-00 is urgent")
	t.Logf("in time: urgent %.3f, other %.3f", inTime(w.accounts[:1]), inTime(w.accounts[1:2]))
	require.Greater(t, inTime(w.accounts[:1]), inTime(w.accounts[1:2])+0.05)
	w.requireFair(t)
}

// TestSurplusOff checks that without a token rate, or without the setting, nothing changes, and that
// gateways tell nothing of unmet demand.
func TestSurplusOff(t *testing.T) {
	outcome := func(o worldOptions) (served []float64) {
		w := newSurplusWorld(t, o)
		w.run(surplusWarmup + 4*time.Second)
		for _, a := range w.accounts {
			served = append(served, a.served)
		}
		for _, d := range w.gateways {
			require.Nil(t, d.surplus)
			for _, told := range d.peerState.Load().Demands {
				require.Zero(t, told.Unmet)
			}
		}
		return append(served, float64(w.refused), float64(w.besideIdle), float64(w.firstEvents(w.accounts, 0.5)))
	}
	o := worldOptions{seed: 1, servers: 10, long: true}
	off := outcome(o)
	o.idle = true
	require.Equal(t, off, outcome(o))
}
