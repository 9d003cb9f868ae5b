package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/slots"
)

const (
	answer    = 15 * time.Millisecond
	objective = 300 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model is a Model with a history.
type model struct {
	*slots.Model
	last uint64 // attempt
}

// newModel returns a Model that has seen so many answers of each server, a second ago.
func newModel(answers int, servers ...string) *model {
	m := &model{Model: slots.NewModel()}
	for _, s := range servers {
		for range answers {
			sent := start.Add(-time.Second - answer)
			m.RecordEnd(sent.Add(answer), m.send(sent, s), slots.Answered, true)
		}
	}
	return m
}

func (m *model) send(now time.Time, server string) uint64 {
	m.last++
	m.RecordSent(now, m.last, "s", server)
	return m.last
}

// serverList returns servers of six slots with the given local and remote requests.
func serverList(running ...[2]int) []slots.Server {
	var list []slots.Server
	for i, r := range running {
		list = append(list, slots.Server{ID: fmt.Sprint(i), Capacity: 6, Local: r[0], Remote: r[1], Cost: float64(r[0]+r[1]) / 6})
	}
	return list
}

func request() slots.Request {
	return slots.Request{Service: "s", Objective: objective, Remaining: 3 * time.Second}
}

func TestDecide(t *testing.T) {
	type (
		list = []slots.Server
		send = slots.Send
	)
	with := func(change func(r *slots.Request)) slots.Request {
		r := request()
		change(&r)
		return r
	}
	tests := []struct {
		name    string
		others  int // gateways with requests at the service
		request slots.Request
		servers list
		want    slots.Decision // of waiting and refusing, the type only
	}{
		{"free servers: the cheapest", 0, request(), serverList([2]int{0, 3}, [2]int{0, 2}), send{Server: "1"}},
		{"the full one is passed over", 0, request(), serverList([2]int{0, 8}, [2]int{1, 4}), send{Server: "1"}},
		{"a short queue is filled", 0, request(), serverList([2]int{0, 7}), send{Server: "0"}},
		{"others have all slots, as one gateway: half is this one's", 1, request(), serverList([2]int{3, 9}), send{Server: "0"}},
		{"it has its half", 1, request(), serverList([2]int{4, 8}), slots.Wait{}},
		{"it has its part of many", 7, request(), serverList([2]int{1, 7}), slots.Wait{}},
		{"it has none of many", 7, request(), serverList([2]int{0, 20}), send{Server: "0"}},
		{"a short objective takes no queue", 0, with(func(r *slots.Request) { r.Objective = 40 * time.Millisecond }), serverList([2]int{3, 3}), slots.Wait{}},
		{"a longer one does", 0, request(), serverList([2]int{3, 3}), send{Server: "0"}},
		{"the objective cannot be met", 0, with(func(r *slots.Request) { r.Objective = 17 * time.Millisecond }), serverList([2]int{4, 4}), slots.Refuse{}},
		{"already late, but a slot is free", 0, with(func(r *slots.Request) { r.Objective = -time.Second }), serverList([2]int{0, 2}), send{Server: "0"}},
		{"already late", 0, with(func(r *slots.Request) { r.Objective = -time.Second }), serverList([2]int{4, 4}), slots.Refuse{}},
		{"no objective", 0, with(func(r *slots.Request) { r.Objective, r.Ahead = 0, 500 }), serverList([2]int{4, 4}), slots.Wait{}},
		{"no objective and no time", 0, with(func(r *slots.Request) { r.Objective, r.Ahead = 0, 1500 }), serverList([2]int{4, 4}), slots.Refuse{}},
		{"no objective, time is over", 0, with(func(r *slots.Request) { r.Objective, r.Remaining = 0, -1 }), serverList([2]int{4, 4}), slots.Refuse{}},
		{"others go first", 0, with(func(r *slots.Request) { r.Ahead = 1 }), serverList([2]int{0, 0}), slots.Wait{}},
		{"next in turn", 0, with(func(r *slots.Request) { r.Ahead, r.Held = 1, true }), serverList([2]int{0, 0}), send{Server: "0"}},
		{"too many go first", 0, with(func(r *slots.Request) { r.Ahead = 200 }), serverList([2]int{4, 4}), slots.Refuse{}},
		{"other gateways hold as many", 3, with(func(r *slots.Request) { r.Ahead = 50 }), serverList([2]int{4, 4}), slots.Refuse{}},
		{"it waits on", 3, with(func(r *slots.Request) { r.Ahead, r.Held = 50, true }), serverList([2]int{4, 4}), slots.Wait{}},
		{"two servers drain faster", 3, with(func(r *slots.Request) { r.Ahead = 50 }), serverList([2]int{4, 4}, [2]int{4, 4}), slots.Wait{}},
		{"a server that fails is free", 0, request(), list{{ID: "0", Capacity: 6, Local: 8, Cost: 1.3}, {ID: "1", Capacity: 6, Cost: 2}}, slots.Wait{}},
		{"a server that fails some", 0, request(), list{{ID: "0", Capacity: 6, Local: 8, Cost: 1.3}, {ID: "1", Capacity: 6, Cost: 1.4}}, send{Server: "1"}},
		{"huge capacity", 0, request(), list{{ID: "0", Capacity: 1 << 20, Local: 1 << 19, Remote: 1 << 18}}, send{Server: "0"}},
		{"huge capacity is used up", 0, request(), list{{ID: "0", Capacity: 1 << 20, Local: 1 << 20, Remote: 1 << 20}}, slots.Wait{}},
		{"it has waited, and a queue is still short for its full objective", 0, with(func(r *slots.Request) { r.Objective, r.Full = 20*time.Millisecond, objective }), serverList([2]int{7, 0}), send{Server: "0"}},
		{"it has waited until it would be late", 0, with(func(r *slots.Request) { r.Objective, r.Held = answer-1, true }), serverList([2]int{4, 0}), slots.Refuse{}},
		{"it has waited and can be in time", 0, with(func(r *slots.Request) { r.Objective, r.Held = answer, true }), serverList([2]int{4, 0}), send{Server: "0"}},
		{"one slot", 0, request(), list{{ID: "0", Capacity: 1, Local: 1}}, slots.Wait{}},
		{"no server", 0, request(), nil, slots.Wait{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(10, "0", "1")
			m.SetActive("s", test.others)
			got := m.Decide(start, test.request, test.servers)
			if s, ok := test.want.(slots.Send); ok {
				require.Equal(t, s, got)
				return
			}
			require.IsType(t, test.want, got)
			if r, ok := got.(slots.Refuse); ok {
				require.Positive(t, r.RetryAfter)
				require.LessOrEqual(t, r.RetryAfter, max(test.request.Remaining/4, 20*time.Millisecond))
			}
		})
	}
}

// TestRetryAfterFollowsQueue: callers who are refused together would come back together if the time
// did not depend on what waits.
func TestRetryAfterFollowsQueue(t *testing.T) {
	m := newModel(10, "0")
	after := time.Duration(0)
	for _, ahead := range []int{150, 200, 300} {
		r := request()
		r.Ahead = ahead
		refuse := m.Decide(start, r, serverList([2]int{8, 0})).(slots.Refuse)
		require.Greater(t, refuse.RetryAfter, after)
		require.Greater(t, refuse.Predicted, objective)
		after = refuse.RetryAfter
	}
}

// TestUnknownAnswerTime: a gateway that has seen no answer neither refuses nor takes servers for
// stalled, and begins with two requests at each server.
func TestUnknownAnswerTime(t *testing.T) {
	m := newModel(0)
	m.SetActive("s", 19)
	m.send(start, "0")
	m.send(start, "0")
	later := start.Add(time.Minute)
	require.Equal(t, slots.Wait{}, m.Decide(later, request(), serverList([2]int{2, 0})))
	m.DetectStalls(later)
	require.Empty(t, m.TakeChanges())
	require.Equal(t, slots.Send{Server: "0"}, m.Decide(later, request(), serverList([2]int{1, 0})))
}

// TestWindow: without reports of other gateways, a server's answers show how much it takes.
func TestWindow(t *testing.T) {
	m := newModel(10, "0")
	now := start.Add(time.Minute)
	window := func() int {
		n := 0
		for ; n < 20; n++ {
			if _, ok := m.Decide(now, request(), serverList([2]int{n, 0})).(slots.Send); !ok {
				break
			}
		}
		return n
	}
	// round ends as many requests as fit the window, after a time.
	round := func(took time.Duration, o slots.Outcome) {
		var sent []uint64
		for range window() {
			sent = append(sent, m.send(now, "0"))
		}
		now = now.Add(took)
		for _, id := range sent {
			m.RecordEnd(now, id, o, true)
		}
	}
	require.Equal(t, 8, window(), "its slots and a short queue")
	round(answer, slots.Answered)
	require.Equal(t, 8, window())
	round(answer, slots.Rejected)
	require.Equal(t, 4, window())
	for range 3 {
		round(3*answer, slots.Answered)
	}
	require.LessOrEqual(t, window(), 3, "slow answers show a queue")
	for range 20 {
		round(answer, slots.Rejected)
	}
	require.Equal(t, 1, window(), "one request always shows whether there is room again")
	for range 3 {
		round(answer, slots.Answered)
	}
	require.Greater(t, window(), 1)
	require.Less(t, window(), 8, "slowly, so shortly after rejections")
	for range 40 {
		round(answer, slots.Answered)
	}
	require.Equal(t, 8, window())
	round(answer, slots.Rejected)
	now = now.Add(2 * time.Second)
	require.Equal(t, 8, window(), "it was not used for long")
}

// TestLateReports: reports that are older than an answer time show all gateways the same room, so
// each takes its part only.
func TestLateReports(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration // of reports
		since    time.Duration // since the send before
		want     slots.Decision
	}{
		{"recent reports", 3 * time.Millisecond, 0, slots.Send{Server: "0"}},
		{"late reports", 250 * time.Millisecond, 0, slots.Wait{}},
		{"late reports, its turn", 250 * time.Millisecond, 3 * answer, slots.Send{Server: "0"}},
		{"silent gateways", time.Hour, 0, slots.Wait{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(10, "0")
			m.SetActive("s", 7)
			for range 200 {
				m.RecordReport(start.Add(time.Minute), test.interval)
			}
			now := start.Add(time.Minute)
			for n := range 2 {
				sent := now.Add(-test.since)
				require.Equal(t, slots.Send{Server: "0"}, m.Decide(sent, request(), serverList([2]int{n, 0})))
				m.send(sent, "0")
			}
			require.IsType(t, test.want, m.Decide(now, request(), serverList([2]int{1, 4})))
		})
	}
}

