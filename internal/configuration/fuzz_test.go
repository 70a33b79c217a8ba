package configuration_test

import (
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/configuration"
)

const fuzzSite = `site: s
teams:
  - {name: a, weight: 1}
services:
  - name: pool
    kind: model
    retry: {max_attempts: 3, budget_percent: 20, repeatable: true}
    queue_limit: 8
    key_window_ms: 1000
places:
  - {name: here, region: north}
servers:
  - {name: s1, service: pool, place: here, address: "127.0.0.1:1", agent: "127.0.0.1:2", slots: 2, checks_fencing: false}
`

// FuzzRecord applies arbitrary bytes as records. The version in force must never decrease.
func FuzzRecord(f *testing.F) {
	for _, r := range []configuration.Record{
		{Type: configuration.Change, ID: "a", Version: 1, Text: fuzzSite},
		{Type: configuration.Change, ID: "b", From: 1, Version: 2, Text: fuzzSite},
		{Type: configuration.Snapshot, ID: "c", Version: 2, Through: 1, Text: fuzzSite},
		{Type: configuration.Restore, ID: "d", Version: 4, Text: fuzzSite},
	} {
		data, err := r.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		b := board.New()
		c := configuration.New(configuration.Options{Board: b, Random: func() float64 { return 0 }})
		for i, data := range [][]byte{first, second} {
			before := b.Version()
			offset := int64(i)
			page := laburnumring.Page{Next: offset + 1, Records: []laburnumring.Record{{Offset: offset, Data: data}}}
			decisions := c.Apply(0, configuration.Decode(page))
			accepted := len(decisions) == 1 && decisions[0].Verdict == configuration.Accepted
			if b.Version() < before || accepted != (b.Version() > before) {
				t.Fatalf("version %d follows version %d, decisions %+v", b.Version(), before, decisions)
			}
			if b.Version() != c.State().Version {
				t.Fatalf("the board has version %d, the controller %d", b.Version(), c.State().Version)
			}
			if b.Version() > 0 && b.Site() == nil {
				t.Fatalf("version %d has no site", b.Version())
			}
		}
	})
}
