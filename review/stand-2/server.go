package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a backend server. It registers itself in the store and takes requests as long as it runs.
type server struct {
	id, service, zone string
	address           string
	slots             int
	store             *store
	handle            func(s *server, w http.ResponseWriter, r *http.Request, body []byte)

	mu      sync.Mutex
	version string
	born    int64
	seq     int64
	srv     *http.Server
	done    chan struct{}
	conns   map[net.Conn]struct{}
}

func (s *server) entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": state,
		"coldLeftMs": 0, "seq": s.seq, "born": s.born,
	}
}

// start starts an incarnation of the server with a software version, at the address that it had before if it had one.
func (s *server) start(ip, version string) error {
	address := s.address
	if address == "" {
		address = ip + ":0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.version, s.born, s.seq = ln.Addr().String(), version, time.Now().UnixMilli(), 0
	s.done, s.conns = make(chan struct{}), make(map[net.Conn]struct{})
	done := s.done
	s.srv = &http.Server{
		Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second,
		ConnState: func(c net.Conn, st http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch st {
			case http.StateNew:
				s.conns[c] = struct{}{}
			case http.StateClosed:
				delete(s.conns, c)
			}
		},
	}
	srv := s.srv
	s.mu.Unlock()
	go s.register(done)
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// register writes the server's entry at once and then at each heartbeat. While the store is down it tries again soon.
func (s *server) register(done chan struct{}) {
	for {
		pause := heartbeat
		if !s.store.put("keyed.servers", s.id, s.entry("ready")) {
			pause = 200 * time.Millisecond
		}
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
	}
}

// crash ends the incarnation: the listener closes and all connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	srv, done, conns := s.srv, s.done, s.conns
	s.srv, s.conns = nil, nil
	s.mu.Unlock()
	if srv == nil {
		return
	}
	close(done)
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = srv.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := r.Header.Get("Laburnumring-Attempt-Id")
	h.Set("Laburnumring-Attempt-Id", id)
	h.Set("Laburnumring-Instance-Id", s.id)
	if want := r.Header.Get("Laburnumring-Expect-Instance"); want != "" && want != s.id {
		h.Set("Laburnumring-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.handle(s, w, r, body)
}

func (s *server) softwareVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// route is a route of the operator's configuration.
type route struct {
	name, kind, prefix, service string
	timeoutMs, attempts         int
	resumable                   bool
}

const host = "ficu95.example"

// configuration returns the operator's configuration.
func configuration(version int, services []string, routes ...route) map[string]any {
	var rs, ss []map[string]any
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": r.kind, "service": r.service, "timeoutMs": r.timeoutMs,
			"goalMs": 1000, "attempts": r.attempts, "priority": 1,
		}
		if r.kind == "stream" {
			m["gapTargetMs"] = 400
			m["resumable"] = r.resumable
		}
		rs = append(rs, m)
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "maxConns": 100, "healthPath": "/healthz"})
	}
	return map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	}
}
