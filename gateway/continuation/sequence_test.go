package continuation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSequence: events of a run at another server are joined to those that the caller has only if none
// is repeated and none is missing.
func TestSequence(t *testing.T) {
	type event struct {
		id   string
		data bool
	}
	tests := []struct {
		name      string
		after     string
		had       []event
		joinable  bool
		next      string
		continues bool
	}{
		{"no event yet", "", nil, true, "1", true},
		{"next", "", []event{{"1", true}, {"2", true}}, true, "3", true},
		{"one is missing", "", []event{{"1", true}, {"2", true}}, true, "4", false},
		{"one is missing after the first", "", []event{{"1", true}}, true, "3", false},
		{"caller had others before", "7", []event{{"8", true}}, true, "9", true},
		{"one is missing after those that the caller had before", "7", []event{{"8", true}}, true, "10", false},
		{"IDs count tokens", "", []event{{"4", true}, {"8", true}}, true, "12", true},
		{"IDs count tokens, fewer in the last event", "", []event{{"4", true}, {"8", true}}, true, "9", true},
		{"IDs count tokens, one event is missing", "", []event{{"4", true}, {"8", true}}, true, "16", false},
		{"no IDs", "", []event{{"", true}}, false, "", true},
		{"the latest has none", "", []event{{"1", true}, {"", true}}, false, "2", true},
		{"an earlier one has none", "", []event{{"", true}, {"1", true}}, true, "2", true},
		{"comment without an ID", "", []event{{"1", true}, {"", false}}, true, "2", true},
		{"no numbers", "", []event{{"x", true}}, false, "y", true},
		{"next is no number", "", []event{{"1", true}}, true, "x", false},
		{"an ID comes twice", "", []event{{"1", true}, {"1", true}}, false, "2", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s Sequence
			s.StartAfter(test.after)
			for _, e := range test.had {
				s.Add(e.id, e.data)
			}
			require.Equal(t, test.joinable, s.Joinable())
			require.Equal(t, test.continues, s.Continues(test.next))
		})
	}
}
