package offload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/offload"
)

const (
	sampleInterval = 25 * time.Millisecond
	hall           = "a"
)

// gateways returns the reports of n gateways with addresses from "10" on.
func gateways(n int, hall string, milliCPU int, r offload.Readiness) []offload.Gateway {
	var list []offload.Gateway
	for i := range n {
		list = append(list, offload.Gateway{Address: fmt.Sprintf("%d-%s", 10+i, hall), Hall: hall, MilliCPU: milliCPU, Readiness: r})
	}
	return list
}

func join(lists ...[]offload.Gateway) []offload.Gateway {
	var all []offload.Gateway
	for i, l := range lists {
		for _, g := range l {
			g.Address = fmt.Sprintf("%s-%d", g.Address, i)
			all = append(all, g)
		}
	}
	return all
}

// notAdmitting returns the gateways with the percentage of connections that they do not admit.
func notAdmitting(percent int, list []offload.Gateway) []offload.Gateway {
	var changed []offload.Gateway
	for _, g := range list {
		g.NotAdmitted = percent
		changed = append(changed, g)
	}
	return changed
}

// play takes samples for a time and returns the last decision and the time.
func play(w *offload.Withdrawal, now time.Time, d time.Duration, admitted float64) (offload.Status, time.Time) {
	var s offload.Status
	for end := now.Add(d); now.Before(end); {
		now = now.Add(sampleInterval)
		s = w.Sample(offload.Sample{At: now, Admitted: admitted, CalledFor: true})
	}
	return s, now
}

// start is the time when most tests begin.
var start = time.Unix(1000, 0)

// newStarted returns a gateway of 144 thousandths of a core at the address "50" without samples.
func newStarted() *offload.Withdrawal {
	return offload.NewWithdrawal(offload.Gateway{Address: "50", Hall: hall, MilliCPU: 144})
}

// newOverloaded returns the same gateway after three seconds without load, which end at start.
func newOverloaded() *offload.Withdrawal {
	w := newStarted()
	play(w, start.Add(-3*time.Second), 3*time.Second, 1)
	return w
}

