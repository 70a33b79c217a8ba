package document

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"go.yaml.in/yaml/v3"
)

var (
	unknownPattern   = regexp.MustCompile(`field (\S+) not found`)
	duplicatePattern = regexp.MustCompile(`mapping key "([^"]*)" already defined`)
	valuePattern     = regexp.MustCompile("cannot unmarshal \\S+(?: `([^`]*)`)? into ")
)

// decodeError converts the YAML decoder's error err for a well-formed document that does not fit the type t.
func decodeError(file string, root *yaml.Node, t reflect.Type, err error) *FieldError {
	e := syntaxError(file, err)
	if m := unknownPattern.FindStringSubmatch(e.Value); m != nil {
		at := locate(root, e.Line, m[1], "")
		e.Field = at.path
		e.Value = at.value
		e.Allowed = "one of the fields " + strings.Join(fieldNames(typeAt(t, at.parent)), ", ")
		return e
	}
	if m := duplicatePattern.FindStringSubmatch(e.Value); m != nil {
		at := locate(root, e.Line, m[1], "")
		e.Field = at.path
		e.Value = at.value
		e.Allowed = "each field once"
		return e
	}
	if m := valuePattern.FindStringSubmatch(e.Value); m != nil {
		at := locate(root, e.Line, "", strings.TrimSuffix(m[1], "..."))
		e.Field = at.path
		e.Value = at.value
		e.Allowed = describe(at.fieldType(t))
	}
	return e
}

// location is the position of an invalid field in a document.
type location struct {
	// path is the path of the field. parent is the path of the mapping that contains it, without list indexes.
	path   string
	parent []string
	// key is the name of the field in its mapping, empty for elements of lists.
	key string
	// value is the text of a scalar, empty for lists and mappings.
	value string
}

// fieldType returns the type of the field in a document of type t.
func (l location) fieldType(t reflect.Type) reflect.Type {
	s := typeAt(t, l.parent)
	if s == nil || l.key == "" {
		return s
	}
	return fieldType(s, l.key)
}

// describe describes the YAML values that fit the type t.
func describe(t reflect.Type) string {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nil {
		return "a documented field"
	}
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "a mapping with the fields " + strings.Join(fieldNames(t), ", ")
	default:
		return "text"
	}
}

// locate finds a field on a line: by its key, or by the start of its value if key is empty.
func locate(root *yaml.Node, line int, key, value string) location {
	found := location{path: "document"}
	walk(root, "", nil, func(k, v *yaml.Node, path string, parent []string) {
		if key != "" && (k == nil || k.Line != line || k.Value != key) {
			return
		}
		if key == "" && !matchesValue(v, line, value) {
			return
		}
		if key == "" && found.path != "document" {
			return
		}
		found = location{path: path, parent: parent, value: v.Value}
		if k != nil {
			found.key = k.Value
		}
	})
	return found
}

// matchesValue reports whether v is on the line and is a scalar that begins with value, or, for an empty value, a list
// or mapping.
func matchesValue(v *yaml.Node, line int, value string) bool {
	if v.Line != line {
		return false
	}
	if value == "" {
		return v.Kind != yaml.ScalarNode
	}
	return v.Kind == yaml.ScalarNode && strings.HasPrefix(v.Value, value)
}

// walk calls visit for every field and list element below n; k is nil for list elements.
func walk(n *yaml.Node, path string, names []string, visit func(k, v *yaml.Node, path string, parent []string)) {
	switch n.Kind {
	case yaml.DocumentNode:
		walk(n.Content[0], path, names, visit)
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			k, v := n.Content[i], n.Content[i+1]
			at := strings.TrimPrefix(path+"."+k.Value, ".")
			visit(k, v, at, names)
			walk(v, at, append(names[:len(names):len(names)], k.Value), visit)
		}
	case yaml.SequenceNode:
		for i, v := range n.Content {
			at := fmt.Sprintf("%s[%d]", path, i)
			visit(nil, v, at, names)
			walk(v, at, names, visit)
		}
	default:
	}
}

// typeAt returns the struct type of the mapping at path in a document of type t, or nil if there is none.
func typeAt(t reflect.Type, path []string) reflect.Type {
	t = structType(t)
	for _, name := range path {
		if t == nil {
			return nil
		}
		t = structType(fieldType(t, name))
	}
	return t
}

// structType removes pointers and slices from t. It returns nil if the rest is not a struct.
func structType(t reflect.Type) reflect.Type {
	for t != nil && (t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice) {
		t = t.Elem()
	}
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	return t
}

func fieldType(t reflect.Type, name string) reflect.Type {
	for i := range t.NumField() {
		if fieldName(t.Field(i)) == name {
			return t.Field(i).Type
		}
	}
	return nil
}

// fieldName returns the name of a field in YAML.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func fieldNames(t reflect.Type) []string {
	if t == nil {
		return nil
	}
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, fieldName(t.Field(i)))
	}
	return names
}
