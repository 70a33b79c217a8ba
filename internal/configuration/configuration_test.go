package configuration_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// script is a log with its readers, driven by a test data file.
type script struct {
	t       *testing.T
	now     clock.Millis
	first   int64
	records [][]byte
	readers map[string]*configuration.Controller
}

// TestStateFromLog checks the state that readers determine from logs with races, removed records, and doubled and
// delayed appends.
func TestStateFromLog(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t, readers: make(map[string]*configuration.Controller)}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "append":
		return s.append(d)
	case "retain":
		d.ScanArgs(t, "from", &s.first)
		return ""
	case "advance":
		var ms int64
		d.ScanArgs(t, "ms", &ms)
		s.now += clock.Millis(ms)
		return ""
	case "read":
		return s.forEachReader(d, s.read)
	case "snapshot":
		return s.forEachReader(d, s.snapshot)
	case "hand-over":
		return s.handOver(d)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

// append appends a record for each input line: type, id, from, version, through and text.
func (s *script) append(d *datadriven.TestData) string {
	for line := range strings.Lines(d.Input) {
		if strings.TrimSpace(line) == "junk" {
			s.records = append(s.records, []byte("{"))
			continue
		}
		var r configuration.Record
		var text string
		n, err := fmt.Sscan(line, &r.Type, &r.ID, &r.From, &r.Version, &r.Through, &text)
		if err != nil || n != 6 {
			s.t.Fatalf("bad record %q: %v", line, err)
		}
		r.Text = "site: " + text + "\n"
		s.add(r)
	}
	return ""
}

func (s *script) add(r configuration.Record) {
	data, err := r.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	s.records = append(s.records, data)
}

// forEachReader calls f for every reader named and joins the results.
func (s *script) forEachReader(d *datadriven.TestData, f func(string) string) string {
	var out strings.Builder
	for _, arg := range d.CmdArgs {
		out.WriteString(f(arg.Key))
	}
	return out.String()
}

func (s *script) reader(name string) *configuration.Controller {
	c, ok := s.readers[name]
	if !ok {
		c = configuration.New(configuration.Options{Board: board.New(), Random: func() float64 { return 0.5 }})
		s.readers[name] = c
	}
	return c
}

// read reads the log to its end, one page at a time.
func (s *script) read(name string) string {
	c := s.reader(name)
	var out strings.Builder
	for {
		for _, d := range c.Apply(s.now, configuration.Decode(s.page(c.Next()))) {
			fmt.Fprintf(&out, "%s: offset %d id %s version %d %s\n", name, d.Offset, d.ID, d.Version, verdictName(d))
		}
		if c.CaughtUp() {
			return out.String() + s.state(name)
		}
	}
}

const pageSize = 2

func (s *script) page(from int64) laburnumring.Page {
	p := laburnumring.Page{First: s.first, Next: int64(len(s.records))}
	from = max(from, s.first)
	for o := from; o < min(from+pageSize, p.Next); o++ {
		p.Records = append(p.Records, laburnumring.Record{Offset: o, Data: s.records[o]})
	}
	return p
}

func (s *script) state(name string) string {
	c := s.reader(name)
	st := c.State()
	known := "following"
	if !c.Following() {
		known = "history lost"
	}
	return fmt.Sprintf("%s: version %d id %q through %d, %s\n", name, st.Version, st.ID, st.Through, known)
}

// snapshot appends a reader's snapshot if one is due.
func (s *script) snapshot(name string) string {
	c := s.reader(name)
	if !c.SnapshotDue(s.now) {
		return name + ": not due\n"
	}
	r := c.Snapshot(s.now)
	s.add(r)
	return fmt.Sprintf("%s: snapshot of version %d through %d\n", name, r.Version, r.Through)
}

// handOver passes the state of one reader to another.
func (s *script) handOver(d *datadriven.TestData) string {
	var from, to string
	d.ScanArgs(s.t, "from", &from)
	d.ScanArgs(s.t, "to", &to)
	if _, err := s.reader(to).Adopt(s.reader(from).State()); err != nil {
		return err.Error() + "\n"
	}
	return s.state(to)
}

func verdictName(d configuration.Decision) string {
	names := map[configuration.Verdict]string{
		configuration.Accepted: "accepted", configuration.Superseded: "superseded", configuration.Invalid: "invalid",
	}
	return names[d.Verdict]
}
