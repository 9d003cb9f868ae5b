package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
)

// Times and sizes of handing views over.
const (
	viewPath = "/view"
	// The store's own news are waited for this long before a gateway is asked that
	// says it knows more.
	handoverAfter   = 300 * time.Millisecond
	handoverTimeout = time.Second
	// A view holds the configuration (1 MB at most) in base64 and the servers.
	longestView = 16 << 20
)

// viewDocument is a view on its way to another gateway.
type viewDocument struct {
	Configuration []byte           `json:"configuration"` // as it was announced
	Servers       []catalog.Server `json:"servers"`
	Revision      uint64           `json:"revision"`
}

// serveView answers another gateway that asks for the view.
func (g *Gateway) serveView(w http.ResponseWriter, _ *http.Request) {
	v := g.view.Load()
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(viewDocument{Configuration: v.Raw, Servers: v.Servers, Revision: v.Revision})
	if err != nil {
		g.log.Debug().Str("event", "view.not_told").Err(err).Msg("the asking gateway has gone")
	}
}

// hear takes up what other gateways tell, until their channel is closed. A gateway
// that has known more for a while is asked for its view: the store may be out of
// reach here, or its watch may have been cut in silence.
func (g *Gateway) hear(ctx context.Context) {
	var behind time.Time // since when another gateway knows more; zero: none does
	var revision uint64  // that it told
	ended := make(chan struct{}, 1)
	asking := false
	for {
		select {
		case <-ended:
			asking, behind = false, time.Time{}
		case u, open := <-g.peers.Updates():
			if !open {
				if asking {
					<-ended
				}
				return
			}
			g.desk.tell(updateMessage{u})
			own := g.view.Load().Revision
			if !u.Alive || u.StoreRevision <= own {
				continue
			}
			now := time.Now()
			if behind.IsZero() || own >= revision {
				behind, revision = now, u.StoreRevision
			}
			if !asking && now.Sub(behind) > handoverAfter {
				asking = true
				go func() {
					g.askView(ctx, u.From)
					ended <- struct{}{}
				}()
			}
		}
	}
}

// askView fetches the view of another gateway and hands it to the follower.
func (g *Gateway) askView(ctx context.Context, from string) {
	s, err := g.fetchView(ctx, from)
	if err != nil {
		g.log.Warn().Str("event", "view.not_handed_over").Str("peer", from).Err(err).Msg("go on with what is known")
		return
	}
	select {
	case g.follower.handed <- handover{from: from, snapshot: s}:
	case <-ctx.Done():
	}
}

func (g *Gateway) fetchView(ctx context.Context, from string) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, port, err := net.SplitHostPort(g.options.Peer.Address)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "gateway: own peer address")
	}
	if n, err := strconv.Atoi(port); err != nil || n <= 0 {
		return Snapshot{}, errors.Newf("gateway: own peer port %q", port)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(from, port)+viewPath, nil)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "gateway: ask for a view")
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Snapshot{}, errors.Wrapf(err, "gateway: ask %s for its view", from)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, longestView))
	if err != nil {
		return Snapshot{}, errors.Wrapf(err, "gateway: view of %s", from)
	}
	var d viewDocument
	if err := json.Unmarshal(raw, &d); err != nil {
		return Snapshot{}, errors.Wrapf(err, "gateway: view of %s", from)
	}
	s := Snapshot{Raw: d.Configuration, Servers: d.Servers, Revision: d.Revision}
	if len(d.Configuration) == 0 {
		return s, nil
	}
	s.Configuration, err = g.options.Source.Decode(d.Configuration)
	return s, err
}
