package measure

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Ports hands out loopback addresses from a range, in turn. It is safe for concurrent use.
type Ports struct {
	first int
	count int

	mu   sync.Mutex
	next int
}

// NewPorts returns the ports from first on.
func NewPorts(first, count int) *Ports {
	return &Ports{first: first, count: count}
}

// Listen returns a listener at the next address whose port is free.
func (p *Ports) Listen() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.count {
		address := fmt.Sprintf("127.0.0.1:%d", p.first+p.next%p.count)
		p.next++
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return ln, nil
		}
	}
	return nil, &noPortError{First: p.first, Count: p.count}
}

// Next returns the next address whose port is free. No process is forked meanwhile, as a child would hold the
// probing socket open until it runs its program.
func (p *Ports) Next() (string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := p.Listen()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// noPortError reports a range without a free port.
type noPortError struct {
	// First and Count are the range.
	First int
	Count int
}

// Error implements error.
func (e *noPortError) Error() string {
	return fmt.Sprintf("no free port from %d to %d", e.First, e.First+e.Count-1)
}
