package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRecord is one record of a topic.
type storeRecord struct {
	key   string
	value []byte
	raw   []byte
	at    time.Time
}

// store is a stand-in of the platform's store: a log of topics with one partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	era     int
	down    bool
	// put holds what the operator and the servers wrote last, by topic and key; it is written again after a drill.
	put map[string]map[string][]byte
	// beats holds when each server wrote its first heartbeat.
	beats map[string]time.Time

	ln    net.Listener
	srv   *http.Server
	conns map[net.Conn]bool
}

func newStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		topics: make(map[string][]storeRecord), changed: make(chan struct{}), era: 1, ln: ln,
		put: make(map[string]map[string][]byte), beats: make(map[string]time.Time), conns: make(map[net.Conn]bool),
	}
	s.srv = &http.Server{Handler: s, ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch st {
		case http.StateNew:
			s.conns[c] = true
			if s.down {
				go func() { _ = c.Close() }()
			}
		case http.StateClosed, http.StateHijacked:
			delete(s.conns, c)
		}
	}}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

// write appends what the operator or a server writes. An empty value deletes the key.
func (s *store) write(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.put[topic] == nil {
		s.put[topic] = make(map[string][]byte)
	}
	s.put[topic][key] = value
	if _, ok := s.beats[key]; !ok {
		s.beats[key] = time.Now()
	}
	s.appendLocked(topic, storeRecord{key: key, value: value})
}

func (s *store) appendLocked(topic string, r storeRecord) {
	r.at = time.Now()
	if strings.HasPrefix(topic, "keyed.") {
		r.raw = append(append([]byte{byte(len(r.key))}, r.key...), r.value...)
	}
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// end returns the offset after the last record of a topic.
func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

// drill takes the store away for a moment and brings it back from a copy of the given age. What the operator and the
// servers wrote is written again: by the operator at once, by each server with its next heartbeat.
func (s *store) drill(away, age time.Duration) {
	s.mu.Lock()
	s.down = true
	for c := range s.conns {
		go func() { _ = c.Close() }()
	}
	copied := time.Now().Add(-age)
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	for topic, list := range s.topics {
		n := slices.IndexFunc(list, func(r storeRecord) bool { return r.at.After(copied) })
		if n >= 0 {
			s.topics[topic] = slices.Clone(list[:n])
		}
	}
	s.era++
	s.down = false
	for topic, keys := range s.put {
		for key := range keys {
			if topic == "keyed.op" {
				s.rewriteLocked(topic, key)
				continue
			}
			// A server writes at its start and every heartbeatMs after that.
			since := time.Since(s.beats[key])
			time.AfterFunc(heartbeat-since%heartbeat, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.rewriteLocked(topic, key)
			})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// heartbeat is heartbeatMs of the settings.
const heartbeat = 1200 * time.Millisecond

// rewriteLocked writes again what the operator or a server wrote last, unless the store has it.
func (s *store) rewriteLocked(topic, key string) {
	value := s.put[topic][key]
	if i := s.newestLocked(topic, key); i < 0 && len(value) > 0 || i >= 0 && string(s.topics[topic][i].value) != string(value) {
		s.appendLocked(topic, storeRecord{key: key, value: value})
	}
}

func (s *store) newestLocked(topic, key string) int {
	for i := len(s.topics[topic]) - 1; i >= 0; i-- {
		if s.topics[topic][i].key == key {
			return i
		}
	}
	return -1
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "GET /log-newest":
		s.serveNewest(w, topic, q.Get("after"))
	case "GET /log-read":
		s.serveRead(w, r, topic, era)
	case "POST /log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.serveAppend(w, topic, q.Get("at"), body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[string]item)
	for i, v := range s.topics[topic] {
		last[v.key] = item{Key: v.key, Value: v.value, Offset: i}
	}
	items := []item{}
	for k, v := range last {
		if len(v.Value) > 0 && k > after {
			items = append(items, v)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > 500
	items = items[:min(500, len(items))]
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "end": len(s.topics[topic])})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string, era int) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		list, changed, now := s.topics[topic], s.changed, s.era
		s.mu.Unlock()
		if now != era {
			panic(http.ErrAbortHandler)
		}
		if from > len(list) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		}
		expired := false
		if from == len(list) && wait > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				expired = true
			}
		}
		_ = expired
		out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, v := range list[from:] {
			out = binary.BigEndian.AppendUint32(out, uint32(len(v.raw)))
			out = append(out, v.raw...)
			if len(out) > 1<<20 {
				break
			}
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) serveAppend(w http.ResponseWriter, topic, at string, body []byte) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	end := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		rec := storeRecord{raw: slices.Clone(body[4 : 4+n])}
		if strings.HasPrefix(topic, "keyed.") {
			k := 1 + int(rec.raw[0])
			rec.key, rec.value = string(rec.raw[1:k]), rec.raw[k:]
		}
		s.appendLocked(topic, rec)
		body = body[4+n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end": len(s.topics[topic])})
}
