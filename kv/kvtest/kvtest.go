// Package kvtest is a small stand-in for the platform: a key-value service
// with versions, leases and watches, and a list of live hosts that can lag.
//
// # Usage
//
//	s := &kvtest.Service{}
//	s.SetFaults(kvtest.Faults{Down: true})
//	http.Serve(listener, s.Handler())
//
// It keeps everything in memory and is for tests and for the dev command only.
package kvtest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/kv"
)

// WatchTime is how long a watch waits before it returns the unchanged entry.
const WatchTime = 30 * time.Second

// Faults tell the service how to misbehave.
type Faults struct {
	Down       bool          // every call is refused before any effect
	Delay      time.Duration // every call waits first
	LoseWrites int           // so many writes take effect, and their answer is lost
}

// Calls counts what the service was asked.
type Calls struct{ Reads, Writes, Watches int }

// Service is the stand-in. Its zero value is empty and healthy.
type Service struct {
	mutex   sync.Mutex
	entries map[string]kv.Entry
	leases  map[string]kv.Lease
	hosts   []kv.Host
	faults  Faults
	calls   Calls
	changed chan struct{}
}

// ErrLost stands for an answer that did not arrive.
var ErrLost = errors.New("kvtest: answer lost")

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
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
		return 0, ErrLost
	}
	return version + 1, nil
}

// Watch implements kv.KV.
func (s *Service) Watch(ctx context.Context, key string, version uint64) (kv.Entry, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		return kv.Entry{}, err
	}
	end := time.NewTimer(WatchTime)
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

// Acquire implements kv.KV.
func (s *Service) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (kv.Lease, error) {
	if err := s.enter(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return kv.Lease{}, err
	}
	defer s.mutex.Unlock()
	now := time.Now()
	l := s.leases[name]
	if l.Holder != holder && now.Before(l.Expires) {
		return kv.Lease{}, kv.ErrHeld
	}
	if l.Holder != holder || !now.Before(l.Expires) {
		l = kv.Lease{Name: name, Holder: holder, Fence: l.Fence + 1}
	}
	l.Expires = now.Add(ttl)
	if s.leases == nil {
		s.leases = map[string]kv.Lease{}
	}
	s.leases[name] = l
	return l, nil
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

// Handler serves the stand-in over HTTP as kv.Client expects it.
func (s *Service) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /kv/{key}", s.serveGet)
	m.HandleFunc("PUT /kv/{key}", s.servePut)
	m.HandleFunc("POST /leases/{name}", s.serveLease)
	m.HandleFunc("GET /hosts", s.serveHosts)
	m.HandleFunc("PUT /hosts/{name}", s.serveSetHost)
	m.HandleFunc("DELETE /hosts/{name}", func(_ http.ResponseWriter, r *http.Request) { s.RemoveHost(r.PathValue("name")) })
	return m
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after := r.URL.Query().Get("after")
	if after == "" {
		e, err := s.Get(r.Context(), key)
		answer(w, e, err)
		return
	}
	version, _ := strconv.ParseUint(after, 10, 64)
	e, err := s.Watch(r.Context(), key, version)
	answer(w, e, err)
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	version, _ := strconv.ParseUint(r.Header.Get(kv.VersionHeader), 10, 64)
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	now, err := s.CompareAndSwap(r.Context(), key, version, value)
	answer(w, kv.Entry{Version: now}, err)
}

func (s *Service) serveLease(w http.ResponseWriter, r *http.Request) {
	ttl, _ := time.ParseDuration(r.URL.Query().Get("ttl"))
	l, err := s.Acquire(r.Context(), r.PathValue("name"), r.URL.Query().Get("holder"), ttl)
	b, _ := json.Marshal(l)
	answer(w, kv.Entry{Value: b}, err)
}

func (s *Service) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.Hosts(r.Context())
	b, _ := json.Marshal(hosts)
	answer(w, kv.Entry{Value: b}, err)
}

// serveSetHost puts a host on the list, as the platform does by itself.
func (s *Service) serveSetHost(w http.ResponseWriter, r *http.Request) {
	var h kv.Host
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.Name = r.PathValue("name")
	s.SetHost(h)
}

func answer(w http.ResponseWriter, e kv.Entry, err error) {
	switch {
	case err == nil:
		w.Header().Set(kv.VersionHeader, strconv.FormatUint(e.Version, 10))
		_, _ = w.Write(e.Value)
	case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrHeld):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, kv.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler) // the connection breaks: the answer is lost
	}
}
