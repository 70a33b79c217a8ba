// Package transcript remembers what a caller has received of an answer and holds later attempts to it.
package transcript

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/internal/answer"
)

// ContradictionError reports an attempt whose answer differs from what the caller has received.
type ContradictionError struct {
	// Offset is how much of the attempt's answer was compared.
	Offset int64
	// Problem says what differs.
	Problem string
}

// Error implements error.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("answers differ before offset %d: %s", e.Offset, e.Problem)
}

// overlap is how many of the last bytes an attempt that resumes sends again, to be compared.
const overlap = 1024

// Transcript compares each attempt's answer with what the caller has received and passes on only what is new.
// It is used by one goroutine at a time.
type Transcript struct {
	// head is set once.
	head *answer.Head
	// length is how many bytes the caller has received; it only grows, and digest is that of these bytes.
	length int64
	digest *xxhash.Digest
	// tail holds the last bytes received, at most overlap.
	tail []byte
	// offset is the position in the running attempt's answer; bytes below length are compared.
	offset int64
	// compared is the digest of the running attempt's bytes when it began at offset 0; nil otherwise.
	compared *xxhash.Digest
}

// New returns an empty transcript, ready for a first attempt.
func New() *Transcript {
	return &Transcript{digest: xxhash.New(), compared: xxhash.New()}
}

// Length returns how many bytes the caller has received.
func (t *Transcript) Length() int64 { return t.length }

// Offset returns the position of the next byte of the running attempt.
func (t *Transcript) Offset() int64 { return t.offset }

// Begin prepares for another attempt and returns the offset from which it must send its answer. Only servers
// that resume exactly may leave out what the caller has.
func (t *Transcript) Begin(resumesExactly bool) int64 {
	t.offset = 0
	t.compared = xxhash.New()
	if resumesExactly && t.length > int64(len(t.tail)) {
		t.offset = t.length - int64(len(t.tail))
		t.compared = nil
	}
	return t.offset
}

// Head takes the head of the running attempt's answer and reports whether the caller has none yet. Its errors
// are of type *ContradictionError.
func (t *Transcript) Head(h answer.Head) (bool, error) {
	if t.head == nil {
		t.head = &h
		return true, nil
	}
	if *t.head != h {
		return false, &ContradictionError{Offset: t.offset, Problem: fmt.Sprintf("head %v, was %v", h, *t.head)}
	}
	return false, nil
}

// Data takes the next bytes of the running attempt and returns those that the caller does not have. Its
// errors are of type *ContradictionError.
func (t *Transcript) Data(p []byte) ([]byte, error) {
	n := min(int64(len(p)), max(0, t.length-t.offset))
	if n > 0 {
		if err := t.compare(p[:n]); err != nil {
			return nil, err
		}
	}
	fresh := p[n:]
	t.append(fresh)
	return fresh, nil
}

// End takes the end of the running attempt's answer. Its errors are of type *ContradictionError.
func (t *Transcript) End() error {
	if t.offset < t.length {
		return &ContradictionError{Offset: t.offset, Problem: fmt.Sprintf("the caller has %d bytes", t.length)}
	}
	return nil
}

// compare holds bytes that the caller has already to what it received.
func (t *Transcript) compare(p []byte) error {
	first := t.length - int64(len(t.tail))
	if from := max(0, first-t.offset); from < int64(len(p)) {
		at := t.offset + from - first
		if !bytes.Equal(p[from:], t.tail[at:at+int64(len(p))-from]) {
			return &ContradictionError{Offset: t.offset, Problem: "bytes differ"}
		}
	}
	t.offset += int64(len(p))
	if t.compared == nil {
		return nil
	}
	_, _ = t.compared.Write(p)
	if t.offset == t.length && t.compared.Sum64() != t.digest.Sum64() {
		return &ContradictionError{Offset: t.offset, Problem: "digests differ"}
	}
	return nil
}

func (t *Transcript) append(p []byte) {
	_, _ = t.digest.Write(p)
	t.length += int64(len(p))
	t.offset += int64(len(p))
	if len(p) >= overlap {
		t.tail = append(t.tail[:0], p[len(p)-overlap:]...)
		return
	}
	t.tail = append(t.tail, p...)
	if len(t.tail) > overlap {
		t.tail = append(t.tail[:0], t.tail[len(t.tail)-overlap:]...)
	}
}
