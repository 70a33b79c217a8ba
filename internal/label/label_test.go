package label_test

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/laburnumring/laburnumring/internal/label"
)

// TestAllowlist counts more values than the configuration names, then changes the configuration. Unknown values must
// be counted as other, and the series of a removed value must be gone.
func TestAllowlist(t *testing.T) {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "n", Help: "h"}, []string{"team"})
	b := label.New("team", v)
	b.Set([]string{"brokers", "bakery"})
	for _, team := range []string{"brokers", "bakery", "x", "y", "z"} {
		v.WithLabelValues(b.Value(team)).Inc()
	}
	b.Set([]string{"bakery", "corner-shop"})
	v.WithLabelValues(b.Value("brokers")).Inc()
	want := "# HELP n h\n# TYPE n counter\nn{team=\"bakery\"} 1\nn{team=\"other\"} 4\n"
	if err := testutil.CollectAndCompare(v, strings.NewReader(want)); err != nil {
		t.Error(err)
	}
}
