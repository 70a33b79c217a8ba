package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["leaving"] = leaving }

// leaving has two of the model servers, whose streams have neither a length nor chunks, be replaced one after the other: the
// new one starts first, then the old one reports that it drains. It crashes while it drains.
func leaving(w *world) (bool, error) {
	const (
		events  = 30
		servers = 6
		drain   = 2 * time.Second
		linger  = 8 * time.Second
		// crashAfter is within drainMs, in which the server goes on serving.
		crashAfter = time.Second
	)
	w.configure(1, []routeOptions{
		{name: "r-chat", prefix: "/lohu930/", kind: "stream", service: "assistant-llm", attempts: 2, timeout: 15000, goal: 600, resumable: true, sticky: true},
	})
	options := func(i int) serverOptions {
		return serverOptions{
			ID: fmt.Sprintf("i-%02d", i), Service: "assistant-llm", Zone: zones[i%3], Version: "v1", Slots: 64, Stream: true,
			Events: events, First: 60, Pause: 250, Unframed: true,
		}
	}
	for i := range servers {
		if _, err := w.addServer(options(i)); err != nil {
			return false, err
		}
	}
	if err := w.addRouters(4); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	var whole, short, other atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(150 * time.Millisecond)
			wg.Go(func() {
				last, order := 0, true
				res := w.send(w.routers[n%4], attempt{
					method: "POST", path: "/lohu930/2f", body: fmt.Sprintf("prompt %d", n), key: keys[n%2], deadline: 15 * time.Second,
					tokens: "1460,80", prefix: fmt.Sprintf("91bd3f%02x:1200,%x:260", n%16, 0x1000+n),
					onEvent: func(id int, _ string) bool {
						order = order && id == last+1
						last = id
						return true
					},
				})
				switch {
				case res.status == 200 && res.whole && order && last == events:
					whole.Add(1)
				case res.status == 200 && res.whole:
					short.Add(1)
					w.record("client: %s ended as complete after event %d of %d, in order %v", res.id, last, events, order)
				default:
					other.Add(1)
				}
			})
		}
	})
	// Two of the servers are replaced, one after the other. A server that drains has time for all of its streams.
	for i := range 2 {
		if _, err := w.addServer(options(servers + i)); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		old := w.servers[i]
		w.record("server %s drains", old.o.ID)
		old.list("draining")
		if w.trouble {
			time.Sleep(crashAfter)
			crashed := old
			if os.Getenv("LISTED") == "1" {
				// For comparison, a server crashes that doesn't drain.
				crashed = w.servers[2+i]
			}
			w.record("server %s crashes", crashed.o.ID)
			crashed.kill()
			// The platform removes its entry after three heartbeats of silence.
			time.Sleep(3 * heartbeat)
			crashed.unlist()
			time.Sleep(drain + linger - crashAfter - 3*heartbeat)
		} else {
			time.Sleep(drain + linger)
		}
		old.unlist()
		_ = old.cmd.Process.Signal(syscall.SIGTERM)
		<-old.ended
	}
	wg.Wait()
	return w.verdict(short.Load() == 0, "%d streams were whole, %d ended as complete before their last event, %d ended otherwise", whole.Load(), short.Load(), other.Load())
}
