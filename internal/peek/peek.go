// Package peek examines a connection without reading from it.
package peek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection.
type State int

// The states of a connection.
const (
	// Idle means open without bytes to read.
	Idle State = iota + 1
	// Readable means that there are bytes to read.
	Readable
	// Closed means that the peer has closed the connection or that it failed.
	Closed
)

// HungUp reports whether the peer has closed its side of the connection or the connection failed, even if there are
// bytes left to read.
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
		// An error of Poll says nothing about the connection. If it failed, its next use reports that.
		_, _ = unix.Poll(fds, 0)
	})
	return err != nil || fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Check returns the state of a connection. A connection that cannot be examined counts as idle.
func Check(nc net.Conn) State {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return Idle
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
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
