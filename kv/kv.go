// Package kv is what opalbridge needs of the platform it runs on: a small
// key-value service and a list of live hosts, each behind a narrow interface.
//
// # Usage
//
// [Client] speaks to both over HTTP:
//
//	c := kv.Client{Base: "http://10.0.0.1:2379"}
//	e, err := c.Get(ctx, "opalbridge/configuration")
//	hosts, err := c.Hosts(ctx)
//
// Another platform is met by another implementation of [KV] and [Directory];
// nothing else in the project knows how the platform is spoken to. Stand-ins for
// tests are in kvtest.
package kv

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that callers tell apart. Any other error from a write leaves it unknown
// whether the write took effect.
var (
	ErrConflict    = errors.New("kv: version conflict")
	ErrUnavailable = errors.New("kv: service unavailable") // refused before any effect
	ErrHeld        = errors.New("kv: lease is held")
)

// Entry is a value and the version the service gives it; version zero means that
// there is none.
type Entry struct {
	Value   []byte
	Version uint64
}

// Lease is a time-limited right with a fence that grows with every holder.
type Lease struct {
	Name    string
	Holder  string
	Fence   uint64
	Expires time.Time
}

// KV is the platform's key-value service. It takes about 100 writes and 2,000
// reads a second, holds values up to 1 MB, has outages and loses answers
// (source: the users' brief, "What the platform gives").
type KV interface {
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes the value if the key's version is the one given and
	// returns the new version, or ErrConflict.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// Watch waits for a version other than the one given. The service may end
	// the wait early and return the unchanged entry.
	Watch(ctx context.Context, key string, version uint64) (Entry, error)
	// Acquire takes or renews a lease, or returns ErrHeld.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
}

// Role tells which duty a host's process has.
type Role string

// The roles of hosts.
const (
	Router Role = "router"
	Agent  Role = "agent"
)

// Host is one line of the live list.
type Host struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Hall    string `json:"hall"`
	Address string `json:"address"` // IP and port of the process's peer listener
	Leaving bool   `json:"leaving,omitempty"`
}

// Directory is the platform's list of live hosts. It lags and may be wrong.
type Directory interface {
	Hosts(ctx context.Context) ([]Host, error)
}
