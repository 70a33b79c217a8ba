// Package transcript records which part of an answer a caller has received, so that a later attempt of the request can
// continue the answer. It checks that the later attempt's answer begins with the same bytes.
package transcript

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring"
)

// ContradictionError reports an attempt whose answer differs from what the caller has received.
type ContradictionError struct {
	// Offset is the offset in the answer up to which the attempt was compared.
	Offset int64
	// Problem describes the difference.
	Problem string
}

// Error implements error.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("answers differ before offset %d: %s", e.Offset, e.Problem)
}

// VersionError reports that a server of another software version than the one that the caller's part of the answer came
// from continues it, instead of sending it from the start.
type VersionError struct {
	// Version is the version of the server that continues the answer, and Begun that of the caller's part.
	Version string
	Begun   string
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("software version %q continues an answer of version %q", e.Version, e.Begun)
}

// overlap is how many of the last bytes received a resuming attempt sends again for comparison.
const overlap = 1024

// Transcript compares each attempt's answer with what the caller has received and returns the new bytes. It must not be
// used concurrently.
type Transcript struct {
	// head is the head of the answer that the caller has received, without a version, or nil. It is set once.
	head *laburnumring.AnswerHead
	// version is the software version of the server that sent the caller's last bytes. attemptVersion is that of the
	// current attempt's server.
	version        string
	attemptVersion string
	// length is how many bytes the caller has received, which never decreases. digest is the digest of these bytes.
	length int64
	digest *xxhash.Digest
	// tail holds the last bytes that the caller has received, up to overlap bytes.
	tail []byte
	// offset is the offset of the current attempt's next byte. Bytes below length are compared.
	offset int64
	// attemptDigest is the digest of the current attempt's bytes if the attempt sends its answer from offset 0, and
	// nil otherwise.
	attemptDigest *xxhash.Digest
}

// New returns an empty transcript, ready for a first attempt.
func New() *Transcript {
	return &Transcript{digest: xxhash.New(), attemptDigest: xxhash.New()}
}

// Length returns how many bytes the caller has received.
func (t *Transcript) Length() int64 { return t.length }

// Offset returns the offset of the current attempt's next byte.
func (t *Transcript) Offset() int64 { return t.offset }

// StartAttempt starts another attempt and returns the offset from which the attempt must send its answer.
// resumesExactly reports whether the server continues an answer with the same bytes. Only then may the attempt omit
// what the caller has, except for the overlap; otherwise the offset is 0.
func (t *Transcript) StartAttempt(resumesExactly bool) int64 {
	t.offset = 0
	t.attemptDigest = xxhash.New()
	if resumesExactly && t.length > int64(len(t.tail)) {
		t.offset = t.length - int64(len(t.tail))
		t.attemptDigest = nil
	}
	return t.offset
}

// Head records the head of the current attempt's answer and reports whether it must be sent to the caller, who has none
// yet. It returns a *ContradictionError when the head differs from the caller's, and a *VersionError when another software
// version continues the answer.
func (t *Transcript) Head(h laburnumring.AnswerHead) (bool, error) {
	t.attemptVersion = h.Version
	if t.attemptDigest == nil && h.Version != t.version {
		return false, &VersionError{Version: h.Version, Begun: t.version}
	}
	// An attempt that sends its answer from the start is compared with all that the caller has, whatever its version.
	h.Version = ""
	if t.head == nil {
		t.head = &h
		return true, nil
	}
	if *t.head != h {
		return false, &ContradictionError{Offset: t.offset, Problem: fmt.Sprintf("head %v, was %v", h, *t.head)}
	}
	return false, nil
}

// Data records the next bytes of the current attempt and returns those that the caller does not have. It returns a
// *ContradictionError when the others differ from what the caller has.
func (t *Transcript) Data(p []byte) ([]byte, error) {
	n := min(int64(len(p)), max(0, t.length-t.offset))
	if n > 0 {
		if err := t.compare(p[:n]); err != nil {
			return nil, err
		}
	}
	unsent := p[n:]
	t.append(unsent)
	return unsent, nil
}

// End records the end of the current attempt's answer. It returns a *ContradictionError when the answer is shorter than
// what the caller has.
func (t *Transcript) End() error {
	if t.offset < t.length {
		return &ContradictionError{Offset: t.offset, Problem: fmt.Sprintf("the caller has %d bytes", t.length)}
	}
	return nil
}

// compare compares bytes of the current attempt with those that the caller has received: the bytes in tail directly,
// and all of them by their digest once the attempt reaches length.
func (t *Transcript) compare(p []byte) error {
	first := t.length - int64(len(t.tail))
	if from := max(0, first-t.offset); from < int64(len(p)) {
		at := t.offset + from - first
		if !bytes.Equal(p[from:], t.tail[at:at+int64(len(p))-from]) {
			return &ContradictionError{Offset: t.offset, Problem: "bytes differ"}
		}
	}
	t.offset += int64(len(p))
	if t.attemptDigest == nil {
		return nil
	}
	_, _ = t.attemptDigest.Write(p)
	if t.offset == t.length && t.attemptDigest.Sum64() != t.digest.Sum64() {
		return &ContradictionError{Offset: t.offset, Problem: "digests differ"}
	}
	return nil
}

// append records bytes that are sent to the caller.
func (t *Transcript) append(p []byte) {
	if len(p) > 0 {
		t.version = t.attemptVersion
	}
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
