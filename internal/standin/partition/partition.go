// Package partition passes TCP connections on until it is told to cut them, as a network partition does.
package partition

import (
	"io"
	"net"
	"sync"
)

// Proxy passes connections on to one address. It is safe for concurrent use.
type Proxy struct {
	target string
	ln     net.Listener
	// work owns the goroutines of the listener and the connections.
	work sync.WaitGroup

	mu sync.Mutex
	// cut says that connections are refused.
	cut bool
	// open holds both ends of each connection.
	open map[net.Conn]bool
}

// New returns a running proxy that listens on ln for target.
func New(ln net.Listener, target string) *Proxy {
	p := &Proxy{target: target, ln: ln, open: make(map[net.Conn]bool)}
	p.work.Go(p.accept)
	return p
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// SetCut closes all connections and refuses new ones, or takes them again.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for c := range p.open {
		_ = c.Close()
	}
}

// Close ends the proxy and its connections and waits for them.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.SetCut(true)
	p.work.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.work.Go(func() { p.pass(c) })
	}
}

// pass connects c with the target until one side ends.
func (p *Proxy) pass(c net.Conn) {
	if !p.hold(c) {
		return
	}
	defer p.drop(c)
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	if !p.hold(t) {
		return
	}
	defer p.drop(t)
	var half sync.WaitGroup
	half.Go(func() {
		_, _ = io.Copy(t, c)
		_ = t.Close()
	})
	_, _ = io.Copy(c, t)
	_ = c.Close()
	half.Wait()
}

// hold keeps a connection, or closes it while the proxy is cut.
func (p *Proxy) hold(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		_ = c.Close()
		return false
	}
	p.open[c] = true
	return true
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	_ = c.Close()
}
