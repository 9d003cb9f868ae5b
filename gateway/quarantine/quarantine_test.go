package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// key is that of a numbered request.
func key(n int) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(n))
	return k
}

func keys(list ...int) []Key {
	var made []Key
	for _, n := range list {
		made = append(made, key(n))
	}
	return made
}

// end is a server that ends, and who is there.
type end struct {
	server string
	there  []int
}

// TestBarred: what a sequence of ends and answers makes of requests.
func TestBarred(t *testing.T) {
	tests := []struct {
		name   string
		ends   []end
		answer []int // requests that are answered whole after the second end
		barred []int
		free   []int
	}{
		{"three ends", []end{{"1", []int{1, 2}}, {"2", []int{1, 3}}, {"3", []int{1, 4}}}, nil, []int{1}, []int{2, 3, 4}},
		{"two ends", []end{{"1", []int{1, 2}}, {"2", []int{1, 3}}}, nil, nil, []int{1, 2, 3}},
		{"the same end told three times", []end{{"1", []int{1}}, {"1", []int{1}}, {"1", []int{1}}}, nil, nil, []int{1}},
		{"answered between", []end{{"1", []int{1}}, {"2", []int{1}}, {"3", []int{1}}, {"4", []int{1}}}, []int{1}, nil, []int{1}},
		{"answered, then three more", []end{{"1", []int{1}}, {"2", []int{1}}, {"3", []int{1}}, {"4", []int{1}}, {"5", []int{1}}}, []int{1}, []int{1}, nil},
		{"two causes that are always together", []end{{"1", []int{1, 2}}, {"2", []int{1, 2}}, {"3", []int{1, 2}}}, nil, []int{1, 2}, nil},
		{"two causes that met once", []end{{"1", []int{1, 2}}, {"2", []int{1}}, {"3", []int{1}}, {"4", []int{2}}, {"5", []int{2}}}, nil, []int{1, 2}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewRegistry()
			for i, e := range test.ends {
				b.AddCrash(time.Unix(int64(i+1), 0), e.server, keys(e.there...))
				if i == 1 {
					for _, n := range test.answer {
						b.MarkAnswered(key(n))
					}
				}
			}
			for _, n := range test.barred {
				require.True(t, b.IsQuarantined(key(n)), "request %d", n)
			}
			for _, n := range test.free {
				require.False(t, b.IsQuarantined(key(n)), "request %d", n)
			}
			b.check(t)
		})
	}
}

// check tells whether the counts of a registry are what it holds.
func (r *Registry) check(t *testing.T) {
	t.Helper()
	pairs := 0
	for _, e := range r.ends {
		pairs += len(e.keys)
	}
	for k, s := range r.suspects {
		require.Equal(t, len(s.ended) >= repeated, r.repeats[k])
		require.Equal(t, len(s.ended) >= r.limit, r.IsQuarantined(k))
	}
	require.Equal(t, pairs, r.pairs)
	require.LessOrEqual(t, pairs, mostPairs)
	require.LessOrEqual(t, len(r.repeats), mostRepeated)
	require.LessOrEqual(t, len(r.suspects), mostPairs+mostRepeated)
}

// TestNewsInAnyOrder: gateways that hear the same news in different orders, some of them
// twice, bar the same requests.
func TestNewsInAnyOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var news []end
		for s := range 12 {
			e := end{server: fmt.Sprint(s)}
			for range 1 + random.IntN(4) {
				e.there = append(e.there, random.IntN(8))
			}
			news = append(news, e)
		}
		// A cause that is in every third of them.
		for s := 0; s < len(news); s += 3 {
			news[s].there = append(news[s].there, 100)
		}
		var first *Registry
		for range 3 {
			b := NewRegistry()
			for _, i := range append(random.Perm(len(news)), random.Perm(len(news))...) {
				b.AddCrash(time.Unix(1, 0), news[i].server, keys(news[i].there...))
			}
			require.True(t, b.IsQuarantined(key(100)))
			b.check(t)
			if first == nil {
				first = b
			}
			for n := range 8 {
				require.Equal(t, first.IsQuarantined(key(n)), b.IsQuarantined(key(n)))
			}
		}
	}
}

