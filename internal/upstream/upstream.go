// Package upstream pools HTTP/1.1 connections to backend servers. It sends each request once, without retries, and
// reuses a connection only if the response before left it clean.
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

// DialError reports that no connection could be made, so that nothing was sent.
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

// Options configures a Pool.
type Options struct {
	// Clock is the time source.
	Clock laburnumring.Clock
	// DialTimeout limits the time to make a connection; half a second if zero.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if its server does not say; two seconds if zero.
	IdleTimeout clock.Millis
	// MaxIdle is the maximum number of idle connections to a server that SetMaxIdle does not limit further; 32 if zero.
	MaxIdle int
}

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultIdleTimeout = 2 * clock.Second
	defaultMaxIdle     = 32
	// idleMargin is how long before the keep-alive timeout that a server announces its connection is given up, because
	// the server's close and the next request may cross on the way.
	idleMargin = 700 * clock.Millis(1)
	// readBuffer has room for a response's head and several events of a stream.
	readBuffer = 2 << 10
	// maxForeignResponses is how many responses to other requests are skipped before a connection is given up.
	// maxDrainBytes limits each of the bodies that are skipped, and maxDrainTime the time in which Drain reads one.
	maxForeignResponses = 2
	maxDrainBytes       = 64 << 10
	maxDrainTime        = 100 * time.Millisecond
	// maxHead limits a response's head together with the interim responses before it, in bytes.
	maxHead = 64 << 10
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	o      Options
	dialer net.Dialer

	mu sync.Mutex
	// idle holds the idle connections to each server, the most recently used one last.
	idle map[string][]*Conn
	// maxIdle limits their number by address.
	maxIdle map[string]int
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxIdle == 0 {
		o.MaxIdle = defaultMaxIdle
	}
	return &Pool{o: o, idle: make(map[string][]*Conn), dialer: net.Dialer{
		Timeout: o.DialTimeout, KeepAliveConfig: deadpeer.KeepAlive(), Control: deadpeer.Control,
	}}
}

// Conn is a connection to a backend server. It carries one request at a time.
type Conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	// head limits what br reads while it reads a head.
	head *headReader
	// idleSince is when the last response ended. idleTimeout is how long after that the connection may be used.
	idleSince   clock.Millis
	idleTimeout clock.Millis
	// reused is set once a response has been received.
	reused bool
	// dialedAt is when the connection was made, and answeredAt when the first response arrived on it; 0 before.
	dialedAt   clock.Millis
	answeredAt clock.Millis
	clock      laburnumring.Clock
}

// DialedAt returns when the connection was made.
func (c *Conn) DialedAt() clock.Millis { return c.dialedAt }

// AnsweredAt returns when the first response arrived on the connection; 0 before.
func (c *Conn) AnsweredAt() clock.Millis { return c.answeredAt }

// Reused reports whether the connection carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Get returns a connection to address: the most recently used one that is clean, or a new one. Its errors are of type
// *DialError.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if p.o.Clock.Now()-c.idleSince < c.idleTimeout && c.br.Buffered() == 0 &&
			peek.Check(c.Conn) == peek.Idle {
			return c, nil
		}
		_ = c.Close()
	}
}

// Check makes a connection to the address of a server that has just ended one, and keeps it for the next request. It
// returns an error if the server is gone or cannot be reached.
func (p *Pool) Check(ctx context.Context, address string) error {
	nc, err := peek.DialLasting(ctx, func(ctx context.Context) (net.Conn, error) {
		return p.dialer.DialContext(ctx, "tcp", address)
	})
	if err != nil {
		return &DialError{Address: address, Err: err}
	}
	p.Return(p.newConn(nc, address))
	return nil
}

// Return puts a connection back into the pool on which nothing has been sent since Get. Its idle time is not reset.
func (p *Pool) Return(c *Conn) {
	if c.idleSince == 0 {
		c.idleSince = p.o.Clock.Now()
	}
	p.push(c)
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	return p.newConn(nc, address), nil
}

