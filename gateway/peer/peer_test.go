package peer_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/peer/peerpb"
)

// member is a running node that records what it receives.
type member struct {
	node       *peer.Node
	stop       context.CancelFunc
	mutex      sync.Mutex
	alive      map[string]bool
	loads      map[string][]peer.Load
	backlogs   map[string][]peer.Backlog
	refusals   []peer.Refusal
	crashes    []peer.Crash
	cleared    []peer.Cleared
	leaving    []string
	lastUpdate map[string]peer.Update
	done       chan struct{}
}

func freePort(t *testing.T) int {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// join starts a node at 127.0.0.n.
func join(t *testing.T, port, n int, state peer.State, seeds ...string) *member {
	t.Helper()
	return joinHall(t, port, n, "", state, seeds...)
}

// joinHall starts a node of a hall.
func joinHall(t *testing.T, port, n int, hall string, state peer.State, seeds ...string) *member {
	t.Helper()
	return joinState(t, port, n, hall, func() peer.State { return state }, seeds...)
}

// joinState starts a node of a hall whose state may change.
func joinState(t *testing.T, port, n int, hall string, state func() peer.State, seeds ...string) *member {
	t.Helper()
	node, err := peer.Listen(peer.Options{
		Address: fmt.Sprintf("127.0.%d.%d:%d", n/250, n%250, port), Hall: hall, Seeds: seeds,
		State: state, OnError: func(error) {},
	})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	m := &member{node: node, stop: stop, alive: map[string]bool{}, loads: map[string][]peer.Load{}, backlogs: map[string][]peer.Backlog{}, lastUpdate: map[string]peer.Update{}, done: make(chan struct{})}
	go node.Run(ctx)
	go m.readUpdates()
	t.Cleanup(func() {
		stop()
		<-m.done
	})
	return m
}

func (m *member) readUpdates() {
	defer close(m.done)
	for list := range m.node.Updates() {
		for _, u := range list {
			m.record(u)
		}
	}
}

func (m *member) record(u peer.Update) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.alive[u.From] = u.Alive
	m.loads[u.From] = append(m.loads[u.From], u.Loads...)
	m.backlogs[u.From] = append(m.backlogs[u.From], u.Backlogs...)
	m.refusals = append(m.refusals, u.Refusals...)
	m.crashes = append(m.crashes, u.Crashes...)
	m.cleared = append(m.cleared, u.Cleared...)
	m.leaving = append(m.leaving, u.LeavingServers...)
	if u.Alive {
		m.lastUpdate[u.From] = u
	}
}

func (m *member) livePeers() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	n := 0
	for _, alive := range m.alive {
		if alive {
			n++
		}
	}
	return n
}

func (m *member) loadsFrom(from string) []peer.Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]peer.Load(nil), m.loads[from]...)
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 5*time.Second, 2*time.Millisecond, what)
}

// TestDiscovery checks that all nodes find each other though each knows only the first one.
func TestDiscovery(t *testing.T) {
	port := freePort(t)
	const nodes = 6
	var members []*member
	for n := 1; n <= nodes; n++ {
		members = append(members, join(t, port, n, peer.State{}, "127.0.0.1", "127.0.0.99:8785"))
	}
	for i, m := range members {
		eventually(t, fmt.Sprintf("node %d", i), func() bool { return m.livePeers() == nodes-1 })
	}
	members[0].stop()
	<-members[0].done
	for _, m := range members[1:] {
		eventually(t, "all nodes notice that a node has left", func() bool { return m.livePeers() == nodes-2 })
	}
	late := join(t, port, 7, peer.State{}, "127.0.0.1", "127.0.0.3")
	eventually(t, "the second seed is enough after the first has left", func() bool { return late.livePeers() == nodes-1 })
}

// TestLateStartDiscovery checks that a node whose seeds were not yet running when it started
// finds them before it sends much work to servers that they load as well.
func TestLateStartDiscovery(t *testing.T) {
	port := freePort(t)
	first := join(t, port, 2, peer.State{}, "127.0.0.1")
	time.Sleep(300 * time.Millisecond) // longer than the first attempts
	second := join(t, port, 1, peer.State{})
	require.Eventually(t, func() bool { return first.livePeers() == 1 && second.livePeers() == 1 }, 250*time.Millisecond, 5*time.Millisecond)
}

