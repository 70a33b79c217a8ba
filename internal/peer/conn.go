package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync/atomic"
)

// Counter counts the bytes of control connections.
type Counter struct {
	in  atomic.Int64
	out atomic.Int64
}

// In returns the bytes received.
func (c *Counter) In() int64 { return c.in.Load() }

// Out returns the bytes sent.
func (c *Counter) Out() int64 { return c.out.Load() }

// Wrap returns conn with its bytes counted.
func (c *Counter) Wrap(conn net.Conn) net.Conn {
	return &countedConn{Conn: conn, c: c}
}

type countedConn struct {
	net.Conn
	c *Counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.c.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.c.out.Add(int64(n))
	return n, err
}

// connected is the status line by which a server agrees to speak net/rpc.
const connected = "200 Connected to Go RPC"

// Dial opens a net/rpc connection to the agent at address. A nil cfg means no TLS.
func Dial(ctx context.Context, address string, cfg *tls.Config, c *Counter) (*rpc.Client, error) {
	conn, err := dialConn(ctx, address, cfg)
	if err != nil {
		return nil, fmt.Errorf("dial agent %s: %w", address, err)
	}
	conn = c.Wrap(conn)
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if err := connect(conn); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open rpc to agent %s: %w", address, err)
	}
	_ = conn.SetDeadline(noDeadline)
	return rpc.NewClient(conn), nil
}

func dialConn(ctx context.Context, address string, cfg *tls.Config) (net.Conn, error) {
	if cfg == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: cfg}).DialContext(ctx, "tcp", address)
}

func connect(conn net.Conn) error {
	if _, err := io.WriteString(conn, "CONNECT "+RPCPath+" HTTP/1.0\n\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.Status != connected {
		return fmt.Errorf("unexpected status %q", resp.Status)
	}
	return nil
}

// Serve answers a CONNECT request with calls to server until the connection ends.
func Serve(w http.ResponseWriter, r *http.Request, server *rpc.Server, c *Counter) {
	if r.Method != http.MethodConnect {
		http.Error(w, "CONNECT is required", http.StatusMethodNotAllowed)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "the connection cannot be taken over", http.StatusInternalServerError)
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.0 "+connected+"\n\n"); err != nil {
		_ = conn.Close()
		return
	}
	server.ServeConn(c.Wrap(conn))
}
