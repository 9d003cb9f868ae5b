package main

import (
	"bytes"
	"context"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSettingsPage checks that docs/operators/settings.md contains the settings reference
// of each role.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	require.NoError(t, err)
	for _, role := range []string{"router", "agent", "gateway"} {
		c := rootCommand()
		var out bytes.Buffer
		c.Writer = &out
		require.NoError(t, c.Run(context.Background(), []string{"opalbridge", "check", "--role", role, "--reference"}))
		require.Contains(t, string(page), out.String())
	}
}

// TestCheckCommand checks the exit codes of the check command.
func TestCheckCommand(t *testing.T) {
	file := t.TempDir() + "/agent.yaml"
	require.NoError(t, os.WriteFile(file, []byte("name: a\nhall: h\npeer_address: 127.0.0.1:1\nserver_url: http://127.0.0.1:2\n"), 0o600))
	tests := []struct {
		args []string
		code int
	}{
		{[]string{"--role", "agent", file}, 0},
		{[]string{"--role", "router", file}, exitUsage},
		{[]string{"--role", "other", file}, exitUsage},
		{[]string{"--role", "agent", file + ".none"}, exitUsage},
		{[]string{"--role", "agent"}, exitUsage},
	}
	for _, test := range tests {
		c := rootCommand()
		c.Writer = &bytes.Buffer{}
		err := c.Run(context.Background(), append([]string{"opalbridge", "check"}, test.args...))
		if test.code == 0 {
			require.NoError(t, err)
			continue
		}
		require.Error(t, err)
		require.Equal(t, test.code, exitCode(err), test.args)
	}
}