// TestLoadsArriveOnce checks that loads arrive once and in order, although each is sent several
// times.
func TestLoadsArriveOnce(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{Running: map[uint64]int{7: 2}, ConfigurationVersion: 5, StoreRevision: 9})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "the nodes find each other", func() bool { return a.livePeers() == 1 && b.livePeers() == 1 })
	const count = 40
	for i := range count {
		a.node.PublishLoad(peer.Load{Server: uint64(i), Work: time.Duration(i) * time.Millisecond, Parts: []uint64{1, 2}})
		time.Sleep(2 * time.Millisecond)
	}
	eventually(t, "all loads arrive", func() bool { return len(b.loadsFrom("127.0.0.1")) >= count })
	time.Sleep(600 * time.Millisecond) // they are sent again meanwhile
	got := b.loadsFrom("127.0.0.1")
	require.Len(t, got, count)
	for i, l := range got {
		require.Equal(t, peer.Load{Server: uint64(i), Work: time.Duration(i) * time.Millisecond, Parts: []uint64{1, 2}}, l)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	require.Equal(t, 2, b.lastUpdate["127.0.0.1"].Running[7])
	require.Equal(t, catalog.Revision(9), b.lastUpdate["127.0.0.1"].StoreRevision)
}

// TestBacklogs checks that only the newest backlog of a server is sent, once, and soon on
// request.
func TestBacklogs(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "the nodes find each other", func() bool { return a.livePeers() == 1 && b.livePeers() == 1 })
	for _, left := range []time.Duration{700, 800, -1} {
		a.node.PublishBacklog(peer.Backlog{Server: 7, Remaining: left * time.Millisecond})
	}
	a.node.PublishBacklog(peer.Backlog{Server: 8, Remaining: time.Second})
	a.node.SendSoon()
	received := func() []peer.Backlog {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return append([]peer.Backlog(nil), b.backlogs["127.0.0.1"]...)
	}
	eventually(t, "the newest backlog of both servers arrives; a negative one becomes zero", func() bool {
		return slices.Contains(received(), peer.Backlog{Server: 7}) && slices.Contains(received(), peer.Backlog{Server: 8, Remaining: time.Second})
	})
	count := len(received())
	time.Sleep(600 * time.Millisecond) // two heartbeats
	require.Len(t, received(), count, "they are not sent again")
}

// TestRefusals checks that each refusal is sent in two beacons, with times that are valid on
// another clock.
func TestRefusals(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "the nodes find each other", func() bool { return a.livePeers() == 1 && b.livePeers() == 1 })
	now := time.Now()
	refusal := peer.Refusal{Key: 7, Deadline: now.Add(9 * time.Second), FirstAttempt: now.Add(-time.Second)}
	a.node.PublishRefusal(refusal)
	received := func() []peer.Refusal {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return append([]peer.Refusal(nil), b.refusals...)
	}
	eventually(t, "it is sent twice", func() bool { return len(received()) == 2 })
	time.Sleep(600 * time.Millisecond) // two heartbeats
	require.Len(t, received(), 2)
	for _, r := range received() {
		require.Equal(t, refusal.Key, r.Key)
		require.InDelta(t, refusal.Deadline.Sub(now), r.Deadline.Sub(now), float64(100*time.Millisecond))
		require.InDelta(t, refusal.FirstAttempt.Sub(now), r.FirstAttempt.Sub(now), float64(100*time.Millisecond))
	}
}

// TestCrashes checks that each crash is sent in two beacons, a few per beacon, and none is lost.
func TestCrashes(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "the nodes find each other", func() bool { return a.livePeers() == 1 && b.livePeers() == 1 })
	const count = 20
	for n := range byte(count) {
		a.node.PublishCrash(peer.Crash{Server: fmt.Sprintf("i-%d@5", n), Suspects: []peer.Key{{n}, {n, 1}}})
	}
	a.node.PublishCleared(peer.Cleared{Key: peer.Key{7}, Servers: []string{"i-7@5"}})
	received := func() map[string]int {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		times := map[string]int{}
		for _, e := range b.crashes {
			require.Len(t, e.Suspects, 2)
			require.Equal(t, fmt.Sprintf("i-%d@5", e.Suspects[0][0]), e.Server)
			times[e.Server]++
		}
		return times
	}
	eventually(t, "all arrive", func() bool { return len(received()) == count })
	eventually(t, "each is sent twice", func() bool {
		return !slices.ContainsFunc(slices.Collect(maps.Values(received())), func(n int) bool { return n != 2 })
	})
	eventually(t, "the cleared request is sent twice", func() bool {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return len(b.cleared) == 2
	})
	require.Equal(t, peer.Cleared{Key: peer.Key{7}, Servers: []string{"i-7@5"}}, b.cleared[0])
}

// TestManyCrashes guards against crashes that others learn of only seconds later, because each beacon
// has room for a few of them and beacons without new loads go out four times a second.
func TestManyCrashes(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "the nodes find each other", func() bool { return a.livePeers() == 1 && b.livePeers() == 1 })
	const count = 60
	for n := range byte(count) {
		a.node.PublishCrash(peer.Crash{Server: fmt.Sprintf("i-%d@5", n), Suspects: []peer.Key{{n}}})
	}
	eventually(t, "all arrive", func() bool {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		servers := map[string]bool{}
		for _, e := range b.crashes {
			servers[e.Server] = true
		}
		return len(servers) == count
	})
}

