package agent

import (
	"cmp"
	"slices"
)

// boundKept forgets finished answers, oldest first, until the rest takes at most keepBytes; callers hold mu.
func (a *Agent) boundKept() {
	var ended []string
	total := 0
	for id, s := range a.started {
		if s.endedAt == 0 || s.readers > 0 {
			continue
		}
		ended = append(ended, id)
		total += s.run.Size()
	}
	if total <= keepBytes {
		return
	}
	slices.SortFunc(ended, func(x, y string) int { return cmp.Compare(a.started[x].endedAt, a.started[y].endedAt) })
	for _, id := range ended {
		if total <= keepBytes {
			return
		}
		total -= a.started[id].run.Size()
		delete(a.started, id)
	}
}
