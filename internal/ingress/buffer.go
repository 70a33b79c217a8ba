package ingress

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"sync"
)

const (
	// firstSegment is the size of the first segment of a buffer whose content has an announced length, and
	// firstUnannounced of others. Further segments double the buffer up to maxSegment, so that at most as much is allocated
	// as has arrived, beyond the first.
	firstSegment     = 16 << 10
	firstUnannounced = 4 << 10
	maxSegment       = 64 << 10
)

// Buffer holds bytes in segments, which are allocated as bytes arrive. Growth copies nothing, so the memory in use is
// what was charged.
type Buffer struct {
	segments [][]byte
	size     int64
	// first is the pooled first segment; nil if it is not pooled.
	first *[]byte
}

// segmentPool holds first segments of buffers that have been released, of at most firstSegment bytes.
var segmentPool = sync.Pool{New: func() any { return new([]byte) }}

// Read reads up to length bytes from r, or to its end if length is negative, and charges the segments to t. A buffer that
// ended with an error holds what was read before.
func (b *Buffer) Read(r io.Reader, length int64, t *Transfer) error {
	for length < 0 || b.size < length {
		seg, err := b.room(length, t)
		if err != nil {
			return err
		}
		n, err := r.Read((*seg)[len(*seg):cap(*seg)])
		*seg = (*seg)[:len(*seg)+n]
		b.size += int64(n)
		t.Moved(int64(n))
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && (length < 0 || b.size == length):
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
	return nil
}

// room returns a segment with room, the last one or a new one.
func (b *Buffer) room(length int64, t *Transfer) (*[]byte, error) {
	if n := len(b.segments); n > 0 && len(b.segments[n-1]) < cap(b.segments[n-1]) {
		return &b.segments[n-1], nil
	}
	size := min(max(b.size, firstUnannounced), maxSegment)
	if length >= 0 {
		size = min(max(size, firstSegment), length-b.size)
	}
	if err := t.Charge(size); err != nil {
		return nil, err
	}
	if b.size == 0 {
		b.first, _ = segmentPool.Get().(*[]byte)
		*b.first = slices.Grow((*b.first)[:0], int(size))
		b.segments = append(b.segments, (*b.first)[:0:size])
	} else {
		b.segments = append(b.segments, make([]byte, 0, size))
	}
	return &b.segments[len(b.segments)-1], nil
}

// Len returns the number of bytes held.
func (b *Buffer) Len() int64 { return b.size }

// Reader returns a reader of the content, which must not be used after Release.
func (b *Buffer) Reader() io.Reader {
	if len(b.segments) == 1 {
		return bytes.NewReader(b.segments[0])
	}
	list := make([]io.Reader, len(b.segments))
	for i, s := range b.segments {
		list[i] = bytes.NewReader(s)
	}
	return io.MultiReader(list...)
}

// Send writes the content to w, and reports to t what was written.
func (b *Buffer) Send(w io.Writer, t *Transfer) error {
	for _, s := range b.segments {
		n, err := w.Write(s)
		t.Moved(int64(n))
		if err != nil {
			return err
		}
	}
	return nil
}

// Segments returns the content in order.
func (b *Buffer) Segments() [][]byte { return b.segments }

// Release drops the content.
func (b *Buffer) Release() {
	if b.first != nil {
		segmentPool.Put(b.first)
	}
	*b = Buffer{}
}
