package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/laburnumring/laburnumring"
)

// client is the part that Model and Plain have in common.
type client struct {
	// address is an IP address and port.
	address    string
	httpClient *http.Client
}

func newClient(address string) client {
	return client{address: address, httpClient: &http.Client{Transport: newTransport()}}
}

// send sends r with the given method and path, once. Its errors are of type *IncompleteError.
func (c *client) send(ctx context.Context, method, path string, r laburnumring.BackendRequest, h http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, nil)
	if err != nil {
		return nil, &IncompleteError{Address: c.address, NeverSent: true, Cause: err}
	}
	req.Body = unreplayableBody(r.Body)
	req.ContentLength = int64(len(r.Body))
	req.Header = h
	req.Header.Set(RequestIDHeader, r.ID)
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, &IncompleteError{Address: c.address, NeverSent: isDialError(err), Cause: err}
	}
	return resp, nil
}

// unreplayableBody returns a request body that the transport cannot rewind. The transport would otherwise resend some
// requests by itself when a reused connection turns out to be closed. Even an empty p gives a body, since the transport
// resends requests without one.
func unreplayableBody(p []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(p))
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Probe implements laburnumring.Backend.
func (c *client) Probe(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+HealthPath, nil)
	if err != nil {
		return err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return &IncompleteError{Address: c.address, NeverSent: isDialError(err), Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Address: c.address, Status: resp.StatusCode}
	}
	return nil
}
