package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer/peerpb"
)

// TestSpareReports: a considerable change must be reported at once and once more, as a datagram may be
// lost; a steady value must be repeated for gateways that have just started, and what changes all the time
// must not take more than two bytes of a beacon on average.
func TestSpareReports(t *testing.T) {
	const fieldSize = 3
	tests := []struct {
		name   string
		values []uint32 // as encoded, one a full beacon
		want   []uint32
	}{
		{"not told", []uint32{0, 0, 0, 0, 0, 0}, []uint32{0, 0, 0, 0, 0, 0}},
		{"steady", []uint32{51, 51, 52, 51, 50, 51, 51, 51, 51, 51}, []uint32{51, 51, 0, 0, 0, 51, 0, 0, 0, 51}},
		{"one change", []uint32{51, 51, 51, 51, 41, 41, 41, 41}, []uint32{51, 51, 0, 0, 41, 41, 0, 0}},
		{"a change by less than a tenth", []uint32{51, 51, 51, 51, 42, 42, 42, 42}, []uint32{51, 51, 0, 0, 0, 42, 0, 0}},
		{"slow changes add up", []uint32{51, 51, 51, 46, 41, 41, 41}, []uint32{51, 51, 0, 0, 41, 41, 0}},
		{"changes all the time", []uint32{1, 101, 1, 101, 1, 101, 1, 101, 1}, []uint32{1, 101, 0, 101, 1, 0, 1, 101, 0}},
		{"short of CPU time meanwhile", []uint32{91, 91, 0, 0, 6, 6, 6}, []uint32{91, 91, 0, 0, 6, 6, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s spareReport
			var sent []uint32
			size := 0
			for _, v := range test.values {
				if v = s.next(v); v > 0 {
					size += fieldSize
				}
				sent = append(sent, v)
			}
			require.Equal(t, test.want, sent)
			require.LessOrEqual(t, size, 2*(len(test.values)+1), "two bytes a beacon")
		})
	}
}

// TestSpareOfNewProcess: what a process told must not count for the next one at its address, which may run an earlier
// release. Within a process it counts while beacons leave it out.
func TestSpareOfNewProcess(t *testing.T) {
	n := &Node{peers: map[netip.Addr]*remote{}}
	from, now := netip.MustParseAddr("10.0.0.1"), time.Now()
	beacons := []struct {
		incarnation uint64
		weight      uint32
		spare       uint32
		told        bool
		want        int
	}{
		{1, 800, 0, false, 0},
		{1, 800, 51, true, 400},
		{1, 800, 0, true, 400},
		{1, 0, 0, true, 0}, // short of CPU time
		{1, 800, 0, true, 400},
		{2, 800, 0, false, 0},
		{2, 800, 101, true, 800},
	}
	for i, b := range beacons {
		u, ok := n.applyBeacon(now, from, &peerpb.Beacon{Incarnation: b.incarnation, Sequence: uint64(i + 1), DemandsTold: true, Hall: "a", Weight: b.weight, Spare: b.spare}, 0)
		require.True(t, ok)
		require.Equal(t, b.told, u.TellsSpare, "beacon %d", i)
		require.Equal(t, b.want, u.Spare, "beacon %d", i)
	}
}

// TestSpareEncoding: what is reported must be what the gateway has, and no value may be read as more than
// its CPU.
func TestSpareEncoding(t *testing.T) {
	tests := []struct {
		state   State
		encoded uint32
		spare   int
	}{
		{State{Weight: 800, Spare: 400}, 0, 0}, // not told
		{State{Weight: 0, Spare: 400, TellsSpare: true}, 0, 0},
		{State{Weight: 800, Spare: 0, TellsSpare: true}, 1, 0},
		{State{Weight: 800, Spare: -5, TellsSpare: true}, 1, 0},
		{State{Weight: 800, Spare: 400, TellsSpare: true}, 51, 400},
		{State{Weight: 800, Spare: 800, TellsSpare: true}, 101, 800},
		{State{Weight: 144, Spare: 4000, TellsSpare: true}, 101, 144},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%+v", test.state), func(t *testing.T) {
			require.Equal(t, test.encoded, encodeSpare(test.state))
			require.Equal(t, test.spare, decodeSpare(uint32(test.state.Weight), test.encoded))
		})
	}
	require.Equal(t, 800, decodeSpare(800, 1<<32-1), "a value out of range")
}
