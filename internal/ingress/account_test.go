package ingress_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/laburnumring/laburnumring/internal/ingress"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// manualClock is a clock that the test sets.
type manualClock struct{ now clock.Millis }

func (c *manualClock) Now() clock.Millis { return c.now }

// TestEvictionOrder guards against evicting an ordinary caller's body while others are slower and further from their end.
func TestEvictionOrder(t *testing.T) {
	type body struct {
		name         string
		total, moved int64
		// age is how long ago the body began, and pause how long ago its last byte arrived.
		age, pause clock.Millis
	}
	for _, tt := range []struct {
		name   string
		bodies []body
		want   string
	}{
		{"stalled by a byte", []body{{"ordinary", 1000, 500, 300, 10}, {"stalled", 1000, 999, 4000, 2000}}, "stalled"},
		{"slow and far from its end", []body{{"near", 1000, 900, 4000, 10}, {"far", 1000, 100, 4000, 10}}, "far"},
		{"a slow long one and a slow short one", []body{{"short", 200, 100, 4000, 10}, {"long", 10000, 100, 4000, 10}}, "long"},
		{"none that needs more time than the charge", []body{{"near", 1000, 999, 4000, 10}}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := &manualClock{now: 1000}
			a := ingress.New(ingress.Options{Clock: c, Bodies: int64(len(tt.bodies)) * 100})
			got := ""
			transfers := make(map[string]*ingress.Transfer)
			for _, b := range tt.bodies {
				v := a.Open(ingress.Body)
				transfers[b.name] = v
				c.now = 5000 - b.age
				v.Start(b.total, func() { got = b.name; go v.Release() })
				if err := v.Charge(100); err != nil {
					t.Fatal(err)
				}
			}
			for _, b := range tt.bodies {
				c.now = 5000 - b.pause
				transfers[b.name].Moved(b.moved)
			}
			c.now = 5000
			newer := a.Open(ingress.Body)
			newer.Start(100, func() { t.Error("the newest is evicted") })
			err := newer.Charge(100)
			var full *ingress.FullError
			if got != tt.want || errors.As(err, &full) != (tt.want == "") {
				t.Errorf("evicted %q, error %v, want %q", got, err, tt.want)
			}
		})
	}
}

// TestAccount guards against memory that stays charged, charges over the limit, and an idle account that refuses a body
// which the configuration allows.
func TestAccount(t *testing.T) {
	a := ingress.New(ingress.Options{Clock: &manualClock{}, Bodies: 100})
	alone := a.Open(ingress.Body)
	alone.Start(500, func() {})
	for range 5 {
		if err := alone.Charge(100); err != nil {
			t.Errorf("the only body: %v", err)
		}
	}
	_ = alone.Settle()
	second := a.Open(ingress.Body)
	second.Start(10, func() {})
	if err := second.Charge(10); err == nil {
		t.Error("charged over the limit")
	}
	alone.Release()
	if err := second.Charge(10); err != nil {
		t.Error(err)
	}
	second.Release()
	if used, _ := a.Used(ingress.Body); used != 0 {
		t.Errorf("%d bytes are charged after all were released", used)
	}
}

// TestBuffer guards against lost bytes, and against memory that is allocated for announced bytes.
func TestBuffer(t *testing.T) {
	for _, size := range []int{0, 1, 4096, 16384, 16385, 300_000} {
		want := strings.Repeat("0123456789", size/10+1)[:size]
		for _, announced := range []bool{true, false} {
			a := ingress.New(ingress.Options{Clock: &manualClock{}})
			v := a.Open(ingress.Body)
			var b ingress.Buffer
			length := int64(-1)
			if announced {
				length = int64(size)
			}
			if err := b.Read(iotest.HalfReader(strings.NewReader(want)), length, v); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(b.Reader())
			if err != nil || !bytes.Equal(got, []byte(want)) || b.Len() != int64(size) {
				t.Errorf("%d bytes, announced %v: read %d, error %v", size, announced, len(got), err)
			}
			if used, _ := a.Used(ingress.Body); used > int64(2*size)+4096 {
				t.Errorf("%d bytes are charged for %d", used, size)
			}
		}
	}
	a := ingress.New(ingress.Options{Clock: &manualClock{}})
	var b ingress.Buffer
	if err := b.Read(strings.NewReader("x"), 4<<20, a.Open(ingress.Body)); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v for a body that ends early", err)
	}
	if used, _ := a.Used(ingress.Body); used > 16<<10 {
		t.Errorf("%d bytes are charged for one that arrived", used)
	}
}
