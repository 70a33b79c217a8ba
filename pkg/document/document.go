// Package document decodes YAML strictly and reports invalid fields with their path and line in the file.
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

// Document is a parsed YAML document that knows the line of each field.
type Document struct {
	// file is the name used in errors.
	file string
	// root is the document's top node; never nil.
	root *yaml.Node
}

// FieldError reports one invalid field of a document.
type FieldError struct {
	// File is the name of the document's file.
	File string
	// Line counts from 1; it is 0 when unknown.
	Line int
	// Field is the path to the field, such as servers[2].slots.
	Field string
	// Value is the invalid value.
	Value string
	// Allowed describes the values that are valid.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: field %s: value %q: allowed: %s", e.File, e.Line, e.Field, e.Value, e.Allowed)
}

// MaxBytes is the size of the largest document that Parse accepts.
const MaxBytes = 8 << 20

// Parse decodes data into v, a pointer to a struct. Unknown fields, duplicate fields and a second document are errors.
// All its errors are of type *FieldError and name file.
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

// syntaxError returns the error for data that is not a YAML document, with the line that err names.
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

// Fault returns the error for an invalid value of the field at path, which consists of field names (string) and list
// indexes (int). If the field is missing, the line is that of the mapping or list around it.
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

// child returns the value of key in the mapping n, or n itself if there is none.
func child(n *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(n.Content) && n.Kind == yaml.MappingNode; i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return n
}

// item returns element i of the list n, or n itself if there is none.
func item(n *yaml.Node, i int) *yaml.Node {
	if n.Kind == yaml.SequenceNode && i < len(n.Content) {
		return n.Content[i]
	}
	return n
}
