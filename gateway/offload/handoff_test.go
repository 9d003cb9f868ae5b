package offload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/offload"
)

const (
	handoffTimeout = time.Second
	beaconInterval = 250 * time.Millisecond
	many           = 1000 // draws
)

// handoffRegions has three halls of one region, one of another and one whose region is not known.
var handoffRegions = map[string]string{hall: "north", "b": "north", "c": "north", "s": "south"}

// target is a report of a gateway that tells its spare CPU.
func target(address, hall string, cpu, spare int) offload.Gateway {
	return offload.Gateway{Address: address, Hall: hall, MilliCPU: cpu, Spare: spare, TellsSpare: true}
}

// earlier is a report of a gateway of an earlier release.
func earlier(address, hall string, cpu int) offload.Gateway {
	return offload.Gateway{Address: address, Hall: hall, MilliCPU: cpu}
}

func newHandoff(now time.Time, list ...offload.Gateway) *offload.Handoff {
	h := offload.NewHandoff(hall, handoffRegions, handoffTimeout)
	for _, g := range list {
		h.Report(now, g)
	}
	return h
}

// chosen returns the addresses that may be chosen, each from fresh reports, and the choice if there is none.
func chosen(list []offload.Gateway, o offload.ChoiceOptions) (counts map[string]int, none offload.Choice) {
	counts = map[string]int{}
	for i := range many {
		o.Random = float64(i) / many
		c := newHandoff(start, list...).Choose(o)
		if c.Outcome == offload.None {
			return nil, c
		}
		counts[c.Address]++
	}
	return counts, none
}

// TestChoose: connections must go to the own hall first, and to another one only if it is known to have CPU to
// spare, in the same region, not stopping and heard of. A gateway of an earlier release, or whose settings keep
// connections in its hall, takes none of other halls.
func TestChoose(t *testing.T) {
	stopping := func(g offload.Gateway) offload.Gateway {
		g.Readiness = offload.NotReady
		return g
	}
	withdrawn := func(g offload.Gateway) offload.Gateway {
		g.Readiness = offload.Withdrawn
		return g
	}
	tests := []struct {
		name     string
		gateways []offload.Gateway
		age      time.Duration // of the reports
		except   string
		hall     map[string]int // with OtherHalls not set; nil: none
		region   map[string]int // with OtherHalls set
		obstacle offload.Obstacle
	}{
		{"nobody", nil, 0, "", nil, nil, offload.NoGateway},
		{"own hall by CPU share", []offload.Gateway{target("1", hall, 200, 150), target("2", hall, 600, 150), target("3", "b", 800, 800)}, 0, "",
			map[string]int{"1": 250, "2": 750}, map[string]int{"1": 250, "2": 750}, ""},
		{"own hall of an earlier release", []offload.Gateway{earlier("1", hall, 200), earlier("2", hall, 600), target("3", "b", 800, 800)}, 0, "",
			map[string]int{"1": 250, "2": 750}, map[string]int{"1": 250, "2": 750}, ""},
		{"own hall without spare CPU", []offload.Gateway{target("1", hall, 200, 0), target("2", hall, 600, 0), target("3", "b", 800, 800)}, 0, "",
			map[string]int{"1": 250, "2": 750}, map[string]int{"3": many}, ""},
		{"one of the own hall has spare CPU", []offload.Gateway{target("1", hall, 200, 100), target("2", hall, 600, 0), target("3", "b", 800, 800)}, 0, "",
			map[string]int{"1": 250, "2": 750}, map[string]int{"1": many}, ""},
		{"own hall short", []offload.Gateway{target("1", hall, 0, 0), target("3", "b", 800, 300), target("4", "c", 200, 100)}, 0, "",
			nil, map[string]int{"3": 750, "4": 250}, ""},
		{"other halls by spare CPU, not by CPU share", []offload.Gateway{target("3", "b", 800, 100), target("4", "b", 200, 200), target("5", "c", 200, 100)}, 0, "",
			nil, map[string]int{"3": 250, "4": 500, "5": 250}, ""},
		{"a gateway's part is less than a connection", []offload.Gateway{target("3", "b", 800, 10)}, 0, "", nil, nil, offload.NoSpare},
		{"nothing to spare anywhere", []offload.Gateway{target("1", hall, 200, 0), target("3", "b", 800, 0)}, 0, "",
			map[string]int{"1": many}, map[string]int{"1": many}, ""},
		{"other halls are short", []offload.Gateway{target("3", "b", 0, 0)}, 0, "", nil, nil, offload.AllShort},
		{"other halls have nothing to spare", []offload.Gateway{target("1", hall, 0, 0), target("3", "b", 800, 0)}, 0, "", nil, nil, offload.NoSpare},
		{"other hall of an earlier release", []offload.Gateway{earlier("3", "b", 800)}, 0, "", nil, nil, offload.NoSpare},
		{"another region", []offload.Gateway{target("3", "s", 800, 800)}, 0, "", nil, nil, offload.NoGateway},
		{"a hall of unknown region", []offload.Gateway{target("3", "x", 800, 800)}, 0, "", nil, nil, offload.NoGateway},
		{"stopping", []offload.Gateway{stopping(target("3", "b", 800, 800))}, 0, "", nil, nil, offload.NoGateway},
		{"one of two is stopping", []offload.Gateway{stopping(target("3", "b", 800, 800)), target("4", "b", 800, 80)}, 0, "", nil, map[string]int{"4": many}, ""},
		{"withdrawn from the load balancer", []offload.Gateway{withdrawn(target("3", "b", 800, 800))}, 0, "", nil, map[string]int{"3": many}, ""},
		{"the latest reports that count", []offload.Gateway{target("3", "b", 800, 800)}, handoffTimeout - 1, "", nil, map[string]int{"3": many}, ""},
		{"no reports for too long", []offload.Gateway{target("3", "b", 800, 800)}, handoffTimeout, "", nil, nil, offload.NoGateway},
		{"no reports of the own hall for too long", []offload.Gateway{target("1", hall, 800, 800)}, handoffTimeout, "", map[string]int{"1": many}, nil, offload.NoGateway},
		{"one could not be reached", []offload.Gateway{target("3", "b", 800, 800), target("4", "c", 800, 80)}, 0, "3", nil, map[string]int{"4": many}, ""},
		{"the only one could not be reached", []offload.Gateway{target("3", "b", 800, 800)}, 0, "3", nil, nil, offload.NoGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := offload.ChoiceOptions{Now: start.Add(test.age), Except: test.except}
			counts, _ := chosen(test.gateways, o)
			require.Equal(t, test.hall, counts, "hall")
			o.OtherHalls = true
			counts, none := chosen(test.gateways, o)
			require.Equal(t, test.region, counts, "region")
			require.Equal(t, test.obstacle, none.Obstacle)
		})
	}
}

