package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/explain"
)

// Log lines of two gateways. The second log has a prefix, as a log collector may put before
// a line.
const gateway1Log = `{"level":"info","node":"g1","event":"configuration.in_force","version":7,"revision":12,"time":"2026-12-02T14:00:00Z"}
not a line of ours
{"level":"warn","node":"g1","event":"server.silent","server":"i-1","time":"2026-12-02T14:00:05Z"}
{"level":"warn","node":"g1","event":"server.silent","server":"i-9","time":"2026-12-02T14:00:05Z"}
{"level":"info","node":"g1","event":"attempt.sent","request":"r1","attempt":1,"server":"i-1","predicted":210.4,"work":80,"left":900,"account":"t1","time":"2026-12-02T14:00:06Z"}
{"level":"info","node":"g1","event":"stream.resumed","request":"r6","resumes":"r1","after_event":"4","outcome":"known","service":"s","server_version":"v1.2","lookup":3.1,"time":"2026-12-02T14:00:06Z"}
{"level":"info","node":"g1","event":"attempt.sent","request":"r6","attempt":1,"server":"i-3","server_version":"v1.2","resumes":"r1","after_event":"4","predicted":50,"time":"2026-12-02T14:00:06Z"}
{"level":"info","node":"g1","event":"stream.backed_up","request":"r7","server":"i-4","target":"i-5","time":"2026-12-02T14:00:06Z"}
{"level":"info","node":"g1","event":"stream.moved","request":"r7","server":"i-4","target":"i-6","events":9,"after_event":"9","outcome":"moved","time":"2026-12-02T14:00:06Z"}
{"level":"info","node":"g1","event":"stream.continued","request":"r7","server":"i-6","from":"i-4","cause":"moved","after_event":"9","outcome":"refused","reason":"status 503","time":"2026-12-02T14:00:06Z"}
{"level":"info","node":"g1","event":"attempt.failed","request":"r1","attempt":1,"error":"reset","may_have_run":true,"time":"2026-12-02T14:00:06Z"}
{"level":"info","node":"g1","event":"attempt.sent","request":"r2","attempt":1,"server":"i-2","time":"2026-12-02T14:00:06Z"}
{"level":"info","node":"g1","event":"request.ended","request":"r1","result":"failed","reason":"reset","attempts":1,"whole":31,"time":"2026-12-02T14:00:07Z"}
`

const gateway2Log = `  12.31 g2 {"level":"info","node":"g2","event":"request.refused","request":"r3","reason":"no server in time","predicted":900,"retry_after":200,"time":"2026-12-02T14:00:08Z"}
{"level":"info","node":"g2","event":"request.denied","requests":["r4","r5"],"status":503,"reason":"short of processor","retry_after":150,"time":"2026-12-02T14:00:09Z"}
`

// The log of a gateway that stops, and of one whose link to another one ends.
const stopLog = `{"level":"info","node":"g3","event":"stop","requests":43,"time":"2026-12-02T15:00:00Z"}
{"level":"info","node":"g3","event":"request.denied","request":"s1","status":503,"reason":"gateway is stopping","stopping_for":2700,"time":"2026-12-02T15:00:02.7Z"}
{"level":"warn","node":"g3","event":"stop.cut","requests":2,"connections":3,"offloaded":1,"time":"2026-12-02T15:00:07.5Z"}
{"level":"info","node":"g3","event":"request.ended","request":"s2","result":"cut","reason":"gateway: grace period","ended_by":"stop","attempts":1,"time":"2026-12-02T15:00:07.5Z"}
{"level":"info","node":"g4","event":"link.ended","peer":"10.0.0.3:41","error":"EOF","time":"2026-12-02T15:00:08Z"}
{"level":"warn","node":"g4","event":"request.cut","request":"s3","error":"gateway: link","ended_by":"link","time":"2026-12-02T15:00:08Z"}
{"level":"info","node":"g4","event":"request.ended","request":"s3","result":"cut","reason":"gateway: link","ended_by":"link","attempts":1,"time":"2026-12-02T15:00:08Z"}
{"level":"warn","node":"g4","event":"request.dropped","caller":"10.9.0.1:5","arrived":"read","read_for":12,"stopping":true,"time":"2026-12-02T15:00:08Z"}
`

func TestStory(t *testing.T) {
	tests := []struct {
		name    string
		request string
		want    []string
		absent  []string
	}{
		{"failed", "r1", []string{
			"configuration 7 in force", "server i-1: silent", "attempt 1 sent to server i-1: first event predicted in 210 ms",
			"attempt 1 failed (may have run: true): reset", "failed after 1 attempts",
		}, []string{"i-9", "i-2"}},
		{"stream taken up", "r6", []string{
			`takes up the stream of attempt "r1" after event 4: known, version "v1.2"`, "attempt 1 sent to server i-3 of version v1.2 to go on after event 4",
		}, []string{"i-2"}},
		{"stream moved", "r7", []string{
			"backed up from server i-4 at server i-5", "server i-4 leaves under its stream after event 9: moved to server i-6",
			"goes on at server i-6 by a handle of server i-4 after event 9 (moved): refused: status 503",
		}, []string{"i-1 "}},
		{"refused", "r3", []string{"refused as not run: no server in time", "come back after 200 ms"}, []string{"configuration 7"}},
		{"denied while stopping", "s1", []string{"shutdown requested, 43 requests in hand", "denied with 503, 2.7 s after a shutdown was requested: gateway is stopping"}, []string{"grace period"}},
		{"ended by a stop", "s2", []string{"shutdown requested", "grace period expired: 2 requests, 3 connections and 1 that others serve are ended", "cut after 1 attempts", "ended by stop"}, []string{"gateway is stopping"}},
		{"ended by a link", "s3", []string{"link of gateway 10.0.0.3:41 ended: EOF", "answer broken off: gateway: link", "ended by link"}, []string{"shutdown", "dropped"}},
		{"denied with others", "r5", []string{"503", "short of processor"}, []string{"r4"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			require.NoError(t, explain.Story(&out, test.request, strings.NewReader(gateway2Log), strings.NewReader(gateway1Log), strings.NewReader(stopLog)))
			offset := 0
			for _, want := range test.want {
				next := strings.Index(out.String()[offset:], want)
				require.GreaterOrEqual(t, next, 0, "%q, in order, in:\n%s", want, out.String())
				offset += next
			}
			for _, text := range test.absent {
				require.NotContains(t, out.String(), text)
			}
		})
	}
}

func TestStoryUnknownRequest(t *testing.T) {
	require.ErrorContains(t, explain.Story(&strings.Builder{}, "r9", strings.NewReader(gateway1Log)), "no line names request r9")
}

func FuzzStory(f *testing.F) {
	f.Add("r1", gateway1Log)
	f.Fuzz(func(_ *testing.T, request, log string) {
		_ = explain.Story(&strings.Builder{}, request, strings.NewReader(log)) // must not panic
	})
}