// TestLeaving checks that each leaving server is sent in two beacons, even if many leave at
// once.
func TestLeaving(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "the nodes find each other", func() bool { return a.livePeers() == 1 && b.livePeers() == 1 })
	const count = 200
	for n := range count {
		a.node.PublishLeaving(fmt.Sprintf("i-%d@5", n))
	}
	eventually(t, "each is sent twice", func() bool {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		times := map[string]int{}
		for _, s := range b.leaving {
			times[s]++
		}
		return len(times) == count && len(b.leaving) == 2*count
	})
}

// TestStaleIncarnation checks that late datagrams of a process that has ended are ignored.
func TestStaleIncarnation(t *testing.T) {
	port := freePort(t)
	m := join(t, port, 1, peer.State{})
	from, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2), Port: port})
	require.NoError(t, err)
	defer from.Close()
	send := func(b *peerpb.Beacon) {
		packed, err := proto.Marshal(&peerpb.Datagram{Beacon: b})
		require.NoError(t, err)
		_, err = from.WriteToUDP(packed, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		require.NoError(t, err)
	}
	load := []*peerpb.Load{{Server: 1, WorkUs: 1000}}
	send(&peerpb.Beacon{Incarnation: 20, NewestLoad: 1, Loads: load})
	eventually(t, "the load of the new process arrives", func() bool { return len(m.loadsFrom("127.0.0.2")) == 1 })
	send(&peerpb.Beacon{Incarnation: 10, NewestLoad: 50, Loads: load, StoreRevision: 99})
	send(&peerpb.Beacon{Incarnation: 20, NewestLoad: 2, Loads: load})
	eventually(t, "its next load arrives", func() bool { return len(m.loadsFrom("127.0.0.2")) == 2 })
	m.mutex.Lock()
	defer m.mutex.Unlock()
	require.Zero(t, m.lastUpdate["127.0.0.2"].StoreRevision)
}

func TestInvalidDatagrams(t *testing.T) {
	port := freePort(t)
	m := join(t, port, 1, peer.State{})
	from, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2), Port: port})
	require.NoError(t, err)
	defer from.Close()
	for _, b := range [][]byte{nil, {0xff}, make([]byte, 9000)} {
		_, err := from.WriteToUDP(b, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		require.NoError(t, err)
	}
	other := join(t, port, 3, peer.State{}, "127.0.0.1")
	eventually(t, "it still receives beacons", func() bool { return m.livePeers() >= 1 && other.livePeers() >= 1 })
}

func TestListenErrors(t *testing.T) {
	tests := []struct {
		name    string
		options peer.Options
	}{
		{"no port", peer.Options{Address: "127.0.0.1"}},
		{"host name", peer.Options{Address: "localhost:7400"}},
		{"seed that is not an address", peer.Options{Address: "127.0.0.1:0", Seeds: []string{"nobody"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := peer.Listen(test.options)
			require.Error(t, err)
		})
	}
}

// TestRunningRequests checks that full beacons report all running requests, and the beacons
// between them only changes, so that they stay small.
func TestRunningRequests(t *testing.T) {
	port := freePort(t)
	receiver := join(t, port, 1, peer.State{})
	speeds := []peer.Speed{{Service: 9, PrefillSlowdown: 0.5, FirstEventDelay: 20 * time.Millisecond}}
	state := peer.State{Running: map[uint64]int{7: 2, 8: 1}, Speeds: speeds}
	var mutex sync.Mutex
	node, err := peer.Listen(peer.Options{Address: fmt.Sprintf("127.0.0.2:%d", port), Seeds: []string{"127.0.0.1"}, OnError: func(error) {}, State: func() peer.State {
		mutex.Lock()
		defer mutex.Unlock()
		return state
	}})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		node.Run(ctx)
		close(done)
	}()
	latestRunning := func(full bool) (running map[uint64]int) {
		receiver.mutex.Lock()
		defer receiver.mutex.Unlock()
		u := receiver.lastUpdate["127.0.0.2"]
		if u.Full != full {
			return nil
		}
		return u.Running
	}
	require.Eventually(t, func() bool { return len(latestRunning(true)) == 2 }, time.Second, time.Millisecond)
	receiver.mutex.Lock()
	require.Equal(t, speeds, receiver.lastUpdate["127.0.0.2"].Speeds)
	receiver.mutex.Unlock()
	mutex.Lock()
	state = peer.State{Running: map[uint64]int{7: 3}}
	mutex.Unlock()
	node.SendSoon()
	require.Eventually(t, func() bool {
		changed := latestRunning(false)
		n, present := changed[8]
		return len(changed) == 2 && changed[7] == 3 && present && n == 0
	}, time.Second, time.Millisecond/4)
	require.Eventually(t, func() bool { return len(latestRunning(true)) == 1 }, time.Second, time.Millisecond)
	stop()
	<-done
}
