package quarantine_test

import (
	"testing"

	"github.com/laburnumring/laburnumring/internal/quarantine"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// newFull returns a list with as much evidence as it holds, against none of whose parts it suffices.
func newFull() *quarantine.List {
	l := quarantine.New(quarantine.Options{})
	for i := range 256 {
		l.RecordCasualty(1000, 900, uint32(i), uint32(i), []uint64{1, uint64(100 + i)})
		l.RecordStart(1001, []uint64{1})
	}
	return l
}

// BenchmarkRecordCasualty measures a request that a server broke off while the list is full.
func BenchmarkRecordCasualty(b *testing.B) {
	l := newFull()
	i := 0
	for b.Loop() {
		i++
		l.RecordCasualty(clock.Millis(2000+i), clock.Millis(1900+i), uint32(1000+i), uint32(i), []uint64{1, uint64(10_000 + i)})
	}
}

// BenchmarkRecordStart measures the start of an answer while the list is full.
func BenchmarkRecordStart(b *testing.B) {
	l := newFull()
	i := 0
	for b.Loop() {
		i++
		l.RecordStart(clock.Millis(2000+i), []uint64{1, uint64(100 + i%600)})
	}
}

// BenchmarkReport measures a report to peers and its merge while the list is full.
func BenchmarkReport(b *testing.B) {
	l, peer := newFull(), newFull()
	i := 0
	for b.Loop() {
		i++
		peer.Merge(clock.Millis(2000+i), l.Report(clock.Millis(2000+i)))
	}
}
