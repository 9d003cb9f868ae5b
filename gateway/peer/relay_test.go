package peer_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/peer/peerpb"
)

// joinHalls starts count halls with the given number of nodes each, and waits until all nodes
// know each other.
func joinHalls(t *testing.T, count, each int) []*member {
	t.Helper()
	port := freePort(t)
	var members []*member
	for n := range count * each {
		hall := fmt.Sprintf("hall-%d", n%count)
		members = append(members, joinHall(t, port, n+1, hall, peer.State{Weight: 100 + n/count, StoreRevision: catalog.Revision(n + 1)}, "127.0.0.1"))
	}
	for i, m := range members {
		eventually(t, fmt.Sprintf("node %d knows all others", i+1), func() bool { return m.livePeers() == len(members)-1 })
	}
	time.Sleep(300 * time.Millisecond) // one heartbeat, so that all know all halls
	return members
}

// TestLoadsReachAllHalls checks that loads reach every node once and soon, although no node
// sends to all others, together with the fields that only full beacons carry.
func TestLoadsReachAllHalls(t *testing.T) {
	members := joinHalls(t, 3, 5)
	began := time.Now()
	for n, m := range members {
		m.node.PublishLoad(peer.Load{Server: uint64(n + 1), Work: time.Millisecond})
	}
	for i, m := range members {
		for n := range members {
			if i == n {
				continue
			}
			from := fmt.Sprintf("127.0.0.%d", n+1)
			eventually(t, fmt.Sprintf("node %d receives the load of node %d", i+1, n+1), func() bool { return len(m.loadsFrom(from)) == 1 })
		}
	}
	require.Less(t, time.Since(began), 500*time.Millisecond)
	time.Sleep(600 * time.Millisecond) // they are sent again meanwhile
	for i, m := range members {
		for n := range members {
			if i == n {
				continue
			}
			from := fmt.Sprintf("127.0.0.%d", n+1)
			require.Equal(t, []peer.Load{{Server: uint64(n + 1), Work: time.Millisecond}}, m.loadsFrom(from))
			m.mutex.Lock()
			require.Equal(t, catalog.Revision(n+1), m.lastUpdate[from].StoreRevision)
			m.mutex.Unlock()
		}
	}
}

