package share

import (
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Report returns the report to send to parent now. A root that reports to a parent stops being the root.
func (f *Fleet) Report(parent string) Report {
	if f.isRoot {
		f.isRoot = false
		f.view.publish()
		f.reflected = maps.Clone(f.totals)
		f.totalsAsRoot = f.reflected
	}
	if parent != f.parent {
		f.changeParent(parent)
	}
	f.seq++
	f.highestVersion = max(f.highestVersion, f.view.version)
	r := Report{
		Child: f.opts.Name, Incarnation: f.opts.Incarnation, Tenure: f.epoch, Opens: !f.epochAcknowledged, Seq: f.seq,
		Root: f.view.root, Version: f.view.version, Seen: f.highestVersion,
		ShowsView: f.sendView,
	}
	if f.sendView {
		r.View = f.fullView()
	}
	s := f.snapshot()
	for _, t := range slices.Sorted(maps.Keys(s.teams)) {
		e := s.teams[t]
		entry := Entry{Team: t, Led: f.totalsAsRoot[t], Total: e.total, Waiting: e.waiting}
		if !f.knownToParent[t] {
			entry.Base = f.acknowledged[t].total
		}
		r.Entries = append(r.Entries, entry)
	}
	f.pending = append(f.pending, s)
	if len(f.pending) > maxPending {
		f.pending = f.pending[1:]
	}
	return r
}

// fullView returns the complete view, for a parent that has none.
func (f *Fleet) fullView() []Value {
	out := f.view.since(-1)
	for i, v := range out {
		out[i].Included = f.reflected[v.Team]
	}
	return out
}

// snapshot returns the state that a report is made from. Its teams are only those whose state the parent may not
// know.
func (f *Fleet) snapshot() snapshot {
	s := snapshot{
		seq: f.seq, epoch: f.epoch,
		totals:   maps.Clone(f.totals),
		teams:    make(map[string]teamTotal),
		children: make(map[string]int64, len(f.children)),
	}
	waiting := f.waiting()
	for t := range waiting {
		f.snapshotTeam(s, t, true)
	}
	for t := range f.totals {
		f.snapshotTeam(s, t, waiting[t])
	}
	for t := range f.acknowledged {
		f.snapshotTeam(s, t, waiting[t])
	}
	for name, c := range f.children {
		s.children[name] = c.lastApplied
	}
	return s
}

// snapshotTeam adds a team to s, unless a parent has acknowledged its current state.
func (f *Fleet) snapshotTeam(s snapshot, team string, waiting bool) {
	current := teamTotal{total: f.totals[team], waiting: waiting}
	if current != f.acknowledged[team] || f.unconfirmed[team] {
		f.unconfirmed[team] = true
		s.teams[team] = current
	}
}

func (f *Fleet) changeParent(parent string) {
	f.parent = parent
	f.parentIncarnation = ""
	f.sendView = false
	f.startEpoch()
}

// startEpoch makes the next report list all waiting teams again, for a parent that has no state of this agent.
func (f *Fleet) startEpoch() {
	f.epoch++
	f.epochAcknowledged = false
	f.knownToParent = make(map[string]bool)
	for t, s := range f.acknowledged {
		s.waiting = false
		f.acknowledged[t] = s
	}
}

// Acknowledge applies the parent's reply to the last report. It ignores a view that is older than this agent's.
func (f *Fleet) Acknowledge(r Reply) {
	if f.isRoot {
		return
	}
	f.sendView = r.NeedsView
	f.acknowledge(r.Counted)
	if f.parentIncarnation != "" && f.parentIncarnation != r.Incarnation {
		f.startEpoch()
	}
	f.parentIncarnation = r.Incarnation
	if r.Version == 0 || r.Version < f.view.version {
		return
	}
	f.applyView(r)
	f.markReflected(r.Reflected)
}

// acknowledge records that a parent applied the report with sequence number counted.
func (f *Fleet) acknowledge(counted int64) {
	for _, s := range f.pending {
		if s.seq == counted {
			maps.Copy(f.acknowledged, s.teams)
			f.markKnownToParent(s)
			f.unconfirmed = make(map[string]bool)
			f.totalsAsRoot = nil
		}
	}
}

// markKnownToParent records the teams whose totals the parent now knows.
func (f *Fleet) markKnownToParent(s snapshot) {
	if s.epoch != f.epoch {
		return
	}
	f.epochAcknowledged = true
	for t := range s.teams {
		f.knownToParent[t] = true
	}
}

// applyView applies the view, or the changes to it, of a parent's reply.
func (f *Fleet) applyView(r Reply) {
	if r.Full {
		f.view.teams = make(map[string]teamView, len(r.Values))
	}
	f.uninitialised = false
	f.view.root = r.Root
	f.view.version = r.Version
	f.highestVersion = max(f.highestVersion, r.Version)
	for _, v := range r.Values {
		f.view.teams[v.Team] = teamView{counter: v.Counter, waiting: v.Waiting, changed: r.Version}
	}
}

// markReflected records that the view includes this agent's reports up to sequence number seq.
func (f *Fleet) markReflected(seq int64) {
	i := slices.IndexFunc(f.pending, func(s snapshot) bool { return s.seq == seq })
	if i < 0 {
		return
	}
	s := f.pending[i]
	f.reflected = s.totals
	for name, n := range s.children {
		if c, ok := f.children[name]; ok && n <= c.lastApplied {
			c.lastReflected = max(c.lastReflected, n)
		}
	}
	f.pending = f.pending[i+1:]
}

// Receive applies a child's report and returns the reply. A delayed or duplicate report has no effect on the
// counters.
func (f *Fleet) Receive(now clock.Millis, r Report) Reply {
	wants := f.wantsView(r)
	if !f.knowsEpoch(r) && !r.Opens || wants && !r.ShowsView {
		return Reply{Incarnation: f.opts.Incarnation, NeedsView: wants}
	}
	c := f.childOf(r)
	if c == nil {
		return Reply{Incarnation: f.opts.Incarnation}
	}
	f.noteChildView(c, r)
	if r.Seq > c.lastApplied {
		f.applyEntries(now, c, r)
	}
	return f.reply(c, r)
}

// knowsEpoch reports whether the child's totals in the report's epoch are known here.
func (f *Fleet) knowsEpoch(r Report) bool {
	c, ok := f.children[r.Child]
	return ok && c.incarnation == r.Incarnation && c.epoch == r.Tenure
}

// wantsView reports whether this agent is an uninitialised root that should take over the child's view.
func (f *Fleet) wantsView(r Report) bool {
	return f.isRoot && f.uninitialised && r.Version > 0 && r.Root != f.rootID()
}

// noteChildView updates this agent's own view, if needed, from what a report says of the child's view.
func (f *Fleet) noteChildView(c *child, r Report) {
	if f.wantsView(r) {
		f.adoptView(c, r)
	}
	if r.Root == f.rootID() {
		f.uninitialised = false
	}
	if f.isRoot && r.Seen > f.view.version {
		f.view.republish(r.Seen)
	}
	f.highestVersion = max(f.highestVersion, r.Seen, f.view.version)
}

// childOf returns the state of the report's child, or nil if the report is from an earlier incarnation.
func (f *Fleet) childOf(r Report) *child {
	c, ok := f.children[r.Child]
	if !ok {
		c = newChild(r, nil)
		f.children[r.Child] = c
		return c
	}
	if slices.Contains(c.pastIncarnations, r.Incarnation) {
		return nil
	}
	if c.incarnation != r.Incarnation {
		past := append(c.pastIncarnations, c.incarnation)
		c = newChild(r, past[max(0, len(past)-maxPastIncarnations):])
		f.children[r.Child] = c
	}
	if r.Tenure > c.epoch {
		c.epoch = r.Tenure
		c.teams = make(map[string]teamTotal)
	}
	return c
}

func newChild(r Report, past []string) *child {
	return &child{
		incarnation: r.Incarnation, epoch: r.Tenure, pastIncarnations: past,
		teams: make(map[string]teamTotal),
	}
}

// adoptView makes the child's view that of an uninitialised root.
func (f *Fleet) adoptView(c *child, r Report) {
	f.view.teams = make(map[string]teamView, len(r.View))
	for _, v := range r.View {
		f.view.teams[v.Team] = teamView{counter: v.Counter, waiting: v.Waiting}
		c.teams[v.Team] = teamTotal{total: v.Included}
	}
	for t, total := range f.totals {
		f.view.add(t, total)
	}
	f.uninitialised = false
	f.adoptedRoot = r.Root
	f.view.republish(r.Seen)
}

// applyEntries adds the increases of a report's totals.
func (f *Fleet) applyEntries(now clock.Millis, c *child, r Report) {
	c.lastApplied = r.Seq
	c.lastReceived = now
	c.timedOut = false
	for _, e := range r.Entries {
		last, ok := c.teams[e.Team]
		if !ok {
			last.total = f.baseTotal(r, e)
		}
		f.add(e.Team, e.Total-last.total)
		c.teams[e.Team] = teamTotal{total: e.Total, waiting: e.Waiting}
	}
	if f.isRoot {
		c.lastReflected = r.Seq
		f.updateView()
	}
}

// baseTotal returns the total above which an entry counts when its team is new under this child. A view that was
// taken over from an earlier root already includes that root's own totals, so they are the base when it reports.
func (f *Fleet) baseTotal(r Report, e Entry) int64 {
	if e.Led != 0 && f.adoptedRoot == r.Child+"."+r.Incarnation {
		return e.Led
	}
	return e.Base
}

func (f *Fleet) reply(c *child, r Report) Reply {
	out := Reply{
		Incarnation: f.opts.Incarnation,
		Counted:     c.lastApplied, Reflected: c.lastReflected,
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
