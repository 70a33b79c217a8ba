package httpserve

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// connLimiter is a listener that limits the open connections and the rate of new ones. While the process has no
// processor time for new connections, it sheds them by closing the wrapped listener for short times, so that the kernel
// resets them. That costs the process nothing, and the callers go to another process at once. Accept returns TCP
// connections as such, so that package peek can examine them.
type connLimiter struct {
	// open reopens the listener; if it is nil, no connections are shed. saturated reports whether the process has no
	// processor time for new connections; nil means never. shedStarted and shedEnded are the functions of Listener.
	open        func() (net.Listener, error)
	saturated   func() bool
	shedStarted func()
	shedEnded   func(time.Duration)
	// busy reports whether the process has little processor time for new connections; nil means never.
	busy func() bool
	// rate limits the new connections; nil means no limit.
	rate *rate.Limiter
	// makeRoom closes a connection that is not in use and reports whether there was one; nil means that none is closed.
	makeRoom func() bool
	// measure returns the meter of a new connection; nil means that heads are not measured.
	measure func() *headMeter
	// slots holds an entry for each open connection; nil means no limit.
	slots chan struct{}
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once

	// openedAt is when the listener was opened. accepted is set once it has accepted a connection since. Only Accept,
	// which one goroutine calls, uses them.
	openedAt time.Time
	accepted bool

	mu sync.Mutex
	// ln is the listener that is open now.
	ln net.Listener
}

const (
	// maxShedTime is the longest time for which new connections are shed, and minOpenTime the shortest for which they
	// are accepted in between, so that a saturated process still accepts a few each second.
	maxShedTime = 200 * time.Millisecond
	minOpenTime = 20 * time.Millisecond
	// shedPollInterval is the time between two checks whether shedding can end, and between two tries to reopen the
	// listener.
	shedPollInterval = 20 * time.Millisecond
	// burstTime is for how long connections may arrive at an unlimited rate. The work that they cause waits for the
	// processor.
	burstTime = 150 * time.Millisecond
	// busyConnCost is how many connections one counts for while the process is busy: the rate is what the process could
	// refuse, and it should serve some of them.
	busyConnCost = 2
)

func newConnLimiter(ln net.Listener, l Listener) *connLimiter {
	cl := &connLimiter{
		ln: ln, open: l.Reopen, saturated: l.Saturated, busy: l.Busy, shedStarted: l.ShedStarted, shedEnded: l.ShedEnded,
		closed: make(chan struct{}), openedAt: time.Now(),
	}
	if l.ConnsPerSecond > 0 {
		cl.rate = rate.NewLimiter(rate.Limit(l.ConnsPerSecond), max(1, int(burstTime.Seconds()*l.ConnsPerSecond)))
	}
	if l.MaxConns > 0 {
		cl.slots = make(chan struct{}, l.MaxConns)
	}
	return cl
}

// Addr implements net.Listener.
func (cl *connLimiter) Addr() net.Addr { return cl.listener().Addr() }

func (cl *connLimiter) listener() net.Listener {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.ln
}

// Accept implements net.Listener.
func (cl *connLimiter) Accept() (net.Conn, error) {
	for cl.open != nil && (cl.atMaxConns() && !cl.closeUnused() || cl.accepted && (time.Since(cl.openedAt) >= minOpenTime || cl.atMaxDebt()) && cl.overloaded()) {
		if err := cl.shed(); err != nil {
			return nil, err
		}
		cl.openedAt, cl.accepted = time.Now(), false
	}
	c, err := cl.accept()
	cl.accepted = true
	if cl.rate != nil && err == nil {
		cl.countConn()
	}
	return c, err
}

// countConn counts a connection against the rate. More connections than the limit arrive while the listener has to be
// open; they count against later ones, up to the size of a burst.
func (cl *connLimiter) countConn() {
	n := 1
	if cl.busy != nil && cl.busy() {
		n = min(busyConnCost, cl.rate.Burst())
	}
	if !cl.atMaxDebt() {
		cl.rate.ReserveN(time.Now(), n)
	}
}

// atMaxDebt reports whether the connections over the rate limit that count against later ones have reached their
// maximum, the size of a burst.
func (cl *connLimiter) atMaxDebt() bool {
	return cl.rate != nil && cl.rate.Tokens() <= -float64(cl.rate.Burst())
}

