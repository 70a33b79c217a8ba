// Command review2 plays the cases of the second review: stand-ins of the platform's store, of servers and of clients
// around routers that run as processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// run is one play of a case.
type run struct {
	root, dir string
	// trouble is unset if the case is played without the disruption.
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.record, format+"\n", args...)
}

var cases = map[string]func(*run) int{}

// limit is the longest time of a play; run.sh must end within 120 seconds.
const limit = 110 * time.Second

func main() {
	// The routers end with the thread that started them, so that none outlives this process.
	runtime.LockOSThread()
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(cannotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannotRun)
	}
	os.Exit(start(play, os.Args[2]))
}

func start(play func(*run) int, record string) int {
	root, err := os.Getwd()
	if err != nil {
		return cannotRun
	}
	if _, err := os.Stat(filepath.Join(root, deployCommand[0])); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return cannotRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}()
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = f.Close() }()
	time.AfterFunc(limit, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(cannotRun)
	})
	r := &run{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: f}
	r.note("trouble %v", r.trouble)
	code := play(r)
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", cannotRun: "the case could not run"}[code]
	r.note("%s", verdict)
	fmt.Println(verdict)
	return code
}

// awaitReady waits until all routers are ready.
func (r *run) awaitReady(list []*router) bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, v := range list {
			if v.isReady() {
				n++
			}
		}
		if n == len(list) {
			r.note("%d routers are ready", n)
			return true
		}
	}
	r.note("the routers did not become ready")
	return false
}
