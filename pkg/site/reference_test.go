package site

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestDocumentedConfigurationMatchesTypes checks that the table of the configuration in docs/OPERATIONS.md lists
// exactly the fields of the YAML types.
func TestDocumentedConfigurationMatchesTypes(t *testing.T) {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "## Configuration\n")
	table, _, _ := strings.Cut(after, "\n## ")
	var got []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z0-9_.]+)` \\|").FindAllStringSubmatch(table, -1) {
		got = append(got, m[1])
	}
	want := fieldPaths("", reflect.TypeFor[yamlSite]())
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("docs/OPERATIONS.md lists %q, the types have %q", got, want)
	}
}

// fieldPaths returns the dotted paths of all fields of a YAML type.
func fieldPaths(prefix string, typ reflect.Type) []string {
	var out []string
	for f := range typ.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		out = append(out, prefix+name)
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			out = append(out, fieldPaths(prefix+name+".", inner)...)
		}
	}
	return out
}
