package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/upstream"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// endCheckTimeout limits the check whether a server is still there. A server that crashed refuses connections at once.
const endCheckTimeout = 200 * time.Millisecond

// UnmarkedEndError reports that an answer whose end nothing but its connection marked cannot be passed on as complete.
type UnmarkedEndError struct {
	Server string
	// Err is why the server counts as crashed; nil if the answer cannot be passed on because the caller was promised a
	// marked end.
	Err error
}

// Error implements error.
func (e *UnmarkedEndError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("backend server %s did not mark the end of its answer, and the caller's answer marks its own", e.Server)
	}
	return fmt.Sprintf("backend server %s closed the connection of an answer without a marked end and is gone: %v", e.Server, e.Err)
}

// Unwrap returns the cause.
func (e *UnmarkedEndError) Unwrap() error { return e.Err }

// checkEnd returns an error if an answer that has been read to its end must not be passed on as complete. An answer
// without a length or chunks ends with its connection, and so does one whose server crashes: the end is passed on in the
// same way, unless the server is gone or the answer to the caller marks its end. A server that leaves is gone after its
// last answers too. If another one can tell whether such an answer was whole, it is asked.
func (r *Router) checkEnd(ctx context.Context, c *call, d intake.Decision, resp *http.Response) error {
	if !upstream.EndsWithConnection(resp) {
		return nil
	}
	if c.committed && c.framed {
		return &UnmarkedEndError{Server: d.Server.ID}
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	err := r.pool.Check(ctx, d.Server.Address)
	if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mayHaveStopped(d.Server) && !c.repeatable() {
		return nil
	}
	return &UnmarkedEndError{Server: d.Server.ID, Err: err}
}

// mayHaveStopped reports whether a server that refuses connections may have left rather than crashed: it stops listening
// some time after it was known to leave, and its last answers may end after that. The caller holds mu.
func (r *Router) mayHaveStopped(e laburnumring.ServerEntry) bool {
	if slices.ContainsFunc(r.readyServers, func(l laburnumring.ServerEntry) bool { return l.ID == e.ID && l.Born == e.Born }) {
		return false
	}
	at, ok := r.unreadyAt[e.ID]
	return ok && r.o.Clock.Now()-at >= clock.FromDuration(r.o.DrainTime)
}

// repeatable reports whether another server can complete the caller's answer.
func (c *call) repeatable() bool {
	return c.route.Resumable() || c.route.MayRepeat() && c.attempts < c.route.Attempts()
}
