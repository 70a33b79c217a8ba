package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// dialOptions say how a client connects.
type dialOptions struct {
	// ethernet limits the segments to the size that an Ethernet has; loopback's are 64 KiB.
	ethernet bool
}

func dial(address string, o dialOptions) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	if o.ethernet {
		d.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460) })
		}
	}
	return d.Dial("tcp", address)
}

// request is what a client sends.
type request struct {
	method, path, id string
	deadlineMs       int
	headers          []string
	body             string
}

func (q request) write(c net.Conn) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nLaburnumring-Attempt-Id: %s\r\nLaburnumring-Deadline-Ms: %d\r\n",
		q.method, q.path, host, q.id, q.deadlineMs)
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	_, err := io.WriteString(c, b.String())
	return err
}

// readAnswer reads the head of an answer.
func readAnswer(br *bufio.Reader, method string) (*http.Response, error) {
	return http.ReadResponse(br, &http.Request{Method: method})
}

// readSlowly reads a body at a steady pace: so many bytes at a time, with a pause after each.
func readSlowly(body io.Reader, chunk int64, every time.Duration) (int64, error) {
	var n int64
	for {
		m, err := io.CopyN(io.Discard, body, chunk)
		n += m
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		time.Sleep(every)
	}
}
