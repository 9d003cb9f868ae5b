package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/engine/httpstrict"
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/memory"
	"opalbridge.dev/gateway/origin"
	"opalbridge.dev/gateway/peer"
)

// Times and sizes of view transfers.
const (
	viewPath = "/view"
	// How long a gateway waits for updates from the store before it asks a gateway that has a
	// later revision.
	handoverDelay   = 300 * time.Millisecond
	handoverTimeout = time.Second
	// A view holds the configuration (at most 1 MB) in base64 and the servers.
	maxViewBytes = 16 << 20
	// The head of a gateway's answer takes some hundred bytes.
	maxViewHeadBytes = 16 << 10
)

// viewClient fetches views. The address of a gateway may belong to another program by now.
var viewClient = &http.Client{
	Transport:     httpstrict.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxViewHeadBytes}),
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// serveView handles the request of another gateway for the view.
func (g *Gateway) serveView(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	body, err := g.encodedView(time.Now(), r.URL.Query())
	if err == nil {
		_, err = w.Write(body)
	}
	if err != nil {
		g.log.Debug().Str("event", "view.not_told").Err(err).Msg("cannot send view")
	}
}

// Query parameters of a request for a view: what the asking gateway has.
const (
	sinceKey   = "since"
	versionKey = "version"
)

// encodedView returns the response to a request for the view: what has changed since the
// asking gateway's revision, or the full view.
func (g *Gateway) encodedView(now time.Time, known url.Values) ([]byte, error) {
	v := g.view.Load()
	since, err := strconv.ParseUint(known.Get(sinceKey), 10, 64)
	version, versionErr := strconv.ParseUint(known.Get(versionKey), 10, 64)
	if err == nil && versionErr == nil {
		if d, ok := v.changes(now, catalog.Revision(since), version); ok {
			d.Versions = g.origins.versionRecord(now)
			return json.Marshal(d)
		}
	}
	return g.viewCache.get(now, v, g.origins.versionRecord(now))
}

// viewCache caches the encoded full view for a moment. Gateways that start together ask for it
// together, and with 3,000 servers encoding takes milliseconds. It is safe for concurrent use.
type viewCache struct {
	mutex   sync.Mutex
	view    *View
	at      time.Time
	encoded []byte
}

// Maximum age of the cached view. The times in a view are relative to when it is sent, so cold
// servers appear cold for up to this much longer.
const viewCacheMaxAge = 100 * time.Millisecond

func (c *viewCache) get(now time.Time, v *View, versions origin.Record) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.view == v && now.Sub(c.at) < viewCacheMaxAge {
		return c.encoded, nil
	}
	d := v.document(now)
	d.Versions = versions
	encoded, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: encode view")
	}
	c.view, c.at, c.encoded = v, now, encoded
	return encoded, nil
}

// pullView fetches the view of another gateway and passes it to the storeWatcher.
func (g *Gateway) pullView(ctx context.Context, u peer.Update) {
	p, err := g.fetchView(ctx, u.From)
	if err != nil {
		g.log.Warn().Str("event", "view.not_handed_over").Str("peer", u.From).Err(err).Msg("cannot fetch view; keeping the current one")
		return
	}
	p.confirmed = u.ConfirmedAt
	select {
	case g.storeWatcher.peerViews <- p:
	case <-ctx.Done():
	}
}

// viewQuery returns the query of a request for another gateway's view.
func (g *Gateway) viewQuery() url.Values {
	v := g.view.Load()
	if v.Configuration == nil {
		return url.Values{} // the full view is needed
	}
	return url.Values{
		sinceKey:   {strconv.FormatUint(uint64(v.Revision), 10)},
		versionKey: {strconv.FormatUint(v.Configuration.Version, 10)},
	}
}

func (g *Gateway) fetchView(ctx context.Context, from string) (peerView, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, port, err := net.SplitHostPort(g.options.Peer.Address)
	if err != nil {
		return peerView{}, errors.Wrap(err, "gateway: own peer address")
	}
	if n, err := strconv.Atoi(port); err != nil || n <= 0 {
		return peerView{}, errors.Newf("gateway: own peer port %q", port)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(from, port)+viewPath+"?"+g.viewQuery().Encode(), nil)
	if err != nil {
		return peerView{}, errors.Wrap(err, "gateway: create view request")
	}
	request.Close = true
	response, err := viewClient.Do(request)
	if err != nil {
		return peerView{}, errors.Wrapf(err, "gateway: request view of %s", from)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return peerView{}, errors.Newf("gateway: view of %s: status %d", from, response.StatusCode)
	}
	raw, err := memory.ReadAll(response.Body, response.ContentLength, maxViewBytes, nil)
	if err != nil {
		return peerView{}, errors.Wrapf(err, "gateway: view of %s", from)
	}
	var d viewDocument
	if err := json.Unmarshal(raw, &d); err != nil {
		return peerView{}, errors.Wrapf(err, "gateway: view of %s", from)
	}
	p := d.peerView(time.Now())
	p.from = from
	if len(d.Configuration) == 0 {
		return p, nil
	}
	p.snapshot.Configuration, err = g.options.Source.Decode(d.Configuration)
	return p, err
}