// atMaxConns reports whether the maximum number of connections is open.
func (cl *connLimiter) atMaxConns() bool { return cl.slots != nil && len(cl.slots) == cap(cl.slots) }

// closeUnused closes a connection that is not in use and reports whether there was one.
func (cl *connLimiter) closeUnused() bool { return cl.makeRoom != nil && cl.makeRoom() }

// overloaded reports whether new connections are to be shed because of processor time or of their rate.
func (cl *connLimiter) overloaded() bool {
	return cl.saturated != nil && cl.saturated() || cl.rate != nil && cl.rate.Tokens() < 1
}

// shed closes the listener until new connections can be accepted again, for at most maxShedTime, and then reopens it.
func (cl *connLimiter) shed() error {
	_ = cl.listener().Close()
	if cl.shedStarted != nil {
		cl.shedStarted()
	}
	began := time.Now()
	if cl.shedEnded != nil {
		defer func() { cl.shedEnded(time.Since(began)) }()
	}
	for end := began.Add(maxShedTime); time.Now().Before(end) && (cl.overloaded() || cl.atMaxConns()); {
		time.Sleep(shedPollInterval)
	}
	for {
		ln, err := cl.open()
		if err == nil {
			return cl.replace(ln)
		}
		select {
		case <-cl.closed:
			return net.ErrClosed
		case <-time.After(shedPollInterval):
		}
	}
}

// replace installs a new listener, unless the limiter was closed in the meantime.
func (cl *connLimiter) replace(ln net.Listener) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	select {
	case <-cl.closed:
		_ = ln.Close()
		return net.ErrClosed
	default:
	}
	cl.ln = ln
	return nil
}

// accept waits for a free slot and returns the next connection.
func (cl *connLimiter) accept() (net.Conn, error) {
	if !cl.takeSlot() {
		return nil, net.ErrClosed
	}
	c, err := cl.listener().Accept()
	if err != nil {
		cl.freeSlot()
		return nil, err
	}
	if cl.slots == nil && cl.measure == nil {
		return c, nil
	}
	head := &headMeter{}
	if cl.measure != nil {
		head = cl.measure()
	}
	free := sync.OnceFunc(func() {
		head.close()
		cl.freeSlot()
	})
	if tcp, ok := c.(*net.TCPConn); ok {
		return &limitedTCPConn{TCPConn: tcp, head: head, free: free}, nil
	}
	return &limitedConn{Conn: c, head: head, free: free}, nil
}

// takeSlot waits for a free slot. It closes unused connections if there is none, and returns false after Close.
func (cl *connLimiter) takeSlot() bool {
	if cl.slots == nil {
		return true
	}
	for {
		var retry <-chan time.Time
		if cl.atMaxConns() && cl.makeRoom != nil {
			cl.makeRoom()
			retry = time.After(shedPollInterval)
		}
		select {
		case cl.slots <- struct{}{}:
			return true
		case <-cl.closed:
			return false
		case <-retry:
		}
	}
}

func (cl *connLimiter) freeSlot() {
	if cl.slots != nil {
		<-cl.slots
	}
}

// Close implements net.Listener.
func (cl *connLimiter) Close() error {
	cl.closeOnce.Do(func() { close(cl.closed) })
	if err := cl.listener().Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// limitedTCPConn measures the heads of its requests, and frees its slot when it is closed.
type limitedTCPConn struct {
	*net.TCPConn
	head *headMeter
	free func()
}

// Read implements net.Conn.
func (c *limitedTCPConn) Read(p []byte) (int, error) { return c.head.read(c.TCPConn, p) }

func (c *limitedTCPConn) meter() *headMeter { return c.head }

// Close implements net.Conn.
func (c *limitedTCPConn) Close() error {
	defer c.free()
	return c.TCPConn.Close()
}

// limitedConn is limitedTCPConn for connections of other types.
type limitedConn struct {
	net.Conn
	head *headMeter
	free func()
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) { return c.head.read(c.Conn, p) }

func (c *limitedConn) meter() *headMeter { return c.head }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.free()
	return c.Conn.Close()
}
