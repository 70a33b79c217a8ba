// Package cutproxy provides a TCP proxy that closes a chosen connection after a given number of bytes.
package cutproxy

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// Proxy forwards TCP connections to one address and cuts one of them on command. It is safe for concurrent use.
type Proxy struct {
	ln     net.Listener
	target string
	// wg runs the goroutines of the listener and the connections; Close doesn't wait for them.
	wg sync.WaitGroup

	mu sync.Mutex
	// marker identifies the connection to cut: the next one on which the client sends it. It is empty when there is
	// none to cut.
	marker []byte
	// cutAfter is the number of bytes that the server may still send on that connection before it is closed.
	cutAfter int
}

// New returns a running proxy that listens on a free port of the loopback interface and forwards to the address target.
func New(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target}
	p.wg.Go(p.accept)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Cut closes the next connection on which the client sends marker within one read, once the server has sent
// afterBytes bytes on it since then. It replaces an earlier cut that has not been triggered yet.
func (p *Proxy) Cut(marker string, afterBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.marker = []byte(marker)
	p.cutAfter = afterBytes
}

// Close closes the listener. Open connections stay until either side closes them.
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
		c := &connection{proxy: p, client: client, server: server, remaining: -1}
		p.wg.Go(func() { c.copy(server, client, c.filterFromClient) })
		p.wg.Go(func() { c.copy(client, server, c.filterFromServer) })
	}
}

// connection is one forwarded connection.
type connection struct {
	proxy  *Proxy
	client net.Conn
	server net.Conn

	mu sync.Mutex
	// remaining is the number of bytes that the server may still send; it is negative when there is no limit.
	remaining int
}

// copy copies data until either side closes the connection, and then closes both. filter returns how many bytes of a
// chunk to forward and whether to continue.
func (c *connection) copy(dst io.Writer, src io.Reader, filter func([]byte) (int, bool)) {
	defer func() { _ = c.client.Close() }()
	defer func() { _ = c.server.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		n, ok := filter(buf[:n])
		if _, werr := dst.Write(buf[:n]); werr != nil || err != nil || !ok {
			return
		}
	}
}

// filterFromClient forwards everything, and starts to count the server's bytes when data contains the marker.
func (c *connection) filterFromClient(data []byte) (int, bool) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	if len(c.proxy.marker) > 0 && bytes.Contains(data, c.proxy.marker) {
		c.proxy.marker = nil
		c.mu.Lock()
		c.remaining = c.proxy.cutAfter
		c.mu.Unlock()
	}
	return len(data), true
}

// filterFromServer forwards data until the limit is reached.
func (c *connection) filterFromServer(data []byte) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.remaining < 0 {
		return len(data), true
	}
	n := min(c.remaining, len(data))
	c.remaining -= n
	return n, c.remaining > 0
}
