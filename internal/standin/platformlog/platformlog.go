// Package platformlog is an in-memory stand-in for the platform's append-only log service.
package platformlog

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/standin/control"
)

// Options configure a Log.
type Options struct {
	// AppendsPerSecond limits the rate of appends over all streams, with a burst of one second; 400 when zero.
	AppendsPerSecond int
	// Retention is the time after which records are deleted; when zero, they are never deleted.
	Retention time.Duration
	// Control holds the faults to inject; when nil, New adds one without faults.
	Control *control.Control
}

const (
	defaultAppendsPerSecond = 400
	maxRecordBytes          = 8 << 20
	maxPageRecords          = 1000
	maxPageBytes            = 4 << 20
)

// Stats counts the calls that a Log has served.
type Stats struct {
	// Appends counts the records that were appended.
	Appends int64 `json:"appends"`
	// Reads counts the reads that were answered; reads that the client abandoned don't count.
	Reads int64 `json:"reads"`
}

// Log keeps streams of records in memory and serves them over HTTP. It is safe for concurrent use.
type Log struct {
	opts    Options
	limiter *rate.Limiter

	mu    sync.Mutex
	stats Stats
	// era is the number of times that the log has come back from an older copy.
	era int64
	// streams maps names to streams.
	streams map[string]*stream
}

// stream holds the records of one stream that have not expired.
type stream struct {
	// first is the offset of records[0].
	first   int64
	records []laburnumring.Record
	// appendedAt holds the time of each record's append.
	appendedAt []time.Time
	// changed is closed and replaced at every append, to wake up waiting reads.
	changed chan struct{}
}

// next returns the offset of the next record to be appended.
func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// New returns an empty log.
func New(opts Options) *Log {
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = defaultAppendsPerSecond
	}
	if opts.Control == nil {
		opts.Control = &control.Control{}
	}
	return &Log{
		opts:    opts,
		limiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.AppendsPerSecond),
		streams: make(map[string]*stream),
	}
}

// Handler returns the handler of the log's HTTP interface, of /control, which sets the faults, and of /stats.
func (l *Log) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/control", l.opts.Control).Methods(http.MethodPost)
	m.HandleFunc("/stats", l.serveStats).Methods(http.MethodGet)
	m.Handle("/v1/streams/{stream}/records", l.opts.Control.Wrap(http.HandlerFunc(l.append))).Methods(http.MethodPost)
	m.Handle("/v1/streams/{stream}/records", l.opts.Control.Wrap(http.HandlerFunc(l.read))).Methods(http.MethodGet)
	return m
}

// append adds the request body as one record and replies with its offset.
func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.limiter.Allow() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	l.mu.Lock()
	l.stats.Appends++
	s := l.stream(mux.Vars(r)["stream"])
	rec := laburnumring.Record{Offset: s.next(), Data: data}
	s.records = append(s.records, rec)
	s.appendedAt = append(s.appendedAt, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
	l.mu.Unlock()
	if l.opts.Control.LoseReply() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, laburnumring.Record{Offset: rec.Offset})
}

// read replies with the records from offset "from" on. When there are none, it waits up to "wait_ms" for an append.
func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		page, changed := l.page(mux.Vars(r)["stream"], from)
		if len(page.Records) > 0 || wait == 0 {
			l.countRead()
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) countRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Reads++
}

func (l *Log) serveStats(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, l.stats)
}

// page returns the first records of a stream from offset from on, and a channel that the next append closes.
func (l *Log) page(name string, from int64) (laburnumring.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s)
	page := laburnumring.Page{Era: l.era, First: s.first, Next: s.next()}
	start := max(0, from-s.first)
	if start < int64(len(s.records)) {
		page.Records = limitPageBytes(s.records[start:min(start+maxPageRecords, int64(len(s.records)))])
	}
	return page, s.changed
}

// limitPageBytes returns a copy of the first records, up to maxPageBytes in total but at least one record.
func limitPageBytes(records []laburnumring.Record) []laburnumring.Record {
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if i > 0 && size > maxPageBytes {
			return slices.Clone(records[:i])
		}
	}
	return slices.Clone(records)
}

// Rewind brings the log back from a copy of the given age: the records appended since are gone.
func (l *Log) Rewind(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	cutoff := time.Now().Add(-age)
	for _, s := range l.streams {
		n := len(s.appendedAt)
		for n > 0 && s.appendedAt[n-1].After(cutoff) {
			n--
		}
		s.records, s.appendedAt = s.records[:n:n], s.appendedAt[:n:n]
	}
}

// expire deletes the records of s that are older than the retention time. The caller holds l.mu.
func (l *Log) expire(s *stream) {
	if l.opts.Retention == 0 {
		return
	}
	cutoff := time.Now().Add(-l.opts.Retention)
	for len(s.appendedAt) > 0 && s.appendedAt[0].Before(cutoff) {
		s.records = s.records[1:]
		s.appendedAt = s.appendedAt[1:]
		s.first++
	}
}

// stream returns the named stream, creating it when it doesn't exist. The caller holds l.mu.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
