package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/stream"
)

// Model is a client of a model engine, which streams its answer as lines of JSON.
type Model struct {
	client
}

var _ laburnumring.Backend = (*Model)(nil)

// NewModel returns a client of the engine at address.
func NewModel(address string) *Model {
	return &Model{client: newClient(address)}
}

// Line is one line of a model engine's answer.
type Line struct {
	// Text is the next piece of the answer.
	Text string `json:"text,omitempty"`
	// Units is the cost of the piece in service units.
	Units int64 `json:"units,omitempty"`
	// Done is set on the last line only.
	Done bool `json:"done,omitempty"`
	// Length is the length of the complete answer in bytes; it is set on the last line only.
	Length int64 `json:"length,omitempty"`
	// Error is set when the engine failed.
	Error string `json:"error,omitempty"`
}

// maxLineBytes limits the length of one line of an engine's answer.
const maxLineBytes = 1 << 20

// Run implements laburnumring.Backend. Its errors are of type *IncompleteError or *StatusError.
func (m *Model) Run(ctx context.Context, r laburnumring.BackendRequest, sink laburnumring.AnswerSink) error {
	h := http.Header{}
	if r.ResumeFrom > 0 {
		h.Set(ResumeHeader, strconv.FormatInt(r.ResumeFrom, 10))
	}
	resp, err := m.send(ctx, http.MethodPost, GeneratePath, r, h)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Address: m.address, Status: resp.StatusCode}
	}
	sink.Head(laburnumring.AnswerHead{
		Status: resp.StatusCode, ContentType: "text/plain; charset=utf-8", Version: resp.Header.Get(VersionHeader),
	})
	if err := m.copyLines(resp.Body, r.ResumeFrom, sink); err != nil {
		return err
	}
	stream.ReadToEOF(resp.Body)
	return nil
}

// copyLines copies the text of an engine's answer to sink and returns nil when the answer is complete. The answer's
// text starts at offset from.
func (m *Model) copyLines(body io.Reader, from int64, sink laburnumring.AnswerSink) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxLineBytes)
	length := from
	for sc.Scan() {
		var l Line
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return &IncompleteError{Address: m.address, Cause: err}
		}
		if l.Error != "" {
			return &StatusError{Address: m.address, Status: http.StatusInternalServerError}
		}
		length += int64(len(l.Text))
		sink.Data([]byte(l.Text), l.Units)
		if !l.Done {
			continue
		}
		if l.Length != length {
			return &IncompleteError{Address: m.address, Cause: fmt.Errorf("length %d, received %d", l.Length, length)}
		}
		return nil
	}
	return &IncompleteError{Address: m.address, Cause: errors.Join(sc.Err(), io.ErrUnexpectedEOF)}
}
