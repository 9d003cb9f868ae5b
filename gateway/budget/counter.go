package budget

import "time"

// counterSlots is the number of parts of a window that are counted separately.
const counterSlots = 20

// counter counts events in a sliding window. It forgets an event up to one slot early.
type counter struct {
	start   time.Time
	slot    time.Duration
	slots   [counterSlots]int
	current int64 // slots since start, of the latest event or count
	sum     int
}

// newCounter returns a counter for events after start. It counts by the time since then, which
// does not jump with the time of day.
func newCounter(window time.Duration, start time.Time) counter {
	return counter{start: start, slot: window / counterSlots}
}

func (c *counter) add(now time.Time) {
	c.advance(now)
	c.slots[c.current%counterSlots]++
	c.sum++
}

func (c *counter) count(now time.Time) int {
	c.advance(now)
	return c.sum
}

// advance forgets what has left the window.
func (c *counter) advance(now time.Time) {
	current := int64(now.Sub(c.start) / c.slot)
	if current-c.current >= counterSlots {
		c.slots, c.sum, c.current = [counterSlots]int{}, 0, current
		return
	}
	for c.current < current {
		c.current++
		i := c.current % counterSlots
		c.sum -= c.slots[i]
		c.slots[i] = 0
	}
}
