package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/quarantine"
)

// Times and sizes of handing views over.
const (
	viewPath = "/view"
	// The store's own news are waited for this long before a gateway is asked that
	// says it knows more.
	handoverDelay   = 300 * time.Millisecond
	handoverTimeout = time.Second
	// A view holds the configuration (1 MB at most) in base64 and the servers.
	longestView = 16 << 20
)

// viewDocument is a view on its way to another gateway.
type viewDocument struct {
	Configuration []byte           `json:"configuration"` // as it was announced
	Servers       []catalog.Server `json:"servers"`
	Revision      catalog.Revision `json:"revision"`
	// Missing tells for how much longer servers are kept whose entry has gone, in
	// milliseconds.
	Missing map[string]int64 `json:"missing,omitempty"`
	// Evacuated are the halls that are evacuated.
	Evacuated map[string]evacuationDocument `json:"evacuated,omitempty"`
	Cold      map[string]coldDocument       `json:"cold,omitempty"`     // by server
	Rollouts  map[string]rolloutDocument    `json:"rollouts,omitempty"` // by service
	// Suspects are the servers that ended under a request, by its key's text.
	Suspects map[string][]string `json:"suspects,omitempty"`
	// Doubts tell of those whose servers ended at one moment how often they were tried. They
	// stand apart for gateways of a version that knows of none.
	Doubts map[string]int `json:"doubts,omitempty"`
	// SuspectsTold is true in a whole view, but for a gateway of a version that knows of no
	// suspects.
	SuspectsTold bool `json:"suspects_told,omitempty"`
	// Partial is true if Servers, Gone, Cold, Suspects and Cleared hold only what has changed
	// since the revision that was asked for, and Configuration only a later version.
	Partial        bool     `json:"partial,omitempty"`
	RemovedServers []string `json:"gone,omitempty"`    // servers that are no more
	Cleared        []string `json:"cleared,omitempty"` // keys of requests that are no suspects any more
	// Revived are servers that a copy names and that are kept back; not if Partial.
	Revived []catalog.Server `json:"revived,omitempty"`
	// SettleMS tells for how much longer the store may lack what it had, in milliseconds.
	SettleMS int64 `json:"settle_ms,omitempty"`
	// Leaving are all lifetimes of servers that have said that they leave, also if Partial.
	Leaving []string `json:"left,omitempty"`
}

// changes is what of the view has changed since a revision, for a gateway that knows it and
// a version of the configuration; ok is false if that is not known any more.
func (v *View) changes(now time.Time, revision catalog.Revision, version uint64) (d viewDocument, ok bool) {
	d = viewDocument{Revision: v.Revision, Partial: true, Leaving: v.ReportedLeaving, SettleMS: millisUntil(now, v.ReconcileUntil)}
	if v.Configuration != nil && v.Configuration.Version > version {
		d.Configuration = v.RawConfiguration
	}
	if revision > v.Revision {
		return d, true // who asks knows more of the store
	}
	ids, ok := v.serverChanges.since(revision)
	keys, suspectsKnown := v.suspectChanges.since(revision)
	if !ok || !suspectsKnown {
		return d, false
	}
	for id := range ids {
		if s, known := v.server(id); known {
			d.Servers = append(d.Servers, s)
		} else {
			d.RemovedServers = append(d.RemovedServers, id)
		}
	}
	d.addMissing(now, v)
	d.addRollouts(now, v)
	d.addCold(now, v, func(server string) bool { return ids[server] })
	d.addSuspects(v, func(key string) bool { return keys[key] })
	for key := range keys {
		if _, still := d.Suspects[key]; !still {
			d.Cleared = append(d.Cleared, key)
		}
	}
	return d, true
}

// document is the whole view as it goes to another gateway.
func (v *View) document(now time.Time) viewDocument {
	d := viewDocument{Configuration: v.RawConfiguration, Servers: v.Servers, Revision: v.Revision, Leaving: v.ReportedLeaving, Revived: v.Unverified, SettleMS: millisUntil(now, v.ReconcileUntil)}
	d.addMissing(now, v)
	d.addRollouts(now, v)
	d.addCold(now, v, func(string) bool { return true })
	d.addSuspects(v, func(string) bool { return true })
	d.SuspectsTold = true
	return d
}

func (d *viewDocument) addSuspects(v *View, told func(key string) bool) {
	for key, kept := range v.Suspects {
		text := key.String()
		if !told(text) {
			continue
		}
		if d.Suspects == nil {
			d.Suspects, d.Doubts = map[string][]string{}, map[string]int{}
		}
		d.Suspects[text] = kept.Servers
		if kept.Simultaneous {
			d.Doubts[text] = kept.Probes
		}
	}
}

