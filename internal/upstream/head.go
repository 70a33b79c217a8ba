package upstream

import (
	"fmt"
	"io"
	"math"
)

// unlimited is the number of remaining bytes while a body is read. No body is that long.
const unlimited = math.MaxInt64

// HeadTooLongError reports that the head of a server's response (status line and header) was longer than allowed. The
// connection cannot be used again.
type HeadTooLongError struct {
	Address string
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("head of the response of backend server %s is longer than %d bytes", e.Address, e.Limit)
}

// headReader returns a HeadTooLongError when more than the remaining bytes are read.
type headReader struct {
	r         io.Reader
	remaining int64
	address   string
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, &HeadTooLongError{Address: h.address, Limit: maxHead}
	}
	n, err := h.r.Read(p[:min(int64(len(p)), h.remaining)])
	h.remaining -= int64(n)
	return n, err
}
