package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = playVersions }

// playVersions starts a server again under its id, with another software version, while the store is down. It goes down
// once more while it serves streams.
func playVersions(r *run) int {
	const (
		servers    = 10
		streams    = 90
		events     = 30
		eventPause = 100 * time.Millisecond
	)
	st, err := newStore("127.0.0.1")
	if err != nil {
		return cannotRun
	}
	defer st.close()
	handle := func(s *server, w http.ResponseWriter, req *http.Request, _ []byte) {
		id := req.Header.Get("Laburnumring-Attempt-Id")
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		version := s.softwareVersion()
		r.note("server %s of version %s runs %s after event %d", s.id, version, id, last)
		h := w.Header()
		h.Set("Laburnumring-Server-Seal", "seal-"+s.id)
		h.Set("Content-Type", "text/event-stream")
		out := http.NewResponseController(w)
		for i := last + 1; i <= events; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: version %s part %d\n\n", i, version, i); err != nil {
				return
			}
			if out.Flush() != nil || req.Context().Err() != nil {
				return
			}
			time.Sleep(eventPause)
		}
	}
	var list []*server
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-chat-%d", i), service: "chat", zone: "ab"[i%2 : i%2+1], slots: 16, store: st, handle: handle}
		if err := s.start("127.0.0.1", "1"); err != nil {
			return cannotRun
		}
		defer s.crash()
		list = append(list, s)
	}
	st.put("keyed.op", "config", configuration(5, []string{"chat"},
		route{name: "chat", kind: "stream", prefix: "/chat/", service: "chat", timeoutMs: 15000, attempts: 3, resumable: true}))
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
	var mu sync.Mutex
	complete, mixed, other := 0, 0, 0
	var wg sync.WaitGroup
	stream := func(i int) {
		c, err := dial(routers[i%2].front, dialOptions{})
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		q := request{method: "POST", path: fmt.Sprintf("/chat/%d", i), id: newID(), deadlineMs: 15000, body: "x"}
		r.note("client %d sends %s", i, q.id)
		if err := q.write(c); err != nil {
			return
		}
		resp, err := readAnswer(bufio.NewReader(c), q.method)
		var data []byte
		status := 0
		if err == nil {
			status = resp.StatusCode
			data, err = io.ReadAll(resp.Body)
		}
		one, two := strings.Count(string(data), "version 1 "), strings.Count(string(data), "version 2 ")
		r.note("client %d got status %d, %d events of version 1 and %d of version 2 of %s: %v", i, status, one, two, q.id, err)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case one > 0 && two > 0:
			mixed++
		case err == nil && one+two == events:
			complete++
		default:
			other++
		}
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		st.setMode(storeBusy)
		r.note("the store is down")
	}
	time.Sleep(2500 * time.Millisecond)
	list[0].crash()
	time.Sleep(300 * time.Millisecond)
	if err := list[0].start("127.0.0.1", "2"); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	r.note("server %s started again under its id, with version 2", list[0].id)
	time.Sleep(1500 * time.Millisecond)
	for i := range streams {
		wg.Go(func() { stream(i) })
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	list[0].crash()
	r.note("server %s crashed", list[0].id)
	time.Sleep(time.Second)
	st.setMode(storeUp)
	r.note("the store is up")
	wg.Wait()
	r.note("%d streams complete, %d with events of two versions, %d other", complete, mixed, other)
	switch {
	case mixed > 2:
		return broken
	case complete+other < streams/2:
		return cannotRun
	}
	return held
}
