package settings_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/settings"
)

// TestModes: a misspelt word must not switch an optional decision on or off.
func TestModes(t *testing.T) {
	const base = "name: g\nhall: h\npeer_address: 127.0.0.1:1\nfront_address: 127.0.0.1:2\nready_address: 127.0.0.1:3\nstore_address: 127.0.0.1:4\n"
	tests := []struct {
		text           string
		surplus, plain settings.Mode
		withdraw       settings.Mode
		offload        settings.Mode
		valid          bool
	}{
		{"", settings.Off, settings.Off, settings.Off, settings.Off, true},
		{"surplus: share\nplain_queue: none\nwithdraw: off\noffload: hall\n", settings.Off, settings.Off, settings.Off, settings.Off, true},
		{"surplus: auto\nplain_queue: auto\nwithdraw: auto\noffload: auto\n", settings.Auto, settings.Auto, settings.Auto, settings.Auto, true},
		{"surplus: idle\nplain_queue: slots\nwithdraw: on\noffload: region\n", settings.On, settings.On, settings.On, settings.On, true},
		{"surplus: Idle\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
		{"surplus: on\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
		{"plain_queue: \"\"\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
		{"pauses: auto\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
		{"withdraw: yes\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
		{"withdraw: Auto\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
		{"offload: on\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
		{"offload: Region\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
		{"stream_backups: 1\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
		{"stream_moves: yes\n", settings.Off, settings.Off, settings.Off, settings.Off, false},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%q", test.text), func(t *testing.T) {
			s, err := settings.Parse(settings.Gateway, []byte(base+test.text))
			if !test.valid {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.surplus, s.IdleSurplus)
			require.Equal(t, test.plain, s.QueuePlainWork)
			require.Equal(t, test.withdraw, s.Withdraw)
			require.Equal(t, test.offload, s.Offload)
		})
	}
}
