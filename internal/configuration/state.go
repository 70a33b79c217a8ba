package configuration

import (
	"fmt"

	"github.com/laburnumring/laburnumring/pkg/site"
)

// State is the result of all records of the stream before an offset. It depends on nothing else, so all processes
// that know the state at an offset know the same one, whether from reading, from a snapshot or from a peer.
type State struct {
	// Version is the version in force; 0 without one.
	Version int64
	// ID is the id of the publication that created the version.
	ID string
	// Text is the version's configuration as YAML.
	Text string
	// Through is the offset after the last record that the state includes.
	Through int64
	// site is the parsed text; nil until Parse is called or for a state without a version.
	site *site.Site
}

// Parse parses and validates the state's configuration, so that Adopt need not do so while a lock is held. Its errors
// are of type *document.FieldError.
func (s *State) Parse() error {
	if s.Version == 0 || s.site != nil {
		return nil
	}
	parsed, err := site.Parse(fmt.Sprintf("version %d", s.Version), []byte(s.Text))
	if err != nil {
		return err
	}
	s.site = parsed
	return nil
}
