package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer"
)

// Addresses of gateways of another hall: one that serves, and one that does not.
const (
	servingAddress = "127.0.0.2"
	failingAddress = "127.0.0.3"
)

// startOverloadedHall starts an overloaded gateway of a hall without CPU time. The gateway that serves the connections
// that it offloads is in another hall of the region.
func startOverloadedHall(t *testing.T, serve http.HandlerFunc) *overloadedGateway {
	t.Helper()
	s := startOverloadedWith(t, newOffloadTargets("h", map[string]string{"h": "r", "g": "r"}, func() bool { return true }), serve)
	s.report(servingAddress, 800)
	return s
}

// report reports the spare CPU of a gateway of the other hall that is heard of anew.
func (s *overloadedGateway) report(from string, spare int) {
	u := peer.Update{From: from, Hall: "g", Alive: true, Full: true, Weight: 800, TellsSpare: true, Spare: spare}
	if spare == 0 {
		u.Weight = 0
	}
	s.offloader.targets.update(time.Now(), peer.Update{From: from})
	s.offloader.targets.update(time.Now(), u)
}

// outcomes returns how many connections had an outcome.
func (s *overloadedGateway) outcomes(o offload.Outcome) int {
	return s.gateway.options.Metrics.(*deniedCounter).offloadedTo(o)
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	_, _ = io.Copy(w, r.Body)
}

// listenFailing listens on the address of a gateway that does not serve.
func (s *overloadedGateway) listenFailing(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", net.JoinHostPort(failingAddress, s.offloader.port))
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// TestOtherHallServes: callers of a hall without CPU time must be served by another one, as far as it has CPU to spare,
// and rejected as not run beyond that or where the settings keep connections in the hall.
func TestOtherHallServes(t *testing.T) {
	var inHall atomic.Bool
	s := startOverloadedWith(t, newOffloadTargets("h", map[string]string{"h": "r", "g": "r"}, func() bool { return !inHall.Load() }), echo)
	s.report(servingAddress, 800)
	status, answer := s.post(t, "x")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "x", answer)
	require.Equal(t, 1, s.outcomes(offload.OtherHall))

	s.report(servingAddress, 0)
	status, _ = s.post(t, "x")
	require.Equal(t, http.StatusServiceUnavailable, status, "it has become short of CPU time")
	s.report(servingAddress, 800)
	inHall.Store(true)
	status, _ = s.post(t, "x")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, 2, s.outcomes(offload.None))
	require.Equal(t, 1, s.outcomes(offload.OtherHall))
}

// TestOtherHallDies: a caller whose request may have run must get a 502, and later ones are rejected as not run.
func TestOtherHallDies(t *testing.T) {
	s := startOverloadedHall(t, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	})
	status, _ := s.post(t, "x")
	require.Equal(t, http.StatusBadGateway, status)
	s.offloader.targets.update(time.Now(), peer.Update{From: servingAddress})
	status, _ = s.post(t, "x")
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// TestLinkNotOpened: a connection must stay untouched if no link to the chosen gateway can be opened, and go to another
// gateway, or be rejected as not run.
func TestLinkNotOpened(t *testing.T) {
	s := startOverloadedHall(t, echo)
	l := s.listenFailing(t) // connections are accepted by the kernel, and nobody answers
	s.offloader.targets.update(time.Now(), peer.Update{From: servingAddress})
	s.report(failingAddress, 800)
	began := time.Now()
	status, _ := s.post(t, "x")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Less(t, time.Since(began), time.Second, "a link is opened within 300 ms or not at all")
	require.Equal(t, 1, s.outcomes(offload.Failed))

	s.report(servingAddress, 16) // enough for a connection, and chosen first in one of fifty cases
	s.report(failingAddress, 800)
	status, answer := s.post(t, "y")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "y", answer)
	require.Equal(t, 1, s.outcomes(offload.OtherHall))
	l.Close() // it refuses connections now
	for range 3 {
		s.report(failingAddress, 800)
		s.report(servingAddress, 800)
		status, answer = s.post(t, "z")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "z", answer)
	}
	require.Equal(t, 1, s.outcomes(offload.Failed))
}

// TestBeaconsLost: a gateway whose reports have ended must get no connections once it counts as lost.
func TestBeaconsLost(t *testing.T) {
	s := startOverloadedHall(t, echo)
	u := peer.Update{From: servingAddress, Hall: "g", Alive: true, Full: true, Weight: 800, TellsSpare: true, Spare: 800}
	s.offloader.targets.update(time.Now().Add(-peer.Timeout), u)
	status, _ := s.post(t, "x")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, offload.NoGateway, s.offloader.targets.obstacle(time.Now()))
	s.offloader.targets.update(time.Now(), u)
	status, _ = s.post(t, "x")
	require.Equal(t, http.StatusOK, status)
}

