package publication_test

import (
	"encoding/json"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/configuration"
)

const (
	pageSize    = 3
	startWindow = 2
)

// fakeLog is a stream that removes old records but remembers the state that all records give.
type fakeLog struct {
	first   int64
	records [][]byte
	// states[o] is the state after the records before offset o, computed from all records ever appended.
	states []configuration.State
}

func newFakeLog() *fakeLog {
	return &fakeLog{states: []configuration.State{{}}}
}

func (l *fakeLog) next() int64 { return int64(len(l.records)) }

func (l *fakeLog) lastState() configuration.State { return l.states[l.next()] }

func (l *fakeLog) page(from int64) laburnumring.Page {
	p := laburnumring.Page{First: l.first, Next: l.next()}
	from = max(from, l.first)
	for o := from; o < min(from+pageSize, p.Next); o++ {
		p.Records = append(p.Records, laburnumring.Record{Offset: o, Data: l.records[o]})
	}
	return p
}

func (l *fakeLog) append(r configuration.Record) {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	s := l.lastState()
	var got configuration.Record
	if err := json.Unmarshal(data, &got); err != nil {
		panic(err)
	}
	if got.Type == configuration.Change && got.From == s.Version && got.Text != invalidText {
		s = configuration.State{Version: got.Version, ID: got.ID, Text: got.Text}
	}
	l.records = append(l.records, data)
	s.Through = l.next()
	l.states = append(l.states, s)
}

// invalidText is a configuration that no reader accepts.
const invalidText = "site: NOT-A-NAME\n"

func text(id string) string { return "site: " + id + "\n" }

func newReader(random func() float64) *configuration.Controller {
	return configuration.New(configuration.Options{Board: board.New(), StartWindow: startWindow, Random: random})
}
