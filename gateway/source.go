package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/rollout"
	"opalbridge.dev/gateway/warmup"
)

// ErrHistoryGone is returned by [Source.Watch] when the changes after the given revision are no
// longer available: list again.
var ErrHistoryGone = errors.New("gateway: change history of the store is gone")

// Snapshot is the complete content of the source.
type Snapshot struct {
	Configuration    *catalog.Configuration // nil: none yet
	RawConfiguration []byte                 // the configuration as published
	Servers          []catalog.Server
	Unreadable       []string                    // names of entries that describe no usable server
	MissingUntil     map[string]time.Time        // servers kept until then although their entry is gone
	Revision         catalog.Revision            // all changes up to it are included
	Evacuated        map[string]catalog.Revision // evacuated halls, with the revision at which the operators ordered it
	// ColdFor holds, for cold servers, the remaining cold time that they report themselves.
	ColdFor         map[string]time.Duration
	RolloutOrders   map[string]rollout.Order  // by service
	RolloutStatuses map[string]rollout.Status // by service
	// Suspects are requests during which two servers or more have crashed.
	Suspects map[quarantine.Key]quarantine.StoredRecord
}

// Change is a single change of the source's content.
type Change interface{ change() }

// ConfigurationChanged reports a new configuration.
type ConfigurationChanged struct {
	Configuration *catalog.Configuration
	Raw           []byte
}

// ServerChanged reports a new or changed server.
type ServerChanged struct {
	Server catalog.Server
	Cold   time.Duration // remaining cold time that it reports itself
}

// ServerRemoved reports that the entry of a server is gone.
type ServerRemoved struct{ Name string }

// ServerUnreadable reports an entry that describes no usable server, whatever it held before.
type ServerUnreadable struct{ Name string }

// HallEvacuated reports that the servers of a hall must get no new work.
type HallEvacuated struct {
	Hall     string
	Revision catalog.Revision // of the store; it identifies the evacuation
}

// HallEvacuationEnded reports that the operators have ended an evacuation.
type HallEvacuationEnded struct{ Hall string }

// ServerClaimed reports that a gateway has claimed a cold server.
type ServerClaimed struct{ Claim warmup.Claim }

// RolloutOrdered reports an order to move the traffic of a service to a new version.
type RolloutOrdered struct{ Order rollout.Order }

// RolloutWithdrawn reports that the operators have withdrawn the order.
type RolloutWithdrawn struct{ Service string }

// RolloutStatusChanged reports the progress of a service's rollout.
type RolloutStatusChanged struct {
	Service string
	Status  rollout.Status // zero: the status was removed
}

// SuspectChanged reports the stored state of a request during which servers have crashed.
type SuspectChanged struct {
	Key    quarantine.Key
	Record quarantine.StoredRecord
}

// SuspectRemoved reports that a suspect was removed from the store.
type SuspectRemoved struct{ Key quarantine.Key }

func (RolloutOrdered) change()       {}
func (RolloutWithdrawn) change()     {}
func (RolloutStatusChanged) change() {}
func (SuspectChanged) change()       {}
func (SuspectRemoved) change()       {}
func (HallEvacuated) change()        {}
func (HallEvacuationEnded) change()  {}
func (ServerClaimed) change()        {}
func (ConfigurationChanged) change() {}
func (ServerChanged) change()        {}
func (ServerRemoved) change()        {}
func (ServerUnreadable) change()     {}

// Source provides the operators' configuration and the backend servers. It may be slow,
// unreachable, or reachable for some gateways only.
type Source interface {
	// List returns the complete content.
	List(ctx context.Context) (Snapshot, error)
	// Watch waits at most wait for changes after a revision. It returns them with the
	// revision to continue from.
	Watch(ctx context.Context, revision catalog.Revision, wait time.Duration) ([]Change, catalog.Revision, error)
	// Revision returns the latest revision of the store, as of a moment after the call.
	Revision(ctx context.Context) (catalog.Revision, error)
	// Era returns the latest era of revisions seen in any answer of the store, including
	// answers to other calls.
	Era() uint64
	// Decode decodes a configuration that a peer has handed over.
	Decode(raw []byte) (*catalog.Configuration, error)
}
