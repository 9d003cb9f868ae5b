// Package kvtest provides an in-memory fake of the platform: a key-value service with
// versions and watches, and a list of live hosts.
//
// # Usage
//
//	s := &kvtest.Service{}
//	s.SetFaults(kvtest.Faults{Down: true})
//
// It is for tests only. Package platformtest has a fake that implements the platform's
// protocol.
package kvtest

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/kv"
)

// WatchTimeout is the time after which a watch returns the unchanged entry.
const WatchTimeout = 30 * time.Second

// Faults configures fault injection.
type Faults struct {
	Down               bool          // all calls fail without effect
	Delay              time.Duration // delay before each call
	LoseWriteResponses int           // number of writes that take effect but return ErrResponseLost
}

// Calls counts the calls of the service by kind.
type Calls struct{ Reads, Writes, Watches int }

// Service is the fake platform. The zero value is empty and has no faults.
type Service struct {
	mutex    sync.Mutex
	entries  map[string]kv.Entry
	hosts    []kv.Host
	faults   Faults
	calls    Calls
	restores uint64 // number of calls of RestoreSnapshot
	changed  chan struct{}
}

// Snapshot holds the entries of a service at one point in time.
type Snapshot map[string]kv.Entry

// versionBits is the number of low bits of a version that count writes. The bits above
// them hold the number of restores.
const versionBits = 40

// Snapshot returns a copy of the current entries.
func (s *Service) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.entries)
}

// RestoreSnapshot replaces the entries by those of a snapshot, as a restore from a backup
// does: later writes are lost, and all entries get versions that they never had before.
func (s *Service) RestoreSnapshot(c Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.restores++
	s.entries = map[string]kv.Entry{}
	for key, e := range c {
		e.Version = s.restores<<versionBits | e.Version&(1<<versionBits-1)
		s.entries[key] = e
	}
	if s.changed != nil {
		s.notifyWatchers()
	}
}

// ErrResponseLost is returned by a write that took effect but whose response is lost.
var ErrResponseLost = errors.New("kvtest: response lost")

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

// Calls returns the counts so far.
func (s *Service) Calls() Calls {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// SetHost adds a host to the list of live hosts, or replaces it.
func (s *Service) SetHost(h kv.Host) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hosts = slices.DeleteFunc(s.hosts, func(o kv.Host) bool { return o.Name == h.Name })
	s.hosts = append(s.hosts, h)
}

// RemoveHost removes a host from the list of live hosts.
func (s *Service) RemoveHost(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hosts = slices.DeleteFunc(s.hosts, func(o kv.Host) bool { return o.Name == name })
}

// Hosts implements kv.Directory.
func (s *Service) Hosts(ctx context.Context) ([]kv.Host, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return nil, err
	}
	defer s.mutex.Unlock()
	return slices.Clone(s.hosts), nil
}

// Get implements kv.KV.
func (s *Service) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return kv.Entry{}, err
	}
	defer s.mutex.Unlock()
	return s.entries[key], nil
}

// CompareAndSwap implements kv.KV.
func (s *Service) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return 0, err
	}
	defer s.mutex.Unlock()
	if s.entries[key].Version != version {
		return 0, kv.ErrConflict
	}
	if s.entries == nil {
		s.entries = map[string]kv.Entry{}
	}
	s.entries[key] = kv.Entry{Value: slices.Clone(value), Version: version + 1}
	s.notifyWatchers()
	if s.faults.LoseWriteResponses > 0 {
		s.faults.LoseWriteResponses--
		return 0, ErrResponseLost
	}
	return version + 1, nil
}

// Watch implements kv.KV.
func (s *Service) Watch(ctx context.Context, key string, version uint64) (kv.Entry, error) {
	if err := s.begin(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return kv.Entry{}, err
	}
	timeout := time.NewTimer(WatchTimeout)
	defer timeout.Stop()
	for {
		e := s.entries[key]
		changed := s.changed
		s.mutex.Unlock()
		if e.Version != version {
			return e, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return e, nil
		case <-ctx.Done():
			return kv.Entry{}, ctx.Err()
		}
		s.mutex.Lock()
	}
}

// begin counts a call and applies the faults. If it returns nil, the caller holds the
// mutex.
func (s *Service) begin(ctx context.Context, count func(*Calls)) error {
	s.mutex.Lock()
	count(&s.calls)
	f := s.faults
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	s.mutex.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Down {
		return kv.ErrUnavailable
	}
	s.mutex.Lock()
	return nil
}

func (s *Service) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
