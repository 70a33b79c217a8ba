package capacity_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/laburnumring/laburnumring/internal/capacity"
	"github.com/laburnumring/laburnumring/internal/slopes"
)

// TestCapacityPageMatchesSlopes checks that the tables in docs/CAPACITY.md are those computed from
// docs/capacity/slopes.jsonl, and that each fit in that file matches its points.
func TestCapacityPageMatchesSlopes(t *testing.T) {
	f, err := os.Open("../../docs/capacity/slopes.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	all, err := slopes.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range all {
		if got := slopes.NewFit(s.Points); got != s.Fit {
			t.Errorf("axis %s, %s, %s: recorded fit %+v, fit of the points %+v", s.Axis, s.Role, s.Cost, s.Fit, got)
		}
	}
	rows, err := capacity.Rows(all, capacity.Design())
	if err != nil {
		t.Fatal(err)
	}
	var tables bytes.Buffer
	if err := capacity.Write(&tables, rows); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), tables.String()) {
		t.Errorf("docs/CAPACITY.md doesn't contain the tables computed from the slopes:\n%s", tables.String())
	}
}
