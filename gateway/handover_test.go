package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer"
)

// TestAskAlthoughOneIsBehindToo: a gateway of the own hall that is cut off from the
// store goes on telling an old revision between the beacons of one that knows more.
func TestAskAlthoughOneIsBehindToo(t *testing.T) {
	g := newIdleGateway(t)
	g.storeWatcher.publish(configurationVersion(1), nil, 16)
	h := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
	now := time.Now()
	for range 4 {
		now = now.Add(100 * time.Millisecond)
		h.handle(t.Context(), now, peer.Update{From: "127.0.0.3", Hall: "other", Alive: true, StoreRevision: 17})
		h.handle(t.Context(), now, peer.Update{From: "127.0.0.2", Hall: "h", Alive: true, StoreRevision: 16})
	}
	require.True(t, h.fetching, "300 ms are over")
	<-h.fetched
}

// TestElect: who watches the store for the hall.
func TestElect(t *testing.T) {
	lower, higher := "", "" // addresses that come before and after the own one
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
		{"one before it", peer.Update{From: lower, Hall: "h", Alive: true}, false},
		{"one before it that has lost the store", peer.Update{From: lower, Hall: "h", Alive: true, StoreUnreachable: true}, true},
		{"one before it in another hall", peer.Update{From: lower, Hall: "other", Alive: true}, true},
		{"one after it", peer.Update{From: higher, Hall: "h", Alive: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			h := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
			h.handle(t.Context(), time.Now(), test.update)
			require.Equal(t, test.watches, g.watchesStore.Load())
		})
	}
}

// TestRetriesAreShared: the more gateways of a hall have lost the store, the more rarely
// each of them tries, and one that is alone with it tries as often as before.
func TestRetriesAreShared(t *testing.T) {
	tests := []struct {
		beside int // others of the hall that have lost it
		after  time.Duration
	}{{0, 200 * time.Millisecond}, {1, 200 * time.Millisecond}, {5, 600 * time.Millisecond}, {19, 2 * time.Second}, {200, 2 * time.Second}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.beside), func(t *testing.T) {
			g := newIdleGateway(t)
			h := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
			now := g.started.Add(time.Minute)
			for n := range test.beside {
				h.handle(t.Context(), now, peer.Update{From: fmt.Sprint(n), Hall: "h", Alive: true, StoreUnreachable: true})
			}
			h.handle(t.Context(), now, peer.Update{From: "sound", Hall: "h", Alive: true})
			h.handle(t.Context(), now, peer.Update{From: "far", Hall: "other", Alive: true, StoreUnreachable: true})
			f := g.storeWatcher
			f.unreachable, f.lastQuery = true, now
			require.False(t, f.shouldQuery(now.Add(test.after-time.Millisecond)))
			require.True(t, f.shouldQuery(now.Add(test.after)))
			for n := range test.beside {
				h.handle(t.Context(), now, peer.Update{From: fmt.Sprint(n), Hall: "h", Alive: true})
			}
			require.Equal(t, sourceRetryInterval, f.retryInterval(), "the others have it again")
		})
	}
}
