package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/suspect"
)

// testLoss is a lost request, identified by its number.
type testLoss struct {
	n       byte
	kind    lossKind
	planned bool
	ago     time.Duration // since the request was last heard of
}

// TestCrashDetection checks which events count as a crash and which requests are blamed.
func TestCrashDetection(t *testing.T) {
	server := readyServer("i-1@5")
	others := []catalog.Server{readyServer("i-0"), readyServer("i-2")}
	all := []catalog.Server{others[0], server, others[1]}
	draining := []catalog.Server{others[0], leavingServer("i-1@5"), others[1]}
	lose := func(l testLoss) func(d *crashDetector, now time.Time) {
		return func(d *crashDetector, now time.Time) {
			d.requestLost(now, server, l.planned, now.Add(-l.ago), lostRequest{kind: l.kind, Request: suspect.Request{Key: quarantine.Key{l.n}}})
		}
	}
	refuse := func(d *crashDetector, now time.Time) { d.connectionRefused(now, server.ID) }
	view := func(before, after []catalog.Server) func(d *crashDetector, now time.Time) {
		return func(d *crashDetector, now time.Time) { d.viewChanged(now, before, after) }
	}
	type action func(d *crashDetector, now time.Time)
	tests := []struct {
		name  string
		steps []action // 100 ms apart
		want  []byte   // blamed requests
	}{
		{"accepts connections", []action{lose(testLoss{n: 1})}, nil},
		{"refuses connections", []action{lose(testLoss{n: 1}), lose(testLoss{n: 2}), refuse}, []byte{1, 2}},
		{"loss noticed after the crash", []action{lose(testLoss{n: 1}), refuse, lose(testLoss{n: 2, ago: time.Second})}, []byte{1, 2}},
		{"sent after the crash", []action{lose(testLoss{n: 1}), refuse, lose(testLoss{n: 2})}, []byte{1}},
		{"refuses connections without a loss", []action{refuse, view(all, others)}, nil},
		{"entry disappears", []action{lose(testLoss{n: 1}), view(all, others)}, []byte{1}},
		{"another lifetime starts", []action{lose(testLoss{n: 1}), view(all, []catalog.Server{others[0], readyServer("i-1@9"), others[1]})}, []byte{1}},
		{"entry of another server disappears", []action{lose(testLoss{n: 1}), view(all, all[1:])}, nil},
		{"refuses connections and entry disappears", []action{lose(testLoss{n: 1}), refuse, view(all, others)}, []byte{1}},
		{"was leaving", []action{lose(testLoss{n: 1, planned: true}), refuse, view(draining, others)}, nil},
		{"leaving after a loss", []action{lose(testLoss{n: 1}), view(all, draining), view(draining, others)}, nil},
		{"entry disappeared before the loss", []action{view(all, others), lose(testLoss{n: 1, planned: true}), refuse}, nil},
		{"timeout, then entry disappears", []action{lose(testLoss{n: 1, kind: lossTimeout}), view(all, others)}, []byte{1}},
		{"entry disappears, then timeout without events", []action{view(all, others), lose(testLoss{n: 1, kind: lossTimeout, planned: true, ago: time.Second})}, []byte{1}},
		{"entry disappears, then timeout after an event", []action{view(all, others), lose(testLoss{n: 1, kind: lossTimeout, planned: true})}, nil},
		{"only caller left", []action{lose(testLoss{n: 1, kind: lossCallerClosed}), refuse, view(all, others)}, nil},
		{"caller left just before the crash", []action{lose(testLoss{n: 1, kind: lossCallerClosed}), lose(testLoss{n: 2}), refuse}, []byte{1, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var blamed []byte
			d := newCrashDetector(zerolog.Nop(), func(_ time.Time, server string, requests []suspect.Request) {
				require.Equal(t, "i-1@5", server)
				for _, s := range requests {
					blamed = append(blamed, s.Key[0])
				}
			})
			now := time.Now()
			for _, step := range test.steps {
				step(d, now)
				now = now.Add(100 * time.Millisecond)
			}
			require.Equal(t, test.want, blamed)
		})
	}
}

// TestCrashRecordsExpire checks that old losses are not blamed and that memory is bounded.
func TestCrashRecordsExpire(t *testing.T) {
	blamed := 0
	d := newCrashDetector(zerolog.Nop(), func(_ time.Time, _ string, requests []suspect.Request) { blamed += len(requests) })
	now := time.Now()
	for n := range 2 * maxLostPerServer {
		d.requestLost(now, readyServer("i-1"), false, now, lostRequest{Request: suspect.Request{Key: quarantine.Key{byte(n)}}})
	}
	d.connectionRefused(now, "i-1")
	require.Equal(t, maxLostPerServer, blamed)
	d.requestLost(now, readyServer("i-2"), false, now, lostRequest{})
	now = now.Add(lossRetention + time.Second)
	for n := range 1000 {
		d.requestLost(now, readyServer(fmt.Sprint("x", n)), false, now, lostRequest{})
	}
	d.connectionRefused(now, "i-2")
	require.Equal(t, maxLostPerServer, blamed)
	require.Len(t, d.losses, 1000)
	require.LessOrEqual(t, len(d.probes), probeQueueSize)
}

// TestCrashesCountFromTheirTime guards against servers that crash at the same moment, which a gateway
// notices one after the other.
func TestCrashesCountFromTheirTime(t *testing.T) {
	s, now := newIdleGateway(t).suspects, time.Now()
	subjects := func(body string) suspect.Subjects {
		return suspect.Subjects{
			Request: quarantine.KeyOf(quarantine.Request{Account: "a", Body: []byte(body)}),
			Account: "a",
			Parts:   suspect.PromptParts("s", "m", []protocol.Part{{ID: "shared"}, {ID: body}}),
		}
	}
	detector := newCrashDetector(zerolog.Nop(), s.ServerCrashed)
	for n := range 4 {
		r := subjects(fmt.Sprint("own", n))
		lost := suspect.Request{Key: r.Request, Account: r.Account, Parts: r.Parts}
		detector.requestLost(now, readyServer(fmt.Sprint("i-", n)), false, now, lostRequest{kind: lossConnectionBroke, Request: lost})
	}
	for n := range 4 {
		detector.connectionRefused(now.Add(time.Duration(n)*time.Second), fmt.Sprint("i-", n))
	}
	crashes, barring := s.Examine(subjects("own"))
	require.Equal(t, 4, crashes, "under the shared part")
	require.Empty(t, barring)
}
