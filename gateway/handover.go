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
	"opalbridge.dev/gateway/origin"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/quarantine"
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
)

// viewDocument is the encoding of a view for another gateway.
type viewDocument struct {
	Configuration []byte           `json:"configuration"` // as published
	Servers       []catalog.Server `json:"servers"`
	Revision      catalog.Revision `json:"revision"`
	// Missing is the remaining time, in milliseconds, for which servers without an entry are
	// kept.
	Missing map[string]int64 `json:"missing,omitempty"`
	// Evacuated holds the evacuated halls.
	Evacuated map[string]evacuationDocument `json:"evacuated,omitempty"`
	Cold      map[string]coldDocument       `json:"cold,omitempty"`     // by server
	Rollouts  map[string]rolloutDocument    `json:"rollouts,omitempty"` // by service
	// Suspects holds the servers that crashed under a request, by the text of its key.
	Suspects map[string][]string `json:"suspects,omitempty"`
	// Trials holds the number of trials of requests whose servers crashed at the same time. It
	// is a separate field for compatibility with gateways of a version that lacks it.
	Trials map[string]int `json:"doubts,omitempty"`
	// HasSuspects is true in a full view, unless the sender is of a version without Suspects.
	HasSuspects bool `json:"suspects_told,omitempty"`
	// Partial reports that Servers, RemovedServers, Cold, Suspects and RemovedSuspects hold
	// only the changes since the requested revision, and that Configuration is set only if it
	// is later.
	Partial         bool     `json:"partial,omitempty"`
	RemovedServers  []string `json:"gone,omitempty"`
	RemovedSuspects []string `json:"cleared,omitempty"` // keys of requests that are no longer suspects
	// Unverified holds servers that a restored backup lists and that are not used yet; empty
	// if Partial.
	Unverified []catalog.Server `json:"revived,omitempty"`
	// ReconcileMS is the remaining time, in milliseconds, for which the store may lack entries
	// that it had.
	ReconcileMS int64 `json:"settle_ms,omitempty"`
	// Versions holds which software versions have served, also if Partial.
	Versions origin.Record `json:"versions,omitzero"`
	// Leaving holds all lifetimes of servers that have announced that they are leaving, also
	// if Partial.
	Leaving []string `json:"left,omitempty"`
}

// changes returns what has changed since a revision, for a gateway that has that revision and
// a version of the configuration; ok is false if the change log does not reach back that far.
func (v *View) changes(now time.Time, revision catalog.Revision, version uint64) (d viewDocument, ok bool) {
	d = viewDocument{Revision: v.Revision, Partial: true, Leaving: v.ReportedLeaving, ReconcileMS: millisUntil(now, v.ReconcileUntil)}
	if v.Configuration != nil && v.Configuration.Version > version {
		d.Configuration = v.RawConfiguration
	}
	if revision > v.Revision {
		return d, true // the asking gateway has a later revision of the store
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
		if _, kept := d.Suspects[key]; !kept {
			d.RemovedSuspects = append(d.RemovedSuspects, key)
		}
	}
	return d, true
}

// document returns the full view for another gateway.
func (v *View) document(now time.Time) viewDocument {
	d := viewDocument{Configuration: v.RawConfiguration, Servers: v.Servers, Revision: v.Revision, Leaving: v.ReportedLeaving, Unverified: v.Unverified, ReconcileMS: millisUntil(now, v.ReconcileUntil)}
	d.addMissing(now, v)
	d.addRollouts(now, v)
	d.addCold(now, v, func(string) bool { return true })
	d.addSuspects(v, func(string) bool { return true })
	d.HasSuspects = true
	return d
}

func (d *viewDocument) addSuspects(v *View, include func(key string) bool) {
	for key, record := range v.Suspects {
		text := key.String()
		if !include(text) {
			continue
		}
		if d.Suspects == nil {
			d.Suspects, d.Trials = map[string][]string{}, map[string]int{}
		}
		d.Suspects[text] = record.Servers
		if record.Simultaneous {
			d.Trials[text] = record.Trials
		}
	}
}

