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

// member is a running node that remembers what it has heard.
type member struct {
	node   *peer.Node
	stop   context.CancelFunc
	mutex  sync.Mutex
	alive  map[string]bool
	loads  map[string][]peer.Load
	seen   map[string][]peer.Backlog
	turned []peer.Refusal
	ends   []peer.Crash
	clear  []peer.Cleared
	leaves []string
	last   map[string]peer.Update
	ended  chan struct{}
}

func freePort(t *testing.T) int {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// join starts a node at 127.0.0.N.
func join(t *testing.T, port, n int, state peer.State, seeds ...string) *member {
	t.Helper()
	return joinHall(t, port, n, "", state, seeds...)
}

// joinHall starts a node of a hall.
func joinHall(t *testing.T, port, n int, hall string, state peer.State, seeds ...string) *member {
	t.Helper()
	node, err := peer.Listen(peer.Options{
		Address: fmt.Sprintf("127.0.0.%d:%d", n, port), Hall: hall, Seeds: seeds,
		State: func() peer.State { return state }, OnError: func(error) {},
	})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	m := &member{node: node, stop: stop, alive: map[string]bool{}, loads: map[string][]peer.Load{}, seen: map[string][]peer.Backlog{}, last: map[string]peer.Update{}, ended: make(chan struct{})}
	go node.Run(ctx)
	go m.listen()
	t.Cleanup(func() {
		stop()
		<-m.ended
	})
	return m
}

func (m *member) listen() {
	defer close(m.ended)
	for list := range m.node.Updates() {
		for _, u := range list {
			m.take(u)
		}
	}
}

func (m *member) take(u peer.Update) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.alive[u.From] = u.Alive
	m.loads[u.From] = append(m.loads[u.From], u.Loads...)
	m.seen[u.From] = append(m.seen[u.From], u.Backlogs...)
	m.turned = append(m.turned, u.Refusals...)
	m.ends = append(m.ends, u.Crashes...)
	m.clear = append(m.clear, u.Cleared...)
	m.leaves = append(m.leaves, u.LeavingServers...)
	if u.Alive {
		m.last[u.From] = u
	}
}

func (m *member) living() int {
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

func (m *member) heard(from string) []peer.Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]peer.Load(nil), m.loads[from]...)
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, 5*time.Second, 2*time.Millisecond, what)
}

// TestAllFindEachOther though each knows only the first one.
func TestAllFindEachOther(t *testing.T) {
	port := freePort(t)
	const nodes = 6
	var members []*member
	for n := 1; n <= nodes; n++ {
		members = append(members, join(t, port, n, peer.State{}, "127.0.0.1", "127.0.0.99:8785"))
	}
	for i, m := range members {
		eventually(t, fmt.Sprintf("node %d", i), func() bool { return m.living() == nodes-1 })
	}
	members[0].stop()
	<-members[0].ended
	for _, m := range members[1:] {
		eventually(t, "a node that leaves is known to have left", func() bool { return m.living() == nodes-2 })
	}
	late := join(t, port, 7, peer.State{}, "127.0.0.1", "127.0.0.3")
	eventually(t, "the first seed is gone, the second is enough", func() bool { return late.living() == nodes-1 })
}

// TestLoadsArriveOnce in their order, although each is told several times.
// TestLaterStartsAreFoundSoon: a node whose seeds were not there yet when it started finds
// them before it sends much work to servers that they load as well.
func TestLaterStartsAreFoundSoon(t *testing.T) {
	port := freePort(t)
	first := join(t, port, 2, peer.State{}, "127.0.0.1")
	time.Sleep(300 * time.Millisecond) // longer than the first tries
	second := join(t, port, 1, peer.State{})
	require.Eventually(t, func() bool { return first.living() == 1 && second.living() == 1 }, 250*time.Millisecond, 5*time.Millisecond)
}

