package gateway

import (
	"context"
	"time"

	"opalbridge.dev/gateway/catalog"
)

// RunCopies has servers copy the memory of runs to other servers.
type RunCopies interface {
	// Copy copies the memory of a run. After an error it is unknown whether the server has done
	// it, and whether it has stopped the run if it was asked to.
	Copy(ctx context.Context, r RunCopyRequest) (RunCopyResult, error)
	// Free frees a copy that the server has given a handle, and its origin.
	Free(ctx context.Context, s catalog.Server, handle string) error
}

// RunCopyRequest describes a copy of a run's memory.
type RunCopyRequest struct {
	Source catalog.Server
	RunID  string // the ID of its request
	Target string // address
	Stop   bool   // stop the run before the copy
}

// RunCopyResult is a server's answer to a RunCopyRequest.
type RunCopyResult interface{ runCopyResult() }

// RunCopied means that the target has the run's memory. The run continues there, or at its source,
// by the handle, if it was to be stopped.
type RunCopied struct {
	Handle string
	Events int // that the run had made
}

// RunUnknown means that the server has no such run: it has ended.
type RunUnknown struct{}

// RunBusy means that the server is handling another call for the run.
type RunBusy struct{}

// RunNotCopied means that the target has no room or cannot be reached. If the run was to be stopped, it
// is, and it continues at its source by the handle.
type RunNotCopied struct{ Handle string }

func (RunCopied) runCopyResult()    {}
func (RunUnknown) runCopyResult()   {}
func (RunBusy) runCopyResult()      {}
func (RunNotCopied) runCopyResult() {}

// Limits of freeing copies.
const (
	// Copies that wait to be freed; others lapse some seconds later by themselves.
	unusedCopyQueueSize = 64
	// Bounds one call, which takes milliseconds.
	freeTimeout = 300 * time.Millisecond
)

// unusedCopy is a copy of a run that nobody will use.
type unusedCopy struct {
	server catalog.Server // that gave the handle
	handle string
}

// freeCopy has a copy freed soon.
func (g *Gateway) freeCopy(s catalog.Server, handle string) {
	if handle == "" {
		return
	}
	select {
	case g.unusedCopies <- unusedCopy{s, handle}:
	default: // it lapses
	}
}

// freeCopies frees unused copies until ctx ends.
func (g *Gateway) freeCopies(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-g.unusedCopies:
			limited, cancel := context.WithTimeout(ctx, freeTimeout)
			err := g.options.Copies.Free(limited, u.server, u.handle)
			cancel()
			g.log.Info().Str("event", "stream.copy_freed").Str("server", u.server.ID).Str("handle", u.handle).Err(err).Msg("copy of a run was not used")
		}
	}
}