// TestWithdrawalConditions: a gateway must not withdraw if its callers would be no better off, or if
// the load balancer would have too few gateways left.
func TestWithdrawalConditions(t *testing.T) {
	large := gateways(1, hall, 800, offload.Ready)
	small := gateways(7, hall, 144, offload.Ready)
	tests := []struct {
		name      string
		others    []offload.Gateway
		age       time.Duration // of the withdrawals; 3 s at most
		admitted  float64
		withdraws bool
	}{
		{"overloaded beside a larger gateway", join(large, small), time.Hour, 0.2, true},
		{"nothing admitted", join(large, small), time.Hour, 0, true},
		{"admits enough", join(large, small), time.Hour, 0.3, false},
		{"admits all", join(large, small), time.Hour, 1, false},
		{"none is larger", small, time.Hour, 0, false},
		{"one has twice the CPU", join(gateways(1, hall, 288, offload.Ready), small), time.Hour, 0, true},
		{"one has less than twice the CPU", join(gateways(1, hall, 287, offload.Ready), small), time.Hour, 0, false},
		{"the larger one is short of CPU time", join(gateways(1, hall, 0, offload.Ready), small), time.Hour, 0, false},
		{"the larger one has withdrawn", join(gateways(1, hall, 800, offload.Withdrawn), small), time.Hour, 0, false},
		{"the larger one is stopping", join(gateways(1, hall, 800, offload.NotReady), small), time.Hour, 0, false},
		{"the larger one is in another hall", join(gateways(3, "b", 800, offload.Ready), small), time.Hour, 0, false},
		{"alone", nil, time.Hour, 0, false},
		{"two in the hall", large, time.Hour, 0, false},
		{"three in the hall", join(large, gateways(1, hall, 144, offload.Ready)), time.Hour, 0, true},
		{"one of three is stopping", join(large, gateways(1, hall, 0, offload.NotReady)), time.Hour, 0, false},
		{"two of nine are stopping", join(large, gateways(5, hall, 144, offload.Ready), gateways(2, hall, 0, offload.NotReady)), time.Hour, 0, true},
		{"three of nine are stopping", join(large, gateways(4, hall, 144, offload.Ready), gateways(3, hall, 0, offload.NotReady)), time.Hour, 0, false},
		{"one of a small fleet has withdrawn", join(large, small, gateways(1, hall, 144, offload.Withdrawn)), time.Hour, 0, false},
		{"one of a small fleet has withdrawn elsewhere", join(large, small, gateways(1, "b", 144, offload.Withdrawn)), time.Hour, 0, false},
		{"two of 27 have withdrawn", join(large, small, gateways(16, "b", 800, offload.Ready), gateways(2, "b", 144, offload.Withdrawn)), time.Hour, 0, true},
		{"three of 27 have withdrawn", join(large, small, gateways(15, "b", 800, offload.Ready), gateways(3, "b", 144, offload.Withdrawn)), time.Hour, 0, false},
		{"one in the hall withdrew a moment ago", join(large, small, gateways(16, "b", 800, offload.Ready), gateways(1, hall, 144, offload.Withdrawn)), 1500 * time.Millisecond, 0, false},
		{"four of seven small ones are short of CPU time", join(large, gateways(3, hall, 144, offload.Ready), gateways(4, hall, 0, offload.Ready)), time.Hour, 0, true},
		{"five of seven small ones are short of CPU time", join(large, gateways(2, hall, 144, offload.Ready), gateways(5, hall, 0, offload.Ready)), time.Hour, 0, false},
		{"all small ones are short of CPU time", join(large, gateways(7, hall, 0, offload.Ready)), time.Hour, 0, false},
		{"small ones admit 75 %", join(large, notAdmitting(25, small)), time.Hour, 0, true},
		{"small ones admit 74 %", join(large, notAdmitting(26, small)), time.Hour, 0, false},
		{"small ones admit 75 % and are short of CPU time", join(large, notAdmitting(25, gateways(7, hall, 0, offload.Ready))), time.Hour, 0, true},
		{"small ones admit 74 % and are short of CPU time", join(large, notAdmitting(26, gateways(7, hall, 0, offload.Ready))), time.Hour, 0, false},
		{"one of seven small ones admits none", join(large, notAdmitting(100, small[:1]), small[1:]), time.Hour, 0, true},
		{"two of seven small ones admit none", join(large, notAdmitting(100, small[:2]), small[2:]), time.Hour, 0, false},
		{"a larger one admits little", join(large, notAdmitting(90, gateways(1, hall, 800, offload.Ready)), small), time.Hour, 0, true},
		{"those of another hall admit none", join(large, small, notAdmitting(100, gateways(30, "b", 144, offload.Ready))), time.Hour, 0, true},
		{"those that are stopping admit none", join(large, small[:5], notAdmitting(100, gateways(2, hall, 144, offload.NotReady))), time.Hour, 0, true},
		{"those of another hall are short of CPU time", join(large, small, gateways(30, "b", 0, offload.Ready)), time.Hour, 0, true},
		{"those that are stopping are short of CPU time", join(large, gateways(5, hall, 144, offload.Ready), gateways(2, hall, 0, offload.NotReady)), time.Hour, 0, true},
		{"all others are larger", gateways(8, hall, 800, offload.Ready), time.Hour, 0, true},
		{"one in another hall withdrew a moment ago", join(large, small, gateways(16, "b", 800, offload.Ready), gateways(1, "b", 144, offload.Withdrawn)), 1500 * time.Millisecond, 0, true},
		{"one in the hall withdrew three seconds ago", join(large, small, gateways(16, "b", 800, offload.Ready), gateways(1, hall, 144, offload.Withdrawn)), 3 * time.Second, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := start
			w := newStarted()
			report := func(withdrawn bool) {
				for _, g := range test.others {
					if (g.Readiness == offload.Withdrawn) == withdrawn {
						w.Report(now, g)
					}
				}
			}
			report(false)
			age := min(test.age, 3*time.Second)
			_, now = play(w, now, 3*time.Second-age, test.admitted)
			report(true)
			_, now = play(w, now, age, test.admitted)
			s := w.Sample(offload.Sample{At: now, Admitted: test.admitted, CalledFor: true})
			require.False(t, s.Withdrawn, "a gateway that has started observes its hall for three seconds")
			now = now.Add(sampleInterval)
			s = w.Sample(offload.Sample{At: now, Admitted: test.admitted, CalledFor: true})
			require.Equal(t, test.withdraws, s.Withdrawn)
			if test.withdraws {
				require.Equal(t, offload.Overloaded, s.Reason)
				require.InDelta(t, test.admitted, s.Admitted, 1e-9)
				require.Equal(t, time.Minute, s.Duration)
			}
		})
	}
}

