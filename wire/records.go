package wire

import (
	"time"

	"opalbridge.dev/explain"
	"opalbridge.dev/wire/wirepb"
)

// EncodeEvents converts recorded events to protobuf messages.
func EncodeEvents(events []explain.Event) []*wirepb.Record {
	records := make([]*wirepb.Record, len(events))
	for i, e := range events {
		records[i] = &wirepb.Record{
			UnixNano: e.At.UnixNano(),
			Node:     e.Node,
			Kind:     string(e.Kind),
			Request:  e.Request,
			Account:  e.Account,
			Attempt:  e.Attempt,
			Text:     e.Text,
			Revision: e.Revision,
		}
	}
	return records
}

// DecodeEvents converts protobuf messages to recorded events.
func DecodeEvents(records []*wirepb.Record) []explain.Event {
	events := make([]explain.Event, len(records))
	for i, r := range records {
		events[i] = explain.Event{
			At:       time.Unix(0, r.UnixNano),
			Node:     r.Node,
			Kind:     explain.Kind(r.Kind),
			Request:  r.Request,
			Account:  r.Account,
			Attempt:  r.Attempt,
			Text:     r.Text,
			Revision: r.Revision,
		}
	}
	return events
}
