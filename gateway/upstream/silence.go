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
	ProbeIdle      time.Duration // a connection is probed after so long without bytes
	ProbeInterval  time.Duration // between probes
	Probes         int           // that are lost in a row
}

// Watch lets the kernel end the connection when it has gone silent.
func (s Silence) Watch(c *net.TCPConn) error {
	if err := c.SetKeepAliveConfig(s.probes()); err != nil {
		return errors.Wrap(err, "upstream: probes")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "upstream: watch connection")
	}
	return s.control("", "", raw)
}

func (s Silence) probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: s.ProbeIdle, Interval: s.ProbeInterval, Count: s.Probes}
}

// control bounds how long written bytes may stay unacknowledged. Its signature is that of
// net.Dialer.Control.
func (s Silence) control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.Unacknowledged.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}
