// Package peek looks at a connection without reading from it.
package peek

import (
	"net"
	"syscall"
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
