// Package label bounds the values of a metric's label by the configuration.
package label

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Other stands for all values that the configuration does not name.
const Other = "other"

// Vector is a set of series of which some can be dropped.
type Vector interface {
	// DeletePartialMatch drops the series with the labels.
	DeletePartialMatch(labels prometheus.Labels) int
}

// Bound knows the values that a label may take. It is safe for concurrent use.
type Bound struct {
	name    string
	vectors []Vector

	mu sync.Mutex
	// known holds the values that the configuration names.
	known map[string]bool
}

// New returns a bound for the label called name of the vectors, without any value.
func New(name string, vectors ...Vector) *Bound {
	return &Bound{name: name, vectors: vectors}
}

// Set makes values the known ones and drops the series of those that were known before.
func (b *Bound) Set(values []string) {
	known := make(map[string]bool, len(values))
	for _, v := range values {
		known[v] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for v := range b.known {
		if !known[v] {
			b.drop(v)
		}
	}
	b.known = known
}

func (b *Bound) drop(value string) {
	for _, v := range b.vectors {
		v.DeletePartialMatch(prometheus.Labels{b.name: value})
	}
}

// Value returns value when it is known and Other when not.
func (b *Bound) Value(value string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.known[value] {
		return value
	}
	return Other
}
