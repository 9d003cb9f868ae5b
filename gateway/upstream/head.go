package upstream

import (
	"net"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/memory"
)

// Sizes of the heads of answers.
const (
	// DefaultMaxHeadBytes is the limit for the head of an answer, with the interim heads before it.
	DefaultMaxHeadBytes = 64 << 10
	// Memory that a head may take before it is reserved: the fields of usual heads take a quarter.
	coveredHeadMemory = 16 << 10
)

// errHeadTooLong reports that a head has reached its limit.
var errHeadTooLong = errors.New("upstream: head of the answer is too long")

// headLimiter reads from a connection. While a head is read, it limits the bytes and reserves the
// memory that the head will take.
type headLimiter struct {
	conn        net.Conn
	err         error // of the latest Read
	reading     bool  // a head is being read
	left        int   // bytes that may still be read of heads
	head        memory.Head
	reservation *memory.Reservation
}

// begin begins to read the heads of an answer, which may take up to limit bytes.
func (l *headLimiter) begin(limit int, r *memory.Reservation) {
	*l = headLimiter{conn: l.conn, reading: true, left: limit, reservation: r}
}

// nextHead begins to read another head of the same answer.
func (l *headLimiter) nextHead() { l.head.Next() }

// end ends the reading of heads. What was reserved is held until the answer has been passed on.
func (l *headLimiter) end() { l.reading = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (n int, err error) {
	defer func() { l.err = err }()
	if !l.reading {
		return l.conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err = l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.head.Count(p[:n])
	if !l.reservation.GrowTo(l.head.Memory()) {
		return 0, memory.ErrNoRoom
	}
	return n, err
}

// headError returns the error of a head that could not be read. Parsers tell more of what they make of
// the bytes than of why there are no more.
func (l *headLimiter) headError(err error) error {
	switch {
	case l.err == nil:
		return NewInvalidError(InvalidHead, err)
	case errors.Is(l.err, errHeadTooLong):
		return NewInvalidError(InvalidLongHead, l.err)
	default:
		return errors.Wrapf(l.err, "upstream: read response: %s", shorten(err.Error()))
	}
}
