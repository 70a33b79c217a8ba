package share

// Entry is one team's standing in the subtree of a reporting agent.
type Entry struct {
	// Team is the team's name.
	Team string
	// Base is the total that an earlier parent acknowledged; a parent that has not met the child before counts
	// from there. It is 0 once the parent remembers the team.
	Base int64
	// Led is the total that the child's own view held when it stopped being the root; 0 otherwise.
	Led int64
	// Total is the weighted service that the subtree has counted since the child started.
	Total int64
	// Waiting says that the team has work waiting in the subtree.
	Waiting bool
}

// Value is one team's fleet-wide counter.
type Value struct {
	// Team is the team's name.
	Team string
	// Counter is the team's weighted service over the whole fleet.
	Counter int64
	// Waiting says that the team has work waiting somewhere.
	Waiting bool
	// Included is how much of the sender's own total the counter holds. Only children that show their view to
	// a parent without one set it.
	Included int64
}

// Report is what an agent sends to its parent. Its totals are cumulative, so one report covers all before it.
type Report struct {
	// Child is the reporting agent's server and Incarnation its current run.
	Child       string
	Incarnation string
	// Tenure grows each time that the child changes its parent.
	Tenure int64
	// Opens says that the parent is not known to remember the child: the entries hold their bases.
	Opens bool
	// Seq numbers the child's reports; it grows over all tenures.
	Seq int64
	// Entries holds the teams that moved since the last report that was acknowledged.
	Entries []Entry
	// Root and Version name the view that the child holds.
	Root    string
	Version int64
	// Seen is the highest version that the child has heard of; at least Version.
	Seen int64
	// ShowsView says that View holds the child's whole view.
	ShowsView bool
	View      []Value
}

// Reply answers a report.
type Reply struct {
	// Incarnation is the parent's current run.
	Incarnation string
	// Counted is the sequence number of the report when it was counted; 0 otherwise.
	Counted int64
	// NeedsView asks the child to show its view with its next report.
	NeedsView bool
	// Reflected is the child's last report that the counters of this reply include.
	Reflected int64
	// Root and Version name the view; Version is 0 when the parent has none.
	Root    string
	Version int64
	// Full says that Values replaces the child's view; otherwise they are its changes.
	Full   bool
	Values []Value
}
