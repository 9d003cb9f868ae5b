package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOffloadSetting checks that callers of a gateway whose hall has no other one are served by a gateway of another
// hall while it recovers from a lack of CPU time, if the settings say so, and that an operator can see it.
func TestOffloadSetting(t *testing.T) {
	tests := []struct {
		setting   string
		otherHall bool
	}{{"region", true}, {"hall", false}, {"auto", false}} // the configuration does not call for it
	for _, test := range tests {
		t.Run(test.setting, func(t *testing.T) {
			f := startGatewayFleet(t, []gatewayHost{{"a", 0.144}, {"b", 0.8}}, "regions: a=r,b=r\noffload: "+test.setting+"\n")
			stop, done := make(chan struct{}), make(chan struct{})
			go f.overload(0, stop, done)
			time.Sleep(1500 * time.Millisecond)
			close(stop)
			<-done
			client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				r, err := client.Get("http://" + f.fronts[0])
				if err == nil {
					r.Body.Close()
				}
			}
			const otherHall = `(?m)^opalbridge_gateway_connections_offloaded_total\{.*outcome="other_hall".*\} [1-9]`
			page := f.metricsPage(t, 0)
			require.NoError(t, f.gateways[0].command.Process.Signal(syscall.SIGTERM))
			lines := <-f.logs[0]
			if test.otherHall {
				require.Regexp(t, otherHall, page)
				require.Regexp(t, `"event":"connection.passed_on".*"halls":\{"b":[1-9]`, lines)
				return
			}
			require.NotRegexp(t, otherHall, page)
			require.Regexp(t, `(?m)^opalbridge_gateway_connections_offloaded_total\{.*outcome="none".*\} [1-9]`, page)
			require.NotContains(t, lines, `"halls"`)
		})
	}
}
