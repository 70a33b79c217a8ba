// Package deadpeer sets sockets so that a peer that vanished without a word is noticed within seconds.
package deadpeer

import (
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
