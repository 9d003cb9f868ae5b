package upstream

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Silence tells when a connection on which nothing arrives counts as gone, although
// nobody has closed or reset it.
type Silence struct {
	Unacknowledged time.Duration // written bytes that nobody acknowledges for so long
	ProbeIdle      time.Duration // a connection is probed after so long without bytes; whole seconds at a listener
	ProbeInterval  time.Duration // between probes; whole seconds at a listener
	Probes         int           // that are lost in a row
}

func (s Silence) probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: s.ProbeIdle, Interval: s.ProbeInterval, Count: s.Probes}
}

// Control sets all of it on a socket. Its signature is that of net.ListenConfig.Control;
// connections have what their listener had.
func (s Silence) Control(network, address string, raw syscall.RawConn) error {
	options := []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(s.ProbeIdle.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(s.ProbeInterval.Seconds())},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, s.Probes},
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
func (s Silence) limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.Unacknowledged.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Dialer returns a dialer whose connections have all of it.
func (s Silence) Dialer() net.Dialer {
	return net.Dialer{KeepAliveConfig: s.probes(), Control: s.limitUnacknowledged}
}
