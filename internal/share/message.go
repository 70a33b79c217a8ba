package share

// Entry is the state of one team in the subtree of a reporting agent.
type Entry struct {
	// Team is the team's name.
	Team string
	// Base is the total that an earlier parent acknowledged. A parent for which the team is new under this child adds
	// only what exceeds it. It is 0 once the parent knows the team.
	Base int64
	// Led is the total that the child's own view included when it stopped being the root; 0 otherwise.
	Led int64
	// Total is the weighted service of the subtree since the child started.
	Total int64
	// Waiting reports whether the team has requests waiting in the subtree.
	Waiting bool
}

// Value is one team's fleet-wide counter.
type Value struct {
	// Team is the team's name.
	Team string
	// Counter is the team's weighted service in the whole fleet.
	Counter int64
	// Waiting reports whether the team has requests waiting in any agent.
	Waiting bool
	// Included is the part of the counter that comes from the sender's own total. It is set only by a child that
	// sends its view to a parent without one.
	Included int64
}

// Report is what an agent sends to its parent. Its totals are cumulative, so a report also covers all earlier ones.
type Report struct {
	// Child is the name of the reporting agent's server, and Incarnation identifies its current run.
	Child       string
	Incarnation string
	// Tenure is the child's epoch, which increases each time that it changes its parent or the parent has restarted.
	Tenure int64
	// Opens is set until the parent has acknowledged a report of this epoch. The entries then carry their bases, which
	// a parent that does not know the epoch needs.
	Opens bool
	// Seq is the number of the report. It increases across epochs.
	Seq int64
	// Entries holds the teams that changed since the last acknowledged report.
	Entries []Entry
	// Root and Version identify the child's view.
	Root    string
	Version int64
	// Seen is the highest version that the child knows of; at least Version.
	Seen int64
	// ShowsView reports whether View holds the child's complete view.
	ShowsView bool
	View      []Value
}

// Reply is a parent's reply to a report.
type Reply struct {
	// Incarnation identifies the parent's current run.
	Incarnation string
	// Counted is the sequence number of the child's last report that the parent applied; 0 if it rejected this
	// one.
	Counted int64
	// NeedsView asks the child to include its view in the next report.
	NeedsView bool
	// Reflected is the sequence number of the child's last report that the counters of this reply include.
	Reflected int64
	// Root and Version identify the parent's view; Version is 0 if it has none.
	Root    string
	Version int64
	// Full is set when Values replaces the child's view; otherwise Values holds the changes to it.
	Full   bool
	Values []Value
}
