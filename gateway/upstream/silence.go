package upstream

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// KeepAlive tells when a connection on which nothing arrives counts as gone, although
// nobody has closed or reset it.
type KeepAlive struct {
	UserTimeout time.Duration // written bytes that nobody acknowledges for so long
	Idle        time.Duration // a connection is probed after so long without bytes; whole seconds at a listener
	Interval    time.Duration // between probes; whole seconds at a listener
	Count       int           // that are lost in a row
}

func (s KeepAlive) probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: s.Idle, Interval: s.Interval, Count: s.Count}
}

// Control sets all of it on a socket. Its signature is that of net.ListenConfig.Control;
// connections have what their listener had.
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
	return errors.CombineErrors(errors.CombineErrors(err, failed), s.limitUnacknowledged(network, address, raw))
}

// limitUnacknowledged bounds how long written bytes may stay unacknowledged. Its signature
// is that of net.Dialer.Control.
func (s KeepAlive) limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.UserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Dialer returns a dialer whose connections have all of it.
func (s KeepAlive) Dialer() net.Dialer {
	return net.Dialer{KeepAliveConfig: s.probes(), Control: s.limitUnacknowledged}
}
