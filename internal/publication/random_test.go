package publication_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/publication"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestMain makes random runs repeatable unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", "1000")
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = f.Value.Set(value)
	}
}

const readers = 4

// world is a log with readers and publishers under random faults.
type world struct {
	t   *rapid.T
	now clock.Millis
	log *fakeLog
	// readers are the processes; highest is the newest version of each since its start.
	readers []*configuration.Controller
	highest []int64
	// publications holds every publication by id.
	publications map[string]*publication.Publication
	ids          []string
	// delayed holds appends that the log has not taken yet.
	delayed []configuration.Record
	// outage keeps all from the log.
	outage bool
}

// TestRandomFaults checks that one content has each version, that versions never fall, that a publisher is
// told the truth and that all readers end with the last accepted version.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"read":      func(t *rapid.T) { w.read(w.reader(t)) },
			"read_more": func(t *rapid.T) { w.read(w.reader(t)) },
			"restart":   func(t *rapid.T) { w.restart(w.reader(t)) },
			"hand_over": func(t *rapid.T) { w.handOver(w.reader(t), w.reader(t)) },
			"snapshot":  func(t *rapid.T) { w.snapshot(t, w.reader(t)) },
			"publish":   w.publish,
			"step":      w.step,
			"step_more": w.step,
			"deliver":   w.deliver,
			"retain":    w.retain,
			"outage":    func(t *rapid.T) { w.outage = rapid.IntRange(0, 3).Draw(t, "outage") == 0 },
			"advance":   func(t *rapid.T) { w.advance(clock.Millis(rapid.IntRange(1, 900_000).Draw(t, "ms"))) },
			"":          func(*rapid.T) { w.check() },
		})
		w.settle()
	})
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, log: newFakeLog(), publications: make(map[string]*publication.Publication)}
	for range readers {
		w.readers = append(w.readers, newReader(w.random))
		w.highest = append(w.highest, 0)
	}
	return w
}

func (w *world) random() float64 { return rapid.Float64Range(0, 0.999).Draw(w.t, "random") }

func (w *world) reader(t *rapid.T) int { return rapid.IntRange(0, readers-1).Draw(t, "reader") }

func (w *world) advance(m clock.Millis) { w.now += m }

func (w *world) read(i int) {
	if w.outage {
		return
	}
	c := w.readers[i]
	for _, d := range c.Take(w.now, configuration.Decode(w.log.page(c.Next()))) {
		var conflict *configuration.ConflictError
		if errors.As(d.Err, &conflict) {
			w.t.Fatalf("reader %d: %v", i, d.Err)
		}
	}
}

func (w *world) restart(i int) {
	w.readers[i] = newReader(w.random)
	w.highest[i] = 0
	if !w.outage && rapid.Bool().Draw(w.t, "near_the_end") {
		w.readers[i].Begin(w.log.first, w.log.next())
	}
}

func (w *world) handOver(i, j int) {
	if _, err := w.readers[j].Adopt(w.readers[i].State()); err != nil {
		w.t.Fatalf("reader %d to %d: %v", i, j, err)
	}
}

func (w *world) snapshot(t *rapid.T, i int) {
	if w.readers[i].SnapshotDue(w.now) {
		w.append(t, w.readers[i].Snapshot(w.now))
	}
}

func (w *world) publish(t *rapid.T) {
	id := fmt.Sprintf("p%d", len(w.ids))
	o := publication.Options{ID: id, From: publication.Current, Text: text(id)}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		o.From = rapid.Int64Range(0, w.log.last().Version+1).Draw(t, "from")
	case 1:
		o.Text = invalidText
	}
	w.ids = append(w.ids, id)
	o.StartWindow = startWindow
	w.publications[id] = publication.New(o)
	if rapid.Bool().Draw(t, "near_the_end") {
		w.publications[id].Begin(w.log.first, w.log.next())
	}
}

// step lets one publication read a page and perhaps append.
func (w *world) step(t *rapid.T) {
	if len(w.ids) == 0 || w.outage {
		return
	}
	p := w.publications[rapid.SampledFrom(w.ids).Draw(t, "publication")]
	p.Take(w.now, configuration.Decode(w.log.page(p.Next())))
	if r, ok := p.Append(); ok {
		w.append(t, r)
	}
}

