// Package platformlog stands in for the platform's append-only log service.
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

// Options are the settings of a Log.
type Options struct {
	// AppendsPerSecond is the most appends a second over all streams; 400 when zero.
	AppendsPerSecond int
	// Retention is how long records are kept; for ever when zero.
	Retention time.Duration
	// Control holds the faults.
	Control *control.Control
}

const (
	defaultAppendsPerSecond = 400
	maxRecord               = 8 << 20
	maxPage                 = 1000
	maxPageBytes            = 4 << 20
)

// Stats counts calls.
type Stats struct {
	// Appends counts records that were added.
	Appends int64 `json:"appends"`
	// Reads counts reads that were answered.
	Reads int64 `json:"reads"`
}

// Log keeps streams in memory and serves them over HTTP.
type Log struct {
	o       Options
	limiter *rate.Limiter

	mu sync.Mutex
	// stats counts the calls that were served.
	stats Stats
	// streams holds each stream by name.
	streams map[string]*stream
}

// stream is the retained tail of one stream.
type stream struct {
	// first is the offset of records[0].
	first   int64
	records []laburnumring.Record
	// at holds the time of each record's append.
	at []time.Time
	// changed is closed and replaced at every append.
	changed chan struct{}
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// New returns an empty log.
func New(o Options) *Log {
	if o.AppendsPerSecond == 0 {
		o.AppendsPerSecond = defaultAppendsPerSecond
	}
	if o.Control == nil {
		o.Control = &control.Control{}
	}
	return &Log{
		o:       o,
		limiter: rate.NewLimiter(rate.Limit(o.AppendsPerSecond), o.AppendsPerSecond),
		streams: make(map[string]*stream),
	}
}

// Handler returns the log's HTTP interface and, at /control, its faults.
func (l *Log) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/control", l.o.Control).Methods(http.MethodPost)
	m.HandleFunc("/stats", l.serveStats).Methods(http.MethodGet)
	m.Handle("/v1/streams/{stream}/records", l.o.Control.Wrap(http.HandlerFunc(l.append))).Methods(http.MethodPost)
	m.Handle("/v1/streams/{stream}/records", l.o.Control.Wrap(http.HandlerFunc(l.read))).Methods(http.MethodGet)
	return m
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
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
	s.at = append(s.at, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
	l.mu.Unlock()
	if l.o.Control.LoseReply() {
		panic(http.ErrAbortHandler)
	}
	reply(w, laburnumring.Record{Offset: rec.Offset})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		page, changed := l.page(mux.Vars(r)["stream"], from)
		if len(page.Records) > 0 || wait == 0 {
			l.countRead()
			reply(w, page)
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
	reply(w, l.stats)
}

func (l *Log) page(name string, from int64) (laburnumring.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s)
	page := laburnumring.Page{First: s.first, Next: s.next()}
	start := max(0, from-s.first)
	if start < int64(len(s.records)) {
		page.Records = bounded(s.records[start:min(start+maxPage, int64(len(s.records)))])
	}
	return page, s.changed
}

// bounded returns a copy of the first records that together take at most maxPageBytes, at least one.
func bounded(records []laburnumring.Record) []laburnumring.Record {
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if i > 0 && size > maxPageBytes {
			return slices.Clone(records[:i])
		}
	}
	return slices.Clone(records)
}

func (l *Log) expire(s *stream) {
	if l.o.Retention == 0 {
		return
	}
	old := time.Now().Add(-l.o.Retention)
	for len(s.at) > 0 && s.at[0].Before(old) {
		s.records = s.records[1:]
		s.at = s.at[1:]
		s.first++
	}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
