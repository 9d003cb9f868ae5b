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

// Tally counts the outcomes of requests. A caller that retries is counted once, at its
// first request.
type Tally struct {
	Callers            int            `json:"callers"`                  // first requests
	InTime             int            `json:"in_time"`                  // of these, served in time
	Late               int            `json:"late"`                     // of these, served late
	ServedOnRetry      int            `json:"returned"`                 // retries by callers that were served
	Refused            map[string]int `json:"refused"`                  // refused requests by reason
	RefusedWhileIdle   int            `json:"refused_while_idle"`       // refused requests predicted within idleLimit of the objective
	Failed             int            `json:"failed"`                   // requests that got no answer or a failure
	Canceled           int            `json:"left"`                     // requests whose caller disconnected
	EndedBy            map[string]int `json:"ended_by,omitempty"`       // requests without a complete answer by what ended them: caller, connection, link, stop, deadline
	FailedAfterRetry   int            `json:"failed_repeats"`           // failed requests that were sent to more than one server
	RefusedHoldSeconds float64        `json:"seconds_held_in_vain"`     // time that refused requests were held
	PrefillSeconds     float64        `json:"seconds_of_reading"`       // predicted prefill time sent to servers
	Tokens             float64        `json:"tokens"`                   // sent to servers; output tokens count twice
	PredictionErrors   []float64      `json:"-"`                        // first event minus its prediction, ms
	ErrorMedian        float64        `json:"miss_ms_median"`           // median of PredictionErrors, ms
	ErrorP90           float64        `json:"miss_ms_ninth_in_ten"`     // 90th percentile of PredictionErrors, ms
	Gap                float64        `json:"gap_of_refused,omitempty"` // see [Accounting]
}

// InTimeShare returns the share of callers that were served in time on their first request.
func (t *Tally) InTimeShare() float64 { return float64(t.InTime) / float64(max(t.Callers, 1)) }

// Accounting holds the tallies of a fleet in total and by several views. The gap of a
// second is the difference between the most and the least tokens sent for any account in
// that second, divided by their mean. Accounts that were only refused for being over their
// share count with zero tokens.
type Accounting struct {
	Total    Tally             `json:"total"`
	Routes   map[string]*Tally `json:"routes"`
	Accounts map[string]*Tally `json:"accounts"`
	Halls    map[string]*Tally `json:"halls"`
	Servers  map[string]*Tally `json:"servers"` // only what was sent
	Seconds  map[string]*Tally `json:"seconds"` // by number of seconds since the first line
}

// idleLimit is the share of the objective within which the prediction for a refused request
// means that a server was nearly idle.
const idleLimit = 0.8

// overShareReason is the reason logged when an account is refused for being over its share.
const overShareReason = "account over its share"

// What ended a request, as gateways log it.
const (
	endedByStop = "stop" // the gateway's own
	endedByLink = "link" // of the gateway that forwarded the connection
)

// requestLines holds the log lines of one request.
type requestLines struct {
	sent    *Line
	refused *Line
	ended   *Line
}

