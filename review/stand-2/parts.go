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

func init() { cases["parts"] = playParts }

// playParts sends requests with a prompt part that crashes servers to four routers, among sound ones with the same other parts.
func playParts(r *run) int {
	const (
		servers    = 12
		events     = 8
		eventPause = 100 * time.Millisecond
		downFor    = 2 * time.Second
		stable     = 3 * time.Second
	)
	const nparts = 80
	st, err := newStore("127.0.0.1")
	if err != nil {
		return cannotRun
	}
	defer st.close()
	const deadly = "dead0001"
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	var wg, restarts sync.WaitGroup
	handle := func(s *server, w http.ResponseWriter, req *http.Request, _ []byte) {
		id := req.Header.Get("Laburnumring-Attempt-Id")
		bad := strings.Contains(req.Header.Get("Laburnumring-Prompt-Prefix"), deadly)
		if bad {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			r.note("server %s gets %s with the part that crashes servers", s.id, id)
		}
		select {
		case <-time.After(30 * time.Millisecond):
		case <-req.Context().Done():
			return
		}
		if bad {
			mu.Lock()
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			r.note("server %s crashes, crash %d", s.id, n)
			s.crash()
			restarts.Go(func() {
				time.Sleep(downFor)
				if err := s.start("127.0.0.1", "1"); err != nil {
					r.note("%v", err)
				}
			})
			return
		}
		h := w.Header()
		h.Set("Laburnumring-Server-Seal", "seal-"+s.id)
		h.Set("Content-Type", "text/event-stream")
		out := http.NewResponseController(w)
		for i := range events {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: part %d\n\n", i+1, i+1); err != nil || out.Flush() != nil || req.Context().Err() != nil {
				return
			}
			time.Sleep(eventPause)
		}
	}
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-llm-%d", i), service: "llm", zone: "ab"[i%2 : i%2+1], slots: 64, store: st, handle: handle}
		if err := s.start("127.0.0.1", "1"); err != nil {
			return cannotRun
		}
		defer s.crash()
	}
	cfg := configuration(5, []string{"llm"}, route{name: "chat", kind: "stream", prefix: "/chat/", service: "llm", timeoutMs: 10000, attempts: 1})
	cfg["services"] = []map[string]any{{"name": "llm", "maxConns": 600, "healthPath": "/healthz", "engine": map[string]any{"slots": 64, "kvCapacity": 900000, "stride": 5}}}
	cfg["limits"].(map[string]any)["tokensPerS"] = 400000
	cfg["routes"].([]map[string]any)[0]["sticky"] = true
	st.put("keyed.op", "config", cfg)
	routers, err := newRouters(4, routerSettings{store: st.address, memoryMb: 284, graceS: 8, dir: r.dir, root: r.root})
	if err != nil {
		return cannotRun
	}
	for _, v := range routers {
		defer v.stop()
	}
	if !r.awaitReady(routers) {
		return cannotRun
	}
	time.Sleep(4 * time.Second)
	prefix := func(k int, bad bool) string {
		var list []string
		for i := range nparts {
			if i == nparts/2 && bad {
				list = append(list, deadly+":10")
			}
			list = append(list, fmt.Sprintf("%08x:10", 0x10000000+i))
		}
		return strings.Join(append(list, fmt.Sprintf("%08x:20", 0x50000000+k)), ",")
	}
	var complete, failed int
	send := func(v *router, k int, bad bool) {
		c, err := dial(v.front, dialOptions{})
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		q := request{method: "POST", path: fmt.Sprintf("/chat/%d", k), id: newID(), deadlineMs: 10000, body: fmt.Sprintf("body %d", k), headers: []string{
			"Laburnumring-Model: m", fmt.Sprintf("Laburnumring-Token-Counts: %d,40", nparts*10+20), "Laburnumring-Prompt-Prefix: " + prefix(k, bad),
		}}
		if bad {
			r.note("a client sends %s with the part to %s", q.id, v.name)
		}
		if q.write(c) != nil {
			return
		}
		resp, err := readAnswer(bufio.NewReader(c), q.method)
		status := 0
		n := 0
		if err == nil {
			status = resp.StatusCode
			var data []byte
			data, err = io.ReadAll(resp.Body)
			n = strings.Count(string(data), "\n\n")
		}
		if bad {
			r.note("the client got status %d of %s: %v", status, q.id, err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if status == 200 && n == events {
			complete++
		} else {
			failed++
		}
	}
	k := 0
	began := time.Now()
	for time.Since(began) < 30*time.Second {
		for range 4 {
			k++
			v := routers[k%4]
			wg.Go(func() { send(v, k, false) })
		}
		if r.trouble && k%40 == 0 {
			v, n := routers[(k/40)%4], k+1_000_000
			wg.Go(func() { send(v, n, true) })
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	restarts.Wait()
	r.note("%d sound requests complete, %d not", complete, failed)
	late := 0
	if len(crashes) >= 5 {
		for _, a := range arrivals {
			if a.After(crashes[4].Add(stable)) {
				late++
			}
		}
	}
	r.note("%d crashes, %d requests with the part reached servers more than 3 s after the fifth", len(crashes), late)
	switch {
	case late > 3:
		return broken
	case complete < failed:
		return cannotRun
	}
	return held
}
