package peer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"opalbridge.dev/gateway/peer/peerpb"
)

// TestOldGatewaysReadDemands guards against demands that a gateway of an earlier version cannot read
// because of the fields for unmet demand, and the other way round.
func TestOldGatewaysReadDemands(t *testing.T) {
	file := protodesc.ToFileDescriptorProto(peerpb.File_peer_proto)
	const oldFields = 3
	for _, m := range file.MessageType {
		if m.GetName() == "Demand" {
			m.Field = m.Field[:oldFields]
		}
	}
	old, err := protodesc.NewFile(file, nil)
	require.NoError(t, err)
	demand := old.Messages().ByName("Demand")
	full := &peerpb.Demand{Account: "a", Asked: 7, Admitted: 5, Unmet: 9, Priority: 3, OldestMs: 100, RecentMs: 20, Need: 50}
	content, err := proto.Marshal(full)
	require.NoError(t, err)
	read := dynamicpb.NewMessage(demand)
	require.NoError(t, proto.Unmarshal(content, read))
	get := func(name protoreflect.Name) any { return read.Get(demand.Fields().ByName(name)).Interface() }
	require.Equal(t, []any{"a", uint32(7), uint32(5)}, []any{get("account"), get("asked"), get("admitted")})

	read.SetUnknown(nil) // as an old gateway writes it
	content, err = proto.Marshal(read)
	require.NoError(t, err)
	var back peerpb.Demand
	require.NoError(t, proto.Unmarshal(content, &back))
	require.True(t, proto.Equal(&peerpb.Demand{Account: "a", Asked: 7, Admitted: 5}, &back))
}
