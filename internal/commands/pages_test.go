package commands_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestOperationsPageListsMetrics checks that docs/OPERATIONS.md names exactly the metrics that the code defines.
func TestOperationsPageListsMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	defined := metricNames(t)
	documented := make(map[string]bool)
	for _, name := range regexp.MustCompile(`laburnumring_[a-z_]+`).FindAllString(string(page), -1) {
		name = strings.TrimSuffix(name, "_sum")
		documented[name] = true
		if !defined[name] {
			t.Errorf("docs/OPERATIONS.md names %s, which the code does not define", name)
		}
	}
	for name := range defined {
		if !documented[name] {
			t.Errorf("docs/OPERATIONS.md does not name %s", name)
		}
	}
}

// metricNames returns the names of all metrics in the source. Each is a separate string literal there.
func metricNames(t *testing.T) map[string]bool {
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
