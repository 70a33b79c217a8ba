// Package document reads YAML strictly and reports faults with their place in the file.
package document

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// Document is one parsed YAML document that can tell the line of each field.
type Document struct {
	// file is the name used in errors.
	file string
	// root is the document's top node; never nil.
	root *yaml.Node
}

// FieldError reports one field that a document may not hold as it is.
type FieldError struct {
	// File is the document's name.
	File string
	// Line counts from 1; 0 when it is not known.
	Line int
	// Field is the path to the field, such as servers[2].slots.
	Field string
	// Value is what stands there.
	Value string
	// Allowed says what may stand there.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: field %s: value %q: allowed: %s", e.File, e.Line, e.Field, e.Value, e.Allowed)
}

// MaxBytes is the largest document that Parse takes.
const MaxBytes = 8 << 20

// Parse decodes data into v and refuses fields that v does not have. Its errors are of type *FieldError.
func Parse(file string, data []byte, v any) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, &FieldError{File: file, Field: "document", Value: strconv.Itoa(len(data)), Allowed: "at most 8 MiB"}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return nil, syntaxError(file, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(v); err != nil {
		return nil, decodeError(file, &root, reflect.TypeOf(v), err)
	}
	var second yaml.Node
	if err := dec.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, &FieldError{
			File: file, Line: second.Line, Field: "document", Value: "second document", Allowed: "one document",
		}
	}
	return &Document{file: file, root: &root}, nil
}

var linePattern = regexp.MustCompile(`line (\d+): `)

// syntaxError reports data that is no YAML document.
func syntaxError(file string, err error) *FieldError {
	e := &FieldError{File: file, Field: "document", Value: err.Error(), Allowed: "a YAML document of the documented fields"}
	if errors.Is(err, io.EOF) {
		e.Line = 1
		e.Value = ""
	}
	if m := linePattern.FindStringSubmatch(e.Value); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
	}
	return e
}

// Fault returns the error for the field at path, whose steps are field names (string) and indexes (int).
func (d *Document) Fault(value, allowed string, path ...any) *FieldError {
	name := ""
	n := d.root
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	for _, step := range path {
		switch s := step.(type) {
		case string:
			if name != "" {
				name += "."
			}
			name += s
			n = child(n, s)
		case int:
			name += fmt.Sprintf("[%d]", s)
			n = item(n, s)
		}
	}
	return &FieldError{File: d.file, Line: n.Line, Field: name, Value: value, Allowed: allowed}
}

// child returns the value of key in n, or n itself when it has none.
func child(n *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(n.Content) && n.Kind == yaml.MappingNode; i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return n
}

// item returns the element of n at index i, or n itself when it has none.
func item(n *yaml.Node, i int) *yaml.Node {
	if n.Kind == yaml.SequenceNode && i < len(n.Content) {
		return n.Content[i]
	}
	return n
}
