package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/peer/peerpb"
)

// BenchmarkBundle applies a bundle of thirty beacons with two loads each. A relay sends
// seventy such bundles a second in a fleet of a hundred gateways. Half of the time goes
// into building the bundle; applying it takes 4 us per beacon. Without relays, each of
// these gateways would receive a thousand datagrams a second and send as many.
func BenchmarkBundle(b *testing.B) {
	node, err := peer.Listen(peer.Options{Address: "127.0.0.9:0", State: func() peer.State { return peer.State{} }, OnError: func(error) {}})
	require.NoError(b, err)
	go node.Run(b.Context())
	to, err := net.Dial("udp4", node.Address())
	require.NoError(b, err)
	d := newTestDispatcher(b, time.Now(), 180)
	sequence := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		bundle := &peerpb.Bundle{}
		for i := range 30 {
			packed, err := proto.Marshal(&peerpb.Beacon{
				Incarnation: 1 << 60, Sequence: sequence, NewestLoad: 2 * sequence, StoreRevision: 1000, ConfigurationVersion: 9,
				Loads: []*peerpb.Load{
					{Server: hashString(fmt.Sprintf("i-%d", i)), WorkUs: 80000, Parts: []uint64{sequence<<20 | 1, sequence<<20 | 2}, Tokens: 3000},
					{Server: hashString(fmt.Sprintf("i-%d", i+1)), WorkUs: 80000, Parts: []uint64{sequence<<20 | 3, sequence<<20 | 4}, Tokens: 3000},
				},
				Running:  []*peerpb.Running{{Server: hashString(fmt.Sprintf("i-%d", i)), Requests: uint32(sequence % 7)}},
				Backlogs: []*peerpb.Backlog{{Server: hashString(fmt.Sprintf("i-%d", i)), LeftUs: 1000}},
			})
			require.NoError(b, err)
			bundle.Beacons = append(bundle.Beacons, &peerpb.Passed{From: uint32(0x0a000001 + i), Beacon: packed})
		}
		packed, err := proto.Marshal(&peerpb.Datagram{Bundle: bundle})
		require.NoError(b, err)
		_, err = to.Write(packed)
		require.NoError(b, err)
		for _, u := range <-node.Updates() {
			d.applyUpdate(time.Now(), u)
		}
	}
}
