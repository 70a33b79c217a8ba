// Package explain selects the log lines that explain what happened to a request, from the logs of several processes.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/joomcode/errorx"
)

// contextMargin is the time before a request's first line and after its last one in which related lines are included.
const contextMargin = 3 * time.Second

// maxLineBytes is the longest log line that can be read.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	// Time is the wall time by the clock of the process that wrote the line.
	Time time.Time
	// Source names the log. Prefix is the text before the line's time, such as the name of a VM.
	Source string
	Prefix string
	// ID is the id of the request, empty in a line that is not about one. Server is the name of a backend server.
	ID     string
	Server string
	// Text is the line without Prefix; it begins with the time.
	Text string
}

// Read returns the lines of a log that have a time. It skips other lines, because a file may contain the output of
// several programs.
func Read(source string, r io.Reader) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if l, ok := parse(source, sc.Text()); ok {
			out = append(out, l)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, errorx.Decorate(err, "read log %s", source)
	}
	return out, nil
}

func parse(source, text string) (Line, bool) {
	i := strings.Index(text, "time=")
	if i < 0 {
		return Line{}, false
	}
	l := Line{Source: source, Prefix: strings.TrimSpace(text[:i]), Text: text[i:]}
	d := logfmt.NewDecoder(strings.NewReader(l.Text))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		switch v := string(d.Value()); string(d.Key()) {
		case "time":
			t, err := time.Parse(time.RFC3339, v)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "id":
			l.ID = v
		case "server":
			l.Server = v
		}
	}
	return l, d.Err() == nil && !l.Time.IsZero()
}

// Fields returns the line's values by key.
func (l Line) Fields() map[string]string {
	out := make(map[string]string)
	d := logfmt.NewDecoder(strings.NewReader(l.Text))
	if !d.ScanRecord() {
		return out
	}
	for d.ScanKeyval() {
		out[string(d.Key())] = string(d.Value())
	}
	return out
}

// RequestLines returns the lines with the given request id, sorted by time. It adds lines without a request id that
// concern the request's servers or come from the processes that handled it, from 3 seconds before the request's first
// line to 3 seconds after its last one.
func RequestLines(lines []Line, id string) []Line {
	var matching []Line
	servers := make(map[string]bool)
	processes := make(map[string]bool)
	for _, l := range lines {
		if l.ID == id {
			matching = append(matching, l)
			servers[l.Server] = l.Server != ""
			processes[l.process()] = true
		}
	}
	if len(matching) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	from, to := slices.MinFunc(matching, byTime).Time.Add(-contextMargin), slices.MaxFunc(matching, byTime).Time.Add(contextMargin)
	out := matching
	for _, l := range lines {
		if l.ID == "" && !l.Time.Before(from) && !l.Time.After(to) && (servers[l.Server] || processes[l.process()]) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// process identifies the process that wrote a line by the source and the last word of the prefix. The words before may
// be a time that some log collectors add.
func (l Line) process() string {
	f := strings.Fields(l.Prefix)
	if len(f) == 0 {
		return l.Source
	}
	return l.Source + " " + f[len(f)-1]
}

// Write prints the lines, each after the name of its process.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		if _, err := fmt.Fprintf(w, "%s: %s\n", l.process(), l.Text); err != nil {
			return err
		}
	}
	return nil
}
