package memory_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/memory"
)

// TestOwnersLeaveRoom checks that owners who want everything leave room for others.
func TestOwnersLeaveRoom(t *testing.T) {
	b := memory.NewBudget(1000)
	tests := []struct {
		owner string
		least int64 // bytes that it gets
	}{{"a", 500}, {"b", 250}, {"c", 125}, {"d", 62}}
	var reservations []*memory.Reservation
	for _, test := range tests {
		r := b.NewReservation(test.owner, 0)
		got := int64(0)
		for r.GrowTo(got + 1) {
			got++
		}
		require.GreaterOrEqual(t, got, test.least, test.owner)
		reservations = append(reservations, r)
	}
	require.False(t, b.NewReservation("a", 0).GrowTo(1), "a second request of the same owner")
	for _, r := range reservations {
		r.Release()
	}
	require.Zero(t, b.Used())
}

// TestTakenBytesCount checks that bytes without an owner leave less for the others.
func TestTakenBytesCount(t *testing.T) {
	b := memory.NewBudget(100)
	require.True(t, b.Take(80))
	require.False(t, b.Take(21))
	r := b.NewReservation("a", 0)
	require.True(t, r.GrowTo(10))
	require.False(t, r.GrowTo(11), "half of what is free")
	b.Return(80)
	require.True(t, r.GrowTo(50))
	r.Release()
	require.Zero(t, b.Used())
}

// TestCoveredBytes checks that only bytes beyond the covered ones are reserved.
func TestCoveredBytes(t *testing.T) {
	b := memory.NewBudget(100)
	r := b.NewReservation("a", 1000)
	require.True(t, r.GrowTo(1000))
	require.Zero(t, b.Used())
	require.True(t, r.GrowTo(1020))
	require.EqualValues(t, 20, b.Used())
	require.True(t, r.GrowTo(3), "it never shrinks")
	require.EqualValues(t, 20, b.Used())
	r.Release()
	r.Release()
	require.Zero(t, b.Used())
}

// TestReadAll checks what is read of contents around the limits, and that the rest can be read after.
func TestReadAll(t *testing.T) {
	tests := []struct {
		length, limit, room int64
		want                error
	}{
		{0, 10, 100, nil},
		{10, 10, 100, nil},
		{11, 10, 100, memory.ErrTooLong},
		{511, 4000, 4000, nil},
		{512, 4000, 4000, nil},
		{513, 4000, 4000, nil},
		{4000, 4000, 4000, nil},
		{4001, 4000, 8000, memory.ErrTooLong},
		{4000, 8000, 1000, memory.ErrNoRoom},
		{400, 4000, 100, memory.ErrNoRoom},
	}
	for _, test := range tests {
		for _, known := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d of %d, room for %d, length known %v", test.length, test.limit, test.room, known), func(t *testing.T) {
				b := memory.NewBudget(2 * test.room)
				r := b.NewReservation("a", 0)
				content := strings.Repeat("x", int(test.length))
				size := int64(-1)
				if known {
					size = test.length
				}
				source := iotest.DataErrReader(iotest.HalfReader(strings.NewReader(content))) // io.EOF comes with the last bytes
				got, err := memory.ReadAll(source, size, test.limit, r)
				require.ErrorIs(t, err, test.want)
				require.LessOrEqual(t, int64(len(got)), max(min(test.limit, test.room), 1)+1)
				rest, err := io.ReadAll(source)
				require.NoError(t, err)
				require.Equal(t, content, string(got)+string(rest))
				r.Release()
				require.Zero(t, b.Used())
			})
		}
	}
}

// TestReadAllFails checks that an error of the content is returned with what came before.
func TestReadAllFails(t *testing.T) {
	got, err := memory.ReadAll(io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 100, nil)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "abc", string(got))
}
