package budget_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/budget"
)

// These tests play fleets of budgets in simulated time. Callers send requests evenly to the
// gateways that are up; while servers turn requests away, every gateway retries as often as its
// budget lets it. The rule is checked as the fleet's users state it: in any window, servers get
// at most Ratio retries per request and FixedRetries besides, where the requests are those that
// callers sent in that window, in the one before it or in the one half a window before it,
// whichever has most.

const tick = 20 * time.Millisecond

// fleet is a simulated fleet.
type fleet struct {
	limits   budget.Limits
	now      time.Time
	gateways []*member
	rate     float64 // requests that callers send per second
	shedding bool    // servers turn all requests away
	sent     []time.Time
	arrived  []time.Time // of retries at servers
	pending  float64     // fraction of the next request
}

// member is a gateway of a fleet.
type member struct {
	budget      *budget.Budget
	down        bool
	frozen      bool
	noCallers   bool
	knows       int           // gateways, including itself; 0: all
	readsLateBy time.Duration // requests are read so long after they were sent
	onTheWay    bool          // they are late on their way, so the process does not know
	late        time.Duration // how late it last ran when it was late
	lateAt      time.Time
	unread      []time.Time // when requests were sent that it has not read
	cut         bool        // what it sends to servers is held back
	heldBack    int         // retries that have not reached their servers
	orphaned    int         // such retries of processes that have ended
}

func newFleet(gateways int, rate float64, l budget.Limits) *fleet {
	f := &fleet{limits: l, now: start, rate: rate}
	for range gateways {
		f.gateways = append(f.gateways, &member{budget: budget.New(l, f.now)})
	}
	return f
}

// run plays the fleet for d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.sendRequests()
		for _, m := range f.gateways {
			f.step(m)
		}
	}
}

// sendRequests deals the callers' requests to the gateways that have callers.
func (f *fleet) sendRequests() {
	var open []*member
	for _, m := range f.gateways {
		if !m.down && !m.noCallers {
			open = append(open, m)
		}
	}
	f.pending += f.rate * tick.Seconds()
	for ; f.pending >= 1; f.pending-- {
		if len(open) > 0 {
			m := open[len(f.sent)%len(open)]
			m.unread = append(m.unread, f.now)
		}
		f.sent = append(f.sent, f.now)
	}
}

// step lets a gateway read its requests and retry as often as it may.
func (f *fleet) step(m *member) {
	if !m.cut {
		f.arrive(m, m.heldBack)
		f.arrived = append(f.arrived, slices.Repeat([]time.Time{f.now}, m.orphaned)...)
		m.heldBack, m.orphaned = 0, 0
	}
	if m.down || m.frozen {
		return
	}
	for len(m.unread) > 0 && f.now.Sub(m.unread[0]) >= m.readsLateBy {
		m.budget.RecordRequest(f.now, "s", f.lateness(m))
		m.unread = m.unread[1:]
	}
	if !f.shedding {
		return
	}
	for m.budget.Take(f.now, "s", f.known(m)) {
		if m.cut {
			m.heldBack++
			continue
		}
		f.arrive(m, 1)
	}
}

// lateness returns how late the process has run in the last second.
func (f *fleet) lateness(m *member) time.Duration {
	if late := f.now.Sub(m.unread[0]); !m.onTheWay && late > tick {
		m.late, m.lateAt = late, f.now
	}
	if f.now.Sub(m.lateAt) > time.Second {
		return 0
	}
	return m.late
}

// known returns how many gateways a gateway knows.
func (f *fleet) known(m *member) int {
	if m.knows == 0 {
		return len(f.gateways)
	}
	return m.knows
}

// arrive has retries of a gateway reach their servers, which answer at once.
func (f *fleet) arrive(m *member, n int) {
	for range n {
		f.arrived = append(f.arrived, f.now)
		m.budget.Acknowledge("s")
	}
}

// each changes the gateways from the given index to before the other.
func (f *fleet) each(from, to int, change func(m *member)) {
	for _, m := range f.gateways[from:to] {
		change(m)
	}
}

func (f *fleet) all(change func(m *member)) { f.each(0, len(f.gateways), change) }

// kill ends a gateway's process. What it held back is delivered later; it remembers nothing.
func (f *fleet) kill(m *member) {
	m.down, m.unread = true, nil
	m.heldBack, m.orphaned = 0, m.orphaned+m.heldBack
}

