package dispatch_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/dispatch"
	"opalbridge.dev/fair"
	"opalbridge.dev/ledger"
)

// The small world that is searched: three accounts, two routers, two servers of
// one place each, and a request that costs ten.
const (
	worldAccounts = 3
	worldRouters  = 2
	worldServers  = 2
	worldCost     = 10
	worldDepth    = 5
)

// world is one state; it is reached by replaying events from the beginning.
type world struct {
	servers  [worldServers]server
	hall     *ledger.Hall
	served   map[fair.Account]float64 // in truth, by incarnations that reported it
	starts   int
	requests [worldRouters][worldAccounts]int // waiting at the routers
}

type server struct {
	desk        *dispatch.Desk
	book        *fair.Book
	incarnation string
	grants      []dispatch.Grant
	running     []dispatch.Grant
	unreported  map[fair.Account]float64
}

func newWorld() *world {
	w := &world{hall: ledger.NewHall(), served: map[fair.Account]float64{}}
	for s := range w.servers {
		w.restart(s)
	}
	return w
}

func (w *world) restart(s int) {
	w.starts++
	w.servers[s] = server{
		desk: dispatch.NewDesk(1), book: fair.NewBook(fair.Options{Slots: 1, DebtCap: 1000}),
		incarnation: fmt.Sprint(w.starts), unreported: map[fair.Account]float64{},
	}
	for r := range worldRouters { // the routers connect again and tell their wants
		for a := range worldAccounts {
			w.tell(s, r, a)
		}
	}
}

func (w *world) tell(s, r, a int) {
	v := &w.servers[s]
	k := dispatch.Key{Account: fair.Account(a), Pool: "p"}
	v.desk.SetWant(fmt.Sprint(r), k, w.requests[r][a], worldCost)
	if v.desk.WaitsFor(k.Account) {
		v.book.Arrive(k.Account)
	} else {
		v.book.Leave(k.Account)
	}
}

// event is one step; it reports false when it cannot happen now.
type worldEvent struct {
	name string
	do   func(w *world) bool
}

func worldEvents() []worldEvent {
	var events []worldEvent
	add := func(name string, do func(w *world) bool) { events = append(events, worldEvent{name, do}) }
	for r := range worldRouters {
		for a := range worldAccounts {
			add(fmt.Sprintf("request of %d at router %d", a, r), func(w *world) bool { return w.request(r, a) })
		}
	}
	for s := range worldServers {
		add(fmt.Sprintf("server %d grants", s), func(w *world) bool { return w.grant(s) })
		add(fmt.Sprintf("start at %d", s), func(w *world) bool { return w.start(s) })
		add(fmt.Sprintf("grant of %d lost", s), func(w *world) bool { return w.lose(s) })
		add(fmt.Sprintf("end at %d", s), func(w *world) bool { return w.end(s) })
		add(fmt.Sprintf("report of %d", s), func(w *world) bool { return w.report(s, false) })
		add(fmt.Sprintf("report of %d whose answer is lost", s), func(w *world) bool { return w.report(s, true) })
		add(fmt.Sprintf("server %d restarts", s), func(w *world) bool { w.restart(s); return true })
	}
	return events
}

func (w *world) request(r, a int) bool {
	w.requests[r][a]++
	for s := range w.servers {
		w.tell(s, r, a)
	}
	return true
}

func (w *world) grant(s int) bool {
	v := &w.servers[s]
	g, ok := v.desk.Grant(v.book)
	if !ok {
		return false
	}
	v.grants = append(v.grants, g)
	return true
}

// start uses a server's oldest grant, if its router still has a request.
func (w *world) start(s int) bool {
	v := &w.servers[s]
	if len(v.grants) == 0 {
		return false
	}
	g := v.grants[0]
	v.grants = v.grants[1:]
	waiting := &w.requests[int(g.Router[0]-'0')][g.Key.Account]
	if *waiting == 0 { // another server's grant took it
		v.desk.Cancel(g.ID)
		v.book.Release(g.Key.Account, g.Estimate)
		return true
	}
	*waiting--
	v.desk.Use(g.ID)
	v.running = append(v.running, g)
	return true
}

func (w *world) lose(s int) bool {
	v := &w.servers[s]
	if len(v.grants) == 0 {
		return false
	}
	g := v.grants[0]
	v.grants = v.grants[1:]
	v.desk.Cancel(g.ID)
	v.book.Release(g.Key.Account, g.Estimate)
	return true
}

func (w *world) end(s int) bool {
	v := &w.servers[s]
	if len(v.running) == 0 {
		return false
	}
	g := v.running[0]
	v.running = v.running[1:]
	v.desk.Done()
	v.book.Charge(g.Key.Account, worldCost, g.Estimate)
	v.unreported[g.Key.Account] += worldCost
	return true
}

func (w *world) report(s int, lost bool) bool {
	v := &w.servers[s]
	sequence, totals := v.book.Report(false)
	w.hall.Report(fmt.Sprint(s), v.incarnation, sequence, totals)
	w.hall.Report(fmt.Sprint(s), v.incarnation, sequence, totals) // it arrives twice
	for a, served := range v.unreported {
		w.served[a] += served
	}
	clear(v.unreported)
	if lost {
		return true
	}
	f := ledger.NewFleet()
	f.Merge(ledger.HallSum{Hall: "h", Source: "r", Sequence: 1, Totals: w.hall.Sum()})
	v.book.Merge(sequence, f.Without(w.hall.Own(fmt.Sprint(s))))
	return true
}

// check holds a state to the invariants.
func (w *world) check(t *testing.T, path []int, events []worldEvent) {
	fail := func(what string) {
		names := []string{}
		for _, e := range path {
			names = append(names, events[e].name)
		}
		require.Fail(t, what, "after %v", names)
	}
	for s := range w.servers {
		v := &w.servers[s]
		if v.desk.Running()+v.desk.Granted() > 1 {
			fail("more runs than there are places")
		}
		for a := range worldAccounts {
			if k := v.book.Standing(fair.Account(a)); math.IsNaN(k) || math.IsInf(k, 0) {
				fail("a standing is no number")
			}
		}
		if gap, _ := v.book.Gap(); gap > 2*worldDepth*worldCost {
			fail("a gap larger than all that was ever served and reserved")
		}
	}
	sum := map[fair.Account]float64{}
	for _, total := range w.hall.Sum() {
		sum[total.Account] = total.Service
	}
	for a, served := range w.served {
		if math.Abs(sum[a]-served) > 1e-9 {
			fail("the hall's sum is not what was served")
		}
	}
}

// checkUse holds that a free place and a waiting request make a grant.
func (w *world) checkUse(t *testing.T) {
	for s := range w.servers {
		v := &w.servers[s]
		idle := v.desk.Room() && v.desk.Waiting() > 0
		_, granted := v.desk.Grant(v.book)
		require.Equal(t, idle, granted, "a place idles while a request waits")
	}
}

// TestEverySmallWorld walks every sequence of events to a depth.
func TestEverySmallWorld(t *testing.T) {
	events := worldEvents()
	states := 0
	var walk func(path []int)
	walk = func(path []int) {
		w := newWorld()
		for _, e := range path {
			if !events[e].do(w) {
				return
			}
		}
		states++
		w.check(t, path, events)
		w.checkUse(t)
		if len(path) == worldDepth {
			return
		}
		for e := range events {
			walk(append(path[:len(path):len(path)], e))
		}
	}
	walk(nil)
	t.Logf("figure small-worlds %d states to depth %d", states, worldDepth)
	require.Greater(t, states, 100_000)
}
