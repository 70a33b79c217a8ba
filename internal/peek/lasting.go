package peek

import (
	"context"
	"net"
	"time"

	"github.com/laburnumring/laburnumring/internal/interval"
)

// exitTime is how long the end of a process may take to close its connections and its listener.
const exitTime = 50 * time.Millisecond

// DialLasting makes a connection with dial to a server that has just ended one, and returns an error of dial if that
// server is gone or cannot be reached. A process that ends closes its connections some time before its listener, so the connection must last for a
// while, or another one be possible after that.
func DialLasting(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	c, err := dial(ctx)
	if err != nil {
		return nil, err
	}
	interval.Sleep(ctx, exitTime)
	if Check(c) == Idle {
		return c, nil
	}
	_ = c.Close()
	return dial(ctx)
}
