// Package eventstream finds the whole events of a text/event-stream body.
package eventstream

import "bytes"

// Splitter cuts a stream after whole events and remembers the last event's id.
type Splitter struct {
	// rest holds the bytes of an event that has not ended.
	rest []byte
	// last is the id of the last whole event with an id; empty before one.
	last string
}

// Feed takes bytes and returns the whole events among all that were not returned yet. The result is valid until
// the next call.
func (s *Splitter) Feed(p []byte) []byte {
	if len(s.rest) == 0 && bytes.HasSuffix(p, []byte("\n\n")) {
		// Most reads end with an event.
		s.note(p)
		return p
	}
	s.rest = append(s.rest, p...)
	end := lastEnd(s.rest)
	if end == 0 {
		return nil
	}
	whole := append([]byte(nil), s.rest[:end]...)
	s.rest = append(s.rest[:0], s.rest[end:]...)
	s.note(whole)
	return whole
}

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte { return s.rest }

// Restart drops the bytes after the last whole event, when another stream goes on after it.
func (s *Splitter) Restart() { s.rest = s.rest[:0] }

// Last returns the id of the last whole event; empty when there was none.
func (s *Splitter) Last() string { return s.last }

// lastEnd returns the offset after the last blank line that ends an event; 0 when there is none.
func lastEnd(p []byte) int {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\n\r\n")} {
		if i := bytes.LastIndex(p, blank); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

func (s *Splitter) note(events []byte) {
	for line := range bytes.Lines(events) {
		if v, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			s.last = string(bytes.TrimPrefix(v, []byte(" ")))
		}
	}
}

// Count returns how many events end in p.
func Count(p []byte) int { return bytes.Count(p, []byte("\n\n")) + bytes.Count(p, []byte("\n\r\n")) }
