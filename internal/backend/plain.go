package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/peek"
	"github.com/laburnumring/laburnumring/internal/upstream"
)

// Plain is a client of an ordinary HTTP server.
type Plain struct {
	client
}

var _ laburnumring.Backend = (*Plain)(nil)

// NewPlain returns a client of the server at address.
func NewPlain(address string) *Plain {
	return &Plain{client: newClient(address)}
}

// maxPlainBodyBytes limits the size of an ordinary server's response body.
const maxPlainBodyBytes = 8 << 20

// unitsPerMillisecond is the cost of a plain request in service units for each millisecond that it runs.
const unitsPerMillisecond = 1

// Run implements laburnumring.Backend. Its errors are of type *IncompleteError or *StatusError.
func (p *Plain) Run(ctx context.Context, r laburnumring.BackendRequest, sink laburnumring.AnswerSink) error {
	start := time.Now()
	h := http.Header{}
	if r.Key != "" {
		h.Set(IdempotencyKeyHeader, r.Key)
	}
	resp, err := p.send(ctx, r.Method, r.Path, r, h)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainBodyBytes+1))
	if err != nil {
		return &IncompleteError{Address: p.address, Cause: err}
	}
	if resp.StatusCode >= http.StatusInternalServerError || len(body) > maxPlainBodyBytes {
		return &StatusError{Address: p.address, Status: resp.StatusCode}
	}
	if upstream.EndsWithConnection(resp) {
		if err := p.checkReachable(ctx); err != nil {
			return &IncompleteError{Address: p.address, Cause: err}
		}
	}
	sink.Head(laburnumring.AnswerHead{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Unmarked: upstream.EndsWithConnection(resp),
	})
	sink.Data(body, time.Since(start).Milliseconds()*unitsPerMillisecond)
	return nil
}

// reachTimeout limits the check whether the server is still there.
const reachTimeout = 500 * time.Millisecond

// checkReachable returns an error if the server refuses connections. An answer without a length or chunks ends with its
// connection, and so does one whose server crashes.
func (p *Plain) checkReachable(ctx context.Context) error {
	d := net.Dialer{Timeout: reachTimeout}
	conn, err := peek.DialLasting(ctx, func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", p.address)
	})
	if err != nil {
		return errorx.Decorate(err, "server is gone after an answer without a marked end")
	}
	return conn.Close()
}
