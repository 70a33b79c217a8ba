package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment on loopback: routers as processes, servers as processes, and a store.
type world struct {
	root    string
	dir     string
	net     string
	trouble bool
	began   time.Time
	store   *store
	routers []*router
	servers []*server
	sent    atomic.Int64
	// onServerLine is called for each line that a server's process writes; may be nil.
	onServerLine func(server, line string, at time.Time)

	mu  sync.Mutex
	out *bufio.Writer
	f   *os.File
}

// router is a router's process.
type router struct {
	w    *world
	name string
	ip   string
	zone string
	file string
	cmd  *exec.Cmd
	// disturbed is until when the router is not in touch because of what was done to its process.
	disturbed time.Time
	ended     chan struct{}
}

// stable is stableMs of the settings.
const stable = 3 * time.Second

func newWorld(record string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "laburnumring-review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), f: f, out: bufio.NewWriter(f)}
	// A loopback network of its own, so that the fixed ports of the routers are free.
	for i := range 200 {
		w.net = fmt.Sprintf("127.%d.%d.", 130+(os.Getpid()+i)%100, 1+os.Getpid()/100%250)
		ln, err := net.Listen("tcp", w.net+"1:8783")
		if err == nil {
			_ = ln.Close()
			break
		}
	}
	if w.store, err = newStore(w.net + "250"); err != nil {
		return nil, err
	}
	w.record("trouble %v, store at %s", w.trouble, w.store.address())
	return w, nil
}

// since returns the time since the start.
func (w *world) since(t time.Time) float64 { return t.Sub(w.began).Seconds() }

func (w *world) record(format string, a ...any) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%8.3f "+format+"\n", append([]any{w.since(now)}, a...)...)
}

func (w *world) serverLine(server, line string) {
	now := time.Now()
	w.record("server %s: %s", server, line)
	if w.onServerLine != nil {
		w.onServerLine(server, line, now)
	}
}