// TestRegionsNotSet: without the regions of the halls, connections must stay in their hall: another one may be in a
// region where they must not be read.
func TestRegionsNotSet(t *testing.T) {
	for _, regions := range []map[string]string{nil, {"b": "north"}, {hall: "north"}} {
		h := offload.NewHandoff(hall, regions, handoffTimeout)
		h.Report(start, target("3", "b", 800, 800))
		o := offload.ChoiceOptions{Now: start, OtherHalls: true}
		require.Equal(t, offload.None, h.Choose(o).Outcome)
		h.Report(start, target("1", hall, 800, 800))
		require.Equal(t, offload.OwnHall, h.Choose(o).Outcome)
	}
}

// TestHandoffBound: whatever a gateway is asked to hand off, other halls must not get more than their spare CPU
// bears, divided among the gateways that hand connections off, and nothing more when reports stop.
func TestHandoffBound(t *testing.T) {
	const cost = 4 * time.Millisecond
	tests := []struct {
		name       string
		spare      int
		short      int // other gateways of the own hall that are short
		elsewhere  int // gateways of the third hall that are short
		lostAfter  time.Duration
		seconds    int
		want, most int
	}{
		{"alone", 400, 0, 0, 0, 10, 900, 1000},
		{"nine senders", 400, 8, 0, 0, 10, 100, 112},
		{"senders in two halls", 400, 4, 5, 0, 10, 90, 100},
		{"little to spare", 16, 7, 0, 0, 10, 4, 6},
		{"nothing to spare", 0, 0, 0, 0, 10, 0, 0},
		{"reports are lost", 400, 0, 0, time.Second, 10, 90, 125},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHandoff(start)
			for i := range test.short {
				h.Report(start, target(fmt.Sprint("a", i), hall, 0, 0))
			}
			for i := range test.elsewhere {
				h.Report(start, target(fmt.Sprint("c", i), "c", 0, 0))
			}
			handed := 0
			length := time.Duration(test.seconds) * time.Second
			for at := time.Duration(0); at < length; at += time.Millisecond {
				now := start.Add(at)
				if at%beaconInterval == 0 && (test.lostAfter == 0 || at < test.lostAfter) {
					h.Report(now, target("1", "b", 800, test.spare))
				}
				for range 3 {
					if h.Choose(offload.ChoiceOptions{Now: now, Random: 0.5, OtherHalls: true}).Outcome == offload.OtherHall {
						handed++
					}
				}
			}
			require.GreaterOrEqual(t, handed, test.want)
			require.LessOrEqual(t, handed, test.most)
			if test.lostAfter == 0 {
				spared := length * time.Duration(test.spare) / 1000 / time.Duration(1+test.short+test.elsewhere)
				require.LessOrEqual(t, time.Duration(handed-1)*cost, spared)
			}
		})
	}
}