// append hands a record to the log, which may take it, lose it, delay it or take it twice.
func (w *world) append(t *rapid.T, r configuration.Record) {
	fate := rapid.SampledFrom([]string{"taken", "taken", "lost", "delayed", "doubled", "taken_and_delayed"}).Draw(t, "fate")
	if w.outage && fate != "lost" {
		fate = "delayed"
	}
	switch fate {
	case "taken":
		w.log.append(r)
	case "delayed":
		w.delayed = append(w.delayed, r)
	case "doubled":
		w.log.append(r)
		w.log.append(r)
	case "taken_and_delayed":
		w.log.append(r)
		w.delayed = append(w.delayed, r)
	}
}

func (w *world) deliver(t *rapid.T) {
	if len(w.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "delayed")
	w.log.append(w.delayed[i])
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
}

func (w *world) retain(t *rapid.T) {
	w.log.first = rapid.Int64Range(w.log.first, w.log.next()).Draw(t, "first")
}

// check compares every reader with the log's own account of what its records amount to.
func (w *world) check() {
	for i, c := range w.readers {
		s := c.State()
		if s.Version < w.highest[i] {
			w.t.Fatalf("reader %d fell from version %d to %d", i, w.highest[i], s.Version)
		}
		w.highest[i] = s.Version
		want := w.log.states[s.Through]
		if s.Version != want.Version || s.ID != want.ID || s.Text != want.Text {
			w.t.Fatalf("reader %d has version %d (%s) through offset %d, where version %d (%s) is in force",
				i, s.Version, s.ID, s.Through, want.Version, want.ID)
		}
	}
	for id, p := range w.publications {
		w.checkPublication(id, p)
	}
}

// checkPublication holds a publisher's answer against the log's account.
func (w *world) checkPublication(id string, p *publication.Publication) {
	version, done, err := p.Result()
	if !done {
		return
	}
	made := w.madeBy(id)
	var lost *publication.LostRaceError
	switch {
	case err == nil && made != version:
		w.t.Fatalf("publication %s was told version %d and made %d", id, version, made)
	case errors.As(err, &lost) && made != 0:
		w.t.Fatalf("publication %s was told that it lost and made version %d", id, made)
	}
}

// madeBy returns the version that a publication made, or 0.
func (w *world) madeBy(id string) int64 {
	for _, s := range w.log.states {
		if s.ID == id {
			return s.Version
		}
	}
	return 0
}

// settleRounds is how many rounds of reading, a second apart, are enough once the faults have ended.
const settleRounds = 60

// settle ends the faults and checks that all readers come to the last accepted version, and all publications
// to an end, unless nobody is left who knows the state.
func (w *world) settle() {
	w.outage = false
	for _, r := range w.delayed {
		w.log.append(r)
	}
	known := false
	for range settleRounds {
		w.advance(clock.Second)
		for i, c := range w.readers {
			w.read(i)
			known = known || c.Following() && c.CaughtUp()
			if c.SnapshotDue(w.now) {
				w.log.append(c.Snapshot(w.now))
			}
		}
		for _, id := range w.ids {
			w.settlePublication(w.publications[id])
		}
		w.check()
	}
	if known {
		w.checkSettled()
	}
}

func (w *world) settlePublication(p *publication.Publication) {
	p.Take(w.now, configuration.Decode(w.log.page(p.Next())))
	if r, ok := p.Append(); ok {
		w.log.append(r)
	}
}

func (w *world) checkSettled() {
	for i, c := range w.readers {
		if c.State().Version != w.log.last().Version || !c.Following() {
			w.t.Fatalf("reader %d ended with version %d, following %v; version %d is in force",
				i, c.State().Version, c.Following(), w.log.last().Version)
		}
	}
	for _, id := range w.ids {
		if _, done, _ := w.publications[id].Result(); !done {
			w.t.Fatalf("publication %s has not ended", id)
		}
	}
}