// suspects returns what a view that has arrived tells of suspects. What can't be read is
// passed over: other gateways write only what can.
func (d viewDocument) suspects() (changed map[quarantine.Key]quarantine.StoredRecord, cleared []quarantine.Key) {
	changed = map[quarantine.Key]quarantine.StoredRecord{}
	for text, servers := range d.Suspects {
		if key, err := quarantine.ParseKey(text); err == nil {
			tries, atOnce := d.Doubts[text]
			changed[key] = quarantine.StoredRecord{Servers: servers, Simultaneous: atOnce, Probes: tries}
		}
	}
	for _, text := range d.Cleared {
		if key, err := quarantine.ParseKey(text); err == nil {
			cleared = append(cleared, key)
		}
	}
	return changed, cleared
}

func (d *viewDocument) addMissing(now time.Time, v *View) {
	for id, until := range v.MissingUntil {
		if d.Missing == nil {
			d.Missing = map[string]int64{}
		}
		d.Missing[id] = max(until.Sub(now).Milliseconds(), 0)
	}
}

// decodeSnapshot is what a view that has arrived tells, but for the configuration.
func (d viewDocument) decodeSnapshot(now time.Time) Snapshot {
	s := Snapshot{RawConfiguration: d.Configuration, Servers: d.Servers, Revision: d.Revision, MissingUntil: map[string]time.Time{}}
	for id, ms := range d.Missing {
		s.MissingUntil[id] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return s
}

// peerView is what a view that has arrived tells, but for the configuration and who told it.
func (d viewDocument) peerView(now time.Time) peerView {
	h := peerView{snapshot: d.decodeSnapshot(now), partial: d.Partial, removedServers: d.RemovedServers, leaving: d.Leaving, unverified: d.Revived, hasSuspects: d.SuspectsTold}
	h.reconcileUntil = now.Add(time.Duration(d.SettleMS) * time.Millisecond)
	h.evacuations, h.cold = d.decodeCold(now)
	h.rollouts = d.decodeRollouts(now)
	h.snapshot.Suspects, h.removedSuspects = d.suspects()
	return h
}

// serveView answers another gateway that asks for the view.
func (g *Gateway) serveView(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	packed, err := g.encodedView(time.Now(), r.URL.Query())
	if err == nil {
		_, err = w.Write(packed)
	}
	if err != nil {
		g.log.Debug().Str("event", "view.not_told").Err(err).Msg("the asking gateway has gone")
	}
}

// The keys of a question for a view: what the asking gateway knows.
const (
	sinceKey   = "since"
	versionKey = "version"
)

// encodedView returns what a gateway is told that asks for the view: what has changed since
// the revision that it knows, or all.
func (g *Gateway) encodedView(now time.Time, known url.Values) ([]byte, error) {
	v := g.view.Load()
	since, err := strconv.ParseUint(known.Get(sinceKey), 10, 64)
	version, versionErr := strconv.ParseUint(known.Get(versionKey), 10, 64)
	if err == nil && versionErr == nil {
		if d, ok := v.changes(now, catalog.Revision(since), version); ok {
			return json.Marshal(d)
		}
	}
	return g.whole.get(now, v)
}

// wholeView is the whole view of a moment ago, encoded. Gateways that start together ask
// for it together, and at 3,000 servers it takes milliseconds to encode. It is safe for use
// by several goroutines.
type wholeView struct {
	mutex  sync.Mutex
	of     *View
	at     time.Time
	packed []byte
}

// Times that a view tells count from when it is sent, so it may be this old: cold servers
// then seem cold for so much longer.
const wholeViewAge = 100 * time.Millisecond

func (w *wholeView) get(now time.Time, v *View) ([]byte, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.of == v && now.Sub(w.at) < wholeViewAge {
		return w.packed, nil
	}
	packed, err := json.Marshal(v.document(now))
	if err != nil {
		return nil, errors.Wrap(err, "gateway: encode the view")
	}
	w.of, w.at, w.packed = v, now, packed
	return packed, nil
}

// hear takes up what other gateways tell, until their channel is closed.
func (g *Gateway) hear(ctx context.Context) {
	h := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
	for {
		select {
		case <-h.fetched:
			h.fetching = false
		case list, open := <-g.peers.Updates():
			if !open {
				if h.fetching {
					<-h.fetched
				}
				return
			}
			g.dispatcher.send(peersUpdated{list})
			for _, u := range list {
				g.helpers.update(u)
				g.returned.told(time.Now(), u.Refusals)
				g.suspects.setPeerLive(u.From, u.Alive)
				g.suspects.applyPeerReports(time.Now(), u.Crashes, u.Cleared)
				g.applyPeerLeaving(time.Now(), u.From, u.LeavingServers)
				h.handle(ctx, time.Now(), u)
			}
		}
	}
}

// updateReceiver is the state of the duty that hears other gateways.
type updateReceiver struct {
	gateway      *Gateway
	halls        map[string]string // of live gateways that reach the store, by address
	withoutStore map[string]bool   // live gateways of the own hall that don't reach it
	ahead        catalog.Revision  // the highest revision that was told
	behind       time.Time         // since when a gateway knows more of the store; zero: none does
	fetching     bool              // a view is being fetched
	fetched      chan struct{}     // tells that it was
}

func (h *updateReceiver) handle(ctx context.Context, now time.Time, u peer.Update) {
	h.count(u)
	if !u.Alive {
		return
	}
	g := h.gateway
	v := g.view.Load()
	own := v.Revision
	// After the store has come back from a copy, one that has started since may know no less of
	// it, but an older configuration.
	later := v.Configuration != nil && u.ConfigurationVersion > v.Configuration.Version
	if own >= h.ahead && !later {
		h.behind = time.Time{}
	}
	if u.StoreRevision <= own && !later {
		if u.StoreRevision.Era() == own.Era() {
			g.confirm(u.ConfirmedAt)
		}
		return
	}
	h.ahead = max(h.ahead, u.StoreRevision)
	if h.behind.IsZero() {
		h.behind = now
	}
	// A gateway of the own hall that watches is asked at once. For the others the own
	// hall's news are waited for; they cost no bytes between halls.
	patience := handoverDelay
	if u.Hall == g.options.Dispatcher.Hall && !g.watchesStore.Load() {
		patience = 0
	}
	if !h.fetching && now.Sub(h.behind) >= patience {
		h.fetching = true
		h.behind = time.Time{}
		go func() {
			g.askView(ctx, u)
			h.fetched <- struct{}{}
		}()
	}
}

// count keeps the list of gateways that can watch the store.
func (h *updateReceiver) count(u peer.Update) {
	if u.Alive && u.StoreUnreachable && u.Hall == h.gateway.options.Dispatcher.Hall {
		h.withoutStore[u.From] = true
	} else {
		delete(h.withoutStore, u.From)
	}
	h.gateway.hallPeersWithoutStore.Store(int64(len(h.withoutStore)))
	hall, known := h.halls[u.From]
	if !u.Alive || u.StoreUnreachable {
		delete(h.halls, u.From)
		if known {
			h.elect()
		}
		return
	}
	if !known || hall != u.Hall {
		h.halls[u.From] = u.Hall
		h.elect()
	}
}

// elect decides whether this gateway watches the store for its hall: the gateway
// of the hall with the lowest hash that reaches it does. If lists differ for a moment, two watch or
// none does, and who hears nothing asks the store itself.
func (h *updateReceiver) elect() {
	g := h.gateway
	own, _, err := net.SplitHostPort(g.options.Peer.Address)
	if err != nil {
		return // peer.Listen has checked it
	}
	least := hashString(own)
	watches := true
	for address, hall := range h.halls {
		if hall == g.options.Dispatcher.Hall && hashString(address) < least {
			watches = false
		}
	}
	if g.watchesStore.Swap(watches) != watches {
		g.log.Info().Str("event", "watch.duty").Bool("watches", watches).Int("gateways", len(h.halls)+1).Msg("store")
	}
}

// askView fetches the view of another gateway and hands it to the follower.
func (g *Gateway) askView(ctx context.Context, u peer.Update) {
	h, err := g.fetchView(ctx, u.From)
	if err != nil {
		g.log.Warn().Str("event", "view.not_handed_over").Str("peer", u.From).Err(err).Msg("go on with what is known")
		return
	}
	h.confirmed = u.ConfirmedAt
	select {
	case g.storeWatcher.peerViews <- h:
	case <-ctx.Done():
	}
}

// viewQuery is what another gateway that is asked for its view needs to know.
func (g *Gateway) viewQuery() url.Values {
	v := g.view.Load()
	if v.Configuration == nil {
		return url.Values{} // all is needed
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
		return peerView{}, errors.Wrap(err, "gateway: ask for a view")
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return peerView{}, errors.Wrapf(err, "gateway: ask %s for its view", from)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, longestView))
	if err != nil {
		return peerView{}, errors.Wrapf(err, "gateway: view of %s", from)
	}
	var d viewDocument
	if err := json.Unmarshal(raw, &d); err != nil {
		return peerView{}, errors.Wrapf(err, "gateway: view of %s", from)
	}
	h := d.peerView(time.Now())
	h.from = from
	if len(d.Configuration) == 0 {
		return h, nil
	}
	h.snapshot.Configuration, err = g.options.Source.Decode(d.Configuration)
	return h, err
}
