package httpserve

import (
	"net"
	"sync"
	"time"
)

// gate bounds the open connections and lets new ones wait in the kernel, where they cost nothing, while a process has
// no time for them. It hands out TCP connections as such, so that they can be looked at.
type gate struct {
	net.Listener
	busy func() bool
	// room holds an entry for each open connection; nil without a bound.
	room chan struct{}
	// closed is closed with the listener.
	closed    chan struct{}
	closeOnce sync.Once
}

const (
	// gatePause is the time between two looks, and maxGatePause the most that a connection waits here: callers find at
	// least a few accepted in each second.
	gatePause    = 10 * time.Millisecond
	maxGatePause = 200 * time.Millisecond
)

func newGate(ln net.Listener, maxConns int, busy func() bool) *gate {
	g := &gate{Listener: ln, busy: busy, closed: make(chan struct{})}
	if maxConns > 0 {
		g.room = make(chan struct{}, maxConns)
	}
	return g
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for waited := time.Duration(0); g.busy != nil && waited < maxGatePause && g.busy(); waited += gatePause {
		time.Sleep(gatePause)
	}
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
