package config

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/kv"
)

// DocumentKey is the key of the document in the platform's key-value service.
const DocumentKey = "opalbridge/configuration"

const (
	maxAttempts    = 8
	initialBackoff = 20 * time.Millisecond
	// maxRecentChanges is the number of change ids that a document keeps. A write
	// whose response was lost can be resolved as long as its id is among them.
	maxRecentChanges = 64
)

// Outcome is the result of a proposed change: [Accepted], [Conflict],
// [Rejected] or [Indeterminate].
type Outcome interface{ outcome() }

// Accepted means that the change was written; Document contains it.
type Accepted struct{ Document *Document }

// Conflict means that the revision the operator expected is not the current one.
type Conflict struct{ Current uint64 }

// Rejected means that the change is invalid; nothing was written.
type Rejected struct{ Reason error }

// Indeterminate means that it is unknown whether the change was written. Change is
// its id, by which this can be determined later.
type Indeterminate struct {
	Change string
	Reason error
}

func (Accepted) outcome()      {}
func (Conflict) outcome()      {}
func (Rejected) outcome()      {}
func (Indeterminate) outcome() {}

// Store reads and updates the document in the platform's key-value service.
type Store struct {
	KV kv.KV
	// Local returns the document in force on this node. It is used to detect and
	// repair a service that was restored from an older backup. If the function is
	// nil, nothing is repaired.
	Local func() *Document
}

// Load returns the accepted document and its version in the service, or an
// empty document and version zero if there is none yet.
func (s *Store) Load(ctx context.Context) (*Document, uint64, error) {
	e, err := s.KV.Get(ctx, DocumentKey)
	if err != nil {
		return nil, 0, errors.Wrap(err, "config: load")
	}
	return decodeEntry(e)
}

// Watch waits until the service holds a version other than the given one, or
// until the service ends the watch, and returns the document and its version.
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
// If the response to a write is lost, Propose reads the document back and looks for
// the change's id; a change never takes effect twice. If another operator's write
// comes first, a change without expect is applied again to the new document.
func (s *Store) Propose(ctx context.Context, expect uint64, change func(*Document) error) Outcome {
	id := rand.Text()
	backoff := initialBackoff
	var lastErr error
	for range maxAttempts {
		current, version, err := s.Load(ctx)
		if err != nil {
			lastErr = err
			if !sleepBackoff(ctx, &backoff) {
				break
			}
			continue
		}
		if slices.Contains(current.Recent, id) {
			return Accepted{Document: current}
		}
		if restored, err := s.Restore(ctx, current, version); restored || err != nil {
			lastErr = err
			if !sleepBackoff(ctx, &backoff) {
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
			// The next iteration reads the current document, which may already
			// contain this change.
		case Indeterminate:
			resolved, ok := s.resolveWrite(ctx, version, next)
			if ok {
				return resolved
			}
			return o
		}
		if !sleepBackoff(ctx, &backoff) {
			break
		}
	}
	if lastErr == nil {
		lastErr = errors.New("config: propose: too many conflicts")
	}
	return Indeterminate{Change: id, Reason: lastErr}
}

// Restore writes the local document to a service that holds a lower revision, by
// compare-and-swap on the given version. This happens after the service was restored
// from an older backup, and keeps the changes accepted since the backup in force.
// Restore reports whether the service's document was stale, in which case the caller
// must read it again: another node may have restored it in the meantime.
func (s *Store) Restore(ctx context.Context, current *Document, version uint64) (stale bool, err error) {
	if s.Local == nil {
		return false, nil
	}
	local := s.Local()
	if local.Revision <= current.Revision {
		return false, nil
	}
	b, err := local.Encode()
	if err != nil {
		return true, errors.Wrapf(err, "config: restore revision %d", local.Revision)
	}
	if _, err = s.KV.CompareAndSwap(ctx, DocumentKey, version, b); errors.Is(err, kv.ErrConflict) {
		return true, nil
	}
	return true, errors.Wrapf(err, "config: restore revision %d", local.Revision)
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
	if extra := len(next.Recent) - maxRecentChanges; extra > 0 {
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

// resolveWrite determines the result of a write whose response was lost, by looking
// for its id among the recent changes. While the version is unchanged it retries the
// write: both writes are conditional on that version, so at most one takes effect.
// It reports false if the result remains unknown.
func (s *Store) resolveWrite(ctx context.Context, version uint64, next *Document) (Outcome, bool) {
	backoff := initialBackoff
	for range maxAttempts {
		current, latest, err := s.Load(ctx)
		switch {
		case err != nil:
		case slices.Contains(current.Recent, next.Change):
			return Accepted{Document: current}, true
		case latest == version:
			o := s.write(ctx, version, next)
			if _, accepted := o.(Accepted); accepted {
				return o, true
			}
		default:
			return nil, false
		}
		if !sleepBackoff(ctx, &backoff) {
			return nil, false
		}
	}
	return nil, false
}

// sleepBackoff sleeps for the given backoff and doubles it. It reports false if ctx
// is done first.
func sleepBackoff(ctx context.Context, backoff *time.Duration) bool {
	t := time.NewTimer(*backoff)
	defer t.Stop()
	*backoff *= 2
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
