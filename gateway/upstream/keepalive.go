package upstream

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// KeepAlive configures when a connection on which nothing arrives is considered dead although
// nobody has closed or reset it.
type KeepAlive struct {
	UserTimeout time.Duration // limit for sent data to stay unacknowledged
	Idle        time.Duration // time without data before the first probe; whole seconds for a listener
	Interval    time.Duration // time between probes; whole seconds for a listener
	Count       int           // consecutive lost probes before the connection is dead
}

func (s KeepAlive) probeConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: s.Idle, Interval: s.Interval, Count: s.Count}
}

// Control sets all options on a socket. Its signature is that of net.ListenConfig.Control;
// accepted connections inherit the options of their listener.
func (s KeepAlive) Control(network, address string, raw syscall.RawConn) error {
	options := []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(s.Idle.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(s.Interval.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, s.Count},
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		for _, o := range options {
			failed = errors.CombineErrors(failed, unix.SetsockoptInt(int(fd), o.level, o.name, o.value))
		}
	})
	return errors.CombineErrors(errors.CombineErrors(err, failed), s.setUserTimeout(network, address, raw))
}

// setUserTimeout limits how long sent data may stay unacknowledged. Its signature is that of
// net.Dialer.Control.
func (s KeepAlive) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.UserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Dialer returns a dialer that sets all options on its connections.
func (s KeepAlive) Dialer() net.Dialer {
	return net.Dialer{KeepAliveConfig: s.probeConfig(), Control: s.setUserTimeout}
}