// TestAdmittedOverASecond: a pause of the process or a burst must not make a gateway withdraw.
func TestAdmittedOverASecond(t *testing.T) {
	tests := []struct {
		name      string
		admitted  func(at time.Duration) float64
		interval  time.Duration
		withdraws bool
	}{
		{"half a second", func(at time.Duration) float64 {
			if at > 2*time.Second && at < 2500*time.Millisecond {
				return 0
			}
			return 1
		}, sampleInterval, false},
		{"recovery from a pause of two seconds", func(at time.Duration) float64 {
			// Nothing is sampled during the pause; then the shares of handoffs and of admitted
			// connections rise by 0.02 each sample.
			switch {
			case at < 2*time.Second:
				return 1
			case at < 4*time.Second:
				return -1
			case at < 4200*time.Millisecond:
				return 0
			}
			return min(0.8*(at-4200*time.Millisecond).Seconds(), 1)
		}, sampleInterval, false},
		{"every other half second", func(at time.Duration) float64 { return float64(at / (500 * time.Millisecond) % 2) }, sampleInterval, false},
		{"a short recovery each second", func(at time.Duration) float64 {
			if at%time.Second < 200*time.Millisecond {
				return 1
			}
			return 0.05
		}, sampleInterval, true},
		{"few samples, as it lacks CPU time", func(time.Duration) float64 { return 0.05 }, 300 * time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			begin := start
			w := newOverloaded()
			for _, g := range join(gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready)) {
				w.Report(begin, g)
			}
			withdrawn := false
			for at := time.Duration(0); at < 8*time.Second; at += test.interval {
				if share := test.admitted(at); share >= 0 {
					withdrawn = withdrawn || w.Sample(offload.Sample{At: begin.Add(at), Admitted: share, CalledFor: true}).Withdrawn
				}
			}
			require.Equal(t, test.withdraws, withdrawn)
		})
	}
}

