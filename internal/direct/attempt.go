package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/eventstream"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/upstream"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// ending is how an attempt at one server ended.
type ending struct {
	// result is what the attempt says of the server.
	result intake.Result
	// final says that the caller has its answer, or left.
	final bool
	// err is what went wrong, for the log.
	err error
	// answer is a server's failure that may still be passed on; nil without one.
	answer *answer
	// misplaced says that another server has the address.
	misplaced bool
	// retryAfter and reason go to a caller that is refused.
	retryAfter clock.Millis
	reason     string
}

// attempt sends the request to one server and passes its answer on.
func (r *Router) attempt(ctx context.Context, c *call, d intake.Decision) ending {
	conn, err := r.pool.Get(ctx, d.Server.Address)
	if err != nil {
		if ctx.Err() == nil {
			r.o.Logger.Log(event.ServerUnreachable, "id", c.head.ID, "server", d.Server.ID,
				"address", d.Server.Address, "error", err)
			return ending{result: intake.Unreachable, err: err}
		}
		return ending{result: intake.Left, err: err}
	}
	// Closing the connection is what makes a server stop when the caller leaves.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	now := r.o.Clock.Now()
	r.logPlaced(now, c, d)
	out := r.outgoing(now, c, d)
	c.sends++
	if c.sends == 1 {
		r.mu.Lock()
		r.retryCap(c.service).Request(now)
		r.mu.Unlock()
	}
	resp, err := conn.Exchange(out, func(resp *http.Response) bool {
		id := r.o.Dialect.Reply(resp.StatusCode, resp.Header).ID
		return id == "" || id == c.head.ID
	})
	if err != nil {
		return r.broke(ctx, c, d, conn, err)
	}
	reply := r.o.Dialect.Reply(resp.StatusCode, resp.Header)
	if reply.NotRun {
		return r.notRun(conn, resp, d)
	}
	c.mayHaveRun = true
	if resp.StatusCode/100 == 2 && !reply.Sealed {
		_ = conn.Close()
		return ending{result: intake.Failed, err: errors.New("success without the server's seal")}
	}
	if c.route.Stream() && resp.StatusCode == http.StatusOK {
		return r.passStream(ctx, c, d, conn, resp)
	}
	return r.passWhole(ctx, c, d, conn, resp)
}

func (r *Router) logPlaced(now clock.Millis, c *call, d intake.Decision) {
	r.o.Logger.Log(event.RequestPlaced, "id", c.head.ID, "team", c.team, "route", c.route.Name(),
		"server", d.Server.ID, "waited_ms", int64(now-c.arrived), "expected_ms", d.Basis.Expected,
		"queued", d.Basis.Queued, "fresh", d.Basis.Fresh, "running", d.Basis.Running, "served", d.Basis.Served,
		"level", d.Basis.Level, "peer_age_ms", int64(d.Basis.PeerAge), "send", c.sends+1,
		"configuration", r.version())
}

// outgoing returns the request for a server.
func (r *Router) outgoing(now clock.Millis, c *call, d intake.Decision) *http.Request {
	h := c.req.Header.Clone()
	dropHopHeaders(h)
	s := laburnumring.SendHeader{
		Server: d.Server.ID, Team: c.team, Timeout: max(1, c.limit-now), LastEvent: c.head.LastEvent,
	}
	if c.events.Last() != "" {
		s.LastEvent = c.events.Last()
	}
	r.o.Dialect.Send(h, s)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps the library from adding its own.
		h["User-Agent"] = []string{""}
	}
	u := &url.URL{Opaque: c.req.RequestURI}
	if !strings.HasPrefix(c.req.RequestURI, "/") || strings.HasPrefix(c.req.RequestURI, "//") {
		u = c.req.URL
	}
	out := &http.Request{
		Method: c.req.Method, URL: u, Host: c.req.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out
}

// notRun ends an attempt that the server refused.
func (r *Router) notRun(conn *upstream.Conn, resp *http.Response, d intake.Decision) ending {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxWhole))
	if err == nil {
		r.pool.Release(conn, resp)
	} else {
		_ = conn.Close()
	}
	return ending{
		result: intake.NotRun, misplaced: resp.StatusCode == http.StatusMisdirectedRequest,
		err: fmt.Errorf("backend server %s refused: status %d", d.Server.ID, resp.StatusCode),
	}
}

// broke ends an attempt that got no whole answer.
func (r *Router) broke(ctx context.Context, c *call, d intake.Decision, conn *upstream.Conn, err error) ending {
	_ = conn.Close()
	c.mayHaveRun = true
	if ctx.Err() != nil {
		return ending{result: intake.Left, err: err}
	}
	r.suspectServer(c, d)
	return ending{result: intake.Failed, err: err}
}

// breakWindow is how long before it was found dead a server may have broken off the requests that it ran.
const breakWindow = 1500 * clock.Millis(1)

// suspectServer notes that a server broke off a request, and finds out whether it is still there.
func (r *Router) suspectServer(c *call, d intake.Decision) {
	now := r.o.Clock.Now()
	address := d.Server.Address
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks[address] = append(r.breaks[address], broken{fingerprint: c.fingerprint, server: d.Server.ID, at: now})
	if len(r.breaks[address]) > 1 && now-r.breaks[address][len(r.breaks[address])-2].at < breakWindow/10 {
		return
	}
	r.background.Go(func() {
		if err := r.pool.Check(context.Background(), address); err != nil {
			r.died(address, err)
		}
	})
}

// died records that no connection to a server can be made: what it broke off just before may be the cause.
func (r *Router) died(address string, err error) {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.breaks[address] {
		if now-b.at > breakWindow {
			continue
		}
		known := r.suspects.Kind(now, b.fingerprint) == suspect.Suspected
		e := r.suspects.Died(now, b.fingerprint, known)
		r.o.Logger.Log(event.RequestSuspected, "server", b.server, "fingerprint", b.fingerprint,
			"confirmed", e.Kind == suspect.Confirmed, "error", err)
		r.intake.Unreachable(now, b.server)
	}
	delete(r.breaks, address)
}

// Bounds of answers that are held until they are whole.
const (
	maxWhole     = 1 << 20
	streamBuffer = 4 << 10
)

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
	return ending{result: intake.Left, final: true, err: err}
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

// dropHopHeaders removes the headers that concern one connection only.
func dropHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect",
	} {
		h.Del(name)
	}
}