// TestFreedSlot: late reports show a free slot only when many answers could have used it, so the
// gateway whose request has left it uses it at once.
func TestFreedSlot(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration // of reports
		outcome  slots.Outcome
		since    time.Duration // since the end of the request
		behind   int
		remote   int
		want     slots.Decision
	}{
		{"an answer", 250 * time.Millisecond, slots.Answered, 0, 0, 8, slots.Send{Server: "0"}},
		{"a failure that the server has told", 250 * time.Millisecond, slots.Failed, 0, 0, 8, slots.Send{Server: "0"}},
		{"a rejection: it had no slot", 250 * time.Millisecond, slots.Rejected, 0, 0, 8, slots.Wait{}},
		{"no sign of the server", 250 * time.Millisecond, slots.NoSign, 0, 0, 8, slots.Wait{}},
		{"others may have taken it", 250 * time.Millisecond, slots.Answered, answer / 2, 0, 8, slots.Wait{}},
		{"many wait: parts keep slots busy, in order of priority", 250 * time.Millisecond, slots.Answered, 0, 1, 8, slots.Wait{}},
		{"late reports of a server far beyond its limit", 250 * time.Millisecond, slots.Answered, 0, 0, 10, slots.Send{Server: "0"}},
		{"recent reports of it are believed", 7 * time.Millisecond, slots.Answered, 0, 0, 10, slots.Wait{}},
		{"recent reports of a full one", 7 * time.Millisecond, slots.Answered, 0, 0, 9, slots.Send{Server: "0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(10, "0")
			m.SetActive("s", 15)
			for range 200 {
				m.RecordReport(start, test.interval)
			}
			require.IsType(t, slots.Send{}, m.Decide(start.Add(-answer), request(), serverList([2]int{0, 0})))
			id := m.send(start.Add(-answer), "0")
			m.RecordEnd(start, id, test.outcome, true)
			r := request()
			r.Behind = test.behind
			require.IsType(t, test.want, m.Decide(start.Add(test.since), r, serverList([2]int{0, test.remote})))
			m.send(start.Add(test.since), "0")
			require.IsType(t, slots.Wait{}, m.Decide(start.Add(test.since), r, serverList([2]int{1, test.remote})), "it is used once")
		})
	}
}

