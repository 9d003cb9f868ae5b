package explain_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/explain"
)

// sampleLog holds one second of log lines of two gateways: a request served in time, one
// served late, one refused while a server was nearly idle and then retried by its caller,
// one cut, and one whose caller disconnected.
const sampleLog = `
{"node":"g1","hall":"h1","event":"attempt.sent","request":"a","attempt":1,"server":"s1","predicted":100,"reading":40,"tokens":900,"time":"2026-01-01T00:00:00.010Z"}
{"node":"g1","hall":"h1","event":"request.ended","request":"a","route":"r","account":"x","result":"served","attempts":1,"first":130,"whole":400,"spent":0,"time":"2026-01-01T00:00:00.410Z"}
{"node":"g1","hall":"h1","event":"attempt.sent","request":"b","attempt":1,"server":"s1","predicted":200,"reading":60,"tokens":1100,"time":"2026-01-01T00:00:00.100Z"}
{"node":"g1","hall":"h1","event":"request.ended","request":"b","route":"r","account":"x","result":"late","attempts":1,"first":700,"whole":900,"spent":0,"time":"2026-01-01T00:00:00.950Z"}
{"node":"g2","hall":"h2","event":"request.refused","request":"c","account":"y","reason":"account over its share","objective":300,"predicted":90,"time":"2026-01-01T00:00:00.200Z"}
{"node":"g2","hall":"h2","event":"request.ended","request":"c","route":"r","account":"y","result":"refused","reason":"account over its share","attempts":0,"whole":50,"spent":0,"time":"2026-01-01T00:00:00.250Z"}
{"node":"g2","hall":"h2","event":"attempt.sent","request":"d","attempt":1,"server":"s2","predicted":80,"reading":10,"tokens":1000,"time":"2026-01-01T00:00:00.500Z"}
{"node":"g2","hall":"h2","event":"request.ended","request":"d","route":"r","account":"y","result":"served","attempts":1,"first":80,"whole":100,"spent":250,"time":"2026-01-01T00:00:00.600Z"}
{"node":"g2","hall":"h2","event":"request.ended","request":"e","route":"q","account":"y","result":"cut","ended_by":"stop","attempts":2,"whole":300,"spent":0,"time":"2026-01-01T00:00:00.700Z"}
{"node":"g2","hall":"h2","event":"request.ended","request":"f","route":"q","account":"y","result":"left","ended_by":"caller","attempts":1,"whole":300,"spent":0,"time":"2026-01-01T00:00:00.700Z"}
a line of another program
`

func TestReadAccounting(t *testing.T) {
	a, err := explain.ReadAccounting(strings.NewReader(sampleLog))
	require.NoError(t, err)
	require.Equal(t, 5, a.Total.Callers, "a caller that retries is counted once")
	require.Equal(t, 1, a.Total.InTime)
	require.Equal(t, 1, a.Total.Late)
	require.Equal(t, 1, a.Total.ServedOnRetry)
	require.Equal(t, map[string]int{"account over its share": 1}, a.Total.Refused)
	require.Equal(t, 1, a.Total.RefusedWhileIdle)
	require.Equal(t, 1, a.Total.Failed)
	require.Equal(t, 1, a.Total.FailedAfterRetry)
	require.Equal(t, 1, a.Total.Canceled)
	require.Equal(t, map[string]int{"stop": 1, "caller": 1}, a.Total.EndedBy)
	require.InDelta(t, 0.05, a.Total.RefusedHoldSeconds, 1e-9)
	require.InDelta(t, 0.2, a.Total.InTimeShare(), 1e-9)
	require.Equal(t, 2, a.Accounts["x"].Callers)
	require.Equal(t, 3, a.Halls["h2"].Callers)
	require.InDelta(t, 0.1, a.Servers["s1"].PrefillSeconds, 1e-9)
	// x got 2,000 tokens and y, which was also refused, 1,000.
	require.InDelta(t, 1000.0/1500, a.Seconds["0"].Gap, 1e-9)
	require.InDelta(t, 450, a.Routes["r"].ErrorP90, 1, "the time a request was held is not part of the prediction error")
}

func TestAccountingOutput(t *testing.T) {
	a, err := explain.ReadAccounting(strings.NewReader(sampleLog))
	require.NoError(t, err)
	for _, view := range []string{"route", "account", "hall", "server", "second"} {
		var b bytes.Buffer
		require.NoError(t, a.Table(&b, view))
		require.Contains(t, b.String(), "all")
		require.Contains(t, b.String(), "by stop")
	}
	require.ErrorContains(t, a.Table(&bytes.Buffer{}, "moon"), "no view")
	file := filepath.Join(t.TempDir(), "plot.png")
	require.NoError(t, a.Plot(file))
	plot, err := os.ReadFile(file)
	require.NoError(t, err)
	require.True(t, bytes.HasPrefix(plot, []byte("\x89PNG")))
}

func TestAccountingEmptyLog(t *testing.T) {
	a, err := explain.ReadAccounting(strings.NewReader(""))
	require.NoError(t, err)
	require.NoError(t, a.Table(&bytes.Buffer{}, "second"))
	require.NoError(t, a.Plot(filepath.Join(t.TempDir(), "plot.png")))
}
