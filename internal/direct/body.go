package direct

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/laburnumring/laburnumring/internal/ingress"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Limits of bodies that the configuration does not limit.
const (
	defaultMaxBody = 8 << 20
	// defaultBodyPause is how long a body may pause where the configuration has no idle timeout.
	defaultBodyPause = 20 * clock.Second
)

// bodyReader reads a request's body. Each read must bring something within pause, and the body must end by end.
type bodyReader struct {
	from  io.Reader
	t     *ingress.Transfer
	out   *http.ResponseController
	pause time.Duration
	end   time.Time
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	limit := time.Now().Add(b.pause)
	if limit.After(b.end) {
		limit = b.end
	}
	if err := b.out.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	// An eviction from now on sets a deadline that has passed.
	if b.t.Evicted() {
		return 0, os.ErrDeadlineExceeded
	}
	return b.from.Read(p)
}

// readBody reads a request's body and charges its memory. If that fails, it returns the status and reason of the
// rejection; nothing has been sent to a server then. Status 0 means success.
//
// A body may take as long as its route, and pause as long as a connection may be idle, so no caller within the
// configuration's limits is rejected as slow. A higher minimum rate would reject callers on slow links.
func (r *Router) readBody(c *call, l routing.Limits) (status int, reason string) {
	if c.req.ContentLength == 0 || c.req.Body == nil || c.req.Body == http.NoBody {
		return 0, ""
	}
	limit := l.BodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	if c.req.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, "body_too_long"
	}
	pause := l.IdleTimeout
	if pause == 0 {
		pause = defaultBodyPause
	}
	out := http.NewResponseController(c.w)
	t := r.o.Account.Open(ingress.Body)
	c.bodyTransfer = t
	total := c.req.ContentLength
	if total < 0 {
		total = limit
	}
	t.Start(total, func() { _ = out.SetReadDeadline(time.Unix(1, 0)) })
	err := c.body.Read(&bodyReader{
		from: http.MaxBytesReader(c.w, c.req.Body, limit), t: t, out: out, pause: pause.Duration(),
		end: time.Now().Add(c.routeTimeout().Duration()),
	}, c.req.ContentLength, t)
	if evicted := t.Settle(); evicted != nil {
		err = evicted
	}
	if err == nil {
		_ = out.SetReadDeadline(time.Time{})
		return 0, ""
	}
	c.body.Release()
	t.Release()
	return r.bodyError(c, err)
}

// bodyError returns the rejection of a request whose body could not be read. The connection cannot be used again.
func (r *Router) bodyError(c *call, err error) (status int, reason string) {
	c.w.Header().Set("Connection", "close")
	var tooLong *http.MaxBytesError
	var full *ingress.FullError
	switch {
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge, "body_too_long"
	case errors.As(err, &full) && full.Evicted:
		return http.StatusServiceUnavailable, "body_evicted"
	case errors.As(err, &full):
		// A router that stays at this limit leaves the rotation like one without processor time.
		r.ShedStarted()
		return http.StatusServiceUnavailable, "router_full"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "body_slow"
	default:
		return http.StatusBadRequest, "body_broken"
	}
}