// TestReturnReasons: a withdrawn gateway must come back when its hall needs it, or when it cannot know
// the state of its hall.
func TestReturnReasons(t *testing.T) {
	hallOf9 := join(gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready))
	otherHalls := gateways(18, "b", 800, offload.Ready)
	lost := func(from int) func(w *offload.Withdrawal, now time.Time) {
		return func(w *offload.Withdrawal, _ time.Time) {
			for _, g := range hallOf9[from:] {
				w.Lost(g.Address)
			}
		}
	}
	report := func(list ...offload.Gateway) func(w *offload.Withdrawal, now time.Time) {
		return func(w *offload.Withdrawal, now time.Time) {
			for _, g := range list {
				w.Report(now, g)
			}
		}
	}
	with := func(list []offload.Gateway, r offload.Readiness) []offload.Gateway {
		var changed []offload.Gateway
		for _, g := range list {
			g.Readiness = r
			changed = append(changed, g)
		}
		return changed
	}
	higher := func(n int, hall string) []offload.Gateway {
		list := gateways(n, hall, 144, offload.Withdrawn)
		for i := range list {
			list[i].Address = "9" + list[i].Address
		}
		return list
	}
	lower := gateways(4, "b", 144, offload.Withdrawn)
	tests := []struct {
		name   string
		event  func(w *offload.Withdrawal, now time.Time) // a second after it has withdrawn
		reason offload.Reason                             // empty: it stays withdrawn
	}{
		{"nothing happens", func(*offload.Withdrawal, time.Time) {}, ""},
		{"six of eight others are lost", lost(2), ""}, // 2 of 3 are ready
		{"seven of eight others are lost", lost(1), offload.FewReady},
		{"no other is heard of", lost(0), offload.AloneInHall},
		{"two stop", report(with(hallOf9[:2], offload.NotReady)...), ""},
		{"three stop", report(with(hallOf9[:3], offload.NotReady)...), offload.FewReady},
		{"three with higher addresses withdraw", report(higher(3, hall)...), ""}, // 8 of 12 are ready
		{"seven with higher addresses withdraw", report(higher(7, hall)...), ""}, // they return
		{"three with lower addresses withdraw", report(with(hallOf9[:3], offload.Withdrawn)...), offload.FewReady},
		{"three elsewhere with higher addresses withdraw", report(higher(3, "b")...), ""},
		{"two elsewhere with lower addresses withdraw", report(lower[:2]...), ""},
		{"three elsewhere with lower addresses withdraw", report(lower[:3]...), offload.ManyInFleet},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := start
			w := newOverloaded()
			for _, g := range append(append([]offload.Gateway{}, hallOf9...), otherHalls...) {
				w.Report(now, g)
			}
			s, now := play(w, now, 2*time.Second, 0.1)
			require.True(t, s.Withdrawn)
			test.event(w, now)
			s, now = play(w, now, sampleInterval, 0.1)
			require.Equal(t, test.reason == "", s.Withdrawn)
			if test.reason != "" {
				require.Equal(t, test.reason, s.Reason)
				s, _ = play(w, now, 2*time.Second, 0.1)
				require.False(t, s.Withdrawn, "it does not change again at once")
			}
		})
	}
}

// TestEarlierWithdrawalStays: a gateway that others know to have withdrawn must not come back because they
// withdraw at the same moment, whatever their addresses: its callers would move once more.
func TestEarlierWithdrawalStays(t *testing.T) {
	now := start
	w := newOverloaded()
	others := join(gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready))
	for _, g := range append(gateways(18, "b", 800, offload.Ready), others...) {
		w.Report(now, g)
	}
	s, now := play(w, now, 5*time.Second, 0.1)
	require.True(t, s.Withdrawn)
	for _, g := range others[2:5] {
		g.Readiness = offload.Withdrawn
		w.Report(now, g)
	}
	s, now = play(w, now, 500*time.Millisecond, 0.1)
	require.True(t, s.Withdrawn)
	w.Report(now, others[4]) // the last one by address has returned
	s, _ = play(w, now, 10*time.Second, 0.1)
	require.True(t, s.Withdrawn)
}

// TestOthersDoNotReturn: gateways that withdrew at the same moment and do not hear of this one must not
// leave the hall with too few ready gateways.
func TestOthersDoNotReturn(t *testing.T) {
	now := start
	w := newOverloaded()
	for _, g := range join(gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready)) {
		w.Report(now, g)
	}
	s, now := play(w, now, 2*time.Second, 0.1)
	require.True(t, s.Withdrawn)
	for _, g := range []string{"91", "92", "93", "94", "95", "96"} {
		w.Report(now, offload.Gateway{Address: g, Hall: hall, Readiness: offload.Withdrawn})
	}
	s, now = play(w, now, 2900*time.Millisecond, 0.1)
	require.True(t, s.Withdrawn)
	s, _ = play(w, now, 200*time.Millisecond, 0.1)
	require.Equal(t, offload.FewReady, s.Reason)
	require.False(t, s.Withdrawn)
}

