package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/peer/peerpb"
)

// TestPartsOfCrashesRoundTrip checks that a beacon keeps the parts of a crash, and when it was.
func TestPartsOfCrashesRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := Crash{Server: "i-1@5", At: now.Add(-2 * time.Second), Suspects: []Key{{1}}, Parts: []Part{
		{Key: Key{2}, Request: Key{1}, Account: "a"},
		{Key: Key{3}, Request: Key{1}, Account: "a", AnsweredBefore: true},
		{Key: Key{4}, Request: Key{9}, Account: "b"},
	}}
	n := &Node{}
	n.pendingCrashes.add(now, sent, maxPendingCrashes)
	n.pendingAnswered.add(now, Key{7}, maxPendingPartsAnswered)
	b := &peerpb.Beacon{}
	n.addCrashes(now, b)
	received, _ := decodeCrashes(now, b)
	require.Equal(t, []Crash{sent}, received)
	require.Equal(t, []Key{{7}}, unpackKeys(b.PartsAnswered))
	b.Ends[0].Parts[0].Request = []byte{1}
	received, _ = decodeCrashes(now, b)
	require.Equal(t, sent.Parts[2:], received[0].Parts, "parts without a valid request are dropped")
}

// TestCrashesWithoutPeers guards against crashes that nobody learns of because no other gateway was known
// to be alive when they were to be sent.
func TestCrashesWithoutPeers(t *testing.T) {
	now := time.Now()
	n := &Node{self: netip.MustParseAddr("127.0.0.1"), options: Options{State: func() State { return State{} }}, peers: map[netip.Addr]*remote{}, relays: newRelayState()}
	defer n.relays.timer.Stop()
	crashesSent := func() int {
		n.relays.rankedAt = time.Time{}
		n.send(now, false)
		held := n.relays.ownHallBeacons
		b := &peerpb.Beacon{}
		require.NoError(t, proto.Unmarshal(held[len(held)-1].Beacon, b))
		return len(b.Ends)
	}
	n.pendingCrashes.add(now, Crash{Server: "i-1@5"}, maxPendingCrashes)
	require.Zero(t, crashesSent())
	require.Zero(t, crashesSent())
	n.peers[netip.MustParseAddr("127.0.0.2")] = &remote{alive: true, lastHeard: now}
	require.Equal(t, 1, crashesSent())
	require.Equal(t, 1, crashesSent())
	require.Zero(t, crashesSent(), "it was sent twice")
}

// TestOldItems checks that items which nobody could be told of in time are dropped, and that others are
// sent twice.
func TestOldItems(t *testing.T) {
	now := time.Unix(1000, 0)
	var q resendQueue[int]
	q.add(now, 1, 10)
	q.add(now.Add(2*time.Second), 2, 10)
	q.add(now.Add(2*time.Second), 3, 10)
	late := now.Add(resendTimeout + time.Second)
	require.Equal(t, []int{2}, q.next(late, 1))
	require.True(t, q.hasUnsent())
	require.Equal(t, []int{2, 3}, q.next(late, 10))
	require.False(t, q.hasUnsent())
	require.Equal(t, []int{3}, q.next(late.Add(time.Hour), 10), "it was sent before")
	require.Empty(t, q.next(late, 10))
}

// TestCrashBytes measures what crashes add to a beacon, for docs/CAPACITY.md, and checks that the
// largest one fits into a datagram.
func TestCrashBytes(t *testing.T) {
	size := func(crashes, requests, parts, loads int) int {
		n := &Node{options: Options{State: func() State { return State{} }}}
		for i := range crashes {
			c := Crash{Server: fmt.Sprintf("i-%010d@1760000000000", i)}
			for r := range requests {
				c.Suspects = append(c.Suspects, Key{byte(i), byte(r)})
			}
			for p := range parts {
				c.Parts = append(c.Parts, Part{Key: Key{byte(i), byte(p)}, Request: Key{byte(p)}, Account: "account-of-a-tenant"})
			}
			n.pendingCrashes.add(time.Now(), c, maxPendingCrashes)
		}
		for i := range maxPartsAnsweredPerBeacon {
			n.pendingAnswered.add(time.Now(), Key{byte(i)}, maxPendingPartsAnswered)
		}
		for i := range loads {
			n.addLoad(Load{Server: uint64(i) << 40, Work: time.Second, Parts: []uint64{1 << 60, 1 << 61, 1 << 62, 1 << 63, 5}, Tokens: 17000})
		}
		b, _ := n.newBeacon(false, false)
		n.addLoads(b)
		n.addCrashes(time.Now(), b)
		return proto.Size(&peerpb.Datagram{Beacon: b})
	}
	one := size(1, 0, 0, 0)
	t.Logf("figure crash-request %d B", (size(1, 32, 0, 0)-one)/32)
	t.Logf("figure crash-part %d B", (size(1, 0, 32, 0)-one)/32)
	require.Less(t, size(maxCrashesPerBeacon+1, maxSuspectsPerCrash, maxPartsPerCrash, maxLoads), maxDatagramSize)
}
