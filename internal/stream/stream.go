// Package stream ends HTTP response bodies so that their connections are used again.
package stream

import (
	"io"
	"time"
)

// readOutLimit is the longest wait for the end of a body whose content is known to be complete.
const readOutLimit = 50 * time.Millisecond

// ReadOut reads the end of a body after its last byte of content; without that, closing the body closes its
// connection too. A sender that does not end the body soon loses the connection.
func ReadOut(body io.ReadCloser) {
	t := time.AfterFunc(readOutLimit, func() { _ = body.Close() })
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, body, 1)
}
