// Package kv is what a router with agents needs of the platform it runs on: a small
// key-value service and a list of live hosts, each behind a narrow interface.
//
// # Usage
//
//	var store kv.KV = platform.KV{Store: &platform.Store{Address: "10.0.0.1:2379"}}
//	e, err := store.Get(ctx, "opalbridge/configuration")
//
// Package platform implements both over the users' platform; another platform is met
// by another implementation. A stand-in in memory is in kvtest.
package kv

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors that callers tell apart. Any other error from a write leaves it unknown
// whether the write took effect.
var (
	ErrConflict    = errors.New("kv: version conflict")
	ErrUnavailable = errors.New("kv: service unavailable") // refused before any effect
)

// Entry is a value and the version the service gives it; version zero means that
// there is none.
type Entry struct {
	Value   []byte
	Version uint64
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
