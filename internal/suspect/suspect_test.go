package suspect_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const fingerprint = 7

// TestEntryLifecycle follows one fingerprint from suspected to cleared, confirmed and expired.
func TestEntryLifecycle(t *testing.T) {
	l := suspect.New(suspect.Options{TTL: clock.Minute})
	first := l.RecordCrash(1000, fingerprint, false)
	if first.Kind != suspect.Suspected || l.Kind(1000, fingerprint) != suspect.Suspected {
		t.Errorf("after a crash: %+v", first)
	}
	cleared, ok := l.RecordCompletion(2000, fingerprint)
	if !ok || cleared.Kind != suspect.Cleared || l.HasSuspects() {
		t.Errorf("after a completed run: %+v", cleared)
	}
	if l.Merge(2000, first) {
		t.Error("an old entry replaced a newer one")
	}
	confirmed := l.RecordCrash(3000, fingerprint, true)
	if _, ok := l.RecordCompletion(3000, fingerprint); ok || confirmed.Kind != suspect.Confirmed {
		t.Errorf("after a crash of an isolated run: %+v", confirmed)
	}
	if l.Kind(3000+clock.Minute, fingerprint) != 0 {
		t.Error("an entry outlived its TTL")
	}
	if l.Merge(3000+clock.Minute, suspect.Entry{Fingerprint: fingerprint, Kind: suspect.Suspected, Version: 1}) {
		t.Error("an entry without remaining time was merged")
	}
}

// TestConfirmationWins merges a confirmed entry with a later suspected one, in both orders. The later one comes from a
// process that had not received the confirmation.
func TestConfirmationWins(t *testing.T) {
	confirmed := suspect.New(suspect.Options{}).RecordCrash(1000, fingerprint, true)
	later := suspect.New(suspect.Options{}).RecordCrash(2000, fingerprint, false)
	for _, order := range [][]suspect.Entry{{confirmed, later}, {later, confirmed}} {
		l := suspect.New(suspect.Options{})
		for _, e := range order {
			l.Merge(3000, e)
		}
		if got := l.Kind(3000, fingerprint); got != suspect.Confirmed {
			t.Errorf("kind %d after %+v", got, order)
		}
	}
}

// TestListsConverge merges the same entries into all lists, in any order and each twice. All lists must end with the
// same entry, and no entry may change a list twice.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lists := make([]*suspect.List, 3)
		for i := range lists {
			lists[i] = suspect.New(suspect.Options{})
		}
		var entries []suspect.Entry
		for now := range clock.Millis(rapid.IntRange(1, 8).Draw(rt, "events")) {
			l := lists[rapid.IntRange(0, 2).Draw(rt, "list")]
			if e, ok := l.RecordCompletion(now, fingerprint); ok && rapid.Bool().Draw(rt, "finished") {
				entries = append(entries, e)
				continue
			}
			entries = append(entries, l.RecordCrash(now, fingerprint, rapid.Bool().Draw(rt, "alone")))
		}
		for _, l := range lists {
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7}).Draw(rt, "order") {
				if i >= len(entries) {
					continue
				}
				l.Merge(10, entries[i])
				if l.Merge(10, entries[i]) {
					rt.Fatal("an entry changed a list twice")
				}
			}
		}
		want, _ := lists[0].Entry(10, fingerprint)
		for _, l := range lists[1:] {
			if got, _ := l.Entry(10, fingerprint); got.Kind != want.Kind || got.Version != want.Version {
				rt.Fatalf("%+v and %+v", got, want)
			}
		}
	})
}
