package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/slots"
)

// fill returns a queue of requests that are named after their order.
func fill() *slots.Queue[string] {
	q := &slots.Queue[string]{}
	q.Add(slots.Position{Service: "s", Priority: 1, Since: start.Add(2)}, "4: later")
	q.Add(slots.Position{Service: "s", Priority: 2, Since: start, Retry: true}, "5: less urgent")
	q.Add(slots.Position{Service: "other", Priority: 1, Since: start.Add(1)}, "3: earlier")
	q.Add(slots.Position{Service: "s", Priority: 1, Since: start.Add(3), Retry: true}, "2: rejected")
	q.Add(slots.Position{Service: "s", Priority: -1, Since: start.Add(4)}, "1: urgent")
	return q
}

// TestQueue: a request must not be overtaken by less urgent or newer ones, and requests to another
// service count neither as before nor as behind it.
func TestQueue(t *testing.T) {
	q := fill()
	var order []string
	q.Scan(func(r string, turn slots.Turn) slots.Result {
		order = append(order, fmt.Sprint(r, turn.Ahead, turn.Behind))
		return slots.Skipped
	})
	require.Equal(t, []string{"1: urgent0 3", "2: rejected1 2", "3: earlier0 0", "4: later2 1", "5: less urgent3 0"}, order)
	for _, test := range []struct{ priority, ahead, behind int }{{-2, 0, 4}, {-1, 1, 3}, {1, 3, 1}, {2, 4, 0}} {
		ahead, behind := q.Ahead("s", test.priority)
		require.Equal(t, []int{test.ahead, test.behind}, []int{ahead, behind}, "priority %d", test.priority)
	}
	_, ok := q.ReplaceLast(2)
	require.False(t, ok, "the last one is as urgent and older")
	last, ok := q.ReplaceLast(1)
	require.True(t, ok)
	require.Equal(t, "5: less urgent", last)
	require.Equal(t, 4, q.Len())
	_, ok = (&slots.Queue[string]{}).ReplaceLast(1)
	require.False(t, ok)
}

// TestScan: requests that have got a slot leave the queue, those that are held or not tried stay and
// count as ahead, and many that are held do not cost a decision each.
func TestScan(t *testing.T) {
	q := fill()
	for i := range 5 {
		q.Add(slots.Position{Service: "s", Priority: 3, Since: start.Add(time.Duration(i))}, fmt.Sprint("6: ", i))
	}
	var blocked []string
	q.Scan(func(r string, turn slots.Turn) slots.Result {
		if turn.Blocked {
			blocked = append(blocked, r)
			return slots.Skipped
		}
		if r == "2: rejected" || r == "3: earlier" {
			return slots.Done
		}
		return slots.Held
	})
	require.Equal(t, []string{"6: 1", "6: 2", "6: 3", "6: 4"}, blocked)
	require.Equal(t, 8, q.Len())
	q.Scan(func(string, slots.Turn) slots.Result { return slots.Done })
	require.Zero(t, q.Len())
}

// TestCountActive: a gateway without requests at a service's servers takes no part of them, and
// counts of 2,400 gateways must not be made for each decision.
func TestCountActive(t *testing.T) {
	m := newModel(10, "0")
	m.SetServers(map[string][]uint64{"s": {1, 2}})
	require.True(t, m.HasServers("s"))
	require.False(t, m.HasServers("other"))
	reports := map[string]map[uint64]int{"a": {1: 1, 2: 1}, "b": {3: 1}, "c": {1: 0}, "d": nil}
	m.CountActive(start, reports)
	half := serverList([2]int{4, 8})
	require.IsType(t, slots.Wait{}, m.Decide(start, request(), half), "it has its half")
	reports["a"] = nil
	m.CountActive(start.Add(time.Millisecond), reports)
	r := request()
	r.Ahead = 120
	require.IsType(t, slots.Refuse{}, m.Decide(start, r, half), "the other gateway counts until the next count")
	m.CountActive(start.Add(time.Second), reports)
	require.IsType(t, slots.Wait{}, m.Decide(start, request(), half))
	r.Ahead = 90
	require.IsType(t, slots.Wait{}, m.Decide(start, r, half), "no other gateway holds requests")
}
