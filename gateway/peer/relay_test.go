package peer_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/peer/peerpb"
)

// halls starts so many halls with so many nodes each, and waits until all know all.
func halls(t *testing.T, count, each int) []*member {
	t.Helper()
	port := freePort(t)
	var members []*member
	for n := range count * each {
		hall := fmt.Sprintf("hall-%d", n%count)
		members = append(members, joinHall(t, port, n+1, hall, peer.State{Weight: 100 + n/count, StoreRevision: catalog.Revision(n + 1)}, "127.0.0.1"))
	}
	for i, m := range members {
		eventually(t, fmt.Sprintf("node %d knows all", i+1), func() bool { return m.living() == len(members)-1 })
	}
	time.Sleep(300 * time.Millisecond) // a heartbeat: all know all halls
	return members
}

// TestLoadsReachAllHalls once each, although no node sends to all others, soon, and with
// what only whole beacons tell.
func TestLoadsReachAllHalls(t *testing.T) {
	members := halls(t, 3, 5)
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
			eventually(t, fmt.Sprintf("node %d hears of node %d's load", i+1, n+1), func() bool { return len(m.heard(from)) == 1 })
		}
	}
	require.Less(t, time.Since(began), 500*time.Millisecond)
	time.Sleep(600 * time.Millisecond) // they are told again meanwhile
	for i, m := range members {
		for n := range members {
			if i == n {
				continue
			}
			from := fmt.Sprintf("127.0.0.%d", n+1)
			require.Equal(t, []peer.Load{{Server: uint64(n + 1), Work: time.Millisecond}}, m.heard(from))
			m.mutex.Lock()
			require.Equal(t, catalog.Revision(n+1), m.last[from].StoreRevision)
			m.mutex.Unlock()
		}
	}
}

// TestLostRelay: a relay that says nothing any more loses no load, since each is told
// through two, and is passed over.
func TestLostRelay(t *testing.T) {
	port := freePort(t)
	// It says once that it has most processor of its hall, and again and again that it
	// lives, but passes nothing on.
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
		eventually(t, "the silent one counts as alive", func() bool { return m.living() == 4 })
	}
	const many = 50
	for i := range many {
		members[3].node.PublishLoad(peer.Load{Server: uint64(i), Work: time.Millisecond})
		time.Sleep(20 * time.Millisecond)
	}
	eventually(t, "all loads", func() bool { return len(members[1].heard("127.0.0.4")) == many })
}

// TestRelaysLeave: when the relays of a hall go, the others go on to hear each other.
func TestRelaysLeave(t *testing.T) {
	members := halls(t, 2, 4)
	// Those with most weight are the last of each hall.
	for _, m := range members[4:] {
		m.stop()
		<-m.ended
	}
	left := members[:4]
	for i, m := range left {
		eventually(t, fmt.Sprintf("node %d knows who is left", i+1), func() bool { return m.living() == 3 })
	}
	left[0].node.PublishLoad(peer.Load{Server: 5, Work: time.Millisecond})
	for i, m := range left[1:] {
		eventually(t, fmt.Sprintf("node %d hears", i+2), func() bool { return len(m.heard("127.0.0.1")) == 1 })
	}
}

// TestDatagramsGrowWithHalls: what a node sends while nothing happens does not grow with
// the gateways of its hall, unless it is a relay.
func TestDatagramsGrowWithHalls(t *testing.T) {
	for _, each := range []int{2, 8} {
		members := halls(t, 2, each)
		before := members[0].node.Sent()
		time.Sleep(time.Second)
		after := members[0].node.Sent()
		fmt.Printf("figure beacon-datagrams-of-%d %d 1/s\n", 2*each, after.Datagrams-before.Datagrams)
		fmt.Printf("figure beacon-bytes-of-%d %d B/s\n", 2*each, after.Bytes-before.Bytes)
		if each > 2 {
			require.Less(t, after.Datagrams-before.Datagrams, int64(10), "it sends to one relay")
		}
	}
}

// TestBothRelaysEnd at once, without a word: no other gateway counts as gone for it.
func TestBothRelaysEnd(t *testing.T) {
	members := halls(t, 2, 4)
	for _, m := range members[4:] { // those with most weight
		m.node.Silence()
	}
	lost := time.After(3 * time.Second)
	began, latest, worst := time.Now(), time.Now(), time.Duration(0)
	for {
		worst = max(worst, time.Since(latest)-20*time.Millisecond)
		latest = time.Now()
		select {
		case <-lost:
			for i, m := range members[:4] {
				require.Equal(t, 3, m.living(), "node %d hears the other three", i+1)
			}
			return
		case <-time.After(20 * time.Millisecond):
			for i, m := range members[:4] {
				for n := range members[:4] {
					from := fmt.Sprintf("127.0.0.%d", n+1)
					require.True(t, i == n || m.counts(from), "node %d has lost node %d after %s; this test was late by %s", i+1, n+1, time.Since(began), worst)
				}
			}
		}
	}
}

// counts tells whether a node counts as alive.
func (m *member) counts(from string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.alive[from]
}
