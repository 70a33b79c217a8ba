// Package logqueue accepts log lines without ever blocking on the reader of the log, and writes them in batches.
// Lines above its limits are dropped and counted.
package logqueue

import (
	"bytes"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Options are the settings of a Queue.
type Options struct {
	// LinesPerSecond and Burst limit the lines that are accepted by Queue.Write; 600 and 2000 when zero.
	LinesPerSecond float64
	Burst          int
	// MaxBytes limits the bytes that wait to be written; 256 KiB when zero.
	MaxBytes int
	// MaxReserved limits the bytes of reserved lines that wait to be written; 128 KiB when zero.
	MaxReserved int
	// Interval is the time between two batches; 50 milliseconds when zero.
	Interval time.Duration
	// Dropped is called with the number of lines that were dropped since the last call.
	Dropped func(lines int64)
}

const (
	// defaultLinesPerSecond lets a router with a third of a core log two lines per request at its usual load.
	defaultLinesPerSecond = 600
	defaultBurst          = 2000
	defaultMaxBytes       = 256 << 10
	defaultMaxReserved    = 128 << 10
	defaultInterval       = 50 * time.Millisecond
	// maxWrite limits the bytes of one write, unless a single line is longer, because log collectors truncate longer
	// chunks.
	maxWrite = 8 << 10
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = 1 * time.Second
)

// Queue is a writer that takes one complete line per call. It is safe for concurrent use.
type Queue struct {
	o       Options
	w       io.Writer
	limiter *rate.Limiter
	// done is closed after the last batch was written. stop is closed to request that.
	done chan struct{}
	stop chan struct{}

	mu sync.Mutex
	// pending holds the lines that are not written yet, up to o.MaxBytes.
	pending bytes.Buffer
	// reserved holds the reserved lines that are not written yet, up to o.MaxReserved.
	reserved bytes.Buffer
	// dropped counts the dropped lines that were not reported yet. lastReport is the time of the last report.
	dropped    int64
	lastReport time.Time
}

// New returns a queue that writes to w. Close ends it.
func New(w io.Writer, o Options) *Queue {
	if o.LinesPerSecond == 0 {
		o.LinesPerSecond = defaultLinesPerSecond
	}
	if o.Burst == 0 {
		o.Burst = defaultBurst
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMaxBytes
	}
	if o.MaxReserved == 0 {
		o.MaxReserved = defaultMaxReserved
	}
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	q := &Queue{
		o: o, w: w, limiter: rate.NewLimiter(rate.Limit(o.LinesPerSecond), o.Burst),
		done: make(chan struct{}), stop: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues one line, or drops it when the rate or the queue is at its limit. It never blocks on the underlying
// writer and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending.Len()+len(line) > q.o.MaxBytes || !q.limiter.Allow() {
		q.dropped++
		return len(line), nil
	}
	return q.pending.Write(line)
}

// Reserved returns a writer for the few lines that must not get lost among many others: their rate is not limited,
// and they are written first.
func (q *Queue) Reserved() io.Writer { return reserved{q: q} }

// reserved is the writer of reserved lines.
type reserved struct {
	q *Queue
}

// Write queues one line, or drops it when too many bytes of reserved lines are waiting. It never fails.
func (r reserved) Write(line []byte) (int, error) {
	q := r.q
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reserved.Len()+len(line) > q.o.MaxReserved {
		q.dropped++
		return len(line), nil
	}
	return q.reserved.Write(line)
}

// SetDropped replaces Options.Dropped, for a logger that itself writes to the queue and so is created after it.
func (q *Queue) SetDropped(f func(lines int64)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.o.Dropped = f
}

// Close writes the waiting lines and ends the queue. It must be called once.
func (q *Queue) Close() {
	close(q.stop)
	<-q.done
}

// run writes a batch in each interval until Close is called.
func (q *Queue) run() {
	defer close(q.done)
	t := time.NewTicker(q.o.Interval)
	defer t.Stop()
	var batch []byte
	for {
		stopping := false
		select {
		case <-q.stop:
			stopping = true
		case <-t.C:
		}
		q.reportDropped()
		batch = q.drain(batch)
		q.writeBatch(batch)
		if stopping {
			return
		}
	}
}

// drain moves the waiting lines to batch and returns it, reserved lines first.
func (q *Queue) drain(batch []byte) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch = append(append(batch[:0], q.reserved.Bytes()...), q.pending.Bytes()...)
	q.reserved.Reset()
	q.pending.Reset()
	return batch
}

// writeBatch writes a batch in chunks of complete lines.
func (q *Queue) writeBatch(batch []byte) {
	for len(batch) > 0 {
		n := len(batch)
		if n > maxWrite {
			n = 1 + bytes.LastIndexByte(batch[:maxWrite], '\n')
			if n == 0 {
				n = 1 + bytes.IndexByte(batch, '\n')
			}
		}
		// A failed write is ignored, because there is no other place to log to.
		_, _ = q.w.Write(batch[:n])
		batch = batch[n:]
	}
}

// reportDropped calls Dropped if lines were dropped and reportInterval has passed since the last call.
func (q *Queue) reportDropped() {
	q.mu.Lock()
	n, onDropped := q.dropped, q.o.Dropped
	due := n > 0 && onDropped != nil && time.Since(q.lastReport) >= reportInterval
	if due {
		q.dropped = 0
		q.lastReport = time.Now()
	}
	q.mu.Unlock()
	if due {
		onDropped(n)
	}
}
