package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Tally counts what callers got. A caller is counted where it tried first.
type Tally struct {
	Callers     int            `json:"callers"`                  // first tries
	InTime      int            `json:"in_time"`                  // of these, served in time on the first try
	Late        int            `json:"late"`                     // served late on the first try
	Returned    int            `json:"returned"`                 // served only after coming back
	Refused     map[string]int `json:"refused"`                  // tries, by reason
	Idle        int            `json:"refused_while_idle"`       // of these, with a prediction within four fifths of the objective
	Failed      int            `json:"failed"`                   // tries that ended without an answer or with a failure
	Left        int            `json:"left"`                     // tries whose caller left
	Repeats     int            `json:"failed_repeats"`           // failed tries that had been at more than one server
	HeldSeconds float64        `json:"seconds_held_in_vain"`     // of tries that were refused
	Reading     float64        `json:"seconds_of_reading"`       // that servers were given, as predicted
	Tokens      float64        `json:"tokens"`                   // sent to servers, a made one counted twice
	Misses      []float64      `json:"-"`                        // of predictions of first events, ms; above 0: later
	MissMedian  float64        `json:"miss_ms_median"`           // of Misses
	MissNinth   float64        `json:"miss_ms_ninth_in_ten"`     // nine in ten are smaller
	Gap         float64        `json:"gap_of_refused,omitempty"` // see [Accounting]
}

// InTimeShare is the share of callers that were served in time on their first try.
func (t *Tally) InTimeShare() float64 { return float64(t.InTime) / float64(max(t.Callers, 1)) }

// Accounting is what callers of a fleet got, by several views. The gap of a second is the
// difference between the most and the least tokens sent for accounts that were refused
// beyond their share in it, in parts of their mean.
type Accounting struct {
	Total    Tally             `json:"total"`
	Routes   map[string]*Tally `json:"routes"`
	Accounts map[string]*Tally `json:"accounts"`
	Halls    map[string]*Tally `json:"halls"`
	Servers  map[string]*Tally `json:"servers"` // only what was sent
	Seconds  map[string]*Tally `json:"seconds"` // since the first line, in order when sorted as numbers
}

// idleLimit is the share of its objective within which a refused request was predicted.
const idleLimit = 0.8

// overShareReason is the reason of refusals beyond an account's share.
const overShareReason = "account over its share"

// journey is what the log says of one try.
type journey struct {
	sent    *Line
	refused *Line
	ended   *Line
}

// Account reads log lines of any number of gateways and counts what callers got.
func Account(logs ...io.Reader) (*Accounting, error) {
	tries := map[string]*journey{}
	var began time.Time
	for _, r := range logs {
		err := read(r, func(l Line) {
			if l.Request == "" {
				return
			}
			if began.IsZero() || l.Time.Before(began) {
				began = l.Time
			}
			j := tries[l.Request]
			if j == nil {
				j = &journey{}
				tries[l.Request] = j
			}
			j.take(&l)
		})
		if err != nil {
			return nil, err
		}
	}
	a := &Accounting{
		Routes: map[string]*Tally{}, Accounts: map[string]*Tally{}, Halls: map[string]*Tally{},
		Servers: map[string]*Tally{}, Seconds: map[string]*Tally{},
	}
	shares := map[string]map[string]float64{} // tokens by second and account
	for _, id := range slices.Sorted(maps.Keys(tries)) {
		a.add(tries[id], began, shares)
	}
	a.finish(shares)
	return a, nil
}

func (j *journey) take(l *Line) {
	switch l.Event {
	case "attempt.sent":
		if j.sent == nil {
			j.sent = l
		}
	case "request.refused":
		j.refused = l
	case "request.ended":
		j.ended = l
	}
}

func at(group map[string]*Tally, key string) *Tally {
	t := group[key]
	if t == nil {
		t = &Tally{}
		group[key] = t
	}
	return t
}

func second(began, now time.Time) string { return strconv.Itoa(int(now.Sub(began) / time.Second)) }

