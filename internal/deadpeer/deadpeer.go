// Package deadpeer configures sockets so that a peer that disappeared without closing its connections is noticed within
// seconds.
package deadpeer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of a silent peer. Even over a slow link or one that loses packets, a peer answers within a second.
const (
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
	userTimeout       = 2500 * time.Millisecond
)

// KeepAlive returns the keep-alive probes for idle connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// ControlListener configures a listener so that the connections that it accepts use the same probes and timeout. It can
// be used as net.ListenConfig.Control.
func ControlListener(network, address string, c syscall.RawConn) error {
	if err := Control(network, address, c); err != nil {
		return err
	}
	var setErr error
	err := c.Control(func(fd uintptr) {
		for _, o := range []struct{ level, name, value int }{
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds())},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveCount},
		} {
			setErr = errors.Join(setErr, unix.SetsockoptInt(int(fd), o.level, o.name, o.value))
		}
	})
	return errors.Join(err, setErr)
}

// Control limits how long sent data may stay unacknowledged. It can be used as the Control function of net.Dialer and
// net.ListenConfig.
func Control(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
