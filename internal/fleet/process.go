package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
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
		return fmt.Errorf("open log of %s: %w", p.name, err)
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	return nil
}

// Name returns the process's name in the fleet.
func (p *Process) Name() string { return p.name }

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

// ticksPerSecond is the unit of processor time in the kernel's process table.
const ticksPerSecond = 100

// Positions of fields after the program's name in a line of the process table.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldResident   = 21
)

// Usage reads what the process has used.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return Usage{}, fmt.Errorf("read usage of %s: %w", p.name, err)
	}
	return parseUsage(string(data))
}

func parseUsage(line string) (Usage, error) {
	_, rest, ok := strings.Cut(line, ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= fieldResident {
		return Usage{}, fmt.Errorf("process table line %q is too short", line)
	}
	user, err := strconv.ParseInt(fields[fieldUserTime], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	system, err := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	pages, err := strconv.ParseInt(fields[fieldResident], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		CPU:      time.Duration(user+system) * time.Second / ticksPerSecond,
		Resident: pages * int64(os.Getpagesize()),
	}, nil
}