// TestRecords: a record that was written is taken over by a gateway that knows nothing.
func TestRecords(t *testing.T) {
	b, later := NewRegistry(), NewRegistry()
	require.Empty(t, b.AddCrash(time.Unix(1, 0), "1", keys(1, 2)), "one end is worth no record")
	require.Equal(t, keys(1), b.AddCrash(time.Unix(2, 0), "2", keys(1)))
	r, ok := b.Record(key(1))
	require.True(t, ok)
	later.Merge(time.Unix(3, 0), key(1), StoredRecord{Servers: r.Servers})
	require.False(t, later.IsQuarantined(key(1)))
	require.Equal(t, keys(1), later.AddCrash(time.Unix(4, 0), "3", keys(1, 5)))
	require.True(t, later.IsQuarantined(key(1)))
	r, ok = later.Record(key(1))
	require.True(t, ok)
	require.Equal(t, Record{Servers: []string{"1", "2", "3"}, QuarantinedAt: time.Unix(4, 0)}, r)
	require.False(t, later.IsCleared(key(1), r.Servers))
	later.Release(key(1))
	require.True(t, later.IsCleared(key(1), r.Servers))
	require.False(t, later.IsQuarantined(key(1)))
	later.Merge(time.Unix(5, 0), key(1), StoredRecord{Servers: r.Servers})
	require.False(t, later.IsQuarantined(key(1)), "what was lifted does not come back with late news")
	_, ok = later.Record(key(1))
	require.False(t, ok)
}

// TestMemoryIsBounded: whatever comes, and those that are barred are kept.
func TestMemoryIsBounded(t *testing.T) {
	b := NewRegistry()
	for s := range 3 {
		b.AddCrash(time.Unix(1, 0), fmt.Sprint("first", s), keys(-1))
	}
	for s := range 2000 {
		var there []Key
		for n := range 64 {
			there = append(there, key(s*64+n))
		}
		b.AddCrash(time.Unix(2, 0), fmt.Sprint(s), there)
	}
	b.check(t)
	require.LessOrEqual(t, b.Len(), mostPairs+1)
	require.True(t, b.IsQuarantined(key(-1)))
	for n := range mostRepeated + 10 {
		b.AddCrash(time.Unix(3, 0), fmt.Sprint("x", n), keys(-1000-n))
		b.AddCrash(time.Unix(3, 0), fmt.Sprint("y", n), keys(-1000-n))
	}
	b.check(t)
	require.True(t, b.IsQuarantined(key(-1)), "those that are not barred go first")
}

// TestDoubtful: who is barred by ends at the same moment may be tried, and once more if one
// server has ended since; others not.
func TestDoubtful(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(b *Registry, after time.Duration, server string) { b.AddCrash(start.Add(after), server, keys(1)) }
	tests := []struct {
		name string
		play func(b *Registry)
		want bool
	}{
		{"at once", func(b *Registry) { at(b, 0, "1"); at(b, 1, "2"); at(b, 20, "3"); at(b, 30, "4") }, true},
		{"one after the other", func(b *Registry) { at(b, 0, "1"); at(b, time.Second, "2"); at(b, 2*time.Second, "3") }, false},
		{"not barred", func(b *Registry) { at(b, 0, "1"); at(b, 1, "2") }, false},
		{"tried, and another one ended", func(b *Registry) { at(b, 0, "1"); at(b, 1, "2"); at(b, 20, "3"); at(b, 4*time.Second, "4") }, true},
		{"and another one", func(b *Registry) {
			at(b, 0, "1")
			at(b, 1, "2")
			at(b, 20, "3")
			at(b, 4*time.Second, "4")
			at(b, 7*time.Second, "5")
		}, false},
		{"two at once, one later", func(b *Registry) { at(b, 0, "1"); at(b, 1, "2"); at(b, 2*time.Second, "3") }, false},
		{"tried after as many as are remembered", func(b *Registry) {
			for n := range mostOfOne {
				at(b, 0, fmt.Sprint(n))
			}
			at(b, 4*time.Second, "x")
			at(b, 5*time.Second, "y")
		}, false},
		{"known by a record only", func(b *Registry) { b.Merge(start, key(1), StoredRecord{Servers: []string{"1", "2", "3"}}) }, false},
		{"that says at once", func(b *Registry) {
			b.Merge(start, key(1), StoredRecord{Servers: []string{"1", "2", "3"}, Simultaneous: true})
		}, true},
		{"and two later ends", func(b *Registry) {
			b.Merge(start, key(1), StoredRecord{Servers: []string{"1", "2", "3"}, Simultaneous: true})
			at(b, 4*time.Second, "4")
			at(b, 7*time.Second, "5")
		}, false},
		{"at once, and more by a record", func(b *Registry) {
			at(b, 0, "1")
			b.Merge(start.Add(5*time.Second), key(1), StoredRecord{Servers: []string{"1", "2", "3"}, Simultaneous: true})
		}, true},
		{"at once, and one by a record that does not say so", func(b *Registry) {
			at(b, 0, "1")
			at(b, 1, "2")
			at(b, 2, "3")
			b.Merge(start, key(1), StoredRecord{Servers: []string{"1", "4"}})
		}, false},
		{"answered between", func(b *Registry) {
			at(b, 0, "1")
			b.MarkAnswered(key(1))
			at(b, 2*time.Second, "2")
			at(b, 2*time.Second, "3")
			at(b, 2*time.Second, "4")
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewRegistry()
			test.play(b)
			_, doubtful := b.Ambiguous(start.Add(10*time.Second), key(1))
			require.Equal(t, test.want, doubtful)
		})
	}
}

