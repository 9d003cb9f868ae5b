package wire

import (
	"fmt"

	"opalbridge.dev/fair"
	"opalbridge.dev/wire/wirepb"
)

// Reasons of an incomplete wirepb.End that are not errors of the server.
const (
	ReasonDeadline           = "the caller's deadline passed"
	ReasonCallerDisconnected = "the caller left"
)

// NewControl returns a control message with the given body, which must be one of
// the wirepb.Control_… types.
func NewControl(revision uint64, body any) *wirepb.Control {
	m := &wirepb.Control{Revision: revision}
	switch b := body.(type) {
	case *wirepb.Control_Want:
		m.Body = b
	case *wirepb.Control_Grant:
		m.Body = b
	case *wirepb.Control_Decline:
		m.Body = b
	case *wirepb.Control_Load:
		m.Body = b
	case *wirepb.Control_Report:
		m.Body = b
	case *wirepb.Control_Totals:
		m.Body = b
	case *wirepb.Control_Summing:
		m.Body = b
	case *wirepb.Control_Document:
		m.Body = b
	case *wirepb.Control_DocumentRequest:
		m.Body = b
	case *wirepb.Control_Ping:
		m.Body = b
	case *wirepb.Control_Pong:
		m.Body = b
	case *wirepb.Control_Leaving:
		m.Body = b
	default:
		panic(fmt.Sprintf("wire: %T is no control message", body))
	}
	return m
}

// EncodeTotals converts totals to protobuf messages.
func EncodeTotals(totals []fair.Total) []*wirepb.Counter {
	counters := make([]*wirepb.Counter, len(totals))
	for i, t := range totals {
		counters[i] = &wirepb.Counter{
			Account:     uint32(t.Account),
			Service:     uint64(t.Service),
			Pending:     uint32(t.Pending),
			Reach:       uint32(t.Slots),
			LiftVersion: t.Adjustment.Version,
			Lift:        t.Adjustment.Value,
		}
	}
	return counters
}

// DecodeTotals converts protobuf messages to totals.
func DecodeTotals(counters []*wirepb.Counter) []fair.Total {
	totals := make([]fair.Total, len(counters))
	for i, c := range counters {
		totals[i] = fair.Total{
			Account:    fair.Account(c.Account),
			Service:    float64(c.Service),
			Pending:    float64(c.Pending),
			Slots:      float64(c.Reach),
			Adjustment: fair.Adjustment{Version: c.LiftVersion, Value: c.Lift},
		}
	}
	return totals
}