// TestFreedSlotAfterRejection: the own queue of a server that rejects is full and takes the slot.
func TestFreedSlotAfterRejection(t *testing.T) {
	for _, test := range []struct {
		since time.Duration // since the rejection
		want  slots.Decision
	}{{500 * time.Millisecond, slots.Wait{}}, {1500 * time.Millisecond, slots.Send{}}} {
		m := newModel(10, "0")
		m.SetActive("s", 15)
		for range 200 {
			m.RecordReport(start, 250*time.Millisecond)
		}
		m.RecordEnd(start.Add(-test.since), m.send(start.Add(-test.since), "0"), slots.Rejected, true)
		m.Decide(start.Add(-answer), request(), serverList([2]int{0, 0}))
		m.RecordEnd(start, m.send(start.Add(-answer), "0"), slots.Answered, true)
		require.IsType(t, test.want, m.Decide(start, request(), serverList([2]int{0, 8})), "%v after the rejection", test.since)
	}
}

// TestOverfullServer: all gateways take no even part of a server that recent reports show far beyond
// its limit. Reports that are older than an answer time would have them stop and go on together.
func TestOverfullServer(t *testing.T) {
	for _, test := range []struct {
		interval time.Duration
		want     slots.Decision
	}{{5 * time.Millisecond, slots.Wait{}}, {250 * time.Millisecond, slots.Send{}}} {
		m := newModel(10, "0")
		m.SetActive("s", 26)
		for range 200 {
			m.RecordReport(start, test.interval)
		}
		require.IsType(t, test.want, m.Decide(start, request(), serverList([2]int{0, 10})), "reports of %v", test.interval)
	}
}

