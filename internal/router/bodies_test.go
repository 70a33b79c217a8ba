package router

import "testing"

// TestBodies fills a team's part and then the whole, and finds nothing held at the end.
func TestBodies(t *testing.T) {
	b := bodies{byTeam: make(map[string]int64)}
	if !b.take("a", maxTeamBodies) || b.take("a", 1) {
		t.Error("a team holds more than its part")
	}
	for _, team := range []string{"b", "c", "d"} {
		if !b.take(team, maxTeamBodies) {
			t.Errorf("team %s has no part", team)
		}
	}
	if b.take("e", 1) {
		t.Error("teams hold more than the whole")
	}
	b.give("a", 1)
	if !b.take("e", 1) {
		t.Error("what was given back is lost")
	}
	b.give("e", 1)
	b.give("a", maxTeamBodies-1)
	for _, team := range []string{"b", "c", "d"} {
		b.give(team, maxTeamBodies)
	}
	if b.total != 0 || len(b.byTeam) != 0 {
		t.Errorf("%d bytes of %d teams are held", b.total, len(b.byTeam))
	}
}
