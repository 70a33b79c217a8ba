package status_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/status"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestWrite reads reports, one per line, and prints their summary. The command "large" generates the reports of a large
// fleet instead.
func TestWrite(t *testing.T) {
	datadriven.RunTest(t, "testdata/write.txt", func(t *testing.T, d *datadriven.TestData) string {
		v := status.View{Order: status.ByTrouble}
		if d.HasArg("order") {
			var order string
			d.ScanArgs(t, "order", &order)
			v.Order = status.Order(order)
		}
		d.MaybeScanArgs(t, "top", &v.Top)
		reports, missing := read(t, d.Input)
		if d.Cmd == "large" {
			reports, missing = large()
		}
		s := status.Summarize(reports, missing)
		if d.Cmd == "json" {
			text, err := json.MarshalIndent(v.Apply(s), "", " ")
			if err != nil {
				t.Fatal(err)
			}
			return string(text)
		}
		var out strings.Builder
		if err := v.Write(&out, s); err != nil {
			t.Fatal(err)
		}
		return out.String()
	})
}

// read decodes one report or missing process per line.
func read(t *testing.T, input string) ([]status.Report, []status.Missing) {
	t.Helper()
	var reports []status.Report
	var missing []status.Missing
	for line := range strings.SplitSeq(input, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		var m status.Missing
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatal(err)
		}
		if m.Address != "" {
			missing = append(missing, m)
			continue
		}
		var r status.Report
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatal(err)
		}
		reports = append(reports, r)
	}
	return reports, missing
}

// large returns the reports of a fleet of 380 routers, 760 agents and 520 teams. Every tenth team has a backlog.
func large() ([]status.Report, []status.Missing) {
	var reports []status.Report
	for i := range 380 {
		r := status.Report{Role: status.RouterRole, Name: fmt.Sprintf("router-%03d", i), State: status.Ready, Version: 1700, AgeMs: clock.Millis(1000 + i)}
		for j := 0; j < 520; j += 10 {
			r.Teams = append(r.Teams, status.Team{Team: fmt.Sprintf("team-%03d", j), Service: "model-pool", Backlog: j / 100, OldestWaitMs: clock.Millis(j)})
		}
		reports = append(reports, r)
	}
	var missing []status.Missing
	for i := range 760 {
		name := fmt.Sprintf("server-%03d", i)
		if i%100 == 99 {
			missing = append(missing, status.Missing{Address: fmt.Sprintf("10.0.1.%d:9001", i%256), Problem: "no answer"})
			continue
		}
		reports = append(reports, status.Report{
			Role: status.AgentRole, Name: name, State: status.Ready, Version: 1700 - int64(i%380/379), AgeMs: clock.Minute,
			Teams:   []status.Team{{Team: fmt.Sprintf("team-%03d", i%520), Service: "model-pool", Units: int64(i)}},
			Servers: []status.Server{{Server: name, Service: "model-pool", Place: fmt.Sprintf("place-%d", i%6), State: status.Ready, Slots: 8, Limit: 6, Busy: i % 9}},
		})
	}
	return reports, missing
}