// close ends all processes.
func (w *world) close() {
	for _, r := range w.routers {
		r.kill()
	}
	for _, s := range w.servers {
		s.kill()
	}
	_ = w.store.srv.Close()
	w.mu.Lock()
	_ = w.out.Flush()
	_ = w.f.Close()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// freePort returns a free port of an address.
func freePort(ip string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// addServer starts a server and lists it.
func (w *world) addServer(o serverOptions) (*server, error) {
	address, err := freePort(w.net + strconv.Itoa(100+len(w.servers)))
	if err != nil {
		return nil, err
	}
	o.Address = address
	s := &server{w: w, o: o}
	w.servers = append(w.servers, s)
	if err := s.start(); err != nil {
		return nil, err
	}
	s.list("ready")
	return s, nil
}

// zones of the deployment.
var zones = []string{"recife", "fortaleza", "salvador"}

// runCommand returns the command of the deploy file.
func (w *world) runCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(v, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no run line")
}

// addRouters starts n routers and waits until they are ready.
func (w *world) addRouters(n int) error {
	for i := range n {
		r := &router{w: w, name: fmt.Sprintf("front-%d", i+1), ip: w.net + strconv.Itoa(i+1), zone: zones[i%len(zones)]}
		r.file = filepath.Join(w.dir, r.name+".yaml")
		var seeds []string
		for j := range min(3, n) {
			seeds = append(seeds, fmt.Sprintf("  - %q", w.net+strconv.Itoa(j+1)+":8785"))
		}
		text := fmt.Sprintf(`node: %[1]q
role: "router"
class: "front"
serves:
  - "front"
  - "control"
ip: %[2]q
zone: %[3]q
region: "nordeste"
zones:
  recife: "nordeste"
  fortaleza: "nordeste"
  salvador: "nordeste"
listen:
  front: "%[2]s:8783"
  ready: "%[2]s:8780"
  control: "%[2]s:8785"
portRange:
  - 7400
  - 7415
seeds:
%[4]s
firstStart: true
lossCounts: false
limits:
  cpuShare: 0.304
  cores: 1
  memoryMb: 134
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds:
  seedLagS: 3
  reuseAfterS: 2
  stableMs: 3000
  ackMs: 4000
  catchupS: 4
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configMs: 2000
  downgradeMs: 250
  skewMaxMs: 5000
  retryRatio: 0.2
  retryWindowS: 10
  retryBurst: 52
  recoveryS: 12
  passMs: 120
  reuseWindowS: 8
  quotaWindowS: 4
platform:
  address: %[5]q
  form: "log"
  writesPerS: 400
  readsPerS: 2000
  parts: 24
  keep_s: 300
`, r.name, r.ip, r.zone, strings.Join(seeds, "\n"), w.store.address())
		if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
			return err
		}
		w.routers = append(w.routers, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, r := range w.routers {
		for !r.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("router %s is not ready", r.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.record("all routers are ready")
	return nil
}

func (r *router) start() error {
	run, err := r.w.runCommand()
	if err != nil {
		return err
	}
	r.cmd = exec.Command(filepath.Join(r.w.root, run[0]), run[1:]...)
	r.cmd.Dir = r.w.root
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.w.dir, "LANG=C", "LABURNUMRING_BOOT=" + r.file}
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(r.w.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.disturbed = time.Now().Add(stable)
	r.ended = make(chan struct{})
	cmd, ended := r.cmd, r.ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		r.w.record("router %s process ended: %v", r.name, cmd.ProcessState)
		close(ended)
	}()
	r.w.record("router %s started at %s", r.name, r.ip)
	return nil
}

func (r *router) kill() {
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Kill()
		<-r.ended
	}
}

// ready asks the router's readiness as the platform does.
func (r *router) ready() bool {
	hc := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := hc.Get("http://" + r.ip + ":8780/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// inTouch reports whether nothing was done to the router's process in the last stableMs.
func (r *router) inTouch(at time.Time) bool { return at.After(r.disturbed) }

// routeOptions is a route of the configuration.
type routeOptions struct {
	name, prefix, kind, service string
	attempts, timeout, goal     int
	resumable, sticky           bool
}

// configure writes a configuration with the given routes. The service "assistant-llm" is one of model servers.
func (w *world) configure(version int, routes []routeOptions) {
	var list []map[string]any
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": "ficu95.example", "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeout,
			"goalMs": r.goal, "priority": 1, "service": r.service, "attempts": r.attempts, "public": false, "sticky": r.sticky,
		}
		if r.kind == "stream" {
			m["resumable"], m["gapTargetMs"] = r.resumable, 400
		}
		list = append(list, m)
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{
			{
				"name": "assistant-llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacity": 530248, "stride": 6, "models": []map[string]any{{"name": "m"}}},
			},
			{"name": "orders-app", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 340000},
		"tenants": []map[string]any{
			{"name": "hule930", "apiKeys": []string{"asnmgkcuyj8pjbvk9m68"}, "priority": 1},
			{"name": "wabi204", "apiKeys": []string{"k7b2ex5wa5xwyhks8nbk"}, "priority": 1},
		},
	})
	w.store.write("keyed.op", "config", data)
	w.record("operator: configuration %d", version)
}

// keys of the tenants.
var keys = []string{"asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"}

// attempt is one client attempt.
type attempt struct {
	method, path, body, key string
	deadline                time.Duration
	// resumes and last are empty for a new stream.
	resumes, last string
	// prefix is the prompt's parts; empty for none.
	prefix string
	tokens string
	// onEvent is called with each complete event of a stream; if it returns false, the client's connection ends.
	onEvent func(id int, data string) bool
}

// result is what the client saw of an attempt.
type result struct {
	id     string
	status int
	seal   bool
	body   string
	events int
	// whole is set if the answer ended as complete.
	whole      bool
	retryAfter time.Duration
	reason     string
	err        error
	sentAt     time.Time
}

// send makes one client attempt on a connection of its own.
func (w *world) send(r *router, a attempt) result { return w.sendMarked(r, a, nil) }

// sendMarked is send with a function that is told the attempt's id before it is sent.
func (w *world) sendMarked(r *router, a attempt, mark func(id string)) result {
	out := result{id: fmt.Sprintf("%016x", 0x9c41<<32|w.sent.Add(1)), sentAt: time.Now()}
	if mark != nil {
		mark(out.id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+r.ip+":8783"+a.path, strings.NewReader(a.body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = "ficu95.example"
	req.Close = true
	for name, v := range map[string]string{
		"Laburnumring-Attempt-Id": out.id, "X-Api-Key": a.key, "Laburnumring-Deadline-Ms": strconv.FormatInt(a.deadline.Milliseconds(), 10),
		"Laburnumring-Prompt-Prefix": a.prefix, "Laburnumring-Token-Counts": a.tokens, "Last-Event-Id": a.last, "Resumes": a.resumes,
	} {
		if v != "" {
			req.Header.Set(name, v)
		}
	}
	if a.prefix != "" {
		req.Header.Set("Laburnumring-Model", "m")
	}
	w.record("client: sends %s to %s: %s %s last=%s resumes=%s", out.id, r.name, a.method, a.path, word(a.last), word(a.resumes))
	w.receive(req, a, &out)
	w.record("client: %s has status %d, %d events, whole %v, reason %q, error %v", out.id, out.status, out.events, out.whole, out.reason, out.err)
	return out
}

func (w *world) receive(req *http.Request, a attempt, out *result) {
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	resp, err := (&http.Client{Transport: t}).Do(req)
	if err != nil {
		out.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	out.status = resp.StatusCode
	out.seal = resp.Header.Get("Laburnumring-Server-Seal") != ""
	if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(v * float64(time.Second))
	}
	if resp.StatusCode != http.StatusOK || a.onEvent == nil {
		data, err := io.ReadAll(resp.Body)
		out.body, out.err, out.whole = string(data), err, err == nil
		if !out.seal {
			out.reason = strings.TrimSpace(out.body)
		}
		return
	}
	br := bufio.NewReader(resp.Body)
	var event bytes.Buffer
	id := 0
	for {
		line, err := br.ReadString('\n')
		event.WriteString(line)
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(strings.TrimSpace(v))
		}
		if line == "\n" {
			out.events++
			_, data, _ := strings.Cut(event.String(), "data: ")
			event.Reset()
			if !a.onEvent(id, strings.TrimSpace(data)) {
				out.err = errors.New("the client's connection broke")
				return
			}
		}
		if err != nil {
			out.whole = err == io.EOF && event.Len() == 0
			if err != io.EOF {
				out.err = err
			}
			return
		}
	}
}