// start starts a gateway's process again.
func (f *fleet) start(m *member) {
	m.down, m.budget = false, budget.New(f.limits, f.now)
}

// worst returns the largest number of retries in a window in relation to what the rule allows.
func (f *fleet) worst() float64 {
	worst := 0.0
	for i, from := range f.arrived {
		if i > 0 && from.Equal(f.arrived[i-1]) {
			continue
		}
		retries := countBetween(f.arrived, from, from.Add(f.limits.Window))
		requests := 0
		for _, back := range []time.Duration{0, f.limits.Window / 2, f.limits.Window} {
			requests = max(requests, countBetween(f.sent, from.Add(-back), from.Add(f.limits.Window-back)))
		}
		worst = max(worst, float64(retries)/(f.limits.Ratio*float64(requests)+f.limits.FixedRetries))
	}
	return worst
}

// countBetween counts the sorted times from start to before end.
func countBetween(sorted []time.Time, start, end time.Time) int {
	index := func(at time.Time) int {
		return sort.Search(len(sorted), func(i int) bool { return !sorted[i].Before(at) })
	}
	return index(end) - index(start)
}

// fleetSizes are a large fleet's figures, a tenth of its traffic, and a small fleet's.
var fleetSizes = []struct {
	name     string
	gateways int
	rate     float64
	limits   budget.Limits
	least    float64 // retries in a window that the fleet must be able to use while no gateway fails
}{
	{"thirty gateways", 30, 1140, budget.Limits{Ratio: 0.2, FixedRetries: 100, Window: 10 * time.Second}, 1860},
	{"thirty gateways, a tenth of the traffic", 30, 114, budget.Limits{Ratio: 0.2, FixedRetries: 100, Window: 10 * time.Second}, 210},
	{"five gateways", 5, 242, budget.Limits{Ratio: 0.2, FixedRetries: 56, Window: 10 * time.Second}, 415},
	{"a hundred gateways", 103, 267, budget.Limits{Ratio: 0.2, FixedRetries: 246, Window: 10 * time.Second}, 515},
}

// playWorlds plays worlds on fleets of all sizes and checks the rule.
func playWorlds(t *testing.T, worlds []world) {
	t.Helper()
	for _, size := range fleetSizes {
		for _, w := range worlds {
			t.Run(size.name+"/"+w.name, func(t *testing.T) {
				f := newFleet(size.gateways, size.rate, size.limits)
				f.run(15 * time.Second)
				w.play(f)
				require.Positive(t, len(f.arrived))
				require.LessOrEqual(t, f.worst(), 1.0, "retries in a window, by what is allowed")
			})
		}
	}
}

// world is what happens to a fleet after fifteen seconds in which nothing failed.
type world struct {
	name string
	play func(f *fleet)
}

// TestRestartForgetsSpentRetries: processes that start again and gateways that take over the
// callers of others earn what the ones before them have spent.
func TestRestartForgetsSpentRetries(t *testing.T) {
	playWorlds(t, []world{
		{"nothing fails but servers", func(f *fleet) {
			f.shedding = true
			f.run(25 * time.Second)
		}},
		{"all killed just after a burst", func(f *fleet) {
			f.shedding = true
			f.run(700 * time.Millisecond)
			f.all(f.kill)
			f.run(500 * time.Millisecond)
			f.all(f.start)
			f.run(25 * time.Second)
		}},
		{"all killed every three seconds", func(f *fleet) {
			f.shedding = true
			for range 6 {
				f.run(3 * time.Second)
				f.all(f.kill)
				f.run(200 * time.Millisecond)
				f.all(f.start)
			}
			f.run(10 * time.Second)
		}},
		{"half killed, the others take over", func(f *fleet) {
			f.shedding = true
			f.run(500 * time.Millisecond)
			half := len(f.gateways) / 2
			f.each(0, half, f.kill)
			f.run(8 * time.Second)
			f.each(0, half, f.start)
			f.run(15 * time.Second)
		}},
		{"callers move to the other half", func(f *fleet) {
			half := len(f.gateways) / 2
			f.each(half, len(f.gateways), func(m *member) { m.noCallers = true })
			f.run(15 * time.Second)
			f.shedding = true
			f.run(100 * time.Millisecond)
			f.all(func(m *member) { m.noCallers = !m.noCallers })
			f.shedding = false
			f.run(9500 * time.Millisecond)
			f.shedding = true
			f.run(15 * time.Second)
		}},
		{"traffic comes and goes", func(f *fleet) {
			usual := f.rate
			for range 4 {
				f.rate, f.shedding = usual/10, false
				f.run(6 * time.Second)
				f.rate, f.shedding = 2*usual, true
				f.run(3 * time.Second)
			}
		}},
	})
}

