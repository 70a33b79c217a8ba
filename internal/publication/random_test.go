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

// TestMain uses a fixed seed unless one is given, so that random runs are repeatable.
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

const readerCount = 4

// simulation is a log with readers and publishers under random faults.
type simulation struct {
	t   *rapid.T
	now clock.Millis
	log *fakeLog
	// readers are the controllers of the processes. highest holds the newest version of each since its start.
	readers []*configuration.Controller
	highest []int64
	// publications holds every publication by id.
	publications map[string]*publication.Publication
	ids          []string
	// delayed holds appends that have not reached the log yet.
	delayed []configuration.Record
	// outage is set while no process reaches the log.
	outage bool
}

// TestRandomFaults checks that each version has a single content, that the version of a reader never decreases, that
// a publisher is never told a wrong outcome, and that all readers end with the last accepted version.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"read":      func(t *rapid.T) { sim.read(sim.reader(t)) },
			"read_more": func(t *rapid.T) { sim.read(sim.reader(t)) },
			"restart":   func(t *rapid.T) { sim.restart(sim.reader(t)) },
			"hand_over": func(t *rapid.T) { sim.handOver(sim.reader(t), sim.reader(t)) },
			"snapshot":  func(t *rapid.T) { sim.snapshot(t, sim.reader(t)) },
			"publish":   sim.publish,
			"step":      sim.stepPublication,
			"step_more": sim.stepPublication,
			"deliver":   sim.deliver,
			"retain":    sim.retain,
			"outage":    func(t *rapid.T) { sim.outage = rapid.IntRange(0, 3).Draw(t, "outage") == 0 },
			"advance":   func(t *rapid.T) { sim.advance(clock.Millis(rapid.IntRange(1, 900_000).Draw(t, "ms"))) },
			"":          func(*rapid.T) { sim.check() },
		})
		sim.settle()
	})
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, log: newFakeLog(), publications: make(map[string]*publication.Publication)}
	for range readerCount {
		sim.readers = append(sim.readers, newReader(sim.random))
		sim.highest = append(sim.highest, 0)
	}
	return sim
}

func (sim *simulation) random() float64 { return rapid.Float64Range(0, 0.999).Draw(sim.t, "random") }

func (sim *simulation) reader(t *rapid.T) int {
	return rapid.IntRange(0, readerCount-1).Draw(t, "reader")
}

func (sim *simulation) advance(m clock.Millis) { sim.now += m }

func (sim *simulation) read(i int) {
	if sim.outage {
		return
	}
	c := sim.readers[i]
	for _, d := range c.Apply(sim.now, configuration.Decode(sim.log.page(c.Next()))) {
		var conflict *configuration.ConflictError
		if errors.As(d.Err, &conflict) {
			sim.t.Fatalf("reader %d: %v", i, d.Err)
		}
	}
}

func (sim *simulation) restart(i int) {
	sim.readers[i] = newReader(sim.random)
	sim.highest[i] = 0
	if !sim.outage && rapid.Bool().Draw(sim.t, "near_the_end") {
		sim.readers[i].StartNearEnd(sim.log.first, sim.log.next())
	}
}

func (sim *simulation) handOver(i, j int) {
	if _, err := sim.readers[j].Adopt(sim.readers[i].State()); err != nil {
		sim.t.Fatalf("reader %d to %d: %v", i, j, err)
	}
}

func (sim *simulation) snapshot(t *rapid.T, i int) {
	if sim.readers[i].SnapshotDue(sim.now) {
		sim.append(t, sim.readers[i].Snapshot(sim.now))
	}
}

func (sim *simulation) publish(t *rapid.T) {
	id := fmt.Sprintf("p%d", len(sim.ids))
	o := publication.Options{ID: id, From: publication.Current, Text: text(id)}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		o.From = rapid.Int64Range(0, sim.log.lastState().Version+1).Draw(t, "from")
	case 1:
		o.Text = invalidText
	}
	sim.ids = append(sim.ids, id)
	o.StartWindow = startWindow
	sim.publications[id] = publication.New(o)
	if rapid.Bool().Draw(t, "near_the_end") {
		sim.publications[id].StartNearEnd(sim.log.first, sim.log.next())
	}
}

