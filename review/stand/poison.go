package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

// poison has one stream request crash each server that runs it. The server has written the first event of the answer when
// it crashes, and is back three seconds later. The request comes again every two seconds, at any router.
func poison(w *world) (bool, error) {
	const (
		servers    = 9
		comesAgain = 2 * time.Second
		lasts      = 36 * time.Second
		back       = 3 * time.Second
	)
	crashAfter := 1
	if v := os.Getenv("CRASH_AFTER"); v != "" {
		crashAfter, _ = strconv.Atoi(v)
	}
	w.configure(1, []routeOptions{
		{name: "r-chat", prefix: "/lohu930/", kind: "stream", service: "assistant-llm", attempts: 2, timeout: 15000, goal: 600, resumable: true, sticky: true},
	})
	// PART=1 plays a prompt part that crashes servers instead: no two requests with it are alike. The rule counts from the
	// fifth crash then.
	part, counted := os.Getenv("PART") == "1", 3
	if part {
		counted = 5
	}
	word := "poison"
	if !w.trouble {
		word = ""
	}
	var mu sync.Mutex
	poisonIDs := make(map[string]bool)
	arrived := make(map[string]time.Time)
	var crashes []time.Time
	restarts := 0
	var wg sync.WaitGroup
	closing := make(chan struct{})
	w.onServerLine = func(id, line string, at time.Time) {
		f := strings.Fields(line)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case f[0] == "run" && poisonIDs[f[1]]:
			if _, ok := arrived[f[1]]; !ok {
				arrived[f[1]] = at
			}
		case f[0] == "crash":
			crashes = append(crashes, at)
			for _, s := range w.servers {
				if s.o.ID != id {
					continue
				}
				wg.Go(func() {
					select {
					case <-closing:
						return
					case <-time.After(back):
					}
					<-s.ended
					// Its start is a new incarnation with a new id. The platform removes the old entry after three heartbeats.
					old := s.o.ID
					time.AfterFunc(3*heartbeat-back, func() { w.store.write("keyed.servers", old, nil) })
					mu.Lock()
					restarts++
					s.o.ID = fmt.Sprintf("i-n%02d", restarts)
					mu.Unlock()
					if err := s.start(); err != nil {
						w.record("server %s did not start again: %v", old, err)
						return
					}
					s.list("ready")
				})
			}
		}
	}
	for i := range servers {
		if _, err := w.addServer(serverOptions{
			ID: fmt.Sprintf("i-%02d", i), Service: "assistant-llm", Zone: zones[i%3], Version: "v1", Slots: 64, Stream: true,
			Events: 12, First: 60, Pause: 100, Poison: word, CrashAfter: crashAfter,
		}); err != nil {
			return false, err
		}
	}
	if err := w.addRouters(4); err != nil {
		return false, err
	}
	time.Sleep(stable + time.Second)
	end := time.Now().Add(lasts)
	var sound, whole int
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(250 * time.Millisecond)
			wg.Go(func() {
				res := w.send(w.routers[n%4], attempt{
					method: "POST", path: "/lohu930/2f", body: fmt.Sprintf("sound prompt %d", n), key: keys[1], deadline: 15 * time.Second,
					tokens: "1460,80", prefix: fmt.Sprintf("91bd3f06:1200,%x:260", 0x1000+n), onEvent: func(int, string) bool { return true },
				})
				mu.Lock()
				defer mu.Unlock()
				sound++
				if res.status == 200 && res.whole && res.events == 12 {
					whole++
				}
			})
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() {
			a := attempt{
				method: "POST", path: "/lohu930/7c", body: "the poison prompt", key: keys[0], deadline: 15 * time.Second,
				tokens: "1460,80", prefix: "5c1e07a2:1200,e4402b7d:260", onEvent: func(int, string) bool { return true },
			}
			if part {
				a.body = fmt.Sprintf("poison prompt %d", n)
				a.prefix = fmt.Sprintf("5c1e07a2:800,deadbeef:400,%x:260", 0x9000+n)
			}
			w.sendMarked(w.routers[n%4], a, func(id string) { mu.Lock(); defer mu.Unlock(); poisonIDs[id] = true })
		})
		time.Sleep(comesAgain)
	}
	close(closing)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= counted {
		for _, at := range arrived {
			if at.After(crashes[counted-1].Add(stable)) {
				late++
			}
		}
	}
	return w.verdict(late <= 3, "%d crashes of servers; of %d client attempts with the request %d reached servers, %d later than stableMs after crash %d (more than 3 break BUDGET); %d of %d sound streams whole",
		len(crashes), len(poisonIDs), len(arrived), late, counted, whole, sound)
}