// TestUnknownPeersMultiplyFixedRetries: gateways that do not know of each other each take a
// larger part of the fixed number of retries.
func TestUnknownPeersMultiplyFixedRetries(t *testing.T) {
	know := func(n int) func(m *member) { return func(m *member) { m.knows = n } }
	playWorlds(t, []world{
		{"none knows another for five seconds", func(f *fleet) {
			f.shedding = true
			f.run(5 * time.Second)
			f.all(know(1))
			f.run(5 * time.Second)
			f.all(know(0))
			f.run(15 * time.Second)
		}},
		{"frozen, they take each other for dead when they wake", func(f *fleet) {
			f.shedding = true
			for range 3 {
				f.run(500 * time.Millisecond)
				f.all(func(m *member) { m.frozen = true })
				f.run(1500 * time.Millisecond)
				f.all(func(m *member) { m.frozen, m.knows = false, 1 })
				f.run(100 * time.Millisecond)
				f.all(know(0))
			}
			f.run(10 * time.Second)
		}},
		{"none ever knows another", func(f *fleet) {
			f.all(know(1))
			f.all(f.kill)
			f.run(200 * time.Millisecond)
			f.all(f.start)
			f.run(15 * time.Second)
			f.shedding = true
			f.run(25 * time.Second)
		}},
		{"halls cut from each other, all killed", func(f *fleet) {
			f.all(know((len(f.gateways) + 2) / 3))
			f.all(f.kill)
			f.run(200 * time.Millisecond)
			f.all(f.start)
			f.shedding = true
			f.run(25 * time.Second)
		}},
	})
}

// TestHeldBackRetriesArriveTogether: retries that a cut link or a frozen process holds back
// reach servers together with what is decided after them.
func TestHeldBackRetriesArriveTogether(t *testing.T) {
	cut := func(cut bool) func(m *member) { return func(m *member) { m.cut = cut } }
	playWorlds(t, []world{
		{"links to servers cut for three seconds", func(f *fleet) {
			f.shedding = true
			f.run(5 * time.Second)
			f.all(cut(true))
			f.run(3 * time.Second)
			f.all(cut(false))
			f.run(15 * time.Second)
		}},
		{"cut again and again", func(f *fleet) {
			f.shedding = true
			for range 5 {
				f.all(cut(true))
				f.run(4 * time.Second)
				f.all(cut(false))
				f.run(time.Second)
			}
			f.run(10 * time.Second)
		}},
		{"cut before servers turn requests away, killed meanwhile", func(f *fleet) {
			f.all(cut(true))
			f.shedding = true
			f.run(3 * time.Second)
			f.all(f.kill)
			f.run(300 * time.Millisecond)
			f.all(f.start)
			f.run(2 * time.Second)
			f.all(cut(false))
			f.run(15 * time.Second)
		}},
	})
}

// TestLateRequestsEarnRetries: requests that a starved or frozen gateway reads long after they
// were sent earn retries in a window in which callers did not send them.
func TestLateRequestsEarnRetries(t *testing.T) {
	late := func(by time.Duration) func(m *member) { return func(m *member) { m.readsLateBy = by } }
	playWorlds(t, []world{
		{"frozen for three seconds", func(f *fleet) {
			f.shedding = true
			f.all(func(m *member) { m.frozen = true })
			f.run(3 * time.Second)
			f.all(func(m *member) { m.frozen = false })
			f.run(15 * time.Second)
		}},
		{"starved: four seconds late, then catching up", func(f *fleet) {
			f.all(late(4 * time.Second))
			f.run(10 * time.Second)
			f.shedding = true
			for by := 4 * time.Second; by >= 0; by -= 50 * time.Millisecond {
				f.all(late(by))
				f.run(100 * time.Millisecond)
			}
			f.run(15 * time.Second)
		}},
		{"a second late on the way", func(f *fleet) {
			f.all(func(m *member) { m.readsLateBy, m.onTheWay = time.Second, true })
			f.run(5 * time.Second)
			f.shedding = true
			f.all(late(0))
			f.run(15 * time.Second)
		}},
	})
}