// TestAnswers: what was answered lately is known, in bounded memory.
func TestAnswers(t *testing.T) {
	var a RecentAnswers
	now := time.Unix(100, 0)
	require.False(t, a.Contains(now, key(1)))
	a.Add(now, key(1))
	a.Add(now, key(2))
	require.True(t, a.Contains(now.Add(answeredFor-1), key(1)))
	require.False(t, a.Contains(now.Add(answeredFor), key(1)))
	a.Add(now.Add(answeredFor), key(1))
	require.True(t, a.Contains(now.Add(answeredFor), key(1)))
	require.False(t, a.Contains(now.Add(answeredFor), key(2)))
	for n := range 2 * mostAnswers {
		a.Add(now, key(1000+n))
	}
	require.Len(t, a.at, mostAnswers)
	require.Len(t, a.ring, mostAnswers)
	require.False(t, a.Contains(now, key(1)))
	require.True(t, a.Contains(now, key(1000+mostAnswers)))
}

// TestKeys: tries of the same question have the same key, others have another one.
func TestKeys(t *testing.T) {
	first := Request{Account: "a", Method: "POST", Host: "h", Target: "/x", Body: []byte("b")}
	others := []Request{
		{Account: "b", Method: "POST", Host: "h", Target: "/x", Body: []byte("b")},
		{Account: "a", Method: "PUT", Host: "h", Target: "/x", Body: []byte("b")},
		{Account: "a", Method: "POST", Host: "g", Target: "/x", Body: []byte("b")},
		{Account: "a", Method: "POST", Host: "h", Target: "/xb"},
		{Account: "aP", Method: "OST", Host: "h", Target: "/x", Body: []byte("b")},
		{Account: "a", Method: "POST", Host: "h", Target: "/x"},
	}
	for _, other := range others {
		require.NotEqual(t, KeyOf(first), KeyOf(other))
	}
	k, err := ParseKey(KeyOf(first).String())
	require.NoError(t, err)
	require.Equal(t, KeyOf(first), k)
	for _, wrong := range []string{"", "00", "zz", k.String() + "00"} {
		_, err := ParseKey(wrong)
		require.Error(t, err)
	}
}

// storm is a play of servers that end: of some causes, and by themselves.
type storm struct {
	limit  int
	apart  bool    // who was at two ends gets a server of its own
	causes int     // requests that end the server which runs them
	byself float64 // servers that end by themselves each second, of all
}

// outcome is what a storm shows.
type outcome struct {
	ends      int // servers ended by causes
	lost      int // runs of other requests that were lost with a server
	refused   int // tries that found no server
	innocents int // other requests that came
	barred    int // of them, those that were barred at any time
}

// run is one run of a request at a server.
type run struct{ id, until, try int }

func ids(list []run) []int {
	var made []int
	for _, r := range list {
		made = append(made, r.id)
	}
	return made
}

// reserved tells whether a request may not go to a server with these.
func (s storm) reserved(b *Registry, id int, there []int) bool {
	if !s.apart {
		return false
	}
	suspect := func(id int) bool { return b.CrashCount(key(id)) >= 2 }
	return suspect(id) && len(there) > 0 || slices.ContainsFunc(there, suspect)
}

