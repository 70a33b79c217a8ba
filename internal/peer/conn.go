package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/traffic"
)

// connectedStatus is the status with which a server accepts a net/rpc connection.
const connectedStatus = "200 Connected to Go RPC"

// Dial opens a router's net/rpc connection to the agent at address. Its bytes are counted in c. A nil cfg means
// no TLS.
func Dial(ctx context.Context, address string, cfg *tls.Config, c *traffic.Counter) (*rpc.Client, error) {
	return dial(ctx, address, RPCPath, cfg, c)
}

// DialOperator opens an operator's net/rpc connection to the agent at address. Its bytes are counted in c. A nil
// cfg means no TLS.
func DialOperator(ctx context.Context, address string, cfg *tls.Config, c *traffic.Counter) (*rpc.Client, error) {
	return dial(ctx, address, OperatorPath, cfg, c)
}

func dial(ctx context.Context, address, path string, cfg *tls.Config, c *traffic.Counter) (*rpc.Client, error) {
	conn, err := dialConn(ctx, address, cfg)
	if err != nil {
		return nil, errorx.Decorate(err, "dial agent %s", address)
	}
	conn = c.Wrap(conn)
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if err := upgradeToRPC(conn, path); err != nil {
		_ = conn.Close()
		return nil, errorx.Decorate(err, "open rpc to agent %s", address)
	}
	_ = conn.SetDeadline(time.Time{})
	return rpc.NewClient(conn), nil
}

func dialConn(ctx context.Context, address string, cfg *tls.Config) (net.Conn, error) {
	d := Dialer(cfg, 0)
	if cfg == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: d, Config: cfg}).DialContext(ctx, "tcp", address)
}

// Dialer returns a dialer for connections that use cfg. If cfg is nil, the dialer connects only to loopback
// addresses; for others its error is of type *InsecureAddressError.
func Dialer(cfg *tls.Config, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if cfg == nil {
		d.Control = loopbackOnly
	}
	return d
}

func loopbackOnly(_, address string, _ syscall.RawConn) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Unmap().IsLoopback() {
		return &InsecureAddressError{Address: address}
	}
	return nil
}

// InsecureAddressError reports an address to which connections without TLS are not allowed.
type InsecureAddressError struct {
	// Address is the IP address and port.
	Address string
}

// Error implements error.
func (e *InsecureAddressError) Error() string {
	return fmt.Sprintf("address %s is not loopback and there is no TLS", e.Address)
}

func upgradeToRPC(conn net.Conn, path string) error {
	if _, err := io.WriteString(conn, "CONNECT "+path+" HTTP/1.0\n\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.Status != connectedStatus {
		return fmt.Errorf("unexpected status %q", resp.Status)
	}
	return nil
}

// Serve accepts a CONNECT request and serves RPC calls on its connection until the connection ends. The
// connection's bytes are counted in c.
func Serve(w http.ResponseWriter, r *http.Request, server *rpc.Server, c *traffic.Counter) {
	if r.Method != http.MethodConnect {
		http.Error(w, "CONNECT is required", http.StatusMethodNotAllowed)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "the connection cannot be taken over", http.StatusInternalServerError)
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.0 "+connectedStatus+"\n\n"); err != nil {
		_ = conn.Close()
		return
	}
	server.ServeConn(c.Wrap(conn))
}