// decodeSuspects decodes the suspects of a view document. Keys that cannot be parsed are
// skipped: other gateways write only valid ones.
func (d viewDocument) decodeSuspects() (suspects map[quarantine.Key]quarantine.StoredRecord, removed []quarantine.Key) {
	suspects = map[quarantine.Key]quarantine.StoredRecord{}
	for text, servers := range d.Suspects {
		if key, err := quarantine.ParseKey(text); err == nil {
			trials, simultaneous := d.Trials[text]
			suspects[key] = quarantine.StoredRecord{Servers: servers, Simultaneous: simultaneous, Trials: trials}
		}
	}
	for _, text := range d.RemovedSuspects {
		if key, err := quarantine.ParseKey(text); err == nil {
			removed = append(removed, key)
		}
	}
	return suspects, removed
}

func (d *viewDocument) addMissing(now time.Time, v *View) {
	for id, until := range v.MissingUntil {
		if d.Missing == nil {
			d.Missing = map[string]int64{}
		}
		d.Missing[id] = max(until.Sub(now).Milliseconds(), 0)
	}
}

// decodeSnapshot decodes the view document, but for the configuration.
func (d viewDocument) decodeSnapshot(now time.Time) Snapshot {
	s := Snapshot{RawConfiguration: d.Configuration, Servers: d.Servers, Revision: d.Revision, MissingUntil: map[string]time.Time{}}
	for id, ms := range d.Missing {
		s.MissingUntil[id] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return s
}

// peerView decodes the view document, but for the configuration and the sender.
func (d viewDocument) peerView(now time.Time) peerView {
	p := peerView{snapshot: d.decodeSnapshot(now), partial: d.Partial, removedServers: d.RemovedServers, leaving: d.Leaving, unverified: d.Unverified, hasSuspects: d.HasSuspects}
	p.reconcileUntil = now.Add(time.Duration(d.ReconcileMS) * time.Millisecond)
	p.evacuations, p.cold = d.decodeCold(now)
	p.rollouts = d.decodeRollouts(now)
	p.snapshot.Suspects, p.removedSuspects = d.decodeSuspects()
	p.versions = d.Versions
	return p
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

// receiveUpdates processes updates from other gateways until their channel is closed.
func (g *Gateway) receiveUpdates(ctx context.Context) {
	r := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
	for {
		select {
		case <-r.fetched:
			r.fetching = false
		case list, open := <-g.peers.Updates():
			if !open {
				if r.fetching {
					<-r.fetched
				}
				return
			}
			g.dispatcher.send(peersUpdated{list})
			for _, u := range list {
				g.offloadTargets.update(u)
				g.callerRetries.addRemote(time.Now(), u.Refusals)
				g.suspects.setPeerLive(u.From, u.Alive)
				g.suspects.applyPeerReports(time.Now(), u.Crashes, u.Cleared)
				g.applyPeerLeaving(time.Now(), u.From, u.LeavingServers)
				r.handle(ctx, time.Now(), u)
			}
		}
	}
}

// updateReceiver is the state of the task that processes updates from other gateways.
type updateReceiver struct {
	gateway         *Gateway
	halls           map[string]string // halls of live gateways that reach the store, by address
	withoutStore    map[string]bool   // live gateways of this hall that cannot reach the store
	highestRevision catalog.Revision  // the highest revision reported
	behindSince     time.Time         // since when another gateway has a later revision of the store; zero: none has
	fetching        bool              // a view is being fetched
	fetched         chan struct{}     // signals that the fetch has ended
	versionAsks     int               // times that another gateway was asked which versions have served
	versionsAskedAt time.Time         // when that was last done
}

func (r *updateReceiver) handle(ctx context.Context, now time.Time, u peer.Update) {
	r.trackStoreAccess(u)
	if !u.Alive {
		return
	}
	g := r.gateway
	v := g.view.Load()
	revision := v.Revision
	// After the store was restored from a backup, a gateway that started since may be up to
	// date with the store and still have an older configuration.
	later := v.Configuration != nil && u.ConfigurationVersion > v.Configuration.Version
	if revision >= r.highestRevision && !later {
		r.behindSince = time.Time{}
	}
	if u.StoreRevision <= revision && !later {
		if u.StoreRevision.Era() != revision.Era() {
			return
		}
		g.confirm(u.ConfirmedAt)
		if r.needsVersions(now) {
			r.versionAsks++
			r.versionsAskedAt = now
			r.pull(ctx, u)
		}
		return
	}
	r.highestRevision = max(r.highestRevision, u.StoreRevision)
	if r.behindSince.IsZero() {
		r.behindSince = now
	}
	// A gateway of this hall that watches the store is asked at once. In other cases the
	// gateway waits for updates within its hall, which cost no traffic between halls.
	delay := handoverDelay
	if u.Hall == g.options.Dispatcher.Hall && !g.watchesStore.Load() {
		delay = 0
	}
	if !r.fetching && now.Sub(r.behindSince) >= delay {
		r.behindSince = time.Time{}
		r.pull(ctx, u)
	}
}

// pull fetches the view of another gateway in a goroutine of its own.
func (r *updateReceiver) pull(ctx context.Context, u peer.Update) {
	r.fetching = true
	go func() {
		r.gateway.pullView(ctx, u)
		r.fetched <- struct{}{}
	}()
}

const (
	// versionAskInterval is the time between two questions of a gateway that has started for the
	// versions that have served before. The other one may have started as well.
	versionAskInterval = 2 * time.Second
	maxVersionAsks     = 2
)

// needsVersions reports whether to ask another gateway which versions have served: this one has
// started a short time ago and got its view from the store.
func (r *updateReceiver) needsVersions(now time.Time) bool {
	g := r.gateway
	age := now.Sub(g.started)
	if r.fetching || r.versionAsks >= maxVersionAsks || now.Sub(r.versionsAskedAt) < versionAskInterval {
		return false
	}
	return age < (maxVersionAsks+1)*versionAskInterval && g.view.Load().Configuration != nil && g.origins.versionSpan(now) <= age
}

// trackStoreAccess updates the lists of gateways that can and cannot reach the store.
func (r *updateReceiver) trackStoreAccess(u peer.Update) {
	if u.Alive && u.StoreUnreachable && u.Hall == r.gateway.options.Dispatcher.Hall {
		r.withoutStore[u.From] = true
	} else {
		delete(r.withoutStore, u.From)
	}
	r.gateway.hallPeersWithoutStore.Store(int64(len(r.withoutStore)))
	hall, known := r.halls[u.From]
	if !u.Alive || u.StoreUnreachable {
		delete(r.halls, u.From)
		if known {
			r.elect()
		}
		return
	}
	if !known || hall != u.Hall {
		r.halls[u.From] = u.Hall
		r.elect()
	}
}

// elect decides whether this gateway watches the store for its hall: of the gateways of the
// hall that reach the store, the one with the lowest hash does. If their lists differ for a
// moment, two gateways watch or none does, and a gateway that hears nothing asks the store
// itself.
func (r *updateReceiver) elect() {
	g := r.gateway
	own, _, err := net.SplitHostPort(g.options.Peer.Address)
	if err != nil {
		return // peer.Listen has validated it
	}
	lowest := hashString(own)
	watches := true
	for address, hall := range r.halls {
		if hall == g.options.Dispatcher.Hall && hashString(address) < lowest {
			watches = false
		}
	}
	if g.watchesStore.Swap(watches) != watches {
		g.log.Info().Str("event", "watch.duty").Bool("watches", watches).Int("gateways", len(r.halls)+1).Msg("store watch assignment")
	}
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
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return peerView{}, errors.Wrapf(err, "gateway: request view of %s", from)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxViewBytes))
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
