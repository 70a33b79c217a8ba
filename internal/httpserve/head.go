package httpserve

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring/internal/ingress"
)

const (
	// freeHead is the part of a head that fits into net/http's read buffer of a connection. Only what is longer is charged.
	freeHead = 4 << 10
	// headFactor is the memory of a byte of a head: its line, and its name and value in the request.
	headFactor = 2
)

// errHeadTooLong is the error of a head that is longer than Listener.MaxHead.
var errHeadTooLong = errors.New("request head too long")

// headTooLongAnswer is sent before the connection of a head that is too long is closed.
const headTooLongAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Connection: close\r\n\r\nhead_too_long\n"

// headMeter measures the request head that a connection is sending, including the empty lines before it. It is safe for
// concurrent use.
type headMeter struct {
	limit    func() int
	transfer *ingress.Transfer
	// answer is set if the connection is not encrypted, so that a refusal can be written to it.
	answer bool

	mu sync.Mutex
	// reading is set between two requests and while a head arrives. size is what has arrived of it, since began.
	reading bool
	size    int
	began   time.Time
	// charged is set once the head holds memory, and closed after the end of the connection.
	charged bool
	closed  bool
}

func newHeadMeter(l Listener) *headMeter {
	return &headMeter{limit: l.MaxHead, transfer: l.Account.Open(ingress.Head), answer: l.TLS == nil, reading: true}
}

// expect begins the next head.
func (m *headMeter) expect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading, m.size, m.charged = true, 0, false
	m.transfer.Release()
}

// complete ends the head. It keeps its memory until the next one is expected.
func (m *headMeter) complete() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading = false
	// The request of a head that was evicted at its end is served, unless its connection has been closed.
	_ = m.transfer.Settle()
}

// close releases the memory at the end of the connection.
func (m *headMeter) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading, m.closed = false, true
	m.transfer.Release()
}

// incomplete reports whether a part of a head has arrived, and since when.
func (m *headMeter) incomplete() (began time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.began, m.reading && m.size > 0
}

// read reads from c for net/http. It fails if the head is too long, or if there is no memory for it.
func (m *headMeter) read(c net.Conn, p []byte) (int, error) {
	n, err := c.Read(p)
	if n == 0 {
		return n, err
	}
	if limited := m.received(c, n); limited != nil {
		if errors.Is(limited, errHeadTooLong) && m.answer {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))
			_, _ = c.Write([]byte(headTooLongAnswer))
		}
		// net/http sends no answer of its own after an error of this type.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: limited}
	}
	return n, err
}

// received counts n bytes.
func (m *headMeter) received(c net.Conn, n int) error {
	m.mu.Lock()
	if !m.reading {
		m.mu.Unlock()
		return nil
	}
	if m.size == 0 {
		m.began = time.Now()
	}
	m.size += n
	limit := 0
	if m.limit != nil {
		limit = m.limit()
	}
	if limit > 0 && m.size > limit {
		m.mu.Unlock()
		return errHeadTooLong
	}
	if m.size <= freeHead {
		m.mu.Unlock()
		return nil
	}
	charge := n
	if !m.charged {
		m.charged, charge = true, m.size
		m.transfer.Start(int64(max(limit, m.size)), func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	}
	m.mu.Unlock()
	// A charge may wait, so it is made without the lock.
	err := m.transfer.Charge(headFactor * int64(charge))
	m.transfer.Moved(int64(charge))
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		m.transfer.Release()
	}
	return err
}

// measured is a connection with a headMeter.
type measured interface{ meter() *headMeter }

// meterOf returns the meter of a connection; nil if it has none.
func meterOf(c net.Conn) *headMeter {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	if m, ok := c.(measured); ok {
		return m.meter()
	}
	return nil
}
