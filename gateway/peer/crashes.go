package peer

import (
	"time"

	"opalbridge.dev/gateway/peer/peerpb"
)

// This file encodes what beacons report about crashed servers.

// addCrashes adds what is still to be sent about crashed servers, requests and parts that did not
// cause a crash, and leaving servers.
func (n *Node) addCrashes(now time.Time, b *peerpb.Beacon) {
	for _, e := range n.pendingCrashes.next(now, maxCrashesPerBeacon) {
		b.Ends = append(b.Ends, &peerpb.End{
			Server:   e.Server,
			Suspects: packKeys(e.Suspects),
			Parts:    encodeParts(e.Parts),
			AgeMs:    milliseconds(now.Sub(e.At)),
		})
	}
	for _, a := range n.pendingCleared.next(now, maxClearedPerBeacon) {
		b.Answered = append(b.Answered, &peerpb.Answered{Key: a.Key[:], Servers: a.Servers})
	}
	b.PartsAnswered = packKeys(n.pendingAnswered.next(now, maxPartsAnsweredPerBeacon))
	b.Leaves = n.pendingLeaving.next(now, maxLeavingPerBeacon)
}

// packKeys concatenates keys.
func packKeys(keys []Key) []byte {
	packed := make([]byte, 0, len(keys)*len(Key{}))
	for _, k := range keys {
		packed = append(packed, k[:]...)
	}
	return packed
}

// unpackKeys is the reverse of packKeys. An incomplete key at the end is dropped.
func unpackKeys(packed []byte) []Key {
	var keys []Key
	for ; len(packed) >= len(Key{}); packed = packed[len(Key{}):] {
		keys = append(keys, Key(packed[:len(Key{})]))
	}
	return keys
}

// encodeParts encodes parts, grouped by request.
func encodeParts(parts []Part) []*peerpb.SuspectParts {
	var groups []*peerpb.SuspectParts
	byRequest := map[Key]*peerpb.SuspectParts{}
	for _, p := range parts {
		group := byRequest[p.Request]
		if group == nil {
			group = &peerpb.SuspectParts{Request: p.Request[:], Account: p.Account}
			byRequest[p.Request] = group
			groups = append(groups, group)
		}
		if p.AnsweredBefore {
			group.AnsweredKeys = append(group.AnsweredKeys, p.Key[:]...)
			continue
		}
		group.Keys = append(group.Keys, p.Key[:]...)
	}
	return groups
}

// decodeParts is the reverse of encodeParts. Groups without a valid request are skipped.
func decodeParts(groups []*peerpb.SuspectParts) []Part {
	var parts []Part
	for _, g := range groups {
		if len(g.Request) != len(Key{}) {
			continue
		}
		p := Part{Request: Key(g.Request), Account: g.Account}
		for _, p.Key = range unpackKeys(g.Keys) {
			parts = append(parts, p)
		}
		p.AnsweredBefore = true
		for _, p.Key = range unpackKeys(g.AnsweredKeys) {
			parts = append(parts, p)
		}
	}
	return parts
}

// decodeCrashes returns what a beacon that was created at a time reports about crashed servers.
func decodeCrashes(created time.Time, b *peerpb.Beacon) (crashes []Crash, cleared []Cleared) {
	for _, e := range b.Ends {
		crashes = append(crashes, Crash{
			Server:   e.Server,
			At:       created.Add(-time.Duration(e.AgeMs) * time.Millisecond),
			Suspects: unpackKeys(e.Suspects),
			Parts:    decodeParts(e.Parts),
		})
	}
	for _, a := range b.Answered {
		if len(a.Key) == len(Key{}) {
			cleared = append(cleared, Cleared{Key: Key(a.Key), Servers: a.Servers})
		}
	}
	return crashes, cleared
}
