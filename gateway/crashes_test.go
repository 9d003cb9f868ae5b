package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/quarantine"
)

// lostAt is a request that is lost, by its number.
type lostAt struct {
	n       byte
	how     lossKind
	planned bool
	ago     time.Duration // when it was last heard of
}

// TestEnds: what a gateway sees of servers, and which requests it blames.
func TestEnds(t *testing.T) {
	server := readyServer("i-1@5")
	others := []catalog.Server{readyServer("i-0"), readyServer("i-2")}
	all := []catalog.Server{others[0], server, others[1]}
	draining := []catalog.Server{others[0], leavingServer("i-1@5"), others[1]}
	lose := func(l lostAt) func(e *crashDetector, now time.Time) {
		return func(e *crashDetector, now time.Time) {
			e.requestLost(now, server, l.planned, now.Add(-l.ago), lost{how: l.how, suspect: suspect{key: quarantine.Key{l.n}}})
		}
	}
	refuse := func(e *crashDetector, now time.Time) { e.connectionRefused(now, server.ID) }
	view := func(before, after []catalog.Server) func(e *crashDetector, now time.Time) {
		return func(e *crashDetector, now time.Time) { e.viewChanged(now, before, after) }
	}
	type does func(e *crashDetector, now time.Time)
	tests := []struct {
		name  string
		steps []does // a tenth of a second apart
		want  []byte // requests that are blamed
	}{
		{"it takes connections", []does{lose(lostAt{n: 1})}, nil},
		{"it refuses connections", []does{lose(lostAt{n: 1}), lose(lostAt{n: 2}), refuse}, []byte{1, 2}},
		{"a break is noticed later", []does{lose(lostAt{n: 1}), refuse, lose(lostAt{n: 2, ago: time.Second})}, []byte{1, 2}},
		{"sent after its end", []does{lose(lostAt{n: 1}), refuse, lose(lostAt{n: 2})}, []byte{1}},
		{"refused, and nothing broke", []does{refuse, view(all, others)}, nil},
		{"its entry goes", []does{lose(lostAt{n: 1}), view(all, others)}, []byte{1}},
		{"another lifetime begins", []does{lose(lostAt{n: 1}), view(all, []catalog.Server{others[0], readyServer("i-1@9"), others[1]})}, []byte{1}},
		{"another server goes", []does{lose(lostAt{n: 1}), view(all, all[1:])}, nil},
		{"both", []does{lose(lostAt{n: 1}), refuse, view(all, others)}, []byte{1}},
		{"it was leaving", []does{lose(lostAt{n: 1, planned: true}), refuse, view(draining, others)}, nil},
		{"it began to leave after a break", []does{lose(lostAt{n: 1}), view(all, draining), view(draining, others)}, nil},
		{"its entry had gone before", []does{view(all, others), lose(lostAt{n: 1, planned: true}), refuse}, nil},
		{"silent, then its entry goes", []does{lose(lostAt{n: 1, how: lostBySilence}), view(all, others)}, []byte{1}},
		{"its entry goes, silent until the end", []does{view(all, others), lose(lostAt{n: 1, how: lostBySilence, planned: true, ago: time.Second})}, []byte{1}},
		{"its entry had gone, it went on and was slow", []does{view(all, others), lose(lostAt{n: 1, how: lostBySilence, planned: true})}, nil},
		{"only its caller left", []does{lose(lostAt{n: 1, how: lostByCaller}), refuse, view(all, others)}, nil},
		{"a caller left just before", []does{lose(lostAt{n: 1, how: lostByCaller}), lose(lostAt{n: 2}), refuse}, []byte{1, 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var blamed []byte
			e := newCrashDetector(zerolog.Nop(), func(_ time.Time, server string, there []suspect) {
				require.Equal(t, "i-1@5", server)
				for _, s := range there {
					blamed = append(blamed, s.key[0])
				}
			})
			now := time.Now()
			for _, step := range test.steps {
				step(e, now)
				now = now.Add(100 * time.Millisecond)
			}
			require.Equal(t, test.want, blamed)
		})
	}
}

// TestEndsForget: what broke long ago is not blamed, and memory is bounded.
func TestEndsForget(t *testing.T) {
	blamed := 0
	e := newCrashDetector(zerolog.Nop(), func(_ time.Time, _ string, there []suspect) { blamed += len(there) })
	now := time.Now()
	for n := range 2 * mostThere {
		e.requestLost(now, readyServer("i-1"), false, now, lost{suspect: suspect{key: quarantine.Key{byte(n)}}})
	}
	e.connectionRefused(now, "i-1")
	require.Equal(t, mostThere, blamed)
	e.requestLost(now, readyServer("i-2"), false, now, lost{})
	now = now.Add(brokenFor + time.Second)
	for n := range 1000 {
		e.requestLost(now, readyServer(fmt.Sprint("x", n)), false, now, lost{})
	}
	e.connectionRefused(now, "i-2")
	require.Equal(t, mostThere, blamed)
	require.Len(t, e.broken, 1000)
	require.LessOrEqual(t, len(e.probes), probeQueue)
}
