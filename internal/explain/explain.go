// Package explain tells a request's story from the logs of several processes.
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

// margin is how long before and after a request's own lines other lines may explain it.
const margin = 3 * time.Second

// maxLine bounds a log line.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	// Time is the writer's time of day.
	Time time.Time
	// Source names the log, and Prefix what stands in it before the line, such as a VM's name.
	Source string
	Prefix string
	// ID is the request's, empty in lines that concern none. Server is a backend server's.
	ID     string
	Server string
	// Text is the line from its time on.
	Text string
}

// Read returns the lines of a log that have a time. Others are passed over, as the output of several programs may be
// in one file.
func Read(source string, r io.Reader) ([]Line, error) {
	var out []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
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

// Fields returns the line's fields.
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

// Story returns the lines of the request with the given id, and those that concern no request but its servers or the
// processes that held it, from shortly before to shortly after it, in the order of time.
func Story(lines []Line, id string) []Line {
	var own []Line
	servers := make(map[string]bool)
	holders := make(map[string]bool)
	for _, l := range lines {
		if l.ID == id {
			own = append(own, l)
			servers[l.Server] = l.Server != ""
			holders[l.holder()] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	from, to := slices.MinFunc(own, byTime).Time.Add(-margin), slices.MaxFunc(own, byTime).Time.Add(margin)
	out := own
	for _, l := range lines {
		if l.ID == "" && !l.Time.Before(from) && !l.Time.After(to) && (servers[l.Server] || holders[l.holder()]) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// holder names the process that wrote a line, as far as logs tell: the source and its prefix without a time that some
// collectors put first.
func (l Line) holder() string {
	f := strings.Fields(l.Prefix)
	if len(f) == 0 {
		return l.Source
	}
	return l.Source + " " + f[len(f)-1]
}

// Write prints a story.
func Write(w io.Writer, story []Line) error {
	for _, l := range story {
		if _, err := fmt.Fprintf(w, "%s: %s\n", l.holder(), l.Text); err != nil {
			return err
		}
	}
	return nil
}
