// Package label limits the values of a metric label to those that the configuration names, which limits the number of
// time series.
package label

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Other replaces all values that the configuration does not name.
const Other = "other"

// Vector is a set of time series, such as a Prometheus counter vector, from which series can be deleted.
type Vector interface {
	// DeletePartialMatch deletes all series that have the labels, and returns their number.
	DeletePartialMatch(labels prometheus.Labels) int
}

// Allowlist holds the values that a label may have. It is safe for concurrent use.
type Allowlist struct {
	name    string
	vectors []Vector

	mu sync.Mutex
	// known holds the values that the configuration names.
	known map[string]bool
}

// New returns an allowlist without values for the label called name in the vectors.
func New(name string, vectors ...Vector) *Allowlist {
	return &Allowlist{name: name, vectors: vectors}
}

// Set replaces the known values and deletes the series of values that are no longer known.
func (l *Allowlist) Set(values []string) {
	known := make(map[string]bool, len(values))
	for _, v := range values {
		known[v] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for v := range l.known {
		if !known[v] {
			l.deleteSeries(v)
		}
	}
	l.known = known
}

// deleteSeries deletes the series of a value from all vectors.
func (l *Allowlist) deleteSeries(value string) {
	for _, v := range l.vectors {
		v.DeletePartialMatch(prometheus.Labels{l.name: value})
	}
}

// Value returns value if it is known, and Other if not.
func (l *Allowlist) Value(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[value] {
		return value
	}
	return Other
}
