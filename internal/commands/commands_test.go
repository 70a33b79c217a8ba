package commands_test

import (
	"bytes"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/laburnumring/laburnumring/internal/commands"
)

// TestMain makes the laburnumring command available to the test scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"laburnumring": func() { os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the command line as an operator does. Each "status N ARGS" line runs the program and expects
// exit status N. $BUSY in the scripts' files is replaced by an address on which the test itself listens, so that a
// program that gets as far as listening there fails with "address already in use".
func TestScripts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: func(env *testscript.Env) error { return replaceBusyAddress(env.WorkDir, ln.Addr().String()) },
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"status": checkExitStatus},
	})
}

func replaceBusyAddress(dir, address string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, bytes.ReplaceAll(data, []byte("$BUSY"), []byte(address)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// checkExitStatus implements the script command status, which runs the program and compares its exit status.
func checkExitStatus(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec("laburnumring", args[1:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit status %d, want %d", got, want)
	}
}
