package peer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/pkg/document"
)

// Configuration is the state of the configuration stream as one process hands it to another.
type Configuration struct {
	// Version is 0 when the sender has none in force.
	Version int64
	// ID is the id of the publication that made the version.
	ID string
	// Through is the offset of the state in the stream.
	Through int64
	// Text is the configuration, compressed by gzip.
	Text []byte
}

// ConfigurationArgs asks for the configuration in force.
type ConfigurationArgs struct{}

// AdoptConfigurationReply answers a handed over configuration.
type AdoptConfigurationReply struct {
	// Version is the version that the receiver has in force afterwards.
	Version int64
}

// NewConfiguration returns the message that carries s.
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

// State returns the state that the message carries.
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
