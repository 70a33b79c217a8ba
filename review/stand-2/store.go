package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode says how the platform's store treats calls.
type storeMode int

const (
	storeUp storeMode = iota
	// storeSilent accepts calls and never answers them.
	storeSilent
	// storeReset resets each connection.
	storeReset
	// storeBusy answers 503: nothing was done.
	storeBusy
)

type storeRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// store is a stand-in of the platform's store: an in-memory log with keyed topics, without expiry of records.
type store struct {
	address string
	ln      net.Listener
	srv     *http.Server

	mu      sync.Mutex
	mode    storeMode
	topics  map[string][]storeRecord
	changed chan struct{}
	// written is when each server's entry was last written; entryTTL is three heartbeat intervals.
	written map[string]time.Time
	closed  chan struct{}
}

const (
	heartbeat = 1200 * time.Millisecond
	entryTTL  = 3 * heartbeat
)

func newStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: ln.Addr().String(), ln: ln, topics: make(map[string][]storeRecord), changed: make(chan struct{}),
		written: make(map[string]time.Time), closed: make(chan struct{}),
	}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.srv.Serve(ln) }()
	go s.expire()
	return s, nil
}

func (s *store) close() {
	close(s.closed)
	_ = s.srv.Close()
}

// expire removes the entries of servers that have been silent for three heartbeat intervals. While the store is down, no
// entry lapses.
func (s *store) expire() {
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(100 * time.Millisecond):
		}
		s.mu.Lock()
		for id, at := range s.written {
			switch {
			case s.mode != storeUp:
				s.written[id] = at.Add(100 * time.Millisecond)
			case time.Since(at) > entryTTL:
				delete(s.written, id)
				s.add("keyed.servers", storeRecord{Key: id})
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// add appends a record. The mutex is held.
func (s *store) add(topic string, r storeRecord) {
	r.Offset = int64(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], r)
	s.wake()
}

// put writes a record as the operator or a server does. It returns false if the store is down.
func (s *store) put(topic, key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		return false
	}
	if topic == "keyed.servers" {
		s.written[key] = time.Now()
	}
	s.add(topic, storeRecord{Key: key, Value: data})
	return true
}

// remove deletes a key. It returns false if the store is down.
func (s *store) remove(topic, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		return false
	}
	delete(s.written, key)
	s.add(topic, storeRecord{Key: key})
	return true
}

// refuse reports whether the call was refused, as the mode says.
func (s *store) refuse(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case storeUp:
		return false
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case storeSilent:
		// Nothing more comes on a connection on which a response was lost.
		<-r.Context().Done()
	case storeReset:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			resetConn(c)
		}
	}
	return true
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if s.refuse(w, r) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/log-newest":
		s.newest(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-append":
		s.append(w, r, body)
	case "/log-trim":
		writeJSON(w, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := s.topics[r.FormValue("topic")]
	s.mu.Unlock()
	last := make(map[string]storeRecord)
	for _, v := range list {
		last[v.Key] = v
	}
	items := []storeRecord{}
	for _, v := range last {
		if len(v.Value) > 0 {
			items = append(items, v)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "more": false, "end": len(list)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	topic := r.FormValue("topic")
	from, _ := strconv.Atoi(r.FormValue("from"))
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if s.refuse(w, r) {
			return
		}
		if from > len(list) {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"first": 0})
			return
		}
		if from < len(list) {
			_, _ = w.Write(encodeRecords(list[from:], isKeyed(topic), len(list)))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			_, _ = w.Write(encodeRecords(nil, false, len(list)))
			return
		}
	}
}

func isKeyed(topic string) bool { return strings.HasPrefix(topic, "keyed.") }

func encodeRecords(list []storeRecord, keyed bool, end int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, v := range list {
		var content []byte
		if keyed {
			content = append([]byte{byte(len(v.Key))}, v.Key...)
		}
		content = append(content, v.Value...)
		out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
		out = append(out, content...)
	}
	return out
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end": end})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		rec := storeRecord{Value: body[4 : 4+n]}
		if isKeyed(topic) {
			k := 1 + int(rec.Value[0])
			rec.Key, rec.Value = string(rec.Value[1:k]), rec.Value[k:]
		}
		s.add(topic, rec)
		body = body[4+n:]
	}
	writeJSON(w, map[string]int{"offset": end, "end": len(s.topics[topic])})
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
