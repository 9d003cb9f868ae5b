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

// ErrHistoryGone is what [Source.Watch] returns when changes after a revision can no
// longer be told: list again.
var ErrHistoryGone = errors.New("gateway: history of the store is gone")

// Snapshot is all that the source holds.
type Snapshot struct {
	Configuration    *catalog.Configuration // nil: none yet
	RawConfiguration []byte                 // the configuration as it was announced
	Servers          []catalog.Server
	Unreadable       []string                    // names whose entries tell of no server that can be used
	MissingUntil     map[string]time.Time        // servers that are kept until then although their entry has gone
	Revision         catalog.Revision            // changes up to it are included
	Evacuated        map[string]catalog.Revision // halls that are evacuated, with the revision at which the operators said so
	// ColdFor tells for how much longer servers are cold, as they say themselves.
	ColdFor         map[string]time.Duration
	RolloutOrders   map[string]rollout.Order  // by service
	RolloutStatuses map[string]rollout.Status // of roll-outs, by service
	// Suspects are the requests that were at two servers or more when these ended.
	Suspects map[quarantine.Key]quarantine.StoredRecord
}

// Change is one change of what the source holds.
type Change interface{ change() }

// ConfigurationChanged brings a new configuration.
type ConfigurationChanged struct {
	Configuration *catalog.Configuration
	Raw           []byte
}

// ServerChanged brings a new or changed server.
type ServerChanged struct {
	Server catalog.Server
	Cold   time.Duration // for how much longer it is cold, as it says itself
}

// ServerRemoved says that the entry of the server of that name has gone.
type ServerRemoved struct{ Name string }

// ServerUnreadable says that the entry under that name tells of no server that can be used,
// whatever it told before.
type ServerUnreadable struct{ Name string }

// HallEvacuated says that the servers of a hall shall get no new work.
type HallEvacuated struct {
	Hall     string
	Revision catalog.Revision // of the store, which names the evacuation
}

// HallEvacuationEnded says that an evacuation is taken back.
type HallEvacuationEnded struct{ Hall string }

// ServerClaimed says that a gateway has claimed a cold server.
type ServerClaimed struct{ Claim warmup.Claim }

// RolloutOrdered says that the traffic of a service shall move to a new version.
type RolloutOrdered struct{ Order rollout.Order }

// RolloutWithdrawn says that there is no such order any more.
type RolloutWithdrawn struct{ Service string }

// RolloutStatusChanged tells how far a service's roll-out is.
type RolloutStatusChanged struct {
	Service string
	Status  rollout.Status // zero: nothing is said of it any more
}

// SuspectChanged tells what is kept of a request that was at servers when these ended.
type SuspectChanged struct {
	Key  quarantine.Key
	Kept quarantine.StoredRecord
}

// SuspectRemoved says that nothing is kept of a request any more.
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

// Source tells the operators' configuration and the backend servers. It may be slow,
// away, or answer for some gateways only.
type Source interface {
	// List returns all there is.
	List(ctx context.Context) (Snapshot, error)
	// Watch waits at most wait for changes after a revision, and returns them with
	// the revision to go on from.
	Watch(ctx context.Context, revision catalog.Revision, wait time.Duration) ([]Change, catalog.Revision, error)
	// Era returns the latest era of revisions that any answer of the store has told, also one
	// to other calls.
	Era() uint64
	// Decode decodes a configuration that another gateway has handed over.
	Decode(raw []byte) (*catalog.Configuration, error)
}