// stepPublication lets one publication read a page and possibly append.
func (sim *simulation) stepPublication(t *rapid.T) {
	if len(sim.ids) == 0 || sim.outage {
		return
	}
	p := sim.publications[rapid.SampledFrom(sim.ids).Draw(t, "publication")]
	p.Apply(sim.now, configuration.Decode(sim.log.page(p.Next())))
	if r, ok := p.RecordToAppend(); ok {
		sim.append(t, r)
	}
}

// append sends a record to the log, which may apply it, lose it, delay it or apply it twice.
func (sim *simulation) append(t *rapid.T, r configuration.Record) {
	fate := rapid.SampledFrom([]string{"taken", "taken", "lost", "delayed", "doubled", "taken_and_delayed"}).Draw(t, "fate")
	if sim.outage && fate != "lost" {
		fate = "delayed"
	}
	switch fate {
	case "taken":
		sim.log.append(r)
	case "delayed":
		sim.delayed = append(sim.delayed, r)
	case "doubled":
		sim.log.append(r)
		sim.log.append(r)
	case "taken_and_delayed":
		sim.log.append(r)
		sim.delayed = append(sim.delayed, r)
	}
}

func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.delayed)-1).Draw(t, "delayed")
	sim.log.append(sim.delayed[i])
	sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
}

func (sim *simulation) retain(t *rapid.T) {
	sim.log.first = rapid.Int64Range(sim.log.first, sim.log.next()).Draw(t, "first")
}

// check compares every reader with the states that the log has recorded.
func (sim *simulation) check() {
	for i, c := range sim.readers {
		s := c.State()
		if s.Version < sim.highest[i] {
			sim.t.Fatalf("reader %d went back from version %d to %d", i, sim.highest[i], s.Version)
		}
		sim.highest[i] = s.Version
		want := sim.log.states[s.Through]
		if s.Version != want.Version || s.ID != want.ID || s.Text != want.Text {
			sim.t.Fatalf("reader %d has version %d (%s) through offset %d, where version %d (%s) is in force",
				i, s.Version, s.ID, s.Through, want.Version, want.ID)
		}
	}
	for id, p := range sim.publications {
		sim.checkPublication(id, p)
	}
}

// checkPublication compares the outcome that a publisher was told with the states that the log has recorded.
func (sim *simulation) checkPublication(id string, p *publication.Publication) {
	version, done, err := p.Result()
	if !done {
		return
	}
	made := sim.versionMadeBy(id)
	var lost *publication.LostRaceError
	switch {
	case err == nil && made != version:
		sim.t.Fatalf("publication %s was told version %d but created version %d", id, version, made)
	case errors.As(err, &lost) && made != 0:
		sim.t.Fatalf("publication %s was told that it lost but created version %d", id, made)
	}
}

// versionMadeBy returns the version that a publication created, or 0.
func (sim *simulation) versionMadeBy(id string) int64 {
	for _, s := range sim.log.states {
		if s.ID == id {
			return s.Version
		}
	}
	return 0
}

// settleRounds is the number of rounds, one second apart, in which all readers and publications must settle once the
// faults have ended.
const settleRounds = 60

// settle ends the faults and checks that all readers reach the last accepted version and all publications an outcome,
// unless no reader that knows the state is left.
func (sim *simulation) settle() {
	sim.outage = false
	for _, r := range sim.delayed {
		sim.log.append(r)
	}
	stateKnown := false
	for range settleRounds {
		sim.advance(clock.Second)
		for i, c := range sim.readers {
			sim.read(i)
			stateKnown = stateKnown || c.Following() && c.CaughtUp()
			if c.SnapshotDue(sim.now) {
				sim.log.append(c.Snapshot(sim.now))
			}
		}
		for _, id := range sim.ids {
			sim.settlePublication(sim.publications[id])
		}
		sim.check()
	}
	if stateKnown {
		sim.checkSettled()
	}
}

func (sim *simulation) settlePublication(p *publication.Publication) {
	p.Apply(sim.now, configuration.Decode(sim.log.page(p.Next())))
	if r, ok := p.RecordToAppend(); ok {
		sim.log.append(r)
	}
}

func (sim *simulation) checkSettled() {
	for i, c := range sim.readers {
		if c.State().Version != sim.log.lastState().Version || !c.Following() {
			sim.t.Fatalf("reader %d ended with version %d, following %v; version %d is in force",
				i, c.State().Version, c.Following(), sim.log.lastState().Version)
		}
	}
	for _, id := range sim.ids {
		if _, done, _ := sim.publications[id].Result(); !done {
			sim.t.Fatalf("publication %s is still undecided", id)
		}
	}
}