// TestRetriesWhereOnlyServersFail: the bound must not cost retries where no gateway fails.
func TestRetriesWhereOnlyServersFail(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(size.name, func(t *testing.T) {
			f := newFleet(size.gateways, size.rate, size.limits)
			f.run(15 * time.Second)
			f.shedding = true
			f.run(30 * time.Second)
			end := f.now
			perWindow := float64(countBetween(f.arrived, end.Add(-2*size.limits.Window), end)) / 2
			require.GreaterOrEqual(t, perWindow, size.least, "retries in a window")
			t.Logf("%.0f retries in a window, worst window %.2f of what is allowed", perWindow, f.worst())
		})
	}
}

func TestCountBetween(t *testing.T) {
	times := []time.Time{start, start.Add(1), start.Add(1), start.Add(3)}
	require.True(t, slices.IsSortedFunc(times, time.Time.Compare))
	require.Equal(t, 3, countBetween(times, start, start.Add(3)))
	require.Equal(t, 2, countBetween(times, start.Add(1), start.Add(3)))
}

// change is something that happens to some gateways of a random world.
type change struct {
	name string
	do   func(f *fleet, m *member, r *rand.Rand)
}

var changes = []change{
	{"killed", func(f *fleet, m *member, _ *rand.Rand) {
		if !m.down {
			f.kill(m)
		}
	}},
	{"started", func(f *fleet, m *member, _ *rand.Rand) {
		if m.down {
			f.start(m)
		}
	}},
	{"killed and started", func(f *fleet, m *member, _ *rand.Rand) {
		f.kill(m)
		f.start(m)
	}},
	{"frozen", func(_ *fleet, m *member, _ *rand.Rand) { m.frozen = true }},
	{"thawed", func(_ *fleet, m *member, _ *rand.Rand) { m.frozen = false }},
	{"cut", func(_ *fleet, m *member, _ *rand.Rand) { m.cut = true }},
	{"cut ends", func(_ *fleet, m *member, _ *rand.Rand) { m.cut = false }},
	{"knows few", func(f *fleet, m *member, r *rand.Rand) { m.knows = 1 + r.IntN(len(f.gateways)) }},
	{"knows none", func(_ *fleet, m *member, _ *rand.Rand) { m.knows = 1 }},
	{"knows all", func(_ *fleet, m *member, _ *rand.Rand) { m.knows = 0 }},
	{"starved", func(_ *fleet, m *member, r *rand.Rand) {
		m.readsLateBy = time.Duration(r.IntN(4000)) * time.Millisecond
	}},
	{"catches up", func(_ *fleet, m *member, _ *rand.Rand) { m.readsLateBy = 0 }},
	{"callers come or go", func(_ *fleet, m *member, _ *rand.Rand) { m.noCallers = !m.noCallers }},
}

// randomWorld plays thirty seconds of random changes.
func randomWorld(f *fleet, r *rand.Rand) {
	usual := f.rate
	for range 40 {
		f.shedding = r.IntN(5) > 0
		f.rate = usual * (0.2 + 1.6*r.Float64())
		c := changes[r.IntN(len(changes))]
		share := r.Float64()
		if r.IntN(3) == 0 {
			share = 1
		}
		for _, m := range f.gateways {
			if r.Float64() <= share {
				c.do(f, m, r)
			}
		}
		f.run(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
}

// TestRetryBoundInRandomWorlds plays whatever may happen to gateways, in any order.
func TestRetryBoundInRandomWorlds(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(size.name, func(t *testing.T) {
			highest := 0.0
			for seed := range uint64(*worlds) {
				f := newFleet(size.gateways, size.rate, size.limits)
				f.run(15 * time.Second)
				randomWorld(f, rand.New(rand.NewPCG(seed, 0)))
				highest = max(highest, f.worst())
				require.LessOrEqual(t, f.worst(), 1.0, "seed %d: retries in a window, by what is allowed", seed)
			}
			t.Logf("%d worlds: %.2f of what is allowed in the worst window", *worlds, highest)
		})
	}
}

var worlds = flag.Int("worlds", 20, "random worlds that TestRetryBoundInRandomWorlds plays for each fleet")