// ReadAccounting reads the log lines of any number of gateways and tallies their requests.
func ReadAccounting(logs ...io.Reader) (*Accounting, error) {
	requests := map[string]*requestLines{}
	var start time.Time
	for _, r := range logs {
		err := readLines(r, func(l Line) {
			if l.Request == "" {
				return
			}
			if start.IsZero() || l.Time.Before(start) {
				start = l.Time
			}
			rl := requests[l.Request]
			if rl == nil {
				rl = &requestLines{}
				requests[l.Request] = rl
			}
			rl.record(&l)
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
	for _, id := range slices.Sorted(maps.Keys(requests)) {
		a.add(requests[id], start, shares)
	}
	a.finish(shares)
	return a, nil
}

func (rl *requestLines) record(l *Line) {
	switch l.Event {
	case "attempt.sent":
		if rl.sent == nil {
			rl.sent = l
		}
	case "request.refused":
		rl.refused = l
	case "request.ended":
		rl.ended = l
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

// secondKey returns the number of seconds since start, as the key of a view.
func secondKey(start, now time.Time) string { return strconv.Itoa(int(now.Sub(start) / time.Second)) }

// add counts a request in all views.
func (a *Accounting) add(rl *requestLines, start time.Time, shares map[string]map[string]float64) {
	if rl.ended == nil {
		return // still active, or its last line was dropped
	}
	arrived := secondKey(start, rl.ended.Time.Add(-milliseconds(rl.ended.Total)))
	views := []*Tally{
		&a.Total, tallyFor(a.Routes, rl.ended.Route), tallyFor(a.Accounts, rl.ended.Account), tallyFor(a.Halls, rl.ended.Hall), tallyFor(a.Seconds, arrived),
	}
	for _, t := range views {
		t.add(rl)
	}
	if rl.sent != nil {
		tallyFor(a.Servers, rl.sent.Server).addSent(rl)
		addTokens(shares, arrived, rl.ended.Account, rl.sent.Tokens)
	}
	if rl.refused != nil && rl.refused.Reason == overShareReason {
		addTokens(shares, arrived, rl.ended.Account, 0)
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// addTokens adds tokens to an account's total. With zero tokens it only makes the account
// part of the second.
func addTokens(shares map[string]map[string]float64, second, account string, tokens float64) {
	if shares[second] == nil {
		shares[second] = map[string]float64{}
	}
	shares[second][account] += tokens
}

func (t *Tally) add(rl *requestLines) {
	first := rl.ended.Elapsed == 0
	if by := rl.ended.EndedBy; by != "" {
		if t.EndedBy == nil {
			t.EndedBy = map[string]int{}
		}
		t.EndedBy[by]++
	}
	if first {
		t.Callers++
	}
	switch rl.ended.Result {
	case "served", "late":
		switch {
		case !first:
			t.ServedOnRetry++
		case rl.ended.Result == "served":
			t.InTime++
		default:
			t.Late++
		}
	case "refused":
		t.refuse(rl)
	case "left":
		t.Canceled++
	default:
		t.Failed++
		if rl.ended.Attempts > 1 {
			t.FailedAfterRetry++
		}
	}
	t.addSent(rl)
}

func (t *Tally) refuse(rl *requestLines) {
	if t.Refused == nil {
		t.Refused = map[string]int{}
	}
	t.Refused[rl.ended.Reason]++
	t.RefusedHoldSeconds += rl.ended.Total / 1e3
	if r := rl.refused; r != nil && r.Objective > 0 && r.Predicted+r.Elapsed <= idleLimit*r.Objective {
		t.RefusedWhileIdle++
	}
}

func (t *Tally) addSent(rl *requestLines) {
	if rl.sent == nil {
		return
	}
	t.PrefillSeconds += rl.sent.PrefillTime / 1e3
	t.Tokens += rl.sent.Tokens
	held := rl.sent.Time.Sub(rl.ended.Time.Add(-milliseconds(rl.ended.Total)))
	if rl.ended.Attempts == 1 && rl.ended.FirstByte > 0 && rl.sent.Predicted > 0 {
		t.PredictionErrors = append(t.PredictionErrors, rl.ended.FirstByte-float64(held)/float64(time.Millisecond)-rl.sent.Predicted)
	}
}

// finish computes the quantiles and gaps, which need all requests.
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

// gap returns the difference between the largest and the smallest value, divided by the mean.
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

// Table writes one view as a table, sorted by falling number of callers; seconds are in
// order of time.
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
	fmt.Fprintf(t, "%s\tcallers\tin time\tlate\treturned\tover share\tother refusals\twhile idle\tfailed\tleft\tby stop\tby link\theld in vain s\treading s\tmiss ms\tp90\tgap\t\n", view)
	for _, k := range keys {
		group[k].row(t, cmp.Or(k, "-"))
	}
	a.Total.row(t, "all")
	return errors.Wrap(t.Flush(), "explain: write")
}

// row writes a tally. Write errors of a tabwriter are reported by its Flush.
func (t *Tally) row(w io.Writer, name string) {
	others := 0
	for reason, n := range t.Refused {
		if reason != overShareReason {
			others += n
		}
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f\t\n", name, t.Callers, t.InTime, t.Late, t.ServedOnRetry,
		t.Refused[overShareReason], others, t.RefusedWhileIdle, t.Failed, t.Canceled, t.EndedBy[endedByStop], t.EndedBy[endedByLink], t.RefusedHoldSeconds, t.PrefillSeconds, t.ErrorMedian, t.ErrorP90, t.Gap)
}
