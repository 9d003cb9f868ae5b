package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/handoff"
)

// openTunnel is a caller's connection that another gateway serves.
type openTunnel struct {
	stream *handoff.Stream
	caller string // its address
	peer   string // address of the other gateway
	began  time.Time
}

// tunnels is the set of open tunnels. Its zero value is empty. It is safe for concurrent use.
type tunnels struct {
	mutex sync.Mutex
	open  map[*openTunnel]struct{}
}

// add adds a tunnel, and returns a function that removes it.
func (t *tunnels) add(o *openTunnel) (remove func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.open == nil {
		t.open = map[*openTunnel]struct{}{}
	}
	t.open[o] = struct{}{}
	return func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		delete(t.open, o)
	}
}

// maxCutTunnels is the maximum number of tunnels that are logged one by one when a stop cuts them.
const maxCutTunnels = 64

// logCut logs the tunnels that are open when the grace period of a stop has expired, the oldest ones first.
func (t *tunnels) logCut(log zerolog.Logger, now time.Time) {
	for _, o := range t.oldest(maxCutTunnels) {
		request, response := o.stream.Forwarded()
		log.Warn().Str("event", "stop.tunnel_cut").Str("caller", o.caller).Str("peer", o.peer).Int64("request_bytes", request).
			Int64("response_bytes", response).Dur("open_for", now.Sub(o.began)).Msg("offloaded connection open when the grace period expired")
	}
}

// oldest returns the oldest tunnels, n at most.
func (t *tunnels) oldest(n int) []*openTunnel {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := make([]*openTunnel, 0, len(t.open))
	for o := range t.open {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *openTunnel) int {
		return cmp.Or(a.began.Compare(b.began), cmp.Compare(a.caller, b.caller))
	})
	return list[:min(n, len(list))]
}
