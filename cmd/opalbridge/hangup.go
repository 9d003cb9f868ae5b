package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"opalbridge.dev/settings"
)

// hangups receives the SIGHUPs of a gateway; nil: another command runs, which SIGHUP ends. The signal is
// received until the process exits: by default it would end the process, during a start or stop too.
var hangups chan os.Signal

// receiveHangups receives SIGHUP from now on if the arguments name the gateway command. hangup_linux.go ignores
// the signal until then.
func receiveHangups(args []string) {
	if len(args) < 2 || args[1] != gatewayName {
		return
	}
	hangups = make(chan os.Signal, 1) // what does not fit asks for the same as the one that waits
	signal.Notify(hangups, syscall.SIGHUP)
}

// watchReload checks the settings file at each SIGHUP and logs whether it is valid. Settings
// of a gateway (addresses, limits) are fixed for the life of the process; what may change
// while it runs is part of the operators' configuration.
func watchReload(file string, log zerolog.Logger) (stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ended:
				return
			case <-hangups:
				logReload(file, log)
			}
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// logReload checks the settings file and logs whether it is valid.
func logReload(file string, log zerolog.Logger) {
	if _, err := readSettings(settings.Gateway, file); err != nil {
		log.Error().Str("event", "reload").Err(err).Msg("settings file is invalid; keeping the current settings")
		return
	}
	log.Info().Str("event", "reload").Msg("settings file is valid; it takes effect at the next start")
}