// TestTwoWithdrawAtOnce: of two gateways that withdraw before they hear of each other, one must stay
// withdrawn; otherwise both return and withdraw again for ever.
func TestTwoWithdrawAtOnce(t *testing.T) {
	now := start
	names := []string{"51", "52"}
	ws := map[string]*offload.Withdrawal{}
	state := map[string]offload.Status{}
	for _, name := range names {
		ws[name] = offload.NewWithdrawal(offload.Gateway{Address: name, Hall: hall, MilliCPU: 144})
		ws[name].Report(now, offload.Gateway{Address: "1", Hall: hall, MilliCPU: 800})
	}
	changes := 0
	for i := range 2000 {
		now = now.Add(sampleInterval)
		for _, name := range names {
			s := ws[name].Sample(offload.Sample{At: now, Admitted: 0.1, CalledFor: true})
			if s.Withdrawn != state[name].Withdrawn {
				changes++
			}
			state[name] = s
		}
		if i%10 != 0 {
			continue // beacons
		}
		for j, name := range names {
			g := offload.Gateway{Address: name, Hall: hall, MilliCPU: 144}
			if state[name].Withdrawn {
				g.Readiness = offload.Withdrawn
			}
			ws[names[1-j]].Report(now, g)
		}
	}
	require.True(t, state["51"].Withdrawn)
	require.False(t, state["52"].Withdrawn)
	require.Equal(t, 3, changes, "both withdraw, one returns")
}

// TestWithdrawalTimes: the same callers overload a gateway again when it returns, so it stays away
// longer each time, but not for ever, and a calm time is forgotten.
func TestWithdrawalTimes(t *testing.T) {
	now := start
	w := newOverloaded()
	for _, g := range join(gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready)) {
		w.Report(now, g)
	}
	for _, minutes := range []int{1, 2, 4, 8, 10, 10} {
		s, then := play(w, now, 1200*time.Millisecond, 0.1)
		require.True(t, s.Withdrawn)
		require.Equal(t, time.Duration(minutes)*time.Minute, s.Duration)
		s, then = play(w, then, s.Duration-time.Second, 1)
		require.True(t, s.Withdrawn)
		s, now = play(w, then, time.Second, 1)
		require.False(t, s.Withdrawn)
		require.Equal(t, offload.TimeIsOver, s.Reason)
	}
	_, now = play(w, now, 10*time.Minute, 1)
	s, _ := play(w, now, 2*time.Second, 0.1)
	require.Equal(t, time.Minute, s.Duration)
}

// TestNotCalledFor: a gateway must not withdraw, or stay withdrawn, where the configuration does not
// call for it.
func TestNotCalledFor(t *testing.T) {
	now := start
	w := newOverloaded()
	for _, g := range join(gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready)) {
		w.Report(now, g)
	}
	for range 200 {
		now = now.Add(sampleInterval)
		require.False(t, w.Sample(offload.Sample{At: now, Admitted: 0}).Withdrawn)
	}
	s, now := play(w, now, sampleInterval, 0)
	require.True(t, s.Withdrawn)
	s = w.Sample(offload.Sample{At: now.Add(sampleInterval), Admitted: 0})
	require.False(t, s.Withdrawn)
	require.Equal(t, offload.NotCalledFor, s.Reason)
}

// BenchmarkSample measures a sample of a gateway that admits all connections, and of one that has
// withdrawn and counts the others, for docs/CAPACITY.md. There are 40 samples a second.
func BenchmarkSample(b *testing.B) {
	for _, n := range []int{30, 300, 2400} {
		for _, admitted := range []float64{1, 0.1} {
			b.Run(fmt.Sprintf("%d gateways, admitted %g", n, admitted), func(b *testing.B) {
				now := start
				w := newOverloaded()
				for _, g := range append(gateways(n/3-1, hall, 800, offload.Ready), gateways(n-n/3, "b", 800, offload.Ready)...) {
					w.Report(now, g)
				}
				s, now := play(w, now, 2*time.Second, admitted)
				require.Equal(b, admitted < 1, s.Withdrawn)
				for b.Loop() {
					now = now.Add(sampleInterval)
					w.Sample(offload.Sample{At: now, Admitted: admitted, CalledFor: true})
				}
			})
		}
	}
}

