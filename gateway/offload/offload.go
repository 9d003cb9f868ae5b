// Package offload decides how a gateway that has too little CPU time for its callers is relieved by
// other gateways. The load balancer picks a gateway by a hash of the caller, and the same one for a
// retry, so one small host may get most of a hall's connections while larger ones are idle.
//
// A [Withdrawal] decides when the gateway withdraws: it fails the load balancer's health checks, so
// that new connections go to other gateways of its hall.
//
// # Usage
//
//	w := offload.NewWithdrawal(offload.Gateway{Address: "10.1.0.33", Hall: "a", MilliCPU: 144})
//	w.Report(now, offload.Gateway{Address: "10.1.0.34", Hall: "a", MilliCPU: 800}) // another gateway's state
//	w.Lost("10.1.0.34")                                                            // it has not been heard from
//	s := w.Sample(offload.Sample{At: now, Admitted: 0.2, CalledFor: true})
//	if s.Withdrawn { … } // s.Reason says why
//
// The load balancer needs two failed checks, one second apart, before it acts, and uses all gateways
// of a hall if fewer than half of them are ready. Therefore few gateways withdraw, one after the other,
// and a gateway that cannot know the state of its hall is ready. It gives each gateway the same share of the
// callers that move, so a gateway does not withdraw if those that are not larger admit too few connections, and
// returns if they admit hardly any or those that are larger are short of CPU time.
//
// A [Handoff] decides which gateway takes a connection that this one cannot serve:
//
//	h := offload.NewHandoff("a", map[string]string{"a": "north", "b": "north"}, time.Second)
//	h.Report(now, offload.Gateway{Address: "10.1.1.34", Hall: "b", MilliCPU: 800, Spare: 500, TellsSpare: true})
//	c := h.Choose(offload.ChoiceOptions{Now: now, Random: rand.Float64(), OtherHalls: true})
//	if c.Outcome != offload.None { … } // c.Address takes it
//
// Gateways of the same hall come first, then those of other halls of the region. Each report allows this gateway
// its part of the spare CPU that has accrued since the one before, so gateways that hand connections off at the same
// time do not overload another hall, and little is handed off to one whose reports are lost.
//
// The package does no locking and no I/O and does not read the clock. A Withdrawal or a Handoff must be used
// by one goroutine at a time.
package offload

// Readiness is what a gateway answers to the load balancer's health checks.
type Readiness int

// The values are sent to other gateways.
const (
	Ready     Readiness = iota
	Withdrawn           // not ready, as it has withdrawn
	NotReady            // not ready for another reason: it is stopping, or has no configuration or servers
)

// Gateway is the state of a gateway.
type Gateway struct {
	Address  string
	Hall     string
	MilliCPU int // thousandths of a core that it may use; of another gateway, 0 while it is short of CPU time
	// Percent of connections that it does not admit. 0 while it is short of CPU time means that it does not
	// tell: it runs an earlier release.
	NotAdmitted int
	Readiness   Readiness
	// Spare is what it does not use of MilliCPU. If TellsSpare is not set, it runs an earlier release or
	// takes no connections from other halls.
	Spare      int
	TellsSpare bool
}
