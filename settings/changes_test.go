package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/settings"
)

// TestChanges checks that a setting counts as changed when its value differs, its default included.
func TestChanges(t *testing.T) {
	const file = "name: g\nhall: a\nfront_address: 127.0.0.1:1\nready_address: 127.0.0.1:2\npeer_address: 127.0.0.1:3\nstore_address: 127.0.0.1:4\n"
	parse := func(text string) *settings.Settings {
		s, err := settings.Parse(settings.Gateway, []byte(text))
		require.NoError(t, err)
		return s
	}
	tests := []struct {
		name  string
		lines string
		want  []string
	}{
		{"none", "", nil},
		{"a default is written down", "pauses: ignore\n", nil},
		{"two", "surplus: idle\npauses: avoid\n", []string{"pauses", "surplus"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, settings.Changes(parse(file), parse(file+test.lines)))
			require.Equal(t, test.want, settings.Changes(parse(file+test.lines), parse(file)))
		})
	}
}
