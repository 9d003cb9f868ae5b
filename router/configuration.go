package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"opalbridge.dev/config"
	"opalbridge.dev/explain"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

const (
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 10 * time.Second
	watchTimeout = time.Minute
	// dutyCheckInterval is how often a router that does not watch the store checks
	// whether the duty has passed to it.
	dutyCheckInterval = 2 * time.Second
)

// watchConfiguration watches the platform's key-value store for new revisions. Only
// dutyReplicas routers of a hall watch it, to bound its load; the others receive
// revisions from peers, but every router reads the store once at startup.
func (r *Router) watchConfiguration(ctx context.Context) {
	var version uint64
	backoff := minBackoff
	for first := true; ; first = false {
		if !first && !r.members.holdsDuty("configuration") {
			if !sleep(ctx, dutyCheckInterval) {
				return
			}
			continue
		}
		d, current, err := r.readConfiguration(ctx, first, version)
		if err == nil {
			err = r.restore(ctx, d, current)
		}
		if err != nil {
			r.recordOutage(err)
			// Jitter keeps the routers from retrying at the same moment.
			if !sleep(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		r.recordRecovery()
		backoff = minBackoff
		version = current
		r.applyDocument(d, "the platform's service")
		r.recordConfirmation(0, d.Revision)
	}
}

func (r *Router) readConfiguration(ctx context.Context, first bool, version uint64) (*config.Document, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if first || version == 0 {
		d, v, err := r.store.Load(ctx)
		if err == nil && v == 0 {
			return r.store.Watch(ctx, 0)
		}
		return d, v, err
	}
	return r.store.Watch(ctx, version)
}

// restore writes the revision in force back to a store that holds an older one.
func (r *Router) restore(ctx context.Context, d *config.Document, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	stale, err := r.store.Restore(ctx, d, version)
	if stale {
		r.record(explain.Event{Kind: explain.Repair, Text: fmt.Sprintf("the platform's service has come back with revision %d", d.Revision)})
		r.options.Log.Warn().Uint64("revision", r.holder.Revision()).Uint64("service", d.Revision).Err(err).Msg("platform store holds an older configuration, restored the one in force")
	}
	return err
}

// applyDocument puts a document in force if it is newer than the current one, and
// announces its revision to the agents.
func (r *Router) applyDocument(d *config.Document, from string) bool {
	if !r.holder.Offer(d) {
		return false
	}
	r.record(explain.Event{Kind: explain.Repair, Text: fmt.Sprintf("revision %d in force, from %s", d.Revision, from)})
	r.options.Log.Info().Uint64("revision", d.Revision).Str("from", from).Msg("configuration in force")
	r.dispatcher.send(configEvent{})
	r.agents.broadcast(r.controlMessage(&wirepb.Control_Ping{Ping: &wirepb.Ping{Sent: time.Now().UnixNano()}}))
	return true
}

// requestNewerDocument asks a peer for its document if its message carries a newer
// revision.
func (r *Router) requestNewerDocument(p *wire.Peer, m *wirepb.Control) {
	if m.GetDocument() != nil || m.GetDocumentRequest() != nil {
		return
	}
	if m.Revision > r.holder.Revision() {
		p.Send(r.controlMessage(&wirepb.Control_DocumentRequest{DocumentRequest: &wirepb.DocumentRequest{}}))
	}
}

func (r *Router) sendDocumentIfNewer(p *wire.Peer, theirs uint64) {
	if r.holder.Revision() > theirs {
		r.sendDocument(p)
	}
}

func (r *Router) sendDocument(p *wire.Peer) {
	d := r.holder.Current()
	if d.Revision == 0 {
		return
	}
	content, err := d.Encode()
	if err != nil {
		r.options.Log.Error().Err(err).Msg("failed to encode configuration")
		return
	}
	p.Send(r.controlMessage(&wirepb.Control_Document{Document: &wirepb.Document{Content: content}}))
}

// freshness records when the store last confirmed the revision in force, to this
// router or to one that reported so.
type freshness struct {
	mutex       sync.Mutex
	confirmedAt time.Time
	outageSince time.Time // start of the current store outage; zero: none
}

func (r *Router) recordConfirmation(age time.Duration, revision uint64) {
	if revision < r.holder.Revision() || age < 0 {
		return
	}
	r.freshness.mutex.Lock()
	defer r.freshness.mutex.Unlock()
	if at := time.Now().Add(-age); at.After(r.freshness.confirmedAt) {
		r.freshness.confirmedAt = at
	}
}

// unconfirmedAge is the age reported when the store never confirmed the revision.
const unconfirmedAge = 100 * 24 * time.Hour

func (r *Router) confirmationAge() time.Duration {
	r.freshness.mutex.Lock()
	defer r.freshness.mutex.Unlock()
	if r.freshness.confirmedAt.IsZero() {
		return unconfirmedAge
	}
	return time.Since(r.freshness.confirmedAt)
}

func (r *Router) recordOutage(err error) {
	r.freshness.mutex.Lock()
	defer r.freshness.mutex.Unlock()
	if r.freshness.outageSince.IsZero() {
		r.freshness.outageSince = time.Now()
		r.record(explain.Event{Kind: explain.Degrade, Text: "the platform's service cannot be read: " + err.Error()})
		r.options.Log.Warn().Err(err).Msg("failed to read configuration from the platform store")
	}
}

func (r *Router) recordRecovery() {
	r.freshness.mutex.Lock()
	defer r.freshness.mutex.Unlock()
	if r.freshness.outageSince.IsZero() {
		return
	}
	r.record(explain.Event{Kind: explain.Repair,
		Text: fmt.Sprintf("the platform's service can be read again, after %s", time.Since(r.freshness.outageSince).Round(time.Second))})
	r.freshness.outageSince = time.Time{}
}

// byteCounter counts the bytes that routers exchange over streams, which are
// control traffic too.
type byteCounter struct {
	mutex sync.Mutex
	bytes uint64
}

func (c *byteCounter) add(m proto.Message) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bytes += uint64(proto.Size(m))
}

func (c *byteCounter) total() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.bytes
}
