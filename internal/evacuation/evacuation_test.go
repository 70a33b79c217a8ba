package evacuation_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/evacuation"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestScripts plays the scripts in testdata/scripts.txt. Each guards against the failure that its heading names. A line
// is a time, an event and what is expected afterwards:
//
//	read REVISION ERA PLACES [REMOVALS]      the router reads the operator's records
//	peer REVISION ERA PLACES [REMOVALS] [HELD]  a peer reports
//	expire                                   time passes
//
// REMOVALS are PLACE@REVISION, HELD is PLACE+MS; "-" is an empty list. Expected are the places in force and those
// reopened by the event.
func TestScripts(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile("testdata/scripts.txt")
	if err != nil {
		t.Fatal(err)
	}
	for script := range strings.SplitSeq(string(data), "\n# ") {
		name, lines, _ := strings.Cut(strings.TrimPrefix(script, "# "), "\n")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := evacuation.New()
			for line := range strings.Lines(lines) {
				if line = strings.TrimSpace(line); line != "" {
					play(t, s, line)
				}
			}
		})
	}
}

func play(t *testing.T, s *evacuation.State, line string) {
	t.Helper()
	did, want, _ := strings.Cut(line, " => ")
	f := append(strings.Fields(did), "-", "-", "-")
	now := clock.Millis(number(t, f[0]))
	var c evacuation.Change
	switch f[1] {
	case "expire":
		c = s.Expire(now)
	case "read":
		c = s.Apply(now, laburnumring.Evacuations{
			Revision: number(t, f[2]), Era: number(t, f[3]), Places: list(f[4]), Removals: removals(t, f[5]),
		})
	case "peer":
		r := &evacuation.Report{Revision: number(t, f[2]), Era: number(t, f[3]), Places: list(f[4]), Removals: removals(t, f[5])}
		for _, v := range list(f[6]) {
			place, left, _ := strings.Cut(v, "+")
			r.Held = append(r.Held, evacuation.Hold{Place: place, Left: clock.Millis(number(t, left))})
		}
		c = s.Merge(now, r)
	}
	got := fmt.Sprintf("%s reopened %s", text(s.Places()), text(c.Reopened))
	if got != want {
		t.Errorf("%s: got %s", line, got)
	}
}

func number(t *testing.T, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func list(s string) []string {
	if s == "-" {
		return nil
	}
	return strings.Split(s, ",")
}

func text(places []string) string {
	if len(places) == 0 {
		return "-"
	}
	return strings.Join(places, ",")
}

func removals(t *testing.T, s string) []laburnumring.EvacuationRemoval {
	t.Helper()
	var out []laburnumring.EvacuationRemoval
	for _, v := range list(s) {
		place, revision, _ := strings.Cut(v, "@")
		out = append(out, laburnumring.EvacuationRemoval{Place: place, Revision: number(t, revision)})
	}
	return out
}

// TestConfirms guards against a router that takes the age of a peer's copy for that of its own although they differ, and
// against a field in messages where no place was ever evacuated.
func TestConfirms(t *testing.T) {
	t.Parallel()
	s, peer := evacuation.New(), evacuation.New()
	s.Apply(1, laburnumring.Evacuations{Revision: 5})
	peer.Apply(1, laburnumring.Evacuations{Revision: 4})
	if s.Report(1) != nil || !s.Confirms(peer.Report(1)) {
		t.Error("routers that know of no evacuation report one, or do not confirm each other")
	}
	s.Apply(2, laburnumring.Evacuations{Revision: 6, Places: []string{"a"}})
	if s.Confirms(peer.Report(2)) {
		t.Error("a peer without records confirms them")
	}
	peer.Apply(2, laburnumring.Evacuations{Revision: 5, Places: []string{"b"}})
	if s.Confirms(peer.Report(2)) {
		t.Error("a peer with older records confirms newer ones")
	}
	peer.Merge(3, s.Report(3))
	if !s.Confirms(peer.Report(3)) || !peer.Contains("a") || peer.Contains("b") {
		t.Error("a peer that was told does not hold the same records")
	}
	if peer.Merge(4, &evacuation.Report{Revision: 9, Places: strings.Split(strings.Repeat("p ", 1000)+"p", " ")}); peer.Revision() != 6 {
		t.Error("an excessive report is applied")
	}
}

// TestHoldsEnd guards against routers that keep a lost record alive by telling each other: the remaining time grows by a
// message's delay each time.
func TestHoldsEnd(t *testing.T) {
	t.Parallel()
	routers := make([]*evacuation.State, 4)
	for i := range routers {
		routers[i] = evacuation.New()
		if i < 2 {
			routers[i].Apply(1, laburnumring.Evacuations{Revision: 5, Places: []string{"a"}})
		}
		routers[i].Apply(2+clock.Millis(i), laburnumring.Evacuations{Revision: 9, Era: 1})
	}
	const delay = 300
	for now := clock.Millis(10); now < 20_000; now += 100 {
		for i, s := range routers {
			s.Expire(now)
			r := s.Report(now - delay)
			for j, to := range routers {
				if i != j {
					to.Merge(now, r)
				}
			}
			if held := s.Contains("a"); held != (now < evacuation.HoldTime) && (now < 4900 || now > 5900) {
				t.Fatalf("router %d at %d ms: evacuated %v", i, now, held)
			}
		}
	}
}
