package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// plainWorld holds what a reference implementation needs to know of plain servers.
type plainWorld struct {
	servers  []catalog.Server
	running  map[string]int
	failures map[string]float64
	served   map[string]float64
}

// choose returns the server that a request goes to without a queue for slots, as of the version
// before there was one: the one with the lowest load, failure rate and distance.
func (w *plainWorld) choose() string {
	p := placement.DefaultPolicy()
	cost := func(s catalog.Server) float64 {
		c := float64(w.running[s.ID]) / float64(max(s.Capacity, 1))
		if rate := w.failures[s.ID] / (w.failures[s.ID] + w.served[s.ID] + 2); rate >= 0.02 {
			c += p.PlainFailureCost * rate
		}
		if s.Hall != "h" {
			c += p.PlainCrossHallCost
		}
		return c
	}
	return slices.MinFunc(w.servers, func(x, y catalog.Server) int { return cmp.Compare(cost(x), cost(y)) }).ID
}

// TestPlainWithoutSlots checks that decisions are as they were if the queue for slots is off, or on
// but a service's servers report no capacity.
func TestPlainWithoutSlots(t *testing.T) {
	for _, test := range []struct {
		name     string
		queue    bool
		capacity func(i int) int
	}{
		{"off", false, func(i int) int { return 1 + i }},
		{"on, no capacity", true, func(int) int { return 0 }},
		{"on, negative capacity", true, func(int) int { return -6 }},
		{"on, one server without capacity", true, func(i int) int { return i }},
	} {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			b := placement.NewBalancer(placement.DefaultPolicy())
			if test.queue {
				b.QueuePlainWork()
			}
			w := &plainWorld{servers: servers(5), running: map[string]int{}, failures: map[string]float64{}, served: map[string]float64{}}
			for i := range w.servers {
				w.servers[i].Capacity = test.capacity(i)
				if i > 2 {
					w.servers[i].Hall = "other"
				}
			}
			b.SetServers(start, w.servers, plain)
			for range 2000 {
				id := w.servers[random.IntN(len(w.servers))].ID
				switch random.IntN(4) {
				case 0:
					b.AddRemoteRunning(id, 1)
					w.running[id]++
				case 1:
					if w.running[id] > 0 {
						b.AddRemoteRunning(id, -1)
						w.running[id]--
					}
				case 2:
					if random.IntN(3) == 0 {
						b.RecordEnd(start, id, false, placement.Failed)
						w.failures[id]++
						break
					}
					b.RecordEnd(start, id, false, placement.Served)
					w.served[id]++
				}
				objective := time.Duration(random.IntN(3)-1) * 100 * time.Millisecond
				d := b.Place(start, &placement.Request{Service: "s", Hall: "h", Objective: objective, Remaining: time.Second, Ahead: random.IntN(3)})
				assign, ok := d.(placement.Assign)
				require.True(t, ok)
				require.Equal(t, w.choose(), assign.Server.ID)
			}
		})
	}
}

// TestPlainSlots checks that requests beyond the slots and a short queue are held, and that the
// queue does not change decisions on engines.
func TestPlainSlots(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	m := b.QueuePlainWork()
	b.SetServers(start, servers(2), plain)
	req := &placement.Request{Service: "s", Hall: "h", Objective: 300 * time.Millisecond, Remaining: time.Second}
	sent := 0
	for ; sent < 100; sent++ {
		assign, ok := b.Place(start, req).(placement.Assign)
		if !ok {
			break
		}
		m.RecordSent(start, uint64(sent+1), "s", assign.Server.ID)
		b.RecordSent(start, assign.Load, true)
	}
	require.Equal(t, 16, sent, "slots and a short queue")
	require.Equal(t, placement.Hold{Reason: placement.NoSlot}, b.Place(start, req))
	late := *req
	late.Objective = -1
	require.IsType(t, placement.Refuse{}, b.Place(start, &late))
	require.True(t, b.WaitsForSlots("i-00"))

	b.SetServers(start, servers(2), engine)
	require.False(t, b.WaitsForSlots("i-00"))
	require.False(t, b.WaitsForSlots("unknown"))
	require.IsType(t, placement.Assign{}, b.Place(start, req))
}

// BenchmarkPlacePlain places requests among full servers.
func BenchmarkPlacePlain(b *testing.B) {
	for _, queue := range []bool{false, true} {
		b.Run(fmt.Sprintf("queue=%t", queue), func(b *testing.B) {
			balancer := placement.NewBalancer(placement.DefaultPolicy())
			if queue {
				balancer.QueuePlainWork().SetActive("s", 2400)
			}
			balancer.SetServers(start, servers(180), plain)
			for _, s := range servers(180) {
				balancer.SetRemoteRunning(s.ID, 8)
				balancer.RecordSent(start, placement.Load{Server: s.ID}, true)
			}
			req := &placement.Request{Service: "s", Hall: "h", Objective: 300 * time.Millisecond, Remaining: time.Second}
			for i := 0; b.Loop(); i++ {
				balancer.Place(start.Add(time.Duration(i)*time.Microsecond), req)
			}
		})
	}
}
