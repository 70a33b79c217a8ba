package share

import (
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Report returns what to send to parent now. A root that reports is no longer one.
func (f *Fleet) Report(parent string) Report {
	if f.isRoot {
		f.isRoot = false
		f.view.publish()
		f.reflected = maps.Clone(f.totals)
		f.led = f.reflected
	}
	if parent != f.parent {
		f.changeParent(parent)
	}
	f.seq++
	f.seen = max(f.seen, f.view.version)
	r := Report{
		Child: f.o.Name, Incarnation: f.o.Incarnation, Tenure: f.tenure, Opens: !f.opened, Seq: f.seq,
		Root: f.view.root, Version: f.view.version, Seen: f.seen,
		ShowsView: f.showView,
	}
	if f.showView {
		r.View = f.shownView()
	}
	s := f.snapshot()
	for _, t := range slices.Sorted(maps.Keys(s.standings)) {
		e := s.standings[t]
		entry := Entry{Team: t, Led: f.led[t], Total: e.total, Waiting: e.waiting}
		if !f.met[t] {
			entry.Base = f.acknowledged[t].total
		}
		r.Entries = append(r.Entries, entry)
	}
	f.sent = append(f.sent, s)
	if len(f.sent) > maxSnapshots {
		f.sent = f.sent[1:]
	}
	return r
}

// shownView is the view for a parent that has none.
func (f *Fleet) shownView() []Value {
	out := f.view.since(-1)
	for i, v := range out {
		out[i].Included = f.reflected[v.Team]
	}
	return out
}

// snapshot records the state that a report is made from; its standings are those that the parent lacks.
func (f *Fleet) snapshot() snapshot {
	s := snapshot{
		seq: f.seq, tenure: f.tenure,
		totals:    maps.Clone(f.totals),
		standings: make(map[string]standing),
		children:  make(map[string]int64, len(f.children)),
	}
	waiting := f.waiting()
	for t := range waiting {
		f.note(s, t, true)
	}
	for t := range f.totals {
		f.note(s, t, waiting[t])
	}
	for t := range f.acknowledged {
		f.note(s, t, waiting[t])
	}
	for name, c := range f.children {
		s.children[name] = c.counted
	}
	return s
}

func (f *Fleet) note(s snapshot, team string, waiting bool) {
	now := standing{total: f.totals[team], waiting: waiting}
	if now != f.acknowledged[team] || f.unsettled[team] {
		f.unsettled[team] = true
		s.standings[team] = now
	}
}

func (f *Fleet) changeParent(parent string) {
	f.parent = parent
	f.parentRun = ""
	f.showView = false
	f.beginTenure()
}

// beginTenure makes sure that a parent without memory of this agent is told of all waiting work.
func (f *Fleet) beginTenure() {
	f.tenure++
	f.opened = false
	f.met = make(map[string]bool)
	for t, s := range f.acknowledged {
		s.waiting = false
		f.acknowledged[t] = s
	}
}

// Acknowledge takes the parent's reply to the last report. A view older than this agent's is left aside.
func (f *Fleet) Acknowledge(r Reply) {
	if f.isRoot {
		return
	}
	f.showView = r.NeedsView
	f.acknowledge(r.Counted)
	if f.parentRun != "" && f.parentRun != r.Incarnation {
		f.beginTenure()
	}
	f.parentRun = r.Incarnation
	if r.Version == 0 || r.Version < f.view.version {
		return
	}
	f.take(r)
	f.reflect(r.Reflected)
}

func (f *Fleet) acknowledge(counted int64) {
	for _, s := range f.sent {
		if s.seq == counted {
			maps.Copy(f.acknowledged, s.standings)
			f.meet(s)
			f.unsettled = make(map[string]bool)
			f.led = nil
		}
	}
}

// meet records which teams' totals the parent remembers.
func (f *Fleet) meet(s snapshot) {
	if s.tenure != f.tenure {
		return
	}
	f.opened = true
	for t := range s.standings {
		f.met[t] = true
	}
}

func (f *Fleet) take(r Reply) {
	if r.Full {
		f.view.teams = make(map[string]teamView, len(r.Values))
	}
	f.blank = false
	f.view.root = r.Root
	f.view.version = r.Version
	f.seen = max(f.seen, r.Version)
	for _, v := range r.Values {
		f.view.teams[v.Team] = teamView{counter: v.Counter, waiting: v.Waiting, changed: r.Version}
	}
}

// reflect records that the view includes this agent's reports up to seq.
func (f *Fleet) reflect(seq int64) {
	i := slices.IndexFunc(f.sent, func(s snapshot) bool { return s.seq == seq })
	if i < 0 {
		return
	}
	s := f.sent[i]
	f.reflected = s.totals
	for name, n := range s.children {
		if c, ok := f.children[name]; ok && n <= c.counted {
			c.reflected = max(c.reflected, n)
		}
	}
	f.sent = f.sent[i+1:]
}

// Receive takes a child's report. A report that is late or doubled counts nothing.
func (f *Fleet) Receive(now clock.Millis, r Report) Reply {
	wants := f.wants(r)
	if !f.remembers(r) && !r.Opens || wants && !r.ShowsView {
		return Reply{Incarnation: f.o.Incarnation, NeedsView: wants}
	}
	c := f.childOf(r)
	if c == nil {
		return Reply{Incarnation: f.o.Incarnation}
	}
	f.hear(c, r)
	if r.Seq > c.counted {
		f.count(now, c, r)
	}
	return f.reply(c, r)
}

// remembers reports whether the totals of the report's child and tenure are known here.
func (f *Fleet) remembers(r Report) bool {
	c, ok := f.children[r.Child]
	return ok && c.incarnation == r.Incarnation && c.tenure == r.Tenure
}

// wants reports whether a root without history should take over the view of the report's child.
func (f *Fleet) wants(r Report) bool {
	return f.isRoot && f.blank && r.Version > 0 && r.Root != f.lineage()
}

// hear takes from a report what it says of the child's view.
func (f *Fleet) hear(c *child, r Report) {
	if f.wants(r) {
		f.adopt(c, r)
	}
	if r.Root == f.lineage() {
		f.blank = false
	}
	if f.isRoot && r.Seen > f.view.version {
		f.view.restart(r.Seen)
	}
	f.seen = max(f.seen, r.Seen, f.view.version)
}

// childOf returns the memory of the report's child, or nil when the report is of an earlier run.
func (f *Fleet) childOf(r Report) *child {
	c, ok := f.children[r.Child]
	if !ok {
		c = newChild(r, nil)
		f.children[r.Child] = c
		return c
	}
	if slices.Contains(c.retired, r.Incarnation) {
		return nil
	}
	if c.incarnation != r.Incarnation {
		retired := append(c.retired, c.incarnation)
		c = newChild(r, retired[max(0, len(retired)-maxRetired):])
		f.children[r.Child] = c
	}
	if r.Tenure > c.tenure {
		c.tenure = r.Tenure
		c.teams = make(map[string]standing)
	}
	return c
}

func newChild(r Report, retired []string) *child {
	return &child{
		incarnation: r.Incarnation, tenure: r.Tenure, retired: retired,
		teams: make(map[string]standing),
	}
}

// adopt makes a child's view that of a root without one.
func (f *Fleet) adopt(c *child, r Report) {
	f.view.teams = make(map[string]teamView, len(r.View))
	for _, v := range r.View {
		f.view.teams[v.Team] = teamView{counter: v.Counter, waiting: v.Waiting}
		c.teams[v.Team] = standing{total: v.Included}
	}
	for t, total := range f.totals {
		f.view.add(t, total)
	}
	f.blank = false
	f.adopted = r.Root
	f.view.restart(r.Seen)
}

// count adds what is new in a report.
func (f *Fleet) count(now clock.Millis, c *child, r Report) {
	c.counted = r.Seq
	c.seen = now
	c.silent = false
	for _, e := range r.Entries {
		last, ok := c.teams[e.Team]
		if !ok {
			last.total = f.base(r, e)
		}
		f.add(e.Team, e.Total-last.total)
		c.teams[e.Team] = standing{total: e.Total, waiting: e.Waiting}
	}
	if f.isRoot {
		c.reflected = r.Seq
		f.settle()
	}
}

// base is the total from which an entry counts when its child is new here. The view that was taken over
// already holds what its root had counted.
func (f *Fleet) base(r Report, e Entry) int64 {
	if e.Led != 0 && f.adopted == r.Child+"."+r.Incarnation {
		return e.Led
	}
	return e.Base
}

func (f *Fleet) reply(c *child, r Report) Reply {
	out := Reply{
		Incarnation: f.o.Incarnation,
		Counted:     c.counted, Reflected: c.reflected,
	}
	if f.view.version < r.Version {
		return out
	}
	out.Root = f.view.root
	out.Version = f.view.version
	out.Full = r.Root != f.view.root
	since := r.Version
	if out.Full {
		since = -1
	}
	out.Values = f.view.since(since)
	return out
}
