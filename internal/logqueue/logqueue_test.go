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

// stuck is a writer that nobody reads from until it is released.
type stuck struct {
	released chan struct{}
	buf      bytes.Buffer
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	<-s.released
	return s.buf.Write(p)
}

// TestNeverWaits writes more lines than are taken to a writer that is stuck: no write waits, and the drops are told.
func TestNeverWaits(t *testing.T) {
	w := &stuck{released: make(chan struct{})}
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
		t.Errorf("%d lines told as dropped, want 90", dropped)
	}
}

// TestReservedLinesStay floods the queue: reserved lines are written all the same, before the others and whole, however
// long the flood's batch is.
func TestReservedLinesStay(t *testing.T) {
	w := &writes{}
	q := logqueue.New(w, logqueue.Options{LinesPerSecond: 1e-9, Burst: 1000, Interval: time.Hour})
	flood := []byte(strings.Repeat("x", 299) + "\n")
	for range 1000 {
		_, _ = q.Write(flood)
	}
	for range 30 {
		_, _ = q.Reserved().Write([]byte("reserved\n"))
	}
	q.Close()
	all := strings.Join(w.all, "")
	if !strings.HasPrefix(all, strings.Repeat("reserved\n", 30)) {
		t.Errorf("reserved lines are not first: %.100q", all)
	}
	if n := strings.Count(all, string(flood)); n != (256<<10)/300 {
		t.Errorf("%d other lines, want as many as may wait", n)
	}
	for _, s := range w.all {
		if len(s) > 8<<10 || !strings.HasSuffix(s, "\n") {
			t.Errorf("a write of %d bytes, ending %q", len(s), s[len(s)-1:])
		}
	}
}

// writes keeps each write.
type writes struct {
	all []string
}

// Write implements io.Writer.
func (w *writes) Write(p []byte) (int, error) {
	w.all = append(w.all, string(p))
	return len(p), nil
}
