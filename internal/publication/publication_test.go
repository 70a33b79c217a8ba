package publication_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/publication"
)

// script is a log with its publishers, driven by a test data file.
type script struct {
	log          *fakeLog
	publications map[string]*publication.Publication
	// delayed holds appends that have not reached the log yet, by id.
	delayed map[string]configuration.Record
}

// TestOutcomes runs publications through races, lost replies, delayed appends and the removal of old records.
func TestOutcomes(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{
			log:          newFakeLog(),
			publications: make(map[string]*publication.Publication),
			delayed:      make(map[string]configuration.Record),
		}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var id string
	d.MaybeScanArgs(t, "id", &id)
	switch d.Cmd {
	case "publish":
		return s.publish(t, d, id)
	case "read":
		return s.read(id)
	case "append":
		return s.append(t, d, id)
	case "arrive":
		s.log.append(s.delayed[id])
		return ""
	case "retain":
		d.ScanArgs(t, "from", &s.log.first)
		return ""
	case "snapshot":
		st := s.log.lastState()
		s.log.append(configuration.Record{
			Type: configuration.Snapshot, ID: st.ID, Version: st.Version, Through: st.Through, Text: st.Text,
		})
		return ""
	case "give-up":
		return s.publications[id].GiveUp(errOutage).Error() + "\n"
	default:
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

var errOutage = fmt.Errorf("outage")

func (s *script) publish(t *testing.T, d *datadriven.TestData, id string) string {
	o := publication.Options{ID: id, From: publication.Current, Text: text(id)}
	d.MaybeScanArgs(t, "from", &o.From)
	d.MaybeScanArgs(t, "restore", &o.Restore)
	if d.HasArg("invalid") {
		o.Text = invalidText
	}
	s.publications[id] = publication.New(o)
	return s.read(id)
}

// read lets a publication read the log to its end.
func (s *script) read(id string) string {
	p := s.publications[id]
	for {
		p.Apply(0, configuration.Decode(s.log.page(p.Next())))
		if p.CaughtUp() {
			return formatResult(id, p)
		}
	}
}

// append performs a publication's append and lets it read the outcome back.
func (s *script) append(t *testing.T, d *datadriven.TestData, id string) string {
	fate := "taken"
	d.MaybeScanArgs(t, "fate", &fate)
	r, ok := s.publications[id].RecordToAppend()
	if !ok {
		return id + ": nothing to append\n"
	}
	switch fate {
	case "lost":
	case "delayed":
		s.delayed[id] = r
	case "doubled":
		s.log.append(r)
		s.log.append(r)
	default:
		s.log.append(r)
	}
	if d.HasArg("unread") {
		return ""
	}
	return s.read(id)
}

func formatResult(id string, p *publication.Publication) string {
	version, done, err := p.Result()
	switch {
	case !done:
		return id + ": undecided so far\n"
	case err != nil:
		return fmt.Sprintf("%s: %s: %v\n", id, strings.TrimPrefix(fmt.Sprintf("%T", err), "*publication."), err)
	default:
		return fmt.Sprintf("%s: version %d accepted\n", id, version)
	}
}
