// Package logqueue takes log lines without ever waiting for whoever reads them, and writes them in batches.
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
	// LinesPerSecond and Burst bound the lines that are taken; 600 and 2000 when zero.
	LinesPerSecond float64
	Burst          int
	// MaxBytes bounds what waits to be written; 256 KiB when zero.
	MaxBytes int
	// MaxReserved bounds what of the reserved lines waits to be written; 128 KiB when zero.
	MaxReserved int
	// Interval is the time between two batches; 50 milliseconds when zero.
	Interval time.Duration
	// Dropped is told how many lines were dropped since it was last told.
	Dropped func(lines int64)
}

const (
	// defaultLinesPerSecond lets a router of a third of a core log two lines of each request at its usual load.
	defaultLinesPerSecond = 600
	defaultBurst          = 2000
	defaultMaxBytes       = 256 << 10
	defaultMaxReserved    = 128 << 10
	defaultInterval       = 50 * time.Millisecond
	// maxWrite bounds one write where lines are shorter, as collectors cut off long ones.
	maxWrite = 8 << 10
	// reportInterval is the least time between two reports of dropped lines.
	reportInterval = 1 * time.Second
)

// Queue is a writer of whole lines. It is safe for concurrent use.
type Queue struct {
	o       Options
	w       io.Writer
	limiter *rate.Limiter
	// ended is closed when the last batch was written, stop to ask for that.
	ended chan struct{}
	stop  chan struct{}

	mu sync.Mutex
	// waiting holds the lines that were not written yet, at most o.MaxBytes.
	waiting bytes.Buffer
	// reserved holds the reserved lines that were not written yet, at most o.MaxReserved.
	reserved bytes.Buffer
	// dropped counts the lines that were dropped and not told of, reported when they were last told.
	dropped  int64
	reported time.Time
}

// New returns a queue before w. Close ends it.
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
		ended: make(chan struct{}), stop: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write takes one line, or drops it when too many came. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting.Len()+len(line) > q.o.MaxBytes || !q.limiter.Allow() {
		q.dropped++
		return len(line), nil
	}
	return q.waiting.Write(line)
}

// Reserved returns a writer for few lines that must not be lost among many others: their rate is not bounded, and they
// are written first.
func (q *Queue) Reserved() io.Writer { return reserved{q: q} }

// reserved is the queue's writer of reserved lines.
type reserved struct {
	q *Queue
}

// Write takes one line, or drops it when too many wait. It never fails.
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

// SetDropped sets what is told of dropped lines, for a logger that itself writes to the queue.
func (q *Queue) SetDropped(f func(lines int64)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.o.Dropped = f
}

// Close writes what waits and ends the queue.
func (q *Queue) Close() {
	close(q.stop)
	<-q.ended
}

func (q *Queue) run() {
	defer close(q.ended)
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
		q.report()
		batch = q.take(batch)
		q.write(batch)
		if stopping {
			return
		}
	}
}

// take moves what waits into batch.
func (q *Queue) take(batch []byte) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch = append(append(batch[:0], q.reserved.Bytes()...), q.waiting.Bytes()...)
	q.reserved.Reset()
	q.waiting.Reset()
	return batch
}

// write writes whole lines, several at a time.
func (q *Queue) write(batch []byte) {
	for len(batch) > 0 {
		n := len(batch)
		if n > maxWrite {
			n = 1 + bytes.LastIndexByte(batch[:maxWrite], '\n')
			if n == 0 {
				n = 1 + bytes.IndexByte(batch, '\n')
			}
		}
		// A line that cannot be written has nowhere else to go.
		_, _ = q.w.Write(batch[:n])
		batch = batch[n:]
	}
}

// report tells how many lines were dropped.
func (q *Queue) report() {
	q.mu.Lock()
	n, tell := q.dropped, q.o.Dropped
	due := n > 0 && tell != nil && time.Since(q.reported) >= reportInterval
	if due {
		q.dropped = 0
		q.reported = time.Now()
	}
	q.mu.Unlock()
	if due {
		tell(n)
	}
}
