package httpserve

import (
	"context"
	"net"
	"net/http"
)

// Abort ends the answer on w so that it cannot look complete. Where neither a length nor chunks mark its end, the close
// by which net/http aborts an answer would look like that end, so the connection is reset.
func Abort(w http.ResponseWriter, framed bool) {
	if framed {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if c, ok := conn.(interface{ NetConn() net.Conn }); ok {
		// The close of a TLS connection announces a proper end.
		conn = c.NetConn()
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// ResetOnExit sets whether the connection of the request with this context is reset if the process ends. The close by
// which the system ends an answer with neither a length nor chunks would look like its end.
func ResetOnExit(ctx context.Context, reset bool) {
	c, ok := ctx.Value(connKey{}).(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	_ = c.SetLinger(linger)
}

// EndWithConnection makes the answer with the header h end with its connection.
func EndWithConnection(h http.Header) { h.Set("Transfer-Encoding", "identity") }

// Framed reports whether a length or chunks mark the end of the answer to r that has the header h.
func Framed(r *http.Request, h http.Header) bool {
	return h.Get("Content-Length") != "" || r.ProtoAtLeast(1, 1) && h.Get("Transfer-Encoding") != "identity"
}