// add counts a try in all views.
func (a *Accounting) add(j *journey, began time.Time, shares map[string]map[string]float64) {
	if j.ended == nil {
		return // it is still under way, or its last line was dropped
	}
	arrived := second(began, j.ended.Time.Add(-milliseconds(j.ended.Whole)))
	views := []*Tally{
		&a.Total, at(a.Routes, j.ended.Route), at(a.Accounts, j.ended.Account), at(a.Halls, j.ended.Hall), at(a.Seconds, arrived),
	}
	for _, t := range views {
		t.add(j)
	}
	if j.sent != nil {
		at(a.Servers, j.sent.Server).addSent(j)
		sum(shares, arrived, j.ended.Account, j.sent.Tokens)
	}
	if j.refused != nil && j.refused.Reason == overShareReason {
		sum(shares, arrived, j.ended.Account, 0)
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// sum adds tokens; an account that was refused is there with what it got.
func sum(shares map[string]map[string]float64, second, account string, tokens float64) {
	if shares[second] == nil {
		shares[second] = map[string]float64{}
	}
	shares[second][account] += tokens
}

func (t *Tally) add(j *journey) {
	first := j.ended.Spent == 0
	if first {
		t.Callers++
	}
	switch j.ended.Result {
	case "served", "late":
		switch {
		case !first:
			t.Returned++
		case j.ended.Result == "served":
			t.InTime++
		default:
			t.Late++
		}
	case "refused":
		t.refuse(j)
	case "left":
		t.Left++
	default:
		t.Failed++
		if j.ended.Attempts > 1 {
			t.Repeats++
		}
	}
	t.addSent(j)
}

func (t *Tally) refuse(j *journey) {
	if t.Refused == nil {
		t.Refused = map[string]int{}
	}
	t.Refused[j.ended.Reason]++
	t.HeldSeconds += j.ended.Whole / 1e3
	if r := j.refused; r != nil && r.Objective > 0 && r.Predicted+r.Spent <= idleLimit*r.Objective {
		t.Idle++
	}
}

func (t *Tally) addSent(j *journey) {
	if j.sent == nil {
		return
	}
	t.Reading += j.sent.Reading / 1e3
	t.Tokens += j.sent.Tokens
	held := j.sent.Time.Sub(j.ended.Time.Add(-milliseconds(j.ended.Whole)))
	if j.ended.Attempts == 1 && j.ended.First > 0 && j.sent.Predicted > 0 {
		t.Misses = append(t.Misses, j.ended.First-float64(held)/float64(time.Millisecond)-j.sent.Predicted)
	}
}

// finish computes what needs all tries.
func (a *Accounting) finish(shares map[string]map[string]float64) {
	groups := []map[string]*Tally{{"": &a.Total}, a.Routes, a.Accounts, a.Halls, a.Servers, a.Seconds}
	for _, g := range groups {
		for _, t := range g {
			slices.Sort(t.Misses)
			t.MissMedian, t.MissNinth = quantile(t.Misses, 0.5), quantile(t.Misses, 0.9)
		}
	}
	for s, t := range a.Seconds {
		t.Gap = gap(slices.Collect(maps.Values(shares[s])))
	}
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// gap is the difference between the largest and the least, in parts of the mean.
func gap(tokens []float64) float64 {
	if len(tokens) < 2 {
		return 0
	}
	total := 0.0
	for _, t := range tokens {
		total += t
	}
	if total == 0 {
		return 0
	}
	return (slices.Max(tokens) - slices.Min(tokens)) * float64(len(tokens)) / total
}

// Table writes one view as a table, those with most callers first, seconds in order.
func (a *Accounting) Table(w io.Writer, view string) error {
	group, ok := map[string]map[string]*Tally{
		"route": a.Routes, "account": a.Accounts, "hall": a.Halls, "server": a.Servers, "second": a.Seconds,
	}[view]
	if !ok {
		return errors.Newf("explain: no view %q: route, account, hall, server or second", view)
	}
	keys := slices.SortedFunc(maps.Keys(group), func(x, y string) int {
		if view == "second" {
			return cmp.Or(cmp.Compare(len(x), len(y)), cmp.Compare(x, y))
		}
		return cmp.Or(cmp.Compare(group[y].Callers, group[x].Callers), cmp.Compare(x, y))
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\tcallers\tin time\tlate\treturned\tover share\tother refusals\twhile idle\tfailed\tleft\theld in vain s\treading s\tmiss ms\tp90\tgap\t\n", view)
	for _, k := range keys {
		group[k].row(t, cmp.Or(k, "-"))
	}
	a.Total.row(t, "all")
	return errors.Wrap(t.Flush(), "explain: write")
}

// row writes a tally; errors of a tabwriter show at its Flush.
func (t *Tally) row(w io.Writer, name string) {
	others := 0
	for reason, n := range t.Refused {
		if reason != overShareReason {
			others += n
		}
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f\t\n", name, t.Callers, t.InTime, t.Late, t.Returned,
		t.Refused[overShareReason], others, t.Idle, t.Failed, t.Left, t.HeldSeconds, t.Reading, t.MissMedian, t.MissNinth, t.Gap)
}
