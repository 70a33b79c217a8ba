// Package peek looks at a connection without reading from it.
package peek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a look found.
type State int

// The states of a connection.
const (
	// Quiet is open with nothing to read.
	Quiet State = iota + 1
	// Readable has something to read.
	Readable
	// Closed was closed by its peer, or failed.
	Closed
)

// HungUp reports whether the peer has closed its side or the connection failed, also where something is left to read.
func HungUp(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	fds := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err = raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		// After an error nothing is known, and the connection's next use tells.
		_, _ = unix.Poll(fds, 0)
	})
	return err != nil || fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Look returns the state of a connection. One that cannot be looked at counts as quiet.
func Look(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			state = Quiet
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
