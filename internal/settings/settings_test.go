package settings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/settings"
	"github.com/laburnumring/laburnumring/pkg/document"
)

// TestSettings reads each settings file of testdata and compares the resulting settings, or the error.
func TestSettings(t *testing.T) {
	dir := t.TempDir()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			file := filepath.Join(dir, d.Cmd+".yaml")
			if err := os.WriteFile(file, []byte(d.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			return strings.NewReplacer(
				dir+"/", "",
				fieldList(settings.Router{}), "ALL ROUTER FIELDS",
				fieldList(settings.Agent{}), "ALL AGENT FIELDS",
			).Replace(readSettings(d.Cmd, file))
		})
	})
}

func readSettings(role, file string) string {
	var s any
	var err error
	switch role {
	case "router":
		s, err = settings.ReadRouter(file)
	case "agent":
		s, err = settings.ReadAgent(file)
	default:
		return "no such role"
	}
	var fault *document.FieldError
	if err != nil && !errors.As(err, &fault) {
		return fmt.Sprintf("error of type %T", err)
	}
	if err != nil {
		return err.Error()
	}
	return nonZeroFields(s)
}

// nonZeroFields lists the fields that are not zero, so that a new setting doesn't change the output of other cases.
func nonZeroFields(s any) string {
	var out strings.Builder
	v := reflect.ValueOf(s)
	for i := range v.NumField() {
		if f := v.Field(i); !f.IsZero() {
			fmt.Fprintf(&out, "%s: %+v\n", yamlName(v.Type().Field(i)), reflect.Indirect(f))
		}
	}
	return out.String()
}

// fieldList returns the names of the fields of a settings type in the form in which an error lists them.
func fieldList(s any) string {
	var names []string
	for f := range reflect.TypeOf(s).Fields() {
		names = append(names, yamlName(f))
	}
	return strings.Join(names, ", ")
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
