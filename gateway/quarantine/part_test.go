package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partCrash is a crash at which a request with a part was present.
type partCrash struct {
	after    time.Duration // after the first one
	request  int
	account  string
	answered bool // the part had been answered before, as far as the reporting gateway knows
}

func (c partCrash) suspect(part Key) PartSuspect {
	return PartSuspect{Key: part, Account: c.account, Request: key(c.request), AnsweredBefore: c.answered}
}

// TestPartQuarantine checks for which accounts a part is quarantined after a sequence of crashes.
func TestPartQuarantine(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name    string
		crashes []partCrash
		want    []string // of the accounts a, b and c
	}{
		{"two crashes", []partCrash{{0, 1, "a", false}, {second, 2, "a", false}}, nil},
		{"three crashes of one account", []partCrash{{0, 1, "a", false}, {second, 2, "a", false}, {2 * second, 3, "a", false}}, []string{"a"}},
		{"three crashes of two accounts", []partCrash{{0, 1, "a", false}, {second, 2, "b", false}, {2 * second, 3, "a", false}}, []string{"a", "b", "c"}},
		{"three crashes of one request", []partCrash{{0, 1, "a", false}, {second, 1, "a", false}, {2 * second, 1, "a", false}}, nil},
		{"three crashes at one moment", []partCrash{{0, 1, "a", false}, {time.Millisecond, 2, "a", false}, {2 * time.Millisecond, 3, "a", false}}, nil},
		{"three at one moment, one later", []partCrash{{0, 1, "a", false}, {0, 2, "a", false}, {0, 3, "a", false}, {second, 4, "a", false}}, []string{"a"}},
		{"told out of order", []partCrash{{2 * second, 1, "a", false}, {second, 2, "a", false}, {0, 3, "a", false}}, []string{"a"}},
		{"answered before, five crashes", []partCrash{{0, 1, "a", true}, {second, 2, "a", true}, {2 * second, 3, "a", true}, {3 * second, 4, "a", true}, {4 * second, 5, "a", true}}, nil},
		{"answered before, as one gateway knows", []partCrash{{0, 1, "a", false}, {second, 2, "a", true}, {2 * second, 3, "a", false}}, nil},
		{"answered before, six crashes", []partCrash{{0, 1, "a", true}, {second, 2, "a", true}, {2 * second, 3, "a", true}, {3 * second, 4, "a", true}, {4 * second, 5, "a", true}, {5 * second, 6, "a", true}}, []string{"a"}},
		{"answered before, six at one moment", []partCrash{{0, 1, "a", true}, {0, 2, "a", true}, {0, 3, "a", true}, {0, 4, "a", true}, {0, 5, "a", true}, {0, 6, "a", true}}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, part, start := NewRegistry(), key(100), time.Unix(1000, 0)
			for n, c := range test.crashes {
				r.AddCrash(start.Add(c.after), fmt.Sprint(n), nil, c.suspect(part))
			}
			var barred []string
			for _, account := range []string{"a", "b", "c"} {
				if r.Bars(part, account) {
					barred = append(barred, account)
				}
			}
			require.Equal(t, test.want, barred)
			r.MarkAnswered(part)
			require.False(t, r.Bars(part, "a"), "an answer clears it")
		})
	}
}

// TestPartOrderIndependence checks that gateways which receive the same reports in different orders,
// some of them twice or from the store, quarantine the same parts for the same accounts.
func TestPartOrderIndependence(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	type report struct {
		server string
		at     time.Time
		part   PartSuspect
	}
	accounts := []string{"a", "b", "c"}
	for range 200 {
		var reports []report
		var crashTimes []time.Time
		for range 8 {
			crashTimes = append(crashTimes, time.Unix(1000, random.Int64N(2e9)))
		}
		for range 2 + random.IntN(20) {
			server := random.IntN(len(crashTimes))
			reports = append(reports, report{
				fmt.Sprint(server), crashTimes[server],
				PartSuspect{Key: key(random.IntN(3)), Account: accounts[random.IntN(3)], Request: key(100 + random.IntN(3)), AnsweredBefore: random.IntN(8) == 0},
			})
		}
		var first *Registry
		for range 3 {
			r := NewRegistry()
			for _, i := range append(random.Perm(len(reports)), random.Perm(len(reports))...) {
				r.AddCrash(reports[i].at, reports[i].server, nil, reports[i].part)
			}
			if first == nil {
				first = r
			}
			for part := range 3 {
				for _, account := range accounts {
					require.Equal(t, first.Bars(key(part), account), r.Bars(key(part), account))
				}
				fromStore := NewRegistry()
				if known, ok := r.Record(key(part)); ok {
					stored := StoredRecord{Servers: known.Servers, Part: known.Part}
					fromStore.Merge(time.Unix(5000, 0), key(part), stored)
					require.Equal(t, r.IsQuarantined(key(part)), fromStore.IsQuarantined(key(part)))
					require.Equal(t, r.IsQuarantined(key(part)), stored.Quarantined())
				}
			}
		}
	}
}

