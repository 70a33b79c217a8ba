package router

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// TestReasons checks the code against the tables of reasons in docs/CALLERS.md: every row must give the right
// status, and every reason in the source must have a row.
func TestReasons(t *testing.T) {
	doc, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	for reason := range documentedRefusals(t) {
		documented[reason] = true
	}
	rows := regexp.MustCompile(`(?m)^\| (\w+) \| (not_run|failed|unknown) \| (\d{3}) \| `)
	for _, m := range rows.FindAllStringSubmatch(string(doc), -1) {
		documented[m[1]] = true
		got := statusOf(dispatch.Finish{Outcome: outcome.Outcome(m[2]), Reason: m[1]})
		if strconv.Itoa(got) != m[3] {
			t.Errorf("%s as %s: status %d, the documentation says %s", m[1], m[2], got, m[3])
		}
	}
	for _, reason := range sourceReasons(t) {
		if !documented[reason] {
			t.Errorf("the documentation has no row for %s", reason)
		}
	}
}

// sourceReasons returns the reasons in the source code that callers may receive. It skips those of orders, which
// only operators receive.
func sourceReasons(t *testing.T) []string {
	t.Helper()
	var out []string
	pattern := regexp.MustCompile(`[rR]eason[A-Za-z]*(?::| *=) +"([a-z_]+)"`)
	for _, dir := range []string{"router", "dispatch", "agent", "admission", "claim", "caller"} {
		files, err := filepath.Glob("../" + dir + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || strings.HasSuffix(file, "/order.go") {
				continue
			}
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range pattern.FindAllStringSubmatch(string(data), -1) {
				out = append(out, m[1])
			}
		}
	}
	return out
}
