package httpserve

import (
	"net"
	"sync"

	"golang.org/x/time/rate"
)

// gate bounds the open connections, and resets new ones unread while the process has no time for them: their callers
// go elsewhere at once. It hands out TCP connections as such, so that they can be looked at.
type gate struct {
	net.Listener
	// full reports whether the process has no time for new connections; nil for never. Some are taken in any case.
	full func() bool
	some *rate.Limiter
	// room holds an entry for each open connection; nil without a bound.
	room chan struct{}
	// closed is closed with the listener.
	closed    chan struct{}
	closeOnce sync.Once
}

// somePerSecond is how many new connections are taken in a second by a process that has no time for them, so that it
// is seen to work.
const somePerSecond = 20

func newGate(ln net.Listener, maxConns int, full func() bool) *gate {
	g := &gate{
		Listener: ln, full: full, some: rate.NewLimiter(somePerSecond, 1), closed: make(chan struct{}),
	}
	if maxConns > 0 {
		g.room = make(chan struct{}, maxConns)
	}
	return g
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.accept()
		if err != nil || g.full == nil || !g.full() || g.some.Allow() {
			return c, err
		}
		if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
			// Closing resets the connection in any case where something is unread.
			_ = l.SetLinger(0)
		}
		_ = c.Close()
	}
}

// accept returns the next connection when there is room.
func (g *gate) accept() (net.Conn, error) {
	if g.room != nil {
		select {
		case g.room <- struct{}{}:
		case <-g.closed:
			return nil, net.ErrClosed
		}
	}
	c, err := g.Listener.Accept()
	if g.room == nil {
		return c, err
	}
	if err != nil {
		<-g.room
		return nil, err
	}
	leave := sync.OnceFunc(func() { <-g.room })
	if tcp, ok := c.(*net.TCPConn); ok {
		return &boundedTCPConn{TCPConn: tcp, leave: leave}, nil
	}
	return &boundedConn{Conn: c, leave: leave}, nil
}

// Close implements net.Listener.
func (g *gate) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	return g.Listener.Close()
}

// boundedTCPConn makes room when it is closed.
type boundedTCPConn struct {
	*net.TCPConn
	leave func()
}

// Close implements net.Conn.
func (c *boundedTCPConn) Close() error {
	defer c.leave()
	return c.TCPConn.Close()
}

// boundedConn is boundedTCPConn for other connections.
type boundedConn struct {
	net.Conn
	leave func()
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	defer c.leave()
	return c.Conn.Close()
}