// TestPartInDoubt checks when a quarantined part may be tried.
func TestPartInDoubt(t *testing.T) {
	start := time.Unix(1000, 0)
	crash := func(r *Registry, n int, parts ...int) {
		var suspects []PartSuspect
		for _, p := range parts {
			suspects = append(suspects, PartSuspect{Key: key(p), Account: "a", Request: key(100 + n)})
		}
		r.AddCrash(start.Add(time.Duration(n)*time.Second), fmt.Sprint(n), nil, suspects...)
	}
	r := NewRegistry()
	crash(r, 1, 1, 2)
	crash(r, 2, 1, 2)
	crash(r, 3, 1, 2)
	doubtful := func(part int, present ...int) bool {
		_, ok := r.PartInDoubt(start, key(part), keys(present...))
		return ok
	}
	require.True(t, doubtful(1, 1), "the other one was at all crashes")
	require.False(t, doubtful(1, 1, 2), "the request has both, so one of them is the cause")
	crash(r, 4, 1)
	require.False(t, doubtful(1, 1), "the other one was not at the last crash")
	require.True(t, doubtful(2, 2))
	r.MarkAnswered(key(2))
	require.False(t, doubtful(1, 1))
	r.MarkAnsweredBefore(key(1))
	require.True(t, doubtful(1, 1), "it had been answered before")
}

// TestMemoryOfPartsIsBounded checks that memory stays bounded while servers crash under ever new
// parts, whether they were answered before or not.
func TestMemoryOfPartsIsBounded(t *testing.T) {
	r := NewRegistry()
	for n := range 4000 {
		var parts []PartSuspect
		for p := range 16 {
			// Each part is present at three crashes in a row.
			parts = append(parts, PartSuspect{Key: key(n/3*16 + p), Account: "a", Request: key(-n), AnsweredBefore: p%2 == 0})
		}
		r.AddCrash(time.Unix(int64(n), 0), fmt.Sprint(n), nil, parts...)
	}
	require.LessOrEqual(t, r.pairs, maxPairs)
	require.LessOrEqual(t, len(r.repeatSuspects), maxRepeatSuspects)
	require.LessOrEqual(t, r.Len(), maxPairs+maxRepeatSuspects)
}

// TestAnsweredParts checks that answers on parts are remembered, in bounded memory.
func TestAnsweredParts(t *testing.T) {
	var a AnsweredParts
	now := time.Unix(1000, 0)
	part := func(n int) Part { return Part{Service: "s", Model: "m", ID: fmt.Sprint(n)} }
	require.False(t, a.Contains(now, KeyOfPart(part(1))))
	require.Equal(t, KeyOfPart(part(1)), a.Add(now, part(1)))
	require.Equal(t, KeyOfPart(part(1)), a.Add(now, part(1)), "known already")
	require.True(t, a.Contains(now.Add(answeredPartTTL-1), KeyOfPart(part(1))))
	require.False(t, a.Contains(now.Add(answeredPartTTL), KeyOfPart(part(1))))
	for n := range 2 * maxAnsweredParts {
		a.Add(now, part(1000+n))
	}
	require.Len(t, a.ring, maxAnsweredParts)
	require.Len(t, a.byHash, maxAnsweredParts)
	require.Len(t, a.byKey, maxAnsweredParts)
	require.False(t, a.Contains(now, KeyOfPart(part(1))))
	require.True(t, a.Contains(now, KeyOfPart(part(1000+maxAnsweredParts))))
}

// TestPartKeys checks that parts share a key only if they are the same, and never with a request.
func TestPartKeys(t *testing.T) {
	first := Part{Service: "s", Model: "m", ID: "5c"}
	for _, other := range []Part{
		{Service: "t", Model: "m", ID: "5c"}, {Service: "s", Model: "n", ID: "5c"}, {Service: "s", Model: "m", ID: "5d"},
		{Service: "sm", ID: "5c"}, {Service: "s", Model: "m5", ID: "c"}, {Service: "s", Model: "m", ID: strings.Repeat("5c", 4000)},
	} {
		require.NotEqual(t, KeyOfPart(first), KeyOfPart(other))
	}
	require.NotEqual(t, KeyOf(Request{Account: "s", Method: "m", Host: "5c"}), KeyOfPart(first))
	encoded, err := json.Marshal(PartEvidence{Accounts: []string{"a"}, Requests: keys(1)})
	require.NoError(t, err)
	var decoded PartEvidence
	require.NoError(t, json.Unmarshal(encoded, &decoded))
	require.Equal(t, keys(1), decoded.Requests)
}

// benchmarkParts are the parts of a prompt but the last.
func benchmarkParts() []Part {
	var list []Part
	for n := range 4 {
		list = append(list, Part{Service: "assistant-pool", Model: "m", ID: fmt.Sprintf("%016x", n*7919)})
	}
	return list
}

// BenchmarkAnsweredParts measures what four known parts add to an answered request.
func BenchmarkAnsweredParts(b *testing.B) {
	var a AnsweredParts
	parts, now := benchmarkParts(), time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		for _, p := range parts {
			a.Add(now, p)
		}
	}
}

// BenchmarkNewAnsweredPart measures what a part that no request had before adds.
func BenchmarkNewAnsweredPart(b *testing.B) {
	var a AnsweredParts
	now := time.Unix(1000, 0)
	ids := make([]string, 2*maxAnsweredParts)
	for n := range ids {
		ids[n] = fmt.Sprintf("%016x", n*7919)
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		a.Add(now, Part{Service: "assistant-pool", Model: "m", ID: ids[n%len(ids)]})
		n++
	}
}

// BenchmarkKeysOfParts measures what four parts add to a request while suspects are known.
func BenchmarkKeysOfParts(b *testing.B) {
	parts := benchmarkParts()
	b.ReportAllocs()
	for b.Loop() {
		for _, p := range parts {
			KeyOfPart(p)
		}
	}
}
