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
	accountCount = 3
	routerCount  = 2
	serverCount  = 2
	requestCost  = 10
	maxDepth     = 5
)

// world is one state; it is reached by replaying events from the beginning.
type fleetState struct {
	servers [serverCount]server
	hall    *ledger.Hall
	served  map[fair.Account]float64 // in truth, by incarnations that reported it
	starts  int
	waiting [routerCount][accountCount]int // waiting at the routers
}

type server struct {
	scheduler   *dispatch.Scheduler
	tracker     *fair.Tracker
	incarnation string
	grants      []dispatch.Grant
	running     []dispatch.Grant
	unreported  map[fair.Account]float64
}

func newFleetState() *fleetState {
	w := &fleetState{hall: ledger.NewHall(), served: map[fair.Account]float64{}}
	for s := range w.servers {
		w.restart(s)
	}
	return w
}

func (w *fleetState) restart(s int) {
	w.starts++
	w.servers[s] = server{
		scheduler: dispatch.NewScheduler(1), tracker: fair.NewTracker(fair.Options{Slots: 1, DebtCap: 1000}),
		incarnation: fmt.Sprint(w.starts), unreported: map[fair.Account]float64{},
	}
	for r := range routerCount { // the routers connect again and tell their wants
		for a := range accountCount {
			w.sendDemand(s, r, a)
		}
	}
}

func (w *fleetState) sendDemand(s, r, a int) {
	v := &w.servers[s]
	k := dispatch.Class{Account: fair.Account(a), Pool: "p"}
	v.scheduler.SetDemand(fmt.Sprint(r), k, w.waiting[r][a], requestCost)
	if v.scheduler.HasWaiting(k.Account) {
		v.tracker.StartWaiting(k.Account)
	} else {
		v.tracker.StopWaiting(k.Account)
	}
}

// event is one step; it reports false when it cannot happen now.
type fleetEvent struct {
	name string
	do   func(w *fleetState) bool
}

func fleetEvents() []fleetEvent {
	var events []fleetEvent
	add := func(name string, do func(w *fleetState) bool) { events = append(events, fleetEvent{name, do}) }
	for r := range routerCount {
		for a := range accountCount {
			add(fmt.Sprintf("request of %d at router %d", a, r), func(w *fleetState) bool { return w.request(r, a) })
		}
	}
	for s := range serverCount {
		add(fmt.Sprintf("server %d grants", s), func(w *fleetState) bool { return w.grant(s) })
		add(fmt.Sprintf("start at %d", s), func(w *fleetState) bool { return w.start(s) })
		add(fmt.Sprintf("grant of %d lost", s), func(w *fleetState) bool { return w.loseGrant(s) })
		add(fmt.Sprintf("end at %d", s), func(w *fleetState) bool { return w.end(s) })
		add(fmt.Sprintf("report of %d", s), func(w *fleetState) bool { return w.report(s, false) })
		add(fmt.Sprintf("report of %d whose answer is lost", s), func(w *fleetState) bool { return w.report(s, true) })
		add(fmt.Sprintf("server %d restarts", s), func(w *fleetState) bool { w.restart(s); return true })
	}
	return events
}

func (w *fleetState) request(r, a int) bool {
	w.waiting[r][a]++
	for s := range w.servers {
		w.sendDemand(s, r, a)
	}
	return true
}

func (w *fleetState) grant(s int) bool {
	v := &w.servers[s]
	g, ok := v.scheduler.Grant(v.tracker)
	if !ok {
		return false
	}
	v.grants = append(v.grants, g)
	return true
}

// start uses a server's oldest grant, if its router still has a request.
func (w *fleetState) start(s int) bool {
	v := &w.servers[s]
	if len(v.grants) == 0 {
		return false
	}
	g := v.grants[0]
	v.grants = v.grants[1:]
	waiting := &w.waiting[int(g.Router[0]-'0')][g.Class.Account]
	if *waiting == 0 { // another server's grant took it
		v.scheduler.Cancel(g.ID)
		v.tracker.Release(g.Class.Account, g.Estimate)
		return true
	}
	*waiting--
	v.scheduler.StartGranted(g.ID)
	v.running = append(v.running, g)
	return true
}

func (w *fleetState) loseGrant(s int) bool {
	v := &w.servers[s]
	if len(v.grants) == 0 {
		return false
	}
	g := v.grants[0]
	v.grants = v.grants[1:]
	v.scheduler.Cancel(g.ID)
	v.tracker.Release(g.Class.Account, g.Estimate)
	return true
}

func (w *fleetState) end(s int) bool {
	v := &w.servers[s]
	if len(v.running) == 0 {
		return false
	}
	g := v.running[0]
	v.running = v.running[1:]
	v.scheduler.Done()
	v.tracker.Charge(g.Class.Account, requestCost, g.Estimate)
	v.unreported[g.Class.Account] += requestCost
	return true
}

func (w *fleetState) report(s int, lost bool) bool {
	v := &w.servers[s]
	sequence, totals := v.tracker.Report(false)
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
	v.tracker.Merge(sequence, f.Excluding(w.hall.LastReport(fmt.Sprint(s))))
	return true
}

// check holds a state to the invariants.
func (w *fleetState) check(t *testing.T, path []int, events []fleetEvent) {
	fail := func(what string) {
		names := []string{}
		for _, e := range path {
			names = append(names, events[e].name)
		}
		require.Fail(t, what, "after %v", names)
	}
	for s := range w.servers {
		v := &w.servers[s]
		if v.scheduler.Running()+v.scheduler.Granted() > 1 {
			fail("more runs than there are places")
		}
		for a := range accountCount {
			if k := v.tracker.VirtualTime(fair.Account(a)); math.IsNaN(k) || math.IsInf(k, 0) {
				fail("a standing is no number")
			}
		}
		if gap, _ := v.tracker.Gap(); gap > 2*maxDepth*requestCost {
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
func (w *fleetState) checkWorkConservation(t *testing.T) {
	for s := range w.servers {
		v := &w.servers[s]
		idle := v.scheduler.HasFreeSlot() && v.scheduler.Waiting() > 0
		_, granted := v.scheduler.Grant(v.tracker)
		require.Equal(t, idle, granted, "a place idles while a request waits")
	}
}

// TestEverySmallWorld walks every sequence of events to a depth.
func TestExhaustiveSmallFleet(t *testing.T) {
	events := fleetEvents()
	states := 0
	var walk func(path []int)
	walk = func(path []int) {
		w := newFleetState()
		for _, e := range path {
			if !events[e].do(w) {
				return
			}
		}
		states++
		w.check(t, path, events)
		w.checkWorkConservation(t)
		if len(path) == maxDepth {
			return
		}
		for e := range events {
			walk(append(path[:len(path):len(path)], e))
		}
	}
	walk(nil)
	t.Logf("figure small-worlds %d states to depth %d", states, maxDepth)
	require.Greater(t, states, 100_000)
}
