// Package cutproxy stands in for a network that breaks connections.
package cutproxy

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to one address and cuts them on command. It is safe for concurrent use.
type Proxy struct {
	ln     net.Listener
	target string
	// conns owns the goroutines of the connections.
	conns sync.WaitGroup

	mu sync.Mutex
	// mark and after say which connection to cut: the next whose client sends mark, once the server has sent
	// after bytes on it; mark is empty when there is none to cut.
	mark  []byte
	after int
}

// New returns a proxy that listens on a free port of the loopback interface.
func New(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target}
	p.conns.Go(p.accept)
	return p, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Cut cuts the next connection whose client sends mark, once the server has sent after bytes on it from then.
func (p *Proxy) Cut(mark string, after int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mark = []byte(mark)
	p.after = after
}

// Close ends the listener; connections end when either side closes them.
func (p *Proxy) Close() error { return p.ln.Close() }

func (p *Proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &leg{p: p, client: client, server: server, left: -1}
		p.conns.Go(func() { l.copy(server, client, l.sent) })
		p.conns.Go(func() { l.copy(client, server, l.received) })
	}
}

// leg is one forwarded connection.
type leg struct {
	p      *Proxy
	client net.Conn
	server net.Conn

	mu sync.Mutex
	// left is how many bytes the server may still send; negative when there is no limit.
	left int
}

// copy forwards until either side ends; pass returns how much of a piece goes through and whether to go on.
func (l *leg) copy(dst io.Writer, src io.Reader, pass func([]byte) (int, bool)) {
	defer func() { _ = l.client.Close() }()
	defer func() { _ = l.server.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		n, goOn := pass(buf[:n])
		if _, werr := dst.Write(buf[:n]); werr != nil || err != nil || !goOn {
			return
		}
	}
}

func (l *leg) sent(data []byte) (int, bool) {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	if len(l.p.mark) > 0 && bytes.Contains(data, l.p.mark) {
		l.p.mark = nil
		l.mu.Lock()
		l.left = l.p.after
		l.mu.Unlock()
	}
	return len(data), true
}

func (l *leg) received(data []byte) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left < 0 {
		return len(data), true
	}
	n := min(l.left, len(data))
	l.left -= n
	return n, l.left > 0
}