// TestTakerIsShort: a gateway that has become short of CPU time before others hear of it must reject what it
// takes, and not hand it off again, or connections would go round between overloaded gateways.
func TestTakerIsShort(t *testing.T) {
	var s *overloadedGateway
	s = startOverloadedHall(t, func(w http.ResponseWriter, r *http.Request) { s.target.handle(w, r) })
	s.target.options.Metrics = &deniedCounter{}
	s.target.overload.notAdmitted.Store(shareScale)
	s.target.offloader, s.target.offloadTargets = s.offloader, s.offloader.targets
	status, answer := s.post(t, "x")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, answer, "gateway short of processor")
	require.Equal(t, 1, s.outcomes(offload.OtherHall), "it was handed off once")
}

// TestHallCutOff: a hall from whose gateways nothing is heard must get no connections, while another one does.
func TestHallCutOff(t *testing.T) {
	s := startOverloadedHall(t, echo)
	s.report(failingAddress, 800)
	for _, from := range []string{failingAddress, servingAddress} {
		s.offloader.targets.update(time.Now(), peer.Update{From: from})
	}
	status, _ := s.post(t, "x")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, 1, s.outcomes(offload.None))
	require.Equal(t, offload.NoGateway, s.offloader.targets.obstacle(time.Now()))
	s.report(servingAddress, 800) // it is back
	status, _ = s.post(t, "x")
	require.Equal(t, http.StatusOK, status)
}

// TestRestrictedStays: requests that must not be read in this region must not be handed off to other halls either.
func TestRestrictedStays(t *testing.T) {
	s := startOverloadedHall(t, echo)
	s.gateway.options.Dispatcher = DispatcherOptions{Hall: "h", Regions: map[string]string{"h": "r", "g": "r"}}
	for _, test := range []struct {
		regions  catalog.Regions
		obstacle offload.Obstacle
	}{{nil, ""}, {catalog.Regions{"r"}, ""}, {catalog.Regions{"q"}, offload.Restricted}} {
		c, err := catalog.NewConfiguration(catalog.Document{Version: 1, Accounts: []catalog.Account{{Name: "a", Regions: test.regions}}})
		require.NoError(t, err)
		s.gateway.view.Store(&View{Configuration: c})
		s.report(servingAddress, 800)
		require.Equal(t, test.obstacle, s.gateway.offloadObstacle())
		status, _ := s.post(t, "x")
		require.Equal(t, test.obstacle == "", status == http.StatusOK)
	}
}

// TestOffloadLog: an operator must see to which halls connections went, and why none could be handed off. Where
// connections stay in their hall, the line stays as it was.
func TestOffloadLog(t *testing.T) {
	tests := []struct {
		name       string
		otherHalls bool
		choices    []offload.Choice
		started    int64
		want       string
	}{
		{"in the hall", false, []offload.Choice{{Outcome: offload.OwnHall, Hall: "h"}}, 1, `"connections":1,"open":0,"left_in_queue":0,"message"`},
		{"none in the hall", false, []offload.Choice{{Outcome: offload.None, Obstacle: offload.AllShort}}, 0, ""},
		{"nothing happened", true, nil, 0, ""},
		{"to two halls", true, []offload.Choice{{Outcome: offload.OwnHall, Hall: "h"}, {Outcome: offload.OtherHall, Hall: "g"}, {Outcome: offload.OtherHall, Hall: "g"}}, 3,
			`"connections":3,"open":0,"left_in_queue":0,"halls":{"g":2,"h":1},"failed":0,"none":0,"message"`},
		{"none", true, []offload.Choice{{Outcome: offload.None, Obstacle: offload.NoSpare}}, 0,
			`"connections":0,"open":0,"left_in_queue":0,"halls":{},"failed":0,"none":1,"reason":"gateways of other halls have too little spare CPU"`},
		{"failed", true, []offload.Choice{{Outcome: offload.Failed}}, 1, `"halls":{},"failed":1,"none":0,"message"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var log bytes.Buffer
			o := &offloader{log: zerolog.New(&log), overload: &overload{}, targets: newOffloadTargets("h", nil, func() bool { return test.otherHalls })}
			o.started.Store(test.started)
			for _, c := range test.choices {
				o.record(c)
			}
			o.logCounts()
			require.Contains(t, log.String(), test.want)
			require.Equal(t, test.want == "", log.Len() == 0)
			log.Reset()
			o.logCounts()
			require.Zero(t, log.Len(), "each connection is logged once")
		})
	}
}
