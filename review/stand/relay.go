package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["relay"] = relay }

// longStream is one client's stream, over all its attempts.
type longStream struct {
	first string
	last  int
	text  string
}

// relay kills one of three routers while servers of two software versions serve. Its clients take up their streams, which
// are eleven to twelve seconds old, at the other routers.
func relay(w *world) (bool, error) {
	const (
		events = 37
		pause  = 380
		wave   = 135
		age    = 12500 * time.Millisecond
	)
	w.configure(1, []routeOptions{
		{name: "r-chat", prefix: "/lohu930/", kind: "stream", service: "assistant-llm", attempts: 2, timeout: 15000, goal: 600, resumable: true, sticky: true},
	})
	for i := range 4 {
		if _, err := w.addServer(serverOptions{
			ID: fmt.Sprintf("i-%02d", i), Service: "assistant-llm", Zone: zones[i%3], Version: fmt.Sprintf("v%d", 1+i%2), Slots: 64, Stream: true,
			Events: events, First: 60, Pause: pause,
		}); err != nil {
			return false, err
		}
	}
	if err := w.addRouters(3); err != nil {
		return false, err
	}
	time.Sleep(stable + 2*time.Second)

	var taken, wentOn, begun, asked, mixed atomic.Int64
	var wg sync.WaitGroup
	t0 := time.Now()
	// run has a client ask for a stream at a router. After some events, unless 0, the client's own connection breaks and it
	// takes up the stream at the next router a second later. A stream whose router is killed is taken up at once.
	run := func(n, first, breakAfter int) {
		st := &longStream{}
		began := time.Now()
		left := func() time.Duration { return 15*time.Second - time.Since(began) }
		a := attempt{
			method: "POST", path: "/lohu930/2f", body: fmt.Sprintf("prompt %d", n), key: keys[n%2], deadline: left(),
			tokens: "1460,80", prefix: fmt.Sprintf("91bd3f06:1200,%x:260", 0x1000+n),
		}
		var id string
		got := 0
		a.onEvent = func(event int, data string) bool {
			var version string
			var number int
			_, _ = fmt.Sscan(data, &version, &number)
			if st.first == "" {
				st.first, st.text = id, version
			}
			if version != st.text || event != st.last+1 {
				mixed.Add(1)
			}
			st.last = event
			got++
			return breakAfter == 0 || got < breakAfter
		}
		asked.Add(1)
		res := w.sendMarked(w.routers[first], a, func(s string) { id = s })
		if res.events > 0 {
			begun.Add(1)
		}
		if res.whole || st.last == 0 {
			return
		}
		if breakAfter > 0 {
			time.Sleep(time.Second)
		}
		breakAfter = 0
		// The client takes the stream up at another router, and tries once more at the one after that if it is refused.
		to := (first + 1 + n/3%2) % 3
		counted := false
		for range 2 {
			a.deadline, a.resumes, a.last = left(), st.first, fmt.Sprint(st.last)
			if a.deadline < 500*time.Millisecond {
				break
			}
			got = 0
			if !counted && w.routers[to].inTouch(time.Now()) {
				taken.Add(1)
				counted = true
			}
			res = w.sendMarked(w.routers[to], a, func(s string) { id = s })
			if got > 0 {
				if counted {
					wentOn.Add(1)
				}
				break
			}
			time.Sleep(min(res.retryAfter, left()/3))
			to = 3 - first - to
		}
	}
	for n := range wave {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			run(n, n%3, 0)
		})
	}
	for n := range 6 {
		wg.Go(func() {
			time.Sleep(2*time.Second + time.Duration(n)*500*time.Millisecond)
			run(1000+n, n%3, 3)
		})
	}
	for n := range 8 {
		wg.Go(func() {
			time.Sleep(age + time.Duration(n)*200*time.Millisecond)
			run(2000+n, 1+n%2, 0)
		})
	}
	time.Sleep(time.Until(t0.Add(age)))
	if w.trouble {
		w.record("router %s is killed", w.routers[0].name)
		w.routers[0].disturbed = time.Now().Add(time.Hour)
		w.routers[0].kill()
		// It is started again as the site's node_kill does.
		time.Sleep(3500 * time.Millisecond)
		if err := w.routers[0].start(); err != nil {
			return false, err
		}
	}
	wg.Wait()
	share, new := float64(wentOn.Load())/max(1, float64(taken.Load())), float64(begun.Load())/float64(asked.Load())
	held := taken.Load() < 12 || share >= new/2
	return w.verdict(held, "of %d streams that clients took up at routers in touch %d went on (%.2f); of %d new streams %d began (%.2f); events of two versions or out of order %d",
		taken.Load(), wentOn.Load(), share, asked.Load(), begun.Load(), new, mixed.Load())
}
