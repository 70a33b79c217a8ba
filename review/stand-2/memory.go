package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

// residentKB returns the resident memory of a process in kB, as the kernel counts it.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	n := 0
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(rest, &n)
		}
	}
	return n
}

// playMemory sends heads of many short lines and long bodies in very small chunks, which all stop short of their end and stay
// open, and watches the memory of the router.
func playMemory(r *run) int {
	const (
		heads, bodies = 700, 700
		memoryMb      = 112
		playTime      = 14 * time.Second
		retry         = 300 * time.Millisecond
		minOver       = time.Second
	)
	st, err := newStore("127.0.0.1")
	if err != nil {
		return cannotRun
	}
	defer st.close()
	handle := func(s *server, w http.ResponseWriter, _ *http.Request, _ []byte) {
		time.Sleep(15 * time.Millisecond)
		w.Header().Set("Laburnumring-Server-Seal", "seal-"+s.id)
		_, _ = io.WriteString(w, strings.Repeat("a", 800))
	}
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-app-%d", i), service: "app", zone: "ab"[i%2 : i%2+1], slots: 6, store: st, handle: handle}
		if err := s.start("127.0.0.1", "1"); err != nil {
			return cannotRun
		}
		defer s.crash()
	}
	st.put("keyed.op", "config", configuration(5, []string{"app"},
		route{name: "summary", kind: "idempotent", prefix: "/summary/", service: "app", timeoutMs: 15000, attempts: 2},
		route{name: "read", kind: "idempotent", prefix: "/read/", service: "app", timeoutMs: 1500, attempts: 2}))
	routers, err := newRouters(1, routerSettings{store: st.address, memoryMb: memoryMb, graceS: 8, dir: r.dir, root: r.root})
	if err != nil {
		return cannotRun
	}
	v := routers[0]
	defer v.stop()
	if !r.awaitReady(routers) {
		return cannotRun
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	var all sync.WaitGroup
	if r.trouble {
		head := "%s HTTP/1.1\r\nHost: " + host + "\r\nLaburnumring-Attempt-Id: %s\r\nLaburnumring-Deadline-Ms: 15000\r\n"
		lines, chunks := strings.Repeat("a:\r\n", 4000), strings.Repeat("1\r\nx\r\n", 150_000)
		for i := range max(heads, bodies) {
			if i < heads {
				all.Go(func() { press(v, done, retry, fmt.Sprintf(head, "GET /read/1", newID()), lines) })
			}
			if i < bodies {
				text := fmt.Sprintf(head+"Transfer-Encoding: chunked\r\n\r\n", "POST /summary/1", newID())
				all.Go(func() { press(v, done, retry, text, chunks) })
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	began, peak := time.Now(), 0
	var over, longest time.Duration
	last := began
	for time.Since(began) < playTime {
		time.Sleep(50 * time.Millisecond)
		n := residentKB(v.cmd.Process.Pid)
		peak = max(peak, n)
		now := time.Now()
		if n > memoryMb<<10 {
			over += now.Sub(last)
		} else {
			over = 0
		}
		longest, last = max(longest, over), now
		r.note("resident memory of %s: %d kB of %d", v.name, n, memoryMb<<10)
	}
	answered := readOnce(v)
	close(done)
	all.Wait()
	r.note("the last ordinary request: %s", answered)
	r.note("peak %d kB, over the limit of %d kB for %d ms in one piece", peak, memoryMb<<10, longest.Milliseconds())
	if longest > minOver {
		return broken
	}
	return held
}

// press keeps a connection to a router that sends a text and stays open. After each end it tries again.
func press(v *router, done chan struct{}, retry time.Duration, text ...string) {
	for {
		if c, err := dial(v.front, dialOptions{}); err == nil {
			stop := make(chan struct{})
			go func() {
				select {
				case <-done:
				case <-stop:
				}
				_ = c.Close()
			}()
			for _, t := range text {
				_, err = io.WriteString(c, t)
			}
			if err == nil {
				_, _ = io.Copy(io.Discard, c)
			}
			close(stop)
			_ = c.Close()
		}
		select {
		case <-done:
			return
		case <-time.After(retry):
		}
	}
}
