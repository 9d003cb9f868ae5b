// Package kvtest is a small stand-in for the platform: a key-value service
// with versions and watches, and a list of live hosts that can lag.
//
// # Usage
//
//	s := &kvtest.Service{}
//	s.SetFaults(kvtest.Faults{Down: true})
//
// It keeps everything in memory and is for tests only; platformtest has one that speaks
// the platform's protocol.
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

// WatchTimeout is how long a watch waits before it returns the unchanged entry.
const WatchTimeout = 30 * time.Second

// Faults tell the service how to misbehave.
type Faults struct {
	Down       bool          // every call is refused before any effect
	Delay      time.Duration // every call waits first
	LoseWriteResponses int           // so many writes take effect, and their answer is lost
}

// Calls counts what the service was asked.
type Calls struct{ Reads, Writes, Watches int }

// Service is the stand-in. Its zero value is empty and healthy.
type Service struct {
	mutex   sync.Mutex
	entries map[string]kv.Entry
	hosts   []kv.Host
	faults  Faults
	calls   Calls
	returns uint64 // how often it has come back from a copy
	changed chan struct{}
}

// Snapshot is what the service held at one moment.
type Snapshot map[string]kv.Entry

// returnedBits are those of a version that the service gives within one of its returns.
const returnedBits = 40

// Snapshot returns what the service holds.
func (s *Service) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.entries)
}

// RestoreSnapshot lets the service come back from a copy: what was written since is gone, and all
// entries have versions that they never had before.
func (s *Service) RestoreSnapshot(c Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.returns++
	s.entries = map[string]kv.Entry{}
	for key, e := range c {
		e.Version = s.returns<<returnedBits | e.Version&(1<<returnedBits-1)
		s.entries[key] = e
	}
	if s.changed != nil {
		s.wake()
	}
}

// ErrResponseLost stands for an answer that did not arrive.
var ErrResponseLost = errors.New("kvtest: answer lost")

// SetFaults replaces the faults.
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

// SetHost adds or replaces a host of the live list.
func (s *Service) SetHost(h kv.Host) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hosts = slices.DeleteFunc(s.hosts, func(o kv.Host) bool { return o.Name == h.Name })
	s.hosts = append(s.hosts, h)
}

// RemoveHost takes a host off the live list.
func (s *Service) RemoveHost(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hosts = slices.DeleteFunc(s.hosts, func(o kv.Host) bool { return o.Name == name })
}

// Hosts implements kv.Directory.
func (s *Service) Hosts(ctx context.Context) ([]kv.Host, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return nil, err
	}
	defer s.mutex.Unlock()
	return slices.Clone(s.hosts), nil
}

// Get implements kv.KV.
func (s *Service) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return kv.Entry{}, err
	}
	defer s.mutex.Unlock()
	return s.entries[key], nil
}

// CompareAndSwap implements kv.KV.
func (s *Service) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Writes++ }); err != nil {
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
	s.wake()
	if s.faults.LoseWriteResponses > 0 {
		s.faults.LoseWriteResponses--
		return 0, ErrResponseLost
	}
	return version + 1, nil
}

// Watch implements kv.KV.
func (s *Service) Watch(ctx context.Context, key string, version uint64) (kv.Entry, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return kv.Entry{}, err
	}
	end := time.NewTimer(WatchTimeout)
	defer end.Stop()
	for {
		e := s.entries[key]
		changed := s.changed
		s.mutex.Unlock()
		if e.Version != version {
			return e, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return e, nil
		case <-ctx.Done():
			return kv.Entry{}, ctx.Err()
		}
		s.mutex.Lock()
	}
}

// enter counts a call, applies the faults and, without error, holds the mutex.
func (s *Service) enter(ctx context.Context, count func(*Calls)) error {
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

func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
