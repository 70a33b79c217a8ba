package logqueue_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/laburnumring/laburnumring/internal/logqueue"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	released chan struct{}
	buf      bytes.Buffer
}

// Write implements io.Writer.
func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.released
	return s.buf.Write(p)
}

// TestWriteNeverBlocks queues more lines than the limit while the underlying writer is blocked. Writes must return at
// once, and the dropped lines must be reported.
func TestWriteNeverBlocks(t *testing.T) {
	w := &blockedWriter{released: make(chan struct{})}
	dropped := int64(0)
	q := logqueue.New(w, logqueue.Options{
		LinesPerSecond: 1e-9, Burst: 10, Interval: time.Millisecond, Dropped: func(n int64) { dropped += n },
	})
	for range 100 {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	close(w.released)
	q.Close()
	if n := strings.Count(w.buf.String(), "line"); n != 10 {
		t.Errorf("%d lines written, want 10", n)
	}
	if dropped != 90 {
		t.Errorf("%d lines reported as dropped, want 90", dropped)
	}
}

// TestReservedLinesSurviveFlood floods the queue. Reserved lines must still be written, before the others and
// complete, however long the batch of other lines is.
func TestReservedLinesSurviveFlood(t *testing.T) {
	w := &recordingWriter{}
	q := logqueue.New(w, logqueue.Options{LinesPerSecond: 1e-9, Burst: 1000, Interval: time.Hour})
	flood := []byte(strings.Repeat("x", 299) + "\n")
	for range 1000 {
		_, _ = q.Write(flood)
	}
	for range 30 {
		_, _ = q.Reserved().Write([]byte("reserved\n"))
	}
	q.Close()
	all := strings.Join(w.writes, "")
	if !strings.HasPrefix(all, strings.Repeat("reserved\n", 30)) {
		t.Errorf("reserved lines are not first: %.100q", all)
	}
	if n := strings.Count(all, string(flood)); n != (256<<10)/300 {
		t.Errorf("%d other lines written, want as many as fit into MaxBytes", n)
	}
	for _, s := range w.writes {
		if len(s) > 8<<10 || !strings.HasSuffix(s, "\n") {
			t.Errorf("write of %d bytes ends with %q, want at most 8192 bytes and a complete line", len(s), s[len(s)-1:])
		}
	}
}

// recordingWriter records each write.
type recordingWriter struct {
	writes []string
}

// Write implements io.Writer.
func (w *recordingWriter) Write(p []byte) (int, error) {
	w.writes = append(w.writes, string(p))
	return len(p), nil
}
