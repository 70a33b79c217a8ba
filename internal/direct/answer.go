package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/laburnumring/laburnumring/internal/eventstream"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/upstream"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Bounds of answers that are held until they are whole.
const (
	maxWhole     = 1 << 20
	streamBuffer = 4 << 10
	// maxEvent bounds what of a stream is held until its event ends.
	maxEvent = 64 << 10
)

// AnswerTooLongError says that more bytes came than an answer's failure or one event may take.
type AnswerTooLongError struct {
	Server string
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *AnswerTooLongError) Error() string {
	return fmt.Sprintf("answer of backend server %s is longer than %d bytes", e.Server, e.Limit)
}

// answer is a server's whole answer.
type answer struct {
	resp *http.Response
	body []byte
}

// write passes the answer on.
func (a *answer) write(c *call) {
	c.commit(a.resp)
	h := c.w.Header()
	if c.req.Method != http.MethodHead && a.resp.StatusCode != http.StatusNoContent {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.w.WriteHeader(a.resp.StatusCode)
	if _, err := c.w.Write(a.body); err != nil && c.req.Method != http.MethodHead {
		c.result = resultLeft
	}
}

// passWhole reads an answer to its end before it passes it on, so that a broken one can be asked for again.
func (r *Router) passWhole(
	ctx context.Context, c *call, d intake.Decision, conn *upstream.Conn, resp *http.Response,
) ending {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole))
	if err != nil {
		return r.broke(ctx, c, d, conn, err)
	}
	if len(body) == maxWhole {
		if resp.StatusCode >= http.StatusInternalServerError {
			return r.broke(ctx, c, d, conn, &AnswerTooLongError{Server: d.Server.ID, Limit: maxWhole})
		}
		return r.passLong(ctx, c, d, conn, resp, body)
	}
	r.pool.Release(conn, resp)
	r.started(c)
	a := &answer{resp: resp, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		return ending{
			result: intake.Failed, answer: a, err: fmt.Errorf("backend server's own failure: status %d", resp.StatusCode),
		}
	}
	if c.committed {
		return ending{result: intake.Failed, err: fmt.Errorf("stream resumed with status %d", resp.StatusCode)}
	}
	c.result = resultWhole
	a.write(c)
	return ending{result: intake.Whole, final: true}
}

// passLong passes on an answer that is too long to be held.
func (r *Router) passLong(
	ctx context.Context, c *call, d intake.Decision, conn *upstream.Conn, resp *http.Response, begin []byte,
) ending {
	r.started(c)
	c.commit(resp)
	c.w.WriteHeader(resp.StatusCode)
	if _, err := c.w.Write(begin); err != nil {
		_ = conn.Close()
		return c.left(err)
	}
	if _, err := io.Copy(c.w, resp.Body); err != nil {
		e := r.broke(ctx, c, d, conn, err)
		c.result = resultFailed
		e.final = true
		return e
	}
	r.pool.Release(conn, resp)
	c.result = resultWhole
	return ending{result: intake.Whole, final: true}
}

// left ends an attempt whose caller went away.
func (c *call) left(err error) ending {
	c.result = resultLeft
	c.committed = true
	return ending{result: intake.Abandoned, final: true, err: err}
}

// buffers holds the buffers of streams that ended.
var buffers = sync.Pool{New: func() any { return new([streamBuffer]byte) }}

// passStream passes on a stream's whole events as they come.
func (r *Router) passStream(
	ctx context.Context, c *call, d intake.Decision, conn *upstream.Conn, resp *http.Response,
) ending {
	buf, _ := buffers.Get().(*[streamBuffer]byte)
	defer buffers.Put(buf)
	out := http.NewResponseController(c.w)
	c.events.Restart()
	var last clock.Millis
	for {
		n, err := resp.Body.Read(buf[:])
		whole := c.events.Feed(buf[:n])
		if len(c.events.Rest()) > maxEvent {
			return r.broke(ctx, c, d, conn, &AnswerTooLongError{Server: d.Server.ID, Limit: maxEvent})
		}
		if errors.Is(err, io.EOF) {
			whole = append(whole, c.events.Rest()...)
		}
		if len(whole) > 0 || errors.Is(err, io.EOF) {
			last = r.progressed(c, whole, last)
			if werr := c.pass(out, resp, whole); werr != nil {
				_ = conn.Close()
				return c.left(werr)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			r.pool.Release(conn, resp)
			c.result = resultWhole
			return ending{result: intake.Whole, final: true}
		case err != nil:
			return r.broke(ctx, c, d, conn, err)
		}
	}
}

// pass writes events to the caller, after the first server's head.
func (c *call) pass(out *http.ResponseController, resp *http.Response, events []byte) error {
	if !c.committed {
		c.commit(resp)
		c.w.Header().Del("Content-Length")
		c.w.WriteHeader(resp.StatusCode)
	}
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return out.Flush()
}

// commit takes over a response's head as the caller's.
func (c *call) commit(resp *http.Response) {
	c.committed = true
	c.status = resp.StatusCode
	h := c.w.Header()
	closing := h.Get("Connection")
	dropHopHeaders(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			// Keeps the library from adding its own.
			h[name] = nil
		}
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
}

// progressed books events of a stream that came after others at last, 0 before the first, and returns the time.
func (r *Router) progressed(c *call, events []byte, last clock.Millis) clock.Millis {
	if last == 0 {
		r.started(c)
		return r.o.Clock.Now()
	}
	now := r.o.Clock.Now()
	c.pause = max(c.pause, now-last)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intake.Progress(c.seq, eventstream.Count(events), now-last)
	return now
}

// started books the answer's first bytes.
func (r *Router) started(c *call) {
	now := r.o.Clock.Now()
	if c.first == 0 {
		c.first = now
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intake.Started(now, c.seq)
}
