package settings_test

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/laburnumring/laburnumring/internal/settings"
)

// TestDocumentedSettingsMatchTypes checks that the tables of settings in docs/OPERATIONS.md list exactly the fields of
// the types.
func TestDocumentedSettingsMatchTypes(t *testing.T) {
	text, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for section, typ := range map[string]reflect.Type{
		"## Router settings": reflect.TypeFor[settings.Router](),
		"## Agent settings":  reflect.TypeFor[settings.Agent](),
	} {
		_, after, _ := strings.Cut(string(text), section+"\n")
		table, _, _ := strings.Cut(after, "\n## ")
		var got []string
		for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|").FindAllStringSubmatch(table, -1) {
			got = append(got, m[1])
		}
		want := fieldPaths("", typ)
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Errorf("section %q lists %q, the type has %q", section, got, want)
		}
	}
}

// fieldPaths returns the dotted paths of all fields of a settings type.
func fieldPaths(prefix string, typ reflect.Type) []string {
	var out []string
	for f := range typ.Fields() {
		path := prefix + yamlName(f)
		out = append(out, path)
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			out = append(out, fieldPaths(path+".", inner)...)
		}
	}
	return out
}
