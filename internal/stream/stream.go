// Package stream reads HTTP response bodies to their end so that their connections can be reused.
package stream

import (
	"io"
	"time"
)

// readToEOFTimeout is the maximum wait for the end of a body whose content is known to be complete.
const readToEOFTimeout = 50 * time.Millisecond

// ReadToEOF reads the end of a body whose content has been read; net/http would otherwise close the connection together
// with the body. If the end does not arrive within readToEOFTimeout, the body is closed and its connection lost.
func ReadToEOF(body io.ReadCloser) {
	t := time.AfterFunc(readToEOFTimeout, func() { _ = body.Close() })
	defer t.Stop()
	_, _ = io.CopyN(io.Discard, body, 1)
}
