// Command stand runs the stand-ins and the cases of the review. It is run from the repository's root.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world) (bool, error){}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: stand server -options JSON | stand CASE RECORD")
		os.Exit(2)
	}
	if os.Args[1] == "server" {
		fmt.Fprintln(os.Stderr, serverMain(os.Args[2:]))
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, record string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() {
		held, err := f(w)
		switch {
		case err != nil:
			w.record("could not run: %v", err)
			fmt.Println("could not run:", err)
			done <- 2
		case !held:
			done <- 1
		default:
			done <- 0
		}
	}()
	select {
	case code := <-done:
		return code
	case <-stop:
		return 2
	}
}

// verdict records and prints the result.
func (w *world) verdict(held bool, format string, a ...any) (bool, error) {
	text := fmt.Sprintf(format, a...)
	if held {
		text = "rule held: " + text
	} else {
		text = "rule broken: " + text
	}
	w.record("%s", text)
	fmt.Println(text)
	return held, nil
}
