package explain_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/explain"
)

// TestRequestLines selects the lines of requests from the recorded logs of two routers.
func TestRequestLines(t *testing.T) {
	var lines []explain.Line
	files, err := filepath.Glob("testdata/*.log")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		more, err := explain.Read(filepath.Base(name), f)
		_ = f.Close()
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, more...)
	}
	datadriven.RunTest(t, "testdata/story", func(_ *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		if err := explain.Write(&out, explain.RequestLines(lines, d.CmdArgs[0].Key)); err != nil {
			return fmt.Sprintln(err)
		}
		return out.String()
	})
}

// TestReadSkipsOtherOutput checks that Read skips the output of other programs and accepts a time before the line.
func TestReadSkipsOtherOutput(t *testing.T) {
	lines, err := explain.Read("x", strings.NewReader(
		"panic: no\n 1.5 vm-1 time=2026-01-01T00:00:00Z id=a server=s\ntime=yesterday id=a\n"))
	if err != nil || len(lines) != 1 || lines[0].ID != "a" || lines[0].Server != "s" {
		t.Fatalf("lines %+v, error %v", lines, err)
	}
}
