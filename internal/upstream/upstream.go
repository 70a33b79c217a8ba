// Package upstream keeps connections to backend servers. It sends each request once: nothing here tries again, and
// a connection that is not clean is not used again.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/deadpeer"
	"github.com/laburnumring/laburnumring/internal/peek"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// DialError says that no connection could be made, so that nothing was sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("connect to backend server %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Options are the settings of a Pool.
type Options struct {
	// Clock tells the time.
	Clock laburnumring.Clock
	// DialTimeout bounds the making of a connection; half a second when zero.
	DialTimeout time.Duration
	// IdleLife is how long an idle connection is kept when its server does not say; two seconds when zero.
	IdleLife clock.Millis
	// MaxIdle is the most idle connections to one server for which SetMaxIdle says nothing; 32 when zero.
	MaxIdle int
}

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultIdleLife    = 2 * clock.Second
	defaultMaxIdle     = 32
	// idleMargin is how long before the time that a server names a connection is given up, as the close and the
	// next request may cross.
	idleMargin = 700 * clock.Millis(1)
	// readBuffer fits a response's header and several stream events.
	readBuffer = 2 << 10
	// maxSkipped is how many responses to other requests are read past before a connection is given up, maxSkippedBody how
	// long the bodies may be that are read past, and maxDrain for how long they are read.
	maxSkipped     = 2
	maxSkippedBody = 64 << 10
	maxDrain       = 100 * time.Millisecond
	// maxHead bounds a response's head, interim responses included.
	maxHead = 64 << 10
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	o      Options
	dialer net.Dialer

	mu sync.Mutex
	// idle holds each server's connections, the last used at the end.
	idle map[string][]*Conn
	// maxIdle bounds them by address.
	maxIdle map[string]int
}

// New returns a pool without connections.
func New(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleLife == 0 {
		o.IdleLife = defaultIdleLife
	}
	if o.MaxIdle == 0 {
		o.MaxIdle = defaultMaxIdle
	}
	return &Pool{o: o, idle: make(map[string][]*Conn), dialer: net.Dialer{
		Timeout: o.DialTimeout, KeepAliveConfig: deadpeer.KeepAlive(), Control: deadpeer.Control,
	}}
}

// Conn is a connection to a backend server, used by one request at a time.
type Conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	// head bounds what br reads while a head is read.
	head *headReader
	// idleSince is when the last response ended, and life how long after that the connection may be used.
	idleSince clock.Millis
	life      clock.Millis
}

// Get returns a connection to address, the last used that is clean. Its errors are of type *DialError.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if p.o.Clock.Now()-c.idleSince < c.life && c.br.Buffered() == 0 &&
			peek.Look(c.Conn) == peek.Quiet {
			return c, nil
		}
		_ = c.Close()
	}
}

// Check makes a connection to address and keeps it for the next request.
func (p *Pool) Check(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.Keep(c)
	return nil
}

// Keep keeps a connection on which nothing was sent since it was taken; its time goes on.
func (p *Pool) Keep(c *Conn) {
	if c.idleSince == 0 {
		c.idleSince = p.o.Clock.Now()
	}
	p.put(c)
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	h := &headReader{r: nc, left: unbounded, address: address}
	return &Conn{Conn: nc, address: address, br: bufio.NewReaderSize(h, readBuffer), head: h, life: p.o.IdleLife}, nil
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	list := append(p.idle[c.address], c)
	var oldest *Conn
	most := p.o.MaxIdle
	if n, ok := p.maxIdle[c.address]; ok {
		most = min(most, n)
	}
	if len(list) > most {
		oldest = list[0]
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.address] = list
	p.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

// SetMaxIdle bounds the idle connections by address, as servers take so many from all callers.
func (p *Pool) SetMaxIdle(byAddress map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = byAddress
}

// Prune closes connections that were idle too long.
func (p *Pool) Prune() {
	now := p.o.Clock.Now()
	var old []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now-c.idleSince < c.life {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		clear(list[len(keep):])
		p.idle[address] = keep
		if len(keep) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// Release keeps the connection for later requests when resp was read to its end and left it clean; otherwise it
// closes the connection.
func (p *Pool) Release(c *Conn, resp *http.Response) {
	if resp.Close || c.br.Buffered() > 0 || unframed(resp) {
		_ = c.Close()
		return
	}
	c.life = p.o.IdleLife
	if s, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.life = max(0, s-idleMargin)
	}
	c.idleSince = p.o.Clock.Now()
	p.put(c)
}

// unframed reports whether a response ends with its connection.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(v string) (clock.Millis, bool) {
	for field := range strings.SplitSeq(v, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return clock.Millis(s) * clock.Second, true
		}
	}
	return 0, false
}

// Exchange sends req once and reads the head of its response. Responses for which mine is false answer earlier
// requests of the connection and are read past. After an error it is not known whether the request ran.
func (c *Conn) Exchange(req *http.Request, mine func(*http.Response) bool) (*http.Response, error) {
	if err := req.Write(c.Conn); err != nil {
		return nil, err
	}
	for range maxSkipped + 1 {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if mine(resp) {
			return resp, nil
		}
		if !drain(resp) {
			break
		}
	}
	return nil, &ForeignError{Address: c.address}
}

// drain reads a body to its end. It returns false when that is too long or broken.
func drain(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody+1))
	return err == nil && n <= maxSkippedBody
}

// Drain reads past the body of a response that nobody needs and keeps the connection, unless the body is long, slow or
// broken.
func (p *Pool) Drain(c *Conn, resp *http.Response) {
	if c.SetReadDeadline(time.Now().Add(maxDrain)) != nil || !drain(resp) || c.SetReadDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.Release(c, resp)
}

// ForeignError says that a server sent responses to other requests only.
type ForeignError struct {
	Address string
}

// Error implements error.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("backend server %s answered other requests", e.Address)
}

// readHead reads a response's head and passes over interim ones.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	c.head.left = maxHead
	defer func() { c.head.left = unbounded }()
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}
