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
	Callers            int            `json:"callers"`                  // first tries
	InTime             int            `json:"in_time"`                  // of these, served in time on the first try
	Late               int            `json:"late"`                     // served late on the first try
	ServedOnRetry      int            `json:"returned"`                 // served only after coming back
	Refused            map[string]int `json:"refused"`                  // tries, by reason
	RefusedWhileIdle   int            `json:"refused_while_idle"`       // of these, with a prediction within four fifths of the objective
	Failed             int            `json:"failed"`                   // tries that ended without an answer or with a failure
	Canceled           int            `json:"left"`                     // tries whose caller left
	FailedAfterRetry   int            `json:"failed_repeats"`           // failed tries that had been at more than one server
	RefusedHoldSeconds float64        `json:"seconds_held_in_vain"`     // of tries that were refused
	PrefillSeconds     float64        `json:"seconds_of_reading"`       // that servers were given, as predicted
	Tokens             float64        `json:"tokens"`                   // sent to servers, a made one counted twice
	PredictionErrors   []float64      `json:"-"`                        // of predictions of first events, ms; above 0: later
	ErrorMedian        float64        `json:"miss_ms_median"`           // of Misses
	ErrorP90           float64        `json:"miss_ms_ninth_in_ten"`     // nine in ten are smaller
	Gap                float64        `json:"gap_of_refused,omitempty"` // see [Accounting]
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

// requestLines is what the log says of one try.
type requestLines struct {
	sent    *Line
	refused *Line
	ended   *Line
}

// ReadAccounting reads log lines of any number of gateways and counts what callers got.
func ReadAccounting(logs ...io.Reader) (*Accounting, error) {
	tries := map[string]*requestLines{}
	var began time.Time
	for _, r := range logs {
		err := readLines(r, func(l Line) {
			if l.Request == "" {
				return
			}
			if began.IsZero() || l.Time.Before(began) {
				began = l.Time
			}
			j := tries[l.Request]
			if j == nil {
				j = &requestLines{}
				tries[l.Request] = j
			}
			j.record(&l)
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

func (j *requestLines) record(l *Line) {
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

func tallyFor(group map[string]*Tally, key string) *Tally {
	t := group[key]
	if t == nil {
		t = &Tally{}
		group[key] = t
	}
	return t
}

func second(began, now time.Time) string { return strconv.Itoa(int(now.Sub(began) / time.Second)) }

// add counts a try in all views.
func (a *Accounting) add(j *requestLines, began time.Time, shares map[string]map[string]float64) {
	if j.ended == nil {
		return // it is still under way, or its last line was dropped
	}
	arrived := second(began, j.ended.Time.Add(-milliseconds(j.ended.Total)))
	views := []*Tally{
		&a.Total, tallyFor(a.Routes, j.ended.Route), tallyFor(a.Accounts, j.ended.Account), tallyFor(a.Halls, j.ended.Hall), tallyFor(a.Seconds, arrived),
	}
	for _, t := range views {
		t.add(j)
	}
	if j.sent != nil {
		tallyFor(a.Servers, j.sent.Server).addSent(j)
		addTokens(shares, arrived, j.ended.Account, j.sent.Tokens)
	}
	if j.refused != nil && j.refused.Reason == overShareReason {
		addTokens(shares, arrived, j.ended.Account, 0)
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// addTokens adds tokens; an account that was refused is there with what it got.
func addTokens(shares map[string]map[string]float64, second, account string, tokens float64) {
	if shares[second] == nil {
		shares[second] = map[string]float64{}
	}
	shares[second][account] += tokens
}

func (t *Tally) add(j *requestLines) {
	first := j.ended.Elapsed == 0
	if first {
		t.Callers++
	}
	switch j.ended.Result {
	case "served", "late":
		switch {
		case !first:
			t.ServedOnRetry++
		case j.ended.Result == "served":
			t.InTime++
		default:
			t.Late++
		}
	case "refused":
		t.refuse(j)
	case "left":
		t.Canceled++
	default:
		t.Failed++
		if j.ended.Attempts > 1 {
			t.FailedAfterRetry++
		}
	}
	t.addSent(j)
}

func (t *Tally) refuse(j *requestLines) {
	if t.Refused == nil {
		t.Refused = map[string]int{}
	}
	t.Refused[j.ended.Reason]++
	t.RefusedHoldSeconds += j.ended.Total / 1e3
	if r := j.refused; r != nil && r.Objective > 0 && r.Predicted+r.Elapsed <= idleLimit*r.Objective {
		t.RefusedWhileIdle++
	}
}

func (t *Tally) addSent(j *requestLines) {
	if j.sent == nil {
		return
	}
	t.PrefillSeconds += j.sent.PrefillTime / 1e3
	t.Tokens += j.sent.Tokens
	held := j.sent.Time.Sub(j.ended.Time.Add(-milliseconds(j.ended.Total)))
	if j.ended.Attempts == 1 && j.ended.FirstByte > 0 && j.sent.Predicted > 0 {
		t.PredictionErrors = append(t.PredictionErrors, j.ended.FirstByte-float64(held)/float64(time.Millisecond)-j.sent.Predicted)
	}
}

// finish computes what needs all tries.
func (a *Accounting) finish(shares map[string]map[string]float64) {
	groups := []map[string]*Tally{{"": &a.Total}, a.Routes, a.Accounts, a.Halls, a.Servers, a.Seconds}
	for _, g := range groups {
		for _, t := range g {
			slices.Sort(t.PredictionErrors)
			t.ErrorMedian, t.ErrorP90 = quantile(t.PredictionErrors, 0.5), quantile(t.PredictionErrors, 0.9)
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
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f\t\n", name, t.Callers, t.InTime, t.Late, t.ServedOnRetry,
		t.Refused[overShareReason], others, t.RefusedWhileIdle, t.Failed, t.Canceled, t.RefusedHoldSeconds, t.PrefillSeconds, t.ErrorMedian, t.ErrorP90, t.Gap)
}
