// Package answer carries answers from agents to routers and proves that they are whole.
package answer

import (
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// Head opens an answer.
type Head struct {
	// Status is the backend server's HTTP status.
	Status int `cbor:"status"`
	// ContentType is the backend server's content type.
	ContentType string `cbor:"content_type"`
}

// End closes an answer. A stream without it is not whole.
type End struct {
	// Outcome is how the attempt ended.
	Outcome outcome.Outcome `cbor:"outcome"`
	// Reason is one word; empty when the outcome is whole.
	Reason string `cbor:"reason,omitempty"`
	// Length is the answer's length in bytes from offset 0.
	Length int64 `cbor:"length"`
	// Digest is the XXH64 of the bytes that this attempt sent.
	Digest uint64 `cbor:"digest"`
	// Cost is what the attempt was charged, in service units.
	Cost int64 `cbor:"cost"`
	// Final says that another attempt cannot help.
	Final bool `cbor:"final,omitempty"`
	// RetryAfter is when to come back after an outcome that is not whole.
	RetryAfter clock.Millis `cbor:"retry_after_ms,omitempty"`
	// Suspect is what is now held against the request, when its server died.
	Suspect *suspect.Entry `cbor:"suspect,omitempty"`
}

// Frame is one step of an answer.
type Frame struct {
	// Request and Attempt name the attempt that the frame belongs to.
	Request string `cbor:"request"`
	Attempt int    `cbor:"attempt"`
	// Seq counts the attempt's frames from 0 without gaps.
	Seq int64 `cbor:"seq"`
	// Offset is the position of Data in the answer.
	Offset int64 `cbor:"offset"`
	// Head is set in the first frame only.
	Head *Head `cbor:"head,omitempty"`
	// Data is at most MaxData bytes.
	Data []byte `cbor:"data,omitempty"`
	// End is set in the last frame only.
	End *End `cbor:"end,omitempty"`
}

// MaxData is the most bytes of an answer that one frame carries.
const MaxData = 64 << 10

// maxFrame bounds what one encoded frame may occupy.
const maxFrame = MaxData + 4096

// Writer numbers and encodes the frames of one attempt. It is used by one goroutine.
type Writer struct {
	enc     *cbor.Encoder
	request string
	attempt int
	// seq is the number of the next frame.
	seq int64
	// offset is the position of the next byte.
	offset int64
	digest *xxhash.Digest
}

// NewWriter returns a writer of the given attempt whose answer goes on from offset.
func NewWriter(w io.Writer, request string, attempt int, offset int64) *Writer {
	return &Writer{enc: cbor.NewEncoder(w), request: request, attempt: attempt, offset: offset, digest: xxhash.New()}
}

// Offset returns the position of the next byte.
func (w *Writer) Offset() int64 { return w.offset }

// Head writes the first frame.
func (w *Writer) Head(h Head) error {
	return w.write(Frame{Head: &h})
}

// Data writes p in as many frames as it needs.
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

// End writes the last frame and fills in its length and digest.
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
	// left is how many bytes the current frame may still take.
	left *io.LimitedReader
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	left := &io.LimitedReader{R: r, N: maxFrame}
	return &Reader{dec: decMode.NewDecoder(left), left: left}
}

// Next returns the next frame. It fails with io.EOF at the end of the stream, which says nothing about the
// answer being whole.
func (r *Reader) Next() (Frame, error) {
	r.left.N = maxFrame
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
