package gateway

import (
	"context"
	"net"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
)

// This file receives what other gateways report, and decides from it which gateway watches the
// store for its hall and when to fetch another gateway's view.

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
				g.offloadTargets.update(time.Now(), u)
				g.withdrawal.update(time.Now(), u)
				g.callerRetries.addRemote(time.Now(), u.Refusals)
				g.suspects.SetPeerLive(u.From, u.Alive)
				g.suspects.ApplyPeerReports(time.Now(), u.Crashes, u.Cleared)
				g.suspects.ApplyPartsAnswered(u.PartsAnswered)
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
