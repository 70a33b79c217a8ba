package claim_test

import (
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/claim"
)

// FuzzPage applies a record of arbitrary bytes to a controller with an undecided claim. Only the claim's own entry may
// decide it, and nothing may panic.
func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"agent":"a","at_ms":1,"entries":[{"kind":"claim","id":"b1","key":"k","key_time_ms":10000}]}`))
	f.Add([]byte(`{"agent":"a","entries":[{"kind":"release","id":"a1","key":"k"}]}`))
	f.Add([]byte(`{"entries":[{"kind":"claim","id":"b1","key":"k","fingerprint":"18446744073709551615"}]}`))
	f.Add([]byte(`{"entries":null}`))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a := newAgent("a", 0)
		a.c.ApplyPage(10_000, laburnumring.Page{})
		e := claim.Entry{ID: "a1", Key: "k", KeyTime: 10_000, Request: "r", Attempt: 1}
		if err := a.c.Request(10_000, e); err != nil {
			t.Fatal(err)
		}
		own, _ := a.c.Batch(10_000)
		u := a.c.ApplyPage(10_000, laburnumring.Page{Next: 2, Records: []laburnumring.Record{
			{Offset: 0, Data: data}, {Offset: 1, Data: own},
		}})
		if len(u.Decisions) > 1 || a.c.Next() != 2 {
			t.Fatalf("decisions %v, next %d", u.Decisions, a.c.Next())
		}
	})
}