// TestLostRelay checks that a relay that goes silent loses no load, since each load is sent
// through two relays, and that it is excluded.
func TestLostRelay(t *testing.T) {
	port := freePort(t)
	// It announces the highest weight of its hall and keeps sending beacons, but forwards
	// nothing.
	silent, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 9), Port: port})
	require.NoError(t, err)
	defer silent.Close()
	var members []*member
	for n := 1; n <= 4; n++ {
		members = append(members, joinHall(t, port, n, "hall", peer.State{Weight: 100}, "127.0.0.1"))
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	defer func() {
		close(stop)
		<-stopped
	}()
	go func() {
		defer close(stopped)
		for sequence := uint64(1); ; sequence++ {
			packed, err := proto.Marshal(&peerpb.Datagram{Beacon: &peerpb.Beacon{
				Incarnation: 7, Sequence: sequence, Hall: "hall", Weight: 1000, DemandsTold: true, Relay: true,
			}})
			if err == nil {
				_, err = silent.WriteToUDP(packed, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
			}
			if err != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	for _, m := range members {
		eventually(t, "the silent relay counts as alive", func() bool { return m.livePeers() == 4 })
	}
	const count = 50
	for i := range count {
		members[3].node.PublishLoad(peer.Load{Server: uint64(i), Work: time.Millisecond})
		time.Sleep(20 * time.Millisecond)
	}
	eventually(t, "all loads arrive", func() bool { return len(members[1].loadsFrom("127.0.0.4")) == count })
}

// TestRelaysLeave checks that the remaining nodes still hear from each other when the relays of
// a hall leave.
func TestRelaysLeave(t *testing.T) {
	members := joinHalls(t, 2, 4)
	// The nodes with the highest weight are the last of each hall.
	for _, m := range members[4:] {
		m.stop()
		<-m.done
	}
	remaining := members[:4]
	for i, m := range remaining {
		eventually(t, fmt.Sprintf("node %d knows the remaining nodes", i+1), func() bool { return m.livePeers() == 3 })
	}
	remaining[0].node.PublishLoad(peer.Load{Server: 5, Work: time.Millisecond})
	for i, m := range remaining[1:] {
		eventually(t, fmt.Sprintf("node %d receives the load", i+2), func() bool { return len(m.loadsFrom("127.0.0.1")) == 1 })
	}
}

// TestDatagramsGrowWithHalls checks that the number of datagrams that an idle node sends does
// not grow with the gateways of its hall, unless it is a relay.
func TestDatagramsGrowWithHalls(t *testing.T) {
	for _, each := range []int{2, 8} {
		members := joinHalls(t, 2, each)
		before := members[0].node.Sent()
		time.Sleep(time.Second)
		after := members[0].node.Sent()
		fmt.Printf("figure beacon-datagrams-of-%d %d 1/s\n", 2*each, after.Datagrams-before.Datagrams)
		fmt.Printf("figure beacon-bytes-of-%d %d B/s\n", 2*each, after.Bytes-before.Bytes)
		if each > 2 {
			require.Less(t, after.Datagrams-before.Datagrams, int64(10), "it sends to only one relay")
		}
	}
}

// TestBothRelaysFail checks that no other gateway is considered dead when both relays of a hall
// fail silently at the same time.
func TestBothRelaysFail(t *testing.T) {
	members := joinHalls(t, 2, 4)
	for _, m := range members[4:] { // those with the highest weight
		m.node.CloseConn()
	}
	deadline := time.After(3 * time.Second)
	began, latest, maxDelay := time.Now(), time.Now(), time.Duration(0)
	for {
		maxDelay = max(maxDelay, time.Since(latest)-20*time.Millisecond)
		latest = time.Now()
		select {
		case <-deadline:
			for i, m := range members[:4] {
				require.Equal(t, 3, m.livePeers(), "node %d still considers the other three alive", i+1)
			}
			return
		case <-time.After(20 * time.Millisecond):
			for i, m := range members[:4] {
				for n := range members[:4] {
					from := fmt.Sprintf("127.0.0.%d", n+1)
					require.True(t, i == n || m.isAlive(from), "node %d has lost node %d after %s; this test was late by %s", i+1, n+1, time.Since(began), maxDelay)
				}
			}
		}
	}
}

// isAlive reports whether a node considers another one alive.
func (m *member) isAlive(from string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.alive[from]
}

// TestReadinessReachesAllHalls: a gateway that is not ready must count as such in the other gateways'
// decisions, in its own hall and in others, and so must what it does not admit.
func TestReadinessReachesAllHalls(t *testing.T) {
	port := freePort(t)
	states := []offload.Readiness{offload.Ready, offload.Withdrawn, offload.NotReady, offload.Ready}
	var members []*member
	for i, r := range states {
		members = append(members, joinHall(t, port, i+1, fmt.Sprintf("hall-%d", i/2), peer.State{Readiness: r, NotAdmitted: 50 * i}, "127.0.0.1"))
	}
	for i, m := range members {
		for j, want := range states {
			if i == j {
				continue
			}
			from := fmt.Sprintf("127.0.0.%d", j+1)
			eventually(t, fmt.Sprintf("node %d knows the readiness of node %d", i+1, j+1), func() bool {
				m.mutex.Lock()
				defer m.mutex.Unlock()
				u := m.lastUpdate[from]
				return u.Full && u.Readiness == want && u.NotAdmitted == min(50*j, 100) && u.Hall == fmt.Sprintf("hall-%d", j/2)
			})
		}
	}
}

// TestSpareReachesAllHalls: spare CPU must be known in all halls, also to a gateway that has heard a beacon
// without it, and must be 0 while the gateway is short of CPU time. A gateway that does not tell it must
// count as one of an earlier release.
func TestSpareReachesAllHalls(t *testing.T) {
	port := freePort(t)
	states := []peer.State{
		{Weight: 800, TellsSpare: true, Spare: 400}, {Weight: 144, TellsSpare: true}, {Weight: 800, Spare: 400}, {TellsSpare: true, Spare: 400},
	}
	var members []*member
	for i, s := range states {
		members = append(members, joinHall(t, port, i+1, fmt.Sprintf("hall-%d", i/2), s, "127.0.0.1"))
	}
	want := []struct {
		tells bool
		spare int
	}{{true, 400}, {true, 0}, {false, 0}, {false, 0}} // the last one has always been short of CPU time
	for i, m := range members {
		for j, w := range want {
			if i == j {
				continue
			}
			from := fmt.Sprintf("127.0.0.%d", j+1)
			eventually(t, fmt.Sprintf("node %d knows the spare CPU of node %d", i+1, j+1), func() bool {
				m.mutex.Lock()
				defer m.mutex.Unlock()
				u := m.lastUpdate[from]
				return u.Full && u.TellsSpare == w.tells && u.Spare == w.spare && u.Weight == states[j].Weight
			})
		}
	}
}

// TestReportSoon: a gateway that has become short of CPU time must not get connections from other halls until its
// next beacon is due.
func TestReportSoon(t *testing.T) {
	port := freePort(t)
	var beacons, weight atomic.Int64
	weight.Store(800)
	a := joinState(t, port, 1, "a", func() peer.State {
		beacons.Add(1)
		return peer.State{Weight: int(weight.Load()), TellsSpare: true, Spare: 400}
	})
	b := joinHall(t, port, 2, "b", peer.State{}, "127.0.0.1")
	spareOf := func(want int) func() bool {
		return func() bool {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			u, known := b.lastUpdate["127.0.0.1"]
			return known && u.Full && u.Spare == want
		}
	}
	eventually(t, "its spare CPU is known", spareOf(400))
	last := beacons.Load()
	eventually(t, "a beacon is due", func() bool { return beacons.Load() > last })
	weight.Store(0)
	a.node.ReportSoon()
	require.Eventually(t, spareOf(0), 150*time.Millisecond, time.Millisecond, "the next beacon is due in 250 ms")
}
