package upstream

import (
	"fmt"
	"io"
	"math"
)

// unbounded is what is left while a body is read: no body is as long.
const unbounded = math.MaxInt64

// HeadTooLongError says that a server sent more than a response's head may take. The connection cannot be used again.
type HeadTooLongError struct {
	Address string
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("head of the response of backend server %s is longer than %d bytes", e.Address, e.Limit)
}

// headReader fails when more bytes come than are left.
type headReader struct {
	r       io.Reader
	left    int64
	address string
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, &HeadTooLongError{Address: h.address, Limit: maxHead}
	}
	n, err := h.r.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	return n, err
}
