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

// Parameters of the fleet whose states are enumerated. Each server has one slot.
const (
	accountCount = 3
	routerCount  = 2
	serverCount  = 2
	requestCost  = 10
	maxDepth     = 5
)

// fleetState is one state of the fleet. It is reached by replaying events from the
// initial state.
type fleetState struct {
	servers [serverCount]server
	hall    *ledger.Hall
	served  map[fair.Account]float64 // actual service that was reported, by account
	starts  int
	waiting [routerCount][accountCount]int // waiting at the routers
}

// server is one server with the state of its agent.
type server struct {
	scheduler   *dispatch.Scheduler
	tracker     *fair.Tracker
	incarnation string
	grants      []dispatch.Grant
	running     []dispatch.Grant
	unreported  map[fair.Account]float64
}

func newFleetState() *fleetState {
	f := &fleetState{hall: ledger.NewHall(), served: map[fair.Account]float64{}}
	for s := range f.servers {
		f.restart(s)
	}
	return f
}

func (f *fleetState) restart(s int) {
	f.starts++
	f.servers[s] = server{
		scheduler: dispatch.NewScheduler(1), tracker: fair.NewTracker(fair.Options{Slots: 1, DebtCap: 1000}),
		incarnation: fmt.Sprint(f.starts), unreported: map[fair.Account]float64{},
	}
	for r := range routerCount { // the routers reconnect and send their demands
		for a := range accountCount {
			f.sendDemand(s, r, a)
		}
	}
}

func (f *fleetState) sendDemand(s, r, a int) {
	sv := &f.servers[s]
	k := dispatch.Class{Account: fair.Account(a), Pool: "p"}
	sv.scheduler.SetDemand(fmt.Sprint(r), k, f.waiting[r][a], requestCost)
	if sv.scheduler.HasWaiting(k.Account) {
		sv.tracker.StartWaiting(k.Account)
	} else {
		sv.tracker.StopWaiting(k.Account)
	}
}

// fleetEvent is one transition. Its function returns false if the event is not
// possible in the state.
type fleetEvent struct {
	name string
	do   func(f *fleetState) bool
}

func fleetEvents() []fleetEvent {
	var events []fleetEvent
	add := func(name string, do func(f *fleetState) bool) { events = append(events, fleetEvent{name, do}) }
	for r := range routerCount {
		for a := range accountCount {
			add(fmt.Sprintf("request of account %d at router %d", a, r), func(f *fleetState) bool { return f.request(r, a) })
		}
	}
	for s := range serverCount {
		add(fmt.Sprintf("server %d grants", s), func(f *fleetState) bool { return f.grant(s) })
		add(fmt.Sprintf("server %d starts a granted request", s), func(f *fleetState) bool { return f.start(s) })
		add(fmt.Sprintf("grant of server %d is lost", s), func(f *fleetState) bool { return f.loseGrant(s) })
		add(fmt.Sprintf("server %d ends a request", s), func(f *fleetState) bool { return f.end(s) })
		add(fmt.Sprintf("server %d reports", s), func(f *fleetState) bool { return f.report(s, false) })
		add(fmt.Sprintf("server %d reports and the answer is lost", s), func(f *fleetState) bool { return f.report(s, true) })
		add(fmt.Sprintf("server %d restarts", s), func(f *fleetState) bool { f.restart(s); return true })
	}
	return events
}

func (f *fleetState) request(r, a int) bool {
	f.waiting[r][a]++
	for s := range f.servers {
		f.sendDemand(s, r, a)
	}
	return true
}

func (f *fleetState) grant(s int) bool {
	sv := &f.servers[s]
	g, ok := sv.scheduler.Grant(sv.tracker)
	if !ok {
		return false
	}
	sv.grants = append(sv.grants, g)
	return true
}

