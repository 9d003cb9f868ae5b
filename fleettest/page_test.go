package fleettest_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/FAULTS.md")

const pagePath = "../docs/FAULTS.md"

const pageHead = `# What callers see under faults

This page is written by the test that proves it: ` + "`go test -run TestFaultMatrix ./fleettest -update`" + `.
Every fault strikes at every step of one request, in virtual time, with real
routers and agents; the last two columns are what its caller saw. In every row
held: a request that may not be repeated ran at most once, none that was called
not run ran, no answer was mixed, out of order or called whole when it was cut,
the caller had its word within its deadline, and 30 s after the fault the fleet
served again.

The fleet has two routers and two servers in two halls; the fault strikes the
caller's router, its nearest agent, or what is between them.

| fault | step | repeatable | not repeatable |
| --- | --- | --- | --- |
`

// writePage compares docs/FAULTS.md with the rows, or writes it with -update.
func writePage(t *testing.T, rows []row) {
	var page bytes.Buffer
	page.WriteString(pageHead)
	for _, r := range rows {
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n", r.fault, r.step, r.repeatable, r.notRepeatable)
	}
	if *update {
		require.NoError(t, os.WriteFile(pagePath, page.Bytes(), 0o644))
		return
	}
	old, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	require.Equal(t, string(old), page.String(), "docs/FAULTS.md differs from the observed outcomes; run with -update")
}
