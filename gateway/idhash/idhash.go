// Package idhash hashes the IDs of servers, gateways, services and requests. All gateways compute
// the same hashes, which identify servers in datagrams and order gateways by rendezvous hashing.
//
// # Usage
//
//	load.Server = idhash.Sum("i-7f3a@1760000000000") // identifies the server in a datagram
//	score := idhash.Unit(gateway + "/" + server)     // of a gateway for a server, in [0, 1)
package idhash

import "hash/fnv"

// Sum returns a short identifier for an ID (FNV-1a).
func Sum(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// Unit maps an ID to [0, 1) evenly. The high bits of the FNV sums of IDs that differ only in their
// last characters are nearly equal, so the sum is mixed (the finalizer of MurmurHash3).
func Unit(id string) float64 {
	const bits = 53 // bits of a float64's mantissa
	h := Sum(id)
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>(64-bits)) / (1 << bits)
}