// start uses a server's oldest grant, or cancels it if the router has no request left.
func (f *fleetState) start(s int) bool {
	sv := &f.servers[s]
	if len(sv.grants) == 0 {
		return false
	}
	g := sv.grants[0]
	sv.grants = sv.grants[1:]
	waiting := &f.waiting[int(g.Router[0]-'0')][g.Class.Account]
	if *waiting == 0 { // it was started with another server's grant
		sv.scheduler.Cancel(g.ID)
		sv.tracker.Release(g.Class.Account, g.Estimate)
		return true
	}
	*waiting--
	sv.scheduler.StartGranted(g.ID)
	sv.running = append(sv.running, g)
	return true
}

func (f *fleetState) loseGrant(s int) bool {
	sv := &f.servers[s]
	if len(sv.grants) == 0 {
		return false
	}
	g := sv.grants[0]
	sv.grants = sv.grants[1:]
	sv.scheduler.Cancel(g.ID)
	sv.tracker.Release(g.Class.Account, g.Estimate)
	return true
}

func (f *fleetState) end(s int) bool {
	sv := &f.servers[s]
	if len(sv.running) == 0 {
		return false
	}
	g := sv.running[0]
	sv.running = sv.running[1:]
	sv.scheduler.Done()
	sv.tracker.Charge(g.Class.Account, requestCost, g.Estimate)
	sv.unreported[g.Class.Account] += requestCost
	return true
}

func (f *fleetState) report(s int, lost bool) bool {
	sv := &f.servers[s]
	sequence, totals := sv.tracker.Report(false)
	f.hall.Report(fmt.Sprint(s), sv.incarnation, sequence, totals)
	f.hall.Report(fmt.Sprint(s), sv.incarnation, sequence, totals) // a duplicated message
	for a, served := range sv.unreported {
		f.served[a] += served
	}
	clear(sv.unreported)
	if lost {
		return true
	}
	fleet := ledger.NewFleet()
	fleet.Merge(ledger.HallSum{Hall: "h", Source: "r", Sequence: 1, Totals: f.hall.Sum()})
	sv.tracker.Merge(sequence, fleet.Excluding(f.hall.LastReport(fmt.Sprint(s))))
	return true
}

// check verifies the invariants of a state.
func (f *fleetState) check(t *testing.T, path []int, events []fleetEvent) {
	fail := func(message string) {
		names := []string{}
		for _, e := range path {
			names = append(names, events[e].name)
		}
		require.Fail(t, message, "after %v", names)
	}
	for s := range f.servers {
		sv := &f.servers[s]
		if sv.scheduler.Running()+sv.scheduler.Granted() > 1 {
			fail("more running and granted requests than slots")
		}
		for a := range accountCount {
			if k := sv.tracker.VirtualTime(fair.Account(a)); math.IsNaN(k) || math.IsInf(k, 0) {
				fail("a virtual time is not finite")
			}
		}
		if gap, _ := sv.tracker.Gap(); gap > 2*maxDepth*requestCost {
			fail("a gap larger than everything served and reserved")
		}
	}
	sum := map[fair.Account]float64{}
	for _, total := range f.hall.Sum() {
		sum[total.Account] = total.Service
	}
	for a, served := range f.served {
		if math.Abs(sum[a]-served) > 1e-9 {
			fail("the sum of the hall differs from the reported service")
		}
	}
}

// checkWorkConservation verifies that a server with a free slot and a waiting request
// grants it.
func (f *fleetState) checkWorkConservation(t *testing.T) {
	for s := range f.servers {
		sv := &f.servers[s]
		grantable := sv.scheduler.HasFreeSlot() && sv.scheduler.Waiting() > 0
		_, granted := sv.scheduler.Grant(sv.tracker)
		require.Equal(t, grantable, granted, "a slot is granted if and only if one is free and a request waits")
	}
}

// TestExhaustiveSmallFleet enumerates every sequence of events up to a depth and
// verifies the invariants in each state.
func TestExhaustiveSmallFleet(t *testing.T) {
	events := fleetEvents()
	states := 0
	var walk func(path []int)
	walk = func(path []int) {
		f := newFleetState()
		for _, e := range path {
			if !events[e].do(f) {
				return
			}
		}
		states++
		f.check(t, path, events)
		f.checkWorkConservation(t)
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
