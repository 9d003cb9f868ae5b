package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopMayCut guards against a check that excuses answers which a planned stop must not cut.
func TestStopMayCut(t *testing.T) {
	tests := []struct {
		name      string
		gateway   string
		sent, cut time.Duration // after the SIGTERM
		want      bool
	}{
		{"at the end of the grace period", "a", 2 * time.Second, 5500 * time.Millisecond, true},
		{"before its last sixth", "a", 2 * time.Second, 4900 * time.Millisecond, false},
		{"sent late", "a", 3100 * time.Millisecond, 5500 * time.Millisecond, false},
		{"sent before", "a", -time.Second, 5500 * time.Millisecond, true},
		{"long after", "a", 2 * time.Second, 8 * time.Second, false},
		{"at another gateway", "b", 2 * time.Second, 5500 * time.Millisecond, false},
	}
	at := time.Now()
	w := plannedWork{stops: []gatewayStop{{"a", at, 6 * time.Second}}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, w.mayCut(test.gateway, at.Add(test.sent), at.Add(test.cut)))
		})
	}
}

// TestStopMayCutForwarded guards against a check that excuses streams which a stopping gateway should not have begun.
func TestStopMayCutForwarded(t *testing.T) {
	tests := []struct {
		name      string
		gateway   string
		sent, cut time.Duration // after the SIGTERM
		want      bool
	}{
		{"sent before", "a", -time.Second, 5500 * time.Millisecond, true},
		{"sent after", "a", 100 * time.Millisecond, 5500 * time.Millisecond, false},
		{"cut before the last sixth", "a", -time.Second, 4900 * time.Millisecond, false},
		{"at an unknown gateway", "", -time.Second, 5500 * time.Millisecond, false},
	}
	at := time.Now()
	w := plannedWork{stops: []gatewayStop{{"a", at, 6 * time.Second}}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, w.mayCutForwarded(test.gateway, at.Add(test.sent), at.Add(test.cut)))
		})
	}
}

// TestConfigurationsInForce guards against a check that takes a configuration for one that may still be, or
// already be, in force.
func TestConfigurationsInForce(t *testing.T) {
	tests := []struct {
		name     string
		from, to time.Duration // after the second configuration was written
		idle     []time.Duration
	}{
		{"before the second", -time.Second, -500 * time.Millisecond, []time.Duration{1}},
		{"across the second", -time.Second, time.Second, []time.Duration{1, 2}},
		{"soon after the second", 2 * time.Second, 2200 * time.Millisecond, []time.Duration{1, 2}},
		{"later", 2500 * time.Millisecond, 2600 * time.Millisecond, []time.Duration{2}},
	}
	at := time.Now()
	w := plannedWork{configs: []plannedConfig{{written: at.Add(-time.Minute), idle: 1}, {written: at, idle: 2}}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var idle []time.Duration
			for _, c := range w.inForce(at.Add(test.from), at.Add(test.to)) {
				idle = append(idle, c.idle)
			}
			require.Equal(t, test.idle, idle)
		})
	}
}

// TestOutOfTime guards against a check that excuses answers which are cut before their callers' time is over.
func TestOutOfTime(t *testing.T) {
	tests := []struct {
		name        string
		sent, ended time.Duration // after the first byte was sent
		want        bool
	}{
		{"in time", 0, 3499 * time.Millisecond, false},
		{"at the deadline", 0, 3500 * time.Millisecond, true},
		{"sent slowly", 1200 * time.Millisecond, 3500 * time.Millisecond, true},
	}
	began := time.Now()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := request{began: began, sent: began.Add(test.sent), ended: began.Add(test.ended)}
			require.Equal(t, test.want, q.outOfTime())
		})
	}
}
