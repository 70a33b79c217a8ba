package margin_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/explain"
	"github.com/laburnumring/laburnumring/internal/margin"
)

// TestShares reads scripts with lines "FROM-TO ROUTER TEAM DEMAND STARTED [all]", writes the log line of each of the
// seconds and prints the spans. With all, every request was served on time.
func TestShares(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var log strings.Builder
			for row := range strings.SplitSeq(d.Input, "\n") {
				var from, to, demand, started, unserved int64
				var router, team, rest string
				if n, _ := fmt.Sscan(strings.Replace(row, "-", " ", 1), &from, &to, &router, &team, &demand, &started, &rest); n < 6 {
					d.Fatalf(t, "malformed line %q", row)
				}
				if rest != "all" {
					unserved = 1
				}
				for at := from; at <= to; at++ {
					fmt.Fprintf(&log, "%s time=%s event=5009 team=%s asked=%d begun=%d unserved=%d router_busy=%d\n", router,
						time.Unix(at+1, 0).UTC().Format(time.RFC3339), team, demand, started, unserved, demand-started)
				}
			}
			lines, err := explain.Read("x", strings.NewReader(log.String()))
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			for _, s := range worst(lines) {
				if err := json.NewEncoder(&out).Encode(s); err != nil {
					t.Fatal(err)
				}
			}
			return out.String()
		})
	})
}

func worst(lines []explain.Line) []margin.Span {
	l := margin.New()
	l.Read(lines)
	return l.Worst()
}
