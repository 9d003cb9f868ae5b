package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer/peerpb"
)

// TestBeaconBytes measures the encoded size of beacons, for docs/CAPACITY.md.
func TestBeaconBytes(t *testing.T) {
	size := func(loads, servers, accounts, backlogs, refusals int, whole bool) int {
		s := State{Running: map[uint64]int{}, StoreRevision: 1000, ConfigurationVersion: 500, ConfirmedAt: time.Now()}
		for i := range servers {
			s.Running[uint64(i)<<40] = 5
		}
		for i := range accounts {
			s.Demands = append(s.Demands, &peerpb.Demand{Account: fmt.Sprintf("account-%02d", i), Asked: 100000, Admitted: 90000})
		}
		n := &Node{options: Options{Hall: "hall-1", State: func() State { return s }}, incarnation: 1 << 60, pendingBacklogs: map[uint64]time.Duration{}}
		for i := range loads {
			n.addLoad(Load{Server: uint64(i) << 40, Work: 80 * time.Millisecond, Parts: []uint64{1 << 60, 1 << 61}, Tokens: 17000})
		}
		for i := range backlogs {
			n.pendingBacklogs[uint64(i)<<40] = 80 * time.Millisecond
		}
		now := time.Now()
		for range refusals {
			n.pendingRefusals.add(now, Refusal{Key: 1 << 60, Deadline: now.Add(10 * time.Second), FirstAttempt: now.Add(-time.Second)}, maxRefusals)
		}
		b, _ := n.newBeacon(whole, false)
		n.addLoads(b)
		n.addRefusals(now, b)
		packed, err := proto.Marshal(&peerpb.Datagram{Beacon: b})
		require.NoError(t, err)
		return len(packed)
	}
	bare := size(0, 0, 0, 0, 0, false)
	fmt.Printf("figure beacon-bare %d B\n", bare)
	fmt.Printf("figure beacon-load %d B\n", (size(20, 0, 0, 0, 0, false)-bare)/20)
	fmt.Printf("figure beacon-server %d B\n", (size(0, 20, 0, 0, 0, false)-bare)/20)
	fmt.Printf("figure beacon-backlog %d B\n", (size(0, 0, 0, 20, 0, false)-bare)/20)
	fmt.Printf("figure beacon-refusal %d B\n", (size(0, 0, 0, 0, 20, false)-bare)/20)
	fmt.Printf("figure beacon-account %d B\n", (size(0, 0, 20, 0, 0, true)-size(0, 0, 0, 0, 0, true))/20)
	withdrawn := proto.Size(&peerpb.Datagram{Beacon: &peerpb.Beacon{Hall: "hall-1", Readiness: uint32(offload.Withdrawn)}}) -
		proto.Size(&peerpb.Datagram{Beacon: &peerpb.Beacon{Hall: "hall-1"}})
	fmt.Printf("figure beacon-withdrawn %d B\n", withdrawn)
	notAdmitted := proto.Size(&peerpb.Datagram{Beacon: &peerpb.Beacon{Hall: "hall-1", NotAdmitted: 100}}) -
		proto.Size(&peerpb.Datagram{Beacon: &peerpb.Beacon{Hall: "hall-1"}})
	fmt.Printf("figure beacon-not-admitted %d B\n", notAdmitted)
	spare := proto.Size(&peerpb.Datagram{Beacon: &peerpb.Beacon{Hall: "hall-1", Spare: 101}}) -
		proto.Size(&peerpb.Datagram{Beacon: &peerpb.Beacon{Hall: "hall-1"}})
	fmt.Printf("figure beacon-spare %d B\n", spare)
	const most = 1<<32 - 1
	unmet := proto.Size(&peerpb.Demand{Unmet: most, Priority: most, OldestMs: most, RecentMs: most, Need: most})
	require.Less(t, size(maxLoads, 100, 48, 100, maxRefusals, true)+48*unmet+withdrawn+notAdmitted+spare, maxDatagramSize, "a beacon must fit into one datagram")
}
