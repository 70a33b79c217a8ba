// Package deadpeer sets sockets so that a peer that vanished without a word is noticed within seconds.
package deadpeer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a silent peer counts as gone. A link that is slow or loses packets answers within a second.
const (
	idle           = 1 * time.Second
	interval       = 1 * time.Second
	count          = 2
	unacknowledged = 2500 * time.Millisecond
)

// KeepAlive returns the probing of idle connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: count}
}

// ControlListener sets a listener so that the connections that it accepts are probed and bounded alike.
func ControlListener(network, address string, c syscall.RawConn) error {
	if err := Control(network, address, c); err != nil {
		return err
	}
	var setErr error
	err := c.Control(func(fd uintptr) {
		for _, o := range []struct{ level, name, value int }{
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(idle.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(interval.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, count},
		} {
			setErr = errors.Join(setErr, unix.SetsockoptInt(int(fd), o.level, o.name, o.value))
		}
	})
	return errors.Join(err, setErr)
}

// Control bounds how long sent data may stay unacknowledged. It fits net.Dialer and net.ListenConfig.
func Control(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
