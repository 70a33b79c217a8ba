// Package configuration decides which published configuration is in force.
package configuration

import (
	"encoding/json"
	"fmt"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// Stream is the log stream that holds configuration records.
const Stream = "configuration"

// Record is one entry of the stream.
type Record struct {
	// ID is unique to the publication; a doubled append carries it twice.
	ID string `json:"id"`
	// From is the version that the change was made from; 0 for the first.
	From int64 `json:"from"`
	// Version is the version that the change makes: From plus one.
	Version int64 `json:"version"`
	// Text is the whole configuration as YAML.
	Text string `json:"text"`
}

// BadRecordError reports a record that no reader applies.
type BadRecordError struct {
	// Offset is the record's place in the stream.
	Offset int64
	// Problem says what is wrong.
	Problem string
}

// Error implements error.
func (e *BadRecordError) Error() string {
	return fmt.Sprintf("configuration record at offset %d: %s", e.Offset, e.Problem)
}

// Encode returns the record's bytes.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

func decode(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, err
}

// Controller applies records in offset order; the first change from a version wins.
type Controller struct {
	b *board.Board
	// current is the record in force; its version only grows.
	current Record
	// won holds the id of the record that made each version that was applied.
	won map[int64]string
}

// New returns a controller that puts configurations in force on b.
func New(b *board.Board) *Controller {
	return &Controller{b: b, won: make(map[int64]string)}
}

// Apply takes the record at offset and reports whether it is now in force. Its errors are of type
// *BadRecordError.
func (c *Controller) Apply(offset int64, data []byte) (bool, error) {
	r, err := decode(data)
	if err != nil {
		return false, &BadRecordError{Offset: offset, Problem: err.Error()}
	}
	if r.Version != r.From+1 || r.Version < 1 || r.ID == "" {
		return false, &BadRecordError{Offset: offset, Problem: "inconsistent version"}
	}
	return c.Adopt(offset, r)
}

// Adopt takes a record that the log or a peer has accepted and reports whether it is now in force.
func (c *Controller) Adopt(offset int64, r Record) (bool, error) {
	if r.Version <= c.current.Version {
		return false, nil
	}
	s, err := site.Parse("configuration", []byte(r.Text))
	if err != nil {
		return false, &BadRecordError{Offset: offset, Problem: err.Error()}
	}
	c.current = r
	c.won[r.Version] = r.ID
	c.b.SetSite(s, r.Version)
	return true, nil
}

// Current returns the record in force; its version is 0 without one.
func (c *Controller) Current() Record { return c.current }
