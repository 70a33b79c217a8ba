package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["shared-connection"] = playSharedConnection }

// playSharedConnection sends SIGHUP to a router. Then some clients read large answers so slowly that their deadline ends
// it, while others read streams from the same servers at once.
func playSharedConnection(r *run) int {
	const (
		readers    = 24
		streams    = 24
		events     = 20
		eventPause = 200 * time.Millisecond
		answerSize = 900 << 10
		chunk      = 8 << 10
		every      = 200 * time.Millisecond
		deadlineMs = 2000
	)
	st, err := newStore("127.0.0.1")
	if err != nil {
		return cannotRun
	}
	defer st.close()
	answer := strings.Repeat("0123456789abcdef", answerSize/16)
	var mu sync.Mutex
	ran := make(map[string]int)
	handle := func(s *server, w http.ResponseWriter, req *http.Request, _ []byte) {
		id := req.Header.Get("Laburnumring-Attempt-Id")
		mu.Lock()
		ran[id]++
		mu.Unlock()
		h := w.Header()
		h.Set("Laburnumring-Server-Seal", "seal-"+s.id)
		r.note("server %s runs %s %s from %s", s.id, req.URL.Path, id, req.RemoteAddr)
		if strings.HasPrefix(req.URL.Path, "/report/") {
			time.Sleep(20 * time.Millisecond)
			h.Set("Content-Length", fmt.Sprint(len(answer)))
			_, err := io.WriteString(w, answer)
			r.note("server %s wrote the answer of %s: %v", s.id, id, err)
			return
		}
		h.Set("Content-Type", "text/event-stream")
		out := http.NewResponseController(w)
		for i := range events {
			_, err := fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", i+1, i+1)
			if err == nil {
				err = out.Flush()
			}
			if err == nil {
				err = req.Context().Err()
			}
			if err != nil {
				r.note("server %s stops %s after event %d because its connection was closed: %v", s.id, id, i, err)
				return
			}
			time.Sleep(eventPause)
		}
		r.note("server %s ended the stream of %s", s.id, id)
	}
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-docs-%d", i), service: "docs", zone: "ab"[i%2 : i%2+1], slots: 64, store: st, handle: handle}
		if err := s.start("127.0.0.1", "1"); err != nil {
			return cannotRun
		}
		defer s.crash()
	}
	st.put("keyed.op", "config", configuration(5, []string{"docs"},
		route{name: "report", kind: "idempotent", prefix: "/report/", service: "docs", timeoutMs: 15000, attempts: 2},
		route{name: "feed", kind: "stream", prefix: "/feed/", service: "docs", timeoutMs: 15000, attempts: 1}))
	routers, err := newRouters(2, routerSettings{store: st.address, memoryMb: 284, graceS: 8, dir: r.dir, root: r.root})
	if err != nil {
		r.note("%v", err)
		return cannotRun
	}
	for _, v := range routers {
		defer v.stop()
	}
	if !r.awaitReady(routers) {
		return cannotRun
	}
	time.Sleep(4 * time.Second)
	if err := routers[0].reload(); err != nil {
		return cannotRun
	}
	r.note("the settings file of %s has changed, SIGHUP", routers[0].name)
	var wg sync.WaitGroup
	for i := range readers {
		wg.Go(func() {
			time.Sleep(time.Duration(i*40) * time.Millisecond)
			c, err := dial(routers[0].front, dialOptions{ethernet: true})
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			q := request{method: "GET", path: fmt.Sprintf("/report/%d", i), id: newID(), deadlineMs: deadlineMs}
			_ = c.SetReadDeadline(time.Now().Add(deadlineMs * time.Millisecond))
			r.note("reader %d sends %s", i, q.id)
			if err := q.write(c); err != nil {
				return
			}
			resp, err := readAnswer(bufio.NewReader(c), q.method)
			n := int64(0)
			if err == nil {
				if r.trouble {
					n, err = readSlowly(resp.Body, chunk, every)
				} else {
					n, err = io.Copy(io.Discard, resp.Body)
				}
			}
			r.note("reader %d read %d bytes of %s and leaves: %v", i, n, q.id, err)
		})
	}
	complete, lost, other := 0, 0, 0
	for i := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(60+i*40) * time.Millisecond)
			c, err := dial(routers[0].front, dialOptions{})
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			q := request{method: "POST", path: fmt.Sprintf("/feed/%d", i), id: newID(), deadlineMs: 12000, body: "x"}
			sent := time.Now()
			r.note("client %d sends stream %s", i, q.id)
			if err := q.write(c); err != nil {
				return
			}
			resp, err := readAnswer(bufio.NewReader(c), q.method)
			var data []byte
			if err == nil {
				data, err = io.ReadAll(resp.Body)
			}
			n := strings.Count(string(data), "\n\n")
			r.note("client %d read %d of %d events of %s after %d ms: %v", i, n, events, q.id, time.Since(sent).Milliseconds(), err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && resp.StatusCode == 200 && n == events:
				complete++
			case err != nil && ran[q.id] > 0:
				lost++
			default:
				other++
			}
		})
	}
	wg.Wait()
	r.note("%d streams complete, %d cut after they had been passed on to a server, %d other", complete, lost, other)
	switch {
	case lost > 0:
		return broken
	case complete < streams/2:
		return cannotRun
	}
	return held
}
