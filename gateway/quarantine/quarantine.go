// Package quarantine decides which requests are kept from the backend servers, because
// servers end while they run them.
//
// One that ends takes all its requests with it, and nobody can see which of them was the
// cause. But a cause comes again: the same question of the same account is there when the
// next server ends, and it is never answered. So the package counts, for each request that
// was at a server when that server ended, how many have. With [CrashThreshold] it is barred. What
// is answered whole was not the cause, and starts anew; and what was answered lately
// ([RecentAnswers]) is not blamed at all, since many copies of a question that is asked often are
// under way when several servers end at once.
//
// All that a [Registry] holds are sets that only grow: pairs of a request and a server that has
// ended, and pairs that no longer count. So news that come twice, late or in another order
// make no difference, and gateways that have heard the same news bar the same requests.
//
// # Usage
//
//	r := quarantine.NewRegistry()
//	key := quarantine.KeyOf(quarantine.Request{Account: "quito", Method: "POST", …})
//	changed := r.Ended(now, "i-7f3a@1760000000000", keys) // a server has ended under these
//	if r.Barred(key) { … }                                // it reaches no server
//	cleared := r.Answered(key)                            // it was not the cause
//
// The package takes no lock, does no input or output and reads no clock.
package quarantine

import (
	"slices"
	"time"
)

const (
	// CrashThreshold is how many servers may end under a request before it is barred. One fewer would
	// spare servers and bar innocent requests (TestThresholds).
	CrashThreshold = 3
	// Suspects are worth a record from this count on: what was at one end only is one of
	// some fifty that were there.
	repeated = 2
	// Pairs of a request and a server that are remembered: 250 servers that ended with 64
	// requests each. With more, who was at one end only is forgotten, oldest first.
	mostPairs = 16384
	// Requests that were at two ends or more. With more, those that are not barred are
	// forgotten first, then those that were barred longest ago: whoever wants to be
	// forgotten has to end 12,000 servers.
	mostRepeated = 4096
	// Ends that are remembered of one request; more do not change what is done with it.
	mostOfOne = 8
	// Ends within this time of the first one may have a cause that is none of the requests:
	// many servers end at once, and copies of a question are at several of them.
	atOnce = time.Second
	// A request that is barred by such ends alone may be tried. So many later ends leave no
	// doubt; one server may have ended under a try by chance.
	certain = 2
)

// Registry holds which requests were at servers that have ended. Its zero value is not ready;
// see [NewRegistry].
type Registry struct {
	limit    int
	suspects map[Key]*suspect
	repeats  map[Key]bool // suspects that have seen two ends or more
	ends     []ending     // oldest news first
	pairs    int          // of all ends
}

// ending is a server's end, and who was there.
type ending struct {
	server string
	keys   []Key
}

// suspect is a request that was at a server when it ended.
type suspect struct {
	ended   []string  // servers that count, in the order of the news
	cleared []string  // servers that don't: something else was the cause
	barred  time.Time // since when it is kept from servers; zero: it is not
	first   time.Time // news of an end that counts
	last    time.Time
	late    int  // ends that came later than atOnce after the first one
	merged  bool // of some ends it is not known when they came, nor that it was at one moment
}

// Record is what is known of a request that was at two ends or more.
type Record struct {
	Servers       []string  // that have ended, in the order of the news
	QuarantinedAt time.Time // since when; zero: it is not barred
	Simultaneous  bool      // the ends came at one moment, but for one at most
}

// StoredRecord is what is kept of such a request where all gateways find it.
type StoredRecord struct {
	Servers      []string `json:"servers"`           // that have ended
	Simultaneous bool     `json:"at_once,omitempty"` // they did so at one moment, but for one at most
	Probes       int      `json:"tries,omitempty"`   // how often it was sent although it is barred
}

// Equal tells whether both say the same.
func (k StoredRecord) Equal(other StoredRecord) bool {
	return k.Simultaneous == other.Simultaneous && k.Probes == other.Probes && slices.Equal(k.Servers, other.Servers)
}

// Merge returns what both say together. Only if both say so did the ends come at one moment.
func (k StoredRecord) Merge(other StoredRecord) StoredRecord {
	if len(other.Servers) == 0 {
		return k
	}
	both := StoredRecord{Servers: slices.Clone(k.Servers), Simultaneous: k.Simultaneous && other.Simultaneous, Probes: max(k.Probes, other.Probes)}
	for _, server := range other.Servers {
		if !slices.Contains(both.Servers, server) {
			both.Servers = append(both.Servers, server)
		}
	}
	return both
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{limit: CrashThreshold, suspects: map[Key]*suspect{}, repeats: map[Key]bool{}}
}

// AddCrash notes that a server has ended while it had these requests. It returns those of which
// [Registry.Record] tells something else than before.
func (r *Registry) AddCrash(now time.Time, server string, keys []Key) (changed []Key) {
	var news []Key
	for _, k := range keys {
		if !r.add(now, server, k) {
			continue
		}
		news = append(news, k)
		if r.repeats[k] {
			changed = append(changed, k)
		}
	}
	r.remember(ending{server, news})
	return changed
}

// Merge takes over what is kept of a request. It returns whether that was news.
func (r *Registry) Merge(now time.Time, k Key, kept StoredRecord) (news bool) {
	for _, server := range kept.Servers {
		late := 0
		if s := r.suspects[k]; s != nil {
			late = s.late
		}
		if !r.add(now, server, k) {
			continue
		}
		s := r.suspects[k]
		s.late = late // when it came is not known
		s.merged = s.merged || !kept.Simultaneous
		r.remember(ending{server, []Key{k}})
		news = true
	}
	return news
}

