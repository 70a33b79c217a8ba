// Package answer defines the frames in which an agent streams a backend server's answer to a router. The last
// frame carries the answer's length and a digest, so that the router can tell a complete answer from a cut or
// corrupted one.
package answer

import (
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// End is the last part of an answer. A stream without it is incomplete.
type End struct {
	// Outcome is how the attempt ended.
	Outcome outcome.Outcome `cbor:"outcome"`
	// Reason is a single word; empty when the outcome is whole.
	Reason string `cbor:"reason,omitempty"`
	// Length is the answer's length in bytes from offset 0.
	Length int64 `cbor:"length"`
	// Digest is the XXH64 digest of the bytes that this attempt sent.
	Digest uint64 `cbor:"digest"`
	// Cost is what the attempt was charged, in service units.
	Cost int64 `cbor:"cost"`
	// Final reports whether another attempt would be useless.
	Final bool `cbor:"final,omitempty"`
	// RetryAfter is the time after which the caller may retry a request without a complete answer.
	RetryAfter clock.Millis `cbor:"retry_after_ms,omitempty"`
	// Suspect is the new suspect entry for the request when its server crashed during the attempt.
	Suspect *suspect.Entry `cbor:"suspect,omitempty"`
}

// Frame is one message of the stream that carries an answer.
type Frame struct {
	// Request and Attempt name the attempt that the frame belongs to.
	Request string `cbor:"request"`
	Attempt int    `cbor:"attempt"`
	// Seq is the frame's number in the attempt: 0 for the first, without gaps.
	Seq int64 `cbor:"seq"`
	// Offset is the position of Data in the answer.
	Offset int64 `cbor:"offset"`
	// Head is set in the first frame only.
	Head *laburnumring.AnswerHead `cbor:"head,omitempty"`
	// Data is at most MaxData bytes.
	Data []byte `cbor:"data,omitempty"`
	// End is set in the last frame only.
	End *End `cbor:"end,omitempty"`
}

// MaxData is the maximum number of answer bytes in one frame.
const MaxData = 64 << 10

// maxEncodedFrame is the maximum size of an encoded frame in bytes.
const maxEncodedFrame = MaxData + 4096

// Writer numbers and encodes the frames of one attempt. It is not safe for concurrent use.
type Writer struct {
	enc     *cbor.Encoder
	request string
	attempt int
	// seq is the number of the next frame.
	seq int64
	// offset is the position in the answer of the next byte.
	offset int64
	digest *xxhash.Digest
}

// NewWriter returns a writer for an attempt that continues the answer at offset.
func NewWriter(w io.Writer, request string, attempt int, offset int64) *Writer {
	return &Writer{enc: cbor.NewEncoder(w), request: request, attempt: attempt, offset: offset, digest: xxhash.New()}
}

// Offset returns the position in the answer of the next byte.
func (w *Writer) Offset() int64 { return w.offset }

// Head writes the first frame.
func (w *Writer) Head(h laburnumring.AnswerHead) error {
	return w.write(Frame{Head: &h})
}

// Data writes p, in several frames if it is longer than MaxData.
func (w *Writer) Data(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), MaxData)
		if err := w.write(Frame{Data: p[:n]}); err != nil {
			return err
		}
		_, _ = w.digest.Write(p[:n])
		w.offset += int64(n)
		p = p[n:]
	}
	return nil
}

// End sets e's length and digest and writes it as the last frame.
func (w *Writer) End(e End) error {
	e.Length = w.offset
	e.Digest = w.digest.Sum64()
	return w.write(Frame{End: &e})
}

func (w *Writer) write(f Frame) error {
	f.Request = w.request
	f.Attempt = w.attempt
	f.Seq = w.seq
	f.Offset = w.offset
	w.seq++
	return w.enc.Encode(f)
}

// Reader decodes the frames of one stream.
type Reader struct {
	dec *cbor.Decoder
	// frameLimit limits the size of the current frame; its N is reset before each one.
	frameLimit *io.LimitedReader
}

// NewReader returns a reader that decodes frames from r.
func NewReader(r io.Reader) *Reader {
	left := &io.LimitedReader{R: r, N: maxEncodedFrame}
	return &Reader{dec: decMode.NewDecoder(left), frameLimit: left}
}

// Next returns the next frame. At the end of the stream it returns io.EOF, whether or not the answer is
// complete.
func (r *Reader) Next() (Frame, error) {
	r.frameLimit.N = maxEncodedFrame
	var f Frame
	if err := r.dec.Decode(&f); err != nil {
		return Frame{}, err
	}
	if len(f.Data) > MaxData {
		return Frame{}, fmt.Errorf("frame %d of request %s: %d bytes of data", f.Seq, f.Request, len(f.Data))
	}
	return f, nil
}

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
