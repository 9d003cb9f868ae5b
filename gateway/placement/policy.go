package placement

import (
	"time"

	"opalbridge.dev/gateway/catalog"
)

// Policy holds the weights and limits of placement; docs/design/ablation.md gives the effect
// of each.
type Policy struct {
	PrefillTokensPerMS   float64       // prompt tokens that a server prefills per millisecond while it decodes other requests; initial value, later estimated
	AttentionPairsPerMS  float64       // token pairs that attention processes per millisecond; scaled by the estimated prefill slowdown
	FirstEventDelay      time.Duration // from the end of prefill to the first event; initial value, later estimated
	CacheFraction        float64       // fraction of a server's cache memory that holds parts not in use
	RecomputeWeight      float64       // weight of recomputing a shared part, per unit of prefill time
	CopyWeight           float64       // weight of copying a cached part from another server, per unit of copy time
	CopySetup            time.Duration // fixed time of each copy
	MinCopyTokens        int           // fewest tokens that are worth a copy
	MinAffinityTokens    int           // requests with a shorter shared prefix may go to any server
	AffinityServers      int           // number of servers that may prefill a shared prefix
	ObjectiveFraction    float64       // fraction of the objective that a predicted latency may take up
	MaxSurplusWait       time.Duration // longest queue time for an account over its share that got none of the surplus capacity, so that it does not fall far behind the others
	MinIdleFraction      float64       // fraction of a service's servers that must be idle for MaxIdleSurplusWait to apply
	MaxIdleSurplusWait   time.Duration // longest queue time for an account over its share while many servers are idle
	MaxSurplusOccupancy  float64       // fraction of a server's slots that may be in use for it to get requests beyond their account's share: when prefill and decoding both saturate a server, its streams take several times as long
	MaxSurplusMissTokens int           // tokens of shared parts that an idle server may recompute for such a request, so that long prompts do not pay for short ones
	MaxIdleShareRatio    float64       // an account above this multiple of an even share gets no idle server other than the one with the lowest cost: idle servers suit short requests, and accounts with long ones would fall behind
	LowShareRatio        float64       // an account below this multiple of an even share is exempt from MaxSurplusOccupancy
	SurplusHoldFraction  float64       // fraction of the objective for which such a request is held until a server is idle
	TimeoutMargin        time.Duration // a held request is sent when this much of its caller's timeout would be left after the first event
	MaxLateWait          time.Duration // longest queue time at which a request that misses its objective is still sent
	MinShareRetryAfter   time.Duration // shortest retry delay for a caller whose account is over its share
	MinRetryAfter        time.Duration // shortest retry delay for a refused caller
	SlotHeadroom         int           // free slots below which a server counts as crowded
	SlotDelay            time.Duration // expected delay for each request beyond that
	FailureCost          time.Duration // cost of a server that fails every request; about one objective, which is what a caller loses
	MinDelayWeight       float64       // weight of a delay far below the objective, so that cache reuse takes precedence while there is time; it rises to 1 at the objective
	CostJitter           time.Duration // range of the random cost that separates similar servers, since gateways decide concurrently; must be above 0
	MinCachedFraction    float64       // fraction of a prompt's shared prefix that a server must cache for any server to copy it from there; below it, the affinity servers recompute it, so that a short text common to all prompts does not attract all of them to its holders
	CrossHallDelay       time.Duration // cost of an answer that crosses halls of a region, there and back; a higher cost leaves servers idle next to a hall that has most callers
	CrossRegionDelay     time.Duration // cost of an answer that crosses regions, where bandwidth is scarce

	PlainFailureCost   float64 // cost of a plain server that fails every request, in units of full load
	PlainCrossHallCost float64 // cost of a plain server in another hall, in units of full load
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		PrefillTokensPerMS:   45,
		AttentionPairsPerMS:  3.0e6,
		FirstEventDelay:      50 * time.Millisecond,
		CacheFraction:        0.9,
		RecomputeWeight:      12,
		CopyWeight:           4,
		CopySetup:            4 * time.Millisecond,
		MinCopyTokens:        200,
		MinAffinityTokens:    1024,
		AffinityServers:      2,
		ObjectiveFraction:    0.95,
		MaxSurplusWait:       400 * time.Millisecond,
		MinIdleFraction:      0.5,
		MaxIdleSurplusWait:   20 * time.Millisecond,
		MaxSurplusOccupancy:  0.5,
		MaxSurplusMissTokens: 500,
		MaxIdleShareRatio:    1,
		LowShareRatio:        0.5,
		SurplusHoldFraction:  0.125,
		TimeoutMargin:        200 * time.Millisecond,
		MaxLateWait:          30 * time.Millisecond,
		MinShareRetryAfter:   200 * time.Millisecond,
		MinRetryAfter:        200 * time.Millisecond,
		SlotHeadroom:         2,
		SlotDelay:            50 * time.Millisecond,
		FailureCost:          500 * time.Millisecond,
		MinDelayWeight:       0.3,
		CostJitter:           10 * time.Millisecond,
		MinCachedFraction:    0.5,
		CrossHallDelay:       2 * time.Millisecond,
		CrossRegionDelay:     25 * time.Millisecond,

		PlainFailureCost:   2,
		PlainCrossHallCost: 0.05,
	}
}

// prefillTime returns the nominal prefill time of the last tokens of a prompt: a linear term,
// and an attention term for the pairs that they form with all tokens before them.
func (p Policy) prefillTime(tokens, prompt int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	pairs := n * (float64(prompt) - n/2)
	ms := n/p.PrefillTokensPerMS + pairs/p.AttentionPairsPerMS
	return time.Duration(ms * float64(time.Millisecond))
}

// SurplusHold returns how long a request beyond its account's share is held.
func (p Policy) SurplusHold(a *Request) time.Duration {
	return scale(a.Objective+a.Waited, p.SurplusHoldFraction)
}

// cacheSize returns how many prompt tokens a server caches.
func (p Policy) cacheSize(e *catalog.Engine) int {
	if e == nil {
		return 0
	}
	return int(p.CacheFraction * float64(e.KVTokens))
}

// Parameters of the slowdown of single servers.
const (
	slowdownHalfLife    = 2 * time.Second        // half-life of observations
	slowdownPrior       = 200 * time.Millisecond // time at the median slowdown that is assumed for every server
	minSlowdownWork     = 30 * time.Millisecond  // shorter spans of work are too noisy to measure the slowdown
	minRelativeSlowdown = 0.5
	maxRelativeSlowdown = 10.0
)

// Parameters of the failure rate and of ejection.
const (
	failureHalfLife    = 3 * time.Second // half-life of failure and success counts
	failurePrior       = 2.0             // successes assumed for every server
	ignoredFailureRate = 0.02            // lower failure rates count as none
	minEjection        = 500 * time.Millisecond
	maxEjection        = 4 * time.Second
)
