// Package kv defines the interfaces through which routers and agents use the platform:
// a small key-value service and a list of live hosts.
//
// # Usage
//
//	var store kv.KV = platform.KV{Store: &platform.Store{Address: "10.0.0.1:2379"}}
//	e, err := store.Get(ctx, "opalbridge/configuration")
//
// Package platform implements both for the users' platform; another platform needs
// another implementation. Package kvtest has an in-memory fake for tests.
package kv

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors that callers can distinguish. After any other error from a write it is
// unknown whether the write took effect.
var (
	ErrConflict    = errors.New("kv: version conflict")
	ErrUnavailable = errors.New("kv: service unavailable") // the call had no effect
)

// Entry is a value and its version in the service. Version zero means that the key
// does not exist.
type Entry struct {
	Value   []byte
	Version uint64
}

// KV is the platform's key-value service. It handles about 100 writes and 2,000 reads
// per second and stores values of up to 1 MB. Outages and lost responses must be
// expected.
type KV interface {
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes the value if the key has the given version, and returns
	// the new version. Otherwise it returns ErrConflict.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// Watch waits until the key has a version other than the given one. The service
	// may end the wait early and return the unchanged entry.
	Watch(ctx context.Context, key string, version uint64) (Entry, error)
}

// Role is the role of the process on a host.
type Role string

// Roles of hosts.
const (
	Router Role = "router"
	Agent  Role = "agent"
)

// Host is an entry of the list of live hosts.
type Host struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Hall    string `json:"hall"`
	Address string `json:"address"` // IP and port of the process's peer listener
	Leaving bool   `json:"leaving,omitempty"`
}

// Directory is the platform's list of live hosts. It may be stale or wrong.
type Directory interface {
	Hosts(ctx context.Context) ([]Host, error)
}
