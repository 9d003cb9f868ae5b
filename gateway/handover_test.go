package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/origin"
	"opalbridge.dev/gateway/peer"
)

// TestFetchDespiteStalePeer checks that a gateway fetches a later view even though a gateway
// of its hall that is cut off from the store keeps reporting an old revision between the
// heartbeats of a gateway that has the later one.
func TestFetchDespiteStalePeer(t *testing.T) {
	g := newIdleGateway(t)
	g.storeWatcher.publish(configurationVersion(1), nil, 16)
	r := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
	now := time.Now()
	for range 4 {
		now = now.Add(100 * time.Millisecond)
		r.handle(t.Context(), now, peer.Update{From: "127.0.0.3", Hall: "other", Alive: true, StoreRevision: 17})
		r.handle(t.Context(), now, peer.Update{From: "127.0.0.2", Hall: "h", Alive: true, StoreRevision: 16})
	}
	require.True(t, r.fetching, "300 ms have passed")
	<-r.fetched
}

// TestElect checks which gateway watches the store for the hall.
func TestElect(t *testing.T) {
	lower, higher := "", "" // addresses whose hashes are below and above the gateway's own
	for n := 2; n < 255; n++ {
		address := fmt.Sprintf("127.0.0.%d", n)
		if hashString(address) < hashString("127.0.0.1") {
			lower = address
		} else {
			higher = address
		}
	}
	require.NotEmpty(t, lower)
	require.NotEmpty(t, higher)
	tests := []struct {
		name    string
		update  peer.Update
		watches bool
	}{
		{"alone", peer.Update{From: lower}, true},
		{"peer with lower hash", peer.Update{From: lower, Hall: "h", Alive: true}, false},
		{"peer with lower hash that has lost the store", peer.Update{From: lower, Hall: "h", Alive: true, StoreUnreachable: true}, true},
		{"peer with lower hash in another hall", peer.Update{From: lower, Hall: "other", Alive: true}, true},
		{"peer with higher hash", peer.Update{From: higher, Hall: "h", Alive: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			r := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
			r.handle(t.Context(), time.Now(), test.update)
			require.Equal(t, test.watches, g.watchesStore.Load())
		})
	}
}

// TestRetriesAreShared checks that the more gateways of a hall have lost the store, the less
// often each one retries, and that a gateway that alone has lost it retries as often as
// before.
func TestRetriesAreShared(t *testing.T) {
	tests := []struct {
		peersWithoutStore int // other gateways of the hall that have lost the store
		after             time.Duration
	}{{0, 200 * time.Millisecond}, {1, 200 * time.Millisecond}, {5, 600 * time.Millisecond}, {19, 2 * time.Second}, {200, 2 * time.Second}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.peersWithoutStore), func(t *testing.T) {
			g := newIdleGateway(t)
			r := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
			now := g.started.Add(time.Minute)
			for n := range test.peersWithoutStore {
				r.handle(t.Context(), now, peer.Update{From: fmt.Sprint(n), Hall: "h", Alive: true, StoreUnreachable: true})
			}
			r.handle(t.Context(), now, peer.Update{From: "sound", Hall: "h", Alive: true})
			r.handle(t.Context(), now, peer.Update{From: "far", Hall: "other", Alive: true, StoreUnreachable: true})
			w := g.storeWatcher
			w.unreachable, w.lastQuery = true, now
			require.False(t, w.shouldQuery(now.Add(test.after-time.Millisecond)))
			require.True(t, w.shouldQuery(now.Add(test.after)))
			for n := range test.peersWithoutStore {
				r.handle(t.Context(), now, peer.Update{From: fmt.Sprint(n), Hall: "h", Alive: true})
			}
			require.Equal(t, sourceRetryInterval, w.retryInterval(), "the others reach the store again")
		})
	}
}

// TestStartedGatewayAsksForVersions: a gateway that listed the store itself asks another one which
// versions have served before, twice at most.
func TestStartedGatewayAsksForVersions(t *testing.T) {
	g := newIdleGateway(t)
	g.storeWatcher.publish(configurationVersion(1), nil, catalog.NewRevision(1, 20))
	r := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
	asked := 0
	for now := time.Now(); now.Before(g.started.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		r.handle(t.Context(), now, peer.Update{From: "127.0.0.2", Hall: "h", Alive: true, StoreRevision: catalog.NewRevision(1, 20), ConfirmedAt: now})
		if r.fetching {
			<-r.fetched
			r.fetching = false
			asked++
		}
	}
	require.Equal(t, maxVersionAsks, asked)
	now := time.Now()
	g.storeWatcher.applyPeerView(now, peerView{versions: origin.Record{CompleteMS: 60_000, Versions: []origin.ServingVersion{{Service: "s", Version: "v1", AgoMS: 30_000}}}})
	require.GreaterOrEqual(t, g.origins.versionSpan(now), time.Minute)
	version, ok := g.origins.onlyVersion(now, "s", 50*time.Second)
	require.True(t, ok)
	require.Equal(t, "v1", version)
}

// TestBrokenAnswerToViewRequest checks that a view whose answer is none is not taken.
func TestBrokenAnswerToViewRequest(t *testing.T) {
	tests := []struct {
		name, answer string
		sound        bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true},
		{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}", false},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", false},
		{"line that begins with a blank", "HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 2\r\n\r\n{}", false},
		{"cut head", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", false},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, test.answer)
				}
			}()
			host, port, err := net.SplitHostPort(l.Addr().String())
			require.NoError(t, err)
			g := &Gateway{options: Options{Peer: peer.Options{Address: net.JoinHostPort("127.0.0.2", port)}}}
			g.view.Store(&View{})
			_, err = g.fetchView(t.Context(), host)
			require.Equal(t, test.sound, err == nil, "%v", err)
		})
	}
}
