package transfer

import (
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/protocol"
)

// Reasons why a run does not move, in addition to those of package continuation.
const (
	reasonEnded       continuation.Reason = "it has ended"
	NoIDs             continuation.Reason = "its event IDs are not ascending numbers"
	reasonSharedID    continuation.Reason = "another request has its ID"
	reasonNoVersion   continuation.Reason = "its server's version is not certain"
	reasonNotBegun    continuation.Reason = "its server has not begun it"
	reasonBusy        continuation.Reason = "its server is handling another call for it"
	reasonSourceFails continuation.Reason = "its server does not answer"
)

// Outcome is what became of a run that was to move.
type Outcome interface{ outcome() }

// Stayed means that the run was not stopped.
type Stayed struct{ Reason continuation.Reason }

// Moved means that the source has stopped the run and the target has its memory.
type Moved struct {
	Target catalog.Server
	Handle string
}

// Stopped means that the source has stopped the run and only the source has its memory.
type Stopped struct{ Handle string }

// Unanswered means that it is unknown whether the source has stopped the run. The handle is that of
// the copy before.
type Unanswered struct {
	Handle string
	Err    error
}

func (Stayed) outcome()     {}
func (Moved) outcome()      {}
func (Stopped) outcome()    {}
func (Unanswered) outcome() {}

// Point is a server and the copy from which a run can go on there.
type Point struct {
	Server catalog.Server
	Copy   protocol.RunCopy
	Giver  catalog.Server // that gave the handle
	Source bool           // the server has stopped the run, so it goes on with it although it is leaving
}

// Points returns where a run of a server can go on after a move, in the order in which they are to be
// tried; empty: the run was not stopped. complete says that its stream's end cannot be that of a
// stopped run.
func Points(server catalog.Server, o Outcome, complete bool) []Point {
	at := func(s catalog.Server, handle string) Point {
		return Point{Server: s, Copy: protocol.RunCopy{Address: server.Address, Handle: handle}, Giver: server, Source: s.ID == server.ID}
	}
	switch o := o.(type) {
	case Moved:
		return []Point{at(o.Target, o.Handle), at(server, o.Handle)}
	case Stopped:
		return []Point{at(server, o.Handle)}
	case Unanswered:
		if !complete {
			return []Point{at(server, o.Handle)} // the source knows whether it has stopped the run
		}
	case Stayed:
	}
	return nil
}

// Handle returns the handle of the copy that a move has made; empty: none.
func Handle(o Outcome) string {
	switch o := o.(type) {
	case Moved:
		return o.Handle
	case Stopped:
		return o.Handle
	case Unanswered:
		return o.Handle
	default:
		return ""
	}
}
