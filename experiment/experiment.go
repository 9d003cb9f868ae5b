// Package experiment measures the scheduling policy of a fleet: real routers and agents with
// fake servers, in virtual time, under a given workload.
//
// # Usage
//
//	r := experiment.Run(t, experiment.Scenario{Name: "uneven", Routers: 12, Models: 9, …})
//	r.Print(os.Stdout)
//
// Run must be called inside a bubble of testing/synctest. Costs are in weighted
// tokens, as the fake servers count them, not as the agents estimate them.
package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"opalbridge.dev/config"
	"opalbridge.dev/engine/enginetest"
	"opalbridge.dev/fair"
	"opalbridge.dev/fleettest"
	"opalbridge.dev/router"
)

// Strategy is a dispatch strategy to measure.
type Strategy struct {
	Name     string
	Policy   fair.Policy
	Queueing router.Queueing
}

// The strategies: the design, its variants, and the baselines.
var (
	Design      = Strategy{"design", fair.Corrected, router.LateBinding}
	Uncorrected = Strategy{"least fleet total", fair.Uncorrected, router.LateBinding}
	AgentFair   = Strategy{"fair at each agent", fair.LocalOnly, router.LateBinding}
	RouterFair  = Strategy{"fair at each router", fair.Unordered, router.RouterFair}
	FirstCome   = Strategy{"first come first served", fair.Unordered, router.FirstCome}
)

// Client is a group of callers of one account, each with one request open at a time.
type Client struct {
	Account     string
	Routers     []int   // indexes of the routers it uses
	Callers     int     // at each router
	MinTokens   int     // of the shortest answer
	MaxTokens   int     // of the longest answer
	PromptBytes int     // length of the prompt
	HintError   float64 // cost hints are off by up to this factor, too high or too low; 0: exact
	Urgent      bool
	Pool        string
	Think       time.Duration // mean think time between two requests; 0: none
	From        time.Duration // when it starts
	Until       time.Duration // when it stops; 0: at the end of the run
}

// Fault is an event injected into the fleet during a run.
type Fault struct {
	At time.Duration
	Do func(*fleettest.Fleet)
}

// Scenario describes the fleet and the workload of one run.
type Scenario struct {
	Name     string
	Strategy Strategy
	Routers  int
	Models   int
	Slots    int
	Degree   int
	Interval time.Duration
	Shares   map[string]uint32 // by account; 1 if missing
	Clients  []Client
	Pools    func(server int) []string
	Faults   []Fault
	Warmup   time.Duration // before the measurement starts
	Duration time.Duration // of the measurement
	Compare  []string      // accounts that the gap is measured between; nil: all
	Seed     uint64
	Limits   config.Limits
	Burst    int
}

// Result holds the measurements of a run.
type Result struct {
	Scenario       Scenario
	Gap            float64 // largest difference in service divided by share, weighted tokens
	RelativeGap    float64 // Gap divided by the mean service of the accounts compared
	Utilisation    float64 // of the slots of all servers
	ControlRate    float64 // control traffic in bytes a second, mean over nodes
	MaxControlRate float64 // control traffic in bytes a second, of the busiest node
	OverheadRate   float64 // bytes a second per node other than request and answer bodies, including framing
	Violations     int     // times an agent found its fairness bound violated
	Requests       int
	Failed         int // requests without a complete answer
	Service        map[string]float64
	Waits          map[string][]time.Duration // queue times by account; of urgent requests by account and UrgentSuffix
	Samples        []Sample
	Bound          float64
}

// Sample is the state at one time of the measurement.
type Sample struct {
	At          time.Duration
	Gap         float64
	Utilisation float64 // since the previous sample
}

// UrgentSuffix is appended to an account's name in Result.Waits for its urgent requests.
const UrgentSuffix = "!urgent"

const sampleInterval = time.Second

// Run starts a fleet and its clients, and measures them.
func Run(t testing.TB, s Scenario) *Result {
	e := newRun(t, s)
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	e.launch(ctx, &callers)
	e.injectFaults(ctx, &callers)
	time.Sleep(s.Warmup)
	e.measure()
	stop()
	callers.Wait()
	e.fleet.Stop()
	return e.result
}

type run struct {
	scenario     Scenario
	fleet        *fleettest.Fleet
	result       *Result
	mutex        sync.Mutex
	startedAt    time.Time
	weights      config.Limits
	payloadBytes uint64 // of request and answer bodies
}

func newRun(t testing.TB, s Scenario) *run {
	e := &run{
		scenario: s,
		result:   &Result{Scenario: s, Service: map[string]float64{}, Waits: map[string][]time.Duration{}},
		weights:  s.Limits.WithDefaults(),
	}
	if s.Burst == 0 {
		s.Burst = 25
	}
	e.fleet = fleettest.Start(t, fleettest.Options{
		Routers: s.Routers, Models: s.Models, Slots: s.Slots, Degree: s.Degree, Interval: s.Interval,
		Policy: s.Strategy.Policy, Queueing: s.Strategy.Queueing, Accounts: s.accounts(), Pools: s.Pools, Limits: s.Limits,
		Model: enginetest.ModelOptions{Burst: s.Burst}, Metrics: e,
	})
	e.startedAt = time.Now()
	return e
}

