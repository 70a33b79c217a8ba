package peer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/pkg/document"
)

// Configuration is a configuration in force and its position in the configuration stream, as one process sends
// it to another.
type Configuration struct {
	// Version is the configuration's version, or 0 when the sender has no configuration.
	Version int64
	// ID is the id of the publication that created the version.
	ID string
	// Through is the offset in the stream up to which records are taken into account.
	Through int64
	// Text is the gzip-compressed configuration.
	Text []byte
}

// ConfigurationArgs asks an agent for its configuration.
type ConfigurationArgs struct{}

// AdoptConfigurationReply is the reply to a process that sent its configuration.
type AdoptConfigurationReply struct {
	// Version is the version that the receiver has in force after the call.
	Version int64
}

// NewConfiguration returns s as a message.
func NewConfiguration(s configuration.State) (Configuration, error) {
	c := Configuration{Version: s.Version, ID: s.ID, Through: s.Through}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := io.WriteString(w, s.Text); err != nil {
		return Configuration{}, errorx.Decorate(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return Configuration{}, errorx.Decorate(err, "compress configuration")
	}
	c.Text = buf.Bytes()
	return c, nil
}

// State returns the configuration state in the message.
func (c Configuration) State() (configuration.State, error) {
	s := configuration.State{Version: c.Version, ID: c.ID, Through: c.Through}
	r, err := gzip.NewReader(bytes.NewReader(c.Text))
	if err != nil {
		return s, errorx.Decorate(err, "decompress configuration")
	}
	text, err := io.ReadAll(io.LimitReader(r, document.MaxBytes+1))
	if err != nil {
		return s, errorx.Decorate(err, "decompress configuration")
	}
	s.Text = string(text)
	return s, nil
}
