package capacity_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/laburnumring/laburnumring/internal/capacity"
	"github.com/laburnumring/laburnumring/internal/slopes"
)

// TestPageShowsTheSlopes holds the tables of docs/CAPACITY.md to the slopes that stand beside it.
func TestPageShowsTheSlopes(t *testing.T) {
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
			t.Errorf("axis %s, %s, %s: fit %+v, the points give %+v", s.Axis, s.Role, s.Cost, s.Fit, got)
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
		t.Errorf("the page's tables are not those of the slopes:\n%s", tables.String())
	}
}
