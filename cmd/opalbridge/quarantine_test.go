package main

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/suspect"
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
	require.NoError(t, s.Save(t.Context(), barred, suspect.Suspect{Summary: "quito POST h/x", Servers: []string{"i-1", "i-2"}}))
	require.NoError(t, s.Save(t.Context(), barred, suspect.Suspect{Summary: "quito POST h/x", Servers: []string{"i-2", "i-3"}}))
	require.NoError(t, s.Save(t.Context(), suspected, suspect.Suspect{Summary: "cuenca POST h/y", Servers: []string{"i-1", "i-3"}}))

	part, partOfTwo := quarantine.Key{3}, quarantine.Key{4}
	requests := []quarantine.Key{{8}, {9}}
	require.NoError(t, s.Save(t.Context(), part, suspect.Suspect{
		Summary: "part 5c1e", Servers: []string{"i-1", "i-2", "i-3"},
		Part: &quarantine.PartEvidence{Accounts: []string{"quito"}, Requests: requests, SpanMs: 800},
	}))
	require.NoError(t, s.Save(t.Context(), partOfTwo, suspect.Suspect{
		Summary: "part 91bd", Servers: []string{"i-1", "i-2", "i-3"},
		Part: &quarantine.PartEvidence{Accounts: []string{"quito", "cuenca"}, Requests: requests, SpanMs: 800, AnsweredBefore: true},
	}))

	out, err := run("list", "--store", address)
	require.NoError(t, err)
	require.Regexp(t, barred.String()+` +true +itself .* quito POST h/x +i-1 i-2 i-3`, out)
	require.Regexp(t, suspected.String()+` +false +itself .* cuenca POST h/y +i-1 i-3`, out)
	require.Regexp(t, part.String()+` +true +quito .* part 5c1e +i-1 i-2 i-3`, out)
	require.Regexp(t, partOfTwo.String()+` +false +all accounts .* part 91bd +i-1 i-2 i-3`, out)
	out, err = run("list", "--store", address, "--json")
	require.NoError(t, err)
	require.Contains(t, out, `"barred": true`)

	out, err = run("lift", "--store", address, barred.String())
	require.NoError(t, err)
	require.Equal(t, barred.String()+": lifted\n", out)
	kept, err := s.List(t.Context())
	require.NoError(t, err)
	require.Len(t, kept, 3)
	out, err = run("lift", "--store", address, part.String())
	require.NoError(t, err)
	require.Equal(t, part.String()+": lifted\n", out)

	for _, args := range [][]string{
		{"lift", "--store", address, barred.String()}, {"lift", "--store", address, "x"},
		{"lift", "--store", address}, {"list", "--store", "nowhere"}, {"list"},
	} {
		_, err = run(args...)
		require.Error(t, err, "%v", args)
		require.Equal(t, exitUsage, exitCode(err), "%v: %v", args, err)
	}
}
