package configuration

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// Stream is the log stream that holds configuration records.
const Stream = "configuration"

// End is an offset that no record reaches. A read from there returns no records, only the limits of the stream.
const End = math.MaxInt64

// Type is the effect of a record.
type Type string

// The types of record.
const (
	// Change puts a new version in force if it is the first valid change made from the version before it.
	Change Type = "change"
	// Snapshot repeats the state at an earlier offset, so that readers can start there. Its version is 0 when the
	// records before the offset put none in force.
	Snapshot Type = "snapshot"
	// Restore puts a version in force when the versions before it are lost.
	Restore Type = "restore"
)

// Record is one record of the stream.
type Record struct {
	Type Type `json:"type"`
	// ID is unique to the publication that created the version. If the log stores an append twice, both records have
	// the same ID.
	ID string `json:"id"`
	// From is the version that a change was made from; 0 for the first.
	From int64 `json:"from"`
	// Version is the version that the record creates or repeats. In a change it is From plus one.
	Version int64 `json:"version"`
	// Through is set in snapshots: the state is that after all records before this offset.
	Through int64 `json:"through,omitempty"`
	// Text is the complete configuration as YAML.
	Text string `json:"text"`
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// check returns what is wrong with the record by itself, or "" when it is valid; offset is its position.
func (r Record) check(offset int64) string {
	switch {
	case r.Type == Snapshot && r.Version == 0 && r.ID == "" && r.Through <= offset:
		return ""
	case r.ID == "" || r.Version < 1:
		return "no id or no version"
	case r.Type == Change && r.Version == r.From+1:
		return ""
	case r.Type == Snapshot && r.Through <= offset:
		return ""
	case r.Type == Restore:
		return ""
	default:
		return "inconsistent type and versions"
	}
}

// entry is a decoded record.
type entry struct {
	offset int64
	record Record
	// site is the parsed text; nil when err is set or the version is 0.
	site *site.Site
	// err is of type *BadRecordError.
	err error
}

// Batch is a decoded page of the stream. Decoding needs no controller, so it can be done without holding a lock.
type Batch struct {
	// first and next are the page's First and Next.
	first int64
	next  int64
	// entries are in the order of their offsets, without gaps.
	entries []entry
}

// Decode decodes the records of a page and parses their configurations.
func Decode(p laburnumring.Page) Batch {
	b := Batch{first: p.First, next: p.Next}
	for _, r := range p.Records {
		b.entries = append(b.entries, decode(r))
	}
	return b
}

// decode decodes a record and parses its configuration. A problem is returned in the entry's err.
func decode(r laburnumring.Record) entry {
	e := entry{offset: r.Offset}
	if err := json.Unmarshal(r.Data, &e.record); err != nil {
		e.err = &BadRecordError{Offset: r.Offset, Problem: err.Error()}
		return e
	}
	if problem := e.record.check(r.Offset); problem != "" {
		e.err = &BadRecordError{Offset: r.Offset, ID: e.record.ID, Problem: problem}
		return e
	}
	if e.record.Version == 0 {
		return e
	}
	s, err := site.Parse(fmt.Sprintf("version %d", e.record.Version), []byte(e.record.Text))
	if err != nil {
		e.err = &BadRecordError{Offset: r.Offset, ID: e.record.ID, Problem: err.Error()}
	}
	e.site = s
	return e
}