func TestLoadsArriveOnce(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{Running: map[uint64]int{7: 2}, ConfigurationVersion: 5, StoreRevision: 9})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "they meet", func() bool { return a.living() == 1 && b.living() == 1 })
	const many = 40
	for i := range many {
		a.node.PublishLoad(peer.Load{Server: uint64(i), Work: time.Duration(i) * time.Millisecond, Parts: []uint64{1, 2}})
		time.Sleep(2 * time.Millisecond)
	}
	eventually(t, "all loads", func() bool { return len(b.heard("127.0.0.1")) >= many })
	time.Sleep(600 * time.Millisecond) // they are told again meanwhile
	got := b.heard("127.0.0.1")
	require.Len(t, got, many)
	for i, l := range got {
		require.Equal(t, peer.Load{Server: uint64(i), Work: time.Duration(i) * time.Millisecond, Parts: []uint64{1, 2}}, l)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	require.Equal(t, 2, b.last["127.0.0.1"].Running[7])
	require.Equal(t, catalog.Revision(9), b.last["127.0.0.1"].StoreRevision)
}

// TestBacklogsAreTold once each, the newest of a server, and soon when that is asked for.
func TestBacklogsAreTold(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "they meet", func() bool { return a.living() == 1 && b.living() == 1 })
	for _, left := range []time.Duration{700, 800, -1} {
		a.node.PublishBacklog(peer.Backlog{Server: 7, Remaining: left * time.Millisecond})
	}
	a.node.PublishBacklog(peer.Backlog{Server: 8, Remaining: time.Second})
	a.node.SendSoon()
	told := func() []peer.Backlog {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return append([]peer.Backlog(nil), b.seen["127.0.0.1"]...)
	}
	eventually(t, "the newest of both servers; less than nothing is nothing", func() bool {
		return slices.Contains(told(), peer.Backlog{Server: 7}) && slices.Contains(told(), peer.Backlog{Server: 8, Remaining: time.Second})
	})
	many := len(told())
	time.Sleep(600 * time.Millisecond) // two heartbeats
	require.Len(t, told(), many, "they are not told again")
}

// TestRefusalsAreTold in two beacons each, with times that hold on another clock.
func TestRefusalsAreTold(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "they meet", func() bool { return a.living() == 1 && b.living() == 1 })
	now := time.Now()
	f := peer.Refusal{Key: 7, Deadline: now.Add(9 * time.Second), FirstAttempt: now.Add(-time.Second)}
	a.node.PublishRefusal(f)
	told := func() []peer.Refusal {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return append([]peer.Refusal(nil), b.turned...)
	}
	eventually(t, "it is told twice", func() bool { return len(told()) == 2 })
	time.Sleep(600 * time.Millisecond) // two heartbeats
	require.Len(t, told(), 2)
	for _, x := range told() {
		require.Equal(t, f.Key, x.Key)
		require.InDelta(t, f.Deadline.Sub(now), x.Deadline.Sub(now), float64(100*time.Millisecond))
		require.InDelta(t, f.FirstAttempt.Sub(now), x.FirstAttempt.Sub(now), float64(100*time.Millisecond))
	}
}

// TestEndsAreTold in two beacons each, a few in each beacon and none left out.
func TestEndsAreTold(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "they meet", func() bool { return a.living() == 1 && b.living() == 1 })
	const many = 20
	for n := range byte(many) {
		a.node.PublishCrash(peer.Crash{Server: fmt.Sprintf("i-%d@5", n), Suspects: []peer.Key{{n}, {n, 1}}})
	}
	a.node.PublishCleared(peer.Cleared{Key: peer.Key{7}, Servers: []string{"i-7@5"}})
	told := func() map[string]int {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		times := map[string]int{}
		for _, e := range b.ends {
			require.Len(t, e.Suspects, 2)
			require.Equal(t, fmt.Sprintf("i-%d@5", e.Suspects[0][0]), e.Server)
			times[e.Server]++
		}
		return times
	}
	eventually(t, "all are told", func() bool { return len(told()) == many })
	eventually(t, "each is told twice", func() bool {
		return !slices.ContainsFunc(slices.Collect(maps.Values(told())), func(n int) bool { return n != 2 })
	})
	eventually(t, "who was the cause of none", func() bool {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return len(b.clear) == 2
	})
	require.Equal(t, peer.Cleared{Key: peer.Key{7}, Servers: []string{"i-7@5"}}, b.clear[0])
}

