package httpserve

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// gate bounds the open connections. While the process has no time for new ones it closes the listener again and again,
// so that the kernel resets them: that costs the process nothing, and their callers go elsewhere at once. It hands out
// TCP connections as such, so that they can be looked at.
type gate struct {
	// open opens the listener, and full reports whether the process has no time for new connections; nil for never.
	open     func() (net.Listener, error)
	full     func() bool
	refusing func()
	refused  func(time.Duration)
	// busy reports whether the process has little time for new connections; nil for never.
	busy func() bool
	// rate bounds the new connections; nil without a bound.
	rate *rate.Limiter
	// room holds an entry for each open connection; nil without a bound.
	room chan struct{}
	// closed is closed with the gate.
	closed    chan struct{}
	closeOnce sync.Once

	// opened is when the listener was opened, and taken whether it has handed out a connection since; Accept alone, which
	// one goroutine calls, uses them.
	opened time.Time
	taken  bool

	mu sync.Mutex
	// ln is the listener that is open now.
	ln net.Listener
}

const (
	// maxShut is the longest time in which new connections are reset, and minOpen the shortest in which they are taken
	// between two of these: a process that has no time takes a few each second.
	maxShut = 200 * time.Millisecond
	minOpen = 20 * time.Millisecond
	// shutPause is the time between two looks whether there is time again, and between two tries to open the listener.
	shutPause = 20 * time.Millisecond
	// burstTime is how long connections may come at any rate: what they start waits for the processor.
	burstTime = 150 * time.Millisecond
	// busyTokens is how many connections one counts for while there is little time: the rate is what the process could
	// refuse, and it should serve some.
	busyTokens = 2
)

func newGate(ln net.Listener, l Listener) *gate {
	g := &gate{
		ln: ln, open: l.Reopen, full: l.Full, busy: l.Busy, refusing: l.Refusing, refused: l.Refused,
		closed: make(chan struct{}), opened: time.Now(),
	}
	if l.ConnsPerSecond > 0 {
		g.rate = rate.NewLimiter(rate.Limit(l.ConnsPerSecond), max(1, int(burstTime.Seconds()*l.ConnsPerSecond)))
	}
	if l.MaxConns > 0 {
		g.room = make(chan struct{}, l.MaxConns)
	}
	return g
}

// Addr implements net.Listener.
func (g *gate) Addr() net.Addr { return g.listener().Addr() }

func (g *gate) listener() net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ln
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for g.open != nil && (g.roomless() || g.taken && (time.Since(g.opened) >= minOpen || g.indebted()) && g.crowded()) {
		if err := g.shut(); err != nil {
			return nil, err
		}
		g.opened, g.taken = time.Now(), false
	}
	c, err := g.accept()
	g.taken = true
	if g.rate != nil && err == nil {
		g.spend()
	}
	return c, err
}

// spend counts a connection. More than the bound come in while the listener must be open; they count against later ones,
// up to as many as may come at once.
func (g *gate) spend() {
	n := 1
	if g.busy != nil && g.busy() {
		n = min(busyTokens, g.rate.Burst())
	}
	if !g.indebted() {
		g.rate.ReserveN(time.Now(), n)
	}
}

// indebted reports whether as many came beyond the bound as are counted.
func (g *gate) indebted() bool {
	return g.rate != nil && g.rate.Tokens() <= -float64(g.rate.Burst())
}

// roomless reports whether as many connections are open as may be.
func (g *gate) roomless() bool { return g.room != nil && len(g.room) == cap(g.room) }

// crowded reports whether new connections are to be reset now.
func (g *gate) crowded() bool {
	return g.full != nil && g.full() || g.rate != nil && g.rate.Tokens() < 1
}

// shut closes the listener until there is time again, or for maxShut.
func (g *gate) shut() error {
	_ = g.listener().Close()
	if g.refusing != nil {
		g.refusing()
	}
	began := time.Now()
	if g.refused != nil {
		defer func() { g.refused(time.Since(began)) }()
	}
	for end := began.Add(maxShut); time.Now().Before(end) && (g.crowded() || g.roomless()); {
		time.Sleep(shutPause)
	}
	for {
		ln, err := g.open()
		if err == nil {
			return g.replace(ln)
		}
		select {
		case <-g.closed:
			return net.ErrClosed
		case <-time.After(shutPause):
		}
	}
}

// replace takes a new listener, unless the gate was closed meanwhile.
func (g *gate) replace(ln net.Listener) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.closed:
		_ = ln.Close()
		return net.ErrClosed
	default:
	}
	g.ln = ln
	return nil
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
	c, err := g.listener().Accept()
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
	if err := g.listener().Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
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
