package peer

// Rules by which a full beacon reports spare CPU. The field takes three bytes, so it is left out while
// the value hardly changes.
const (
	// A change by this many percent of the gateway's CPU is reported at once.
	spareStep = 10
	// The value is repeated in every fourth full beacon, for gateways that missed it: within the
	// time after which a silent gateway counts as dead.
	spareRepeat = 4
	// At most this many full beacons in a row carry the value, so that it takes two bytes of a
	// beacon on average even if it changes all the time.
	maxSpareRun = 2
)

// spareReport decides which full beacons report spare CPU.
type spareReport struct {
	value   uint32 // reported last, as encoded; 0: none
	pending int    // further beacons in which it is to be sent
	run     int    // beacons in a row that carried it
	without int    // beacons in a row that did not
}

// next returns what the next full beacon reports, given the current value as encoded.
func (s *spareReport) next(current uint32) uint32 {
	if current == 0 {
		s.run, s.without = 0, 0 // it is not told, or the gateway is short of CPU time
		return 0
	}
	if max(current, s.value)-min(current, s.value) >= spareStep || s.value == 0 {
		s.value, s.pending = current, transmissionsPerItem
	}
	s.without++
	if s.run >= maxSpareRun || s.pending == 0 && s.without < spareRepeat {
		s.run = 0
		return 0
	}
	s.value, s.pending = current, max(s.pending-1, 0)
	s.run++
	s.without = 0
	return current
}

// encodeSpare encodes the spare CPU as a percentage of the gateway's CPU, plus 1.
func encodeSpare(s State) uint32 {
	if !s.TellsSpare || s.Weight <= 0 {
		return 0
	}
	return uint32(min(max(s.Spare, 0), s.Weight)*100/s.Weight) + 1
}

// decodeSpare returns the spare CPU of a gateway in thousandths of a core.
func decodeSpare(weight, encoded uint32) int {
	return int(uint64(weight) * uint64(min(max(encoded, 1)-1, 100)) / 100)
}

// ReportSoon sends a full beacon without waiting for the next one that is due.
func (n *Node) ReportSoon() { offer(n.reportSoon, struct{}{}) }
