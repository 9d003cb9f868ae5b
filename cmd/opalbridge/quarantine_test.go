package main

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway"
	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/platform"
	"opalbridge.dev/platform/platformtest"
)

// TestQuarantineCommand checks that list shows suspects and quarantined requests, and that
// lift removes an entry.
func TestQuarantineCommand(t *testing.T) {
	h := httptest.NewServer(&platformtest.Store{})
	defer h.Close()
	address := strings.TrimPrefix(h.URL, "http://")
	run := func(args ...string) (string, error) {
		c := rootCommand()
		var out bytes.Buffer
		c.Writer = &out
		err := c.Run(t.Context(), append([]string{"opalbridge", "quarantine"}, args...))
		return out.String(), err
	}
	barred, suspected := quarantine.Key{1}, quarantine.Key{2}
	s := &platform.SuspectStore{Store: &platform.Store{Address: address}}
	require.NoError(t, s.Save(t.Context(), barred, gateway.Suspect{Summary: "quito POST h/x", Servers: []string{"i-1", "i-2"}}))
	require.NoError(t, s.Save(t.Context(), barred, gateway.Suspect{Summary: "quito POST h/x", Servers: []string{"i-2", "i-3"}}))
	require.NoError(t, s.Save(t.Context(), suspected, gateway.Suspect{Summary: "cuenca POST h/y", Servers: []string{"i-1", "i-3"}}))

	out, err := run("list", "--store", address)
	require.NoError(t, err)
	require.Regexp(t, barred.String()+` +true .* quito POST h/x +i-1 i-2 i-3`, out)
	require.Regexp(t, suspected.String()+` +false .* cuenca POST h/y +i-1 i-3`, out)
	out, err = run("list", "--store", address, "--json")
	require.NoError(t, err)
	require.Contains(t, out, `"barred": true`)

	out, err = run("lift", "--store", address, barred.String())
	require.NoError(t, err)
	require.Equal(t, barred.String()+": lifted\n", out)
	kept, err := s.List(t.Context())
	require.NoError(t, err)
	require.Len(t, kept, 1)

	for _, args := range [][]string{
		{"lift", "--store", address, barred.String()}, {"lift", "--store", address, "x"},
		{"lift", "--store", address}, {"list", "--store", "nowhere"}, {"list"},
	} {
		_, err = run(args...)
		require.Error(t, err, "%v", args)
		require.Equal(t, exitUsage, exitCode(err), "%v: %v", args, err)
	}
}
