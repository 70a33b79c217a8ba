package order_test

import (
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/order"
)

// FuzzPage applies a record of arbitrary bytes. The controller must advance past it and may not panic.
func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"id":"1","server":"model-1","holder":"a","at_ms":1,"life_ms":30000}`))
	f.Add([]byte(`{"id":1}`))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := order.New()
		leases := c.ApplyPage(laburnumring.Page{Next: 1, Records: []laburnumring.Record{{Data: data}}})
		if c.Next() != 1 || !c.AtEnd() {
			t.Fatalf("next %d", c.Next())
		}
		for _, h := range leases {
			if c.Check(h.Server, h.Fence) != nil {
				t.Fatalf("the newest lease %+v is refused", h)
			}
		}
	})
}
