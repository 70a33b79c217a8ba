package commands_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestPagesNameMetrics holds docs/OPERATIONS.md to the metrics in the code: each one named there exists, and each
// that exists is named.
func TestPagesNameMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	defined := metrics(t)
	named := make(map[string]bool)
	for _, name := range regexp.MustCompile(`laburnumring_[a-z_]+`).FindAllString(string(page), -1) {
		name = strings.TrimSuffix(name, "_sum")
		named[name] = true
		if !defined[name] {
			t.Errorf("the page names %s, which is no metric", name)
		}
	}
	for name := range defined {
		if !named[name] {
			t.Errorf("the page does not name %s", name)
		}
	}
}

// metrics returns the names of metrics in the source, which are string literals of their own.
func metrics(t *testing.T) map[string]bool {
	t.Helper()
	out := make(map[string]bool)
	literal := regexp.MustCompile(`"(laburnumring_[a-z_]+)"`)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range literal.FindAllStringSubmatch(string(data), -1) {
			out[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