// add notes one pair; it returns whether that is news.
func (r *Registry) add(now time.Time, server string, k Key) bool {
	s := r.suspects[k]
	if s == nil {
		s = &suspect{}
		r.suspects[k] = s
	}
	if slices.Contains(s.ended, server) || slices.Contains(s.cleared, server) {
		return false
	}
	if s.first.IsZero() {
		s.first = now
	}
	if now.Sub(s.first) > atOnce {
		s.late++
	}
	s.last = now
	if len(s.ended) >= mostOfOne {
		return false
	}
	s.ended = append(s.ended, server)
	if len(s.ended) >= repeated {
		r.repeats[k] = true
	}
	if len(s.ended) >= r.limit && s.barred.IsZero() {
		s.barred = now
	}
	return true
}

// MarkAnswered notes that a request was answered whole: it was the cause of no end so far. It
// returns the servers whose ends it has seen.
func (r *Registry) MarkAnswered(k Key) (cleared []string) {
	s := r.suspects[k]
	if s == nil || len(s.ended) == 0 {
		return nil
	}
	cleared = slices.Clone(s.ended)
	r.Clear(k, cleared)
	return cleared
}

// Release lets nothing count any more that a request has seen.
func (r *Registry) Release(k Key) {
	if s := r.suspects[k]; s != nil {
		r.Clear(k, slices.Clone(s.ended))
	}
}

// Clear lets the ends of these servers count no more for a request, as another gateway has
// found. News of them that come later do not count either.
func (r *Registry) Clear(k Key, servers []string) {
	s := r.suspects[k]
	if s == nil {
		return // who was at no end that is known is not worth the memory
	}
	for _, server := range servers {
		if !slices.Contains(s.cleared, server) {
			s.cleared = append(s.cleared, server)
		}
		if at := slices.Index(s.ended, server); at >= 0 {
			s.ended = slices.Delete(s.ended, at, at+1)
		}
	}
	s.cleared = s.cleared[max(0, len(s.cleared)-mostOfOne):]
	if len(s.ended) == 0 {
		s.first, s.late, s.merged = time.Time{}, 0, false
	}
	if len(s.ended) < repeated {
		delete(r.repeats, k)
	}
	if len(s.ended) < r.limit {
		s.barred = time.Time{}
	}
}

// IsCleared tells whether none of these servers' ends counts for a request any more.
func (r *Registry) IsCleared(k Key, servers []string) bool {
	s := r.suspects[k]
	return s != nil && !slices.ContainsFunc(servers, func(server string) bool { return !slices.Contains(s.cleared, server) })
}

// CrashCount returns how many servers have ended under a request, as far as they count.
func (r *Registry) CrashCount(k Key) int {
	if s := r.suspects[k]; s != nil {
		return len(s.ended)
	}
	return 0
}

// IsQuarantined tells whether a request is kept from servers.
func (r *Registry) IsQuarantined(k Key) bool {
	s := r.suspects[k]
	return s != nil && !s.barred.IsZero()
}

// Ambiguous tells whether a request is barred by ends that all came at once, but for one at
// most, and if so for how long no other has come.
func (r *Registry) Ambiguous(now time.Time, k Key) (quiet time.Duration, ok bool) {
	s := r.suspects[k]
	if s == nil || s.merged || len(s.ended)-s.late < r.limit || s.late >= certain {
		return 0, false
	}
	return now.Sub(s.last), true
}

// Record returns what is known of a request; ok is false if it has seen less than two ends.
func (r *Registry) Record(k Key) (known Record, ok bool) {
	if !r.repeats[k] {
		return Record{}, false
	}
	s := r.suspects[k]
	return Record{Servers: slices.Clone(s.ended), QuarantinedAt: s.barred, Simultaneous: !s.merged && s.late < certain}, true
}

// CountQuarantined returns how many requests are barred.
func (r *Registry) CountQuarantined() int {
	n := 0
	for k := range r.repeats {
		if r.IsQuarantined(k) {
			n++
		}
	}
	return n
}

// Len returns how many requests are known.
func (r *Registry) Len() int { return len(r.suspects) }

// remember keeps an end, and drops what is then beyond the bounds.
func (r *Registry) remember(e ending) {
	if len(e.keys) == 0 {
		return
	}
	r.ends = append(r.ends, e)
	r.pairs += len(e.keys)
	for r.pairs > mostPairs {
		r.forget(r.ends[0])
		r.ends = r.ends[1:]
	}
	for len(r.repeats) > mostRepeated {
		k := r.leastNeeded()
		delete(r.repeats, k)
		delete(r.suspects, k)
	}
}

// forget drops those that were at this end and at no other one.
func (r *Registry) forget(e ending) {
	r.pairs -= len(e.keys)
	for _, k := range e.keys {
		s := r.suspects[k]
		if s != nil && (len(s.ended) == 0 || len(s.ended) < repeated && s.ended[0] == e.server) {
			delete(r.suspects, k)
		}
	}
}

// leastNeeded returns one that is not barred, or else the one that was barred first.
func (r *Registry) leastNeeded() (least Key) {
	first := true
	for k := range r.repeats {
		if first || r.suspects[k].barred.Before(r.suspects[least].barred) {
			least, first = k, false
		}
	}
	return least
}
