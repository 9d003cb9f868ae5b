package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRevisionOrder tests the order of revisions across restores of the store.
func TestRevisionOrder(t *testing.T) {
	tests := []struct {
		name          string
		before, after Revision
	}{
		{"within an era", NewRevision(1, 20), NewRevision(1, 21)},
		{"same number, assigned again", NewRevision(1, 20), NewRevision(2, 20)},
		{"lower number of a later era", NewRevision(1, 1<<39), NewRevision(2, 1)},
		{"two restores", NewRevision(1, 50), NewRevision(3, 2)},
		{"store without an era", NewRevision(0, 7), NewRevision(1, 3)},
		{"zero value", 0, NewRevision(0, 1)},
		{"last era", NewRevision(MaxEra-1, 9), NewRevision(MaxEra, 0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Less(t, test.before, test.after)
		})
	}
	r := NewRevision(2, 117)
	require.Equal(t, uint64(2), r.Era())
	require.Equal(t, uint64(117), r.Number())
	require.Equal(t, "2.117", r.String())
}
