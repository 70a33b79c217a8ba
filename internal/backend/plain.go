package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/laburnumring/laburnumring"
)

// Plain speaks to an ordinary HTTP server.
type Plain struct {
	client
}

var _ laburnumring.Backend = (*Plain)(nil)

// NewPlain returns a client of the server at address.
func NewPlain(address string) *Plain {
	return &Plain{client: newClient(address)}
}

// maxPlainAnswer bounds an ordinary server's answer.
const maxPlainAnswer = 8 << 20

// unitsPerMilli is the service that a plain request is charged for each millisecond that it runs.
const unitsPerMilli = 1

// Run implements laburnumring.Backend. Its errors are of type *DiedError or *StatusError.
func (p *Plain) Run(ctx context.Context, r laburnumring.BackendRequest, sink laburnumring.AnswerSink) error {
	start := time.Now()
	h := http.Header{}
	if r.Key != "" {
		h.Set(KeyHeader, r.Key)
	}
	resp, err := p.send(ctx, r.Method, r.Path, r, h)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswer+1))
	if err != nil {
		return &DiedError{Address: p.address, Cause: err}
	}
	if resp.StatusCode >= http.StatusInternalServerError || len(body) > maxPlainAnswer {
		return &StatusError{Address: p.address, Status: resp.StatusCode}
	}
	sink.Head(resp.StatusCode, resp.Header.Get("Content-Type"))
	sink.Data(body, time.Since(start).Milliseconds()*unitsPerMilli)
	return nil
}
