package transfer

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/catalog"
)

// Copies has servers copy the memory of runs to other servers.
type Copies interface {
	// Copy copies the memory of a run. After an error it is unknown whether the server has done
	// it, and whether it has stopped the run if it was asked to.
	Copy(ctx context.Context, r Request) (Result, error)
	// Free frees a copy that the server has given a handle, and its origin.
	Free(ctx context.Context, s catalog.Server, handle string) error
}

// Request describes a copy of a run's memory.
type Request struct {
	Source catalog.Server
	RunID  string // the ID of its request
	Target string // address
	Stop   bool   // stop the run before the copy
}

// Result is a server's answer to a Request.
type Result interface{ result() }

// Copied means that the target has the run's memory. The run continues there, or at its source,
// by the handle, if it was to be stopped.
type Copied struct {
	Handle string
	Events int // that the run had made
}

// Unknown means that the server has no such run: it has ended.
type Unknown struct{}

// Busy means that the server is handling another call for the run.
type Busy struct{}

// NotCopied means that the target has no room or cannot be reached. If the run was to be stopped, it
// is, and it continues at its source by the handle.
type NotCopied struct{ Handle string }

func (Copied) result()    {}
func (Unknown) result()   {}
func (Busy) result()      {}
func (NotCopied) result() {}

// Limits of freeing copies.
const (
	// Copies that wait to be freed; others lapse some seconds later by themselves.
	unusedQueueSize = 64
	// Bounds one call, which takes milliseconds.
	freeTimeout = 300 * time.Millisecond
)

// unusedCopy is a copy of a run that nobody will use.
type unusedCopy struct {
	server catalog.Server // that gave the handle
	handle string
}

// Cleaner frees copies that were not used. It is safe for concurrent use; nil frees none.
type Cleaner struct {
	copies Copies
	log    zerolog.Logger
	unused chan unusedCopy
}

// NewCleaner returns a cleaner that frees copies while [Cleaner.Run] runs.
func NewCleaner(c Copies, log zerolog.Logger) *Cleaner {
	return &Cleaner{copies: c, log: log, unused: make(chan unusedCopy, unusedQueueSize)}
}

// Free has a copy freed soon.
func (c *Cleaner) Free(s catalog.Server, handle string) {
	if c == nil || handle == "" {
		return
	}
	select {
	case c.unused <- unusedCopy{s, handle}:
	default: // it lapses
	}
}

// Run frees copies until ctx ends.
func (c *Cleaner) Run(ctx context.Context) {
	if c == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-c.unused:
			limited, cancel := context.WithTimeout(ctx, freeTimeout)
			err := c.copies.Free(limited, u.server, u.handle)
			cancel()
			c.log.Info().Str("event", "stream.copy_freed").Str("server", u.server.ID).Str("handle", u.handle).Err(err).Msg("copy of a run was not used")
		}
	}
}
