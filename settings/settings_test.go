package settings_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/settings"
)

const valid = `name: model-1
hall: quito-1
peer_address: 10.0.0.5:7000
server_url: http://127.0.0.1:9000
report_interval: 500ms
`

func TestParse(t *testing.T) {
	s, err := settings.Parse(settings.Agent, []byte(valid))
	require.NoError(t, err)
	require.Equal(t, 500*time.Millisecond, s.ReportInterval)
	require.Equal(t, 8, s.Slots, "the default")
}

// TestParseReportsEveryError checks that every error of a file is reported with its
// line.
func TestParseReportsEveryError(t *testing.T) {
	content := `name: ""
nmae: x
hall: h
hall: i
peer_address: localhost:7000
server_url: ftp://x
slots: many
report_interval: 5
stop_timeout: -1s
log_level: loud
records: [1]
certificate: c.pem
`
	_, err := settings.Parse(settings.Agent, []byte(content))
	var fieldErrors settings.FieldErrors
	require.True(t, errors.As(err, &fieldErrors))
	lines := map[int]string{}
	for _, f := range fieldErrors {
		lines[f.Line] = f.Message
	}
	require.Len(t, lines, 11)
	require.Contains(t, lines[2], "did you mean name?")
	require.Contains(t, lines[4], "twice")
	require.Contains(t, lines[8], "unit")
}

func TestParseReportsMissingKeys(t *testing.T) {
	_, err := settings.Parse(settings.Router, nil)
	for _, key := range []string{"name", "hall", "caller_address", "peer_address", "platform_url", "operator_token_hash"} {
		require.ErrorContains(t, err, key+": missing")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: [b"))
	f.Add([]byte("- 1\n- 2\n"))
	f.Add([]byte("name: &a {x: *a}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := settings.Parse(settings.Router, content)
		require.True(t, (s == nil) != (err == nil))
	})
}
