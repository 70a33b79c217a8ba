package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { cases["flood"] = playFlood }

// doorLog is what is seen of one router from outside.
type doorLog struct {
	mu sync.Mutex
	// taken is when new connections were made that the router kept open or answered on, unready when it said that it was
	// not ready, and tries when an ordinary client tried a new connection.
	taken, unready, tries []time.Time
}

func (d *doorLog) add(list *[]time.Time, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*list = append(*list, at)
}

// longestShut returns the longest span from one time to another in which the router always said that it was ready and took
// no new connection, and the number of ordinary clients that tried in it.
func (d *doorLog) longestShut(from, to time.Time) (span time.Duration, tries int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	marks := append(append([]time.Time{from, to}, d.taken...), d.unready...)
	sort.Slice(marks, func(i, j int) bool { return marks[i].Before(marks[j]) })
	for i := 1; i < len(marks); i++ {
		a, b := marks[i-1], marks[i]
		if a.Before(from) || b.After(to) || b.Sub(a) <= span {
			continue
		}
		span, tries = b.Sub(a), 0
		for _, t := range d.tries {
			if t.After(a) && t.Before(b) {
				tries++
			}
		}
	}
	return span, tries
}

// playFlood opens many connections with chunked bodies in very small chunks that stop just short of their end and stay
// open, while ordinary clients send requests on new connections.
func playFlood(r *run) int {
	const (
		flooders  = 1500
		chunks    = 500
		stable    = 3 * time.Second
		minTries  = 7
		playTime  = 14 * time.Second
		tryPause  = 100 * time.Millisecond
		heldAfter = 300 * time.Millisecond
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
	routers, err := newRouters(2, routerSettings{store: st.address, memoryMb: 134, graceS: 8, dir: r.dir, root: r.root})
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
	doors := make([]*doorLog, len(routers))
	done := make(chan struct{})
	var all sync.WaitGroup
	began := time.Now()
	answered := make([]int, int(playTime/time.Second)+1)
	tried := make([]int, len(answered))
	var mu sync.Mutex
	for i, v := range routers {
		d := &doorLog{}
		doors[i] = d
		all.Go(func() {
			for time.Since(began) < playTime {
				if !v.isReady() {
					d.add(&d.unready, time.Now())
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
		if r.trouble {
			for k := range flooders {
				all.Go(func() { flood(v, k, chunks, heldAfter, d, done) })
			}
		}
		all.Go(func() {
			var clients sync.WaitGroup
			defer clients.Wait()
			for time.Since(began) < playTime {
				clients.Go(func() {
					at := time.Now()
					d.add(&d.tries, at)
					result := readOnce(v)
					sec := int(at.Sub(began) / time.Second)
					r.note("a client's request on a new connection to %s: %s", v.name, result)
					mu.Lock()
					defer mu.Unlock()
					tried[sec]++
					if result == "status 200" {
						answered[sec]++
					}
					if strings.HasPrefix(result, "status") {
						d.add(&d.taken, at)
					}
				})
				time.Sleep(tryPause)
			}
		})
	}
	time.Sleep(playTime)
	end := time.Now()
	close(done)
	all.Wait()
	for sec := range tried {
		r.note("second %d: %d of %d ordinary requests answered with success", sec, answered[sec], tried[sec])
	}
	code := held
	for i, v := range routers {
		span, tries := doors[i].longestShut(began, end)
		r.note("%s: ready but without a new connection for %d ms at most, while %d ordinary clients tried", v.name, span.Milliseconds(), tries)
		if span > stable && tries >= minTries {
			code = broken
		}
	}
	return code
}

// readOnce sends a request on a new connection and returns what came of it.
func readOnce(v *router) string {
	c, err := dial(v.front, dialOptions{})
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	q := request{method: http.MethodGet, path: "/read/1", id: newID(), deadlineMs: 1500}
	if err := q.write(c); err != nil {
		return err.Error()
	}
	resp, err := readAnswer(bufio.NewReader(c), q.method)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("status %d", resp.StatusCode)
}

// flood keeps a connection to a router whose request stops just short of its end. After each end it tries again a second
// later.
func flood(v *router, k, chunks int, heldAfter time.Duration, d *doorLog, done chan struct{}) {
	text := fmt.Sprintf("POST /summary/%d HTTP/1.1\r\nHost: %s\r\nLaburnumring-Attempt-Id: %s\r\nLaburnumring-Deadline-Ms: 15000\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n%s", k, host, newID(), strings.Repeat("1\r\nx\r\n", chunks))
	pause := time.Duration(k) * time.Millisecond
	for {
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		pause = time.Second
		c, err := dial(v.front, dialOptions{})
		if err != nil {
			continue
		}
		at := time.Now()
		if _, err := io.WriteString(c, text); err == nil {
			_ = c.SetReadDeadline(at.Add(heldAfter))
			n, err := c.Read(make([]byte, 1))
			if n > 0 || isTimeout(err) {
				d.add(&d.taken, at)
				stop := make(chan struct{})
				go func() {
					select {
					case <-done:
					case <-stop:
					}
					_ = c.Close()
				}()
				_ = c.SetReadDeadline(time.Time{})
				_, _ = io.Copy(io.Discard, c)
				close(stop)
			}
		}
		_ = c.Close()
	}
}

func isTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}
