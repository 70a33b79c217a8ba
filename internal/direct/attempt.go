package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/httpserve"
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

// connect returns a connection to the server once the list that names it is young enough, or how the attempt ended.
func (r *Router) connect(ctx context.Context, c *call, d intake.Decision) (*upstream.Conn, ending) {
	for {
		if !r.awaitList(ctx) {
			if ctx.Err() != nil {
				return nil, ending{result: intake.Left, err: ctx.Err()}
			}
			r.withdraw(c, d, &intake.RefusedError{Reason: "list_old", RetryAfter: rejectRetryAfter})
			return nil, ending{result: intake.NotRun, final: true}
		}
		conn, err := r.pool.Get(ctx, d.Server.Address)
		if err != nil {
			if ctx.Err() == nil {
				r.o.Logger.Log(event.ServerUnreachable, "id", c.head.ID, "server", d.Server.ID,
					"address", d.Server.Address, "error", err)
				return nil, ending{result: intake.Unreachable, err: err}
			}
			return nil, ending{result: intake.Left, err: err}
		}
		if httpserve.CallerGone(c.req.Context()) {
			r.pool.Keep(conn)
			return nil, c.left(errors.New("caller left before the request was sent"))
		}
		if r.listYoung() {
			return conn, ending{}
		}
		// Making the connection took too long.
		r.pool.Keep(conn)
	}
}

// attempt sends the request to one server and passes its answer on.
func (r *Router) attempt(ctx context.Context, c *call, d intake.Decision) ending {
	conn, end := r.connect(ctx, c, d)
	if conn == nil {
		return end
	}
	now := r.o.Clock.Now()
	if end, ok := r.overtaken(now, c, d); ok {
		r.pool.Keep(conn)
		return end
	}
	// Closing the connection is what makes a server stop when the caller leaves.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	r.logPlaced(now, c, d)
	out := r.outgoing(now, c, d)
	c.sends++
	r.metrics.sends.WithLabelValues(c.service, sendOrder(c.sends)).Inc()
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

// withdraw refuses a request for which a server had been chosen.
func (r *Router) withdraw(c *call, d intake.Decision, refusal *intake.RefusedError) {
	r.mu.Lock()
	r.intake.BookRefusal(c.request(), refusal.Reason)
	r.mu.Unlock()
	d.Refusal = refusal
	r.refuse(c, d)
}

// overtaken reports whether a decision no longer holds as there was no processor time to carry it out.
func (r *Router) overtaken(now clock.Millis, c *call, d intake.Decision) (ending, bool) {
	r.mu.Lock()
	listed := r.intake.Listed(d.Server.ID)
	r.mu.Unlock()
	if !listed {
		return ending{result: intake.NotRun, err: fmt.Errorf("backend server %s left meanwhile", d.Server.ID)}, true
	}
	if r.busy.Load() && !d.Owed && c.sends == 0 && c.route.Stream() && now-c.arrived > busyWait {
		r.withdraw(c, d, intake.Elsewhere())
		return ending{result: intake.NotRun, final: true}, true
	}
	return ending{}, false
}

func (r *Router) logPlaced(now clock.Millis, c *call, d intake.Decision) {
	r.mu.Lock()
	revision, age, source, kept := r.roster.Revision(), r.listAge(now), r.listSource, r.roster.Kept(d.Server.ID)
	r.mu.Unlock()
	if age != gossip.Unread {
		r.metrics.listAge.Observe(age.Duration().Seconds())
	}
	r.o.Logger.Log(event.RequestSent, "id", c.head.ID, "team", c.team, "route", c.route.Name(),
		"server", d.Server.ID, "waited_ms", int64(now-c.arrived), "expected_ms", d.Basis.Expected,
		"queued", d.Basis.Queued, "fresh", d.Basis.Fresh, "running", d.Basis.Running, "served", d.Basis.Served, "recent", d.Basis.Recent,
		"share", d.Basis.Level, "peer_age_ms", int64(d.Basis.PeerAge), "send", c.sends+1,
		"configuration", r.version(), "list", revision, "list_age_ms", int64(age), "list_source", source, "kept", kept)
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
	r.pool.Drain(conn, resp)
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

// checkPause is the least time between two looks at whether a server is still there.
const checkPause = 150 * clock.Millis(1)

// suspectServer notes that a server broke off a request, and finds out whether it is still there.
func (r *Router) suspectServer(c *call, d intake.Decision) {
	now := r.o.Clock.Now()
	address := d.Server.Address
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := slices.DeleteFunc(r.breaks[address], func(b broken) bool { return now-b.at > breakWindow })
	r.breaks[address] = append(recent, broken{fingerprint: c.fingerprint, server: d.Server.ID, at: now})
	if len(recent) > 0 && now-recent[len(recent)-1].at < checkPause {
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
		e := r.suspects.RecordCrash(now, b.fingerprint, known)
		r.o.Logger.Log(event.RequestSuspected, "server", b.server, "fingerprint", b.fingerprint,
			"confirmed", e.Kind == suspect.Confirmed, "error", err)
		r.intake.Unreachable(now, b.server)
	}
	delete(r.breaks, address)
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
