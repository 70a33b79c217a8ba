package ingress_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/platform/standin"
)

// Limits of the settings file and the configuration of these tests.
const (
	memoryMB    = 64
	maxFiles    = 1200
	headerBytes = 16 << 10
	bodyBytes   = 1 << 20
)

const (
	// startTime limits the time until a router serves its first request, and answerTime the time until an ordinary request
	// is answered after the crowd has gone.
	startTime  = 20 * time.Second
	answerTime = 10 * time.Second
	// openFilesInterval is the time between two counts of open descriptors.
	openFilesInterval = 20 * time.Millisecond
)

// process is a running router with its store and servers.
type process struct {
	t       *testing.T
	address string
	cmd     *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	client *http.Client
	log    string
}

// buildProgram builds the program without the race detector, whose memory would count as the router's.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "laburnumring")
	out, err := exec.Command("go", "build", "-o", program, "github.com/laburnumring/laburnumring/cmd/laburnumring").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// startProcess starts a router and waits until it serves.
func startProcess(t *testing.T, program, answer string) *process {
	t.Helper()
	store := standin.NewStore()
	front := httptest.NewServer(store.Handler())
	t.Cleanup(func() { front.CloseClientConnections(); front.Close() })
	store.Put("keyed.op", "config", []byte(fmt.Sprintf(`{"version":1,
		"routes":[{"name":"book","host":"h.example","pathPrefix":"/book/","kind":"idempotent","timeoutMs":30000,"goalMs":300,
			"service":"app","attempts":2,"public":true},
			{"name":"large","host":"h.example","pathPrefix":"/large/","kind":"idempotent","timeoutMs":30000,"goalMs":300,
			"service":"large","attempts":1,"public":true}],
		"services":[{"name":"app","maxConns":1000},{"name":"large","maxConns":1000}],
		"limits":{"maxBodyBytes":%d,"headerBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, bodyBytes, headerBytes)))
	for service, kind := range map[string]string{"app": "ok", "large": answer} {
		srv := standin.NewServer("ingress-"+service, standin.NewScript(standin.Behaviour{Kind: kind}))
		t.Cleanup(func() { srv.DropConnections(); srv.Close() })
		entry, err := json.Marshal(map[string]any{
			"service": service, "address": srv.Address(), "zone": "a", "version": "v1", "slots": 500, "state": "ready", "seq": 1, "born": 1,
		})
		if err != nil {
			t.Fatal(err)
		}
		store.Put("keyed.servers", "ingress-"+service, entry)
	}
	p := &process{
		t: t, address: fmt.Sprintf("127.240.%d.1", 1+os.Getpid()%250), exited: make(chan struct{}),
		client: &http.Client{Timeout: answerTime, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.yaml")
	text := fmt.Sprintf(`node: r
zone: a
firstStart: true
listen: {front: "%[1]s:8783", ready: "%[1]s:8780", control: "%[1]s:8785"}
portRange: [7400, 7415]
limits: {memoryMb: %d, maxFds: %d}
bounds: {graceS: 2, retryRatio: 0.2, retryWindowS: 10, retryBurst: 50}
platform: {address: "%s"}
`, p.address, memoryMB, maxFiles, strings.TrimPrefix(front.URL, "http://"))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p.log = filepath.Join(dir, "log")
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = out.Close() })
	p.cmd = exec.Command(program, "platform-router", "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.cmd.Wait(); close(p.exited) }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill(); <-p.exited })
	if err := p.answered(startTime); err != nil {
		t.Fatalf("the router does not serve: %v", err)
	}
	return p
}

// answered sends ordinary requests until one is answered, for at most the given time.
func (p *process) answered(limit time.Duration) error {
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = p.request(); err == nil {
			return nil
		}
	}
	return err
}

// request sends one ordinary request.
func (p *process) request() error {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address+":8783/book/x", strings.NewReader(strings.Repeat("x", 1000)))
	if err != nil {
		return err
	}
	req.Host = "h.example"
	req.Header.Set("Laburnumring-Attempt-Id", "ordinary")
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// openFiles returns the number of open descriptors, 0 after the end of the process.
func (p *process) openFiles() int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(files)
}

// memory returns a value of /proc/PID/status in bytes: VmHWM is the peak of the memory in use, VmRSS is what is in use.
func (p *process) memory(field string) int64 {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := bytes.Cut(data, []byte(field+":"))
	line, _, _ := bytes.Cut(rest, []byte(" kB"))
	n, err := strconv.ParseInt(strings.TrimSpace(string(line)), 10, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return n << 10
}