func (s *Scenario) accounts() []config.Account {
	var list []config.Account
	for _, c := range s.Clients {
		if slices.ContainsFunc(list, func(a config.Account) bool { return a.Name == c.Account }) {
			continue
		}
		list = append(list, config.Account{Name: c.Account, Share: max(1, s.Shares[c.Account])})
	}
	return list
}

// Request implements router.Metrics.
func (e *run) Request(account, _, outcome, _ string, urgent bool, wait, _ time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if since := time.Since(e.startedAt); since < e.scenario.Warmup || since >= e.scenario.Warmup+e.scenario.Duration {
		return
	}
	e.result.Requests++
	if urgent {
		account += UrgentSuffix
	}
	e.result.Waits[account] = append(e.result.Waits[account], wait)
	if outcome != "ran" {
		e.result.Failed++
	}
}

// Retry implements router.Metrics.
func (e *run) Retry(string) {}

func (e *run) launch(ctx context.Context, callers *sync.WaitGroup) {
	n := uint64(0)
	for _, c := range e.scenario.Clients {
		for _, at := range c.Routers {
			for range c.Callers {
				n++
				random := rand.New(rand.NewPCG(e.scenario.Seed, n))
				callers.Go(func() { e.runCaller(ctx, c, at, random) })
			}
		}
	}
}

// refusalDelay is the delay of a caller after a refusal.
const refusalDelay = time.Second

func (e *run) runCaller(ctx context.Context, c Client, at int, random *rand.Rand) {
	if !sleep(ctx, c.From+time.Duration(random.Int64N(int64(time.Second)))) {
		return
	}
	for ctx.Err() == nil {
		if c.Until > 0 && time.Since(e.startedAt) > c.Until {
			return
		}
		tokens := c.MinTokens + random.IntN(c.MaxTokens-c.MinTokens+1)
		call := fleettest.Call{
			Router: at, Account: c.Account, Pool: c.Pool, Urgent: c.Urgent, PromptBytes: c.PromptBytes,
			Tokens: tokens, MaxTokens: hint(tokens, c.HintError, random), ID: fmt.Sprintf("%s-%d", c.Account, random.Uint64()),
		}
		a := e.fleet.Do(ctx, call)
		e.addPayload(a)
		if len(a.Body) == 0 && !sleep(ctx, refusalDelay) {
			return
		}
		if c.Think > 0 && !sleep(ctx, time.Duration(random.ExpFloat64()*float64(c.Think))) {
			return
		}
	}
}

// addPayload counts the body bytes of a request and its answer.
func (e *run) addPayload(a fleettest.Answer) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.payloadBytes += uint64(a.RequestBytes + len(a.Body))
}

func (e *run) payloadTotal() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.payloadBytes
}

func hint(tokens int, wrong float64, random *rand.Rand) int {
	if wrong <= 1 {
		return tokens
	}
	factor := math.Exp((2*random.Float64() - 1) * math.Log(wrong))
	return max(1, int(float64(tokens)*factor))
}

func (e *run) injectFaults(ctx context.Context, callers *sync.WaitGroup) {
	for _, f := range e.scenario.Faults {
		callers.Go(func() {
			if sleep(ctx, f.At) {
				f.Do(e.fleet)
			}
		})
	}
}

// measure samples the servers' own counters once every sampleInterval.
func (e *run) measure() {
	start := e.service()
	startBusy := e.busy()
	startControl := e.controlBytes()
	startSent, startPayload := e.fleet.Network.SentBytes(), e.payloadTotal()
	lastBusy, last := startBusy, time.Now()
	startTime := last
	for time.Since(startTime) < e.scenario.Duration {
		time.Sleep(sampleInterval)
		busy, now := e.busy(), time.Now()
		gap, _ := e.serviceGap(start, e.service())
		e.result.Gap = max(e.result.Gap, gap)
		e.result.Samples = append(e.result.Samples, Sample{
			At: now.Sub(startTime), Gap: gap, Utilisation: (busy - lastBusy).Seconds() / now.Sub(last).Seconds() / e.slots(),
		})
		lastBusy, last = busy, now
	}
	end := e.service()
	length := time.Since(startTime)
	e.result.Utilisation = (e.busy() - startBusy).Seconds() / length.Seconds() / e.slots()
	_, mean := e.serviceGap(start, end)
	e.result.RelativeGap = e.result.Gap / mean
	for a, v := range end {
		e.result.Service[a] = v - start[a]
	}
	overhead := float64(e.fleet.Network.SentBytes()-startSent) - float64(e.payloadTotal()-startPayload)
	e.result.OverheadRate = overhead / length.Seconds() / float64(len(e.fleet.Routers)+len(e.fleet.Agents))
	e.controlRates(startControl, e.controlBytes(), length)
	e.checkBounds(length)
}

