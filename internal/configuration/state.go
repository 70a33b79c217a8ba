package configuration

import (
	"fmt"

	"github.com/laburnumring/laburnumring/pkg/site"
)

// State is what all records of the stream before an offset amount to. It depends on nothing else, so that
// every process that knows the state at an offset knows the same one, whether from reading, from a snapshot
// or from a peer.
type State struct {
	// Version is the version in force; 0 without one.
	Version int64
	// ID is the id of the publication that made the version.
	ID string
	// Text is the version's configuration as YAML.
	Text string
	// Through is the offset after the last record that is accounted for.
	Through int64
	// site is the parsed text; nil until Parse.
	site *site.Site
}

// Parse checks the state's configuration ahead of its adoption. Its errors are of type *document.FieldError.
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
