// Package eventstream splits a text/event-stream body into complete events.
package eventstream

import "bytes"

// Splitter splits a stream after complete events and records the id of the last one. The zero value is ready to use.
type Splitter struct {
	// rest holds the bytes of an incomplete event.
	rest []byte
	// lastID is the id of the last complete event that has one; empty if there was none.
	lastID string
}

// Feed adds the bytes of p to the stream. It returns all complete events that it has not returned before. The result
// may share the memory of p and is valid until the next call.
func (s *Splitter) Feed(p []byte) []byte {
	if len(s.rest) == 0 && bytes.HasSuffix(p, []byte("\n\n")) {
		// Most reads end with a complete event.
		s.recordID(p)
		return p
	}
	s.rest = append(s.rest, p...)
	end := lastEnd(s.rest)
	if end == 0 {
		return nil
	}
	complete := append([]byte(nil), s.rest[:end]...)
	s.rest = append(s.rest[:0], s.rest[end:]...)
	s.recordID(complete)
	return complete
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte { return s.rest }

// Restart discards the bytes after the last complete event. Call it when another stream continues after that event.
func (s *Splitter) Restart() { s.rest = s.rest[:0] }

// LastID returns the id of the last complete event that has one; empty if there was none.
func (s *Splitter) LastID() string { return s.lastID }

// lastEnd returns the offset after the last blank line, which ends an event; 0 if there is none.
func lastEnd(p []byte) int {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\n\r\n")} {
		if i := bytes.LastIndex(p, blank); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

func (s *Splitter) recordID(events []byte) {
	for line := range bytes.Lines(events) {
		if v, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			s.lastID = string(bytes.TrimPrefix(v, []byte(" ")))
		}
	}
}

// Count returns the number of events that end in p.
func Count(p []byte) int { return bytes.Count(p, []byte("\n\n")) + bytes.Count(p, []byte("\n\r\n")) }
