package site_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/pkg/site"
)

// TestParse reads each configuration of testdata and prints it again, or its first fault.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s, err := site.Parse("site.yaml", []byte(d.Input))
			if err != nil {
				return err.Error()
			}
			text, err := s.YAML()
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Check(); err != nil {
				t.Errorf("the printed site is not accepted: %v", err)
			}
			return string(text)
		})
	})
}
