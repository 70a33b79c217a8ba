package httpserve

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/laburnumring/laburnumring/internal/refusal"
)

// DefaultBodyTimeout is the default time limit for the arrival of a request's body.
const DefaultBodyTimeout = 30 * time.Second

// Guard limits the request bodies of a handler.
type Guard struct {
	// MaxBody is the maximum length of a body in bytes.
	MaxBody int64
	// BodyTimeout limits the time in which a body must arrive; DefaultBodyTimeout if zero.
	BodyTimeout time.Duration
	// Refusals records refused requests; it may be nil.
	Refusals *refusal.Recorder
}

// Wrap returns h with limited request bodies. Reading a body that is too long fails with *http.MaxBytesError, reading
// one that is too slow with an error that matches os.ErrDeadlineExceeded.
func (g Guard) Wrap(h http.Handler) http.Handler {
	if g.BodyTimeout == 0 {
		g.BodyTimeout = DefaultBodyTimeout
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rc := http.NewResponseController(w)
		// An earlier request on the connection may have left a deadline.
		_ = rc.SetWriteDeadline(time.Time{})
		if r.Body != nil && r.Body != http.NoBody {
			_ = rc.SetReadDeadline(time.Now().Add(g.BodyTimeout))
			r.Body = &guardedBody{
				ReadCloser: http.MaxBytesReader(w, r.Body, g.MaxBody),
				rc:         rc,
				refusals:   g.Refusals,
				remote:     r.RemoteAddr,
			}
		}
		h.ServeHTTP(w, r)
	})
}

// guardedBody is a request body that must arrive in time.
type guardedBody struct {
	io.ReadCloser
	rc       *http.ResponseController
	refusals *refusal.Recorder
	remote   string
	// done is set at the body's end, after which the connection has no read deadline.
	done bool
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.done {
		return n, err
	}
	b.done = true
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		b.refusals.Record(refusal.BodyTooLong, b.remote, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.refusals.Record(refusal.BodySlow, b.remote, err)
	case errors.Is(err, io.EOF):
		_ = b.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}
