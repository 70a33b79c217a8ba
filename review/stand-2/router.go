package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deployCommand is the command of the role in deploy/system.toml.
var deployCommand = []string{"target/laburnumring", "platform-router", "--metrics-port", "9464"}

// router is a router process.
type router struct {
	name, ip, zone string
	front, ready   string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
}

// routerSettings are the settings of all routers of a case.
type routerSettings struct {
	store    string
	memoryMb int
	graceS   int
	dir      string
	root     string
}

// newRouters prepares routers, each on a loopback address of its own as each runs on a machine of its own.
func newRouters(n int, o routerSettings) ([]*router, error) {
	var out []*router
	for attempt := 0; len(out) < n && attempt < 200; attempt++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%120, (os.Getpid()/120+attempt)%250, 1+len(out))
		if !portsFree(ip, 8783, 8780, 8785, 7400, 9464) {
			continue
		}
		zone := "a"
		if len(out)%2 == 1 {
			zone = "b"
		}
		r := &router{name: fmt.Sprintf("front-%s-%d", zone, 1+len(out)), ip: ip, zone: zone, front: ip + ":8783", ready: ip + ":8780"}
		out = append(out, r)
	}
	if len(out) < n {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	var seeds []string
	for i, r := range out {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("  - \"%s:8785\"\n", r.ip))
		}
	}
	for _, r := range out {
		r.settings = filepath.Join(o.dir, r.name+".yaml")
		text := fmt.Sprintf(settingsText, r.name, r.ip, r.zone, r.ip, r.ip, r.ip, strings.Join(seeds, ""), o.memoryMb, o.graceS, o.store)
		if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		f, err := os.Create(filepath.Join(o.dir, r.name+".log"))
		if err != nil {
			return nil, err
		}
		r.log = f
		if err := r.start(o.root); err != nil {
			return nil, err
		}
	}
	return out, nil
}

const settingsText = `node: "%s"
role: "router"
class: "front"
serves:
  - "front"
  - "control"
ip: "%s"
zone: "%s"
region: "r"
zones:
  a: "r"
  b: "r"
listen:
  front: "%s:8783"
  ready: "%s:8780"
  control: "%s:8785"
portRange:
  - 7400
  - 7415
seeds:
%sfirstStart: true
lossCounts: false
limits:
  cpuShare: 0.304
  cores: 1
  memoryMb: %d
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts:
  - "base"
  - "drain"
  - "config"
  - "cost"
  - "retry"
  - "recover"
  - "engine"
  - "stream"
  - "tenants"
  - "platform"
tolerate:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  stableMs: 3000
  ackMs: 4000
  catchupS: 4
  drainMs: 2000
  graceS: %d
  lossSlackMs: 200
  configMs: 2000
  downgradeMs: 250
  skewMaxMs: 5000
  strictRevoke: false
  revokeMs: 5000
  retryRatio: 0.2
  retryWindowS: 10
  retryBurst: 54
  recoveryS: 12
  passMs: 120
  reuseWindowS: 10
  quotaWindowS: 4
platform:
  address: "%s"
  form: "log"
  writesPerS: 400
  readsPerS: 2000
  parts: 24
  appendMs: 1.0
  partMbS: 20.0
  readMbS: 80.0
  recordBytes: 262144
  callBytes: 2097152
  keep_s: 20
  partMb: 200
  ttlMinMs: 1000
`

func portsFree(ip string, ports ...int) bool {
	for _, p := range ports {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// start starts the process with the command of the deploy file, in the repository's root.
func (r *router) start(root string) error {
	r.cmd = exec.Command(filepath.Join(root, deployCommand[0]), deployCommand[1:]...)
	r.cmd.Dir = root
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMRING_BOOT=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return r.cmd.Start()
}

// reload changes the settings file and tells the process so by SIGHUP. The new field is one that the router does not know.
func (r *router) reload() error {
	f, err := os.OpenFile(r.settings, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.WriteString("notice: 2\n"); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return r.signal(syscall.SIGHUP)
}

func (r *router) signal(s os.Signal) error { return r.cmd.Process.Signal(s) }

// stop ends the process.
func (r *router) stop() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	_ = r.cmd.Process.Signal(syscall.SIGCONT)
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}

// isReady asks the router as the platform does.
func (r *router) isReady() bool {
	hc := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := hc.Get("http://" + r.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
