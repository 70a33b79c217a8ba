// Package partition provides a TCP proxy that simulates network faults: partitions, latency, lost data and resets.
package partition

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to one address. It is safe for concurrent use.
type Proxy struct {
	target string
	ln     net.Listener
	// wg owns the goroutines of the listener and the connections.
	wg sync.WaitGroup

	mu sync.Mutex
	// cut is set while new connections are closed at once.
	cut bool
	// delay is the time by which each chunk of data is delayed.
	delay time.Duration
	// silent is set while data from the target is dropped: the connection stays open, but the client receives
	// nothing.
	silent bool
	// conns holds both ends of each connection.
	conns map[net.Conn]bool
}

// New returns a running proxy that accepts connections on ln and forwards them to the address target.
func New(ln net.Listener, target string) *Proxy {
	p := &Proxy{target: target, ln: ln, conns: make(map[net.Conn]bool)}
	p.wg.Go(p.accept)
	return p
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// SetCut starts or ends a partition. Starting it closes all connections; until it ends, new ones are closed at once.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

// SetDelay delays each chunk of data read from now on by d, in both directions.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetSilent starts or stops dropping the data that the target sends. A connection on which data was dropped stays
// silent until it is closed; only other connections carry the target's data again.
func (p *Proxy) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the listener, closes all connections and waits for their goroutines.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.SetCut(true)
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forward(c) })
	}
}

// forward copies data between client and the target until either side closes its connection.
func (p *Proxy) forward(client net.Conn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	if !p.track(target) {
		return
	}
	defer p.untrack(target)
	var wg sync.WaitGroup
	wg.Go(func() {
		p.copy(target, client, false)
		_ = target.Close()
	})
	p.copy(client, target, true)
	_ = client.Close()
	wg.Wait()
}

// copy copies data with the current faults applied; fromTarget is set for the direction from the target to the client.
func (p *Proxy) copy(to io.Writer, from io.Reader, fromTarget bool) {
	buf := make([]byte, copyBufferSize)
	silenced := false
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		delay := p.delay
		silenced = silenced || fromTarget && p.silent
		p.mu.Unlock()
		if n > 0 && !silenced {
			time.Sleep(delay)
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

const copyBufferSize = 16 << 10

// track adds c to the open connections and returns true. During a partition it closes c and returns false.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

// untrack closes c and removes it from the open connections.
func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}
