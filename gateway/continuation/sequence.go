package continuation

import "strconv"

// Sequence follows the IDs of the events that a caller has. A run's events at another server may be
// joined to them only if they continue the sequence: repeated ones are recognized by their IDs, and a
// missing one by a larger step than any before. The zero value is the beginning of a stream.
type Sequence struct {
	last     int64
	step     int64 // largest difference between the IDs of two successive events; 0: unknown
	unnamed  bool  // the latest data has no ID, so that it would be repeated
	unstable bool  // the latest ID is not a number, or is not above the one before
}

// StartAfter sets the ID of the last event that the caller had before the stream.
func (s *Sequence) StartAfter(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.last = n
	}
}

// Add records an event that the caller got. The ID may be empty; data reports whether the event has data.
func (s *Sequence) Add(id string, data bool) {
	if id == "" {
		s.unnamed = s.unnamed || data
		return
	}
	n, err := strconv.ParseInt(id, 10, 64)
	s.unnamed, s.unstable = false, err != nil || n <= s.last
	if !s.unstable {
		s.step, s.last = max(s.step, n-s.last), n
	}
}

// Joinable reports whether events of the same run from another server can be joined.
func (s *Sequence) Joinable() bool { return !s.unnamed && !s.unstable }

// Continues reports whether an event with an ID may come next: none is missing in between.
func (s *Sequence) Continues(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	return s.step == 0 || err == nil && n-s.last <= s.step
}
