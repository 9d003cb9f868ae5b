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
	Configuration *catalog.Configuration // nil: none yet
	Raw           []byte                 // the configuration as it was announced
	Servers       []catalog.Server
	Unreadable    []string                    // names whose entries tell of no server that can be used
	Missing       map[string]time.Time        // servers that are kept until then although their entry has gone
	Revision      catalog.Revision            // changes up to it are included
	Evacuated     map[string]catalog.Revision // halls that are evacuated, with the revision at which the operators said so
	// Cold tells for how much longer servers are cold, as they say themselves.
	Cold     map[string]time.Duration
	Orders   map[string]rollout.Order  // by service
	Statuses map[string]rollout.Status // of roll-outs, by service
	// Suspects are the requests that were at two servers or more when these ended.
	Suspects map[quarantine.Key]quarantine.Kept
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

// ServerGone says that the entry of the server of that name has gone.
type ServerGone struct{ Name string }

// ServerUnreadable says that the entry under that name tells of no server that can be used,
// whatever it told before.
type ServerUnreadable struct{ Name string }

// HallEvacuated says that the servers of a hall shall get no new work.
type HallEvacuated struct {
	Hall     string
	Revision catalog.Revision // of the store, which names the evacuation
}

// HallReturned says that an evacuation is taken back.
type HallReturned struct{ Hall string }

// ServerClaimed says that a gateway has claimed a cold server.
type ServerClaimed struct{ Claim warmup.Claim }

// RolloutOrdered says that the traffic of a service shall move to a new version.
type RolloutOrdered struct{ Order rollout.Order }

// RolloutWithdrawn says that there is no such order any more.
type RolloutWithdrawn struct{ Service string }

// RolloutStated tells how far a service's roll-out is.
type RolloutStated struct {
	Service string
	Status  rollout.Status // zero: nothing is said of it any more
}

// SuspectChanged tells what is kept of a request that was at servers when these ended.
type SuspectChanged struct {
	Key  quarantine.Key
	Kept quarantine.Kept
}

// SuspectGone says that nothing is kept of a request any more.
type SuspectGone struct{ Key quarantine.Key }

func (RolloutOrdered) change()       {}
func (RolloutWithdrawn) change()     {}
func (RolloutStated) change()        {}
func (SuspectChanged) change()       {}
func (SuspectGone) change()          {}
func (HallEvacuated) change()        {}
func (HallReturned) change()         {}
func (ServerClaimed) change()        {}
func (ConfigurationChanged) change() {}
func (ServerChanged) change()        {}
func (ServerGone) change()           {}
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
