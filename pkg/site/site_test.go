package site_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/pkg/site"
)

// TestParse parses each configuration of testdata and prints it again, or the error for its first invalid field.
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
				t.Errorf("the site is refused after it is printed: %v", err)
			}
			return string(text)
		})
	})
}
