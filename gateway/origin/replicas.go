package origin

import "slices"

const (
	// ReplicaCount is the number of gateways that are told of an attempt. With the one that began
	// it, all of them have to be lost for the attempt to be forgotten.
	ReplicaCount = 3
	// AskedCount is the number of gateways that are asked for an attempt. It is larger than
	// ReplicaCount, since gateways that have started since may rank before those that were told.
	AskedCount = 2 * ReplicaCount
)

// Replicas returns the gateways, at most n of those given, that rank first for an attempt by
// rendezvous hashing: the same ones wherever it is asked, but for gateways that one side does not
// know. A gateway is identified by any number of its own.
func Replicas(a Attempt, gateways []uint32, n int) []uint32 {
	type ranked struct {
		gateway uint32
		score   uint64
	}
	n = min(n, len(gateways))
	top := make([]ranked, 0, n+1)
	for _, g := range gateways {
		s := score(a, g)
		at := len(top)
		for at > 0 && top[at-1].score < s {
			at--
		}
		if at == n {
			continue
		}
		top = slices.Insert(top, at, ranked{g, s})
		top = top[:min(len(top), n)]
	}
	list := make([]uint32, len(top))
	for i, r := range top {
		list[i] = r.gateway
	}
	return list
}

// score returns the rendezvous hash of a gateway for an attempt (the finalizer of MurmurHash3).
func score(a Attempt, gateway uint32) uint64 {
	h := uint64(a) ^ uint64(gateway)*0x9e3779b97f4a7c15
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
