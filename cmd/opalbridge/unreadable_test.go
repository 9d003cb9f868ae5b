package main

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestUnreadable checks that thousands of unreadable entries cause ten log lines a minute
// and are all counted.
func TestUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		u := &unreadableEntries{log: zerolog.New(&lines)}
		for range 5000 {
			u.record(errors.New("x"))
		}
		require.Equal(t, maxUnreadableLines, bytes.Count(lines.Bytes(), []byte("\n")))
		time.Sleep(unreadableLogWindow)
		u.record(errors.New("x"))
		require.Equal(t, maxUnreadableLines+1, bytes.Count(lines.Bytes(), []byte("\n")))
		require.Contains(t, lines.String(), `"count":5001`)
		require.EqualValues(t, 5001, u.total())
	})
}
