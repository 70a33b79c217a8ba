package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// serverOptions configures the stand-in of a backend server, which runs as a process of its own.
type serverOptions struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	// Stream is set for a model server. Events is the number of events of a stream, First the time to the first one and
	// Pause that between two, in ms. For other servers First is the time of the work.
	Stream bool `json:"stream"`
	Events int  `json:"events"`
	First  int  `json:"first"`
	Pause  int  `json:"pause"`
	// Poison is a word in a request's body that crashes the server, after CrashAfter complete events.
	Poison     string `json:"poison"`
	CrashAfter int    `json:"crash_after"`
	// Limit is the value of Server-Limit; empty for none.
	Limit string `json:"limit"`
	Born  int64  `json:"born"`
	// Unframed is set if streams have neither a length nor chunks and end with their connection.
	Unframed bool `json:"unframed"`
}

// serverMain runs a server. It writes a line for each request that arrives: run ID METHOD URI LAST-EVENT TENANT.
func serverMain(args []string) error {
	fs := flag.NewFlagSet("server", flag.ExitOnError)
	text := fs.String("options", "", "options as JSON")
	if err := fs.Parse(args); err != nil {
		return err
	}
	var o serverOptions
	if err := json.Unmarshal([]byte(*text), &o); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return err
	}
	fmt.Println("listening")
	var mu sync.Mutex
	running := 0
	say := func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", a...)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		say("exits")
		os.Exit(0)
	}()
	return http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Laburnumring-Attempt-Id")
		w.Header().Set("Laburnumring-Attempt-Id", id)
		if want := r.Header.Get("Laburnumring-Expect-Instance"); want != "" && want != o.ID {
			w.Header().Set("Laburnumring-Instance-Id", o.ID)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if o.Limit != "" {
			w.Header().Set("Server-Limit", o.Limit)
		}
		mu.Lock()
		full := running >= o.Slots*2
		if !full {
			running++
		}
		mu.Unlock()
		if full {
			say("shed %s", id)
			w.Header().Set("Laburnumring-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer func() { mu.Lock(); running--; mu.Unlock() }()
		say("run %s %s %s %s %s", id, r.Method, r.RequestURI, word(r.Header.Get("Last-Event-Id")), word(r.Header.Get("Laburnumring-Tenant")))
		poison := o.Poison != "" && strings.Contains(string(body), o.Poison)
		select {
		case <-time.After(time.Duration(o.First) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Laburnumring-Server-Seal", "seal."+o.ID+"."+id)
		if !o.Stream {
			if poison {
				say("crash %s", id)
				crash()
			}
			_, _ = fmt.Fprintf(w, "answer of %s to %s %s\n", o.ID, r.Method, r.RequestURI)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if poison && o.CrashAfter == 0 {
			say("crash %s", id)
			crash()
		}
		if o.Unframed {
			w.Header().Set("Transfer-Encoding", "identity")
			w.Header().Set("Connection", "close")
		}
		out := http.NewResponseController(w)
		for n := last + 1; n <= o.Events; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, o.Version, n)
			if out.Flush() != nil {
				return
			}
			if poison && n >= last+o.CrashAfter {
				// The bytes of the event have left before the process ends.
				time.Sleep(20 * time.Millisecond)
				say("crash %s", id)
				crash()
			}
			select {
			case <-time.After(time.Duration(o.Pause) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}))
}

func word(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// crash ends the process as a fault of its own would.
func crash() {
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {}
}

// server is a server's process as the driver sees it.
type server struct {
	w   *world
	o   serverOptions
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// start starts the process and waits until it listens.
func (s *server) start() error {
	s.o.Born = time.Now().UnixMilli()
	text, err := json.Marshal(s.o)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	s.cmd = exec.Command(self, "server", "-options", string(text))
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	s.cmd.Stderr = os.Stderr
	if err := s.cmd.Start(); err != nil {
		return err
	}
	s.ended = make(chan struct{})
	listening := make(chan struct{})
	ended, cmd := s.ended, s.cmd
	go func() {
		sc := bufio.NewScanner(out)
		for sc.Scan() {
			if sc.Text() == "listening" {
				close(listening)
				continue
			}
			s.w.serverLine(s.o.ID, sc.Text())
		}
		_ = cmd.Wait()
		s.w.record("server %s process ended", s.o.ID)
		close(ended)
	}()
	select {
	case <-listening:
		s.w.record("server %s started at %s, service %s, version %s", s.o.ID, s.o.Address, s.o.Service, s.o.Version)
		return nil
	case <-time.After(5 * time.Second):
		return fmt.Errorf("server %s does not listen", s.o.ID)
	}
}

// list writes the server's entry.
func (s *server) list(state string) {
	data, _ := json.Marshal(map[string]any{
		"service": s.o.Service, "address": s.o.Address, "zone": s.o.Zone, "version": s.o.Version, "slots": s.o.Slots,
		"state": state, "coldLeftMs": 0, "seq": 1, "born": s.o.Born,
	})
	s.w.store.write("keyed.servers", s.o.ID, data)
}

// unlist removes the server's entry, as the platform does after three heartbeats of silence.
func (s *server) unlist() { s.w.store.write("keyed.servers", s.o.ID, nil) }

func (s *server) kill() {
	if s.cmd != nil && s.cmd.Process != nil {
		_ = s.cmd.Process.Kill()
		<-s.ended
	}
}
