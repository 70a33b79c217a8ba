package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["flap"] = flap }

// flap has servers of one software version go down and up by turns, under their ids and at their version, while servers of
// a second version serve beside them. Clients take up the streams that break off.
func flap(w *world) (bool, error) {
	const (
		events = 37
		pause  = 380
		old    = 4
		down   = 2500 * time.Millisecond
		turn   = 3500 * time.Millisecond
	)
	w.configure(1, []routeOptions{
		{name: "r-chat", prefix: "/lohu930/", kind: "stream", service: "assistant-llm", attempts: 2, timeout: 15000, goal: 600, resumable: true, sticky: true},
	})
	for i := range old + 2 {
		version := "v1"
		if i >= old {
			version = "v2"
		}
		if _, err := w.addServer(serverOptions{
			ID: fmt.Sprintf("i-%02d", i), Service: "assistant-llm", Zone: zones[i%3], Version: version, Slots: 64, Stream: true,
			Events: events, First: 60, Pause: pause,
		}); err != nil {
			return false, err
		}
	}
	if err := w.addRouters(4); err != nil {
		return false, err
	}
	time.Sleep(stable + 2*time.Second)
	var taken, wentOn, asked, begun, mixed atomic.Int64
	var wg sync.WaitGroup
	run := func(n int) {
		var first, text, id string
		last, got := 0, 0
		began := time.Now()
		a := attempt{
			method: "POST", path: "/lohu930/2f", body: fmt.Sprintf("prompt %d", n), key: keys[n%2], deadline: 15 * time.Second,
			tokens: "1460,80", prefix: fmt.Sprintf("91bd3f%02x:1200,%x:260", n%24, 0x1000+n),
		}
		a.onEvent = func(event int, data string) bool {
			var version string
			var number int
			_, _ = fmt.Sscan(data, &version, &number)
			if first == "" {
				first, text = id, version
			}
			if version != text || event != last+1 {
				mixed.Add(1)
			}
			last = event
			got++
			return true
		}
		asked.Add(1)
		res := w.sendMarked(w.routers[n%4], a, func(s string) { id = s })
		if res.events > 0 {
			begun.Add(1)
		}
		if last == 0 || res.whole {
			return
		}
		taken.Add(1)
		for try := range 2 {
			got = 0
			a.deadline, a.resumes, a.last = 15*time.Second-time.Since(began), first, fmt.Sprint(last)
			if a.deadline < 500*time.Millisecond {
				break
			}
			res = w.sendMarked(w.routers[(n+1+try)%4], a, func(s string) { id = s })
			if got > 0 {
				wentOn.Add(1)
				return
			}
			time.Sleep(min(res.retryAfter, a.deadline/3))
		}
	}
	stop := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(160 * time.Millisecond):
			}
			wg.Go(func() { run(n) })
		}
	})
	time.Sleep(4 * time.Second)
	for i := range old {
		began := time.Now()
		if s := w.servers[i%old]; w.trouble {
			w.record("server %s crashes", s.o.ID)
			s.kill()
			time.Sleep(down)
			if err := s.start(); err != nil {
				return false, err
			}
			s.list("ready")
		}
		time.Sleep(time.Until(began.Add(turn)))
	}
	close(stop)
	wg.Wait()
	share, new := float64(wentOn.Load())/max(1, float64(taken.Load())), float64(begun.Load())/float64(asked.Load())
	return w.verdict(taken.Load() < 12 || share >= new/2, "of %d streams that clients took up at routers in touch %d went on (%.2f); of %d new streams %d began (%.2f); events out of order or of two versions %d",
		taken.Load(), wentOn.Load(), share, asked.Load(), begun.Load(), new, mixed.Load())
}