func (p *Pool) newConn(nc net.Conn, address string) *Conn {
	h := &headReader{r: nc, remaining: unlimited, address: address}
	return &Conn{
		Conn: nc, address: address, br: bufio.NewReaderSize(h, readBuffer), head: h, idleTimeout: p.o.IdleTimeout,
		dialedAt: p.o.Clock.Now(), clock: p.o.Clock,
	}
}

func (p *Pool) pop(address string) *Conn {
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

func (p *Pool) push(c *Conn) {
	p.mu.Lock()
	list := append(p.idle[c.address], c)
	var oldest *Conn
	limit := p.o.MaxIdle
	if n, ok := p.maxIdle[c.address]; ok {
		limit = min(limit, n)
	}
	if len(list) > limit {
		oldest = list[0]
		list = append(list[:0], list[1:]...)
	}
	p.idle[c.address] = list
	p.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

// SetMaxIdle limits the idle connections by address, as a server accepts a limited number from all routers together.
func (p *Pool) SetMaxIdle(byAddress map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = byAddress
}

// Prune closes connections that have been idle for too long.
func (p *Pool) Prune() {
	now := p.o.Clock.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		valid := list[:0]
		for _, c := range list {
			if now-c.idleSince < c.idleTimeout {
				valid = append(valid, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(list[len(valid):])
		p.idle[address] = valid
		if len(valid) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Release keeps the connection for later requests if resp was read to its end and left it clean; otherwise it closes
// the connection.
func (p *Pool) Release(c *Conn, resp *http.Response) {
	if resp.Close || c.br.Buffered() > 0 || EndsWithConnection(resp) {
		_ = c.Close()
		return
	}
	c.idleTimeout = p.o.IdleTimeout
	if s, ok := keepAlive(resp.Header.Get("Keep-Alive")); ok {
		c.idleTimeout = max(0, s-idleMargin)
	}
	c.idleSince = p.o.Clock.Now()
	c.reused = true
	p.push(c)
}

// EndsWithConnection reports whether nothing but the end of its connection marks a response's end.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 &&
		(resp.Request == nil || resp.Request.Method != http.MethodHead)
}

// Framing returns what marks a response's end: "length", "chunked" or "connection".
func Framing(resp *http.Response) string {
	switch {
	case EndsWithConnection(resp):
		return "connection"
	case resp.ContentLength >= 0:
		return "length"
	default:
		return "chunked"
	}
}

// keepAlive parses the timeout of a Keep-Alive header.
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

// Exchange sends req once and reads the head of its response. Responses for which matches returns false belong to
// earlier requests on the connection and are skipped. After an error it is not known whether the request ran.
func (c *Conn) Exchange(req *http.Request, matches func(*http.Response) bool) (*http.Response, error) {
	if err := req.Write(c.Conn); err != nil {
		return nil, err
	}
	for range maxForeignResponses + 1 {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if matches(resp) {
			if c.answeredAt == 0 {
				c.answeredAt = c.clock.Now()
			}
			return resp, nil
		}
		if !drain(resp) {
			break
		}
	}
	return nil, &ForeignResponseError{Address: c.address}
}

// drain reads a body to its end. It returns false if the body is too long or broken.
func drain(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes+1))
	return err == nil && n <= maxDrainBytes
}

// Drain reads and discards the body of resp and keeps the connection, unless the body is long, slow or broken.
func (p *Pool) Drain(c *Conn, resp *http.Response) {
	if c.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil || !drain(resp) || c.SetReadDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.Release(c, resp)
}

// ForeignResponseError reports that a server sent only responses to other requests.
type ForeignResponseError struct {
	Address string
}

// Error implements error.
func (e *ForeignResponseError) Error() string {
	return fmt.Sprintf("backend server %s sent only responses to other requests", e.Address)
}

// readHead reads the head of a response and skips interim (1xx) responses.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	c.head.remaining = maxHead
	defer func() { c.head.remaining = unlimited }()
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}
