package router

import "testing"

// TestBodies reserves up to the limit of a team and up to the total limit, and checks that nothing stays
// reserved in the end.
func TestBodies(t *testing.T) {
	b := bodyQuota{byTeam: make(map[string]int64)}
	if !b.reserve("a", maxTeamReservedBytes) || b.reserve("a", 1) {
		t.Error("a team could reserve more than its limit")
	}
	for _, team := range []string{"b", "c", "d"} {
		if !b.reserve(team, maxTeamReservedBytes) {
			t.Errorf("team %s could not reserve up to its limit", team)
		}
	}
	if b.reserve("e", 1) {
		t.Error("teams could reserve more than the total limit")
	}
	b.release("a", 1)
	if !b.reserve("e", 1) {
		t.Error("released bytes could not be reserved again")
	}
	b.release("e", 1)
	b.release("a", maxTeamReservedBytes-1)
	for _, team := range []string{"b", "c", "d"} {
		b.release(team, maxTeamReservedBytes)
	}
	if b.total != 0 || len(b.byTeam) != 0 {
		t.Errorf("%d bytes of %d teams are still reserved", b.total, len(b.byTeam))
	}
}
