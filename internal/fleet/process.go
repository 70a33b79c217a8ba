package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// Process is one program that a Fleet started.
type Process struct {
	// name is unique in the fleet.
	name string
	// path and args start the program again after a kill.
	path string
	args []string
	// logFile takes the program's output; later runs append to it.
	logFile string
	// cmd is the current run.
	cmd *exec.Cmd
}

// Usage is what a process has used.
type Usage struct {
	// CPU is the processor time since the start of the process.
	CPU time.Duration
	// Resident is the memory held now, in bytes.
	Resident int64
}

// start runs the program.
func (p *Process) start() error {
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errorx.Decorate(err, "open log of %s", p.name)
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return errorx.Decorate(err, "start %s", p.name)
	}
	return nil
}

// Signal sends s to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Pause freezes the process until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process without warning and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// Restart starts the program again after its end, with no state.
func (p *Process) Restart() error { return p.start() }

// Terminate asks the process to shut down and waits up to limit for its end. It reports whether the process
// ended by itself.
func (p *Process) Terminate(limit time.Duration) bool {
	_ = p.Signal(syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.cmd.Wait()
	}()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		_ = p.cmd.Process.Kill()
		<-done
		return false
	}
}

// Usage reads what the process has used.
func (p *Process) Usage() (Usage, error) {
	root := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	cpu, err := processorTime(root)
	if err != nil {
		return Usage{}, errorx.Decorate(err, "read processor time of %s", p.name)
	}
	resident, err := residentBytes(root)
	if err != nil {
		return Usage{}, errorx.Decorate(err, "read memory of %s", p.name)
	}
	return Usage{CPU: cpu, Resident: resident}, nil
}

// RunDelays returns how long each thread of the process has waited for a processor since its start, by the name of the
// thread's directory.
func (p *Process) RunDelays() (map[string]time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil {
		return nil, errorx.Decorate(err, "read run delays of %s", p.name)
	}
	out := make(map[string]time.Duration, len(files))
	for _, file := range files {
		n, err := readField(file, runDelayField)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, errorx.Decorate(err, "read run delays of %s", p.name)
		}
		out[file] = time.Duration(n)
	}
	return out, nil
}

// runDelayField is the position of the time in the run queue in schedstat, in nanoseconds.
const runDelayField = 1

// processorTime adds up the time of a process's threads, which the kernel gives in nanoseconds.
func processorTime(root string) (time.Duration, error) {
	files, err := filepath.Glob(root + "/task/*/schedstat")
	if err != nil {
		return 0, err
	}
	var sum time.Duration
	for _, file := range files {
		n, err := readField(file, 0)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, err
		}
		sum += time.Duration(n)
	}
	return sum, nil
}

// residentField is the position of the resident pages in a process's memory counts.
const residentField = 1

func residentBytes(root string) (int64, error) {
	pages, err := readField(root+"/statm", residentField)
	return pages * int64(os.Getpagesize()), err
}

// readField reads the i-th whole number of a file.
func readField(file string, i int) (int64, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if i >= len(fields) {
		return 0, fmt.Errorf("%s has %d fields", file, len(fields))
	}
	return strconv.ParseInt(fields[i], 10, 64)
}