// TestLaterWithdrawalReturns: if the hall shrinks, the gateway that withdrew last returns, whatever the
// addresses, so that the callers of the others do not move once more.
func TestLaterWithdrawalReturns(t *testing.T) {
	now := start
	w := newOverloaded()
	others := append(gateways(18, "b", 800, offload.Ready), join(gateways(2, hall, 800, offload.Ready), gateways(4, hall, 144, offload.Ready))...)
	for _, g := range append(others, offload.Gateway{Address: "91", Hall: hall, Readiness: offload.Withdrawn}) {
		w.Report(now, g)
	}
	s, now := play(w, now.Add(5*time.Second), 2*time.Second, 0.1)
	require.True(t, s.Withdrawn)
	for _, g := range others[len(others)-4:] {
		w.Lost(g.Address)
	}
	s, _ = play(w, now, sampleInterval, 0.1)
	require.False(t, s.Withdrawn)
	require.Equal(t, offload.FewReady, s.Reason)
}

// TestOtherHallsDoNotReturn: as TestOthersDoNotReturn, for the fleet.
func TestOtherHallsDoNotReturn(t *testing.T) {
	now := start
	w := newOverloaded()
	for _, g := range join(gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready)) {
		w.Report(now, g)
	}
	s, now := play(w, now, 2*time.Second, 0.1)
	require.True(t, s.Withdrawn)
	w.Report(now, offload.Gateway{Address: "91", Hall: "b", Readiness: offload.Withdrawn})
	s, now = play(w, now, 2900*time.Millisecond, 0.1)
	require.True(t, s.Withdrawn)
	s, _ = play(w, now, 200*time.Millisecond, 0.1)
	require.False(t, s.Withdrawn)
	require.Equal(t, offload.ManyInFleet, s.Reason)
}

// TestEarlyReturn: gateways of the hall that come and go must not make an overloaded gateway change all the
// time, and a withdrawal that ended for their sake does not lengthen the next one.
func TestEarlyReturn(t *testing.T) {
	now := start
	w := newOverloaded()
	large := gateways(2, hall, 800, offload.Ready)
	for range 3 {
		for _, g := range large {
			g.Readiness = offload.Ready
			w.Report(now, g)
		}
		now = now.Add(10 * time.Second) // a stop may have been a moment ago
		s, then := play(w, now, 1200*time.Millisecond, 0.1)
		require.True(t, s.Withdrawn)
		require.Equal(t, time.Minute, s.Duration)
		w.Report(then, offload.Gateway{Address: large[0].Address, Hall: hall, Readiness: offload.NotReady})
		s, then = play(w, then, sampleInterval, 0.1)
		require.False(t, s.Withdrawn)
		w.Report(then, large[0])
		s, then = play(w, then, 2900*time.Millisecond, 0.1)
		require.False(t, s.Withdrawn)
		s, then = play(w, then, 200*time.Millisecond, 0.1)
		require.True(t, s.Withdrawn)
		require.Equal(t, time.Minute, s.Duration)
		w.Lost(large[1].Address)
		s, now = play(w, then, sampleInterval, 0.1)
		require.False(t, s.Withdrawn)
	}
}

// TestDecidesAnew: a gateway that has returned must be overloaded for a second before it withdraws again;
// what was measured while it was withdrawn does not count.
func TestDecidesAnew(t *testing.T) {
	now := start
	w := newOverloaded()
	for _, g := range join(gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready)) {
		w.Report(now, g)
	}
	s, now := play(w, now, 2*time.Second, 0.1)
	require.True(t, s.Withdrawn)
	for s.Withdrawn {
		s, now = play(w, now, sampleInterval, 0.1)
	}
	s, now = play(w, now, 950*time.Millisecond, 0.1)
	require.False(t, s.Withdrawn)
	s, _ = play(w, now, 150*time.Millisecond, 0.1)
	require.True(t, s.Withdrawn)
}