func (e *run) slots() float64 {
	return float64(len(e.fleet.Agents) * e.fleet.Options.Slots)
}

func (e *run) busy() time.Duration {
	sum := time.Duration(0)
	for _, a := range e.fleet.Agents {
		busy, _ := a.Model.Busy()
		sum += busy
	}
	return sum
}

// service returns the weighted tokens served to each account, divided by its share.
func (e *run) service() map[string]float64 {
	const thousand = 1000
	sum := map[string]float64{}
	for _, a := range e.fleet.Agents {
		for account, t := range a.Model.TokensByLabel() {
			cost := float64(t.Input-t.Cached)*float64(e.weights.InputWeight) +
				float64(t.Cached)*float64(e.weights.CachedWeight) + float64(t.Output)*float64(e.weights.OutputWeight)
			sum[account] += cost / thousand / float64(max(1, e.scenario.Shares[account]))
		}
	}
	return sum
}

func (e *run) serviceGap(start, end map[string]float64) (gap, mean float64) {
	lowest, highest := math.Inf(1), math.Inf(-1)
	n := 0.0
	for a, v := range end {
		if e.scenario.Compare != nil && !slices.Contains(e.scenario.Compare, a) {
			continue
		}
		served := v - start[a]
		lowest, highest = math.Min(lowest, served), math.Max(highest, served)
		mean += served
		n++
	}
	if n == 0 {
		return 0, 1
	}
	return highest - lowest, math.Max(mean/n, 1)
}

func (e *run) controlBytes() map[string]uint64 {
	bytes := map[string]uint64{}
	for _, r := range e.fleet.Routers {
		if r.Node != nil {
			bytes[r.Name] = r.Node.ControlBytes()
		}
	}
	for _, a := range e.fleet.Agents {
		if a.Node != nil {
			bytes[a.Name] = a.Node.ControlBytes()
		}
	}
	return bytes
}

func (e *run) controlRates(start, end map[string]uint64, length time.Duration) {
	sum := 0.0
	for name, b := range end {
		if b < start[name] {
			continue // the node was restarted
		}
		rate := float64(b-start[name]) / length.Seconds()
		sum += rate
		e.result.MaxControlRate = math.Max(e.result.MaxControlRate, rate)
	}
	e.result.ControlRate = sum / float64(len(end))
}

// checkBounds computes the theoretical bound of the gap and counts the violations that the agents
// detected themselves.
func (e *run) checkBounds(length time.Duration) {
	largest, minShare := 0.0, math.Inf(1)
	for _, c := range e.scenario.Clients {
		largest = math.Max(largest, float64(c.MaxTokens)+float64(c.PromptBytes)/16)
		minShare = math.Min(minShare, float64(max(1, e.scenario.Shares[c.Account])))
	}
	total := 0.0
	for a, v := range e.result.Service {
		total += v * float64(max(1, e.scenario.Shares[a]))
	}
	interval := e.scenario.Interval
	if interval == 0 {
		interval = 2 * time.Second
	}
	e.result.Bound = fair.GapBound{
		MaxCost: largest, Slots: e.slots(), ServiceRate: total / length.Seconds(), TotalsAge: 3 * interval.Seconds(),
		UrgentCredit: float64(e.weights.UrgentCredit), MinShare: minShare,
	}.Value()
	for _, a := range e.fleet.Agents {
		if a.Node != nil {
			e.result.Violations += a.Node.Violations()
		}
	}
}

// Percentile returns the given percentile of waits.
func Percentile(waits []time.Duration, percent float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	i := int(math.Ceil(percent/100*float64(len(sorted)))) - 1
	return sorted[max(0, min(i, len(sorted)-1))]
}

// Print writes the figures of a run, one per line.
func (r *Result) Print(w io.Writer) {
	name := r.Scenario.Name + "/" + r.Scenario.Strategy.Name
	fmt.Fprintf(w, "figure gap %q %.0f weighted-tokens\n", name, r.Gap)
	fmt.Fprintf(w, "figure gap-of-mean-service %q %.3f ratio\n", name, r.RelativeGap)
	fmt.Fprintf(w, "figure bound %q %.0f weighted-tokens\n", name, r.Bound)
	fmt.Fprintf(w, "figure utilisation %q %.4f ratio\n", name, r.Utilisation)
	fmt.Fprintf(w, "figure control %q %.0f B/s/node\n", name, r.ControlRate)
	fmt.Fprintf(w, "figure control-most %q %.0f B/s\n", name, r.MaxControlRate)
	fmt.Fprintf(w, "figure overhead %q %.0f B/s/node\n", name, r.OverheadRate)
	fmt.Fprintf(w, "figure requests %q %d requests\n", name, r.Requests)
	fmt.Fprintf(w, "figure failed %q %d requests\n", name, r.Failed)
	fmt.Fprintf(w, "figure bound-violations %q %d times\n", name, r.Violations)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