// TestHandoffReports: a report that a gateway has become short or stops must take effect at once, and so must the
// loss of a gateway; one that could not be reached gets nothing before it reports again.
func TestHandoffReports(t *testing.T) {
	free := target("3", "b", 800, 800)
	tests := []struct {
		name  string
		event func(h *offload.Handoff, now time.Time)
		taken bool
	}{
		{"nothing happens", func(*offload.Handoff, time.Time) {}, true},
		{"it becomes short", func(h *offload.Handoff, now time.Time) { h.Report(now, target("3", "b", 0, 0)) }, false},
		{"it uses all of its CPU", func(h *offload.Handoff, now time.Time) { h.Report(now, target("3", "b", 800, 0)) }, false},
		{"it stops", func(h *offload.Handoff, now time.Time) {
			g := free
			g.Readiness = offload.NotReady
			h.Report(now, g)
		}, false},
		{"it is lost", func(h *offload.Handoff, _ time.Time) { h.Lost("3") }, false},
		{"it is lost and comes back", func(h *offload.Handoff, now time.Time) { h.Lost("3"); h.Report(now, free) }, true},
		{"it comes back in another region", func(h *offload.Handoff, now time.Time) {
			g := free
			g.Hall = "s"
			h.Report(now, g)
		}, false},
		{"it starts again with an earlier release", func(h *offload.Handoff, now time.Time) { h.Report(now, earlier("3", "b", 800)) }, false},
		{"it cannot be reached", func(h *offload.Handoff, _ time.Time) { h.Failed("3") }, false},
		{"it cannot be reached and reports again", func(h *offload.Handoff, now time.Time) { h.Failed("3"); h.Report(now, free) }, true},
		{"one that is not known is lost and fails", func(h *offload.Handoff, _ time.Time) { h.Lost("9"); h.Failed("9") }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHandoff(start, free)
			now := start.Add(beaconInterval)
			test.event(h, now)
			o := offload.ChoiceOptions{Now: now, OtherHalls: true}
			require.Equal(t, test.taken, h.Obstacle(o) == "")
			c := h.Choose(o)
			require.Equal(t, test.taken, c.Outcome == offload.OtherHall)
			if test.taken {
				require.Equal(t, offload.Choice{Outcome: offload.OtherHall, Address: "3", Hall: "b"}, c)
			}
		})
	}
}

// TestChangedHall guards against a gateway that stands in two halls, or stays in a hall that it has left,
// after it has started again in another one.
func TestChangedHall(t *testing.T) {
	h := newHandoff(start)
	for _, step := range []struct {
		hall string
		want offload.Outcome
	}{{"b", offload.OtherHall}, {hall, offload.OwnHall}, {"b", offload.OtherHall}, {hall, offload.OwnHall}} {
		h.Report(start, target("1", step.hall, 800, 800))
		c := h.Choose(offload.ChoiceOptions{Now: start, OtherHalls: true})
		require.Equal(t, step.want, c.Outcome)
		require.Equal(t, step.hall, c.Hall)
		within := h.Choose(offload.ChoiceOptions{Now: start})
		require.Equal(t, step.hall == hall, within.Outcome == offload.OwnHall)
	}
	h.Lost("1")
	require.Equal(t, offload.None, h.Choose(offload.ChoiceOptions{Now: start, OtherHalls: true}).Outcome)
	require.Equal(t, offload.NoGateway, h.Obstacle(offload.ChoiceOptions{Now: start, OtherHalls: true}))
}

// BenchmarkChoose measures a choice at a gateway whose hall is short, for docs/CAPACITY.md.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{30, 300, 2400} {
		b.Run(fmt.Sprintf("%d gateways", n), func(b *testing.B) {
			h := newHandoff(start)
			for i := range n {
				g := target(fmt.Sprintf("10.0.%d.%d", i/250, i%250), "b", 800, 800)
				if i%3 == 0 {
					g = target(g.Address, hall, 0, 0)
				}
				for range 20 { // the spare CPU accrues
					h.Report(start, g)
				}
			}
			o := offload.ChoiceOptions{Now: start, OtherHalls: true}
			for b.Loop() {
				o.Random += 0.01
				if o.Random >= 1 {
					o.Random = 0
				}
				h.Choose(o)
			}
		})
	}
}
