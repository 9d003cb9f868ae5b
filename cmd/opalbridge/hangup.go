package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"opalbridge.dev/platform"
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

// reloader reads the settings file of a gateway again at each SIGHUP. The address of the store takes effect
// at once. The other settings need a start: sockets, limits and optional decisions are fixed for the life of
// the process, and what may change besides is part of the operators' configuration.
type reloader struct {
	file    string
	inForce settings.Settings // as of the start, but for the address of the store
	store   *platform.Store
	log     zerolog.Logger
}

// watch reads the file at each SIGHUP until stop is called.
func (r *reloader) watch() (stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ended:
				return
			case <-hangups:
				r.reload()
			}
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// reload applies what the file changes, and logs each key that it changes and whether that takes effect. A
// bad file changes nothing.
func (r *reloader) reload() {
	s, err := readSettings(settings.Gateway, r.file)
	if err != nil {
		r.log.Error().Str("event", "reload").Err(err).Msg("settings file is invalid; keeping the current settings")
		return
	}
	changes := 0
	for _, key := range settings.Changes(&r.inForce, s) {
		if key == storeAddressKey {
			continue
		}
		changes++
		r.log.Warn().Str("event", "reload").Str("key", key).Msg("setting has changed; it takes effect at the next start")
	}
	if s.StoreAddress != r.inForce.StoreAddress {
		changes++
		r.log.Info().Str("event", "reload").Str("key", storeAddressKey).Str("from", r.inForce.StoreAddress).Str("to", s.StoreAddress).Msg("setting has changed; the store is asked at its new address")
		r.inForce.StoreAddress = s.StoreAddress
		r.store.Move(s.StoreAddress)
	}
	if changes == 0 {
		r.log.Info().Str("event", "reload").Msg("settings file is valid and changes nothing")
	}
}

// storeAddressKey is the key of the store's address in a settings file.
const storeAddressKey = "store_address"
