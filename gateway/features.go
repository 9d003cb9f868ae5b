package gateway

// Features selects optional decisions. Each takes effect only where the configuration gives what it
// needs; the packages named here say what.
type Features struct {
	IdleSurplus    Mode // idle servers for accounts beyond their share: package surplus
	MoveStreams    Mode // streams move off servers that leave: package continuation
	BackUpStreams  Mode // streams are backed up: package continuation
	QueuePlainWork Mode // requests to plain servers wait for slots: package slots
	Withdraw       Mode // an overloaded gateway withdraws from the load balancer: package offload
	Offload        Mode // connections are handed off to other halls: package offload
	AvoidPauses    bool // placement regards pauses of running streams: package decode
}

// Mode says whether an optional decision is made.
type Mode int

// Modes.
const (
	Off  Mode = iota
	Auto      // where the configuration calls for it
	On        // wherever it can be made
)

// applies reports whether the decision is made; calledFor says whether the configuration calls for it.
func (m Mode) applies(calledFor bool) bool { return m == On || m == Auto && calledFor }

// movesStreams reports whether streams move off servers that leave.
func (d *dispatcher) movesStreams() bool {
	return d.settings.Features.MoveStreams.applies(d.tolerantStreams.Load())
}

// backsUpStreams reports whether streams are backed up.
func (d *dispatcher) backsUpStreams() bool {
	return d.settings.Features.BackUpStreams.applies(d.tolerantStreams.Load())
}
