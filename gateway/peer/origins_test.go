package peer

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/origin"
)

// originMap is an OriginStore without bounds.
type originMap struct {
	mutex   sync.Mutex
	known   map[origin.Attempt]origin.Origin
	unknown []origin.Attempt
}

func (m *originMap) AddOrigin(_ time.Time, o origin.Origin) []origin.Origin {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	before, again := m.known[o.Attempt]
	m.known[o.Attempt] = o
	if again && before.Version != o.Version {
		return []origin.Origin{before, o}
	}
	return nil
}

func (m *originMap) FindOrigins(_ time.Time, a origin.Attempt) []origin.Origin {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if o, ok := m.known[a]; ok {
		return []origin.Origin{o}
	}
	return nil
}

func (m *originMap) OriginUnknown(_ string, a origin.Attempt) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.unknown = append(m.unknown, a)
}

// has returns how many attempts are known, and for how many another gateway knew nothing.
func (m *originMap) has() (known, unknown int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.known), len(m.unknown)
}

// fleetNode returns a node that knows so many live peers and does not run.
func fleetNode(t testing.TB, peers int) *Node {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	n := &Node{conn: conn, port: 9, peers: map[netip.Addr]*remote{}, origins: make(chan origin.Origin, queueSize), options: Options{Origins: &originMap{known: map[origin.Attempt]origin.Origin{}}}}
	for i := range peers {
		n.peers[netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)})] = &remote{alive: true}
	}
	return n
}

var fleetSizes = []int{10, 30, 100, 300, 2400}

// TestOriginBytes measures what a stream costs the gateways that are told of it and, where its
// caller takes it up, asked for it, for docs/CAPACITY.md.
func TestOriginBytes(t *testing.T) {
	for _, size := range fleetSizes {
		n := fleetNode(t, size-1)
		now := time.Now()
		const streams = 50
		for i := range streams {
			n.sendOrigins(now, origin.Origin{Attempt: origin.Attempt(1<<60 + i), Version: 1 << 61, Expires: now.Add(17 * time.Second)})
		}
		told := n.Sent()
		require.Equal(t, int64(streams*origin.ReplicaCount), told.Datagrams)
		n.askOrigins(originQuery{1 << 60, make(chan int, 1)})
		asked := n.Sent()
		fmt.Printf("figure origin-told-%d %d B in %d datagrams a stream; asked %d B in %d\n", size, told.Bytes/streams, told.Datagrams/streams, asked.Bytes-told.Bytes, asked.Datagrams-told.Datagrams)
		require.LessOrEqual(t, told.Bytes/streams, int64(100), "without datagram headers")
	}
}

// BenchmarkTellOrigin measures the time that a stream takes of the gateway that tells of it.
func BenchmarkTellOrigin(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := fleetNode(b, size-1)
			now := time.Now()
			for i := 0; b.Loop(); i++ {
				n.sendOrigins(now, origin.Origin{Attempt: origin.Attempt(i * 7919), Version: 1 << 61, Expires: now.Add(17 * time.Second)})
			}
		})
	}
}

// TestOriginsTravel checks that what one node tells is found by another one, and that one that
// knows nothing says so.
func TestOriginsTravel(t *testing.T) {
	stores := make([]*originMap, 5)
	nodes := make([]*Node, len(stores))
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	port := probe.LocalAddr().(*net.UDPAddr).Port
	probe.Close()
	for i := range nodes {
		stores[i] = &originMap{known: map[origin.Attempt]origin.Origin{}}
		nodes[i], err = Listen(Options{
			Address: fmt.Sprintf("127.0.0.%d:%d", i+1, port), Seeds: []string{"127.0.0.1"}, Origins: stores[i],
			State: func() State { return State{} }, OnError: func(error) {},
		})
		require.NoError(t, err)
		go nodes[i].Run(t.Context())
	}
	peers := func(n *Node) int {
		asked := make(chan int, 1)
		n.AskOrigin(99, asked)
		return <-asked
	}
	for _, n := range nodes {
		require.Eventually(t, func() bool { return peers(n) == len(nodes)-1 }, 5*time.Second, 20*time.Millisecond)
	}
	const attempts = 30
	for i := range attempts {
		nodes[0].PublishOrigin(origin.Origin{Attempt: origin.Attempt(1000 + i*7919), Version: 7, Expires: time.Now().Add(time.Minute)})
	}
	told := func() (sum int) {
		for _, s := range stores {
			known, _ := s.has()
			sum += known
		}
		return sum
	}
	require.Eventually(t, func() bool { return told() == attempts*origin.ReplicaCount }, 5*time.Second, 5*time.Millisecond)
	for i := range attempts {
		nodes[0].AskOrigin(origin.Attempt(1000+i*7919), make(chan int, 1))
	}
	require.Eventually(t, func() bool { known, unknown := stores[0].has(); return known == attempts && unknown > 0 }, 5*time.Second, 5*time.Millisecond)
}