// TestStall: a server that answers nothing for several answer times gets nothing but probes, ever
// less often, until it answers.
func TestStall(t *testing.T) {
	m := newModel(10, "0", "1")
	first := m.send(start, "0")
	second := m.send(start, "0")
	at := func(d time.Duration) time.Time { return start.Add(d) }
	full := serverList([2]int{2, 0}, [2]int{8, 0})
	require.IsType(t, slots.Send{}, m.Decide(at(4*answer), request(), full))
	require.Empty(t, m.TakeChanges())
	require.IsType(t, slots.Wait{}, m.Decide(at(4*answer+1), request(), full), "it has stalled")
	require.Equal(t, []slots.Change{{Server: "0", Stalled: true, Silent: 4*answer + 1, Usual: answer, Waiting: 2}}, m.TakeChanges())
	require.Equal(t, slots.Send{Server: "1"}, m.Decide(at(5*answer), request(), serverList([2]int{2, 0}, [2]int{0, 7})))

	probe := at(12*answer + 1)
	require.Equal(t, slots.Send{Server: "0", Probe: true}, m.Decide(probe, request(), full))
	require.Equal(t, slots.Send{Server: "1"}, m.Decide(probe, request(), serverList([2]int{2, 0}, [2]int{0, 7})), "a free server goes first")
	third := m.send(probe, "0")
	require.IsType(t, slots.Wait{}, m.Decide(probe.Add(time.Second), request(), full), "one request at a time")
	m.RecordEnd(probe.Add(time.Second), third, slots.NoSign, true)
	require.Equal(t, slots.Send{Server: "0", Probe: true}, m.Decide(probe.Add(time.Second), request(), full))
	m.RecordEnd(probe.Add(time.Second), m.send(probe.Add(time.Second), "0"), slots.NoSign, true)
	const interval = 8 * answer
	require.IsType(t, slots.Wait{}, m.Decide(probe.Add(time.Second+3*interval), request(), full), "the interval grows")
	require.IsType(t, slots.Send{}, m.Decide(probe.Add(time.Second+4*interval), request(), full))

	m.RecordEnd(probe.Add(2*time.Second), first, slots.Answered, true)
	changes := m.TakeChanges()
	require.Len(t, changes, 1)
	require.False(t, changes[0].Stalled)
	require.Equal(t, slots.Send{Server: "0"}, m.Decide(probe.Add(2*time.Second), request(), full))
	m.RecordEnd(probe.Add(2*time.Second), second, slots.Answered, true)
	r := request()
	r.Ahead = 50
	wait := m.Decide(probe.Add(2*time.Second), r, serverList([2]int{8, 0})).(slots.Wait)
	require.Less(t, wait.Predicted, objective/2, "answers after a stall say nothing of the usual time")
}

