package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/laburnumring/laburnumring/internal/event"
)

// TestCatalogueAndDocsAgree checks that the code and docs/EVENTS.md have the same events, with the same numbers, levels
// and messages.
func TestCatalogueAndDocsAgree(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			rows++
		}
	}
	seen := make(map[int]bool)
	for _, e := range event.All() {
		row := fmt.Sprintf("| %d | %s | %s |", e.ID(), e.Level(), e.Message())
		if !strings.Contains(string(data), row) {
			t.Errorf("docs/EVENTS.md has no row that begins %q", row)
		}
		if seen[e.ID()] {
			t.Errorf("event %d is in the catalogue twice", e.ID())
		}
		seen[e.ID()] = true
	}
	if rows != len(seen) {
		t.Errorf("docs/EVENTS.md has %d rows, the catalogue %d", rows, len(seen))
	}
}
