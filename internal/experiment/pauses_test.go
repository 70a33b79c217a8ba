package experiment_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/experiment"
)

// TestLongPromptsSpareStreams reads long prompts at engines that run short streams. It guards against placement that
// ignores the pauses which long prompts cause, and against avoiding them by reading shared parts again everywhere.
func TestLongPromptsSpareStreams(t *testing.T) {
	for _, c := range []struct{ utilisation, maxLate, maxReread float64 }{
		{utilisation: 0.55, maxLate: 0.08, maxReread: 0.15},
		{utilisation: 0.85, maxLate: 0.15, maxReread: 0.22},
	} {
		site, load := experiment.LongPrompts(1, c.utilisation)
		r, err := experiment.Run(site, load, "intake")
		if err != nil {
			t.Fatal(err)
		}
		late, lost := r.LateTokens/r.AskedTokens, r.RefusedTokens/r.AskedTokens
		reread := float64(r.PrefilledAgain) / float64(r.Read)
		t.Logf("utilisation %.2f: late %.3f, lost %.4f, reread %.3f by size, late by pauses only %d, otherwise %d of %d",
			c.utilisation, late, lost, reread, r.PauseLate, r.Late, r.Asked)
		if late > c.maxLate || lost > 0.005 || reread > c.maxReread {
			t.Errorf("at most %.2f late, 0.005 lost and %.2f reread are allowed", c.maxLate, c.maxReread)
		}
	}
}
