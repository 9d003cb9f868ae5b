package placement

import (
	"time"

	"opalbridge.dev/gateway/catalog"
)

// Policy holds the weights and limits of placement; what each is worth stands in
// docs/design/ablation.md.
type Policy struct {
	TokensPerMS     float64       // prompt tokens a server reads in a millisecond, decoding beside it, until that is learned
	PairsPerMS      float64       // pairs of tokens that attention handles in a millisecond; learned only as a part of the reading
	FirstStep       time.Duration // from the end of reading to the first event, until that is learned
	CacheShare      float64       // of a server's memory that holds parts of prompts which are not in use
	RereadCost      float64       // weight of reading a shared part once more, in times of the reading
	CopyCost        float64       // weight of copying a cached part from another server, in times of the copying
	CopySetup       time.Duration // for each copy, whatever its length
	LeastCopy       int           // tokens for which a copy is worth its setup
	FreeTokens      int           // requests with a shorter shared beginning may go to any server
	Homes           int           // servers that may read a shared part
	LimitShare      float64       // share of the objective that a prediction may fill
	BehindWait      time.Duration // an account over its share that got nothing of what is left is served while the wait is shorter, so that it does not fall far behind the others
	IdleShare       float64       // while so many of a service's servers have nothing to read, IdleWait holds
	IdleWait        time.Duration // an account over its share is then served while the wait is shorter
	SparePlaces     float64       // share of a server's places that may be taken for it to get requests beyond their account's share: streams of a server that reads and decodes at its limit take several times as long
	SpareReread     int           // tokens of shared parts that an idle server may read again for such a request, so that long prompts do not pay for short ones
	IdleAhead       float64       // an account that got more than this part of an even share of all that was given gets no idle server but its request's own: idle servers suit short requests, and accounts with long ones would fall behind
	FarBehind       float64       // an account that got a smaller part of an even share of all that was given may have more places
	SpareHold       float64       // share of its objective for which it is held until one runs dry
	LastMoment      time.Duration // what waited is sent when so much of its caller's patience is left after the first event
	LateWait        time.Duration // what can't be in time is served while the wait is shorter
	ShareRetryAfter time.Duration // a caller whose account is over its share is told to wait at least so long
	MinRetryAfter   time.Duration // shortest time a refused caller is told to wait
	SpareSlots      int           // a server within so many slots of its batch counts as full
	SlotCost        time.Duration // delay expected for each request beyond that
	FailureCost     time.Duration // cost of a server that fails every request: about an objective, which is what a caller loses
	EarlyWeight     float64       // weight of a delay far below the objective, so that reuse goes first while there is time; at the objective it is 1
	Spread          time.Duration // servers whose costs differ by less are chosen at random, since gateways decide at the same time; above 0
	HeldShare       float64       // of a prompt's shared beginning that some server has to hold for any server to take it from there; with less the homes read it, so that a text that all prompts begin with does not draw them all to where it is held
	OtherHallDelay  time.Duration // cost of an answer that crosses between halls of a region: the way there and back; more keeps servers idle beside a hall with most callers
	OtherRegion     time.Duration // cost of an answer that crosses between regions, whose lines are narrow

	PlainFailureCost float64 // cost of a plain server that fails every request, in full loads
	OtherHallCost    float64 // cost of another hall's plain server, in full loads
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	return Policy{
		TokensPerMS:     45,
		PairsPerMS:      3.0e6,
		FirstStep:       50 * time.Millisecond,
		CacheShare:      0.9,
		RereadCost:      12,
		CopyCost:        4,
		CopySetup:       4 * time.Millisecond,
		LeastCopy:       200,
		FreeTokens:      1024,
		Homes:           2,
		LimitShare:      0.95,
		BehindWait:      400 * time.Millisecond,
		IdleShare:       0.5,
		IdleWait:        20 * time.Millisecond,
		SparePlaces:     0.5,
		SpareReread:     500,
		IdleAhead:       1,
		FarBehind:       0.5,
		SpareHold:       0.125,
		LastMoment:      200 * time.Millisecond,
		LateWait:        30 * time.Millisecond,
		ShareRetryAfter: 200 * time.Millisecond,
		MinRetryAfter:   200 * time.Millisecond,
		SpareSlots:      2,
		SlotCost:        50 * time.Millisecond,
		FailureCost:     500 * time.Millisecond,
		EarlyWeight:     0.3,
		Spread:          10 * time.Millisecond,
		HeldShare:       0.5,
		OtherHallDelay:  2 * time.Millisecond,
		OtherRegion:     25 * time.Millisecond,

		PlainFailureCost: 2,
		OtherHallCost:    0.05,
	}
}

// reading returns the time a server takes to read so many tokens at the end of a
// prompt: a part that grows with them and a part that grows with the pairs they form
// with all before them.
func (p Policy) reading(tokens, prompt int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	n := float64(tokens)
	pairs := n * (float64(prompt) - n/2)
	ms := n/p.TokensPerMS + pairs/p.PairsPerMS
	return time.Duration(ms * float64(time.Millisecond))
}

// SurplusHold is how long a request beyond its account's share is held.
func (p Policy) SurplusHold(a *Request) time.Duration {
	return scale(a.Objective+a.Waited, p.SpareHold)
}

// cacheSize is how many tokens of prompts a server keeps.
func (p Policy) cacheSize(e *catalog.Engine) int {
	if e == nil {
		return 0
	}
	return int(p.CacheShare * float64(e.KVTokens))
}

// How much slower or faster than the policy's figures a server is.
const (
	paceHalfLife  = 2 * time.Second        // what was seen of it loses half of its weight
	pacePrior     = 200 * time.Millisecond // work at the usual pace that is assumed of every server
	leastPaceWork = 30 * time.Millisecond  // shorter work tells more of chance than of the pace
	fastestPace   = 0.5
	slowestPace   = 10.0
)

// Failures of servers.
const (
	failureHalfLife = 3 * time.Second // a server's failures lose half of their weight
	failurePrior    = 2.0             // successes assumed of every server
	forgivenRate    = 0.02            // a lower share of failures counts as none
	firstRest       = 500 * time.Millisecond
	longestRest     = 4 * time.Second
)