// TestStalledServerWithoutRequests: no request is left there that could show that the server
// answers again, so the next one after the interval is a probe even if others are free.
func TestStalledServerWithoutRequests(t *testing.T) {
	m := newModel(10, "0", "1")
	id := m.send(start, "0")
	m.DetectStalls(start.Add(5 * answer))
	m.RecordEnd(start.Add(6*answer), id, slots.NoSign, true)
	idle := serverList([2]int{0, 0}, [2]int{0, 1})
	require.Equal(t, slots.Send{Server: "1"}, m.Decide(start.Add(6*answer), request(), idle))
	require.Equal(t, slots.Send{Server: "0", Probe: true}, m.Decide(start.Add(13*answer), request(), idle))
	m.Retain(func(server string) bool { return server != "0" })
	require.Equal(t, slots.Send{Server: "0"}, m.Decide(start.Add(6*answer), request(), idle), "its entry has gone and come back")
}

// TestLateProcess: a process that ran late may not have read the answers yet.
func TestLateProcess(t *testing.T) {
	m := newModel(10, "0")
	m.send(start, "0")
	m.ResetSilence(start.Add(4 * answer))
	m.DetectStalls(start.Add(8 * answer))
	require.Empty(t, m.TakeChanges())
	m.DetectStalls(start.Add(8*answer + 1))
	require.Len(t, m.TakeChanges(), 1)
}

// TestUnknownAttempts: ends of attempts that the model does not know change nothing.
func TestUnknownAttempts(t *testing.T) {
	m := newModel(0)
	m.RecordFirst(start, 7, true)
	m.RecordEnd(start, 7, slots.Answered, true)
	id := m.send(start, "0")
	m.Retain(func(string) bool { return false })
	m.RecordEnd(start, id, slots.Answered, true)
	m.RecordEnd(start, id, slots.Answered, true)
	require.Empty(t, m.TakeChanges())
}

func BenchmarkDecide(b *testing.B) {
	m := newModel(0)
	var list []slots.Server
	for i := range 180 {
		list = append(list, slots.Server{ID: fmt.Sprintf("server-%d@1780000000000", i), Capacity: 6, Remote: 8, Cost: 1.3})
	}
	m.SetActive("s", 2400)
	for b.Loop() {
		m.Decide(start, request(), list)
	}
}
