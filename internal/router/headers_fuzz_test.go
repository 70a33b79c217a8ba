package router

import (
	"net/http"
	"testing"

	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/header"
)

// FuzzHeaders checks that the values of accepted headers are within the documented limits.
func FuzzHeaders(f *testing.F) {
	f.Add("1000", "5", "true", "k", "1700000000000")
	f.Add("", "", "", "018f3f3e-7b1c-7000-8000-000000000000", "")
	f.Add("1", "1", "", "00000000-0000-7000-8000-000000000000", "")
	f.Add("-1", "99999999999999999999", "maybe", "", "0")
	f.Fuzz(func(t *testing.T, deadline, cost, repeatable, key, keyTime string) {
		req := &http.Request{Header: http.Header{}}
		req.Header.Set(header.Deadline, deadline)
		req.Header.Set(header.CostHint, cost)
		req.Header.Set(header.Repeatable, repeatable)
		req.Header.Set(header.IdempotencyKey, key)
		req.Header.Set(header.KeyTime, keyTime)
		c := &call{}
		const now = clock.Millis(1)
		if err := c.readHeaders(now, req); err != nil {
			return
		}
		if c.request.Deadline <= now || c.request.Deadline > now+maxDeadline || c.request.Cost < minCost || c.request.Cost > maxCost {
			t.Fatalf("deadline %d, cost %d", c.request.Deadline, c.request.Cost)
		}
		if c.request.Keyed && (c.request.Repeatable || len(key) > maxKeyLength) {
			t.Fatalf("keyed: repeatable %v, %d bytes", c.request.Repeatable, len(key))
		}
	})
}
