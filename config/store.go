package config

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/kv"
)

// DocumentKey is where the platform's service keeps the document.
const DocumentKey = "opalbridge/configuration"

const (
	proposeTries = 8
	firstPause   = 20 * time.Millisecond
	// recentChanges is how many later changes may pass before a lost answer can
	// no longer be settled.
	recentChanges = 64
)

// Outcome is what became of a proposed change: [Accepted], [Conflict],
// [Rejected] or [Indeterminate].
type Outcome interface{ outcome() }

// Accepted says that the change is in the service under this document.
type Accepted struct{ Document *Document }

// Conflict says that the operator's revision is not the current one.
type Conflict struct{ Current uint64 }

// Rejected says that the change breaks a rule; nothing was written.
type Rejected struct{ Reason error }

// Indeterminate says that the service could not tell whether the change was
// written. Change is the id by which it can be found out later.
type Indeterminate struct {
	Change string
	Reason error
}

func (Accepted) outcome()  {}
func (Conflict) outcome()  {}
func (Rejected) outcome()  {}
func (Indeterminate) outcome() {}

// Store reads and changes the document in the platform's service.
type Store struct {
	KV kv.KV
	// Local returns the document in force here; nil: none is known. The service may come back
	// from a copy that lacks it.
	Local func() *Document
}

// Load returns the accepted document and the version the service gives it; an
// empty document of version zero when there is none yet.
func (s *Store) Load(ctx context.Context) (*Document, uint64, error) {
	e, err := s.KV.Get(ctx, DocumentKey)
	if err != nil {
		return nil, 0, errors.Wrap(err, "config: load")
	}
	return decodeEntry(e)
}

// Watch waits until the service holds a version other than the one given, or
// until it ends the watch.
func (s *Store) Watch(ctx context.Context, version uint64) (*Document, uint64, error) {
	e, err := s.KV.Watch(ctx, DocumentKey, version)
	if err != nil {
		return nil, 0, errors.Wrap(err, "config: watch")
	}
	return decodeEntry(e)
}

func decodeEntry(e kv.Entry) (*Document, uint64, error) {
	if e.Version == 0 {
		return &Document{}, 0, nil
	}
	d, err := Decode(e.Value)
	return d, e.Version, err
}

// Propose applies change to the current document and writes the result as the
// next revision. When expect is not zero it must be the current revision.
//
// A write whose answer is lost is settled by reading back the change's id; the
// change is never written twice. When another operator's write comes between,
// a change without expect is applied anew to the document that won.
func (s *Store) Propose(ctx context.Context, expect uint64, change func(*Document) error) Outcome {
	id := rand.Text()
	pause := firstPause
	var last error
	for range proposeTries {
		current, version, err := s.Load(ctx)
		if err != nil {
			last = err
			if !rest(ctx, &pause) {
				break
			}
			continue
		}
		if slices.Contains(current.Recent, id) {
			return Accepted{Document: current}
		}
		if restored, err := s.Restore(ctx, current, version); restored || err != nil {
			last = err
			if !rest(ctx, &pause) {
				break
			}
			continue
		}
		if expect != 0 && current.Revision != expect {
			return Conflict{Current: current.Revision}
		}
		next, err := apply(current, id, change)
		if err != nil {
			return Rejected{Reason: err}
		}
		o := s.write(ctx, version, next)
		switch o := o.(type) {
		case Accepted, Rejected:
			return o
		case Conflict:
			// The next turn reads who won; it may have been this very change.
		case Indeterminate:
			settled, known := s.settle(ctx, version, next)
			if known {
				return settled
			}
			return o
		}
		if !rest(ctx, &pause) {
			break
		}
	}
	if last == nil {
		last = errors.New("config: propose: too many conflicts")
	}
	return Indeterminate{Change: id, Reason: last}
}

// Restore writes the document in force here to a service that holds an earlier one, under that
// version: it has come back from a copy, and what was accepted since stays in force. It returns
// whether the service held an earlier one; whoever goes on reads it anew. Another node may have
// restored it meanwhile.
func (s *Store) Restore(ctx context.Context, current *Document, version uint64) (earlier bool, err error) {
	if s.Local == nil {
		return false, nil
	}
	known := s.Local()
	if known.Revision <= current.Revision {
		return false, nil
	}
	b, err := known.Encode()
	if err != nil {
		return true, errors.Wrapf(err, "config: restore revision %d", known.Revision)
	}
	if _, err = s.KV.CompareAndSwap(ctx, DocumentKey, version, b); errors.Is(err, kv.ErrConflict) {
		return true, nil
	}
	return true, errors.Wrapf(err, "config: restore revision %d", known.Revision)
}

func apply(current *Document, id string, change func(*Document) error) (*Document, error) {
	next := current.Clone()
	if err := change(next); err != nil {
		return nil, err
	}
	if err := next.Validate(); err != nil {
		return nil, err
	}
	next.Revision = current.Revision + 1
	next.Change = id
	next.Recent = append(next.Recent, id)
	if extra := len(next.Recent) - recentChanges; extra > 0 {
		next.Recent = slices.Delete(next.Recent, 0, extra)
	}
	return next, nil
}

func (s *Store) write(ctx context.Context, version uint64, next *Document) Outcome {
	b, err := next.Encode()
	if err != nil {
		return Rejected{Reason: err}
	}
	_, err = s.KV.CompareAndSwap(ctx, DocumentKey, version, b)
	switch {
	case err == nil:
		return Accepted{Document: next}
	case errors.Is(err, kv.ErrConflict):
		return Conflict{}
	default:
		return Indeterminate{Change: next.Change, Reason: err}
	}
}

// settle finds out what became of a write whose answer was lost, by looking for
// its id among the latest changes. While the version is unchanged the same write
// is offered again: both carry that version, so at most one can take effect.
func (s *Store) settle(ctx context.Context, version uint64, next *Document) (Outcome, bool) {
	pause := firstPause
	for range proposeTries {
		current, now, err := s.Load(ctx)
		switch {
		case err != nil:
		case slices.Contains(current.Recent, next.Change):
			return Accepted{Document: current}, true
		case now == version:
			o := s.write(ctx, version, next)
			if _, accepted := o.(Accepted); accepted {
				return o, true
			}
		default:
			return nil, false
		}
		if !rest(ctx, &pause) {
			return nil, false
		}
	}
	return nil, false
}

// rest waits and doubles the pause; it reports false when ctx has ended.
func rest(ctx context.Context, pause *time.Duration) bool {
	t := time.NewTimer(*pause)
	defer t.Stop()
	*pause *= 2
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