// TestLeavesAreTold in two beacons each, also when many leave at once.
func TestLeavesAreTold(t *testing.T) {
	port := freePort(t)
	a := join(t, port, 1, peer.State{})
	b := join(t, port, 2, peer.State{}, "127.0.0.1")
	eventually(t, "they meet", func() bool { return a.living() == 1 && b.living() == 1 })
	const many = 200
	for n := range many {
		a.node.PublishLeaving(fmt.Sprintf("i-%d@5", n))
	}
	eventually(t, "each is told twice", func() bool {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		times := map[string]int{}
		for _, s := range b.leaves {
			times[s]++
		}
		return len(times) == many && len(b.leaves) == 2*many
	})
}

// TestOldProcessIsNotHeard: datagrams of a process that has ended come late.
func TestOldProcessIsNotHeard(t *testing.T) {
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
	eventually(t, "the new process", func() bool { return len(m.heard("127.0.0.2")) == 1 })
	send(&peerpb.Beacon{Incarnation: 10, NewestLoad: 50, Loads: load, StoreRevision: 99})
	send(&peerpb.Beacon{Incarnation: 20, NewestLoad: 2, Loads: load})
	eventually(t, "its next load", func() bool { return len(m.heard("127.0.0.2")) == 2 })
	m.mutex.Lock()
	defer m.mutex.Unlock()
	require.Zero(t, m.last["127.0.0.2"].StoreRevision)
}

func TestBadDatagramsAreBorne(t *testing.T) {
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
	eventually(t, "it still hears", func() bool { return m.living() >= 1 && other.living() >= 1 })
}

func TestListenFaults(t *testing.T) {
	tests := []struct {
		name    string
		options peer.Options
	}{
		{"no port", peer.Options{Address: "127.0.0.1"}},
		{"a name", peer.Options{Address: "localhost:7400"}},
		{"a seed that is no number", peer.Options{Address: "127.0.0.1:0", Seeds: []string{"nobody"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := peer.Listen(test.options)
			require.Error(t, err)
		})
	}
}

// TestRunningIsTold: beacons between the whole ones tell what has changed of running
// requests, so that they stay small; whole ones tell all.
func TestRunningIsTold(t *testing.T) {
	port := freePort(t)
	hears := join(t, port, 1, peer.State{})
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
	ended := make(chan struct{})
	go func() {
		node.Run(ctx)
		close(ended)
	}()
	latest := func(whole bool) (running map[uint64]int) {
		hears.mutex.Lock()
		defer hears.mutex.Unlock()
		u := hears.last["127.0.0.2"]
		if u.Full != whole {
			return nil
		}
		return u.Running
	}
	require.Eventually(t, func() bool { return len(latest(true)) == 2 }, time.Second, time.Millisecond)
	hears.mutex.Lock()
	require.Equal(t, speeds, hears.last["127.0.0.2"].Speeds)
	hears.mutex.Unlock()
	mutex.Lock()
	state = peer.State{Running: map[uint64]int{7: 3}}
	mutex.Unlock()
	node.SendSoon()
	require.Eventually(t, func() bool {
		changed := latest(false)
		n, gone := changed[8]
		return len(changed) == 2 && changed[7] == 3 && gone && n == 0
	}, time.Second, time.Millisecond/4)
	require.Eventually(t, func() bool { return len(latest(true)) == 1 }, time.Second, time.Millisecond)
	stop()
	<-ended
}
