package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["restored"] = restored
	cases["forgotten"] = forgotten
}

// restored has the routers' processes killed at the moment at which the store goes away and comes back from a copy that is
// six seconds old. Some four and a half seconds before, servers of a second software version have come. Clients take up their streams.
func restored(w *world) (bool, error) {
	const (
		events = 30
		pause  = 300
		copied = 6 * time.Second
		away   = 500 * time.Millisecond
		begin  = 24
	)
	w.configure(1, []routeOptions{
		{name: "r-chat", prefix: "/lohu930/", kind: "stream", service: "assistant-llm", attempts: 2, timeout: 15000, goal: 600, resumable: true, sticky: true},
	})
	add := func(i int, version string) error {
		_, err := w.addServer(serverOptions{
			ID: fmt.Sprintf("i-%02d", i), Service: "assistant-llm", Zone: zones[i%3], Version: version, Slots: 64, Stream: true,
			Events: events, First: 60, Pause: pause,
		})
		return err
	}
	for i := range 3 {
		if err := add(i, "v1"); err != nil {
			return false, err
		}
	}
	if err := w.addRouters(4); err != nil {
		return false, err
	}
	time.Sleep(copied + time.Second)
	for i := range 3 {
		if err := add(3+i, "v2"); err != nil {
			return false, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	// ONLY=kill and ONLY=drill play one of the two disruptions.
	only := os.Getenv("ONLY")
	var taken, wentOn, mixed atomic.Int64
	var wg sync.WaitGroup
	run := func(n int) {
		var first, text, id string
		last, bad := 0, false
		began := time.Now()
		for try := range 5 {
			a := attempt{
				method: "POST", path: "/lohu930/2f", body: fmt.Sprintf("prompt %d", n), key: keys[n%2], deadline: 15*time.Second - time.Since(began),
				tokens: "1460,80", prefix: fmt.Sprintf("91bd3f%02x:1200,%x:260", n%16, 0x1000+n), resumes: first,
			}
			if last > 0 {
				a.last = fmt.Sprint(last)
			}
			got := 0
			a.onEvent = func(event int, data string) bool {
				var version string
				var number int
				_, _ = fmt.Sscan(data, &version, &number)
				if first == "" {
					first, text = id, version
				}
				if version != text && !bad {
					bad = true
					w.record("client: stream %s, begun by version %s, goes on with event %d of version %s", first, text, event, version)
				}
				last = event
				got++
				return true
			}
			res := w.sendMarked(w.routers[(n+try)%4], a, func(s string) { id = s })
			if try > 0 && got > 0 {
				wentOn.Add(1)
			}
			if res.whole && res.status == 200 || last == 0 {
				break
			}
			if try == 0 {
				taken.Add(1)
			}
			time.Sleep(max(400*time.Millisecond, res.retryAfter))
		}
		if bad {
			mixed.Add(1)
		}
	}
	for n := range begin {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			run(n)
		})
	}
	time.Sleep(2900 * time.Millisecond)
	if w.trouble {
		w.record("the store goes away, and all routers are killed")
		if only != "kill" {
			wg.Go(func() { w.store.drill(away, copied) })
		}
		if only == "drill" {
			wg.Wait()
			return w.verdict(mixed.Load() <= 2, "%d streams hold events of two software versions", mixed.Load())
		}
		for _, r := range w.routers {
			_ = r.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, r := range w.routers {
			<-r.ended
		}
		time.Sleep(away)
		for _, r := range w.routers {
			if err := r.start(); err != nil {
				return false, err
			}
		}
	}
	wg.Wait()
	return w.verdict(mixed.Load() <= 2, "of %d streams that clients took up %d went on; %d streams hold events of two software versions (more than 2 break ORDER)",
		taken.Load(), wentOn.Load(), mixed.Load())
}

// forgotten has the store go away for a moment and come back from a copy that is eight seconds old, while servers of two
// software versions serve. Before, many users come at once; after it, few streams begin, and clients take up their streams.
func forgotten(w *world) (bool, error) {
	const (
		routers = 20
		events  = 30
		pause   = 250
		copied  = 8 * time.Second
		away    = 500 * time.Millisecond
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
	if err := w.addRouters(routers); err != nil {
		return false, err
	}
	time.Sleep(stable + 2*time.Second)
	var taken, wentOn, asked, begun, mixed atomic.Int64
	var unstable atomic.Int64
	var wg sync.WaitGroup
	// run has a client ask for a stream at a router. If it breaks, the client's connection ends after five events, and the
	// client takes the stream up at another router a second later.
	run := func(n int, breaks bool) {
		var first, text, id string
		last, got := 0, 0
		began := time.Now()
		a := attempt{
			method: "POST", path: "/lohu930/2f", body: fmt.Sprintf("prompt %d", n), key: keys[n%2], deadline: 15 * time.Second,
			tokens: "1460,80", prefix: fmt.Sprintf("91bd3f%02x:1200,%x:260", n%16, 0x1000+n),
		}
		broken := false
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
			if breaks && !broken && got == 5 {
				broken = true
				return false
			}
			return true
		}
		asked.Add(1)
		res := w.sendMarked(w.routers[n%routers], a, func(s string) { id = s })
		if res.events > 0 {
			begun.Add(1)
		}
		if !broken {
			return
		}
		time.Sleep(time.Second)
		now := time.Now().UnixNano()
		counted := now > unstable.Load()
		if counted {
			taken.Add(1)
		}
		for try := range 2 {
			got = 0
			a.deadline, a.resumes, a.last = 15*time.Second-time.Since(began), first, fmt.Sprint(last)
			res = w.sendMarked(w.routers[(n+1+try*(1+n%3))%routers], a, func(s string) { id = s })
			if got > 0 {
				if counted {
					wentOn.Add(1)
				}
				return
			}
			time.Sleep(min(res.retryAfter, a.deadline/3))
		}
	}
	n := 0
	spawn := func(breaks bool) {
		i := n
		n++
		wg.Go(func() { run(i, breaks) })
	}
	for range 80 {
		time.Sleep(125 * time.Millisecond)
		spawn(n >= 44 && n < 66)
	}
	w.record("the record of origins has %d entries", w.store.end("origins"))
	if w.trouble {
		w.record("the store goes away")
		unstable.Store(time.Now().Add(time.Hour).UnixNano())
		w.store.drill(away, copied)
		unstable.Store(time.Now().Add(stable).UnixNano())
		w.record("the store is back; the record of origins has %d entries", w.store.end("origins"))
	}
	time.Sleep(stable)
	for range 6 {
		for range 25 {
			spawn(true)
		}
		time.Sleep(2 * time.Second)
		w.record("the record of origins has %d entries", w.store.end("origins"))
	}
	wg.Wait()
	share, new := float64(wentOn.Load())/max(1, float64(taken.Load())), float64(begun.Load())/float64(asked.Load())
	return w.verdict(taken.Load() < 12 || share >= new/2, "of %d streams that clients took up at routers in touch %d went on (%.2f); of %d new streams %d began (%.2f); events out of order or of two versions %d",
		taken.Load(), wentOn.Load(), share, asked.Load(), begun.Load(), new, mixed.Load())
}
