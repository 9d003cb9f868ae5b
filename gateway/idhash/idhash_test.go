package idhash

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnitIsUniform checks that names that differ only in their last characters are spread
// evenly. Without mixing the hash, one tenth of the range got 10 of these 1,000 names.
func TestUnitIsUniform(t *testing.T) {
	const names, parts = 1000, 10
	var found [parts]int
	for n := range names {
		found[int(parts*Unit(fmt.Sprint("10.0.0.1/i-", n)))]++
	}
	for part, n := range found {
		require.InDelta(t, names/parts, n, names/parts/2, "part %d", part)
	}
}
