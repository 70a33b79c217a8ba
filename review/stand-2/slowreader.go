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

func init() { cases["slow-reader"] = playSlowReader }

// playSlowReader sends SIGHUP to a router and then requests whose clients read their answers slowly, well within their
// deadlines.
func playSlowReader(r *run) int {
	const (
		clients    = 12
		answerSize = 400 << 10
		deadlineMs = 15000
		// Clients with an even number read 40 KB a second all the time and need 10 seconds, the others read nothing for 4
		// seconds and then all.
		chunk = 8 << 10
		every = 200 * time.Millisecond
		pause = 4 * time.Second
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
		r.note("server %s runs %s", s.id, id)
		time.Sleep(20 * time.Millisecond)
		h := w.Header()
		h.Set("Laburnumring-Server-Seal", "seal-"+s.id)
		h.Set("Content-Length", fmt.Sprint(len(answer)))
		_, err := io.WriteString(w, answer)
		r.note("server %s wrote the answer of %s: %v", s.id, id, err)
	}
	var servers []*server
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-docs-%d", i), service: "docs", zone: "ab"[i%2 : i%2+1], slots: 16, store: st, handle: handle}
		if err := s.start("127.0.0.1", "1"); err != nil {
			return cannotRun
		}
		defer s.crash()
		servers = append(servers, s)
	}
	st.put("keyed.op", "config", configuration(5, []string{"docs"}, route{
		name: "report", kind: "idempotent", prefix: "/report/", service: "docs", timeoutMs: 15000, attempts: 2,
	}))
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
	complete, lost, other := 0, 0, 0
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(100+i*80) * time.Millisecond)
			c, err := dial(routers[0].front, dialOptions{ethernet: true})
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			q := request{method: "GET", path: fmt.Sprintf("/report/%d", i), id: newID(), deadlineMs: deadlineMs}
			sent := time.Now()
			r.note("client %d sends %s", i, q.id)
			if err := q.write(c); err != nil {
				return
			}
			br := bufio.NewReader(c)
			resp, err := readAnswer(br, q.method)
			n := int64(0)
			if err == nil {
				r.note("client %d got status %d of %s", i, resp.StatusCode, q.id)
				switch {
				case r.trouble && i%2 == 0:
					n, err = readSlowly(resp.Body, chunk, every)
				case r.trouble:
					time.Sleep(pause)
					fallthrough
				default:
					n, err = io.Copy(io.Discard, resp.Body)
				}
			}
			took := time.Since(sent)
			r.note("client %d read %d of %d bytes of %s after %d ms: %v", i, n, len(answer), q.id, took.Milliseconds(), err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && resp.StatusCode == 200 && n == int64(len(answer)):
				complete++
			case err != nil && ran[q.id] > 0 && took < deadlineMs*time.Millisecond:
				lost++
			default:
				other++
			}
		})
	}
	wg.Wait()
	r.note("%d complete, %d cut after they had been passed on to a server, %d other", complete, lost, other)
	switch {
	case lost > 0:
		return broken
	case complete < clients/2:
		return cannotRun
	}
	return held
}