// play plays a minute of a small site: ten servers which are back after three seconds, a
// hundred requests a second that take two seconds; half of those that are lost come again
// half a second later, up to five times, and each cause comes every second.
func (s storm) play(seed uint64) outcome {
	const (
		servers, back, long = 10, 30, 20 // times in tenths of a second
		steps, perStep      = 600, 10
		again, tries        = 5, 5
	)
	random := rand.New(rand.NewPCG(seed, 7))
	b := NewRegistry()
	b.limit = s.limit
	at := make([][]run, servers)
	down := make([]int, servers)
	lifetime := make([]int, servers)
	waiting := map[int][]run{}
	var o outcome
	next := 0
	everBarred := map[int]bool{}
	for now := range steps {
		clock := time.Unix(0, int64(now+1)*1e8)
		came := waiting[now]
		delete(waiting, now)
		for range perStep {
			next++
			came = append(came, run{id: next})
		}
		o.innocents += perStep
		for c := range s.causes {
			if (now+c)%10 == 0 {
				came = append(came, run{id: -1 - c})
			}
		}
		for _, r := range came {
			if b.IsQuarantined(key(r.id)) {
				if r.id > 0 {
					everBarred[r.id] = true
				}
				continue
			}
			var up []int
			for i := range servers {
				if down[i] <= now {
					up = append(up, i)
				}
			}
			up = slices.DeleteFunc(up, func(i int) bool { return s.reserved(b, r.id, ids(at[i])) })
			if len(up) == 0 {
				o.refused++
				continue
			}
			i := up[random.IntN(len(up))]
			r.until = now + long
			at[i] = append(at[i], r)
		}
		for i := range servers {
			cause := false
			kept := at[i][:0]
			for _, r := range at[i] {
				cause = cause || r.id < 0
				if r.id > 0 && r.until <= now {
					b.MarkAnswered(key(r.id))
					continue
				}
				kept = append(kept, r)
			}
			at[i] = kept
			byself := down[i] <= now && random.Float64() < s.byself/10
			if !cause && !byself {
				continue
			}
			if cause {
				o.ends++
			}
			var there []Key
			for _, r := range at[i] {
				there = append(there, key(r.id))
				if r.id > 0 {
					o.lost++
				}
				if r.id > 0 && r.try < tries && random.IntN(2) == 0 {
					waiting[now+again] = append(waiting[now+again], run{id: r.id, try: r.try + 1})
				}
			}
			lifetime[i]++
			b.AddCrash(clock, fmt.Sprintf("%d@%d", i, lifetime[i]), there)
			at[i], down[i] = nil, now+back
		}
	}
	o.barred = len(everBarred)
	return o
}

// TestThresholds weighs how many ends bar a request: servers that are spared against
// innocent requests that are barred.
func TestThresholds(t *testing.T) {
	tests := []struct {
		name   string
		causes int
		byself float64
	}{
		{"one-cause", 1, 0},
		{"ten-causes", 10, 0},
		{"fifty-causes", 50, 0},
		{"no-cause-calm", 0, 0.005},
		{"no-cause-storm", 0, 0.1},
	}
	ways := []struct {
		name  string
		limit int
		apart bool
	}{{"two", 2, false}, {"three", 3, false}, {"three-apart", 3, true}}
	const seeds = 8
	for _, test := range tests {
		for _, way := range ways {
			var sum outcome
			for seed := range uint64(seeds) {
				o := storm{way.limit, way.apart, test.causes, test.byself}.play(seed)
				sum.ends += o.ends
				sum.lost += o.lost
				sum.refused += o.refused
				sum.innocents += o.innocents
				sum.barred += o.barred
			}
			t.Logf("figure quarantine-%s-%s-barred %.4f %% of the innocent requests", test.name, way.name, 100*float64(sum.barred)/float64(sum.innocents))
			t.Logf("figure quarantine-%s-%s-lost %.2f %% of them, at a time", test.name, way.name, 100*float64(sum.lost)/float64(sum.innocents))
			t.Logf("figure quarantine-%s-%s-no-server %.2f %% of them", test.name, way.name, 100*float64(sum.refused)/float64(sum.innocents))
			if test.causes > 0 {
				t.Logf("figure quarantine-%s-%s-ends %.2f servers a cause", test.name, way.name, float64(sum.ends)/float64(seeds*test.causes))
			}
			if way.limit == CrashThreshold && test.causes > 0 {
				require.Zero(t, sum.barred, "no innocent request is barred for the causes' ends")
				require.LessOrEqual(t, sum.ends, seeds*test.causes*CrashThreshold)
			}
		}
	}
}

// BenchmarkKey is what an answered request costs more: before, it cost nothing; 1.1 µs for a
// body of 1 KB.
func BenchmarkKey(b *testing.B) {
	r := Request{Account: "quito", Method: "POST", Host: "h.example", Target: "/v1/chat/completions", Body: make([]byte, 1024)}
	for b.Loop() {
		KeyOf(r)
	}
}

// BenchmarkBarred is the look into a full registry: 34 ns.
func BenchmarkBarred(b *testing.B) {
	registry := NewRegistry()
	for n := range mostPairs {
		registry.AddCrash(time.Unix(1, 0), fmt.Sprint(n/64), []Key{key(n)})
	}
	for b.Loop() {
		registry.IsQuarantined(key(5))
	}
}
