// Package traffic counts the bytes sent and received on control connections.
package traffic

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// Counter counts bytes received and sent. The zero value is ready; it is safe for concurrent use.
type Counter struct {
	in  atomic.Int64
	out atomic.Int64
}

// In returns the bytes received.
func (c *Counter) In() int64 { return c.in.Load() }

// Out returns the bytes sent.
func (c *Counter) Out() int64 { return c.out.Load() }

// Wrap returns a connection that counts the bytes of conn.
func (c *Counter) Wrap(conn net.Conn) net.Conn {
	return &countedConn{Conn: conn, counter: c}
}

// Transport returns an HTTP transport that counts the bytes of its connections.
func (c *Counter) Transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return c.Wrap(conn), nil
		},
	}
}

// Register registers the counter with r as laburnumring_control_bytes_total, for the given kind of connection.
func (c *Counter) Register(r prometheus.Registerer, kind string) {
	for direction, read := range map[string]func() int64{"in": c.In, "out": c.Out} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "laburnumring_control_bytes_total",
			Help:        "Bytes of control connections, by kind and direction.",
			ConstLabels: prometheus.Labels{"kind": kind, "direction": direction},
		}, func() float64 { return float64(read()) }))
	}
}

type countedConn struct {
	net.Conn
	counter *Counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(int64(n))
	return n, err
}