// TestHallShort: when no larger gateway can take the callers, or the hall has too little CPU, they overload the other small ones, so the
// gateway returns, and does not withdraw again for a minute, nor while these are short of CPU time.
func TestHallShort(t *testing.T) {
	large, small := gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready)
	short := func(list []offload.Gateway) []offload.Gateway {
		var changed []offload.Gateway
		for _, g := range list {
			g.MilliCPU = 0
			changed = append(changed, g)
		}
		return changed
	}
	tests := []struct {
		name    string
		large   []offload.Gateway // their reports while it is withdrawn
		small   []offload.Gateway
		returns bool
	}{
		{"all have CPU time", large, small, false},
		{"all small ones are short", large, short(small), false}, // the large ones take connections from them
		{"one of two large ones of an earlier release is short", append(short(large[:1]), large[1]), small, true},
		{"both large ones are short, and admit most", notAdmitting(40, short(large)), small, false},
		{"all are short", short(large), short(small), true},
		{"small ones admit 5 %", large, notAdmitting(95, short(small)), false},
		{"small ones admit 4 %", large, notAdmitting(96, short(small)), true},
		{"half of the small ones admit none", large, append(notAdmitting(100, short(small[:3])), small[3:]...), false},
		{"large ones admit 5 %", notAdmitting(95, large), small, false},
		{"large ones admit 4 %", notAdmitting(96, large), small, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newOverloaded()
			report := func(now time.Time, lists ...[]offload.Gateway) {
				for _, list := range lists {
					for _, g := range list {
						g.Address = fmt.Sprintf("%s of %d", g.Address, len(list))
						w.Report(now, g)
					}
				}
			}
			report(start, large, small)
			s, now := play(w, start, time.Second, 0.1)
			require.True(t, s.Withdrawn)
			_, now = play(w, now, 10*time.Second, 1)
			report(now, test.large, test.small)
			s, now = play(w, now, time.Second, 1)
			require.True(t, s.Withdrawn, "a short shortage does not count")
			s, now = play(w, now, 2100*time.Millisecond, 1)
			require.Equal(t, test.returns, !s.Withdrawn)
			if !test.returns {
				return
			}
			require.Equal(t, offload.HallShort, s.Reason)
			report(now, large, small)
			s, now = play(w, now, 55*time.Second, 0.1)
			require.False(t, s.Withdrawn)
			report(now, large, short(small))
			s, now = play(w, now, 10*time.Second, 0.1)
			require.False(t, s.Withdrawn)
			report(now, large, small)
			s, _ = play(w, now, 2*time.Second, 0.1)
			require.True(t, s.Withdrawn)
			require.Equal(t, time.Minute, s.Duration)
		})
	}
}

// TestHallShortWithoutSamples: an overloaded gateway takes its samples late. What it has heard meanwhile must
// count for the time that it held, or a withdrawn gateway returns much later than its hall needs it.
func TestHallShortWithoutSamples(t *testing.T) {
	large, small := gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready)
	w := newOverloaded()
	report := func(now time.Time, small []offload.Gateway) {
		for _, g := range join(large, small) {
			w.Report(now, g)
		}
	}
	report(start, small)
	s, now := play(w, start, 2*time.Second, 0.1)
	require.True(t, s.Withdrawn)
	_, now = play(w, now, 5*time.Second, 1)
	for range 14 { // 3.5 s
		report(now, notAdmitting(100, small))
		now = now.Add(250 * time.Millisecond)
	}
	s, _ = play(w, now, sampleInterval, 1)
	require.False(t, s.Withdrawn)
	require.Equal(t, offload.HallShort, s.Reason)
}

// TestShortForAMoment: small gateways that are short of CPU time for some of the time, as they are at two
// thirds of the load that they can carry, must not keep a gateway from withdrawing.
func TestShortForAMoment(t *testing.T) {
	w := newOverloaded()
	large, small := gateways(2, hall, 800, offload.Ready), gateways(6, hall, 144, offload.Ready)
	now, withdrawn := start, false
	for i := range 20 {
		for j, g := range append(large, small...) {
			g.Address = fmt.Sprint(g.Address, j)
			if j >= 2 && i%2 == 0 {
				g.MilliCPU = 0
			}
			w.Report(now, g)
		}
		var s offload.Status
		s, now = play(w, now, 250*time.Millisecond, 0.1)
		withdrawn = withdrawn || s.Withdrawn
	}
	require.True(t, withdrawn)
}
