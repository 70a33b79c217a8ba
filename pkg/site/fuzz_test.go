package site_test

import (
	"errors"
	"testing"

	"github.com/laburnumring/laburnumring/pkg/document"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// FuzzParse parses arbitrary bytes. An accepted configuration must be accepted again after it is printed, and any other
// must be refused with a *document.FieldError.
func FuzzParse(f *testing.F) {
	f.Add([]byte("site: s\nteams:\n  - {name: a, weight: 1}\n"))
	f.Add([]byte("site: s\nteams: []\nservices: []\nplaces: []\nservers: []\n"))
	f.Add([]byte("site: [\n"))
	f.Add([]byte("site: s\n---\nsite: t\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := site.Parse("fuzz", data)
		if err != nil {
			var field *document.FieldError
			if !errors.As(err, &field) {
				t.Fatalf("error of type %T", err)
			}
			return
		}
		if err := s.Check(); err != nil {
			t.Fatalf("accepted, and refused when printed: %v", err)
		}
	})
}
